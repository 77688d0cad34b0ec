"""Detects a stalled watch: the controller's lease is renewed, but its replica gets no changes.

A controller whose watch requests get no response, but whose lease is renewed, keeps its claims. It
stops renewing its workers' leases once its replica is too old
(`Membership.may_renew_worker_leases`), and no other controller acts for its shards. So it has to
detect the stall itself and hand its claims over.

The handover is the same as when a controller is drained: a peer whose own watch works replaces the
claim, conditionally on its version. A controller that no peer can replace therefore keeps its
claims, whether it is the last one or all watches are stalled. In an outage of the state service no
lease is renewed, and no claim is handed over. From the revision of the new claim on, this
controller is the cut owner of docs/design.md, point 6. It reads the new claim from the state
service, since its replica will not show it.
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
"""Seconds without a response after which the watch counts as stalled: two watch requests in a row
have failed by then."""
MAX_STEP_S = 0.5
"""Maximum seconds counted between two checks: a process that was suspended has sent no request in
the meantime."""
RETRY_S = 1.0
"""Seconds between two rounds of handing over claims."""
MIN_WATCHED_S = 3.0
"""Seconds for which the watch must work before shards are taken again; doubled after each stall in
which a claim was handed over."""
MAX_MIN_WATCHED_S = 60.0


class WatchHealth:
    """Measures the time without a watch response, and hands the claims over once it is too long."""

    def __init__(
        self,
        model: Model,
        membership: Membership,
        state: StateClient,
        request_takeover: RequestTakeover,
    ) -> None:
        self._model = model
        self._membership = membership
        self._state = state
        self._request_takeover = request_takeover
        self._clock = model.clock
        self._max_renewal_age_s = membership.claim_ttl_s / 2
        """Age in seconds from which the last lease renewal no longer proves that the state service
        can be reached."""
        self._checked_at = self._clock.now()
        self._followed_at = model.followed_at
        self._stalled_s = 0.0
        self._followed_since: float | None = None
        self._min_watched_s = MIN_WATCHED_S
        self._has_handed_over = False
        """Whether a claim has been handed over since the watch stalled."""
        self._handover: asyncio.Task[None] | None = None

    def check(self) -> None:
        """Checks the watch; called a few times a second, with the model's lock held."""
        now = self._clock.now()
        step_s = min(now - self._checked_at, MAX_STEP_S)
        self._checked_at = now
        is_answered = self._model.followed_at != self._followed_at
        self._followed_at = self._model.followed_at
        if is_answered or not self._membership.lease_confirmed_within(self._max_renewal_age_s):
            # If renewals fail as well, either the lease will end, or the state service has an
            # outage and no controller gets changes.
            self._stalled_s = 0.0
        else:
            self._stalled_s += step_s
        if self._membership.is_unavailable(UnavailableReason.WATCH_STALLED):
            self._resume_if_watch_is_stable(now)
        elif self._stalled_s > STALLED_S and self._has_claims():
            log.warning("watch stalled duration_s=%.1f", self._stalled_s)
            self._has_handed_over = False
            self._followed_since = None
            self._membership.mark_unavailable(UnavailableReason.WATCH_STALLED)
            self._handover = asyncio.ensure_future(self._hand_over_all())

    def _resume_if_watch_is_stable(self, now: float) -> None:
        """Lets this controller take shards again once the watch has worked for long enough."""
        if not self._model.is_up_to_date:
            self._followed_since = None
            return
        if self._followed_since is None:
            self._followed_since = now
        if self._has_handed_over and now - self._followed_since < self._min_watched_s:
            return
        if self._has_handed_over:
            self._min_watched_s = min(2 * self._min_watched_s, MAX_MIN_WATCHED_S)
        log.info("watch resumed")
        self._stalled_s = 0.0
        self._membership.mark_available(UnavailableReason.WATCH_STALLED)

    def _has_claims(self) -> bool:
        """Whether the replica, which may be out of date, shows a claim of this controller."""
        claims = [*(shard.claim for shard in self._model.shards), self._model.leader_claim]
        return any(
            claim is not None and claim.record.node == self._membership.node for claim in claims
        )

    async def _read_own_claims(self) -> list[tuple[str, int]] | None:
        """Reads the keys and versions of this controller's current claims, the leadership last;
        returns None if they cannot be read.

        The replica may lack the claims of this process: after a restart with a stalled watch it
        shows those of the previous process, with versions that are never updated.
        """
        found = []
        keys = [claim_key(shard.index) for shard in self._model.shards]
        for key in [*keys, LEADER_KEY]:
            try:
                entry = await self._state.get(key)
            except StateUnavailableError:
                return None
            if entry is not None and _owner_of(entry) == self._membership.node:
                found.append((key, entry.version))
        return found

    def _peers_by_preference(self) -> list[str]:
        """Returns all peers, first those that are available by the replica."""
        candidates = self._membership.takeover_candidates()
        names = [sibling.node for sibling in self._model.settings.siblings]
        return candidates + [name for name in names if name not in candidates]

    def _is_stalled(self) -> bool:
        return (
            self._membership.is_unavailable(UnavailableReason.WATCH_STALLED)
            and not self._model.is_up_to_date
        )

    async def _hand_over_all(self) -> None:
        """Asks the peers repeatedly to take the claims over, until this controller has no claim
        left or its watch works again."""
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
            # A takeover without a response may have succeeded all the same.
            is_taken = await self._request_takeover(node, key, version)
            if is_taken is not False and await self._is_owned_by_another(key):
                log.info("claim handed over key=%s controller=%s", key, node)
                return

    async def _is_owned_by_another(self, key: str) -> bool:
        """Whether another controller has the claim now; if so, updates the replica accordingly."""
        try:
            entry = await self._state.get(key)
        except StateUnavailableError:
            return False
        if entry is None:
            return False
        if _owner_of(entry) == self._membership.node:
            # A claim of this controller is not applied here: it may be acted on only once the
            # replica shows everything that was written before it.
            return False
        with self._model.lock:
            self._model.apply(key, entry.value, entry.version)
        self._has_handed_over = True
        self._membership.review()
        return True


def _owner_of(entry: wire.Entry) -> str:
    """Returns the controller that a claim's record names."""
    claim: wire.ClaimRecord = msgspec.json.decode(entry.value, type=wire.ClaimRecord)
    return claim.node
