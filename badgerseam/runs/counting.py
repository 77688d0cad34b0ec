"""How many members of a run stand in which way, counted in slices."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from badgerseam.model.job import Job, Phase
from badgerseam.model.model import Model
from badgerseam.runs.run_index import Book, PlanJobs, Standing

SLICE = 2000
"""Members looked at before the loop is let go of."""


@dataclass(slots=True)
class Counts:
    """Members by how they stand."""

    standings: Counter[Standing] = field(default_factory=Counter)
    failed: int = 0
    """Of those that are neither reckoned nor withdrawn: such as have failed as often as the plan
    tries them at first."""
    seen: int = 0
    """The revision at which counting began."""

    @property
    def total(self) -> int:
        return self.standings.total()

    @property
    def reckoned(self) -> int:
        return self.standings[Standing.RECKONED]

    @property
    def withdrawn(self) -> int:
        return self.standings[Standing.WITHDRAWN]

    @property
    def unresolved(self) -> int:
        """Neither reckoned nor withdrawn."""
        return self.total - self.reckoned - self.withdrawn

    def reasons(self) -> dict[str, int]:
        """Why members are unresolved: those that failed apart from those that did not come to it.
        Running and placed ones are told apart from the former as well."""
        known = self.standings
        waiting = known[Standing.WAITING] + known[Standing.ASIDE]
        parts = {
            "running": known[Standing.RUNNING],
            "placed": known[Standing.PLACED],
            "failed": self.failed,
            "waiting": waiting - self.failed,
        }
        return {name: count for name, count in parts.items() if count}


async def count(model: Model, book: Book, plan: PlanJobs, number: int) -> Counts:
    """Count a run's members. A job counts once, as it is when its turn comes; what is known to be
    done goes by the records, not by what an owner has only seen yet."""
    result = Counts()
    with model.lock:
        result.seen = model.revision
        jobs = plan.members(number)
        for ended in plan.ended.values():
            if plan.number(ended.place) == number:
                result.standings[Standing.RECKONED] += ended.reckoned
                result.standings[Standing.WITHDRAWN] += ended.tasks - ended.reckoned
    looked = 0
    for job in jobs:
        with model.lock:
            looked += 1 + _count(book, plan, job, result)
        if looked >= SLICE:
            looked = 0
            await asyncio.sleep(0)
    return result


def _count(book: Book, plan: PlanJobs, job: Job, result: Counts) -> int:
    """Add a job's members; in how many steps."""
    ended = plan.ended.get(job.id)
    if ended is not None:
        # Since the count began.
        result.standings[Standing.RECKONED] += ended.reckoned
        result.standings[Standing.WITHDRAWN] += ended.tasks - ended.reckoned
        return 1
    done = job.durably_done()
    result.standings[Standing.RECKONED] += done
    left = job.tasks - done
    for task in job.attempts:
        standing = book.standing(plan, job, task)
        if standing in (Standing.PLACED, Standing.RUNNING):
            result.standings[standing] += 1
            left -= 1
    failed = book.aside(plan, job)
    result.failed += failed
    if failed and book.phase(plan, job) in ("open", "reckoning"):
        result.standings[Standing.ASIDE] += failed
        left -= failed
    result.standings[Standing.WAITING] += left
    return len(job.attempts) + len(job.notes)


def through(book: Book, plan: PlanJobs, number: int) -> tuple[bool, int]:
    """Whether all members of a run's first round are reckoned, withdrawn or set aside, and how
    many are set aside. Steps: one a job while it is not, one a failed member at its end."""
    aside = 0
    for job in plan.all_jobs():
        if plan.number(job.place) != number:
            continue
        left = job.tasks - job.finished
        if left > len(job.notes) or left > (failed := book.aside(plan, job)):
            return False, 0
        aside += failed
    return True, aside


def begun(plan: PlanJobs, number: int) -> bool:
    """Whether a member of a run was placed, or has ended."""
    return any(
        plan.number(job.place) == number and (job.attempts or job.finished)
        for job in plan.all_jobs()
    ) or any(plan.number(ended.place) == number for ended in plan.ended.values())


def at_work(plan: PlanJobs, number: int) -> bool:
    """Whether a member of a run may still be on a machine, or has an end that is not durable."""
    return any(
        job.phase == Phase.OPEN and job.attempts and plan.number(job.place) == number
        for job in plan.all_jobs()
    )
