"""Old reports that reach every controller just as a new leader begins."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from random import Random

from badgerseam.background import BackgroundTasks

POLL_S = 0.02
MAX_KEPT = 200
"""Copies kept at a time; of more, some are left out by chance."""
AT_ONCE = 16
"""Copies on their way to one controller at a time."""

Deliver = Callable[[str, bytes], Coroutine[object, object, None]]
"""Brings a copy to a controller, by name."""


@dataclass(frozen=True, slots=True)
class _KeptHeartbeat:
    """A copy, and the leader's claim at the time of the report."""

    body: bytes
    claim: int


class NextLeaderHeartbeats:
    """Keeps copies of reports until the leadership is claimed anew, and delivers them then."""

    def __init__(
        self, random: Random, nodes: list[str], claim: Callable[[], int], deliver: Deliver
    ) -> None:
        """`claim`: the stamp of the leader's claim, 0 while there is none."""
        self._random = random
        self._nodes = nodes
        self._claim = claim
        self._deliver = deliver
        self._kept: list[_KeptHeartbeat] = []
        self._watch: asyncio.Task[None] | None = None
        self._drop: asyncio.TimerHandle | None = None
        self._deliveries = BackgroundTasks()

    @property
    def in_flight(self) -> int:
        """How many copies are kept or on their way."""
        return len(self._kept) + len(self._deliveries)

    def keep(self, body: bytes) -> None:
        """Keep a copy for the next leader."""
        self._keep_all()
        copy = _KeptHeartbeat(body, self._claim())
        if len(self._kept) < MAX_KEPT:
            self._kept.append(copy)
        else:
            self._kept[self._random.randrange(MAX_KEPT)] = copy
        if self._watch is None or self._watch.done():
            self._watch = asyncio.ensure_future(self._wait())

    def end(self, within_s: float) -> None:
        """Keep nothing for longer than that, if no other leader comes."""
        self._keep_all()
        self._drop = asyncio.get_running_loop().call_later(within_s, self._kept.clear)

    def _keep_all(self) -> None:
        if self._drop is not None:
            self._drop.cancel()
            self._drop = None

    def stop(self) -> None:
        """Nothing comes any more."""
        self._keep_all()
        self._kept.clear()
        self._deliveries.cancel_all()
        if self._watch is not None:
            self._watch.cancel()

    async def _wait(self) -> None:
        while self._kept:
            await asyncio.sleep(POLL_S)
            claim = self._claim()
            due = [copy.body for copy in self._kept if claim not in (0, copy.claim)]
            if not due:
                continue
            self._kept[:] = [copy for copy in self._kept if copy.claim == claim]
            for node in self._nodes:
                self._deliveries.spawn(self._deliver_all(node, due))

    async def _deliver_all(self, node: str, bodies: list[bytes]) -> None:
        slots = asyncio.Semaphore(AT_ONCE)

        async def one(body: bytes) -> None:
            async with slots:
                await self._deliver(node, body)

        await asyncio.gather(*(one(body) for body in bodies))
