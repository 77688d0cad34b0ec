"""The task log: the tasks of a shard, stored in pages and compacted as it is written.

A page is one key and holds entries of many jobs. Each transaction writes all changes since the last
one, of any job, into the page that was written least recently, together with the entries of that
page that are still live. A burst of changes thus needs a single write, and no key is ever deleted.
"""

from __future__ import annotations

from collections import deque

from badgerseam.levels.table import Behaviour
from badgerseam.model.model import Model
from badgerseam.model.state import Shard
from badgerseam.store.change_selection import ChangeSelection
from badgerseam.store.limits import TransactionLimits
from badgerseam.store.log_compaction import Superseded, live_entries
from badgerseam.store.page_entries import entry_size, is_oversized, page_capacity, split_entry
from badgerseam.store.page_filling import MAX_OLD_PAGES, fill_new_pages, fill_old_pages
from badgerseam.store.page_split import compose_split
from badgerseam.store.page_transaction import PageTransaction, begin_transaction

MAX_NEW_BYTES = 12 * 1024
"""Maximum size of the new entries in a transaction."""
NEW_FRACTION = 0.5
"""Fraction of a value that new entries may use: the rest is left to entries that are already
there."""


def compose_refresh(
    model: Model, shard: Shard, number: int, limits: TransactionLimits, max_writes: int
) -> PageTransaction | None:
    """Builds a transaction that rewrites one page with the current state of its tasks.

    If that does not fit: for a page that was stored under a higher limit, the transaction is a step
    of splitting it, if the site's level allows that. Otherwise there is none: only its rows have
    grown by attempt starts.
    """
    transaction = begin_transaction(model, shard)
    page = model.pages[shard.index][number]
    content = live_entries(model, page, number, Superseded())
    size = sum(map(entry_size, content.values()))
    if size > page_capacity(limits):
        if not is_oversized(page, limits) or not model.is_active(Behaviour.SMALL_VALUES):
            return None
        return compose_split(model, shard, number, content, limits, max_writes)
    transaction.set_page(number, content, size, page.version)
    return transaction


def compose_transaction(model: Model, shard: Shard, limits: TransactionLimits) -> PageTransaction:
    """Builds a transaction with as many due changes as fit; the rest stays due.

    How much fits shows only when the pages are filled, since they keep their live entries. A
    transaction beyond the limits is therefore composed again from fewer changes.
    """
    max_bytes = _initial_max_bytes(limits)
    while True:
        selection = ChangeSelection(model, shard, limits, max_bytes)
        transaction = _fill_pages(model, shard, selection, limits)
        if transaction.fits(limits) or max_bytes <= 1:
            selection.take()
            return transaction
        max_bytes //= 2


def _initial_max_bytes(limits: TransactionLimits) -> int:
    new_values = max(1, limits.writes - MAX_OLD_PAGES)
    return min(MAX_NEW_BYTES, new_values * int(NEW_FRACTION * limits.value_bytes))


def _fill_pages(
    model: Model, shard: Shard, selection: ChangeSelection, limits: TransactionLimits
) -> PageTransaction:
    """Distributes the selected changes to pages."""
    transaction = selection.transaction
    capacity = page_capacity(limits)
    queue = deque(part for entry in selection.entries() for part in split_entry(entry, capacity))
    fill_old_pages(model, shard, transaction, queue, selection.superseded(), limits)
    fill_new_pages(model, shard, transaction, queue, limits)
    return transaction
