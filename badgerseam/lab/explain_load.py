"""Users of a lab who ask, again and again, why jobs wait."""

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


class ExplainLoad:
    """Asks about open jobs at a rate, and keeps what came of it."""

    def __init__(self, lab: Lab, per_s: float) -> None:
        self._lab = lab
        self._per_s = per_s
        self._http = HttpClient(max_idle=128)
        self._tasks = BackgroundTasks()
        self._loop: asyncio.Task[None] | None = None
        self.statuses: Counter[int] = Counter()
        self.codes: Counter[str] = Counter()
        """Binding reasons seen."""
        self.times = HdrHistogram(1, 10_000_000, 3)
        """Of answers, in microseconds."""

    def start(self) -> None:
        if self._per_s > 0:
            self._loop = asyncio.ensure_future(self._ask())

    def stop(self) -> None:
        if self._loop is not None:
            self._loop.cancel()
        self._tasks.cancel_all()

    async def _ask(self) -> None:
        lab = self._lab
        due = 0.0
        while True:
            await asyncio.sleep(0.02)
            due = min(due + 0.02 * self._per_s, self._per_s)
            jobs = list(lab.load_balancer.true_behaviours)[-200:]
            while due >= 1 and jobs and len(self._tasks) < MAX_IN_FLIGHT:
                due -= 1
                self._tasks.spawn(self._one(lab.random.choice(jobs)))

    async def _one(self, job: str) -> None:
        clock = self._lab.clock
        address = self._lab.random.choice(list(self._lab.addresses.values()))
        begun = clock.now()
        try:
            path = f"/submissions/{job}/why"
            response = await self._http.request(address, "GET", path, None, 2.0)
        except NoResponseError:
            self.statuses[0] += 1
            return
        self.statuses[response.status] += 1
        if response.status == 200:
            self.times.record_value(max(1, round((clock.now() - begun) * 1e6)))
            self.codes.update(explain.why_decoder.decode(response.body).binding)
