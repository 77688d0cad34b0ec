"""The queue of a group commit: proposals by urgency, priority class and age."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from badgerseam.store.client import StateUnavailableError
from badgerseam.store.proposal import Proposal, ProposalDroppedError, Urgency


class QueueEntry(NamedTuple):
    """A proposal at the position that it had when it was pushed."""

    urgency: int
    priority_class: int
    order: int
    """Unique, so that the proposals themselves are never compared."""
    proposal: Proposal

    @property
    def is_stale(self) -> bool:
        """Whether the proposal needs no sending, or was pushed again at an earlier position."""
        proposal = self.proposal
        if proposal.future.done() or proposal.is_sent:
            return True
        return (self.urgency, self.priority_class) != (proposal.urgency, proposal.priority_class)


class ProposalQueue:
    """A priority queue. An entry that went stale stays in it until it is popped."""

    def __init__(self) -> None:
        self._heap: list[QueueEntry] = []
        self._order = itertools.count()

    def __len__(self) -> int:
        """How many entries there are, stale ones included."""
        return len(self._heap)

    def __iter__(self) -> Iterator[Proposal]:
        """The proposals in no particular order, those of stale entries included."""
        return (entry.proposal for entry in self._heap)

    def push(self, proposal: Proposal, now: float) -> None:
        """Add a proposal, at its higher urgency if it has waited long enough for that."""
        if proposal.promoted_at is not None and now >= proposal.promoted_at:
            proposal.urgency = min(proposal.urgency, Urgency.PLACE)
        entry = QueueEntry(
            int(proposal.urgency), proposal.priority_class, next(self._order), proposal
        )
        heapq.heappush(self._heap, entry)

    def restore(self, entries: Iterable[QueueEntry]) -> None:
        """Put popped entries back at their old positions."""
        for entry in entries:
            heapq.heappush(self._heap, entry)

    def first(self) -> Proposal:
        """The proposal of the first entry, which may be stale; the queue must not be empty."""
        return self._heap[0].proposal

    def pop(self, now: float) -> QueueEntry | None:
        """The first proposal that may still be sent; those that may not are failed on the way."""
        while self._heap:
            entry = heapq.heappop(self._heap)
            proposal = entry.proposal
            if entry.is_stale:
                continue
            if proposal.wanted is not None and not proposal.wanted():
                proposal.fail(ProposalDroppedError(proposal.keys))
                continue
            if proposal.deadline is not None and now >= proposal.deadline:
                proposal.fail(StateUnavailableError("deadline"))
                continue
            return entry
        return None
