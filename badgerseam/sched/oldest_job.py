"""The low-priority job that goes first because it has waited for longest.

By deadline alone what is late goes last, and in a long burst a large array, which is late before it
is placed, waited for six minutes beside small ones that came and went. One job at a time goes
first, and for a part of the starts only: were all that is late to go first, nothing would be in
time any more. Each start of other low-priority work gives the shard credit, each start of the
oldest job uses some.
"""

from __future__ import annotations

from badgerseam.model.job import HIGH_RANK
from badgerseam.model.model import Model
from badgerseam.model.state import Shard
from badgerseam.sched.snapshot import Plan, Request

AGING_FRACTION = 0.5
"""Part of the time in which a job should begin after which it ages."""
OLDEST_JOB_FRACTION = 0.25
"""Part of the starts of low-priority work that the oldest job may have while it can still begin in
time. Measured in a long burst: with half of them, fewer large jobs began whole in time than without
any ageing, since young ones, which could have, waited as well."""
LATE_FRACTION = 0.1
"""The same of a job that cannot begin in time any more."""
OLDEST_JOB_MAX_CREDIT = 64.0
"""Starts that may be saved up for the oldest job."""
GANG_GATHER_S = 60.0
"""How long free capacity is kept for an aged gang at most, before other work is placed."""


def find_oldest_request(
    model: Model, shard: Shard, requests: list[Request], begin_s: float
) -> Request | None:
    """The request that goes first, if one has waited for too long and the shard has credit for it.

    `begin_s`: the time in which a job should begin.
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
        # A task that was tried has begun: it was stopped, or lost, since.
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
    """Divide the starts of low-priority work between the oldest job and the others."""
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
        # It may never fit: others go on until as many of them have started.
        shard.oldest_job_credit = -OLDEST_JOB_MAX_CREDIT
        shard.oldest_job = None
