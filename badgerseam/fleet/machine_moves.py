"""Moves of machines that the leader has asked their owners for."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from badgerseam.clock import Clock
from badgerseam.fleet.evacuation import EVACUATION_INTERVAL_S
from badgerseam.fleet.machine_transfer import NO_SHARD
from badgerseam.model.machine import Machine

log = logging.getLogger("badgerseam.fleet")

RETRY_INTERVAL_S = 2.0
"""Before a machine that could not be moved is considered again."""
MAX_FOLLOW_S = 2.0
"""How long a completed move may stay invisible: another may have followed it by then."""
FOLLOW_INTERVAL_S = 0.05

TransferMachines = Callable[[list[Machine], int, bool], Awaitable[set[str]]]
"""Passes machines on to a shard, or has them evacuated for it; the names for which that is done."""


class MachineMoves:
    """Moves in progress, until the replica of the state shows them."""

    def __init__(
        self,
        clock: Clock,
        transfer_machines: TransferMachines,
        spawn: Callable[[Awaitable[object]], None],
    ) -> None:
        self._clock = clock
        self._transfer_machines = transfer_machines
        self._spawn = spawn
        self.in_progress: set[str] = set()
        """Names of machines that must not be moved again yet."""
        self.arriving: dict[str, int] = {}
        """Machines that are being passed on now, and the shard that gets them."""

    def start(self, machines: list[Machine], shard: int, evacuate: bool = False) -> None:
        """Have machines moved to a shard, or evacuated for it, by the owners of their shards."""
        by_origin: dict[int, list[Machine]] = {}
        for machine in machines:
            self.in_progress.add(machine.name)
            by_origin.setdefault(machine.shard, []).append(machine)
        for part in by_origin.values():
            self._spawn(self._move(part, shard, evacuate))

    async def _move(self, machines: list[Machine], shard: int, evacuate: bool) -> None:
        names = {machine.name for machine in machines}
        passes_on = not evacuate and shard != NO_SHARD
        if passes_on:
            self.arriving.update(dict.fromkeys(names, shard))
        try:
            done = await self._transfer_machines(machines, shard, evacuate)
            if passes_on:
                await self._wait_until_replicated(machines, done, shard)
            self._drop_arriving(names)
            if evacuate:
                # Their owner passes them on when their work has been stopped.
                await asyncio.sleep(2 * EVACUATION_INTERVAL_S)
            elif passes_on and done:
                log.info("machines moved shard=%d machines=%s", shard, ",".join(sorted(done)))
            self.in_progress -= done
            names -= done
            if names and not evacuate:
                # Not empty, or their owner does not answer.
                await asyncio.sleep(RETRY_INTERVAL_S)
        finally:
            self.in_progress -= names
            self._drop_arriving(names)

    async def _wait_until_replicated(
        self, machines: list[Machine], names: set[str], shard: int
    ) -> None:
        """Return when the replica of the state shows that machines have been moved.

        Seen where they were before, they were moved once more, or others were rented for the same
        need.
        """
        until = self._clock.now() + MAX_FOLLOW_S
        while self._clock.now() < until and any(
            machine.name in names and machine.shard != shard for machine in machines
        ):
            await asyncio.sleep(FOLLOW_INTERVAL_S)

    def _drop_arriving(self, names: set[str]) -> None:
        for name in names:
            self.arriving.pop(name, None)
