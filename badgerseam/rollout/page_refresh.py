"""Low-priority migration of task log pages to the format of the site's level.

A page is rewritten whenever one of its tasks starts or ends, and then gets the format of the level.
A page that is not rewritten for long (long tasks, replicas) would stay in the older format.
Therefore the owner of a shard examines one of its pages at a time, and rewrites the page if that is
worthwhile and the write budget is not used up. A rewrite is one transaction that is conditional on
the versions of the page, the claim and the level: if repeated it changes nothing, if applied late
it fails, and the next owner of the shard continues from the pages themselves.
"""

from __future__ import annotations

from badgerseam.levels.table import Behaviour
from badgerseam.model.model import Model
from badgerseam.model.state import Page
from badgerseam.store.committer import GroupCommitter
from badgerseam.store.ledger import Ledger
from badgerseam.store.log_compaction import count_missing_starts
from badgerseam.store.page_rewriter import PageRewriter
from badgerseam.wire.rollout import RefreshProgress

MIN_RUNTIME_S = 20.0
"""Tasks that have run for fewer seconds may end soon and do not justify a write."""


class PageRefresh:
    """Rewrites the pages of owned shards whose rows lack the start times of attempts."""

    def __init__(self, model: Model, ledger: Ledger, committer: GroupCommitter) -> None:
        self._model = model
        self._rewriter = PageRewriter(model, ledger, committer, self._lacks_starts)

    def review(self) -> None:
        """Examines one page of each owned shard.

        Called about once per second with the model's lock held.
        """
        if self._model.is_active(Behaviour.ATTEMPT_STARTS):
            self._rewriter.review()

    def _lacks_starts(self, page: Page) -> bool:
        return count_missing_starts(self._model, page, MIN_RUNTIME_S) > 0

    def view(self) -> RefreshProgress:
        """Returns how many rows are in the newer format.

        It reads all pages, so it is meant for operators' requests only.
        """
        model = self._model
        rows = missing = 0
        for shard in model.shards:
            if not shard.owned:
                continue
            for page in model.pages[shard.index].values():
                rows += sum(len(entry.rows) for entry in page.jobs.values())
                missing += count_missing_starts(model, page, MIN_RUNTIME_S)
        return RefreshProgress(rows, missing, self._rewriter.written)
