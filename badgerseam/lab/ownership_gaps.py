"""Measures how long shards and the leadership have no owner."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from badgerseam.clock import Clock
from badgerseam.lab.state import StateCore
from badgerseam.model.keys import LEADER_KEY, LEVEL_KEY, claim_key
from badgerseam.wire import state as wire

POLL_S = 0.01
"""Seconds between two observations of the claims."""


class OwnershipGaps:
    """Polls the claims in the state service and records the gaps in ownership.

    A claim outlives its holder's process until its lease expires, and a restarted process does not
    act on it. A claim therefore counts only while the process is running that it was first observed
    with: `process_number` returns the number of a controller's process, 0 while it has none.
    """

    def __init__(
        self, state: StateCore, clock: Clock, shards: int, process_number: Callable[[str], int]
    ) -> None:
        self._state = state
        self._process_number = process_number
        self._first_process: dict[tuple[str, int], int] = {}
        self._clock = clock
        self._keys = [*(claim_key(shard) for shard in range(shards)), LEADER_KEY]
        self._since: dict[str, float | None] = {}
        """By key that ever had an owner: the time since which it has none; None if it has one."""
        self.gaps: list[float] = []
        """The duration of each ended gap, in seconds."""
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts to observe the claims."""
        self._task = asyncio.ensure_future(self._poll())

    def stop(self) -> None:
        """Stops observing."""
        if self._task is not None:
            self._task.cancel()

    def level(self) -> int:
        """Returns the level of the stored state; 1 without a record."""
        entry = self._state.get(LEVEL_KEY)
        if entry is None:
            return 1
        record: wire.SiteLevel = msgspec.json.decode(entry.value, type=wire.SiteLevel)
        return record.level

    def observe(self) -> None:
        """Observes which keys have an owner now, and records the gaps that have ended."""
        now = self._clock.now()
        for key in self._keys:
            if self._has_owner(key):
                since = self._since.get(key)
                if since is not None:
                    self.gaps.append(now - since)
                self._since[key] = None
            elif key in self._since and self._since[key] is None:
                self._since[key] = now

    def _has_owner(self, key: str) -> bool:
        entry = self._state.get(key)
        if entry is None:
            return False
        claim: wire.Claim = msgspec.json.decode(entry.value, type=wire.Claim)
        process = self._process_number(claim.node)
        return (
            process > 0
            and self._first_process.setdefault((claim.node, claim.lease), process) == process
        )

    async def _poll(self) -> None:
        while True:
            self.observe()
            await asyncio.sleep(POLL_S)
