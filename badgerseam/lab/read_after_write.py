"""Users who ask at all controllers, within milliseconds, about a job they were just told of.

They ask through the lab's front like all users, so that the judge sees when each question was sent
and what it was answered.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

import msgspec

from badgerseam.background import BackgroundTasks
from badgerseam.lab.history import END_PHASES
from badgerseam.lab.load_balancer import LoadBalancer

ROUNDS = 5
MAX_PAUSE_S = 0.1
"""Between two rounds of questions about a job, at most."""
CANCELLED_PART = 0.15
"""Of the jobs that are accepted, cancelled at once."""


class ReadAfterWriteClients:
    """Asks at all controllers after each acceptance, end and confirmed cancellation."""

    def __init__(
        self, front: LoadBalancer, random: Random, nodes: list[str], cancel: Callable[[str], None]
    ) -> None:
        self._front = front
        self._random = random
        self._nodes = nodes
        self._cancel = cancel
        self._tasks = BackgroundTasks()
        self._looked_at: set[tuple[str, str]] = set()
        """Jobs, each with the phase that was looked at closely; no phase comes twice."""
        self.is_active = False
        self.requests_sent = 0

    def stop(self) -> None:
        """Nobody asks any more."""
        self.is_active = False
        self._tasks.cancel_all()

    def on_answer(self, job: str, status: int, phase: str) -> None:
        """A user was told something of a job."""
        look = (job, phase)
        if (
            not self.is_active
            or (status != 201 and phase not in END_PHASES)
            or look in self._looked_at
        ):
            return
        self._looked_at.add(look)
        self._tasks.spawn(self._look(job))
        if status == 201 and self._random.random() < CANCELLED_PART:
            self._cancel(job)

    async def _look(self, job: str) -> None:
        spec = self._front.spec(job)
        body = msgspec.json.encode(spec)
        for _ in range(ROUNDS):
            for node in self._nodes:
                self._ask("GET", f"/submissions/{job}", b"", node)
                if spec is not None:
                    self._ask("POST", "/submissions", body, node)
            await asyncio.sleep(self._random.uniform(0.0, MAX_PAUSE_S))

    def _ask(self, method: str, path: str, body: bytes, node: str) -> None:
        """Ask without waiting for the answer: the next round does not wait for slow controllers."""

        async def ask() -> None:
            await self._front.ask(method, path, body, [node])

        self.requests_sent += 1
        self._tasks.spawn(ask())
