"""Background rewriting, at a low urgency, of pages that receive no new entries."""

from __future__ import annotations

import heapq
from collections.abc import Callable

from badgerseam.model.model import Model
from badgerseam.model.state import Page, Shard
from badgerseam.store.committer import GroupCommitter, Urgency
from badgerseam.store.ledger import Ledger


class PageRewriter:
    """Scans the pages of owned shards in turn and rewrites those that are due."""

    def __init__(
        self,
        model: Model,
        ledger: Ledger,
        committer: GroupCommitter,
        is_due: Callable[[Page], bool],
        max_scanned: int = 1,
    ) -> None:
        """`is_due`: whether a page should be rewritten; `max_scanned`: maximum number of pages of a
        shard that are examined per review, until one is due."""
        self._model = model
        self._ledger = ledger
        self._committer = committer
        self._is_due = is_due
        self._max_scanned = max_scanned
        self._last_scanned: dict[int, int] = {}
        """The number of the page that was examined last, by shard index."""
        self.written = 0
        """Number of rewrites that were started."""

    def review(self) -> None:
        """Rewrites at most one page per shard; called about once a second with the lock held."""
        for shard in self._model.shards:
            is_idle = shard.owned and not shard.committing and not shard.planned
            if is_idle and self._committer.wait_s(Urgency.UPKEEP) <= 0:
                self._review_shard(shard)

    def _review_shard(self, shard: Shard) -> None:
        pages = self._model.pages[shard.index]
        last = self._last_scanned.get(shard.index, -1)
        numbers = heapq.nsmallest(self._max_scanned, pages, key=lambda n: (n <= last, n))
        for number in numbers:
            self._last_scanned[shard.index] = number
            if self._is_due(pages[number]) and self._ledger.refresh(shard, number):
                self.written += 1
                return
