"""Writing pages anew that nothing else is written for, behind everything urgent."""

from __future__ import annotations

import heapq
from collections.abc import Callable

from badgerseam.model.model import Model
from badgerseam.model.state import Page, Shard
from badgerseam.store.committer import GroupCommitter, Urgency
from badgerseam.store.ledger import Ledger


class PageRewriter:
    """Pages of the shares that this controller owns, looked at in turn."""

    def __init__(
        self,
        model: Model,
        ledger: Ledger,
        committer: GroupCommitter,
        worth: Callable[[Page], bool],
        at_once: int = 1,
    ) -> None:
        """`worth`: whether a page is to be written anew; `at_once`: pages of a share that are
        looked at each time, until one is."""
        self._model = model
        self._ledger = ledger
        self._committer = committer
        self._worth = worth
        self._at_once = at_once
        self._turn: dict[int, int] = {}
        self.written = 0

    def review(self) -> None:
        """Write at most one page of each share anew; called about once a second, with the lock
        held."""
        for shard in self._model.shards:
            free = shard.owned and not shard.committing and not shard.planned
            if free and self._committer.wait_s(Urgency.UPKEEP) <= 0:
                self._review_shard(shard)

    def _review_shard(self, shard: Shard) -> None:
        pages = self._model.pages[shard.index]
        turn = self._turn.get(shard.index, -1)
        for number in heapq.nsmallest(self._at_once, pages, key=lambda n: (n <= turn, n)):
            self._turn[shard.index] = number
            if self._worth(pages[number]) and self._ledger.refresh(shard, number):
                self.written += 1
                return
