"""A controller that leaves: its shares and the leadership go to siblings one by one, and only then
may its process be ended.

A claim passes in one transaction that the heir makes on the stamp of the leaver's claim, so that at
no revision nobody holds it. The leaver acts until its replica shows the new holder, which is the
same moment at which a cut owner would learn of it; everything of its that arrives later is fenced
as that owner's is (docs/design.md, points 3, 5 and 6).
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
from badgerseam.model.state import STALE_S

log = logging.getLogger("badgerseam.rollout")

SHOWN_S = 1.0
"""How long a claim that a sibling says to have taken may stay unseen until it is asked anew."""
STEP_S = 0.005
ANNOUNCE_S = 0.1
DRAIN_S = 6.0
"""A load balancer that probes once a second needs two failures to lead users elsewhere, and resets
what is open to a node that has been unhealthy for some seconds: until then users are served."""


class Handover:
    """Leaves, and comes back, at an operator's word."""

    def __init__(
        self,
        model: Model,
        member: Membership,
        ask: RequestTakeover,
        open_requests: Callable[[], int],
    ) -> None:
        self._model = model
        self._member = member
        self._ask = ask
        self._open_requests = open_requests
        self._clock = model.clock
        self._left_at: float | None = None
        self._began_at = -1e9
        self._task: asyncio.Task[None] | None = None
        self._tasks = BackgroundTasks()

    @property
    def is_draining(self) -> bool:
        return self._member.is_unavailable(UnavailableReason.DRAINING)

    @property
    def is_drained(self) -> bool:
        """Nothing is held any more."""
        return self._left_at is not None and not self._held_claims()

    @property
    def may_stop(self) -> bool:
        """Nothing is held, and nobody waits for an answer or would come for one."""
        since = self._left_at
        return (
            since is not None
            and self.is_drained
            and self._clock.now() - since >= DRAIN_S
            and self._open_requests() == 0
        )

    def drain(self) -> str | None:
        """Begin to leave, if that was not asked before; why that cannot be, or None."""
        if self.is_draining:
            return None
        if not self._member.takeover_candidates():
            return "no other controller would take its shares"
        log.info("asked to leave")
        self._left_at = None
        self._began_at = self._clock.now()
        self._member.mark_unavailable(UnavailableReason.DRAINING)
        self._task = self._tasks.spawn(self._leave())
        return None

    def resume(self) -> None:
        """Take shares as before."""
        if self._task is not None:
            self._task.cancel()
        self._left_at = None
        self._member.mark_available(UnavailableReason.DRAINING)
        log.info("asked to come back")

    def _held_claims(self) -> list[tuple[str, int]]:
        """Our claims and their stamps, the leadership last: whoever leads deals in shares."""
        model, member = self._model, self._member
        found = [
            (claim_key(shard.index), shard.claim.version)
            for shard in model.shards
            if shard.claim is not None and shard.claim.record.node == member.node
        ]
        leader = model.leader_claim
        if leader is not None and leader.record.node == member.node:
            found.append((LEADER_KEY, leader.version))
        return found

    async def _leave(self) -> None:
        # Known to the siblings first: they would bring shares home to us, or leave them to us.
        while not await self._member.announce_unavailable():
            await asyncio.sleep(ANNOUNCE_S)
        while True:
            with self._model.lock:
                held = self._held_claims()
            if not held:
                break
            for key, version in held:
                await self._hand_over(key, version)
        self._left_at = self._clock.now()
        log.info("has left: no share is held, nor the leadership")

    async def _hand_over(self, key: str, version: int) -> None:
        answered = False
        for name in self._member.takeover_candidates():
            taken = await self._ask(name, key, version)
            answered |= taken is not None
            if taken:
                if await self._claim_is_gone(key, version):
                    log.info("%s: passed on to %s", key, name)
                    return
                break
        else:
            if answered or self._others_are_there():
                # All are older programs, or take none: as from one that hears no worker.
                self._give_up(key)
        await self._claim_is_gone(key, version)

    def _others_are_there(self) -> bool:
        """Whether the record of a sibling has outlasted what it would if its process had ended
        before we began to ask: without that, nobody might act for what we give up."""
        waited_s = self._clock.now() - self._began_at
        return waited_s > self._member.claim_ttl_s + STALE_S and bool(
            self._member.takeover_candidates()
        )

    def _give_up(self, key: str) -> None:
        with self._model.lock:
            if key == LEADER_KEY:
                self._member.resign_leadership()
                return
            shard = next(s for s in self._model.shards if claim_key(s.index) == key)
            if shard.owned:
                self._member.resign(shard)

    async def _claim_is_gone(self, key: str, version: int) -> bool:
        """Whether the replica shows within a while that the claim is not ours as it was."""
        until = self._clock.now() + SHOWN_S
        while self._clock.now() < until:
            with self._model.lock:
                if (key, version) not in self._held_claims():
                    return True
            await asyncio.sleep(STEP_S)
        return False
