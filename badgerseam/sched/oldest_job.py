"""Ageing: promotes the low-priority job that has waited longest, so that it does not starve.

With deadline order alone, late jobs go last: in a long burst of submissions, a large array that is
late before any of its tasks is placed waits for six minutes while small jobs start and finish. Only
one job at a time is promoted, and only for a fraction of the starts: if all late jobs went first,
no job would start in time any more. The fraction is enforced with credit: each start of another
low-priority task adds credit to the shard, and each start of the oldest job uses some.
"""

from __future__ import annotations

from badgerseam.model.job import HIGH_RANK
from badgerseam.model.model import Model
from badgerseam.model.state import Shard
from badgerseam.sched.snapshot import Plan, Request

AGING_FRACTION = 0.5
"""Fraction of `begin_s`, the time within which a job should begin, after which it counts as
aged."""
OLDEST_JOB_FRACTION = 0.25
"""Fraction of the low-priority starts that the oldest job may use while it can still begin in time.
With 0.5, in a long burst of submissions, fewer large jobs begin completely in time than without
ageing, because newer large jobs, which could still begin in time, have to wait as well."""
LATE_FRACTION = 0.1
"""The same fraction for a job that can no longer begin in time."""
OLDEST_JOB_MAX_CREDIT = 64.0
"""Most starts that may be accumulated as credit for the oldest job."""
GANG_GATHER_S = 60.0
"""Longest time for which free capacity is kept for an aged gang before other work is placed."""


def find_oldest_request(
    model: Model, shard: Shard, requests: list[Request], begin_s: float
) -> Request | None:
    """Returns the request of the oldest aged job if the shard has credit for it; None otherwise.

    `begin_s`: seconds after submission within which all tasks of a job should have begun.
    """
    if shard.oldest_job_credit <= 0:
        return None
    now = model.clock.wall()
    aged_before = now - AGING_FRACTION * begin_s
    late_before = now - begin_s
    oldest: Request | None = None
    oldest_order = (False, 0)
    for request in requests:
        job = model.jobs[request.job]
        if request.rank >= HIGH_RANK or job is None or job.is_failing:
            continue
        # A task that has been tried counts as begun, even if it has been stopped or lost since.
        if job.submitted > aged_before or len(job.tries) >= job.tasks:
            continue
        order = (job.submitted <= late_before, job.queue_position)
        if oldest is None or order < oldest_order:
            oldest, oldest_order = request, order
    if oldest is not None:
        is_late = oldest_order[0]
        shard.oldest_job_fraction = LATE_FRACTION if is_late else OLDEST_JOB_FRACTION
    return oldest


def count_starts(shard: Shard, requests: list[Request], plan: Plan, now: float) -> None:
    """Updates the shard's credit for the oldest job after a plan."""
    oldest = next((request for request in requests if request.oldest_waiting), None)
    low_priority = {request.job for request in requests if request.rank < HIGH_RANK}
    for start in plan.starts:
        if oldest is not None and start.job == oldest.job:
            shard.oldest_job_credit -= 1.0 / shard.oldest_job_fraction - 1.0
        elif start.job in low_priority:
            shard.oldest_job_credit = min(shard.oldest_job_credit + 1.0, OLDEST_JOB_MAX_CREDIT)
    if oldest is None or oldest.job != shard.oldest_job:
        shard.oldest_job = None if oldest is None else oldest.job
        shard.oldest_job_since = now
    elif oldest.gathers_capacity and now - shard.oldest_job_since > GANG_GATHER_S:
        # The gang may never fit. Other jobs go first again until OLDEST_JOB_MAX_CREDIT of their
        # tasks have started.
        shard.oldest_job_credit = -OLDEST_JOB_MAX_CREDIT
        shard.oldest_job = None
