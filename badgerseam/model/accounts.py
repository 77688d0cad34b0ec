"""Interface through which the model reports jobs and attempts to the accounting."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from badgerseam.model.job import Attempt, Job
from badgerseam.wire.accounting import Usage
from badgerseam.wire.state import StoredJob


@dataclass(slots=True)
class UnsummarizedJob:
    """A cancelled job whose final record has no usage summary yet."""

    stored: StoredJob
    version: int
    shard: int | None
    usage: Usage | None = None
    """Usage measured by this controller."""


class JobAccounting(Protocol):
    """Receives each change of a job from the model, with the model's lock held."""

    loading: bool
    """Whether a shard is being reloaded; attempts placed or removed then are not new events."""

    def on_final_record(self, job_id: str, stored: StoredJob, version: int) -> None:
        """Called with a job's final record, read from the replica or written by this controller."""

    def next_unsummarized(self, max_jobs: int) -> list[tuple[str, UnsummarizedJob]]:
        """Returns up to `max_jobs` cancelled jobs of owned shards that have no attempts on machines
        left."""

    def summarized_record(self, entry: UnsummarizedJob) -> StoredJob:
        """Returns a cancelled job's final record with its summary, without its description."""

    def on_job_opened(self, job: Job) -> None:
        """Called when a job was added to the model or its shard was reloaded."""

    def on_attempt_placed(self, attempt: Attempt) -> None:
        """Called when an attempt has become durable."""

    def on_attempt_ended(self, attempt: Attempt, done: bool) -> None:
        """Called when an attempt has ended."""

    def usage(self, job: Job) -> Usage | None:
        """Returns the usage summary of a completed job."""

    def on_job_settled(self, job: Job) -> None:
        """Called when a cancelled job has no attempts on machines any more."""
