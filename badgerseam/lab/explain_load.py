"""A load of requests for explanations of why jobs wait."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

from badgerseam.background import BackgroundTasks
from badgerseam.http.client import HttpClient, NoResponseError
from badgerseam.wire import explain

if TYPE_CHECKING:
    from badgerseam.lab.lab import Lab

MAX_IN_FLIGHT = 400
"""Limit on concurrent requests."""


class ExplainLoad:
    """Requests explanations of recent jobs at a rate, and records the responses."""

    def __init__(self, lab: Lab, per_s: float) -> None:
        self._lab = lab
        self._per_s = per_s
        self._http = HttpClient(max_idle=128)
        self._tasks = BackgroundTasks()
        self._loop: asyncio.Task[None] | None = None
        self.statuses: Counter[int] = Counter()
        self.codes: Counter[str] = Counter()
        """Number of responses by the code of a binding reason."""
        self.latencies = HdrHistogram(1, 10_000_000, 3)
        """Latencies of successful responses, in microseconds."""

    def start(self) -> None:
        """Starts to send requests, unless the rate is 0."""
        if self._per_s > 0:
            self._loop = asyncio.ensure_future(self._send_requests())

    def stop(self) -> None:
        """Stops sending, and cancels the requests in progress."""
        if self._loop is not None:
            self._loop.cancel()
        self._tasks.cancel_all()

    async def _send_requests(self) -> None:
        lab = self._lab
        pending_requests = 0.0
        while True:
            await asyncio.sleep(0.02)
            pending_requests = min(pending_requests + 0.02 * self._per_s, self._per_s)
            jobs = list(lab.load_balancer.true_behaviours)[-200:]
            while pending_requests >= 1 and jobs and len(self._tasks) < MAX_IN_FLIGHT:
                pending_requests -= 1
                self._tasks.spawn(self._request(lab.random.choice(jobs)))

    async def _request(self, job: str) -> None:
        clock = self._lab.clock
        address = self._lab.random.choice(list(self._lab.addresses.values()))
        sent_at = clock.now()
        try:
            path = f"/submissions/{job}/why"
            response = await self._http.request(address, "GET", path, None, 2.0)
        except NoResponseError:
            self.statuses[0] += 1
            return
        self.statuses[response.status] += 1
        if response.status == 200:
            self.latencies.record_value(max(1, round((clock.now() - sent_at) * 1e6)))
            self.codes.update(explain.why_decoder.decode(response.body).binding)
