"""Proposals of writes, as they wait for a group commit."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import IntEnum

from badgerseam.errors import BadgerseamError
from badgerseam.store.client import StateUnavailableError
from badgerseam.wire.state import Condition, Transaction, Write, encode


class Urgency(IntEnum):
    """The order in which proposals are sent; lower values go first."""

    CLAIM = 0
    USER = 1
    PLACE = 2
    DONE = 3
    UPKEEP = 4
    MIGRATE = 5


WRITE_RESERVE = {
    Urgency.CLAIM: 0.0,
    Urgency.USER: 0.0,
    Urgency.PLACE: 0.0,
    Urgency.DONE: 0.15,
    Urgency.UPKEEP: 0.4,
    Urgency.MIGRATE: 0.5,
}
"""Fraction of the write budget's burst that proposals of an urgency leave to more urgent ones."""


class ProposalRejectedError(StateUnavailableError):
    """The state service calls the proposal malformed: it was not executed, and never will be."""


class ProposalDroppedError(BadgerseamError):
    """The proposal was no longer wanted before it was known to be committed."""

    def __init__(self, keys: Iterable[str]) -> None:
        super().__init__(f"proposal no longer wanted: {', '.join(sorted(keys))}")


@dataclass(slots=True, eq=False)
class Proposal:
    """Writes that are committed together, on conditions."""

    urgency: Urgency
    conditions: dict[str, int]
    """The version that each key must have; 0: the key must not exist."""
    writes: list[Write]
    future: asyncio.Future[int]
    """Resolves to the revision of the commit."""
    proposed_at: float
    deadline: float | None = None
    """After this time the proposal fails instead of being sent."""
    wanted: Callable[[], bool] | None = None
    """Asked before each sending; the proposal is dropped if it says no."""
    priority_class: int = 0
    """Order among proposals of the same urgency; lower values go first."""
    promoted_at: float | None = None
    """When the proposal becomes as urgent as a placement."""
    is_sent: bool = False
    """It is in a transaction that was sent and has not failed as a whole."""
    must_be_alone: bool = False
    """It was in a transaction called malformed; sent by itself, it tells whether it is at fault."""
    size_bytes: int = field(init=False)
    """Of a transaction that holds only this proposal."""
    keys: frozenset[str] = field(init=False)
    """The keys that are written."""

    def __post_init__(self) -> None:
        conditions = [Condition(key, version) for key, version in self.conditions.items()]
        self.size_bytes = len(encode(Transaction(conditions, self.writes)))
        self.keys = frozenset(write.put or write.delete or "" for write in self.writes)

    @property
    def has_lease(self) -> bool:
        """Whether a write attaches its key to a lease."""
        return any(write.lease for write in self.writes)

    def fail(self, error: Exception) -> None:
        """Hand an error to the proposer, unless it has given up."""
        if not self.future.done():
            self.future.set_exception(error)
