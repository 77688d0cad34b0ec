"""Handover: a draining controller transfers its shards and the leadership to its peers one by one.

The successor takes each claim over in a single transaction that is conditional on the version of
the draining controller's claim, so the claim has an owner at every revision. The draining
controller keeps acting until its state watcher shows the new owner, as an owner does that was
partitioned from the state service; its writes that arrive later are fenced in the same way
(docs/design.md, points 3, 5 and 6).
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from badgerseam.background import BackgroundTasks
from badgerseam.cluster.availability import UnavailableReason
from badgerseam.cluster.membership import Membership, RequestTakeover
from badgerseam.model.keys import LEADER_KEY, claim_key
from badgerseam.model.model import Model
from badgerseam.model.state import MAX_STATE_AGE_S

log = logging.getLogger("badgerseam.rollout")

TAKEOVER_VISIBLE_S = 1.0
"""Seconds to wait until the state watcher shows a takeover that a peer has reported; after that it
is requested again."""
POLL_INTERVAL_S = 0.005
ANNOUNCE_RETRY_DELAY_S = 0.1
USER_REROUTE_S = 6.0
"""Seconds for which a drained controller still serves users. A load balancer that probes once a
second needs two failures to route users elsewhere, and resets the connections to a node that has
been unhealthy for some seconds."""
NEVER = -1e9
"""A time earlier than every time of the clock."""


class Handover:
    """Drains this controller, and lets it claim shards again, when operators request it."""

    def __init__(
        self,
        model: Model,
        membership: Membership,
        request_takeover: RequestTakeover,
        open_requests: Callable[[], int],
    ) -> None:
        """Initializes the handover of a controller.

        `request_takeover` asks a peer to take over a claim; `open_requests` returns the number of
        user requests in progress.
        """
        self._model = model
        self._membership = membership
        self._request_takeover = request_takeover
        self._open_requests = open_requests
        self._clock = model.clock
        self._drained_at: float | None = None
        self._drain_started_at = NEVER
        self._task: asyncio.Task[None] | None = None
        self._tasks = BackgroundTasks()

    @property
    def is_draining(self) -> bool:
        """Whether the controller was asked to drain and has not been asked to resume since."""
        return self._membership.is_unavailable(UnavailableReason.DRAINING)

    @property
    def is_drained(self) -> bool:
        """Whether the drain has completed and the controller still owns no claim."""
        return self._drained_at is not None and not self._owned_claims()

    @property
    def may_stop(self) -> bool:
        """Whether the process may be ended.

        It may once it owns no claim, no user request is in progress, and load balancers have had
        time to route users elsewhere.
        """
        drained_at = self._drained_at
        return (
            drained_at is not None
            and self.is_drained
            and self._clock.now() - drained_at >= USER_REROUTE_S
            and self._open_requests() == 0
        )

    def drain(self) -> str | None:
        """Starts to drain unless a drain was requested before.

        Returns the reason if the drain is refused, otherwise None.
        """
        if self.is_draining:
            return None
        if not self._membership.takeover_candidates():
            return "no other controller would take its shares"
        log.info("drain requested")
        self._drained_at = None
        self._drain_started_at = self._clock.now()
        self._membership.mark_unavailable(UnavailableReason.DRAINING)
        self._task = self._tasks.spawn(self._drain())
        return None

    def resume(self) -> None:
        """Ends a drain: the controller claims shards again."""
        if self._task is not None:
            self._task.cancel()
        self._drained_at = None
        self._membership.mark_available(UnavailableReason.DRAINING)
        log.info("resume requested")

    def _owned_claims(self) -> list[tuple[str, int]]:
        """Returns the keys and versions of this controller's claims.

        The leadership comes last, since the leader moves machines between shards.
        """
        model, membership = self._model, self._membership
        claims = [
            (claim_key(shard.index), shard.claim.version)
            for shard in model.shards
            if shard.claim is not None and shard.claim.record.node == membership.node
        ]
        leader = model.leader_claim
        if leader is not None and leader.record.node == membership.node:
            claims.append((LEADER_KEY, leader.version))
        return claims

    async def _drain(self) -> None:
        # The drain is announced first: until then, peers may hand shards over to this controller,
        # or leave shards for it to claim.
        await self._announce()
        while True:
            with self._model.lock:
                claims = self._owned_claims()
            if not claims:
                break
            for key, version in claims:
                await self._hand_over(key, version)
        self._drained_at = self._clock.now()
        log.info("drain complete")

    async def _announce(self) -> None:
        """Announces the drain to the peers, and retries until that succeeds."""
        while True:
            is_announced = await self._membership.announce_unavailable()
            if is_announced:
                return
            await asyncio.sleep(ANNOUNCE_RETRY_DELAY_S)

    async def _hand_over(self, key: str, version: int) -> None:
        """Has a peer take over a claim; resigns the claim if all peers refuse."""
        has_response = False
        for name in self._membership.takeover_candidates():
            is_taken = await self._request_takeover(name, key, version)
            has_response |= is_taken is not None
            if is_taken:
                if await self._is_claim_gone(key, version):
                    log.info("claim handed over key=%s controller=%s", key, name)
                    return
                break
        else:
            if has_response or self._has_live_peer():
                # All peers refuse, or run a program version without handover: the claim is
                # resigned, as by a controller that receives no heartbeats.
                self._resign(key)
        await self._is_claim_gone(key, version)

    def _has_live_peer(self) -> bool:
        """Whether a peer is certainly running.

        A peer that ended before the drain leaves its record until its lease expires. A record that
        is still there later belongs to a running peer; without one, a resigned claim might stay
        without an owner.
        """
        waited_s = self._clock.now() - self._drain_started_at
        return waited_s > self._membership.claim_ttl_s + MAX_STATE_AGE_S and bool(
            self._membership.takeover_candidates()
        )

    def _resign(self, key: str) -> None:
        with self._model.lock:
            if key == LEADER_KEY:
                self._membership.resign_leadership()
                return
            shard = next(shard for shard in self._model.shards if claim_key(shard.index) == key)
            if shard.owned:
                self._membership.resign(shard)

    async def _is_claim_gone(self, key: str, version: int) -> bool:
        """Whether the state watcher shows, within `TAKEOVER_VISIBLE_S`, that this controller no
        longer owns this version of the claim."""
        until = self._clock.now() + TAKEOVER_VISIBLE_S
        while self._clock.now() < until:
            with self._model.lock:
                if (key, version) not in self._owned_claims():
                    return True
            await asyncio.sleep(POLL_INTERVAL_S)
        return False
