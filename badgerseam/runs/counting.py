"""How many members of a run stand in which way, counted in slices."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from badgerseam.model.job import Job, Phase
from badgerseam.model.model import Model
from badgerseam.runs.run_index import MemberState, PlanJobs, RunIndex

SLICE = 2000
"""Members looked at before the loop is let go of."""


@dataclass(slots=True)
class MemberCounts:
    """Members by how they stand."""

    by_state: Counter[MemberState] = field(default_factory=Counter)
    failed: int = 0
    """Of those that are neither reckoned nor withdrawn: such as have failed as often as the plan
    tries them at first."""
    jobs_counted: int = 0
    """The revision at which counting began."""

    @property
    def total(self) -> int:
        return self.by_state.total()

    @property
    def reckoned(self) -> int:
        return self.by_state[MemberState.RECKONED]

    @property
    def cancelled(self) -> int:
        return self.by_state[MemberState.CANCELLED]

    @property
    def unresolved(self) -> int:
        """Neither reckoned nor withdrawn."""
        return self.total - self.reckoned - self.cancelled

    def reasons(self) -> dict[str, int]:
        """Why members are unresolved: those that failed apart from those that did not come to it.
        Running and placed ones are told apart from the former as well."""
        known = self.by_state
        waiting = known[MemberState.WAITING] + known[MemberState.DEFERRED]
        parts = {
            "running": known[MemberState.RUNNING],
            "placed": known[MemberState.PLACED],
            "failed": self.failed,
            "waiting": waiting - self.failed,
        }
        return {name: count for name, count in parts.items() if count}


async def count(model: Model, book: RunIndex, plan: PlanJobs, number: int) -> MemberCounts:
    """Count a run's members. A job counts once, as it is when its turn comes; what is known to be
    done goes by the records, not by what an owner has only seen yet."""
    result = MemberCounts()
    with model.lock:
        result.jobs_counted = model.revision
        jobs = plan.members(number)
        for ended in plan.ended.values():
            if plan.run_number(ended.queue_position) == number:
                result.by_state[MemberState.RECKONED] += ended.reckoned
                result.by_state[MemberState.CANCELLED] += ended.tasks - ended.reckoned
    looked = 0
    for job in jobs:
        with model.lock:
            looked += 1 + _count(book, plan, job, result)
        if looked >= SLICE:
            looked = 0
            await asyncio.sleep(0)
    return result


def _count(book: RunIndex, plan: PlanJobs, job: Job, result: MemberCounts) -> int:
    """Add a job's members; in how many steps."""
    ended = plan.ended.get(job.id)
    if ended is not None:
        # Since the count began.
        result.by_state[MemberState.RECKONED] += ended.reckoned
        result.by_state[MemberState.CANCELLED] += ended.tasks - ended.reckoned
        return 1
    done = job.durably_done()
    result.by_state[MemberState.RECKONED] += done
    left = job.tasks - done
    for task in job.attempts:
        standing = book.member_state(plan, job, task)
        if standing in (MemberState.PLACED, MemberState.RUNNING):
            result.by_state[standing] += 1
            left -= 1
    failed = book.deferred_members(plan, job)
    result.failed += failed
    if failed and book.phase(plan, job) in ("open", "reckoning"):
        result.by_state[MemberState.DEFERRED] += failed
        left -= failed
    result.by_state[MemberState.WAITING] += left
    return len(job.attempts) + len(job.notes)


def first_round_is_over(book: RunIndex, plan: PlanJobs, number: int) -> tuple[bool, int]:
    """Whether all members of a run's first round are reckoned, withdrawn or set aside, and how
    many are set aside. Steps: one a job while it is not, one a failed member at its end."""
    aside = 0
    for job in plan.all_jobs():
        if plan.run_number(job.queue_position) != number:
            continue
        left = job.tasks - job.finished
        if left > len(job.notes) or left > (failed := book.deferred_members(plan, job)):
            return False, 0
        aside += failed
    return True, aside


def has_begun(plan: PlanJobs, number: int) -> bool:
    """Whether a member of a run was placed, or has ended."""
    return any(
        plan.run_number(job.queue_position) == number and (job.attempts or job.finished)
        for job in plan.all_jobs()
    ) or any(plan.run_number(ended.queue_position) == number for ended in plan.ended.values())


def has_running_members(plan: PlanJobs, number: int) -> bool:
    """Whether a member of a run may still be on a machine, or has an end that is not durable."""
    return any(
        job.phase == Phase.OPEN and job.attempts and plan.run_number(job.queue_position) == number
        for job in plan.all_jobs()
    )
