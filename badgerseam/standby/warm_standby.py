"""The warm standby of one controller, put together."""

from __future__ import annotations

import asyncio
import logging

import msgspec

from badgerseam.cluster.availability import UnavailableReason
from badgerseam.cluster.claim_policy import STEADY_S
from badgerseam.cluster.membership import Membership
from badgerseam.http.server import Reply, error_reply
from badgerseam.model.model import Model
from badgerseam.model.state import ObservedClaim, Shard
from badgerseam.options.standby import StandbyOptions
from badgerseam.settings import Tunables
from badgerseam.standby.failure_detector import HOLD_S, Ask, FailureDetector
from badgerseam.standby.soft_state import BlockedOffers, SoftStateReceiver, SoftStateSender
from badgerseam.standby.takeover_gate import TakeoverGate
from badgerseam.store.client import StateClient
from badgerseam.wire import standby as wire

log = logging.getLogger("badgerseam.standby")

ENDS_S = 120.0
"""For so long an end of a home makes it wait for its share at the next one."""
MAX_STEADY_S = 60.0


class WarmStandby:
    """Gate, watch and hints of this controller."""

    def __init__(
        self,
        model: Model,
        member: Membership,
        state: StateClient,
        options: StandbyOptions,
        tunables: Tunables,
        ask: Ask,
        process: str,
        blocked: BlockedOffers,
    ) -> None:
        """`process`: a name that no other process has; `blocked`: the leader's offers without
        capacity."""
        self._model = model
        self._member = member
        self._clock = model.clock
        self._step_s = options.probe_s / 2
        self.gate = TakeoverGate(model, member, options, tunables.claim_ttl_s, self._on_takeover)
        self.soft_state = SoftStateReceiver(model, options, tunables.window_s, blocked)
        self.soft_state_sender = SoftStateSender(model, options, process, blocked)
        self.failure_detector = FailureDetector(
            model, member, state, options, ask, self.gate.is_steady, self.soft_state.on_update
        )
        self._lives: dict[str, tuple[int, list[float]]] = {}
        """Of each sibling the lease that its record stands on, and when that has changed."""

    def _on_takeover(self, shard: Shard | None, held: ObservedClaim) -> None:
        used = self.soft_state.apply_to(shard)
        what = "the leadership" if shard is None else f"share {shard.index}"
        log.info("%s: taken under term %d with %d hints", what, held.version, used)

    # ---- what the membership asks ----

    def may_act_on_shard(self, shard: Shard, held: ObservedClaim) -> bool:
        """See Gate."""
        return self.gate.may_act_on_shard(shard, held)

    def may_act_as_leader(self, held: ObservedClaim) -> bool:
        """See Gate."""
        return self.gate.may_act_as_leader(held)

    def may_claim(self, key: str) -> bool:
        """See Gate."""
        return self.gate.may_claim(key)

    def may_return_home(self, home: str, alive_s: float) -> bool:
        """Whether a share may go back to its home, which has been there for `alive_s`.

        It has to follow us, so that what we know goes with the share, and each end of its in the
        last two minutes doubles the time that it has to be there for: one that ends again and again
        costs two changes of hands an end otherwise.
        """
        now = self._clock.now()
        ends = [at for at in self._lives.get(home, (0, []))[1] if now - at < ENDS_S]
        steady_s = STEADY_S * 2.0 ** max(0, len(ends) - 1)
        if alive_s > MAX_STEADY_S:
            # It may have no standby, and never ask.
            return True
        return alive_s > steady_s and self.soft_state_sender.is_caught_up(home)

    # ---- driving ----

    async def keep(self) -> None:
        """Watch the siblings for ever."""
        while True:
            await asyncio.sleep(self._step_s)
            self.step()

    def step(self) -> None:
        """Called several times in `probe_s`."""
        model = self._model
        with model.lock:
            if not model.loaded:
                return
            self.gate.review()
            self.soft_state.observe_claims()
            for name, held in model.controllers.items():
                lease, changes = self._lives.get(name, (held.record.lease, []))
                if lease != held.record.lease:
                    changes = [*changes[-9:], self._clock.now()]
                self._lives[name] = held.record.lease, changes
            self.failure_detector.step()

    # ---- siblings' requests ----

    async def handle(self, path: str, body: bytes) -> Reply:
        """A sibling's request, to /standby/follow or /standby/view."""
        try:
            if path == "/standby/view":
                view = wire.peer_view_request_decoder.decode(body)
                return Reply(200, wire.encode(self.failure_detector.view_of(view.node)))
            if path == "/standby/follow":
                return await self._hold_request(wire.follow_request_decoder.decode(body))
        except msgspec.DecodeError:
            return error_reply(400, "not a request of one that stands by")
        return error_reply(404, "no such path")

    async def _hold_request(self, follow: wire.FollowRequest) -> Reply:
        # One that leaves may end only when no request of it is open.
        held = not self._member.is_unavailable(UnavailableReason.DRAINING)
        if held:
            await asyncio.sleep(HOLD_S)
        return Reply(200, wire.encode(self.build_update(follow, held)))

    def build_update(self, follow: wire.FollowRequest, held: bool) -> wire.SoftStateUpdate:
        """What a sibling is told."""
        with self._model.lock:
            leader = self._model.leader_claim
            leads = leader is not None and leader.record.node == self._member.node
            term = leader.version if leader is not None and leads else 0
            return self.soft_state_sender.build_update(follow, held, term)
