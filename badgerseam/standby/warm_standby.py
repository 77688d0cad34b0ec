"""The warm standby of one controller, put together."""

from __future__ import annotations

import asyncio
import logging

import msgspec

from badgerseam.cluster.availability import Away
from badgerseam.cluster.membership import STEADY_S, Member
from badgerseam.http.server import Reply, error_reply
from badgerseam.model.model import Model
from badgerseam.model.state import Held, Share
from badgerseam.options.standby import StandbyOptions
from badgerseam.settings import Tunables
from badgerseam.standby.failure_detector import HOLD_S, Ask, Watch
from badgerseam.standby.soft_state import Blocked, Hints, Source
from badgerseam.standby.takeover_gate import Gate
from badgerseam.store.client import StateClient
from badgerseam.wire import standby as wire

log = logging.getLogger("badgerseam.standby")

ENDS_S = 120.0
"""For so long an end of a home makes it wait for its share at the next one."""
MOST_STEADY_S = 60.0


class Standby:
    """Gate, watch and hints of this controller."""

    def __init__(
        self,
        model: Model,
        member: Member,
        state: StateClient,
        options: StandbyOptions,
        tunables: Tunables,
        ask: Ask,
        process: str,
        blocked: Blocked,
    ) -> None:
        """`process`: a name that no other process has; `blocked`: the leader's offers without
        capacity."""
        self._model = model
        self._member = member
        self._clock = model.clock
        self._step_s = options.probe_s / 2
        self.gate = Gate(model, member, options, tunables.claim_ttl_s, self._passed)
        self.hints = Hints(model, options, tunables.window_s, blocked)
        self.source = Source(model, options, process, blocked)
        self.watch = Watch(model, member, state, options, ask, self.gate.steady, self.hints.told)
        self._lives: dict[str, tuple[int, list[float]]] = {}
        """Of each sibling the lease that its record stands on, and when that has changed."""

    def _passed(self, share: Share | None, held: Held) -> None:
        used = self.hints.use(share)
        what = "the leadership" if share is None else f"share {share.index}"
        log.info("%s: taken under term %d with %d hints", what, held.version, used)

    # ---- what the membership asks ----

    def passes(self, share: Share, held: Held) -> bool:
        """See Gate."""
        return self.gate.passes(share, held)

    def leads(self, held: Held) -> bool:
        """See Gate."""
        return self.gate.leads(held)

    def may_claim(self, key: str) -> bool:
        """See Gate."""
        return self.gate.may_claim(key)

    def may_return(self, home: str, alive_s: float) -> bool:
        """Whether a share may go back to its home, which has been there for `alive_s`.

        It has to follow us, so that what we know goes with the share, and each end of its in the
        last two minutes doubles the time that it has to be there for: one that ends again and again
        costs two changes of hands an end otherwise.
        """
        now = self._clock.now()
        ends = [at for at in self._lives.get(home, (0, []))[1] if now - at < ENDS_S]
        steady_s = STEADY_S * 2.0 ** max(0, len(ends) - 1)
        if alive_s > MOST_STEADY_S:
            # It may have no standby, and never ask.
            return True
        return alive_s > steady_s and self.source.warm(home)

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
            self.hints.look()
            for name, held in model.nodes.items():
                lease, changes = self._lives.get(name, (held.claim.lease, []))
                if lease != held.claim.lease:
                    changes = [*changes[-9:], self._clock.now()]
                self._lives[name] = held.claim.lease, changes
            self.watch.step()

    # ---- siblings' requests ----

    async def handle(self, path: str, body: bytes) -> Reply:
        """A sibling's request, to /standby/follow or /standby/view."""
        try:
            if path == "/standby/view":
                view = wire.view_decoder.decode(body)
                return Reply(200, wire.encode(self.watch.seen(view.node)))
            if path == "/standby/follow":
                return await self._hold(wire.follow_decoder.decode(body))
        except msgspec.DecodeError:
            return error_reply(400, "not a request of one that stands by")
        return error_reply(404, "no such path")

    async def _hold(self, follow: wire.Follow) -> Reply:
        # One that leaves may end only when no request of it is open.
        held = not self._member.away(Away.LEAVING)
        if held:
            await asyncio.sleep(HOLD_S)
        return Reply(200, wire.encode(self.tell(follow, held)))

    def tell(self, follow: wire.Follow, held: bool) -> wire.Told:
        """What a sibling is told."""
        with self._model.lock:
            leader = self._model.leader
            leads = leader is not None and leader.claim.node == self._member.node
            term = leader.version if leader is not None and leads else 0
            return self.source.tell(follow, held, term)
