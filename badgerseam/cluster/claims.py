"""Writing and removing this controller's claims."""

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
"""After a claim that another has taken, until the replica shows it."""
REMOVAL_SHOWN_S = 0.5
"""Within which the replica shows that a claim is removed."""


class ClaimWriter:
    """Takes claims on this controller's lease and gives them up, each by its version."""

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
        """Keys of the claims whose writes are on their way."""
        self._tasks = BackgroundTasks()

    # ---- taking ----

    def is_pending(self, key: str) -> bool:
        """Whether a write of a claim is on its way."""
        return key in self._pending

    def start_claim(self, key: str, replaced: ObservedClaim | None) -> None:
        """Take a claim in the background, in place of one of ours or of none."""
        self._tasks.spawn(self._claim(key, replaced))

    def start_reclaim(self, shard: Shard, claim: ObservedClaim) -> None:
        """Replace a claim of ours that tells nothing of the owners before, in the background."""
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
        """Write a claim of ours over `version`, 0 for none; whether that is durable.

        `until`: by which time of day the owners before are past their bounds.
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
                wanted=lambda: self._lease.number == lease,
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
            # The replica shows the claim before we act for it, with all that was written earlier.
            self._pending.discard(key)
            self._on_change()
        return False

    # ---- giving up ----

    def resign(self, shard: Shard) -> None:
        """Stop acting for a shard at once and give up its claim, if it is still ours."""
        if shard.releasing:
            return
        claim = shard.claim
        if shard.owned:
            self._model.disown(shard)
        if claim is None or not self._lease.carries(claim):
            # Passed on while a write of ours was on its way: the next owner's claim is not ours to
            # remove.
            return
        log.info("shard resigned shard=%d term=%d", shard.index, claim.version)
        shard.releasing = True
        self._tasks.spawn(self._release(shard, claim))

    def resign_leadership(self) -> None:
        """Give up the leadership."""
        claim = self._model.leader_claim
        if claim is not None and self._lease.carries(claim):
            log.info("leadership resigned term=%d", claim.version)
            self._tasks.spawn(self._remove(LEADER_KEY, claim.version))

    async def _release(self, shard: Shard, claim: ObservedClaim) -> None:
        try:
            await self._remove(claim_key(shard.index), claim.version)
            await asyncio.sleep(REMOVAL_SHOWN_S)
        finally:
            # Even if the removal failed, acting again takes a claim of a new version.
            shard.releasing = False
            if shard.claim is claim:
                shard.claim = ObservedClaim(
                    wire.ClaimRecord(self._model.settings.node, -1), claim.version
                )
        self._on_change()

    async def _remove(self, key: str, version: int) -> None:
        """Remove a claim, by its version. Tried again while this controller takes no claim itself:
        one left standing on our lease would keep all others from it."""
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
