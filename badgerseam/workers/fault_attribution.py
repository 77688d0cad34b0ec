"""Whose fault it is that tasks fail: a faulty machine's, or that of a job with a mistake in it.

Told by evidence over jobs and machines: a machine is faulty on which several jobs fail that are not
to blame themselves; a job is, if it has failed on several machines and nothing of it was ever done
(`Job.at_fault`). Each is judged anew whenever a task fails, so that what was counted against a
machine goes as soon as it shows that the job fails everywhere, and comes back if something of that
job is done elsewhere after all.
"""

from __future__ import annotations

import logging

from badgerseam.model.job import Attempt, Job
from badgerseam.model.machine import Machine

log = logging.getLogger("badgerseam.workers")

FAULTY_JOBS = 3
"""Jobs that fail on a machine without being at fault themselves before it is drained."""
SETTLED_S = 10.0
"""A task that runs on for so long, and for twice as long as any of its job that failed, works."""


def record_failure(machine: Machine, attempt: Attempt, now: float) -> bool:
    """Note that a task has failed on a machine; whether the machine is faulty by what is known.

    Jobs with mistakes drained one good machine after the other, with all images that they held.
    """
    job = attempt.job
    was = job.is_at_fault
    ran_s = now - attempt.started_at if attempt.started_at > 0 else 0.0
    job.record_failure(now, machine.index, ran_s)
    if job.is_at_fault and not was:
        log.info("%s fails on every machine: tried one task at a time", job.id)
    machine.failed_jobs.add(job)
    return sum(not other.is_at_fault for other in machine.failed_jobs) >= FAULTY_JOBS


def record_completion(machine: Machine, job: Job) -> None:
    """A task of a job has completed on a machine."""
    machine.failed_jobs.discard(job)
    job.record_success()


def record_steady_run(attempt: Attempt, now: float) -> None:
    """A task is seen to run. Those of services never complete: one that runs on where others had
    failed tells that its job works."""
    job = attempt.job
    if job.errors and job.is_service:
        ran_s = now - attempt.started_at
        if ran_s > max(SETTLED_S, 2 * job.failed_after_s):
            job.record_success()
