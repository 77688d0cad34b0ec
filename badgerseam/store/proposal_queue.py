"""The queue of a group commit: proposals ordered by urgency, priority class and age."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from badgerseam.store.client import StateUnavailableError
from badgerseam.store.proposal import Proposal, ProposalDroppedError, Urgency


class QueueEntry(NamedTuple):
    """A proposal and the position at which it was pushed."""

    urgency: int
    priority_class: int
    order: int
    """A unique sequence number, so that the proposals themselves are never compared."""
    proposal: Proposal

    @property
    def is_stale(self) -> bool:
        """Whether the proposal is done or sent, or was pushed again at an earlier position."""
        proposal = self.proposal
        if proposal.future.done() or proposal.is_sent:
            return True
        return (self.urgency, self.priority_class) != (proposal.urgency, proposal.priority_class)


class ProposalQueue:
    """A priority queue of proposals. Stale entries stay in it until they are popped."""

    def __init__(self) -> None:
        self._heap: list[QueueEntry] = []
        self._order = itertools.count()

    def __len__(self) -> int:
        """Returns the number of entries, including stale ones."""
        return len(self._heap)

    def __iter__(self) -> Iterator[Proposal]:
        """Yields the proposals in no particular order, including those of stale entries."""
        return (entry.proposal for entry in self._heap)

    def push(self, proposal: Proposal, now: float) -> None:
        """Adds a proposal, with the urgency of a placement if it is due for promotion."""
        if proposal.promoted_at is not None and now >= proposal.promoted_at:
            proposal.urgency = min(proposal.urgency, Urgency.PLACE)
        entry = QueueEntry(
            int(proposal.urgency), proposal.priority_class, next(self._order), proposal
        )
        heapq.heappush(self._heap, entry)

    def restore(self, entries: Iterable[QueueEntry]) -> None:
        """Puts popped entries back at their previous positions."""
        for entry in entries:
            heapq.heappush(self._heap, entry)

    def first(self) -> Proposal:
        """Returns the first entry's proposal, even if stale. The queue must not be empty."""
        return self._heap[0].proposal

    def pop(self, now: float) -> QueueEntry | None:
        """Removes and returns the first entry that may still be sent, or None.

        Proposals before it that should no longer be sent, or are past their deadline, are failed.
        """
        while self._heap:
            entry = heapq.heappop(self._heap)
            proposal = entry.proposal
            if entry.is_stale:
                continue
            if proposal.should_send is not None and not proposal.should_send():
                proposal.fail(ProposalDroppedError(proposal.keys))
                continue
            if proposal.deadline is not None and now >= proposal.deadline:
                proposal.fail(StateUnavailableError("proposal not sent before its deadline"))
                continue
            return entry
        return None
