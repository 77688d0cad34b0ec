"""Whether this controller follows the changes of the state service while its lease is renewed.

A controller whose requests to follow get no answer, but whose lease is renewed, keeps its claims.
It renews no worker's lease once what it knows is too old (`Member.may_renew`), and nobody else acts
for its shares. It has to notice by itself, and to pass its claims on.

A claim passes as it does when a controller leaves: a sibling that follows the changes itself
replaces it on its stamp. So a controller that nobody can replace keeps its claims, be it the last
one or one of many that follow nothing. In an outage no lease is renewed and nobody gives up. The
passer is the cut owner of docs/design.md, point 6, from the revision of the new claim on. It reads
that claim by itself, since its replica will not show it.
"""

from __future__ import annotations

import asyncio
import logging

import msgspec

from badgerseam.cluster.availability import UnavailableReason
from badgerseam.cluster.membership import Membership, RequestTakeover
from badgerseam.model.keys import LEADER_KEY, claim_key
from badgerseam.model.model import Model
from badgerseam.store.client import StateClient, StateUnavailableError
from badgerseam.wire import state as wire

log = logging.getLogger("badgerseam.cluster")

STALLED_S = 8.0
"""Without an answer for so long, two requests to follow in a row have come to nothing."""
MAX_STEP_S = 0.5
"""Between two looks at most so much time counts: a process that stood still asked nothing."""
RETRY_S = 1.0
STEADY_S = 3.0
"""How long the changes have to be followed before shares are taken again; doubled each time."""
MAX_STEADY_S = 60.0


class WatchHealth:
    """Counts the time without an answer, and passes the claims on."""

    def __init__(
        self,
        model: Model,
        member: Membership,
        state: StateClient,
        ask_to_take: RequestTakeover,
    ) -> None:
        self._model = model
        self._member = member
        self._state = state
        self._ask_to_take = ask_to_take
        self._clock = model.clock
        self._renewed_s = member.claim_ttl_s / 2
        """A renewal older than that means that the state service does not serve us."""
        self._looked_at = self._clock.now()
        self._followed_at = model.followed_at
        self._blind_s = 0.0
        self._follows_since: float | None = None
        self._steady_s = STEADY_S
        self._passed_on = False
        """Whether a claim has been passed on since we became blind."""
        self._passing: asyncio.Task[None] | None = None

    def check(self) -> None:
        """Called a few times a second, with the model's lock held."""
        now = self._clock.now()
        step_s = min(now - self._looked_at, MAX_STEP_S)
        self._looked_at = now
        answered = self._model.followed_at != self._followed_at
        self._followed_at = self._model.followed_at
        if answered or not self._member.lease_confirmed_within(self._renewed_s):
            # Without renewals either, the lease ends, or it is an outage and nobody follows.
            self._blind_s = 0.0
        else:
            self._blind_s += step_s
        if self._member.is_unavailable(UnavailableReason.WATCH_STALLED):
            self._resume_when_steady(now)
        elif self._blind_s > STALLED_S and self._holds_any():
            log.warning("no changes followed for %.1f s: claims are passed on", self._blind_s)
            self._passed_on = False
            self._follows_since = None
            self._member.mark_unavailable(UnavailableReason.WATCH_STALLED)
            self._passing = asyncio.ensure_future(self._hand_over_all())

    def _resume_when_steady(self, now: float) -> None:
        """Take shares again once the changes are followed steadily."""
        if not self._model.is_up_to_date:
            self._follows_since = None
            return
        if self._follows_since is None:
            self._follows_since = now
        if self._passed_on and now - self._follows_since < self._steady_s:
            return
        if self._passed_on:
            self._steady_s = min(2 * self._steady_s, MAX_STEADY_S)
        log.info("changes are followed again")
        self._blind_s = 0.0
        self._member.mark_available(UnavailableReason.WATCH_STALLED)

    def _holds_any(self) -> bool:
        """Whether a claim is ours by what the replica shows, perhaps long ago."""
        held = [*(shard.claim for shard in self._model.shards), self._model.leader_claim]
        return any(claim is not None and claim.record.node == self._member.node for claim in held)

    async def _held_claims(self) -> list[tuple[str, int]] | None:
        """The claims that are ours now and their stamps, the leadership last; None if they cannot
        be read. The replica may not show those that this process has made: started again with a
        watch that is stuck, it holds its predecessor's under stamps that it never follows."""
        found = []
        keys = [claim_key(shard.index) for shard in self._model.shards]
        for key in [*keys, LEADER_KEY]:
            try:
                entry = await self._state.get(key)
            except StateUnavailableError:
                return None
            if entry is not None and _holder(entry) == self._member.node:
                found.append((key, entry.version))
        return found

    def _siblings(self) -> list[str]:
        """All of them, those that would take a share by what is known first."""
        others = self._member.takeover_candidates()
        named = [sibling.node for sibling in self._model.settings.siblings]
        return others + [name for name in named if name not in others]

    def _is_stalled(self) -> bool:
        return (
            self._member.is_unavailable(UnavailableReason.WATCH_STALLED)
            and not self._model.is_up_to_date
        )

    async def _hand_over_all(self) -> None:
        """Ask the siblings again and again, until nothing is held or the changes are followed."""
        while self._is_stalled():
            held = await self._held_claims()
            if held is not None and not held:
                return
            for key, version in held or []:
                if self._is_stalled():
                    await self._hand_over(key, version)
            await asyncio.sleep(RETRY_S)

    async def _hand_over(self, key: str, version: int) -> None:
        for node in self._siblings():
            # Without an answer it may have been taken all the same.
            taken = await self._ask_to_take(node, key, version)
            if taken is not False and await self._is_held_by_another(key):
                log.info("%s: passed on to %s", key, node)
                return

    async def _is_held_by_another(self, key: str) -> bool:
        """Whether another holds a claim now; the model takes that over."""
        try:
            entry = await self._state.get(key)
        except StateUnavailableError:
            return False
        if entry is None:
            return False
        if _holder(entry) == self._member.node:
            # A claim of ours is acted on only when the replica shows all that came before it.
            return False
        with self._model.lock:
            self._model.apply(key, entry.value, entry.version)
        self._passed_on = True
        self._member.review()
        return True


def _holder(entry: wire.Entry) -> str:
    """Who holds a claim, by its record."""
    claim: wire.ClaimRecord = msgspec.json.decode(entry.value, type=wire.ClaimRecord)
    return claim.node
