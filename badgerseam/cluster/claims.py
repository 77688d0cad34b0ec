"""Writes and removes this controller's claims."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from badgerseam.background import BackgroundTasks
from badgerseam.cluster.controller_lease import ControllerLease
from badgerseam.cluster.previous_owner import previous_owner_until
from badgerseam.cluster.registration import Registration
from badgerseam.model.keys import LEADER_KEY, claim_key
from badgerseam.model.model import Model
from badgerseam.model.state import ObservedClaim, Shard
from badgerseam.store.client import (
    ConditionFailedError,
    LeaseExpiredError,
    StateClient,
    StateUnavailableError,
)
from badgerseam.store.committer import GroupCommitter, ProposalDroppedError, Urgency
from badgerseam.wire import state as wire

log = logging.getLogger("badgerseam.cluster")

WRITE_DEADLINE_S = 2.0
REMOVAL_DEADLINE_S = 5.0
CONFLICT_PAUSE_S = 0.2
"""Seconds to wait after another controller took the claim first, for the replica to show it."""
REMOVAL_SHOWN_S = 0.5
"""Seconds within which the replica shows that a claim was removed."""


class ClaimWriter:
    """Takes claims with this controller's lease and gives them up, each conditionally on its
    version."""

    def __init__(
        self,
        model: Model,
        state: StateClient,
        committer: GroupCommitter,
        lease: ControllerLease,
        registration: Registration,
        on_lease_lost: Callable[[], None],
        on_change: Callable[[], None],
    ) -> None:
        self._model = model
        self._state = state
        self._committer = committer
        self._lease = lease
        self._registration = registration
        self._on_lease_lost = on_lease_lost
        self._on_change = on_change
        self._pending: set[str] = set()
        """Keys of the claims with a write in progress."""
        self._tasks = BackgroundTasks()

    # ---- taking ----

    def is_pending(self, key: str) -> bool:
        """Whether a write of a claim is in progress."""
        return key in self._pending

    def start_claim(self, key: str, replaced: ObservedClaim | None) -> None:
        """Takes a claim in the background; `replaced` is this controller's claim that it replaces,
        or None."""
        self._tasks.spawn(self._claim(key, replaced))

    def start_reclaim(self, shard: Shard, claim: ObservedClaim) -> None:
        """Replaces, in the background, a claim of this controller whose bound on previous owners
        cannot be relied on."""
        key = claim_key(shard.index)
        if key not in self._pending:
            log.info("late claim replaced shard=%d term=%d", shard.index, claim.version)
            self._tasks.spawn(self._claim(key, claim, previous_owner_until(self._model, None)))

    async def _claim(
        self, key: str, replaced: ObservedClaim | None, until: float | None = None
    ) -> None:
        lease = self._lease.number
        if lease is None or key in self._pending:
            return
        version = 0 if replaced is None else replaced.version
        until = previous_owner_until(self._model, replaced) if until is None else until
        await self.write(key, version, lease, until)

    async def write(self, key: str, version: int, lease: int, until: float) -> bool:
        """Writes this controller's claim, replacing the one of `version` (0: no claim); returns
        whether the claim is known to be durable.

        `until`: the wall-clock time by which all previous owners are past their partition bounds.
        """
        self._pending.add(key)
        record = wire.ClaimRecord(self._model.settings.node, lease, False, round(until, 3))
        write = wire.Write(put=key, value=wire.raw(record), lease=lease)
        try:
            await self._committer.commit(
                Urgency.CLAIM,
                {key: version},
                [write],
                WRITE_DEADLINE_S,
                should_send=lambda: self._lease.number == lease,
            )
            return True
        except LeaseExpiredError:
            self._on_lease_lost()
        except ConditionFailedError:
            log.debug("claim taken by another controller key=%s", key)
            await asyncio.sleep(CONFLICT_PAUSE_S)
        except (StateUnavailableError, ProposalDroppedError):
            log.debug("claim not written key=%s", key)
        finally:
            # The controller acts on the claim only once the replica shows it, together with
            # everything that was written earlier.
            self._pending.discard(key)
            self._on_change()
        return False

    # ---- giving up ----

    def resign(self, shard: Shard) -> None:
        """Stops acting for a shard at once, and removes its claim if this controller still has
        it."""
        if shard.releasing:
            return
        claim = shard.claim
        if shard.owned:
            self._model.disown(shard)
        if claim is None or not self._lease.is_lease_of(claim):
            # The claim passed to another controller while a write was in progress, and the next
            # owner's claim must not be removed.
            return
        log.info("shard resigned shard=%d term=%d", shard.index, claim.version)
        shard.releasing = True
        self._tasks.spawn(self._release(shard, claim))

    def resign_leadership(self) -> None:
        """Gives up the leadership."""
        claim = self._model.leader_claim
        if claim is not None and self._lease.is_lease_of(claim):
            log.info("leadership resigned term=%d", claim.version)
            self._tasks.spawn(self._remove(LEADER_KEY, claim.version))

    async def _release(self, shard: Shard, claim: ObservedClaim) -> None:
        try:
            await self._remove(claim_key(shard.index), claim.version)
            await asyncio.sleep(REMOVAL_SHOWN_S)
        finally:
            # Even if the removal failed, the old claim must not be acted on again: acting for the
            # shard again requires a claim with a new version.
            shard.releasing = False
            if shard.claim is claim:
                shard.claim = ObservedClaim(
                    wire.ClaimRecord(self._model.settings.node, -1), claim.version
                )
        self._on_change()

    async def _remove(self, key: str, version: int) -> None:
        """Removes a claim, conditionally on its version.

        The removal is retried while this controller is unavailable: a claim that remains on its
        lease would keep all other controllers from taking it.
        """
        removal = [wire.Write(delete=key)]
        while True:
            try:
                await self._committer.commit(
                    Urgency.CLAIM, {key: version}, removal, REMOVAL_DEADLINE_S
                )
                return
            except ConditionFailedError:
                return
            except StateUnavailableError:
                log.debug("claim not removed key=%s term=%d", key, version)
            if not self._registration.unavailable_reasons:
                return
            await self._state.back_off(1)
