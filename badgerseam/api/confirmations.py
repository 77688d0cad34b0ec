"""Linearizable reads: a cached record is confirmed against the state service before use."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass, field

from badgerseam.background import BackgroundTasks
from badgerseam.store.client import (
    ConditionFailedError,
    MalformedRequestError,
    StateClient,
    StateUnavailableError,
)
from badgerseam.store.limits import TransactionLimits
from badgerseam.wire.state import Condition

log = logging.getLogger("badgerseam.api")

BATCH_WINDOW_S = 0.004
"""Seconds that the first confirmation of a batch waits for others to join it."""
TIMEOUT_S = 1.2
"""Timeout in seconds of one comparing transaction."""
RESERVED_FRACTION = 0.3
"""Fraction of the requests per second to the state service that polls leave unused. If users poll
far too often, their polls wait for the next comparison, which serves all that arrive meanwhile;
lease renewals, submissions and the watcher of the state service do not have to wait."""


@dataclass(slots=True)
class _PendingKey:
    """A key to confirm, and the requests that wait for the result."""

    version: int
    waiters: list[asyncio.Future[bool]] = field(default_factory=list)

    def resolve(self, is_unchanged: bool, error: Exception | None) -> None:
        """Passes the result, or the error if there is one, to every waiter."""
        for waiter in self.waiters:
            if waiter.done():
                continue
            if error is not None:
                waiter.set_exception(StateUnavailableError(str(error)))
            else:
                waiter.set_result(is_unchanged)


class VersionConfirmations:
    """Confirms for all pending requests in one comparing transaction that keys have not changed."""

    def __init__(self, state: StateClient) -> None:
        self._state = state
        self._max_keys = TransactionLimits.of(state.params).conditions
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
        """Confirms one batch after another until no key is pending."""
        try:
            await asyncio.sleep(BATCH_WINDOW_S)
            while self._pending:
                await self._confirm_batch()
        finally:
            self._is_running = False

    async def _confirm_batch(self) -> None:
        """Compares the pending keys in one transaction and passes the result to their waiters."""
        batch = self._take_batch()
        changed: set[str] = set()
        error: Exception | None = None
        try:
            conditions = [Condition(key, pending.version) for key, pending in batch.items()]
            await self._state.compare_and_swap(conditions, [], TIMEOUT_S, RESERVED_FRACTION)
        except ConditionFailedError as refusal:
            changed = set(refusal.failed)
        except MalformedRequestError as rejected:
            # The same comparison would be rejected again.
            self._max_keys = max(1, len(batch) // 2)
            log.error("comparison rejected keys=%d reason=%s", len(batch), rejected)
            error = rejected
        except StateUnavailableError as unavailable:
            error = unavailable
        except Exception as unexpected:
            # Continue with the next batch: otherwise no later poll would be answered.
            log.exception("version confirmation failed")
            error = unexpected
        for key, pending in batch.items():
            pending.resolve(key not in changed, error)

    def _take_batch(self) -> dict[str, _PendingKey]:
        """Removes and returns the oldest pending keys, as many as one comparison can have."""
        batch = dict(list(self._pending.items())[: self._max_keys])
        for key in batch:
            del self._pending[key]
        return batch
