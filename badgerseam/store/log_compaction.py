"""Compaction of the task log: which entries of a page still count when it is written again."""

from __future__ import annotations

from dataclasses import dataclass, field

from badgerseam.levels.table import Behaviour
from badgerseam.model.job import FINISHED, Attempt, Job, NoteKey, Phase, Stage
from badgerseam.model.model import Model
from badgerseam.model.state import Page
from badgerseam.wire import state as wire


@dataclass(slots=True)
class Superseded:
    """What the transaction at hand writes anew, so that older pages need not hold it."""

    attempts: set[int] = field(default_factory=set)
    """Planned attempts, by `id`."""
    chunks: dict[str, set[int]] = field(default_factory=dict)
    """Chunks of finished tasks, by job."""
    notes: set[tuple[str, NoteKey]] = field(default_factory=set)
    """Jobs and their notes."""


def live_entries(
    model: Model, page: Page, number: int, superseded: Superseded
) -> dict[str, wire.JobRows]:
    """What of the page with this number still counts, as it is now, by job."""
    live: dict[str, wire.JobRows] = {}
    has_starts = model.is_active(Behaviour.ATTEMPT_STARTS)
    # Attempts are timed by the process's clock, the stored times of day by the wall clock.
    wall_offset = model.clock.wall() - model.clock.now()
    for entry in page.jobs.values():
        job = model.job(entry.job)
        if job is None:
            # Ended, with nothing left.
            continue
        done = _live_bits(job, entry, number, superseded)
        rows = _live_rows(job, entry, superseded)
        starts = _starts(job, rows, wall_offset) if has_starts else []
        notes = _live_notes(job, entry, number, superseded)
        if done or rows or notes:
            live[job.id] = wire.JobRows(job.id, done, rows, starts, notes)
    return live


def count_missing_starts(model: Model, page: Page, min_runtime_s: float) -> int:
    """How many rows lack the start of an attempt that has run for at least this long."""
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
    job: Job, entry: wire.JobRows, number: int, superseded: Superseded
) -> list[tuple[int, str]]:
    superseded_chunks = superseded.chunks.get(job.id, ())
    return [
        (chunk, bits)
        for chunk, bits in entry.done
        if job.done_bits_page.get(chunk) == number and chunk not in superseded_chunks
    ]


def _live_rows(job: Job, entry: wire.JobRows, superseded: Superseded) -> list[wire.TaskRow]:
    rows = (_live_row(job, row, superseded) for row in entry.rows)
    return [row for row in rows if row is not None]


def _live_row(job: Job, row: wire.TaskRow, superseded: Superseded) -> wire.TaskRow | None:
    """A row as it is to be written again, or None if it no longer counts.

    A row without a machine remembers an attempt's number, so that it is not used twice.
    """
    task = row.task
    # A task that finished before this owner read it has no known attempt number, although others
    # of its chunk may have unsaved bits.
    if job.status[task] == FINISHED and (
        task not in job.tries or not _is_completion_pending(job, task)
    ):
        return None
    attempt = job.attempts.get(task)
    if attempt is None:
        if job.phase != Phase.OPEN:
            return None
        # The attempt after the row's may have been taken back before it was durable.
        return wire.TaskRow(task, job.tries[task], None)
    if row.attempt == job.tries.get(task):
        return row
    if _is_undurable(attempt, superseded):
        return wire.TaskRow(task, row.attempt, None)
    return None


def _is_undurable(attempt: Attempt, superseded: Superseded) -> bool:
    """Whether an attempt is neither durable nor part of the transaction at hand."""
    return attempt.stage == Stage.PLANNED and id(attempt) not in superseded.attempts


def _is_completion_pending(job: Job, task: int) -> bool:
    """Whether a task has finished and this is not durable yet."""
    return task // job.chunk_size in job.done_bits_changed


def _starts(job: Job, rows: list[wire.TaskRow], wall_offset: float) -> list[tuple[int, int]]:
    """The tasks whose attempts run, and when they started: tenths of a second after acceptance."""
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
