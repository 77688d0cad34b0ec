"""Attributes task failures to faulty machines or to jobs that fail everywhere.

A machine is faulty if several jobs fail on it that are not at fault themselves. A job is at fault
if it has failed on several machines and no task of it has ever completed (`Job.is_at_fault`). Both
are evaluated again whenever a task fails. A job's failures stop counting against machines as soon
as the job is at fault, and count again if one of its tasks completes elsewhere after all.
"""

from __future__ import annotations

import logging

from badgerseam.model.job import Attempt, Job
from badgerseam.model.machine import Machine

log = logging.getLogger("badgerseam.workers")

FAULTY_JOBS = 3
"""Number of jobs, not at fault themselves, that have to fail on a machine for it to be drained."""
STEADY_RUN_S = 10.0
"""Seconds after which a running task shows that its job works, if it has also run longer than
STEADY_RUN_FACTOR times the longest run of a failed task of the job."""
STEADY_RUN_FACTOR = 2


def record_failure(machine: Machine, attempt: Attempt, now: float) -> bool:
    """Records that a task has failed on a machine; returns whether the machine is faulty.

    Jobs at fault do not count: otherwise they would cause one working machine after the other to be
    drained, and the images cached there to be lost.
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
    """Records that a task of a job has completed on a machine."""
    machine.failed_jobs.discard(job)
    job.record_success()


def record_steady_run(attempt: Attempt, now: float) -> None:
    """Records that a task is running; after a long enough run, clears its service's failures.

    Tasks of services never complete, so a task that keeps running after others have failed is what
    shows that the job works.
    """
    job = attempt.job
    if job.errors and job.is_service:
        ran_s = now - attempt.started_at
        if ran_s > max(STEADY_RUN_S, STEADY_RUN_FACTOR * job.failed_after_s):
            job.record_success()
