"""The interface through which the model reports jobs and attempts to the accounting."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from badgerseam.model.job import Attempt, Job
from badgerseam.wire.accounting import Usage
from badgerseam.wire.state import StoredJob


@dataclass(slots=True)
class UnsummarizedJob:
    """A cancelled job without a summary."""

    stored: StoredJob
    version: int
    shard: int | None
    usage: Usage | None = None
    """Measured by this controller."""


class JobAccounting(Protocol):
    """Called by the model at each change of a job, with the model's lock held."""

    loading: bool
    """A shard is being reloaded: what is placed and unplaced then is no new event."""

    def on_final_record(self, job_id: str, stored: StoredJob, version: int) -> None:
        """A job's final record, from the replica or written here."""

    def next_unsummarized(self) -> list[tuple[str, UnsummarizedJob]]:
        """Cancelled jobs of owned shards that have left all machines, a few of them."""

    def summarized_record(self, entry: UnsummarizedJob) -> StoredJob:
        """The final record of a cancelled job with its summary, without its description."""

    def on_job_opened(self, job: Job) -> None:
        """A job has become known, or its shard was reloaded."""

    def on_attempt_placed(self, attempt: Attempt) -> None:
        """An attempt has become durable."""

    def on_attempt_ended(self, attempt: Attempt, done: bool) -> None:
        """An attempt is over."""

    def usage(self, job: Job) -> Usage | None:
        """The summary of a job that is done."""

    def on_job_settled(self, job: Job) -> None:
        """A cancelled job has left all machines."""
