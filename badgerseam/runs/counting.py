"""Counts the members of a run by state, in slices that do not block the event loop."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from badgerseam.model.job import Job, Phase
from badgerseam.model.model import Model
from badgerseam.runs.run_index import FIRST_ROUND_PHASES, EndedJob, MemberState, PlanJobs, RunIndex

SLICE = 2000
"""How many members are counted before the event loop may run other tasks."""


@dataclass(slots=True)
class MemberCounts:
    """The number of members of a run in each state."""

    by_state: Counter[MemberState] = field(default_factory=Counter)
    failed: int = 0
    """The number of unresolved members that have failed as often as the first round tries a
    member."""
    revision: int = 0
    """The revision at which the count began."""

    @property
    def total(self) -> int:
        """The number of all members."""
        return self.by_state.total()

    @property
    def reckoned(self) -> int:
        """The number of members that have finished."""
        return self.by_state[MemberState.RECKONED]

    @property
    def cancelled(self) -> int:
        """The number of members that had not finished when their job was cancelled."""
        return self.by_state[MemberState.CANCELLED]

    @property
    def unresolved(self) -> int:
        """The number of members that are neither reckoned nor cancelled."""
        return self.total - self.reckoned - self.cancelled

    def reasons(self) -> dict[str, int]:
        """Returns the number of unresolved members by reason: running, placed, failed too often, or
        still waiting."""
        waiting = self.by_state[MemberState.WAITING] + self.by_state[MemberState.DEFERRED]
        reasons = {
            "running": self.by_state[MemberState.RUNNING],
            "placed": self.by_state[MemberState.PLACED],
            "failed": self.failed,
            "waiting": waiting - self.failed,
        }
        return {name: count for name, count in reasons.items() if count}


async def count(model: Model, run_index: RunIndex, plan: PlanJobs, number: int) -> MemberCounts:
    """Counts the members of a run.

    Each job is counted once, in the state that it has when the count reaches it. A member counts as
    reckoned according to the records, not when its owner has only observed its end.
    """
    counts = MemberCounts()
    with model.lock:
        counts.revision = model.revision
        jobs = plan.members(number)
        for ended in plan.ended.values():
            if plan.run_number(ended.queue_position) == number:
                _add_ended_job(ended, counts)
    steps = 0
    for job in jobs:
        with model.lock:
            steps += 1 + _add_job(run_index, plan, job, counts)
        if steps >= SLICE:
            steps = 0
            await asyncio.sleep(0)
    return counts


def _add_ended_job(ended: EndedJob, counts: MemberCounts) -> None:
    counts.by_state[MemberState.RECKONED] += ended.reckoned
    counts.by_state[MemberState.CANCELLED] += ended.tasks - ended.reckoned


def _add_job(run_index: RunIndex, plan: PlanJobs, job: Job, counts: MemberCounts) -> int:
    """Counts the members of a job; returns the number of steps that this took."""
    ended = plan.ended.get(job.id)
    if ended is not None:
        # The job has ended since the count began.
        _add_ended_job(ended, counts)
        return 1
    reckoned = job.durably_done()
    counts.by_state[MemberState.RECKONED] += reckoned
    remaining = job.tasks - reckoned
    for task in job.attempts:
        state = run_index.member_state(plan, job, task)
        if state in (MemberState.PLACED, MemberState.RUNNING):
            counts.by_state[state] += 1
            remaining -= 1
    failed = run_index.deferred_members(plan, job)
    counts.failed += failed
    if failed and run_index.phase(plan, job) in FIRST_ROUND_PHASES:
        counts.by_state[MemberState.DEFERRED] += failed
        remaining -= failed
    counts.by_state[MemberState.WAITING] += remaining
    return len(job.attempts) + len(job.notes)


def first_round_is_over(run_index: RunIndex, plan: PlanJobs, number: int) -> tuple[bool, int]:
    """Returns whether all members of a run's first round are reckoned, cancelled or deferred, and
    how many are deferred.

    Takes at most one step for each job until the round is over, and then one for each failed
    member.
    """
    deferred = 0
    for job in plan.all_jobs():
        if plan.run_number(job.queue_position) != number:
            continue
        unfinished = job.tasks - job.finished
        if unfinished > len(job.notes):
            return False, 0
        failed = run_index.deferred_members(plan, job)
        if unfinished > failed:
            return False, 0
        deferred += failed
    return True, deferred


def has_begun(plan: PlanJobs, number: int) -> bool:
    """Whether any member of a run has been placed, or has ended."""
    return any(
        plan.run_number(job.queue_position) == number and (job.attempts or job.finished)
        for job in plan.all_jobs()
    ) or any(plan.run_number(ended.queue_position) == number for ended in plan.ended.values())


def has_running_members(plan: PlanJobs, number: int) -> bool:
    """Whether any member of a run may still be on a machine, or has an end that is not durable
    yet."""
    return any(
        job.phase == Phase.OPEN and job.attempts and plan.run_number(job.queue_position) == number
        for job in plan.all_jobs()
    )
