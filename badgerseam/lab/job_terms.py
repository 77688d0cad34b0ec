"""The terms of jobs, as a rule checker holds starts against them.

The users' protocol knows no terms; the service does.
"""

from __future__ import annotations

from badgerseam.lab.judged_history import JudgedHistory, JudgedJob


def broken_terms(history: JudgedHistory, job: JudgedJob, wall: float) -> str:
    """Which of its terms a job breaks that has just started a task; empty if none.

    `wall` is the time of day.
    """
    terms = job.spec.terms
    if terms is None:
        return ""
    if terms.throttle is not None and job.running_tasks > terms.throttle:
        return f"{job.running_tasks} tasks at once, {terms.throttle} allowed"
    return unmet_terms(history, job, wall)


def unmet_terms(history: JudgedHistory, job: JudgedJob, wall: float) -> str:
    """Which of its terms forbids any start of a job at a time of day; empty if none does."""
    terms = job.spec.terms
    if terms is None:
        return ""
    if terms.hold and not job.is_released:
        return "started while it was held"
    if terms.begin_at is not None and wall < terms.begin_at:
        return "started before its begin time"
    for dependency in terms.depends:
        other = history.jobs.get(dependency.job)
        if other is None:
            return f"started, and {dependency.job} was never submitted"
        if not _is_met(dependency.kind, other, history):
            return f"started before {dependency.kind}:{dependency.job} was met"
    return ""


def _is_met(kind: str, job: JudgedJob, history: JudgedHistory) -> bool:
    """Whether a dependency of a kind on a job is met."""
    is_done = len(job.done_tasks) == job.spec.tasks
    is_cancelled = job.cancel_requested_at is not None
    return {
        "after": is_done or is_cancelled or job.spec.id in history.started_jobs,
        "afterany": is_done or is_cancelled,
        "afterok": is_done,
        "afternotok": is_cancelled,
    }[kind]
