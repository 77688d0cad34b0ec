"""Entries of task log pages: their sizes, and how they are cut and merged to fill pages."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

from badgerseam.model.model import Model
from badgerseam.wire import state as wire

FILL_FRACTION = 0.95
"""Part of a value's maximum size that a page uses."""
MAX_NOTES_BYTES = 1024
"""Of the notes in one part of an entry."""
MAX_PART_ROWS = 64
"""Rows, or notes, in one part of an entry."""


def page_capacity(model: Model) -> int:
    """How many bytes of entries a page holds."""
    return int(model.settings.params.state.value_kb * 1024 * FILL_FRACTION)


def entry_size(entry: wire.JobRows) -> int:
    """The bytes that an entry takes in a page, its separator included."""
    return len(wire.encode(entry)) + 1


def split_entry(entry: wire.JobRows) -> list[wire.JobRows]:
    """An entry in parts, each of them much smaller than a page."""
    parts = [
        wire.JobRows(entry.job, [], entry.rows[first : first + MAX_PART_ROWS])
        for first in range(0, len(entry.rows), MAX_PART_ROWS)
    ]
    parts += [wire.JobRows(entry.job, [bits], []) for bits in entry.done]
    parts += [wire.JobRows(entry.job, [], [], [], notes) for notes in _split_notes(entry.notes)]
    return parts


def _split_notes(notes: list[wire.Note]) -> Iterator[list[wire.Note]]:
    """Notes are of very different sizes: one on a move names machines, some hundred bytes."""
    part: list[wire.Note] = []
    size = 0
    for note in notes:
        part.append(note)
        size += len(wire.encode(note))
        if size >= MAX_NOTES_BYTES or len(part) == MAX_PART_ROWS:
            yield part
            part, size = [], 0
    if part:
        yield part


def fill_page(
    content: dict[str, wire.JobRows], size: int, queue: deque[wire.JobRows], capacity: int
) -> None:
    """Move entries from the queue into a page's content, which has this size, until it is full.

    An empty page takes one entry, whatever its size.
    """
    while queue and (size + entry_size(queue[0]) <= capacity or not content):
        entry = queue.popleft()
        size += entry_size(entry)
        present = content.get(entry.job)
        content[entry.job] = entry if present is None else _merge(present, entry)


def _merge(present: wire.JobRows, added: wire.JobRows) -> wire.JobRows:
    return wire.JobRows(
        added.job,
        present.done + added.done,
        present.rows + added.rows,
        present.starts,
        present.notes + added.notes,
    )
