"""This controller's place among the controllers: its lease, its record, its claims.

Each of the three has a module of its own; here they meet, and the rest of the controller asks here
what it may do.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from badgerseam.background import BackgroundTasks
from badgerseam.cluster.availability import UnavailableReason
from badgerseam.cluster.candidates import candidates_besides
from badgerseam.cluster.claim_policy import ClaimPolicy
from badgerseam.cluster.claims import ClaimWriter
from badgerseam.cluster.controller_lease import ControllerLease
from badgerseam.cluster.previous_owner import previous_owner_bound_s, previous_owner_until
from badgerseam.cluster.registration import Registration
from badgerseam.model.keys import LEADER_KEY, claim_key
from badgerseam.model.model import Model
from badgerseam.model.state import ObservedClaim, Shard
from badgerseam.settings import Tunables
from badgerseam.store.client import LeaseExpiredError, StateClient, StateUnavailableError
from badgerseam.store.committer import GroupCommitter

log = logging.getLogger("badgerseam.cluster")

RETURN_PAUSE_S = 0.5
"""After a shard's home was asked to take it over, until it is asked again."""
MAX_RENEWAL_PAUSES = 3
"""Up to which the pause between failed renewals grows, in steps of the state client."""

RequestTakeover = Callable[[str, str, int], Awaitable[bool | None]]
"""Asks a peer, by name, to take a claim of ours over, by its key and version: whether it says that
it has; None if it cannot be asked."""


