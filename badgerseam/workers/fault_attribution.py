"""Whether a failed task speaks against its machine, or against a job with a mistake in it.

Decided by evidence over jobs and machines: a machine is faulty if several jobs fail on it that are
not at fault themselves; a job is at fault if it has failed on several machines and no task of it
was ever done (`Job.is_at_fault`). Each is judged anew whenever a task fails. What was counted
against a machine is dropped as soon as the job is seen to fail everywhere, and counts again if a
task of that job is done elsewhere after all.
"""

from __future__ import annotations

import logging

from badgerseam.model.job import Attempt, Job
from badgerseam.model.machine import Machine

log = logging.getLogger("badgerseam.workers")

FAULTY_JOBS = 3
"""Jobs that fail on a machine without being at fault themselves before it is drained."""
STEADY_RUN_S = 10.0
"""A task that runs on for so long, and for STEADY_RUN_FACTOR times as long as any of its job that
failed, works."""
STEADY_RUN_FACTOR = 2


def record_failure(machine: Machine, attempt: Attempt, now: float) -> bool:
    """Record that a task has failed on a machine; return whether the machine is faulty.

    Jobs with mistakes drained one good machine after the other, with all images that they cached.
    """
    job = attempt.job
    was_at_fault = job.is_at_fault
    ran_s = now - attempt.started_at if attempt.started_at > 0 else 0.0
    job.record_failure(now, machine.index, ran_s)
    if job.is_at_fault and not was_at_fault:
        log.info("job found at fault job=%s machines=%d", job.id, len(job.failed_on))
    machine.failed_jobs.add(job)
    return sum(not failed.is_at_fault for failed in machine.failed_jobs) >= FAULTY_JOBS


def record_completion(machine: Machine, job: Job) -> None:
    """Record that a task of a job has completed on a machine."""
    machine.failed_jobs.discard(job)
    job.record_success()


def record_steady_run(attempt: Attempt, now: float) -> None:
    """Record that a task is seen to run.

    Tasks of services never complete: one that runs on where others had failed shows that its job
    works.
    """
    job = attempt.job
    if job.errors and job.is_service:
        ran_s = now - attempt.started_at
        if ran_s > max(STEADY_RUN_S, STEADY_RUN_FACTOR * job.failed_after_s):
            job.record_success()
