"""Membership: the state lease, claims on shares and on the leadership, entitlement."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from badgerseam import __version__
from badgerseam.background import BackgroundTasks
from badgerseam.cluster.availability import UnavailableReason
from badgerseam.cluster.claims import remove_claim
from badgerseam.cluster.registration import write_controller_record
from badgerseam.cluster.takeover_checks import TakeoverChecks
from badgerseam.model.keys import LEADER_KEY, claim_key
from badgerseam.model.model import Model
from badgerseam.model.state import ObservedClaim, Shard
from badgerseam.settings import Tunables
from badgerseam.store.client import (
    ConditionFailedError,
    LeaseExpiredError,
    StateClient,
    StateUnavailableError,
)
from badgerseam.store.committer import GroupCommitter, ProposalDroppedError, Urgency
from badgerseam.wire import state as wire

log = logging.getLogger("badgerseam.cluster")

HOME_GRACE_S = 2.5
"""How long after the start a share that was never held is left to its home controller."""
STAGGER_S = 0.25
RETURN_S = 0.5
RELEASED_S = 0.5
"""Within which the replica shows that a claim is removed."""
LATE_S = 4.0
"""From composing a claim to seeing it: one that took longer was applied late."""
STEADY_S = 1.5
"""How long a returned controller has to be alive before it gets its share back."""


RequestTakeover = Callable[[str, str, int], Awaitable[bool | None]]
"""Asks a sibling to take a claim of ours over under its stamp: whether it says that it has; None if
it cannot be asked."""


class Membership:
    """This controller's place among the controllers."""

    def __init__(
        self,
        model: Model,
        state: StateClient,
        committer: GroupCommitter,
        tunables: Tunables,
        changed: Callable[[], None],
    ) -> None:
        settings = model.settings
        self._model = model
        self._state = state
        self._committer = committer
        self._clock = model.clock
        self._changed = changed
        self.claim_ttl_s = tunables.claim_ttl_s
        self.node = settings.node
        self.order = sorted([settings.node, *(sibling.node for sibling in settings.siblings)])
        self.lease: int | None = None
        self.confirmed_at = -1e9
        """Sending time of the last confirmed renewal."""
        self._away: set[UnavailableReason] = set()
        self.classes_digest = ""
        """Of the priority classes in our options, told with our record."""
        self.request_takeover: RequestTakeover | None = None
        self.takeover_checks: TakeoverChecks | None = None
        self.suspected: set[str] = set()
        """Siblings that our own record asks for a sign of life."""
        self._present = False
        self._announced_at = -1e9
        self._claiming: set[str] = set()
        self._returning: set[int] = set()
        self._tasks = BackgroundTasks()
        self._started = self._clock.now()
        self._alive_since: dict[str, float] = {}

    # ---- what others ask ----

    @property
    def hears_no_workers(self) -> bool:
        """No worker reaches us: others are to act for our shares."""
        return UnavailableReason.NO_HEARTBEATS in self._away

    def is_unavailable(self, why: UnavailableReason) -> bool:
        """Whether that is a reason for which we take no share."""
        return why in self._away

    @property
    def is_leader(self) -> bool:
        held = self._model.leader_claim
        return (
            held is not None
            and self._is_mine(held)
            and self.lease_is_current
            # What the model showed when it was left alone may be long past.
            and UnavailableReason.UNSUPPORTED_LEVEL not in self._away
            and (self.takeover_checks is None or self.takeover_checks.may_act_as_leader(held))
        )

    def lease_confirmed_within(self, seconds: float) -> bool:
        """Whether the state service confirmed our lease that recently."""
        return self.lease is not None and self._clock.now() - self.confirmed_at < seconds

    @property
    def lease_is_current(self) -> bool:
        """Whether the state service has renewed our lease within its time."""
        return self.lease_confirmed_within(self.claim_ttl_s)

    @property
    def may_renew_worker_leases(self) -> bool:
        """Whether leases of workers may be renewed here, whoever owns them.

        That the state service has confirmed our lease tells nothing of what it holds: a controller
        whose watch was stuck renewed the leases of tasks that were cancelled elsewhere without end,
        and one that renewed before it followed again after an outage launched them once more.
        """
        model = self._model
        known_s = self._clock.now() - model.followed_at
        return (
            self.lease_confirmed_within(model.partition_bound_s)
            and known_s < model.stale_renewal_bound_s
        )

    def holds_lease_for(self, shard: Shard) -> bool:
        """Whether reports of the share's workers may be answered."""
        held = shard.claim
        return (
            shard.owned
            and held is not None
            and held.version == shard.term
            and self.may_renew_worker_leases
        )

    def home_of(self, shard: Shard) -> str:
        return self.order[shard.index % len(self.order)]

    def _is_mine(self, held: ObservedClaim | None) -> bool:
        return (
            held is not None and held.record.node == self.node and held.record.lease == self.lease
        )

    # ---- the lease ----

    async def keep_lease(self) -> None:
        """Hold a lease and renew it, for ever."""
        failures = 0
        while True:
            sent = self._clock.now()
            try:
                if self.lease is None:
                    lease = await self._state.grant(self.claim_ttl_s)
                    self.lease, self.confirmed_at = lease, sent
                    self._present = False
                    log.info("%s holds lease %d", self.node, lease)
                else:
                    await self._state.renew(self.lease, self.claim_ttl_s / 3)
                    self.confirmed_at = sent
                failures = 0
            except LeaseExpiredError:
                log.info("%s lost its lease", self.node)
                self._lose_lease()
                continue
            except StateUnavailableError as error:
                failures += 1
                log.debug("renewal failed: %s", error)
                await self._state.pause(min(failures, 3))
                continue
            if not self._present:
                await self._announce()
            await asyncio.sleep(self.claim_ttl_s / 5)

    def _lose_lease(self) -> None:
        self.lease = None
        self._present = False
        model = self._model
        with model.lock:
            for shard in model.shards:
                if shard.owned:
                    log.info("share %d: given up with the lease", shard.index)
                    model.disown(shard)
        self._changed()

    async def _announce(self) -> None:
        try:
            written = await write_controller_record(
                self._model, self._state, self._committer, self._own_record
            )
        except LeaseExpiredError:
            self._lose_lease()
            return
        if written is not None:
            self._announced_at = self._clock.now()
            self._present = written == self._own_record()

    def _own_record(self) -> wire.ControllerRecord | None:
        """What siblings are to know of us now."""
        if self.lease is None:
            return None
        program, away = self._model.program, bool(self._away)
        known = program.min_level, program.max_level, __version__, self.classes_digest
        return wire.ControllerRecord(self.node, self.lease, away, *known, sorted(self.suspected))

    def announce_again(self) -> None:
        """Write our own record once more, now."""
        if self.lease is not None:
            self._present = False
            self._tasks.spawn(self._announce())

    # ---- claims ----

    def review(self) -> None:
        """Compare the claims that the replica shows with what we act for and should claim."""
        model = self._model
        now = self._clock.now()
        with model.lock:
            if not model.loaded:
                return
            for name in list(self._alive_since):
                if name not in model.controllers:
                    del self._alive_since[name]
            for name, held in model.controllers.items():
                if held.record.unavailable:
                    self._alive_since.pop(name, None)
                else:
                    self._alive_since.setdefault(name, now)
            for shard in model.shards:
                mine = self._is_mine(shard.claim)
                if shard.owned and (
                    not mine or shard.claim is None or shard.claim.version != shard.term
                ):
                    log.info("share %d: claim lost", shard.index)
                    model.disown(shard)
                if not shard.owned and mine and shard.claim is not None and not shard.releasing:
                    if self._away and self.takeover_checks is None:
                        # Carried out late, behind its release. A gate has a check for that, too.
                        self.resign(shard)
                        continue
                    if not self._may_act(shard, shard.claim):
                        continue
                    log.info("share %d: acting under term %d", shard.index, shard.claim.version)
                    others_s = self.previous_owner_bound_s(shard, shard.claim)
                    if others_s is None:
                        self.reclaim(shard, shard.claim)
                        continue
                    model.own(shard, shard.claim.version, others_s)
            if self.lease is None or not self._present:
                return
            present = model.controllers.get(self.node)
            if (
                (present is None or present.record.lease != self.lease)
                and now - self._announced_at > LATE_S
                and now - model.followed_at < LATE_S
            ):
                # Overwritten late, on no condition, by an earlier process of an older program: it
                # goes with that one's lease, and siblings would miss us for as long as we live.
                self._present = False
            for shard in model.shards:
                key = claim_key(shard.index)
                if key not in self._claiming and self._should_claim(shard, now):
                    self._tasks.spawn(self._claim(key, shard.claim))
                elif shard.owned and self._should_return(shard, now):
                    self._return_home(shard)
            if LEADER_KEY not in self._claiming and self._should_lead(now):
                self._tasks.spawn(self._claim(LEADER_KEY, model.leader_claim))

    def _may_act(self, shard: Shard, held: ObservedClaim) -> bool:
        # While all keys are read anew, the claim may be there before the pages: what they hold was
        # placed once more, and ran twice. A gate has a check for that.
        return (
            not self._model.loading
            if self.takeover_checks is None
            else self.takeover_checks.may_act_on_shard(shard, held)
        )

    def reclaim(self, shard: Shard, held: ObservedClaim) -> None:
        """Replace a claim of ours that tells nothing of the owners before."""
        key = claim_key(shard.index)
        if key not in self._claiming:
            log.info("share %d: a claim that came late is made anew", shard.index)
            self._tasks.spawn(self._claim(key, held, self._previous_owner_until(None)))

    def previous_owner_bound_s(self, shard: Shard, held: ObservedClaim) -> float | None:
        """How long owners before us may go on answering the share's workers; None if the claim has
        been applied so late that it tells nothing of them."""
        bound = self._model.partition_bound_s
        until = held.record.previous_owner_until
        left = None if until is None else until - self._clock.wall()
        if shard.previous_owner != self.node:
            if left is not None and left < bound - LATE_S:
                # An owner may have come and gone since it was written, which a later process of
                # ours, that relies on the time in it, would not know.
                return None
            return bound
        # Ours from an earlier process. It may have held the share for a moment only, with the one
        # before it cut off: taken for alone then, tasks were placed anew that still ran.
        return bound if left is None else max(0.0, min(left, bound))

    def _previous_owner_until(self, held: ObservedClaim | None) -> float:
        """What a claim of ours that replaces another, or none, says of the owners before."""
        if (
            held is not None
            and held.record.node == self.node
            and held.record.previous_owner_until is not None
        ):
            return held.record.previous_owner_until
        params = self._model.settings.params
        # The time of day is read by another process later, and wanders.
        return self._clock.wall() + self._model.partition_bound_s + 2e-3 * params.time_bound_ms

    def _may_claim(self, key: str) -> bool:
        return self.takeover_checks is None or self.takeover_checks.may_claim(key)

    def _should_claim(self, shard: Shard, now: float) -> bool:
        held = shard.claim
        if self._away or not self._may_claim(claim_key(shard.index)):
            return False
        if held is not None:
            # Ours from before a restart: the process that held it is certainly gone.
            return held.record.node == self.node and held.record.lease != self.lease
        home = self.home_of(shard)
        if home == self.node:
            return True
        vacant = now - max(shard.unowned_since, self._started)
        present = self._model.controllers.get(home)
        if present is not None and not present.record.unavailable:
            return vacant > HOME_GRACE_S + self._claim_rank() * STAGGER_S
        wait = 0.0 if shard.ever_claimed else HOME_GRACE_S
        return vacant >= wait + self._claim_rank() * STAGGER_S

    def _claim_rank(self) -> int:
        """Our turn among the living when something is to be claimed: the least busy first."""
        ranked = self._candidates_by_load()
        return ranked.index(self.node) if self.node in ranked else len(ranked)

    def _return_home(self, shard: Shard) -> None:
        """Have a share's home take it over, in one step; given up if it cannot be asked, as a
        program from before such requests cannot."""
        held, ask = shard.claim, self.request_takeover
        if ask is None or held is None:
            self.resign(shard)
        elif shard.index not in self._returning:
            self._returning.add(shard.index)
            self._tasks.spawn(self._bring_home(shard, held, ask))

    async def _bring_home(self, shard: Shard, held: ObservedClaim, ask: RequestTakeover) -> None:
        try:
            taken = await ask(self.home_of(shard), claim_key(shard.index), held.version)
            if taken is not None:
                # The replica is about to show it; or it is not ready to act, and asked again.
                await asyncio.sleep(RETURN_S)
                return
            with self._model.lock:
                if shard.owned and shard.claim is held:
                    self.resign(shard)
        finally:
            self._returning.discard(shard.index)

    def _candidates_by_load(self) -> list[str]:
        """The controllers that take shares, the least busy first."""
        load = {
            name: 0 for name, held in self._model.controllers.items() if not held.record.unavailable
        }
        for shard in self._model.shards:
            if shard.claim is not None and shard.claim.record.node in load:
                load[shard.claim.record.node] += 1
        return sorted(load, key=lambda name: (load[name], self.order.index(name)))

    def _should_lead(self, now: float) -> bool:
        held = self._model.leader_claim
        if self._away - {UnavailableReason.NO_HEARTBEATS} or not self._may_claim(LEADER_KEY):
            return False
        if held is not None:
            return held.record.node == self.node and held.record.lease != self.lease
        return now - self._started > self.order.index(self.node) * 0.5

    def _should_return(self, shard: Shard, now: float) -> bool:
        home = self.home_of(shard)
        since = self._alive_since.get(home)
        return (
            home != self.node
            and not shard.releasing
            and since is not None
            and now - since > STEADY_S
            and (
                self.takeover_checks is None
                or self.takeover_checks.may_return_home(home, now - since)
            )
        )

    # ---- a controller that others are to act for ----

    def takeover_candidates(self) -> list[str]:
        """Controllers that would take a share now, the least busy first."""
        return [name for name in self._candidates_by_load() if name != self.node]

    def withdraw_if_replaceable(self) -> bool:
        """Have others act for our shares, until `come_back`; False if there is nobody else."""
        if self.hears_no_workers or self.lease is None or not self.takeover_candidates():
            return False
        self._away.add(UnavailableReason.NO_HEARTBEATS)
        self._tasks.spawn(self._withdraw())
        return True

    async def _withdraw(self) -> None:
        # Known to the others first: they would leave the shares to us for a while.
        await self._announce()
        with self._model.lock:
            for shard in self._model.shards:
                if shard.owned and self._away:
                    self.resign(shard)

    def mark_unavailable(self, why: UnavailableReason) -> None:
        """Take no share from now on. What is held is for the caller to pass on."""
        self._away.add(why)
        self._present = False

    async def announce_unavailable(self) -> bool:
        """Have that known to the others; whether it is."""
        await self._announce()
        return self._present

    def mark_available(self, why: UnavailableReason) -> None:
        """One reason fewer not to take shares."""
        self._away.discard(why)
        self._present = False

    def deactivate(self) -> None:
        """Act for nothing from now on: the program does not fit the site's level."""
        self.mark_unavailable(UnavailableReason.UNSUPPORTED_LEVEL)
        with self._model.lock:
            for shard in self._model.shards:
                if shard.owned:
                    self.resign(shard)
        if self._is_mine(self._model.leader_claim):
            self.resign_leadership()

    async def take_over_claim(self, key: str, version: int) -> bool:
        """Take a claim over from the sibling that holds it, at its own wish and in one step, so
        that nobody is without an owner in between; whether that is durable."""
        lease = self.lease
        model = self._model
        if lease is None or self._away or not self._present or key in self._claiming:
            return False
        # One that does not follow the changes would not see its claim, nor act on it.
        if not model.is_up_to_date or not model.is_supported or not self._may_claim(key):
            return False
        return await self._write_claim(key, version, lease, self._previous_owner_until(None))

    async def _claim(
        self, key: str, held: ObservedClaim | None, until: float | None = None
    ) -> None:
        lease = self.lease
        if lease is None or key in self._claiming:
            return
        version = 0 if held is None else held.version
        until = self._previous_owner_until(held) if until is None else until
        await self._write_claim(key, version, lease, until)

    async def _write_claim(self, key: str, version: int, lease: int, until: float) -> bool:
        self._claiming.add(key)
        record = wire.ClaimRecord(self.node, lease, False, round(until, 3))
        write = wire.Write(put=key, value=wire.raw(record), lease=lease)
        try:
            await self._committer.commit(
                Urgency.CLAIM,
                {key: version},
                [write],
                2.0,
                wanted=lambda: self.lease == lease,
            )
            return True
        except LeaseExpiredError:
            self._lose_lease()
        except ConditionFailedError:
            log.debug("%s: claimed by another", key)
            await asyncio.sleep(0.2)
        except (StateUnavailableError, ProposalDroppedError):
            log.debug("%s: not claimed", key)
        finally:
            # The replica shows the claim before we act for it, with all that was written earlier.
            self._claiming.discard(key)
            self._changed()
        return False

    def resign(self, shard: Shard) -> None:
        """Stop acting for a share at once and give up its claim, if it is still ours."""
        if shard.releasing:
            return
        held = shard.claim
        if shard.owned:
            self._model.disown(shard)
        if held is None or not self._is_mine(held):
            # Passed on while a write of ours was on its way: the next owner's claim is not ours to
            # remove.
            return
        log.info("share %d: given up", shard.index)
        shard.releasing = True
        self._tasks.spawn(self._release(shard, held))

    def resign_leadership(self) -> None:
        """Give up the leadership."""
        held = self._model.leader_claim
        if held is not None and self._is_mine(held):
            log.info("the leadership is given up")
            self._tasks.spawn(self._remove(LEADER_KEY, held.version))

    async def _remove(self, key: str, version: int) -> None:
        await remove_claim(self._state, self._committer, key, version, lambda: bool(self._away))

    async def _release(self, shard: Shard, held: ObservedClaim) -> None:
        try:
            await self._remove(claim_key(shard.index), held.version)
            await asyncio.sleep(RELEASED_S)
        finally:
            # Even if the removal failed, acting again takes a claim of a new version.
            shard.releasing = False
            if shard.claim is held:
                shard.claim = ObservedClaim(wire.ClaimRecord(self.node, -1), held.version)
        self._changed()