class Membership:
    """Keeps the lease, and compares the claims that the replica shows with those we should have."""

    def __init__(
        self,
        model: Model,
        state: StateClient,
        committer: GroupCommitter,
        tunables: Tunables,
        on_change: Callable[[], None],
    ) -> None:
        settings = model.settings
        self._model = model
        self._state = state
        self._clock = model.clock
        self._on_change = on_change
        self.claim_ttl_s = tunables.claim_ttl_s
        self.node = settings.node
        self.order = sorted([settings.node, *(sibling.node for sibling in settings.siblings)])
        self.controller_lease = ControllerLease(model, state, tunables.claim_ttl_s)
        self.registration = Registration(
            model, state, committer, self.controller_lease, self._lose_lease
        )
        self.claim_policy = ClaimPolicy(model, self.order, self.controller_lease, self.registration)
        self._claims = ClaimWriter(
            model,
            state,
            committer,
            self.controller_lease,
            self.registration,
            self._lose_lease,
            on_change,
        )
        self.request_takeover: RequestTakeover | None = None
        self._returning: set[int] = set()
        """Shards whose homes are being asked to take them over."""
        self._tasks = BackgroundTasks()

    # ---- what this controller may do ----

    @property
    def lease(self) -> int | None:
        """The number of our lease; None while we have none."""
        return self.controller_lease.number

    @property
    def confirmed_at(self) -> float:
        """Sending time of the last confirmed renewal of our lease."""
        return self.controller_lease.confirmed_at

    def lease_confirmed_within(self, seconds: float) -> bool:
        """Whether the state service confirmed our lease that recently."""
        return self.controller_lease.confirmed_within(seconds)

    @property
    def lease_is_current(self) -> bool:
        """Whether the state service has renewed our lease within its time to live."""
        return self.controller_lease.is_current

    @property
    def may_renew_worker_leases(self) -> bool:
        """Whether leases of workers may be renewed by this controller, whoever owns them."""
        return self.controller_lease.may_renew_worker_leases

    def may_answer_heartbeats_for(self, shard: Shard) -> bool:
        """Whether heartbeats of the shard's workers may be answered."""
        claim = shard.claim
        return (
            shard.owned
            and claim is not None
            and claim.version == shard.term
            and self.may_renew_worker_leases
        )

    @property
    def is_leader(self) -> bool:
        """Whether the leadership may be acted on now."""
        claim = self._model.leader_claim
        return (
            claim is not None
            and self.controller_lease.carries(claim)
            and self.lease_is_current
            # What the model showed when it was left alone may be long past.
            and not self.is_unavailable(UnavailableReason.UNSUPPORTED_LEVEL)
            and self.claim_policy.may_act_as_leader(claim)
        )

    def takeover_candidates(self) -> list[str]:
        """The other controllers that would take a shard now, the least busy first."""
        return candidates_besides(self._model, self.order, self.node)

    # ---- the lease ----

    async def keep_lease(self) -> None:
        """Have a lease and renew it, until cancelled."""
        failures = 0
        while True:
            try:
                await self._grant_or_renew()
                failures = 0
            except LeaseExpiredError:
                log.info("lease expired controller=%s", self.node)
                self._lose_lease()
                continue
            except StateUnavailableError as error:
                failures += 1
                log.debug("lease renewal failed error=%s", error)
                await self._state.pause(min(failures, MAX_RENEWAL_PAUSES))
                continue
            if not self.registration.is_written:
                await self.registration.write()
            await asyncio.sleep(self.claim_ttl_s / 5)

    async def _grant_or_renew(self) -> None:
        number = self.controller_lease.number
        if number is None:
            await self.controller_lease.grant()
            self.registration.is_written = False
        else:
            await self.controller_lease.renew(number)

    def _lose_lease(self) -> None:
        self.controller_lease.number = None
        self.registration.is_written = False
        model = self._model
        with model.lock:
            for shard in model.shards:
                if shard.owned:
                    log.info("shard lost with lease shard=%d term=%d", shard.index, shard.term)
                    model.disown(shard)
        self._on_change()

    # ---- claims ----

    def review(self) -> None:
        """Compare the claims that the replica shows with what we act for and should claim."""
        model = self._model
        now = self._clock.now()
        with model.lock:
            if not model.loaded:
                return
            self.claim_policy.observe_controllers(now)
            for shard in model.shards:
                self._disown_if_lost(shard)
                self._own_if_claimed(shard)
            if self.lease is None or not self.registration.is_written:
                return
            self.registration.check_overwritten(now)
            for shard in model.shards:
                self._claim_or_return(shard, now)
            is_pending = self._claims.is_pending(LEADER_KEY)
            if not is_pending and self.claim_policy.should_lead(now):
                self._claims.start_claim(LEADER_KEY, model.leader_claim)

    def _disown_if_lost(self, shard: Shard) -> None:
        if not shard.owned:
            return
        claim = shard.claim
        is_ours = claim is not None and self.controller_lease.carries(claim)
        if claim is None or not is_ours or claim.version != shard.term:
            log.info("claim lost shard=%d term=%d", shard.index, shard.term)
            self._model.disown(shard)

    def _own_if_claimed(self, shard: Shard) -> None:
        """Begin to act for a shard whose claim of ours the replica shows."""
        claim = shard.claim
        if shard.owned or shard.releasing:
            return
        if claim is None or not self.controller_lease.carries(claim):
            return
        if self.registration.unavailable_reasons and self.claim_policy.takeover_checks is None:
            # Carried out late, behind its release. The takeover gate has a check for that, too.
            self.resign(shard)
            return
        if not self.claim_policy.may_act_on_shard(shard, claim):
            return
        log.info("shard activated shard=%d term=%d", shard.index, claim.version)
        bound_s = previous_owner_bound_s(self._model, shard, claim)
        if bound_s is None:
            self.reclaim(shard, claim)
            return
        self._model.own(shard, claim.version, bound_s)

    def _claim_or_return(self, shard: Shard, now: float) -> None:
        key = claim_key(shard.index)
        if not self._claims.is_pending(key) and self.claim_policy.should_claim(shard, now):
            self._claims.start_claim(key, shard.claim)
        elif shard.owned and self.claim_policy.should_return(shard, now):
            self._return_home(shard)

    def reclaim(self, shard: Shard, claim: ObservedClaim) -> None:
        """Replace a claim of ours that tells nothing of the owners before."""
        self._claims.start_reclaim(shard, claim)

    async def take_over_claim(self, key: str, version: int) -> bool:
        """Take a claim over from the peer that has it, at its own request and in one step, so that
        nobody is without an owner in between; whether that is durable."""
        lease = self.lease
        model = self._model
        if lease is None or self.registration.unavailable_reasons:
            return False
        if not self.registration.is_written or self._claims.is_pending(key):
            return False
        # One that does not follow the changes would not see its claim, nor act on it.
        if not model.is_up_to_date or not model.is_supported:
            return False
        if not self.claim_policy.may_claim(key):
            return False
        return await self._claims.write(key, version, lease, previous_owner_until(model, None))

    def resign(self, shard: Shard) -> None:
        """Stop acting for a shard at once and give up its claim, if it is still ours."""
        self._claims.resign(shard)

    def resign_leadership(self) -> None:
        """Give up the leadership."""
        self._claims.resign_leadership()

    # ---- a shard that goes back to its home ----

    def _return_home(self, shard: Shard) -> None:
        """Have a shard's home take it over, in one step; given up if it cannot be asked, as a
        program from before such requests cannot."""
        claim, request = shard.claim, self.request_takeover
        if request is None or claim is None:
            self.resign(shard)
        elif shard.index not in self._returning:
            self._returning.add(shard.index)
            self._tasks.spawn(self._request_return(shard, claim, request))

    async def _request_return(
        self, shard: Shard, claim: ObservedClaim, request: RequestTakeover
    ) -> None:
        try:
            home = self.claim_policy.home_of(shard)
            is_taken = await request(home, claim_key(shard.index), claim.version)
            if is_taken is not None:
                # The replica is about to show it; or it is not ready to act, and asked again.
                await asyncio.sleep(RETURN_PAUSE_S)
                return
            with self._model.lock:
                if shard.owned and shard.claim is claim:
                    self.resign(shard)
        finally:
            self._returning.discard(shard.index)

    # ---- a controller that others are to act for ----

    @property
    def receives_no_heartbeats(self) -> bool:
        """No worker reaches us: others are to act for our shards."""
        return self.is_unavailable(UnavailableReason.NO_HEARTBEATS)

    def is_unavailable(self, reason: UnavailableReason) -> bool:
        """Whether that is a reason for which we take no shard."""
        return reason in self.registration.unavailable_reasons

    def mark_unavailable(self, reason: UnavailableReason) -> None:
        """Take no shard from now on. Those that we own are for the caller to pass on."""
        self.registration.mark_unavailable(reason)

    def mark_available(self, reason: UnavailableReason) -> None:
        """Take back one reason not to take shards."""
        self.registration.mark_available(reason)

    async def announce_unavailable(self) -> bool:
        """Write to our record that we are unavailable; whether that is known to be durable."""
        await self.registration.write()
        return self.registration.is_written

    def withdraw_if_replaceable(self) -> bool:
        """Have others act for our shards, until `mark_available`; False if there is nobody else."""
        if self.receives_no_heartbeats or self.lease is None or not self.takeover_candidates():
            return False
        self.registration.unavailable_reasons.add(UnavailableReason.NO_HEARTBEATS)
        self._tasks.spawn(self._withdraw())
        return True

    async def _withdraw(self) -> None:
        # Known to the others first: they would leave the shards to us for a while.
        await self.registration.write()
        with self._model.lock:
            for shard in self._model.shards:
                if shard.owned and self.registration.unavailable_reasons:
                    self.resign(shard)

    def deactivate(self) -> None:
        """Act for nothing from now on: the program does not support the site's level."""
        self.mark_unavailable(UnavailableReason.UNSUPPORTED_LEVEL)
        with self._model.lock:
            for shard in self._model.shards:
                if shard.owned:
                    self.resign(shard)
        if self.controller_lease.carries(self._model.leader_claim):
            self.resign_leadership()
