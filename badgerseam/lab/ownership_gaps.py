"""How long shares and the leadership have nobody who acts for them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from badgerseam.clock import Clock
from badgerseam.lab.state import StateCore
from badgerseam.model.keys import LEADER_KEY, LEVEL_KEY, claim_key
from badgerseam.wire import state as wire

POLL_S = 0.01


class OwnershipGaps:
    """Looks at the claims in the state service many times a second.

    A claim outlives its holder's process by its lease, and a process that was started again does
    not act on it: `process` gives the number of a controller's process, 0 while there is none, and
    a claim counts as long as the process runs that it was first seen with.
    """

    def __init__(
        self, state: StateCore, clock: Clock, shards: int, process: Callable[[str], int]
    ) -> None:
        self._state = state
        self._process = process
        self._first: dict[tuple[str, int], int] = {}
        self._clock = clock
        self._keys = [*(claim_key(shard) for shard in range(shards)), LEADER_KEY]
        self._since: dict[str, float | None] = {}
        """Since when nobody acts; None while somebody does. Absent until somebody did."""
        self.gaps: list[float] = []
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self._task = asyncio.ensure_future(self._watch())

    def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()

    def level(self) -> int:
        """The level of the stored state now; 1 without a record."""
        entry = self._state.get(LEVEL_KEY)
        if entry is None:
            return 1
        record: wire.SiteLevel = msgspec.json.decode(entry.value, type=wire.SiteLevel)
        return record.level

    def observe(self) -> None:
        """Take note of who holds what now."""
        now = self._clock.now()
        for key in self._keys:
            if self._acted(key):
                since = self._since.get(key)
                if since is not None:
                    self.gaps.append(now - since)
                self._since[key] = None
            elif key in self._since and self._since[key] is None:
                self._since[key] = now

    def _acted(self, key: str) -> bool:
        entry = self._state.get(key)
        if entry is None:
            return False
        claim: wire.Claim = msgspec.json.decode(entry.value, type=wire.Claim)
        now = self._process(claim.node)
        return now > 0 and self._first.setdefault((claim.node, claim.lease), now) == now

    async def _watch(self) -> None:
        while True:
            self.observe()
            await asyncio.sleep(POLL_S)
