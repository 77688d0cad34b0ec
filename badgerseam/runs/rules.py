"""What the plan of a share asks of runs: who may start now, how many, and in which order."""

from __future__ import annotations

import math

from badgerseam.model.job import Job
from badgerseam.runs.run_index import PlanJobs, RunIndex

SCALE = 1e-3
"""Estimates only order a run's jobs among each other: an hour counts as some seconds of waiting."""


class RunStartRules:
    """Answers in a step or two for each job; a round of a limited plan sorts its jobs once."""

    def __init__(self, book: RunIndex) -> None:
        self._book = book
        self._allowed: dict[tuple[str, int], dict[int, int]] = {}
        """How many members of each job may start in this round, by plan and share; of plans that
        have a limit."""

    def begin_round(self, shard: int, now: float) -> None:
        """A round begins for a share: divide what the limits of its plans leave."""
        if not self._book.is_active:
            return
        for name, found in self._book.plans.items():
            part = found.members_allowed_in(shard)
            if part is not None:
                self._allowed[name, shard] = self._divide(found, shard, part, now)

    def _divide(self, found: PlanJobs, shard: int, part: int, now: float) -> dict[int, int]:
        tally = found.counters.get(shard)
        left = part - (0 if tally is None else tally.live)
        allowed: dict[int, int] = {}
        if left <= 0:
            return allowed
        waiting = [
            job
            for job in found.jobs.get(shard, {}).values()
            if job.startable() > 0 and self._closed_to(found, job) is None
        ]
        waiting.sort(key=lambda job: (-job.rank, self._key(found, job), job.queue_position))
        for job in waiting:
            count = self._book.startable(found, job)
            if now < job.retry_at or (job.is_failing and job.attempts):
                # It says so itself, and leaves its part to others.
                allowed[job.index] = 1
                continue
            if job.is_gang:
                # One that is larger than the limit would never start: it runs alone.
                count = count if count <= left or left == part else 0
            elif job.is_failing:
                count = 1
            allowed[job.index] = count = count if job.is_gang else min(count, left)
            left -= count
            if left <= 0:
                break
        return allowed

    def _closed_to(self, found: PlanJobs, job: Job) -> str | None:
        phase = self._book.phase(found, job)
        if phase is None:
            return "run_not_open"
        if phase == "closing":
            return "run_closing"
        startable = self._book.startable(found, job)
        if startable < job.waiting() and (job.is_gang or startable <= 0):
            return "run_aside"
        return None

    def hold_reason(self, job: Job) -> str | None:
        """Why no more of the job's tasks start now; None if they may."""
        found = self._book.plan_jobs(job)
        if found is None or not self._book.is_active:
            return None
        why = self._closed_to(found, job)
        if why is not None:
            return why
        if found.plan.most_at_once is not None and not self._allowance(found, job):
            return "run_full"
        return None

    def _allowance(self, found: PlanJobs, job: Job) -> int:
        return self._allowed.get((found.plan.name, job.shard), {}).get(job.index, 0)

    def max_starts(self, job: Job) -> int | None:
        """How many tasks of a job may start in this round; None: as many as wait."""
        if not self._book.is_active:
            return None
        found = self._book.plan_jobs(job)
        if found is None:
            return None
        if found.plan.most_at_once is None:
            return self._book.startable(found, job)
        return self._allowance(found, job)

    def order_time(self, job: Job) -> float | None:
        """Where the job goes among others of its rank, as a time of day: less goes first. None if
        its plan says nothing of it."""
        found = self._book.plan_jobs(job)
        if found is None or found.plan.first == "deadline" or not self._book.is_active:
            return None
        return self._key(found, job)

    def _key(self, found: PlanJobs, job: Job) -> float:
        first, spec = found.plan.first, job.spec
        if first == "accepted":
            return job.submitted
        if first == "deadline":
            return math.inf if spec.deadline_s is None else job.submitted + spec.deadline_s
        opened = job.submitted if found.record is None else found.record.opened
        return opened + SCALE * (spec.estimate_s if first == "shortest" else -spec.estimate_s)
