"""Carrying pages over to the form of the site's level, behind everything else.

Pages are written again and again as tasks come and go, and take on the form of the level then. One
that nobody writes (long tasks, replicas) would stay in the older one. The owner of a share looks at
one page of it at a time, and writes it anew if that is worth it and there are changes a second to
spare. A step is one transaction on the stamps of the page, the claim and the level: done twice it
changes nothing, applied late it fails, and whoever owns the share next goes on from what the pages
say.
"""

from __future__ import annotations

from badgerseam.levels.table import Behaviour
from badgerseam.model.model import Model
from badgerseam.store.committer import GroupCommitter
from badgerseam.store.ledger import Ledger
from badgerseam.store.log_compaction import count_missing_starts
from badgerseam.store.page_rewriter import PageRewriter
from badgerseam.wire.rollout import RefreshProgress

MIN_RUN_S = 20.0
"""Tasks that have run for less may soon be over, and cost no write."""


class PageRefresh:
    """Of the shares that this controller owns."""

    def __init__(self, model: Model, ledger: Ledger, committer: GroupCommitter) -> None:
        self._model = model
        self._pages = PageRewriter(
            model, ledger, committer, lambda page: count_missing_starts(model, page, MIN_RUN_S) > 0
        )

    def review(self) -> None:
        """Look at one page of each owned share; called about once a second, with the lock held."""
        if self._model.is_active(Behaviour.ATTEMPT_STARTS):
            self._pages.review()

    def view(self) -> RefreshProgress:
        """How far it has come; looks at all pages, and is for operators' questions only."""
        model = self._model
        rows = behind = 0
        for shard in model.shards:
            if not shard.owned:
                continue
            for page in model.pages[shard.index].values():
                rows += sum(len(entry.rows) for entry in page.jobs.values())
                behind += count_missing_starts(model, page, MIN_RUN_S)
        return RefreshProgress(rows, behind, self._pages.written)
