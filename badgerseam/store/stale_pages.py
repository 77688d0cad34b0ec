"""Telling the others what has ended and is not placed anew.

A row is written when a task is placed, and again with whatever its page is written for. Of an
attempt that ended without being done, a controller that does not own the share would know only
then. On a quiet site that was never: the leader rented nothing for tasks that had been evicted or
had failed, and kept machines that it took for occupied by cancelled ones.
"""

from __future__ import annotations

from badgerseam.model.job import FINISHED, Phase
from badgerseam.model.model import Model
from badgerseam.model.state import Page
from badgerseam.store.committer import GroupCommitter
from badgerseam.store.ledger import Ledger
from badgerseam.store.page_rewriter import PageRewriter

PAGES_SCANNED = 8
"""Pages of a share at a time."""


def stale_page_rewriter(model: Model, ledger: Ledger, committer: GroupCommitter) -> PageRewriter:
    """What writes such pages anew."""
    return PageRewriter(model, ledger, committer, lambda page: is_stale(model, page), PAGES_SCANNED)


def is_stale(model: Model, page: Page) -> bool:
    """Whether a page places a task that is on no machine, and may be started or is cancelled."""
    now = model.clock.now()
    for entry in page.jobs.values():
        job = model.job(entry.job)
        if job is None:
            # Ended, with nothing left. Where it is done, its bits tell that of every row.
            ended = model.ended.get(entry.job)
            if ended is not None and ended[0] == Phase.CANCELLED and entry.rows:
                return True
            continue
        # What its owner does not start is nothing to rent for.
        if job.phase == Phase.OPEN and (job.is_failing or now < job.retry_at or not job.waiting()):
            continue
        for row in entry.rows:
            placed = row.machine is not None and job.status[row.task] != FINISHED
            if placed and row.task not in job.attempts:
                return True
    return False
