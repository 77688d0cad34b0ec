"""The interface through which the model reports jobs to the management of runs."""

from __future__ import annotations

from typing import Protocol

from badgerseam.model.job import Attempt, Job
from badgerseam.wire.state import StoredMember


class JobObserver(Protocol):
    """Called by the model with its lock held, so that no method may block."""

    def on_job_opened(self, job: Job) -> None:
        """A job has become known."""

    def on_job_ended(self, job_id: str, stored: StoredMember, job: Job | None) -> None:
        """A job's final record was seen for the first time; `job`: as it was until then."""

    def on_job_settled(self, job: Job) -> None:
        """A job is forgotten, nothing of it being on a machine any more."""

    def on_job_reread(self, job: Job) -> None:
        """A job of a newly owned shard was reloaded from the records."""

    def on_attempt_ended(self, attempt: Attempt) -> None:
        """An attempt is over, and its task waits again."""

    def on_run_changed(self, plan: str) -> None:
        """A record of a run was seen."""

    def plan_of(self, job: Job) -> str | None:
        """The plan that a job belongs to."""

    def holding_run_name(self, job: Job) -> str:
        """The run for which a job's members are deferred, for people."""
