"""This controller's membership in the cluster: its lease, its record and its claims.

Each of the three has a module of its own. This one combines them, and tells the rest of the
controller what it may do.
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
from badgerseam.model.machine import lowest_token
from badgerseam.model.model import Model
from badgerseam.model.state import ObservedClaim, Shard
from badgerseam.store.client import LeaseExpiredError, StateClient, StateUnavailableError
from badgerseam.store.committer import GroupCommitter
from badgerseam.tunables import Tunables

log = logging.getLogger("badgerseam.cluster")

RETURN_RETRY_S = 0.5
"""Seconds to wait after asking a shard's home controller to take it over, before asking again."""
MAX_RENEWAL_PAUSES = 3
"""Maximum pause between failed renewals, in steps of the state client's backoff."""

RequestTakeover = Callable[[str, str, int], Awaitable[bool | None]]
"""Asks a peer, by name, to take over a claim of this controller, by key and version. Returns
whether the peer says that it has done so; None if it cannot be asked."""


class Membership:
    """Maintains the lease, and reconciles the claims in the replica with those that this controller
    should have."""

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
        self.controller_names = sorted(
            [settings.node, *(sibling.node for sibling in settings.siblings)]
        )
        self.controller_lease = ControllerLease(model, state, tunables.claim_ttl_s)
        self.registration = Registration(
            model, state, committer, self.controller_lease, self._lose_lease
        )
        self.claim_policy = ClaimPolicy(
            model, self.controller_names, self.controller_lease, self.registration
        )
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
        """Shards whose home controllers are being asked to take them over."""
        self._tasks = BackgroundTasks()

    # ---- what this controller may do ----

    @property
    def lease(self) -> int | None:
        """The number of this controller's lease; None without a lease."""
        return self.controller_lease.number

    @property
    def confirmed_at(self) -> float:
        """When the last confirmed renewal of the lease was sent, in seconds of the monotonic
        clock."""
        return self.controller_lease.confirmed_at

    def lease_confirmed_within(self, seconds: float) -> bool:
        """Whether the last confirmed renewal of the lease was sent less than `seconds` ago."""
        return self.controller_lease.confirmed_within(seconds)

    @property
    def lease_is_current(self) -> bool:
        """Whether the last confirmed renewal is more recent than the lease's time to live."""
        return self.controller_lease.is_current

    @property
    def may_renew_worker_leases(self) -> bool:
        """Whether this controller may renew workers' leases, whichever controller owns them."""
        return self.controller_lease.may_renew_worker_leases

    def may_answer_heartbeats_for(self, shard: Shard) -> bool:
        """Whether this controller may answer heartbeats of the shard's workers as its owner."""
        claim = shard.claim
        return (
            shard.owned
            and claim is not None
            and claim.version == shard.term
            and self.may_renew_worker_leases
        )

    @property
    def is_leader(self) -> bool:
        """Whether this controller may act as the leader now."""
        claim = self._model.leader_claim
        return (
            claim is not None
            and self.controller_lease.is_lease_of(claim)
            and self.lease_is_current
            # The replica is not updated while the site's level is unsupported, so its claim on the
            # leadership may be long out of date.
            and not self.is_unavailable(UnavailableReason.UNSUPPORTED_LEVEL)
            and self.claim_policy.may_act_as_leader(claim)
        )

    def takeover_candidates(self) -> list[str]:
        """Returns the available peers, the one that owns the fewest shards first."""
        return candidates_besides(self._model, self.controller_names, self.node)

    # ---- the lease ----

    async def keep_lease(self) -> None:
        """Acquires a lease and renews it, until cancelled."""
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
                await self._state.back_off(min(failures, MAX_RENEWAL_PAUSES))
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
        """Reconciles the claims in the replica with the shards that this controller acts for, and
        takes or returns claims as needed."""
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
        is_own_claim = claim is not None and self.controller_lease.is_lease_of(claim)
        if claim is None or not is_own_claim or claim.version != shard.term:
            log.info("claim lost shard=%d term=%d", shard.index, shard.term)
            self._model.disown(shard)

    def _own_if_claimed(self, shard: Shard) -> None:
        """Starts to act for a shard if the replica shows this controller's claim on it."""
        claim = shard.claim
        if shard.owned or shard.releasing:
            return
        if claim is None or not self.controller_lease.is_lease_of(claim):
            return
        if self.registration.unavailable_reasons and self.claim_policy.takeover_checks is None:
            # The write of the claim was applied late, after its removal. The takeover gate has its
            # own check for this.
            self.resign(shard)
            return
        if not self.claim_policy.may_act_on_shard(shard, claim):
            return
        log.info(
            "shard activated shard=%d term=%d lowest_token=%d revision=%d",
            shard.index,
            claim.version,
            lowest_token(claim.version),
            self._model.revision,
        )
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
        """Replaces a claim of this controller whose bound on previous owners cannot be relied
        on."""
        self._claims.start_reclaim(shard, claim)

    async def take_over_claim(self, key: str, version: int) -> bool:
        """Takes a claim over from a peer at its request; returns whether the new claim is known to
        be durable. The claim is replaced in one step, so that the shard always has an owner."""
        lease = self.lease
        model = self._model
        if lease is None or self.registration.unavailable_reasons:
            return False
        if not self.registration.is_written or self._claims.is_pending(key):
            return False
        # With a stalled watch this controller would neither see the claim nor act on it.
        if not model.is_up_to_date or not model.is_supported:
            return False
        if not self.claim_policy.may_claim(key):
            return False
        return await self._claims.write(key, version, lease, previous_owner_until(model, None))

    def resign(self, shard: Shard) -> None:
        """Stops acting for a shard at once, and removes its claim if this controller still has
        it."""
        self._claims.resign(shard)

    def resign_leadership(self) -> None:
        """Gives up the leadership."""
        self._claims.resign_leadership()

    # ---- returning a shard to its home controller ----

    def _return_home(self, shard: Shard) -> None:
        """Asks a shard's home controller to take it over in one step.

        The shard is resigned if its home controller cannot be asked, for example because its
        program version lacks such requests.
        """
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
                # Either the replica is about to show the takeover, or the home controller is not
                # ready yet and is asked again.
                await asyncio.sleep(RETURN_RETRY_S)
                return
            with self._model.lock:
                if shard.owned and shard.claim is claim:
                    self.resign(shard)
        finally:
            self._returning.discard(shard.index)

    # ---- availability ----

    @property
    def receives_no_heartbeats(self) -> bool:
        """Whether this controller is unavailable because it receives no heartbeats from workers, so
        that other controllers should own its shards."""
        return self.is_unavailable(UnavailableReason.NO_HEARTBEATS)

    def is_unavailable(self, reason: UnavailableReason) -> bool:
        """Whether this controller takes no shards for the given reason."""
        return reason in self.registration.unavailable_reasons

    def mark_unavailable(self, reason: UnavailableReason) -> None:
        """Adds a reason not to take shards. The caller has to hand over the shards already
        owned."""
        self.registration.mark_unavailable(reason)

    def mark_available(self, reason: UnavailableReason) -> None:
        """Removes a reason not to take shards."""
        self.registration.mark_available(reason)

    async def announce_unavailable(self) -> bool:
        """Writes this controller's record with its unavailability; returns whether it is known to
        be durable."""
        await self.registration.write()
        return self.registration.is_written

    def withdraw_if_replaceable(self) -> bool:
        """Leaves this controller's shards to peers until `mark_available` is called; returns False
        if no peer is available."""
        if self.receives_no_heartbeats or self.lease is None or not self.takeover_candidates():
            return False
        self.registration.unavailable_reasons.add(UnavailableReason.NO_HEARTBEATS)
        self._tasks.spawn(self._withdraw())
        return True

    async def _withdraw(self) -> None:
        # The record is written first: otherwise peers would leave the shards to this controller
        # for a while, as their home.
        await self.registration.write()
        with self._model.lock:
            for shard in self._model.shards:
                if shard.owned and self.registration.unavailable_reasons:
                    self.resign(shard)

    def deactivate(self) -> None:
        """Gives up all shards and the leadership, because the program does not support the site's
        level."""
        self.mark_unavailable(UnavailableReason.UNSUPPORTED_LEVEL)
        with self._model.lock:
            for shard in self._model.shards:
                if shard.owned:
                    self.resign(shard)
        if self.controller_lease.is_lease_of(self._model.leader_claim):
            self.resign_leadership()
