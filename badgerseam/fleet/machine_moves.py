"""Moves of machines that the leader requests from the owners of their shards."""

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
"""Seconds before a machine that could not be moved is considered again."""
MAX_REPLICA_WAIT_S = 2.0
"""Maximum wait for the local replica of the state to show a completed move; another move of the
machine may hide it."""
REPLICA_POLL_INTERVAL_S = 0.05

TransferMachines = Callable[[list[Machine], int, bool], Awaitable[set[str]]]
"""Transfers machines to a shard, or has them evacuated for it; returns the names of those done."""


class MachineMoves:
    """Tracks moves in progress until the local replica of the state shows them."""

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
        """Target shards of the machines that are being transferred, by name."""

    def start(self, machines: list[Machine], shard: int, evacuate: bool = False) -> None:
        """Has the owners of the machines' shards move them to a shard, or evacuate them for it."""
        by_origin: dict[int, list[Machine]] = {}
        for machine in machines:
            self.in_progress.add(machine.name)
            by_origin.setdefault(machine.shard, []).append(machine)
        for group in by_origin.values():
            self._spawn(self._move(group, shard, evacuate))

    async def _move(self, machines: list[Machine], shard: int, evacuate: bool) -> None:
        names = {machine.name for machine in machines}
        is_transfer = not evacuate and shard != NO_SHARD
        if is_transfer:
            self.arriving.update(dict.fromkeys(names, shard))
        try:
            done = await self._transfer_machines(machines, shard, evacuate)
            if is_transfer:
                await self._wait_until_replicated(machines, done, shard)
            self._drop_arriving(names)
            if evacuate:
                # The owner transfers the machines once their work has been stopped.
                await asyncio.sleep(2 * EVACUATION_INTERVAL_S)
            elif is_transfer and done:
                log.info("machines moved shard=%d machines=%s", shard, ",".join(sorted(done)))
            self.in_progress -= done
            names -= done
            if names and not evacuate:
                # The machines are not empty, or their owner does not respond.
                await asyncio.sleep(RETRY_INTERVAL_S)
        finally:
            self.in_progress -= names
            self._drop_arriving(names)

    async def _wait_until_replicated(
        self, machines: list[Machine], names: set[str], shard: int
    ) -> None:
        """Waits until the local replica of the state shows that machines have been moved.

        While they still appear in their former shard, they could be moved again, or others could be
        rented for the same demand.
        """
        until = self._clock.now() + MAX_REPLICA_WAIT_S
        while self._clock.now() < until and any(
            machine.name in names and machine.shard != shard for machine in machines
        ):
            await asyncio.sleep(REPLICA_POLL_INTERVAL_S)

    def _drop_arriving(self, names: set[str]) -> None:
        for name in names:
            self.arriving.pop(name, None)
