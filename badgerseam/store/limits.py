"""Limits of the state service on transactions, by which every transaction is composed."""

from __future__ import annotations

from dataclasses import dataclass, replace

from badgerseam.settings import StateParams

MAX_TRANSACTION_BYTES = 56 * 1024
"""Less than the state service's limit of 64 KiB, since the size of a batch is estimated as the sum
of its proposals' sizes."""
CONDITIONS_PER_WRITE = 4
"""Maximum number of conditions of a transaction, per write that it may contain."""
MIN_VALUE_BYTES = 1024
"""The value limit is not lowered below this after a rejection."""


@dataclass(frozen=True, slots=True)
class LimitViolation:
    """A part of a transaction that exceeds a limit."""

    key: str
    """The key with the largest value."""
    quantity: str
    """The name of the field of `TransactionLimits` that is exceeded."""
    size: int
    limit: int

    def __str__(self) -> str:
        return f"key={self.key} {self.quantity}={self.size} limit={self.limit}"


@dataclass(frozen=True, slots=True)
class TransactionSize:
    """What a transaction contains, in the units of `TransactionLimits`."""

    largest_key: str
    """The key with the largest value."""
    value_bytes: int
    """Size of the largest value."""
    writes: int
    conditions: int
    transaction_bytes: int


@dataclass(frozen=True, slots=True)
class TransactionLimits:
    """What one transaction may contain."""

    value_bytes: int
    """Maximum size of a value."""
    writes: int
    """Maximum number of keys that are written."""
    conditions: int
    """Maximum number of keys whose version is compared."""
    transaction_bytes: int = MAX_TRANSACTION_BYTES
    """Maximum size of the whole transaction."""

    @classmethod
    def of(cls, params: StateParams) -> TransactionLimits:
        """Returns the limits that hold under the settings both now and later.

        The state service lowers its limits without notice, so that what is composed must be within
        the later limits from the start.
        """
        lowest = params.lowest
        return cls.of_writes(int(lowest.value_kb * 1024), lowest.txn_ops)

    @classmethod
    def of_writes(cls, value_bytes: int, writes: int) -> TransactionLimits:
        """Returns the limits of a state service that allows this many writes."""
        return cls(value_bytes, writes, CONDITIONS_PER_WRITE * writes)

    def violation(self, size: TransactionSize) -> LimitViolation | None:
        """Returns the first limit that a transaction exceeds, or None."""
        for quantity in ("value_bytes", "writes", "conditions", "transaction_bytes"):
            actual, limit = getattr(size, quantity), getattr(self, quantity)
            if actual > limit:
                return LimitViolation(size.largest_key, quantity, actual, limit)
        return None

    def lowered(self, rejected: TransactionSize) -> TransactionLimits:
        """Returns limits that a transaction exceeds which the state service has rejected.

        The response does not say which limit was exceeded: the size of values is lowered first,
        and then the number of writes.
        """
        if rejected.value_bytes > MIN_VALUE_BYTES:
            lower_bytes = max(MIN_VALUE_BYTES, rejected.value_bytes // 2)
            return replace(self, value_bytes=min(self.value_bytes, lower_bytes))
        if rejected.writes > 1:
            writes = min(self.writes, rejected.writes // 2)
            return TransactionLimits.of_writes(self.value_bytes, writes)
        return self
