"""Rewriting of pages whose rows show attempts that have ended and were not placed again, and of
pages that were stored under a higher limit.

A row is written when a task is placed, and again whenever its page is written. Only these writes
show other controllers that an attempt has ended without completing its task. On an idle site there
are no such writes, so without this module the leader rents no machines for tasks that were evicted
or failed, and does not delete machines that cancelled tasks still seem to occupy.
"""

from __future__ import annotations

from badgerseam.model.job import FINISHED, Phase
from badgerseam.model.model import Model
from badgerseam.model.state import Page
from badgerseam.store.committer import GroupCommitter
from badgerseam.store.ledger import Ledger
from badgerseam.store.page_entries import is_oversized
from badgerseam.store.page_rewriter import PageRewriter

MAX_PAGES_SCANNED = 8
"""Maximum number of pages of a shard that are examined per review."""
MAX_OVERSIZED_PAGES_SCANNED = 1000
"""The same for oversized pages, since only their sizes are compared."""


def stale_page_rewriter(model: Model, ledger: Ledger, committer: GroupCommitter) -> PageRewriter:
    """Creates a rewriter of stale pages."""
    return PageRewriter(
        model, ledger, committer, lambda page: is_stale(model, page), MAX_PAGES_SCANNED
    )


def oversized_page_rewriter(
    model: Model, ledger: Ledger, committer: GroupCommitter
) -> PageRewriter:
    """Creates a rewriter of pages that exceed the limits."""
    return PageRewriter(
        model,
        ledger,
        committer,
        lambda page: is_oversized(page, committer.limits),
        MAX_OVERSIZED_PAGES_SCANNED,
    )


def is_stale(model: Model, page: Page) -> bool:
    """Whether a page shows a task on a machine that is on none, and may start or is cancelled."""
    now = model.clock.now()
    for entry in page.jobs.values():
        job = model.job(entry.job)
        if job is None:
            # The job has ended and was removed from the model. If it is done, the tasks of all rows
            # are done as well, and the page is not stale.
            ended = model.ended.get(entry.job)
            if ended is not None and ended[0] == Phase.CANCELLED and entry.rows:
                return True
            continue
        # Tasks that the owner does not start now need no machine, so their rows may stay.
        if job.phase == Phase.OPEN and (job.is_failing or now < job.retry_at or not job.waiting()):
            continue
        for row in entry.rows:
            is_placed = row.machine is not None and job.status[row.task] != FINISHED
            if is_placed and row.task not in job.attempts:
                return True
    return False
