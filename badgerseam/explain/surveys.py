"""Surveys of a share on demand: questions gather, and all get their answer from one walk.

A walk costs as much as a plan. Its processor time is drawn from an allowance, so that no number
of questions takes more than a set part of it from leases and plans, and it is done in slices with
the loop free in between.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from dataclasses import dataclass, field

from badgerseam.background import BackgroundTasks
from badgerseam.errors import BadgerseamError
from badgerseam.explain.supply import LeaderCloudView, Supply, supply_of
from badgerseam.http.budget import RateBudget
from badgerseam.model.job import Job
from badgerseam.model.model import Model
from badgerseam.model.state import Shard
from badgerseam.sched.diagnosis import Finding, survey, without_job_state
from badgerseam.sched.planner import Planner
from badgerseam.wire.explain import CloudView

SURVEY_TIMEOUT_S = 0.3
"""Rather than wait longer for the allowance, an earlier survey is used."""
MAX_RECENT_SURVEYS = 3


class NotOwnerError(BadgerseamError):
    """This controller does not plan for the share, or cannot vouch for it now."""


@dataclass(slots=True)
class Survey:
    """What one walk found, and when."""

    at: float
    revision: int
    findings: dict[Job, Finding]
    held_back: dict[Job, str]
    """Jobs with waiting tasks that the plan leaves out now, and why."""
    supply: Supply = field(default_factory=Supply)
    """What is on its way to the share."""


@dataclass(slots=True)
class _QuestionBatch:
    jobs: set[Job] = field(default_factory=set)
    future: asyncio.Future[Survey] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class Surveys:
    """Gathers the questions of each share into walks."""

    def __init__(
        self,
        model: Model,
        planner: Planner,
        cloud: LeaderCloudView,
        part: float,
        slice_s: float,
        most_age_s: float,
    ) -> None:
        self._model = model
        self._cloud = cloud
        self._planner = planner
        clock = model.clock
        self._clock = clock
        self._slice_s = slice_s
        self._most_age_s = most_age_s
        self._done: dict[int, deque[tuple[int, Survey]]] = {}
        """The latest surveys of each share, and the terms they were made under."""
        self._allowance = RateBudget(clock, part, 2.0, least_burst=slice_s)
        self._waiting: dict[int, _QuestionBatch] = {}
        self._tasks = BackgroundTasks()
        self.walks = 0
        self.longest_slice_s = 0.0

    async def ask(self, shard: Shard, jobs: set[Job]) -> Survey:
        """A survey of jobs of one share that began after the question; NotOwner if it was given up
        meanwhile.

        While the allowance is used up, by a list of all jobs perhaps, an earlier survey that
        covers them serves if it is no older than `most_age_s`: answers tell their age.
        """
        if self._allowance.wait_s(0.0) > SURVEY_TIMEOUT_S:
            known = self._recent(shard, jobs)
            if known is not None:
                return known
        batch = self._waiting.get(shard.index)
        if batch is None:
            batch = self._waiting[shard.index] = _QuestionBatch()
            self._tasks.spawn(self._run(shard, batch))
        batch.jobs |= jobs
        # Whoever gives up waiting must not take the answer from the others.
        return await asyncio.shield(batch.future)

    def _recent(self, shard: Shard, jobs: set[Job]) -> Survey | None:
        now = self._clock.now()
        for term, known in self._done.get(shard.index, ()):
            covered = all(job in known.findings or job in known.held_back for job in jobs)
            if term == shard.term and covered and now - known.at <= self._most_age_s:
                return known
        return None

    async def _run(self, shard: Shard, batch: _QuestionBatch) -> None:
        await asyncio.sleep(0)
        cloud = await self._cloud.get()
        while (pause := self._allowance.wait_s(0.0)) > 0:
            await asyncio.sleep(pause)
        # From here on questions go into the next walk: this one's snapshot would be too old.
        del self._waiting[shard.index]
        try:
            result = await self._walk(shard, batch.jobs, cloud)
        except Exception as error:
            batch.future.set_exception(error)
            # Nobody may be waiting any more.
            batch.future.exception()
        else:
            batch.future.set_result(result)

    async def _walk(self, shard: Shard, jobs: set[Job], cloud: CloudView | None) -> Survey:
        model, planner = self._model, self._planner
        begun = time.perf_counter()
        with model.lock:
            if not shard.owned:
                raise NotOwnerError(str(shard.index))
            term = shard.term
            now = self._clock.now()
            requests = without_job_state(planner.requests(shard))
            snapshot = planner.snapshot(shard, planner.nodes(shard), requests)
            by_index = {job.index: job for job in jobs}
            result = Survey(now, model.revision, {}, {})
            result.supply = supply_of(model, planner, shard, cloud)
            for job in jobs:
                if job.waiting() > 0:
                    why = planner.hold_reason(job, now)
                    if why is not None:
                        result.held_back[job] = why
        self.walks += 1
        self._charge(time.perf_counter() - begun)
        await asyncio.sleep(0)
        begun = time.perf_counter()
        for found in survey(snapshot, set(by_index)):
            if found is not None:
                result.findings[by_index[found.request.job]] = found
            spent = time.perf_counter() - begun
            if spent >= self._slice_s:
                self._charge(spent)
                await asyncio.sleep(0)
                begun = time.perf_counter()
        self._charge(time.perf_counter() - begun)
        if not shard.owned or shard.term != term:
            raise NotOwnerError(str(shard.index))
        self._done.setdefault(shard.index, deque(maxlen=MAX_RECENT_SURVEYS)).appendleft(
            (term, result)
        )
        return result

    def _charge(self, seconds: float) -> None:
        self._allowance.charge(seconds)
        self.longest_slice_s = max(self.longest_slice_s, seconds)
