"""Linearizable reads: a cached record is confirmed against the state service before use."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass, field

from badgerseam.background import BackgroundTasks
from badgerseam.store.client import ConditionFailedError, StateClient, StateUnavailableError
from badgerseam.wire.state import Condition

log = logging.getLogger("badgerseam.api")

GATHER_S = 0.004
"""How long the first confirmation of a batch waits for others to join it."""
TIMEOUT_S = 1.2
"""Time limit of one comparing transaction."""
RESERVED_FRACTION = 0.3
"""Part of a second's requests to the state service that polls leave alone: users that ask many
times as often wait for the next comparison, which serves all who came meanwhile, and renewals of
leases, submissions and what follows the state service do not wait for them."""
BATCH_TRANSACTIONS = 4
"""Most keys of one comparison, as a multiple of a transaction's operations."""


@dataclass(slots=True)
class _PendingKey:
    """A key to confirm, and the requests that wait for the result."""

    version: int
    waiters: list[asyncio.Future[bool]] = field(default_factory=list)

    def resolve(self, is_unchanged: bool, error: Exception | None) -> None:
        """Give every waiter the result, or the error in its place."""
        for waiter in self.waiters:
            if waiter.done():
                continue
            if error is not None:
                waiter.set_exception(StateUnavailableError(str(error)))
            else:
                waiter.set_result(is_unchanged)


class VersionConfirmations:
    """Confirms by one comparing transaction that the keys asked about have not changed."""

    def __init__(self, state: StateClient) -> None:
        self._state = state
        self._pending: dict[str, _PendingKey] = {}
        self._is_running = False
        self._tasks = BackgroundTasks()

    async def unchanged(self, key: str, version: int) -> bool:
        """Whether the key still has the version (0: the key does not exist).

        Raises StateUnavailableError if the state service cannot confirm it.
        """
        waiter: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        pending = self._pending.get(key)
        if pending is not None and pending.version != version:
            return False
        self._pending.setdefault(key, _PendingKey(version)).waiters.append(waiter)
        if not self._is_running:
            self._is_running = True
            self._tasks.spawn(self._run())
        return await waiter

    async def _run(self) -> None:
        """Confirm batch after batch until no key is pending."""
        try:
            await asyncio.sleep(GATHER_S)
            while self._pending:
                await self._confirm_batch()
        finally:
            self._is_running = False

    async def _confirm_batch(self) -> None:
        """Compare the pending keys in one transaction; each of their waiters gets a result."""
        batch = self._take_batch()
        changed: set[str] = set()
        error: Exception | None = None
        try:
            conditions = [Condition(key, pending.version) for key, pending in batch.items()]
            await self._state.compare_and_swap(conditions, [], TIMEOUT_S, RESERVED_FRACTION)
        except ConditionFailedError as refusal:
            changed = set(refusal.failed)
        except StateUnavailableError as unavailable:
            error = unavailable
        except Exception as unforeseen:
            # Whatever it was, the next batch is confirmed: else no poll would ever be answered.
            log.exception("version confirmation failed")
            error = unforeseen
        for key, pending in batch.items():
            pending.resolve(key not in changed, error)

    def _take_batch(self) -> dict[str, _PendingKey]:
        """Remove the oldest pending keys, as many as one comparison may have."""
        max_keys = BATCH_TRANSACTIONS * self._state.params.txn_ops
        batch = dict(list(self._pending.items())[:max_keys])
        for key in batch:
            del self._pending[key]
        return batch
