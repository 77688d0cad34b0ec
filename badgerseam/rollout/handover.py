"""Handover: a controller that drains passes its shards and the leadership to its peers one by one.

A claim passes in one transaction that the successor makes on the version of the draining
controller's claim, so that it has an owner at every revision. The draining controller acts until
its state watcher shows the new owner, which is the same moment at which an owner that was cut off
would learn of it; its writes that arrive later are fenced as that owner's are (docs/design.md,
points 3, 5 and 6).
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
"""How long a takeover that a peer reports may stay invisible before it is requested again."""
POLL_S = 0.005
ANNOUNCE_RETRY_S = 0.1
USER_DRAIN_S = 6.0
"""A load balancer that probes once a second needs two failures to lead users elsewhere, and resets
connections to a node that has been unhealthy for some seconds: until then users are served."""
NEVER = -1e9
"""A time before every other one."""


class Handover:
    """Drains this controller, and lets it take part again, when operators request it."""

    def __init__(
        self,
        model: Model,
        member: Membership,
        request_takeover: RequestTakeover,
        open_requests: Callable[[], int],
    ) -> None:
        """`request_takeover`: asks a peer to take a claim over; `open_requests`: how many users'
        requests are open."""
        self._model = model
        self._member = member
        self._request_takeover = request_takeover
        self._open_requests = open_requests
        self._clock = model.clock
        self._drained_at: float | None = None
        self._began_at = NEVER
        self._task: asyncio.Task[None] | None = None
        self._tasks = BackgroundTasks()

    @property
    def is_draining(self) -> bool:
        """Whether the controller was asked to drain, and not to resume since."""
        return self._member.is_unavailable(UnavailableReason.DRAINING)

    @property
    def is_drained(self) -> bool:
        """Whether no claim is owned any more."""
        return self._drained_at is not None and not self._owned_claims()

    @property
    def may_stop(self) -> bool:
        """Whether no claim is owned, and no user waits for a response or would be led here."""
        drained_at = self._drained_at
        return (
            drained_at is not None
            and self.is_drained
            and self._clock.now() - drained_at >= USER_DRAIN_S
            and self._open_requests() == 0
        )

    def drain(self) -> str | None:
        """Begin to drain, if that was not requested before; why it is refused, or None."""
        if self.is_draining:
            return None
        if not self._member.takeover_candidates():
            return "no other controller would take its shares"
        log.info("drain requested")
        self._drained_at = None
        self._began_at = self._clock.now()
        self._member.mark_unavailable(UnavailableReason.DRAINING)
        self._task = self._tasks.spawn(self._drain())
        return None

    def resume(self) -> None:
        """End a drain: the controller takes shards over as before."""
        if self._task is not None:
            self._task.cancel()
        self._drained_at = None
        self._member.mark_available(UnavailableReason.DRAINING)
        log.info("resume requested")

    def _owned_claims(self) -> list[tuple[str, int]]:
        """The keys of this controller's claims and their versions.

        The leadership comes last, since the leader moves machines between shards.
        """
        model, member = self._model, self._member
        claims = [
            (claim_key(shard.index), shard.claim.version)
            for shard in model.shards
            if shard.claim is not None and shard.claim.record.node == member.node
        ]
        leader = model.leader_claim
        if leader is not None and leader.record.node == member.node:
            claims.append((LEADER_KEY, leader.version))
        return claims

    async def _drain(self) -> None:
        # Announced to the peers first: they would pass shards to this controller, or leave them.
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
        """Announce the drain to the peers, until that has succeeded."""
        while True:
            is_announced = await self._member.announce_unavailable()
            if is_announced:
                return
            await asyncio.sleep(ANNOUNCE_RETRY_S)

    async def _hand_over(self, key: str, version: int) -> None:
        """Have a peer take a claim over; give it up if none does."""
        has_response = False
        for name in self._member.takeover_candidates():
            is_taken = await self._request_takeover(name, key, version)
            has_response |= is_taken is not None
            if is_taken:
                if await self._is_claim_gone(key, version):
                    log.info("claim handed over key=%s controller=%s", key, name)
                    return
                break
        else:
            if has_response or self._has_live_peer():
                # All are older programs, or refuse: the claim is given up, as by a controller that
                # receives no heartbeats.
                self._give_up(key)
        await self._is_claim_gone(key, version)

    def _has_live_peer(self) -> bool:
        """Whether the record of a peer has outlasted the lease that it would have left if its
        process had ended before the drain: without one, a claim given up might stay unowned."""
        waited_s = self._clock.now() - self._began_at
        return waited_s > self._member.claim_ttl_s + MAX_STATE_AGE_S and bool(
            self._member.takeover_candidates()
        )

    def _give_up(self, key: str) -> None:
        with self._model.lock:
            if key == LEADER_KEY:
                self._member.resign_leadership()
                return
            shard = next(shard for shard in self._model.shards if claim_key(shard.index) == key)
            if shard.owned:
                self._member.resign(shard)

    async def _is_claim_gone(self, key: str, version: int) -> bool:
        """Whether the state watcher shows in time that the claim is no longer this version's."""
        until = self._clock.now() + TAKEOVER_VISIBLE_S
        while self._clock.now() < until:
            with self._model.lock:
                if (key, version) not in self._owned_claims():
                    return True
            await asyncio.sleep(POLL_S)
        return False
