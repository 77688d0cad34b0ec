"""What operators ask of a rollout: how it stands, which level they want, who is to leave."""

from __future__ import annotations

import msgspec

from badgerseam.cluster.availability import Away
from badgerseam.cluster.membership import Member
from badgerseam.http.server import Reply, error_reply
from badgerseam.model.model import Model
from badgerseam.rollout.handover import Handover
from badgerseam.rollout.level_upgrade import Raising
from badgerseam.rollout.migration import Carrying
from badgerseam.rollout.page_refresh import Refresh
from badgerseam.store.client import Refused
from badgerseam.wire import rollout as wire
from badgerseam.workers.lease_expiry import RECENT_REPORTS

ROLLOUT = "/rollout"
RETRY_S = 1


class RolloutApi:
    """Answers `/rollout` and what lies below it."""

    def __init__(
        self,
        model: Model,
        member: Member,
        raising: Raising,
        handover: Handover,
        refresh: Refresh,
        carrying: Carrying,
    ) -> None:
        self._model = model
        self._member = member
        self._raising = raising
        self._handover = handover
        self._refresh = refresh
        self._carrying = carrying
        self._started = model.clock.now()

    async def handle(self, method: str, path: str, body: bytes) -> Reply:
        """A request below `/rollout` that changes something."""
        action = path[len(ROLLOUT) + 1 :]
        if action not in ("target", "leave", "return"):
            return error_reply(404, "no such path")
        if method != "POST":
            return error_reply(405, "POST only")
        if action == "target":
            return await self._target(body)
        if action == "leave":
            refusal = self._handover.leave()
            if refusal is not None:
                return error_reply(409, refusal)
        else:
            self._handover.come_back()
        return self.view()

    async def _target(self, body: bytes) -> Reply:
        try:
            wish = wire.wish_decoder.decode(body)
        except msgspec.DecodeError as error:
            return Reply(400, wire.encode({"error": str(error)}))
        model, level = self._model, wish.level
        if not model.loaded:
            return error_reply(503, "starting", RETRY_S)
        if level is not None:
            if not model.program.fits(level):
                least, most = model.program.least, model.program.most
                return error_reply(409, f"level: this program reads {least} to {most}")
            for step in range(model.site.level, level, -1):
                if not model.program.lowers(step):
                    return error_reply(409, f"level: level {step} cannot be undone")
        try:
            await self._raising.want(level, self._member.node)
        except Refused:
            return error_reply(409, "another operator was faster: look at the status")
        return self.view()

    def view(self) -> Reply:
        """How the rollout stands."""
        model, member, raising = self._model, self._member, self._raising
        with model.lock:
            following = raising.next_level()
            leader = model.leader
            held = {share.index: share.held.claim.node for share in model.shares if share.held}
            view = wire.View(
                model.site.level,
                model.program.name(model.site.level),
                model.program.behaviours(model.site.level),
                None if model.target is None else model.target[0].level,
                following,
                [] if following is None else raising.obstacles(following),
                [share.index for share in model.shares if share.held is None],
                None if leader is None else leader.claim.node,
                [self._controller(name, held) for name in member.order],
                self._own(),
            )
        return Reply(200, wire.encode(view))

    def _controller(self, name: str, held: dict[int, str]) -> wire.ControllerView:
        model = self._model
        present = model.nodes.get(name)
        leads = model.leader is not None and model.leader.claim.node == name
        shares = sorted(share for share, node in held.items() if node == name)
        if present is None:
            return wire.ControllerView(name, "missing", None, None, "", shares, leads)
        claim = present.claim
        state = "aside" if claim.away else "acting"
        return wire.ControllerView(
            name, state, claim.least, claim.most, claim.program, shares, leads
        )

    def _own(self) -> wire.OwnView:
        model, member = self._model, self._member
        now = model.clock.now()
        if member.away(Away.UNFIT):
            state = "unfit"
        elif not model.loaded:
            state = "starting"
        elif self._handover.left:
            state = "left"
        else:
            state = "leaving" if self._handover.leaving else "acting"
        recent = now - RECENT_REPORTS * model.settings.params.workers.report_s
        machines = heard = 0
        for share in model.shares:
            if share.owned:
                machines += len(model.fleets[share.index])
                heard += sum(m.heard_at >= recent for m in model.fleets[share.index].values())
        return wire.OwnView(
            member.node,
            state,
            self._handover.may_end,
            model.up_to_date,
            machines,
            heard,
            round(now - self._started, 1),
            self._refresh.view(),
            self._carrying.view(),
        )
