"""Membership: the state lease, claims on shares and on the leadership, entitlement."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from badgerseam import __version__
from badgerseam.background import BackgroundTasks
from badgerseam.cluster.availability import Away
from badgerseam.cluster.claims import remove_claim
from badgerseam.cluster.registration import write_own
from badgerseam.cluster.takeover_checks import Gatekeeper
from badgerseam.model.keys import LEADER_KEY, claim_key
from badgerseam.model.model import Model
from badgerseam.model.state import Held, Share
from badgerseam.settings import Tunables
from badgerseam.store.client import LeaseLost, Refused, StateClient, Unavailable
from badgerseam.store.committer import Committer, Dropped, Urgency
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


AskToTake = Callable[[str, str, int], Awaitable[bool | None]]
"""Asks a sibling to take a claim of ours over under its stamp: whether it says that it has; None if
it cannot be asked."""


class Member:
    """This controller's place among the controllers."""

    def __init__(
        self,
        model: Model,
        state: StateClient,
        committer: Committer,
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
        self._away: set[Away] = set()
        self.classes_digest = ""
        """Of the priority classes in our options, told with our record."""
        self.ask_to_take: AskToTake | None = None
        self.gate: Gatekeeper | None = None
        self.doubts: set[str] = set()
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
    def deaf(self) -> bool:
        """No worker reaches us: others are to act for our shares."""
        return Away.DEAF in self._away

    def away(self, why: Away) -> bool:
        """Whether that is a reason for which we take no share."""
        return why in self._away

    @property
    def is_leader(self) -> bool:
        held = self._model.leader
        return (
            held is not None
            and self._is_mine(held)
            and self.connected
            # What the model showed when it was left alone may be long past.
            and Away.UNFIT not in self._away
            and (self.gate is None or self.gate.leads(held))
        )

    def fresh(self, seconds: float) -> bool:
        """Whether the state service confirmed our lease that recently."""
        return self.lease is not None and self._clock.now() - self.confirmed_at < seconds

    @property
    def connected(self) -> bool:
        """Whether the state service has renewed our lease within its time."""
        return self.fresh(self.claim_ttl_s)

    @property
    def may_renew(self) -> bool:
        """Whether leases of workers may be renewed here, whoever owns them.

        That the state service has confirmed our lease tells nothing of what it holds: a controller
        whose watch was stuck renewed the leases of tasks that were cancelled elsewhere without end,
        and one that renewed before it followed again after an outage launched them once more.
        """
        model = self._model
        known_s = self._clock.now() - model.followed_at
        return self.fresh(model.cut_bound_s) and known_s < model.known_bound_s

    def entitled(self, share: Share) -> bool:
        """Whether reports of the share's workers may be answered."""
        held = share.held
        return share.owned and held is not None and held.version == share.term and self.may_renew

    def home(self, share: Share) -> str:
        return self.order[share.index % len(self.order)]

    def _is_mine(self, held: Held | None) -> bool:
        return held is not None and held.claim.node == self.node and held.claim.lease == self.lease

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
                    await self._state.extend(self.lease, self.claim_ttl_s / 3)
                    self.confirmed_at = sent
                failures = 0
            except LeaseLost:
                log.info("%s lost its lease", self.node)
                self._lose_lease()
                continue
            except Unavailable as error:
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
            for share in model.shares:
                if share.owned:
                    log.info("share %d: given up with the lease", share.index)
                    model.disown(share)
        self._changed()

    async def _announce(self) -> None:
        try:
            written = await write_own(self._model, self._state, self._committer, self._own_record)
        except LeaseLost:
            self._lose_lease()
            return
        if written is not None:
            self._announced_at = self._clock.now()
            self._present = written == self._own_record()

    def _own_record(self) -> wire.Presence | None:
        """What siblings are to know of us now."""
        if self.lease is None:
            return None
        program, away = self._model.program, bool(self._away)
        known = program.least, program.most, __version__, self.classes_digest
        return wire.Presence(self.node, self.lease, away, *known, sorted(self.doubts))

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
                if name not in model.nodes:
                    del self._alive_since[name]
            for name, held in model.nodes.items():
                if held.claim.away:
                    self._alive_since.pop(name, None)
                else:
                    self._alive_since.setdefault(name, now)
            for share in model.shares:
                mine = self._is_mine(share.held)
                if share.owned and (
                    not mine or share.held is None or share.held.version != share.term
                ):
                    log.info("share %d: claim lost", share.index)
                    model.disown(share)
                if not share.owned and mine and share.held is not None and not share.releasing:
                    if self._away and self.gate is None:
                        # Carried out late, behind its release. A gate has a check for that, too.
                        self.resign(share)
                        continue
                    if not self._may_act(share, share.held):
                        continue
                    log.info("share %d: acting under term %d", share.index, share.held.version)
                    others_s = self.others_s(share, share.held)
                    if others_s is None:
                        self.claim_anew(share, share.held)
                        continue
                    model.own(share, share.held.version, others_s)
            if self.lease is None or not self._present:
                return
            present = model.nodes.get(self.node)
            if (
                (present is None or present.claim.lease != self.lease)
                and now - self._announced_at > LATE_S
                and now - model.followed_at < LATE_S
            ):
                # Overwritten late, on no condition, by an earlier process of an older program: it
                # goes with that one's lease, and siblings would miss us for as long as we live.
                self._present = False
            for share in model.shares:
                key = claim_key(share.index)
                if key not in self._claiming and self._should_claim(share, now):
                    self._tasks.spawn(self._claim(key, share.held))
                elif share.owned and self._should_return(share, now):
                    self._return(share)
            if LEADER_KEY not in self._claiming and self._should_lead(now):
                self._tasks.spawn(self._claim(LEADER_KEY, model.leader))

    def _may_act(self, share: Share, held: Held) -> bool:
        # While all keys are read anew, the claim may be there before the pages: what they hold was
        # placed once more, and ran twice. A gate has a check for that.
        return not self._model.loading if self.gate is None else self.gate.passes(share, held)

    def claim_anew(self, share: Share, held: Held) -> None:
        """Replace a claim of ours that tells nothing of the owners before."""
        key = claim_key(share.index)
        if key not in self._claiming:
            log.info("share %d: a claim that came late is made anew", share.index)
            self._tasks.spawn(self._claim(key, held, self._until(None)))

    def others_s(self, share: Share, held: Held) -> float | None:
        """How long owners before us may go on answering the share's workers; None if the claim has
        been applied so late that it tells nothing of them."""
        bound = self._model.cut_bound_s
        until = held.claim.until
        left = None if until is None else until - self._clock.wall()
        if share.last_holder != self.node:
            if left is not None and left < bound - LATE_S:
                # An owner may have come and gone since it was written, which a later process of
                # ours, that relies on the time in it, would not know.
                return None
            return bound
        # Ours from an earlier process. It may have held the share for a moment only, with the one
        # before it cut off: taken for alone then, tasks were placed anew that still ran.
        return bound if left is None else max(0.0, min(left, bound))

    def _until(self, held: Held | None) -> float:
        """What a claim of ours that replaces another, or none, says of the owners before."""
        if held is not None and held.claim.node == self.node and held.claim.until is not None:
            return held.claim.until
        params = self._model.settings.params
        # The time of day is read by another process later, and wanders.
        return self._clock.wall() + self._model.cut_bound_s + 2e-3 * params.time_bound_ms

    def _may_claim(self, key: str) -> bool:
        return self.gate is None or self.gate.may_claim(key)

    def _should_claim(self, share: Share, now: float) -> bool:
        held = share.held
        if self._away or not self._may_claim(claim_key(share.index)):
            return False
        if held is not None:
            # Ours from before a restart: the process that held it is certainly gone.
            return held.claim.node == self.node and held.claim.lease != self.lease
        home = self.home(share)
        if home == self.node:
            return True
        vacant = now - max(share.vacant_since, self._started)
        present = self._model.nodes.get(home)
        if present is not None and not present.claim.away:
            return vacant > HOME_GRACE_S + self._turn() * STAGGER_S
        wait = 0.0 if share.ever_held else HOME_GRACE_S
        return vacant >= wait + self._turn() * STAGGER_S

    def _turn(self) -> int:
        """Our turn among the living when something is to be claimed: the least busy first."""
        ranked = self._by_load()
        return ranked.index(self.node) if self.node in ranked else len(ranked)

    def _return(self, share: Share) -> None:
        """Have a share's home take it over, in one step; given up if it cannot be asked, as a
        program from before such requests cannot."""
        held, ask = share.held, self.ask_to_take
        if ask is None or held is None:
            self.resign(share)
        elif share.index not in self._returning:
            self._returning.add(share.index)
            self._tasks.spawn(self._bring_home(share, held, ask))

    async def _bring_home(self, share: Share, held: Held, ask: AskToTake) -> None:
        try:
            taken = await ask(self.home(share), claim_key(share.index), held.version)
            if taken is not None:
                # The replica is about to show it; or it is not ready to act, and asked again.
                await asyncio.sleep(RETURN_S)
                return
            with self._model.lock:
                if share.owned and share.held is held:
                    self.resign(share)
        finally:
            self._returning.discard(share.index)

    def _by_load(self) -> list[str]:
        """The controllers that take shares, the least busy first."""
        load = {name: 0 for name, held in self._model.nodes.items() if not held.claim.away}
        for share in self._model.shares:
            if share.held is not None and share.held.claim.node in load:
                load[share.held.claim.node] += 1
        return sorted(load, key=lambda name: (load[name], self.order.index(name)))

    def _should_lead(self, now: float) -> bool:
        held = self._model.leader
        if self._away - {Away.DEAF} or not self._may_claim(LEADER_KEY):
            return False
        if held is not None:
            return held.claim.node == self.node and held.claim.lease != self.lease
        return now - self._started > self.order.index(self.node) * 0.5

    def _should_return(self, share: Share, now: float) -> bool:
        home = self.home(share)
        since = self._alive_since.get(home)
        return (
            home != self.node
            and not share.releasing
            and since is not None
            and now - since > STEADY_S
            and (self.gate is None or self.gate.may_return(home, now - since))
        )

    # ---- a controller that others are to act for ----

    def others(self) -> list[str]:
        """Controllers that would take a share now, the least busy first."""
        return [name for name in self._by_load() if name != self.node]

    def hand_on(self) -> bool:
        """Have others act for our shares, until `come_back`; False if there is nobody else."""
        if self.deaf or self.lease is None or not self.others():
            return False
        self._away.add(Away.DEAF)
        self._tasks.spawn(self._withdraw())
        return True

    async def _withdraw(self) -> None:
        # Known to the others first: they would leave the shares to us for a while.
        await self._announce()
        with self._model.lock:
            for share in self._model.shares:
                if share.owned and self._away:
                    self.resign(share)

    def go_away(self, why: Away) -> None:
        """Take no share from now on. What is held is for the caller to pass on."""
        self._away.add(why)
        self._present = False

    async def told_away(self) -> bool:
        """Have that known to the others; whether it is."""
        await self._announce()
        return self._present

    def come_back(self, why: Away) -> None:
        """One reason fewer not to take shares."""
        self._away.discard(why)
        self._present = False

    def stand_aside(self) -> None:
        """Act for nothing from now on: the program does not fit the site's level."""
        self.go_away(Away.UNFIT)
        with self._model.lock:
            for share in self._model.shares:
                if share.owned:
                    self.resign(share)
        if self._is_mine(self._model.leader):
            self.resign_leadership()

    async def take(self, key: str, version: int) -> bool:
        """Take a claim over from the sibling that holds it, at its own wish and in one step, so
        that nobody is without an owner in between; whether that is durable."""
        lease = self.lease
        model = self._model
        if lease is None or self._away or not self._present or key in self._claiming:
            return False
        # One that does not follow the changes would not see its claim, nor act on it.
        if not model.up_to_date or not model.fits or not self._may_claim(key):
            return False
        return await self._write_claim(key, version, lease, self._until(None))

    async def _claim(self, key: str, held: Held | None, until: float | None = None) -> None:
        lease = self.lease
        if lease is None or key in self._claiming:
            return
        version = 0 if held is None else held.version
        until = self._until(held) if until is None else until
        await self._write_claim(key, version, lease, until)

    async def _write_claim(self, key: str, version: int, lease: int, until: float) -> bool:
        self._claiming.add(key)
        record = wire.Holding(self.node, lease, False, round(until, 3))
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
        except LeaseLost:
            self._lose_lease()
        except Refused:
            log.debug("%s: claimed by another", key)
            await asyncio.sleep(0.2)
        except (Unavailable, Dropped):
            log.debug("%s: not claimed", key)
        finally:
            # The replica shows the claim before we act for it, with all that was written earlier.
            self._claiming.discard(key)
            self._changed()
        return False

    def resign(self, share: Share) -> None:
        """Stop acting for a share at once and give up its claim, if it is still ours."""
        if share.releasing:
            return
        held = share.held
        if share.owned:
            self._model.disown(share)
        if held is None or not self._is_mine(held):
            # Passed on while a write of ours was on its way: the next owner's claim is not ours to
            # remove.
            return
        log.info("share %d: given up", share.index)
        share.releasing = True
        self._tasks.spawn(self._release(share, held))

    def resign_leadership(self) -> None:
        """Give up the leadership."""
        held = self._model.leader
        if held is not None and self._is_mine(held):
            log.info("the leadership is given up")
            self._tasks.spawn(self._remove(LEADER_KEY, held.version))

    async def _remove(self, key: str, version: int) -> None:
        await remove_claim(self._state, self._committer, key, version, lambda: bool(self._away))

    async def _release(self, share: Share, held: Held) -> None:
        try:
            await self._remove(claim_key(share.index), held.version)
            await asyncio.sleep(RELEASED_S)
        finally:
            # Even if the removal failed, acting again takes a claim of a new version.
            share.releasing = False
            if share.held is held:
                share.held = Held(wire.Holding(self.node, -1), held.version)
        self._changed()
