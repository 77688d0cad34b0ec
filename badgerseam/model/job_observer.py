"""Interface through which the model reports jobs to the management of runs."""

from __future__ import annotations

from typing import Protocol

from badgerseam.model.job import Attempt, Job
from badgerseam.wire.state import StoredMember


class JobObserver(Protocol):
    """Receives changes of jobs from the model. The model's lock is held, so no method may block."""

    def on_job_opened(self, job: Job) -> None:
        """Called when a job was added to the model."""

    def on_job_ended(self, job_id: str, stored: StoredMember, job: Job | None) -> None:
        """Called when a job's final record is read for the first time; `job`: its state before
        that."""

    def on_job_settled(self, job: Job) -> None:
        """Called when an ended job is removed from the model, with no attempts on machines left."""

    def on_job_reread(self, job: Job) -> None:
        """Called when a job of a newly owned shard was reloaded from the records."""

    def on_attempt_ended(self, attempt: Attempt) -> None:
        """Called when an attempt has ended and its task waits again."""

    def on_run_changed(self, plan: str) -> None:
        """Called when the record of a run has changed."""

    def plan_of(self, job: Job) -> str | None:
        """Returns the plan that a job belongs to; None if it belongs to none."""

    def holding_run_name(self, job: Job) -> str:
        """Returns the name of the run for which members of a job are deferred, for messages to
        users."""
