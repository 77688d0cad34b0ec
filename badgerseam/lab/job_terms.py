"""Checks task starts against the terms of their jobs: holds, begin times, throttles, dependencies.

Terms are an extension by the service; the users' protocol does not define them.
"""

from __future__ import annotations

from badgerseam.lab.judged_history import JudgedHistory, JudgedJob


def find_violated_term(history: JudgedHistory, job: JudgedJob, wall_time: float) -> str:
    """Returns which of its terms a job violated by starting a task; empty if none.

    `wall_time` is the time of the start. The task is already counted in `job.running_tasks`.
    """
    terms = job.spec.terms
    if terms is None:
        return ""
    if terms.throttle is not None and job.running_tasks > terms.throttle:
        return f"{job.running_tasks} tasks running at once, the throttle allows {terms.throttle}"
    return find_unmet_term(history, job, wall_time)


def find_unmet_term(history: JudgedHistory, job: JudgedJob, wall_time: float) -> str:
    """Returns which of its terms forbids a job to start tasks at `wall_time`; empty if none."""
    terms = job.spec.terms
    if terms is None:
        return ""
    if terms.hold and not job.is_released:
        return "started while it was held"
    if terms.begin_at is not None and wall_time < terms.begin_at:
        return "started before its begin time"
    for dependency in terms.depends:
        other = history.jobs.get(dependency.job)
        if other is None:
            return f"started, but its dependency {dependency.job} was never submitted"
        if not _is_met(dependency.kind, other, history):
            return f"started before its dependency {dependency.kind}:{dependency.job} was met"
    return ""


def _is_met(kind: str, job: JudgedJob, history: JudgedHistory) -> bool:
    """Whether a dependency of type `kind` on a job is satisfied."""
    is_done = len(job.done_tasks) == job.spec.tasks
    is_cancelled = job.cancel_requested_at is not None
    return {
        "after": is_done or is_cancelled or job.spec.id in history.started_jobs,
        "afterany": is_done or is_cancelled,
        "afterok": is_done,
        "afternotok": is_cancelled,
    }[kind]
