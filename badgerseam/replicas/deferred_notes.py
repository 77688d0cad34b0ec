"""Defers the writes of replicas' notes until their page is written for another reason.

A new owner can infer some phases from the tasks' rows and from heartbeats; a note of such a phase
does not justify a write of its own.
"""

from __future__ import annotations

from badgerseam.model.job import Job
from badgerseam.model.model import Model

MAX_NOTE_DELAY_S = 5.0
"""How long a note that a new owner does not need waits for another write of its page."""


class DeferredNotes:
    """The jobs with notes to be written, each with the time until which the notes may wait.

    Callers hold the model's lock.
    """

    def __init__(self, model: Model) -> None:
        self._model = model
        self._deferred: dict[int, tuple[Job, float]] = {}

    def defer(self, job: Job) -> None:
        """Writes the job's notes with the next write of its page, at the latest after
        `MAX_NOTE_DELAY_S`."""
        self._deferred.setdefault(job.index, (job, self._model.clock.now() + MAX_NOTE_DELAY_S))

    def write_now(self, job: Job) -> None:
        """Writes the job's notes as soon as possible."""
        self._write(job.index, job)

    def write_due(self, now: float) -> None:
        """Writes the notes whose delay has expired."""
        for index, (job, until) in list(self._deferred.items()):
            if until <= now:
                self._write(index, job)

    def write_with_shard(self, shard: int) -> None:
        """Writes the notes of all jobs of a shard, when pages of the shard are written anyway."""
        for index, (job, _) in list(self._deferred.items()):
            if job.shard == shard:
                self._write(index, job)

    def drop(self, index: int) -> None:
        """Drops the notes of a job that this controller no longer manages."""
        self._deferred.pop(index, None)

    def _write(self, index: int, job: Job) -> None:
        self._deferred.pop(index, None)
        if self._model.jobs[index] is job:
            self._model.shards[job.shard].notes_due.add(index)
