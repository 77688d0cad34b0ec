"""Notes of replicas that wait for a page which is written anyway.

A new owner can infer some phases from the tasks' rows and from heartbeats; a note of such a phase
is not worth a write of its own.
"""

from __future__ import annotations

from badgerseam.model.job import Job
from badgerseam.model.model import Model

MAX_NOTE_DELAY_S = 5.0
"""How long a note that a new owner does not need waits for a page that is written anyway."""


class DeferredNotes:
    """The jobs with notes to be written, and until when they may wait.

    Callers hold the model's lock.
    """

    def __init__(self, model: Model) -> None:
        self._model = model
        self._deferred: dict[int, tuple[Job, float]] = {}

    def defer(self, job: Job) -> None:
        """Write the job's notes with its page's next write, or after a delay."""
        self._deferred.setdefault(job.index, (job, self._model.clock.now() + MAX_NOTE_DELAY_S))

    def write_now(self, job: Job) -> None:
        """Write the job's notes as soon as possible."""
        self._write(job.index, job)

    def write_due(self, now: float) -> None:
        """Write the notes that have waited long enough."""
        for index, (job, until) in list(self._deferred.items()):
            if until <= now:
                self._write(index, job)

    def write_with_shard(self, shard: int) -> None:
        """Write the notes of all jobs of a shard, as its pages are written anyway."""
        for index, (job, _) in list(self._deferred.items()):
            if job.shard == shard:
                self._write(index, job)

    def drop(self, index: int) -> None:
        """Forget the notes of a job that this controller no longer acts for."""
        self._deferred.pop(index, None)

    def _write(self, index: int, job: Job) -> None:
        self._deferred.pop(index, None)
        if self._model.jobs[index] is job:
            self._model.shards[job.shard].notes_due.add(index)
