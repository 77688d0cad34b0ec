"""Splitting of pages that are too large to be written, since they were stored under a higher limit.

A page's content may need more pages than one transaction can write. Each step therefore copies
some of the page's live entries into new pages; the page itself stays as it is, and is read as
before. Once all entries that have no copy fit into the page, it is rewritten with these alone.
Until then a row may be stored twice, which changes nothing for a reader: the rows are the same, and
the latest attempt of a task takes precedence. Nothing but the pages records the progress, so that
the next owner continues.

Programs without this behaviour take a row of a cancelled job that leaves a page for an attempt that
has ended, so that pages are split from the level of small values on.
"""

from __future__ import annotations

from collections import deque

import msgspec

from badgerseam.model.keys import page_key
from badgerseam.model.model import Model
from badgerseam.model.state import Shard
from badgerseam.store.limits import TransactionLimits
from badgerseam.store.page_entries import entry_size, page_capacity, split_entry
from badgerseam.store.page_filling import fill_new_pages
from badgerseam.store.page_transaction import PageTransaction, begin_transaction
from badgerseam.wire import state as wire


def compose_split(
    model: Model,
    shard: Shard,
    number: int,
    content: dict[str, wire.JobRows],
    limits: TransactionLimits,
    max_writes: int,
) -> PageTransaction:
    """Builds the next step of splitting a page with this live content."""
    transaction = begin_transaction(model, shard)
    page = model.pages[shard.index][number]
    remaining = _without_copied_rows(content, _attempts_elsewhere(model, shard, number))
    size = sum(map(entry_size, remaining.values()))
    capacity = page_capacity(limits)
    if size <= capacity:
        transaction.set_page(number, remaining, size, page.version)
        return transaction
    # A step that is applied late must not bring rows back after the split.
    transaction.conditions[page_key(shard.index, number)] = page.version
    queue = deque(part for entry in remaining.values() for part in split_entry(entry, capacity))
    fill_new_pages(model, shard, transaction, queue, limits, max_writes)
    return transaction


def _attempts_elsewhere(model: Model, shard: Shard, number: int) -> dict[tuple[str, int], int]:
    """Returns the latest attempt of each task that is stored in the shard's other pages."""
    latest: dict[tuple[str, int], int] = {}
    for other, page in model.pages[shard.index].items():
        if other == number:
            continue
        for entry in page.jobs.values():
            for row in entry.rows:
                key = (entry.job, row.task)
                latest[key] = max(row.attempt, latest.get(key, 0))
    return latest


def _without_copied_rows(
    content: dict[str, wire.JobRows], elsewhere: dict[tuple[str, int], int]
) -> dict[str, wire.JobRows]:
    """Returns the entries without rows that another page has as well.

    Finished tasks and notes need no such check: the model knows the page that has them.
    """
    remaining: dict[str, wire.JobRows] = {}
    for job_id, entry in content.items():
        rows = [row for row in entry.rows if elsewhere.get((job_id, row.task), 0) < row.attempt]
        tasks = {row.task for row in rows}
        starts = [start for start in entry.starts if start[0] in tasks]
        if rows or entry.done or entry.notes:
            remaining[job_id] = msgspec.structs.replace(entry, rows=rows, starts=starts)
    return remaining
