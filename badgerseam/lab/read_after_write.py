"""Clients that query all controllers about a job within milliseconds of a response about it.

The requests go through the lab's load balancer like those of all users, so that the history has the
time and the response of each request for the rule checker.
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
"""Number of rounds of requests per job and phase."""
MAX_PAUSE_S = 0.1
"""Longest pause between two rounds of requests about a job, in seconds."""
CANCELLED_FRACTION = 0.15
"""The fraction of accepted jobs that are cancelled immediately."""


class ReadAfterWriteClients:
    """Queries all controllers after each acceptance, end and confirmed cancellation of a job."""

    def __init__(
        self,
        load_balancer: LoadBalancer,
        random: Random,
        nodes: list[str],
        cancel: Callable[[str], None],
    ) -> None:
        self._load_balancer = load_balancer
        self._random = random
        self._nodes = nodes
        self._cancel = cancel
        self._tasks = BackgroundTasks()
        self._queried: set[tuple[str, str]] = set()
        """The pairs of job and phase that were queried; each pair is queried once."""
        self.is_active = False
        self.requests_sent = 0

    def stop(self) -> None:
        """Stops all clients."""
        self.is_active = False
        self._tasks.cancel_all()

    def on_answer(self, job: str, status: int, phase: str) -> None:
        """Starts queries about a job if a response reports that it was accepted or has ended."""
        pair = (job, phase)
        if (
            not self.is_active
            or (status != 201 and phase not in END_PHASES)
            or pair in self._queried
        ):
            return
        self._queried.add(pair)
        self._tasks.spawn(self._query(job))
        if status == 201 and self._random.random() < CANCELLED_FRACTION:
            self._cancel(job)

    async def _query(self, job: str) -> None:
        spec = self._load_balancer.spec(job)
        body = msgspec.json.encode(spec)
        for _ in range(ROUNDS):
            for node in self._nodes:
                self._send("GET", f"/submissions/{job}", b"", node)
                if spec is not None:
                    self._send("POST", "/submissions", body, node)
            await asyncio.sleep(self._random.uniform(0.0, MAX_PAUSE_S))

    def _send(self, method: str, path: str, body: bytes, node: str) -> None:
        """Sends a request without waiting for the response: the next round does not wait for slow
        controllers."""

        async def send() -> None:
            await self._load_balancer.ask(method, path, body, [node])

        self.requests_sent += 1
        self._tasks.spawn(send())
