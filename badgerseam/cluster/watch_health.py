"""Detects a stalled watch: the lease is renewed, but the changes are not followed any more.

A controller whose watch requests get no answer, but whose lease is renewed, keeps its claims. It
renews no worker's lease once its replica is too old (`Membership.may_renew_worker_leases`), and
nobody else acts for its shards. It has to notice by itself, and to hand its claims over.

A claim is handed over as by a controller that is drained: a peer that follows the changes itself
replaces it on its version. So a controller that nobody can replace keeps its claims, be it the last
one or one of many that follow nothing. In an outage no lease is renewed and nobody hands over. The
controller is the cut owner of docs/design.md, point 6, from the revision of the new claim on. It
reads that claim by itself, since its replica will not show it.
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
"""Without an answer for so long, two watch requests in a row have failed."""
MAX_STEP_S = 0.5
"""Of the time between two checks at most so much counts: a suspended process asked nothing."""
RETRY_S = 1.0
"""Between two rounds of handing over."""
STEADY_S = 3.0
"""How long the changes have to be followed before shards are taken again; doubled each time."""
MAX_STEADY_S = 60.0


class WatchHealth:
    """Counts the time without an answer, and hands the claims over."""

    def __init__(
        self,
        model: Model,
        member: Membership,
        state: StateClient,
        request_takeover: RequestTakeover,
    ) -> None:
        self._model = model
        self._member = member
        self._state = state
        self._request_takeover = request_takeover
        self._clock = model.clock
        self._max_renewal_age_s = member.claim_ttl_s / 2
        """A renewal older than that means that the state service does not serve us."""
        self._checked_at = self._clock.now()
        self._followed_at = model.followed_at
        self._stalled_s = 0.0
        self._followed_since: float | None = None
        self._steady_s = STEADY_S
        self._has_handed_over = False
        """Whether a claim has been handed over since the watch stalled."""
        self._handover: asyncio.Task[None] | None = None

    def check(self) -> None:
        """Called a few times a second, with the model's lock held."""
        now = self._clock.now()
        step_s = min(now - self._checked_at, MAX_STEP_S)
        self._checked_at = now
        is_answered = self._model.followed_at != self._followed_at
        self._followed_at = self._model.followed_at
        if is_answered or not self._member.lease_confirmed_within(self._max_renewal_age_s):
            # Without renewals either, the lease ends, or it is an outage and nobody follows.
            self._stalled_s = 0.0
        else:
            self._stalled_s += step_s
        if self._member.is_unavailable(UnavailableReason.WATCH_STALLED):
            self._resume_when_steady(now)
        elif self._stalled_s > STALLED_S and self._has_claims():
            log.warning("watch stalled duration_s=%.1f", self._stalled_s)
            self._has_handed_over = False
            self._followed_since = None
            self._member.mark_unavailable(UnavailableReason.WATCH_STALLED)
            self._handover = asyncio.ensure_future(self._hand_over_all())

    def _resume_when_steady(self, now: float) -> None:
        """Take shards again once the changes are followed steadily."""
        if not self._model.is_up_to_date:
            self._followed_since = None
            return
        if self._followed_since is None:
            self._followed_since = now
        if self._has_handed_over and now - self._followed_since < self._steady_s:
            return
        if self._has_handed_over:
            self._steady_s = min(2 * self._steady_s, MAX_STEADY_S)
        log.info("watch resumed")
        self._stalled_s = 0.0
        self._member.mark_available(UnavailableReason.WATCH_STALLED)

    def _has_claims(self) -> bool:
        """Whether a claim is ours by what the replica shows, perhaps long ago."""
        claims = [*(shard.claim for shard in self._model.shards), self._model.leader_claim]
        return any(claim is not None and claim.record.node == self._member.node for claim in claims)

    async def _read_own_claims(self) -> list[tuple[str, int]] | None:
        """The keys and versions of the claims that are ours now, the leadership last; None if they
        cannot be read.

        The replica may not show those that this process has made: started again with a watch that
        is stuck, it shows its predecessor's under versions that it never follows.
        """
        found = []
        keys = [claim_key(shard.index) for shard in self._model.shards]
        for key in [*keys, LEADER_KEY]:
            try:
                entry = await self._state.get(key)
            except StateUnavailableError:
                return None
            if entry is not None and _owner_of(entry) == self._member.node:
                found.append((key, entry.version))
        return found

    def _peers_by_preference(self) -> list[str]:
        """All peers, those that would take a shard by what is known first."""
        candidates = self._member.takeover_candidates()
        names = [sibling.node for sibling in self._model.settings.siblings]
        return candidates + [name for name in names if name not in candidates]

    def _is_stalled(self) -> bool:
        return (
            self._member.is_unavailable(UnavailableReason.WATCH_STALLED)
            and not self._model.is_up_to_date
        )

    async def _hand_over_all(self) -> None:
        """Ask the peers again and again, until no claim is ours or the changes are followed."""
        while self._is_stalled():
            claims = await self._read_own_claims()
            if claims is not None and not claims:
                return
            for key, version in claims or []:
                if self._is_stalled():
                    await self._hand_over(key, version)
            await asyncio.sleep(RETRY_S)

    async def _hand_over(self, key: str, version: int) -> None:
        for node in self._peers_by_preference():
            # Without an answer it may have been taken all the same.
            is_taken = await self._request_takeover(node, key, version)
            if is_taken is not False and await self._is_owned_by_another(key):
                log.info("claim handed over key=%s controller=%s", key, node)
                return

    async def _is_owned_by_another(self, key: str) -> bool:
        """Whether another controller has a claim now; the replica is updated with that."""
        try:
            entry = await self._state.get(key)
        except StateUnavailableError:
            return False
        if entry is None:
            return False
        if _owner_of(entry) == self._member.node:
            # A claim of ours is acted on only when the replica shows all that came before it.
            return False
        with self._model.lock:
            self._model.apply(key, entry.value, entry.version)
        self._has_handed_over = True
        self._member.review()
        return True


def _owner_of(entry: wire.Entry) -> str:
    """The controller that has a claim, by its record."""
    claim: wire.ClaimRecord = msgspec.json.decode(entry.value, type=wire.ClaimRecord)
    return claim.node
