"""Entries of task log pages: their sizes, and how they are split and merged to fill pages."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

from badgerseam.model.model import Model
from badgerseam.wire import state as wire

FILL_FRACTION = 0.95
"""Fraction of a value's maximum size that a page uses."""
MAX_NOTES_BYTES = 1024
"""Size of the notes at which a part of an entry is complete."""
MAX_PART_ROWS = 64
"""Maximum number of rows, or of notes, in one part of an entry."""


def page_capacity(model: Model) -> int:
    """Returns how many bytes of entries a page may contain."""
    return int(model.settings.params.state.value_kb * 1024 * FILL_FRACTION)


def entry_size(entry: wire.JobRows) -> int:
    """Returns the size of an entry in a page in bytes, including its separator."""
    return len(wire.encode(entry)) + 1


def split_entry(entry: wire.JobRows) -> list[wire.JobRows]:
    """Splits an entry into parts that are each much smaller than a page."""
    parts = [
        wire.JobRows(entry.job, [], entry.rows[first : first + MAX_PART_ROWS])
        for first in range(0, len(entry.rows), MAX_PART_ROWS)
    ]
    parts += [wire.JobRows(entry.job, [bits], []) for bits in entry.done]
    parts += [wire.JobRows(entry.job, [], [], [], notes) for notes in _split_notes(entry.notes)]
    return parts


def _split_notes(notes: list[wire.Note]) -> Iterator[list[wire.Note]]:
    """Splits notes by size and number, since their sizes differ: a note on a move contains machine
    names and takes some hundred bytes."""
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
    """Moves entries from the queue into a page's content, which has this size, until it is full.

    An empty page takes at least one entry, regardless of its size.
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
