"""Entries of task log pages: their sizes, and how they are split and merged to fill pages."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from typing import TypeVar

from badgerseam.model.job import Attempt
from badgerseam.model.state import Page
from badgerseam.store.limits import TransactionLimits
from badgerseam.wire import state as wire

FILL_FRACTION = 0.95
"""Fraction of a value's maximum size that a page uses."""
MAX_NOTES_BYTES = 1024
"""Size of the notes at which a part of an entry is complete."""
ENTRY_BYTES = 20
"""Size of an entry without its job's id, rows, finished tasks and notes."""
ROW_BYTES = 16
"""Approximate size of a row without its machine's name."""
MAX_PART_ROWS = 64
"""Maximum number of rows, or of notes, in one part of an entry."""

_Item = TypeVar("_Item", wire.TaskRow, wire.Note)


def page_capacity(limits: TransactionLimits) -> int:
    """Returns how many bytes of entries a page may contain."""
    return int(limits.value_bytes * FILL_FRACTION)


def is_oversized(page: Page, limits: TransactionLimits) -> bool:
    """Whether a page was stored under a higher limit, so that it cannot be written as it is."""
    return page.size_bytes > limits.value_bytes


def entry_size(entry: wire.JobRows) -> int:
    """Returns the size of an entry in a page in bytes, including its separator."""
    return len(wire.encode(entry)) + 1


def entry_base_size(job_id: str) -> int:
    """Returns an upper bound on the size of an entry without rows, finished tasks and notes."""
    return len(job_id) + ENTRY_BYTES


def row_size(attempt: Attempt) -> int:
    """Returns the approximate size of an attempt's row."""
    return ROW_BYTES + len(attempt.machine.name)


def split_entry(entry: wire.JobRows, capacity: int) -> list[wire.JobRows]:
    """Splits an entry into parts that each take up at most about half of a page."""
    max_bytes = capacity // 2
    parts = [
        wire.JobRows(entry.job, [], rows, _starts_of(rows, entry.starts))
        for rows in _split_items(entry.rows, max_bytes)
    ]
    parts += [wire.JobRows(entry.job, [bits], []) for bits in entry.done]
    max_note_bytes = min(MAX_NOTES_BYTES, max_bytes)
    parts += [
        wire.JobRows(entry.job, [], [], [], notes)
        for notes in _split_items(entry.notes, max_note_bytes)
    ]
    return parts


def _starts_of(rows: list[wire.TaskRow], starts: list[tuple[int, int]]) -> list[tuple[int, int]]:
    """Returns the starts of these rows' attempts."""
    if not starts:
        return []
    tasks = {row.task for row in rows}
    return [(task, start) for task, start in starts if task in tasks]


def _split_items(items: list[_Item], max_bytes: int) -> Iterator[list[_Item]]:
    """Splits rows or notes by size and number.

    The sizes of notes differ: a note on a move contains machine names and takes some hundred bytes.
    """
    part: list[_Item] = []
    size = 0
    for item in items:
        part.append(item)
        size += len(wire.encode(item))
        if size >= max_bytes or len(part) == MAX_PART_ROWS:
            yield part
            part, size = [], 0
    if part:
        yield part


def fill_page(
    content: dict[str, wire.JobRows], size: int, queue: deque[wire.JobRows], capacity: int
) -> int:
    """Moves entries from the queue into a page's content, which has this size, until it is full.

    An empty page takes at least one entry, regardless of its size. Returns an upper bound on the
    new size.
    """
    while queue and (size + entry_size(queue[0]) <= capacity or not content):
        entry = queue.popleft()
        size += entry_size(entry)
        present = content.get(entry.job)
        content[entry.job] = entry if present is None else _merge(present, entry)
    return size


def _merge(present: wire.JobRows, added: wire.JobRows) -> wire.JobRows:
    return wire.JobRows(
        added.job,
        present.done + added.done,
        present.rows + added.rows,
        present.starts + added.starts,
        present.notes + added.notes,
    )
