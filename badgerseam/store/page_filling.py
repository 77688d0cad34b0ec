"""Distributes entries to as few pages of a shard as possible, old pages first."""

from __future__ import annotations

from collections import deque

from badgerseam.model.model import Model
from badgerseam.model.state import Shard
from badgerseam.store.limits import TransactionLimits
from badgerseam.store.log_compaction import Superseded, live_entries
from badgerseam.store.page_entries import entry_size, fill_page, is_oversized, page_capacity
from badgerseam.store.page_transaction import PageTransaction
from badgerseam.wire import state as wire

MAX_OLD_PAGES_BYTES = 40 * 1024
"""Maximum total size of the old pages in a transaction; the limit of a transaction is 64 KiB."""
MAX_OLD_PAGES = 3
"""Number of old pages that are tried before a new one is created."""


def fill_old_pages(
    model: Model,
    shard: Shard,
    transaction: PageTransaction,
    queue: deque[wire.JobRows],
    superseded: Superseded,
    limits: TransactionLimits,
) -> None:
    """Moves entries from the queue into the least recently written pages with free space."""
    capacity = page_capacity(limits)
    pages = model.pages[shard.index]
    # Oversized pages are left to `page_split`: if they were tried here, they would be the least
    # recently written ones for ever, and no other page would be filled again.
    usable = [number for number in pages if not is_oversized(pages[number], limits)]
    oldest_first = sorted(usable, key=lambda number: pages[number].version)
    for position, number in enumerate(oldest_first[:MAX_OLD_PAGES]):
        if not queue or (position + 1) * capacity > MAX_OLD_PAGES_BYTES:
            break
        content = live_entries(model, pages[number], number, superseded)
        size = sum(map(entry_size, content.values()))
        if size + entry_size(queue[0]) <= capacity:
            size = fill_page(content, size, queue, capacity)
            transaction.set_page(number, content, size, pages[number].version)


def fill_new_pages(
    model: Model,
    shard: Shard,
    transaction: PageTransaction,
    queue: deque[wire.JobRows],
    limits: TransactionLimits,
    max_pages: int | None = None,
) -> None:
    """Moves entries from the queue into new pages, at most `max_pages` if that is given."""
    pages = model.pages[shard.index]
    number = created = 0
    while queue and (max_pages is None or created < max_pages):
        while number in pages or number in transaction.pages:
            number += 1
        content: dict[str, wire.JobRows] = {}
        size = fill_page(content, 0, queue, page_capacity(limits))
        transaction.set_page(number, content, size, 0)
        created += 1
