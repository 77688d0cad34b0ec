"""Proposals: writes with conditions that wait for a group commit."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import IntEnum

from badgerseam.errors import BadgerseamError
from badgerseam.store.client import StateUnavailableError
from badgerseam.store.limits import LimitViolation, TransactionSize
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
"""Fraction of the write budget's burst that each urgency leaves to more urgent proposals."""


class ProposalRejectedError(StateUnavailableError):
    """The state service rejected the proposal as malformed: it was not and will not be executed."""


class ProposalTooLargeError(ProposalRejectedError):
    """The proposal exceeds a limit of the state service, and was not sent."""

    def __init__(self, violation: LimitViolation) -> None:
        super().__init__(f"too large to be stored, shorten it: {violation}")
        self.violation = violation


class ProposalDroppedError(BadgerseamError):
    """The proposal was dropped because `should_send` returned False; an earlier attempt may have
    been committed."""

    def __init__(self, keys: Iterable[str]) -> None:
        super().__init__(f"proposal dropped as no longer needed: {', '.join(sorted(keys))}")


@dataclass(slots=True, eq=False)
class Proposal:
    """Writes that are committed together if all conditions hold."""

    urgency: Urgency
    conditions: dict[str, int]
    """The version that each key must have; 0 if the key must not exist."""
    writes: list[Write]
    future: asyncio.Future[int]
    """Resolves to the revision of the commit."""
    proposed_at: float
    deadline: float | None = None
    """Time after which the proposal fails instead of being sent."""
    should_send: Callable[[], bool] | None = None
    """Called before each attempt to send; the proposal is dropped if it returns False."""
    priority_class: int = 0
    """Order among proposals of the same urgency; lower values go first."""
    stored_value_bytes: int = 0
    """Size of values that it may have even beyond the limit; see `GroupCommitter.commit`."""
    promoted_at: float | None = None
    """Time at which the proposal becomes as urgent as a placement; None: never."""
    is_sent: bool = False
    """Whether it is in a transaction that was sent and has not been queued again since."""
    must_be_alone: bool = False
    """Whether it must be sent alone, since a transaction that contained it was rejected as
    malformed: sent alone, the response shows whether this proposal is the malformed one."""
    size: TransactionSize = field(init=False)
    """The size of a transaction that contains only this proposal."""
    keys: frozenset[str] = field(init=False)
    """The keys that are written."""

    def __post_init__(self) -> None:
        conditions = [Condition(key, version) for key, version in self.conditions.items()]
        transaction_bytes = len(encode(Transaction(conditions, self.writes)))
        self.keys = frozenset(write.put or write.delete or "" for write in self.writes)
        largest = max(self.writes, key=_value_bytes, default=Write())
        self.size = TransactionSize(
            largest.put or largest.delete or next(iter(self.conditions), ""),
            _value_bytes(largest),
            len(self.writes),
            len(self.conditions),
            transaction_bytes,
        )

    @property
    def has_lease(self) -> bool:
        """Whether a write attaches its key to a lease."""
        return any(write.lease for write in self.writes)

    def fail(self, error: Exception) -> None:
        """Raises the error in the caller of `commit`, unless the future is already done."""
        if not self.future.done():
            self.future.set_exception(error)


def _value_bytes(write: Write) -> int:
    return 0 if write.value is None else len(memoryview(write.value))
