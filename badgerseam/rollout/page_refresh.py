"""Migration of task log pages to the form of the site's level, behind everything else.

Pages are written again and again as tasks come and go, and take on the form of the level then. One
that is never written (long tasks, replicas) would stay in the older form. The owner of a shard
examines one page of it at a time, and writes it again if that is worthwhile and there are writes to
spare. A step is one transaction on the versions of the page, the claim and the level: repeated it
changes nothing, applied late it fails, and the next owner of the shard continues from the pages.
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
"""Tasks that have run for less may soon be over, and are not worth a write."""


class PageRefresh:
    """Refreshes the pages of owned shards that lack starts of attempts."""

    def __init__(self, model: Model, ledger: Ledger, committer: GroupCommitter) -> None:
        self._model = model
        self._rewriter = PageRewriter(model, ledger, committer, self._lacks_starts)

    def review(self) -> None:
        """Examine one page of each owned shard; called about once a second, with the lock held."""
        if self._model.is_active(Behaviour.ATTEMPT_STARTS):
            self._rewriter.review()

    def _lacks_starts(self, page: Page) -> bool:
        return count_missing_starts(self._model, page, MIN_RUNTIME_S) > 0

    def view(self) -> RefreshProgress:
        """How many rows are refreshed; reads all pages, and is for operators' requests only."""
        model = self._model
        rows = missing = 0
        for shard in model.shards:
            if not shard.owned:
                continue
            for page in model.pages[shard.index].values():
                rows += sum(len(entry.rows) for entry in page.jobs.values())
                missing += count_missing_starts(model, page, MIN_RUNTIME_S)
        return RefreshProgress(rows, missing, self._rewriter.written)
