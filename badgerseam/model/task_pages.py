"""Applies pages of the task logs, which record finished tasks and the placements of others."""

from __future__ import annotations

import msgspec

from badgerseam.model import done_bits
from badgerseam.model.job import FINISHED, Attempt, Job, Phase, Stage
from badgerseam.model.placements import Placements
from badgerseam.model.state import Page
from badgerseam.wire import state as wire

START_UNITS_PER_S = 10
"""Resolution of the stored start of an attempt: tenths of a second after the job's acceptance."""


def apply_page(
    model: Placements, shard: int, number: int, value: msgspec.Raw | None, version: int
) -> None:
    """Applies a change of a page; None is a removal."""
    if shard >= len(model.shards):
        return
    entries = [] if value is None else wire.page_decoder.decode(value)
    size_bytes = 0 if value is None else len(memoryview(value))
    page = Page(version, {entry.job: entry for entry in entries}, size_bytes)
    before = model.pages[shard].pop(number, None)
    if value is not None:
        model.pages[shard][number] = page
    if model.shards[shard].owned:
        # The owner has already applied the changes that it writes.
        return
    known = {} if before is None else before.jobs
    for entry in entries:
        # Pages are written as a whole, and most entries are unchanged.
        job = None if known.get(entry.job) == entry else model.job(entry.job)
        if job is not None:
            apply_job_rows(model, job, entry, number)
    if before is not None:
        _unplace_removed_rows(model, shard, before, page)


def apply_job_rows(model: Placements, job: Job, entry: wire.JobRows, page: int) -> None:
    """Applies the entry of a job in a page.

    Pages are read in any order: the latest attempt of a task takes precedence, and a finished task
    stays finished.
    """
    for part in entry.done:
        first, bits = done_bits.decode(part, model.original_chunk_tasks)
        job.has_unaligned_bits |= first % job.chunk_size != 0
        for chunk, chunk_bits in done_bits.split(first, bits, job.chunk_size):
            new_bits = chunk_bits & ~job.done_bits.get(chunk, 0)
            if new_bits:
                job.done_bits_page[chunk] = page
                _apply_done_bits(model, job, chunk, new_bits)
    for note in entry.notes:
        job.read_note(note, page)
    starts = dict(entry.starts)
    for row in entry.rows:
        _apply_row(model, job, row, starts.get(row.task))


def _unplace_removed_rows(model: Placements, shard: int, before: Page, after: Page) -> None:
    """Removes attempts of cancelled jobs that the owner no longer lists: they have certainly
    ended, unless their rows have passed to another page, as when a page is split."""
    for name, entry in before.jobs.items():
        job = model.job(name)
        if job is None or job.phase == Phase.OPEN:
            continue
        remaining = after.jobs.get(name)
        remaining_tasks = set() if remaining is None else {row.task for row in remaining.rows}
        for row in entry.rows:
            attempt = job.attempts.get(row.task)
            if row.task in remaining_tasks or not attempt or attempt.number != row.attempt:
                continue
            if not _is_listed(model, shard, name, row):
                model.unplace(attempt)


def _is_listed(model: Placements, shard: int, job: str, row: wire.TaskRow) -> bool:
    """Whether a page of a shard contains a row."""
    entries = (page.jobs.get(job) for page in model.pages[shard].values())
    return any(entry is not None and row in entry.rows for entry in entries)


def _apply_done_bits(model: Placements, job: Job, chunk: int, bits: int) -> None:
    """Marks the tasks of a chunk whose bits are set as finished."""
    while bits:
        lowest = bits & -bits
        bits ^= lowest
        task = chunk * job.chunk_size + lowest.bit_length() - 1
        if task >= job.tasks:
            break
        attempt = job.attempts.get(task)
        if attempt is not None:
            model.unplace(attempt)
        job.mark_done(task)
        if job.status[task] != FINISHED:
            job.status[task] = FINISHED
            job.finished += 1


def _apply_row(model: Placements, job: Job, row: wire.TaskRow, start: int | None) -> None:
    """Applies the row of a task; `start`: when its attempt started to run, if the page has it."""
    task = row.task
    if task >= job.tasks or job.status[task] == FINISHED:
        return
    if row.attempt < job.tries.get(task, 0):
        return
    job.tries[task] = row.attempt
    machine_index = _machine_index(model, job, row)
    attempt = job.attempts.get(task)
    if attempt is not None:
        if machine_index == attempt.machine.index and attempt.number == row.attempt:
            _set_start(model, attempt, start)
            return
        if row.machine is None and attempt.number == row.attempt:
            job.record_unexplained_end(model.clock.now(), attempt.machine.index)
        model.unplace(attempt)
    if machine_index is not None:
        machine = model.machines[machine_index]
        placed = model.place(job, task, row.attempt, machine, Stage.PLACED)
        placed.inherited = placed.unseen = True
        # An earlier owner may have launched the attempt.
        job.on_launch_sent(placed)
        _set_start(model, placed, start)


def _machine_index(model: Placements, job: Job, row: wire.TaskRow) -> int | None:
    """Returns the index of a row's machine, or None if there is none any more.

    A machine that has been moved to another shard since does not count, because machines are only
    moved when they are empty.
    """
    index = None if row.machine is None else model.machine_index.get(row.machine)
    if index is not None and model.machines[index].shard != job.shard:
        return None
    return index


def _set_start(model: Placements, attempt: Attempt, start: int | None) -> None:
    """Sets the start time of an attempt of another owner, if it was recorded."""
    if start is not None:
        ran_s = model.clock.wall() - (attempt.job.submitted + start / START_UNITS_PER_S)
        attempt.started_at = model.clock.now() - max(0.0, ran_s)
        attempt.inherited = False
