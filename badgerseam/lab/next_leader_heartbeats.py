"""Copies of old heartbeats that every controller receives when a new leader takes over."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from random import Random

from badgerseam.background import BackgroundTasks

POLL_S = 0.02
MAX_KEPT = 200
"""Maximum number of kept copies; each further one replaces a copy drawn at random."""
MAX_CONCURRENT_DELIVERIES = 16
"""Maximum number of copies on their way to one controller at a time."""

Deliver = Callable[[str, bytes], Coroutine[object, object, None]]
"""Delivers a copy to a controller; the arguments are the controller's name and the body."""


@dataclass(frozen=True, slots=True)
class _KeptHeartbeat:
    """A copy, and the revision of the leader's claim when the heartbeat was sent."""

    body: bytes
    claim: int


class NextLeaderHeartbeats:
    """Keeps copies of heartbeats until a new leader takes its claim, and then delivers them."""

    def __init__(
        self, random: Random, nodes: list[str], claim: Callable[[], int], deliver: Deliver
    ) -> None:
        """`claim`: returns the revision of the leader's claim; 0 while there is none."""
        self._random = random
        self._nodes = nodes
        self._claim = claim
        self._deliver = deliver
        self._kept: list[_KeptHeartbeat] = []
        self._delivery_loop: asyncio.Task[None] | None = None
        self._drop_timer: asyncio.TimerHandle | None = None
        self._deliveries = BackgroundTasks()

    @property
    def in_flight(self) -> int:
        """Number of copies that are kept or on their way."""
        return len(self._kept) + len(self._deliveries)

    def keep(self, body: bytes) -> None:
        """Keeps a copy for the next leader."""
        self._cancel_drop()
        copy = _KeptHeartbeat(body, self._claim())
        if len(self._kept) < MAX_KEPT:
            self._kept.append(copy)
        else:
            self._kept[self._random.randrange(MAX_KEPT)] = copy
        if self._delivery_loop is None or self._delivery_loop.done():
            self._delivery_loop = asyncio.ensure_future(self._deliver_at_new_claim())

    def drop_after(self, delay_s: float) -> None:
        """Drops the kept copies after a delay, unless a new leader takes over before."""
        self._cancel_drop()
        self._drop_timer = asyncio.get_running_loop().call_later(delay_s, self._kept.clear)

    def _cancel_drop(self) -> None:
        if self._drop_timer is not None:
            self._drop_timer.cancel()
            self._drop_timer = None

    def stop(self) -> None:
        """Drops the kept copies and cancels deliveries."""
        self._cancel_drop()
        self._kept.clear()
        self._deliveries.cancel_all()
        if self._delivery_loop is not None:
            self._delivery_loop.cancel()

    async def _deliver_at_new_claim(self) -> None:
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
        slots = asyncio.Semaphore(MAX_CONCURRENT_DELIVERIES)

        async def deliver(body: bytes) -> None:
            async with slots:
                await self._deliver(node, body)

        await asyncio.gather(*(deliver(body) for body in bodies))
