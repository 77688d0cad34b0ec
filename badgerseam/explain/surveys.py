"""Surveys of a shard on demand: questions are batched, and one pass answers a whole batch.

A pass takes as much processor time as a plan. This time is charged to a budget, so that questions
take at most a configured fraction of it away from lease renewals and plans. The pass is split into
slices, between which it yields to the event loop.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from badgerseam.background import BackgroundTasks
from badgerseam.errors import BadgerseamError
from badgerseam.explain.supply import LeaderCloudView, Supply, supply_of
from badgerseam.http.budget import RateBudget
from badgerseam.model.job import Job
from badgerseam.model.model import Model
from badgerseam.model.state import Shard
from badgerseam.sched.diagnosis import Finding, survey, without_job_state
from badgerseam.sched.planner import Planner
from badgerseam.sched.snapshot import Snapshot
from badgerseam.wire.explain import CloudView

SURVEY_TIMEOUT_S = 0.3
"""If the budget of processor time would not allow a pass within this many seconds, an earlier
survey is used instead."""
BUDGET_BURST_S = 2.0
"""Seconds of the rate of processor time that can be used at once."""
MAX_RECENT_SURVEYS = 3
"""Surveys kept per shard to answer questions while the budget is used up."""


class NotOwnerError(BadgerseamError):
    """This controller does not plan for the shard, or cannot be sure that it still does."""


@dataclass(slots=True)
class Survey:
    """The result of one pass."""

    at: float
    """Time at which the snapshot was taken, by the clock of the process."""
    revision: int
    """The model's revision at that time."""
    findings: dict[Job, Finding]
    held_back: dict[Job, str]
    """Jobs with waiting tasks that plans currently leave out, and why."""
    supply: Supply = field(default_factory=Supply)
    """The shard's machines that are unusable or not available yet."""


class _TermSurvey(NamedTuple):
    """A survey, and the ownership term of the shard in which it was made."""

    term: int
    survey: Survey


@dataclass(slots=True)
class _QuestionBatch:
    """The questions that the next pass answers."""

    jobs: set[Job] = field(default_factory=set)
    future: asyncio.Future[Survey] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class Surveys:
    """Batches the questions about each shard and answers each batch in one pass."""

    def __init__(
        self,
        model: Model,
        planner: Planner,
        cloud: LeaderCloudView,
        processor_fraction: float,
        slice_s: float,
        max_age_s: float,
    ) -> None:
        self._model = model
        self._cloud = cloud
        self._planner = planner
        self._clock = model.clock
        self._slice_s = slice_s
        self._max_age_s = max_age_s
        self._recent: dict[int, deque[_TermSurvey]] = {}
        """The latest surveys of each shard, the newest first."""
        self._budget = RateBudget(
            model.clock, processor_fraction, BUDGET_BURST_S, min_burst=slice_s
        )
        """Budget of processor time, in seconds."""
        self._batches: dict[int, _QuestionBatch] = {}
        self._tasks = BackgroundTasks()
        self.passes = 0
        self.longest_slice_s = 0.0
        """The longest time in seconds for which a pass has blocked the event loop."""

    async def ask(self, shard: Shard, jobs: set[Job]) -> Survey:
        """Returns a survey of jobs of one shard that was started after the question.

        Raises NotOwnerError if this controller stops owning the shard meanwhile.

        While the budget is used up, for example by a list of all jobs, an earlier survey that
        covers the jobs is returned if it is no older than `max_age_s`; answers contain their age.
        """
        if self._budget.wait_s(0.0) > SURVEY_TIMEOUT_S:
            earlier = self._recent_survey(shard, jobs)
            if earlier is not None:
                return earlier
        batch = self._batches.get(shard.index)
        if batch is None:
            batch = self._batches[shard.index] = _QuestionBatch()
            self._tasks.spawn(self._run(shard, batch))
        batch.jobs |= jobs
        # The cancellation of one caller must not cancel the survey for the others.
        return await asyncio.shield(batch.future)

    def _recent_survey(self, shard: Shard, jobs: set[Job]) -> Survey | None:
        """Returns the newest survey of this term that covers the jobs and is not too old."""
        now = self._clock.now()
        for term, recent in self._recent.get(shard.index, ()):
            is_covered = all(job in recent.findings or job in recent.held_back for job in jobs)
            if term == shard.term and is_covered and now - recent.at <= self._max_age_s:
                return recent
        return None

    async def _run(self, shard: Shard, batch: _QuestionBatch) -> None:
        """Answers a batch as soon as the budget allows a pass."""
        await asyncio.sleep(0)
        cloud = await self._cloud.get()
        wait_s = self._budget.wait_s(0.0)
        while wait_s > 0:
            await asyncio.sleep(wait_s)
            wait_s = self._budget.wait_s(0.0)
        # Later questions are left to the next pass: this one's snapshot is too old for them.
        del self._batches[shard.index]
        try:
            result = await self._run_pass(shard, batch.jobs, cloud)
        except Exception as error:
            batch.future.set_exception(error)
            # Mark the error as retrieved: if all callers have been cancelled, asyncio would log it.
            batch.future.exception()
        else:
            batch.future.set_result(result)

    async def _run_pass(self, shard: Shard, jobs: set[Job], cloud: CloudView | None) -> Survey:
        """Takes a snapshot of the shard and evaluates it in slices, in the order of a plan."""
        model, planner = self._model, self._planner
        slice_start = time.perf_counter()
        with model.lock:
            if not shard.owned:
                raise NotOwnerError(str(shard.index))
            term = shard.term
            now = self._clock.now()
            requests = without_job_state(planner.requests(shard))
            snapshot = planner.snapshot(shard, planner.nodes(shard), requests)
            result = Survey(now, model.revision, {}, {})
            result.supply = supply_of(model, planner, shard, cloud)
            result.held_back = self._held_back(jobs, now)
        self.passes += 1
        self._charge(time.perf_counter() - slice_start)
        await asyncio.sleep(0)
        await self._collect_findings(result, snapshot, jobs)
        if not shard.owned or shard.term != term:
            raise NotOwnerError(str(shard.index))
        recent = self._recent.setdefault(shard.index, deque(maxlen=MAX_RECENT_SURVEYS))
        recent.appendleft(_TermSurvey(term, result))
        return result

    def _held_back(self, jobs: set[Job], now: float) -> dict[Job, str]:
        """Returns the jobs with waiting tasks that plans leave out, and why."""
        held_back: dict[Job, str] = {}
        for job in jobs:
            if job.waiting() > 0:
                reason = self._planner.hold_reason(job, now)
                if reason is not None:
                    held_back[job] = reason
        return held_back

    async def _collect_findings(self, result: Survey, snapshot: Snapshot, jobs: set[Job]) -> None:
        """Collects the findings for a snapshot, and yields to the event loop after each slice."""
        jobs_by_index = {job.index: job for job in jobs}
        slice_start = time.perf_counter()
        for finding in survey(snapshot, set(jobs_by_index)):
            if finding is not None:
                result.findings[jobs_by_index[finding.request.job]] = finding
            spent = time.perf_counter() - slice_start
            if spent >= self._slice_s:
                self._charge(spent)
                await asyncio.sleep(0)
                slice_start = time.perf_counter()
        self._charge(time.perf_counter() - slice_start)

    def _charge(self, seconds: float) -> None:
        """Charges the processor time of one slice to the budget."""
        self._budget.charge(seconds)
        self.longest_slice_s = max(self.longest_slice_s, seconds)
