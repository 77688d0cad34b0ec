"""Compaction of the task log: which entries of a page are still live when it is rewritten."""

from __future__ import annotations

from dataclasses import dataclass, field

from badgerseam.levels.table import Behaviour
from badgerseam.model import done_bits
from badgerseam.model.job import FINISHED, Attempt, Job, NoteKey, Phase, Stage
from badgerseam.model.model import Model
from badgerseam.model.state import Page
from badgerseam.wire import state as wire


@dataclass(slots=True)
class Superseded:
    """What the current transaction writes, so that older pages no longer have to contain it."""

    attempts: set[int] = field(default_factory=set)
    """The `id()` of planned attempts."""
    chunks: dict[str, set[int]] = field(default_factory=dict)
    """Chunks whose sets of finished tasks are written, by job."""
    notes: set[tuple[str, NoteKey]] = field(default_factory=set)
    """Notes, each with the id of its job."""


def live_entries(
    model: Model, page: Page, number: int, superseded: Superseded
) -> dict[str, wire.JobRows]:
    """Returns the live entries of the page with this number, in their current form, by job."""
    live: dict[str, wire.JobRows] = {}
    has_starts = model.is_active(Behaviour.ATTEMPT_STARTS)
    # Attempts are timed with the process's clock, stored times of day with the wall clock.
    wall_offset = model.clock.wall() - model.clock.now()
    for entry in page.jobs.values():
        job = model.job(entry.job)
        if job is None:
            # The job has ended and was removed from the model.
            continue
        done = _live_bits(model, job, entry, number, superseded)
        rows = _live_rows(job, entry, superseded)
        starts = _starts(job, rows, wall_offset) if has_starts else []
        notes = _live_notes(job, entry, number, superseded)
        if done or rows or notes:
            live[job.id] = wire.JobRows(job.id, done, rows, starts, notes)
    return live


def count_missing_starts(model: Model, page: Page, min_runtime_s: float) -> int:
    """Counts the rows without a start time whose attempt has run for at least this long."""
    latest_start = model.clock.now() - min_runtime_s
    count = 0
    for entry in page.jobs.values():
        job = model.job(entry.job)
        if job is None:
            continue
        tasks_with_start = {task for task, _ in entry.starts}
        for row in entry.rows:
            attempt = job.attempts.get(row.task)
            count += (
                row.task not in tasks_with_start
                and attempt is not None
                and attempt.number == row.attempt
                and not attempt.inherited
                and 0 < attempt.started_at <= latest_start
            )
    return count


def _live_bits(
    model: Model, job: Job, entry: wire.JobRows, number: int, superseded: Superseded
) -> list[done_bits.Part]:
    """Returns the live parts of an entry, in the form of the site's level."""
    live: list[done_bits.Part] = []
    is_explicit = model.is_active(Behaviour.SMALL_VALUES)
    for part in entry.done:
        first, bits = done_bits.decode(part, model.original_chunk_tasks)
        chunks = [
            (chunk, chunk_bits)
            for chunk, chunk_bits in done_bits.split(first, bits, job.chunk_size)
            if _is_live_chunk(model, job, chunk, chunk_bits, number, superseded)
        ]
        if is_explicit:
            live += [done_bits.encode(chunk * job.chunk_size, found) for chunk, found in chunks]
        elif chunks:
            # The chunks of a part of the original form are written together.
            live.append(part)
    return live


def _is_live_chunk(
    model: Model, job: Job, chunk: int, bits: int, number: int, superseded: Superseded
) -> bool:
    """Whether a page has to keep its bits of a chunk."""
    if chunk in superseded.chunks.get(job.id, ()):
        return False
    latest = job.done_bits_page.get(chunk)
    if latest is None:
        return False
    if latest == number:
        return True
    return job.has_unaligned_bits and bits & ~_stored_bits(model, job, chunk, latest) != 0


def _stored_bits(model: Model, job: Job, chunk: int, number: int) -> int:
    """Returns the bits of a chunk that a page contains."""
    page = model.pages[job.shard].get(number)
    entry = None if page is None else page.jobs.get(job.id)
    found = 0
    for part in [] if entry is None else entry.done:
        first, bits = done_bits.decode(part, model.original_chunk_tasks)
        chunks = dict(done_bits.split(first, bits, job.chunk_size))
        found |= chunks.get(chunk, 0)
    return found


def _live_rows(job: Job, entry: wire.JobRows, superseded: Superseded) -> list[wire.TaskRow]:
    rows = (_live_row(job, row, superseded) for row in entry.rows)
    return [row for row in rows if row is not None]


def _live_row(job: Job, row: wire.TaskRow, superseded: Superseded) -> wire.TaskRow | None:
    """Returns a row in its current form, or None if it is no longer live.

    A row without a machine keeps an attempt's number from being used again.
    """
    task = row.task
    # The attempt number of a task that finished under a previous owner is not known, even if other
    # tasks of its chunk have completions that are not durable yet.
    if job.status[task] == FINISHED and (
        task not in job.tries or not _is_completion_pending(job, task, superseded)
    ):
        return None
    attempt = job.attempts.get(task)
    if attempt is None:
        if job.phase != Phase.OPEN:
            return None
        # A later attempt than the row's may have been undone before it became durable.
        return wire.TaskRow(task, job.tries[task], None)
    if row.attempt == job.tries.get(task):
        return row
    if _is_undurable(attempt, superseded):
        return wire.TaskRow(task, row.attempt, None)
    return None


def _is_undurable(attempt: Attempt, superseded: Superseded) -> bool:
    """Whether an attempt is neither durable nor part of the current transaction."""
    return attempt.stage == Stage.PLANNED and id(attempt) not in superseded.attempts


def _is_completion_pending(job: Job, task: int, superseded: Superseded) -> bool:
    """Whether the completion of a finished task may not be durable yet, and is not part of the
    current transaction."""
    chunk = task // job.chunk_size
    return chunk in job.done_bits_changed and chunk not in superseded.chunks.get(job.id, ())


def _starts(job: Job, rows: list[wire.TaskRow], wall_offset: float) -> list[tuple[int, int]]:
    """Returns tasks and when their attempts started, in tenths of a second after acceptance."""
    starts: list[tuple[int, int]] = []
    for row in rows:
        attempt = job.attempts.get(row.task)
        if attempt is None or row.attempt != job.tries.get(row.task):
            continue
        if attempt.started_at > 0 and not attempt.inherited:
            after_s = attempt.started_at + wall_offset - job.submitted
            starts.append((row.task, max(0, round(10 * after_s))))
    return starts


def _live_notes(
    job: Job, entry: wire.JobRows, number: int, superseded: Superseded
) -> list[wire.Note]:
    if job.phase != Phase.OPEN:
        return []
    notes: list[wire.Note] = []
    for note in entry.notes:
        key: NoteKey = (type(note), note.number)
        if job.notes_page.get(key) == number and (job.id, key) not in superseded.notes:
            notes.append(note)
    return notes
