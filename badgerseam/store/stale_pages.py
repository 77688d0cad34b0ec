"""Rewriting of pages whose rows show attempts that have ended and were not placed again.

A row is written when a task is placed, and again whenever its page is written. Only then does a
controller that does not own the shard learn of an attempt that ended without being done. On a quiet
site that was never: the leader rented nothing for tasks that had been evicted or had failed, and
did not delete machines that cancelled tasks seemed to occupy.
"""

from __future__ import annotations

from badgerseam.model.job import FINISHED, Phase
from badgerseam.model.model import Model
from badgerseam.model.state import Page
from badgerseam.store.committer import GroupCommitter
from badgerseam.store.ledger import Ledger
from badgerseam.store.page_rewriter import PageRewriter

MAX_PAGES_SCANNED = 8
"""Pages of a shard that are examined at a time."""


def stale_page_rewriter(model: Model, ledger: Ledger, committer: GroupCommitter) -> PageRewriter:
    """A rewriter of the pages that are stale."""
    return PageRewriter(
        model, ledger, committer, lambda page: is_stale(model, page), MAX_PAGES_SCANNED
    )


def is_stale(model: Model, page: Page) -> bool:
    """Whether a page places a task that is on no machine, and may be started or is cancelled."""
    now = model.clock.now()
    for entry in page.jobs.values():
        job = model.job(entry.job)
        if job is None:
            # Ended, with nothing left. If it is done, so is the task of every row.
            ended = model.ended.get(entry.job)
            if ended is not None and ended[0] == Phase.CANCELLED and entry.rows:
                return True
            continue
        # No machine is to be rented for what its owner does not start now.
        if job.phase == Phase.OPEN and (job.is_failing or now < job.retry_at or not job.waiting()):
            continue
        for row in entry.rows:
            is_placed = row.machine is not None and job.status[row.task] != FINISHED
            if is_placed and row.task not in job.attempts:
                return True
    return False
