"""Decides which replicas are part of a transaction on pages."""

from __future__ import annotations

from collections.abc import Iterable

from badgerseam.model.job import Attempt
from badgerseam.store.page_entries import row_size
from badgerseam.store.page_transaction import PageTransaction

REPLICA_NOTE_BYTES = 64
"""Approximate size of a replica's note, which is stored in addition to its members' rows."""


class ReplicaMembers:
    """Decides which replicas are part of a transaction: a replica's members are written together.

    A replica that is too large for one transaction is written in several; its members are launched
    only when all of them are durable (`Attempt.held_back`).
    """

    def __init__(
        self, planned: Iterable[Attempt], transaction: PageTransaction, max_bytes: int
    ) -> None:
        self._transaction = transaction
        self._max_bytes = max_bytes
        self._sizes: dict[tuple[str, int], int] = {}
        self._is_admitted: dict[tuple[str, int], bool] = {}
        for attempt in planned:
            if attempt.replica_index is not None:
                key = (attempt.job.id, attempt.replica_index)
                size = self._sizes.get(key, REPLICA_NOTE_BYTES)
                self._sizes[key] = size + row_size(attempt)

    def admits(
        self, attempt: Attempt, replica_index: int, free_bytes: int, has_max_jobs: bool
    ) -> bool:
        """Whether a member is added to the transaction, which has this many bytes free."""
        key = (attempt.job.id, replica_index)
        if key not in self._is_admitted:
            is_admitted = self._fits(key, free_bytes) and not has_max_jobs
            self._is_admitted[key] = is_admitted
            if is_admitted:
                self._transaction.replicas.add(key)
        fits_one_transaction = self._sizes[key] <= self._max_bytes
        return self._is_admitted[key] and (free_bytes > 0 or fits_one_transaction)

    def _fits(self, key: tuple[str, int], free_bytes: int) -> bool:
        is_empty = free_bytes == self._max_bytes and not self._transaction.planned
        return self._sizes[key] <= free_bytes or is_empty
