"""The warm standby of a controller: its takeover gate, failure detector and soft state."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass

import msgspec

from badgerseam.cluster.availability import UnavailableReason
from badgerseam.cluster.claim_policy import MIN_AVAILABLE_S
from badgerseam.cluster.membership import Membership
from badgerseam.http.server import Reply, error_reply
from badgerseam.model.model import Model
from badgerseam.model.state import ObservedClaim, Shard
from badgerseam.options.standby import StandbyOptions
from badgerseam.standby.failure_detector import HOLD_S, Ask, FailureDetector
from badgerseam.standby.soft_state import BlockedOffers, SoftStateReceiver, SoftStateSender
from badgerseam.standby.takeover_gate import TakeoverGate
from badgerseam.store.client import StateClient
from badgerseam.tunables import Tunables
from badgerseam.wire import standby as wire

log = logging.getLogger("badgerseam.standby")

RESTART_WINDOW_S = 120.0
"""Seconds during which a restart of a home controller still counts; each further restart within
this window doubles the time for which it must be available before its shard is returned."""
MAX_REQUIRED_AVAILABLE_S = 60.0
"""Seconds of availability after which a home controller gets its shard back in any case."""
MAX_RESTARTS = 10
"""Maximum number of restarts kept for each peer, the latest ones."""


@dataclass(frozen=True, slots=True)
class PeerRestarts:
    """The lease to which a peer's record is attached, and the times at which it changed."""

    lease: int
    at: tuple[float, ...] = ()


class WarmStandby:
    """Combines the parts of the standby, and serves the claim policy and the peers' requests."""

    def __init__(
        self,
        model: Model,
        membership: Membership,
        state: StateClient,
        options: StandbyOptions,
        tunables: Tunables,
        ask: Ask,
        process: str,
        blocked: BlockedOffers,
    ) -> None:
        """`process`: a unique name of this process; `blocked`: the fleet's offers without
        capacity."""
        self._model = model
        self._membership = membership
        self._clock = model.clock
        self._step_s = options.probe_s / 2
        self.gate = TakeoverGate(
            model, membership, options, tunables.claim_ttl_s, self._on_takeover
        )
        self.soft_state = SoftStateReceiver(model, options, tunables.window_s, blocked)
        self.soft_state_sender = SoftStateSender(model, options, process, blocked)
        self.failure_detector = FailureDetector(
            model,
            membership,
            state,
            options,
            ask,
            self.gate.lease_confirmed_since_pause,
            self.soft_state.on_update,
        )
        self._restarts: dict[str, PeerRestarts] = {}

    def _on_takeover(self, shard: Shard | None, claim: ObservedClaim) -> None:
        hints = self.soft_state.apply_to(shard)
        if shard is None:
            log.info("leadership taken over term=%d hints=%d", claim.version, hints)
        else:
            log.info(
                "shard taken over shard=%d term=%d hints=%d", shard.index, claim.version, hints
            )

    # ---- takeover checks ----

    def may_act_on_shard(self, shard: Shard, claim: ObservedClaim) -> bool:
        """Whether this controller may act as the shard's owner; see `TakeoverGate`."""
        return self.gate.may_act_on_shard(shard, claim)

    def may_act_as_leader(self, claim: ObservedClaim) -> bool:
        """Whether this controller may act as the leader; see `TakeoverGate`."""
        return self.gate.may_act_as_leader(claim)

    def may_claim(self, key: str) -> bool:
        """Whether this controller may take a claim; see `TakeoverGate`."""
        return self.gate.may_claim(key)

    def may_return_home(self, home: str, available_s: float) -> bool:
        """Whether a shard may be returned to its home controller, which has been available for
        `available_s` seconds.

        The home must have received this controller's soft state, so that it is not lost with the
        change of owner. Each restart of the home in the last two minutes, after the first, doubles
        the time for which it must be available: otherwise a controller that crashes repeatedly
        causes two changes of owner per restart.
        """
        now = self._clock.now()
        restarts = self._restarts.get(home, PeerRestarts(0))
        recent = [at for at in restarts.at if now - at < RESTART_WINDOW_S]
        required_s = MIN_AVAILABLE_S * 2.0 ** max(0, len(recent) - 1)
        if available_s > MAX_REQUIRED_AVAILABLE_S:
            # The home's standby may be disabled, in which case it never asks for soft state.
            return True
        return available_s > required_s and self.soft_state_sender.is_caught_up(home)

    # ---- periodic work ----

    async def run(self) -> None:
        """Calls `step` periodically, until cancelled."""
        while True:
            await asyncio.sleep(self._step_s)
            self.step()

    def step(self) -> None:
        """Runs the checks and the failure detector once; called several times in each `probe_s`."""
        model = self._model
        with model.lock:
            if not model.loaded:
                return
            self.gate.review()
            self.soft_state.observe_claims()
            self._observe_restarts()
            self.failure_detector.step()

    def _observe_restarts(self) -> None:
        for name, seen in self._model.controllers.items():
            lease = seen.record.lease
            restarts = self._restarts.get(name)
            if restarts is None:
                self._restarts[name] = PeerRestarts(lease)
            elif restarts.lease != lease:
                latest = (*restarts.at[1 - MAX_RESTARTS :], self._clock.now())
                self._restarts[name] = PeerRestarts(lease, latest)

    # ---- peers' requests ----

    async def handle(self, path: str, body: bytes) -> Reply:
        """Answers a peer's request to /standby/follow or /standby/view."""
        try:
            if path == "/standby/view":
                request = wire.peer_view_request_decoder.decode(body)
                return Reply(200, wire.encode(self.failure_detector.view_of_peer(request.node)))
            if path == "/standby/follow":
                return await self._hold_request(wire.follow_request_decoder.decode(body))
        except msgspec.DecodeError:
            return error_reply(400, "not a request of one that stands by")
        return error_reply(404, "no such path")

    async def _hold_request(self, follow: wire.FollowRequest) -> Reply:
        # A controller that is being drained may end only while it holds no request open.
        is_held_open = not self._membership.is_unavailable(UnavailableReason.DRAINING)
        if is_held_open:
            await asyncio.sleep(HOLD_S)
        return Reply(200, wire.encode(self.build_update(follow, is_held_open)))

    def build_update(self, follow: wire.FollowRequest, is_held_open: bool) -> wire.SoftStateUpdate:
        """Builds the update with the soft state that has changed for a peer; `is_held_open`:
        whether its request was held open before."""
        with self._model.lock:
            claim = self._model.leader_claim
            is_leader = claim is not None and claim.record.node == self._membership.node
            term = claim.version if claim is not None and is_leader else 0
            return self.soft_state_sender.build_update(follow, is_held_open, term)
