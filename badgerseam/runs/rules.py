"""Start rules of reckoning runs: which members may start, how many of them, and in which order."""

from __future__ import annotations

import math

from badgerseam.model.job import Job
from badgerseam.runs.run_index import PlanJobs, RunIndex

ESTIMATE_WEIGHT = 1e-3
"""The weight of an estimated duration relative to waiting time. Estimates are only to order jobs of
the same run: an hour of estimated duration counts as 3.6 seconds of waiting."""


class RunStartRules:
    """The run policy of the planner (`sched.planner.RunPolicy`).

    Each call takes one or two steps per job; a planning round for a plan with a limit also sorts
    the plan's jobs once. Callers hold the model's lock.
    """

    def __init__(self, run_index: RunIndex) -> None:
        self._run_index = run_index
        self._allowed: dict[tuple[str, int], dict[int, int]] = {}
        """For plans with a limit, how many members of each job may start in this round: by plan and
        shard, then by job index."""

    def begin_round(self, shard: int, now: float) -> None:
        """Begins a planning round of a shard: divides the remaining limit of each plan among its
        jobs."""
        if not self._run_index.is_active:
            return
        for name, plan in self._run_index.plans.items():
            limit = plan.members_allowed_in(shard)
            if limit is not None:
                self._allowed[name, shard] = self._divide(plan, shard, limit, now)

    def _divide(self, plan: PlanJobs, shard: int, limit: int, now: float) -> dict[int, int]:
        """Returns how many members of each job may start under a limit, by job index."""
        counter = plan.counters.get(shard)
        remaining = limit - (0 if counter is None else counter.live)
        allowed: dict[int, int] = {}
        if remaining <= 0:
            return allowed
        for job in self._jobs_in_order(plan, shard):
            if now < job.retry_at or (job.is_failing and job.attempts):
                # The job's backoff holds it back anyway; the rest of the limit goes to other jobs.
                allowed[job.index] = 1
                continue
            count = self._run_index.startable(plan, job)
            if job.is_gang:
                # A gang larger than the limit would never start otherwise: it may run alone.
                count = count if count <= remaining or remaining == limit else 0
            else:
                count = min(1 if job.is_failing else count, remaining)
            allowed[job.index] = count
            remaining -= count
            if remaining <= 0:
                break
        return allowed

    def _jobs_in_order(self, plan: PlanJobs, shard: int) -> list[Job]:
        """Returns the jobs of a plan in a shard with members that may start, in queue order."""
        jobs = [
            job
            for job in plan.jobs.get(shard, {}).values()
            if job.startable() > 0 and self._run_hold_reason(plan, job) is None
        ]
        jobs.sort(key=lambda job: (-job.rank, self._order_key(plan, job), job.queue_position))
        return jobs

    def _run_hold_reason(self, plan: PlanJobs, job: Job) -> str | None:
        """Returns why a job's run permits no more of its members to start, apart from a limit; None
        if it permits them."""
        phase = self._run_index.phase(plan, job)
        if phase is None:
            return "run_not_open"
        if phase == "closing":
            return "run_closing"
        startable = self._run_index.startable(plan, job)
        if startable < job.waiting() and (job.is_gang or startable <= 0):
            return "run_aside"
        return None

    def hold_reason(self, job: Job) -> str | None:
        """Returns why no more of the job's tasks may start now; None if they may."""
        plan = self._run_index.plan_jobs(job)
        if plan is None or not self._run_index.is_active:
            return None
        reason = self._run_hold_reason(plan, job)
        if reason is not None:
            return reason
        if plan.plan.most_at_once is not None and not self._allowance(plan, job):
            return "run_full"
        return None

    def _allowance(self, plan: PlanJobs, job: Job) -> int:
        return self._allowed.get((plan.plan.name, job.shard), {}).get(job.index, 0)

    def max_starts(self, job: Job) -> int | None:
        """Returns how many tasks of a job may start in this round; None if all that wait may."""
        if not self._run_index.is_active:
            return None
        plan = self._run_index.plan_jobs(job)
        if plan is None:
            return None
        if plan.plan.most_at_once is None:
            return self._run_index.startable(plan, job)
        return self._allowance(plan, job)

    def order_time(self, job: Job) -> float | None:
        """Returns the time of day by which the job is ordered among jobs of its rank, the earliest
        first; None if its plan does not change the order."""
        plan = self._run_index.plan_jobs(job)
        if plan is None or plan.plan.first == "deadline" or not self._run_index.is_active:
            return None
        return self._order_key(plan, job)

    def _order_key(self, plan: PlanJobs, job: Job) -> float:
        first, spec = plan.plan.first, job.spec
        if first == "accepted":
            return job.submitted
        if first == "deadline":
            return math.inf if spec.deadline_s is None else job.submitted + spec.deadline_s
        opened = job.submitted if plan.record is None else plan.record.opened
        return opened + ESTIMATE_WEIGHT * (
            spec.estimate_s if first == "shortest" else -spec.estimate_s
        )
