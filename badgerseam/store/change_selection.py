"""Selects the changes of a shard that go into one transaction; the others stay due."""

from __future__ import annotations

from badgerseam.levels.table import Behaviour
from badgerseam.model import done_bits
from badgerseam.model.job import Attempt, Job, Phase, Stage
from badgerseam.model.keys import job_key
from badgerseam.model.model import Model
from badgerseam.model.state import Shard
from badgerseam.store.limits import TransactionLimits
from badgerseam.store.log_compaction import Superseded
from badgerseam.store.page_entries import entry_base_size, page_capacity, row_size
from badgerseam.store.page_transaction import begin_transaction
from badgerseam.store.replica_members import ReplicaMembers
from badgerseam.wire import state as wire

PART_BYTES = 16
"""Upper bound on the size of a part of a set of finished tasks without its digits."""


class ChangeSelection:
    """The selected changes of a shard. What is due does not change until `take` is called."""

    def __init__(
        self, model: Model, shard: Shard, limits: TransactionLimits, max_bytes: int
    ) -> None:
        """`max_bytes`: approximate size of the selected changes; at least one is selected."""
        self.transaction = begin_transaction(model, shard)
        self._model = model
        self._shard = shard
        self._capacity = page_capacity(limits)
        self._max_jobs = max(1, 3 * limits.writes - 3)
        self._free_bytes = max_bytes
        self._entries: dict[str, wire.JobRows] = {}
        """Entries with rows and finished tasks, by job."""
        self._note_entries: list[wire.JobRows] = []
        self._completed: list[Job] = []
        """Jobs whose finished tasks were considered."""
        self._noted: list[Job] = []
        """Jobs whose notes were considered."""
        self._add_planned_attempts()
        self._add_completions()
        self._add_notes()

    def entries(self) -> list[wire.JobRows]:
        """Returns the selected changes as entries of pages."""
        return [*self._entries.values(), *self._note_entries]

    def superseded(self) -> Superseded:
        """Returns what the selected changes supersede in older pages."""
        transaction = self.transaction
        superseded = Superseded(attempts=set(map(id, transaction.planned)))
        for job, chunk in transaction.done_chunks:
            superseded.chunks.setdefault(job.id, set()).add(chunk)
        superseded.notes = {(job.id, key) for job, key in transaction.notes}
        return superseded

    def take(self) -> None:
        """Removes the selected changes from what is due."""
        shard, transaction = self._shard, self.transaction
        planned = set(map(id, transaction.planned))
        shard.planned = [attempt for attempt in shard.planned if id(attempt) not in planned]
        for job, chunk in transaction.done_chunks:
            job.done_bits_changed.discard(chunk)
        for job in self._completed:
            if not job.done_bits_changed:
                shard.completions_due.pop(job.index, None)
        for job, key in transaction.notes:
            job.notes_changed.discard(key)
        for job in self._noted:
            if not job.notes_changed:
                shard.notes_due.discard(job.index)

    def _entry(self, job: Job) -> wire.JobRows:
        entry = self._entries.get(job.id)
        if entry is None:
            entry = self._entries[job.id] = wire.JobRows(job.id, [], [])
            self._free_bytes -= entry_base_size(job.id)
        return entry

    # ---- planned attempts ----

    def _add_planned_attempts(self) -> None:
        """Adds the rows of planned attempts, as many as fit."""
        shard = self._shard
        shard.planned = [attempt for attempt in shard.planned if _is_still_planned(attempt)]
        self._sort_by_priority(shard.planned)
        members = ReplicaMembers(shard.planned, self.transaction, self._free_bytes)
        for attempt in shard.planned:
            if self._admits(attempt, members):
                self._add_row(attempt)

    def _sort_by_priority(self, planned: list[Attempt]) -> None:
        model = self._model
        if model.class_of is not None:
            # Not all attempts may fit into the transaction: within a rank, those of the first
            # priority classes are written first.
            planned.sort(key=lambda attempt: (-attempt.job.rank, model.priority_class(attempt.job)))

    def _admits(self, attempt: Attempt, members: ReplicaMembers) -> bool:
        has_max_jobs = attempt.job.id not in self._entries and len(self._entries) >= self._max_jobs
        if attempt.replica_index is None:
            return self._free_bytes > 0 and not has_max_jobs
        return members.admits(attempt, attempt.replica_index, self._free_bytes, has_max_jobs)

    def _add_row(self, attempt: Attempt) -> None:
        job = attempt.job
        row = wire.TaskRow(attempt.task, attempt.number, attempt.machine.name)
        self._entry(job).rows.append(row)
        self._free_bytes -= row_size(attempt)
        self.transaction.conditions[job_key(job.id)] = job.version
        self.transaction.planned.append(attempt)

    # ---- finished tasks ----

    def _add_completions(self) -> None:
        """Adds the sets of finished tasks, job by job until no bytes are free."""
        due = self._shard.completions_due
        for index in list(due):
            job = self._model.jobs[index]
            if job is None or job.phase != Phase.OPEN:
                del due[index]
                continue
            if self._free_bytes <= 0:
                break
            self._completed.append(job)
            self._add_done_bits(job)

    def _add_done_bits(self, job: Job) -> None:
        for part, chunks in self._changed_parts(job):
            size = len(part[1]) + PART_BYTES
            if self._free_bytes <= 0 or size + entry_base_size(job.id) > self._capacity:
                continue
            self._entry(job).done.append(part)
            self._free_bytes -= size
            self.transaction.done_chunks += [(job, chunk) for chunk in chunks]
            self.transaction.finished += [
                attempt
                for attempt in job.attempts.values()
                if attempt.finishing and attempt.task // job.chunk_size in chunks
            ]

    def _changed_parts(self, job: Job) -> list[tuple[done_bits.Part, set[int]]]:
        """Returns the parts of the set of finished tasks that have changed, in the form of the
        site's level, with the chunks that each includes."""
        size = job.chunk_size
        if self._model.is_active(Behaviour.SMALL_VALUES):
            return [
                (done_bits.encode(chunk * size, job.done_bits[chunk]), {chunk})
                for chunk in sorted(job.done_bits_changed)
            ]
        original = self._model.original_chunk_tasks
        parts: list[tuple[done_bits.Part, set[int]]] = []
        for number in sorted({chunk * size // original for chunk in job.done_bits_changed}):
            chunks = {chunk for chunk in job.done_bits if chunk * size // original == number}
            first = number * original
            bits = sum(job.done_bits[chunk] << (chunk * size - first) for chunk in chunks)
            parts.append((done_bits.encode_original(number, bits), chunks))
        return parts

    # ---- notes ----

    def _add_notes(self) -> None:
        """Adds the notes that are due, as far as they still fit."""
        if not self._model.is_active(Behaviour.NOTES):
            return
        shard, model = self._shard, self._model
        shard.notes_due.update(shard.notes_deferred)
        shard.notes_deferred.clear()
        # Notes of replicas that are placed by this transaction are added even if no bytes are free,
        # so that a replica's note and its members become durable together.
        replicated = {
            job.index
            for name, _ in self.transaction.replicas
            if (job := model.job(name)) is not None
        }
        for index in [*replicated, *(shard.notes_due - replicated)]:
            job = model.jobs[index]
            if job is None or job.phase != Phase.OPEN:
                shard.notes_due.discard(index)
                continue
            self._noted.append(job)
            self._add_job_notes(job)
            if self._free_bytes <= 0 and index not in replicated:
                break

    def _add_job_notes(self, job: Job) -> None:
        added: list[wire.Note] = []
        for key in sorted(job.notes_changed, key=lambda key: key[1]):
            if self._free_bytes <= 0 and (job.id, key[1]) not in self.transaction.replicas:
                continue
            note = job.notes[key]
            size = len(wire.encode(note)) + 1
            if size + entry_base_size(job.id) > self._capacity:
                continue
            added.append(note)
            self._free_bytes -= size
            self.transaction.notes.append((job, key))
        if added:
            self._note_entries.append(wire.JobRows(job.id, [], [], [], added))


def _is_still_planned(attempt: Attempt) -> bool:
    return attempt.job.attempts.get(attempt.task) is attempt and attempt.stage == Stage.PLANNED
