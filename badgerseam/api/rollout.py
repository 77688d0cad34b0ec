"""What operators ask of a rollout: how it stands, which level they want, who is to leave."""

from __future__ import annotations

import msgspec

from badgerseam.cluster.availability import UnavailableReason
from badgerseam.cluster.membership import Membership
from badgerseam.http.server import Reply, error_reply
from badgerseam.model.model import Model
from badgerseam.rollout.handover import Handover
from badgerseam.rollout.level_upgrade import LevelUpgrade
from badgerseam.rollout.migration import RecordMigration
from badgerseam.rollout.page_refresh import PageRefresh
from badgerseam.store.client import ConditionFailedError
from badgerseam.wire import rollout as wire
from badgerseam.workers.lease_expiry import RECENT_INTERVALS

ROLLOUT = "/rollout"
RETRY_S = 1


class RolloutApi:
    """Answers `/rollout` and what lies below it."""

    def __init__(
        self,
        model: Model,
        member: Membership,
        raising: LevelUpgrade,
        handover: Handover,
        refresh: PageRefresh,
        carrying: RecordMigration,
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
            refusal = self._handover.drain()
            if refusal is not None:
                return error_reply(409, refusal)
        else:
            self._handover.resume()
        return self.view()

    async def _target(self, body: bytes) -> Reply:
        try:
            wish = wire.level_request_decoder.decode(body)
        except msgspec.DecodeError as error:
            return Reply(400, wire.encode({"error": str(error)}))
        model, level = self._model, wish.level
        if not model.loaded:
            return error_reply(503, "starting", RETRY_S)
        if level is not None:
            if not model.program.supports(level):
                least, most = model.program.min_level, model.program.max_level
                return error_reply(409, f"level: this program reads {least} to {most}")
            for step in range(model.level.level, level, -1):
                if not model.program.can_lower_from(step):
                    return error_reply(409, f"level: level {step} cannot be undone")
        try:
            await self._raising.set_target(level, self._member.node)
        except ConditionFailedError:
            return error_reply(409, "another operator was faster: look at the status")
        return self.view()

    def view(self) -> Reply:
        """How the rollout stands."""
        model, member, raising = self._model, self._member, self._raising
        with model.lock:
            following = raising.next_level()
            leader = model.leader_claim
            held = {shard.index: shard.claim.record.node for shard in model.shards if shard.claim}
            view = wire.View(
                model.level.level,
                model.program.name(model.level.level),
                model.program.behaviours(model.level.level),
                None if model.target is None else model.target[0].level,
                following,
                [] if following is None else raising.obstacles(following),
                [shard.index for shard in model.shards if shard.claim is None],
                None if leader is None else leader.record.node,
                [self._controller(name, held) for name in member.order],
                self._own(),
            )
        return Reply(200, wire.encode(view))

    def _controller(self, name: str, held: dict[int, str]) -> wire.ControllerView:
        model = self._model
        present = model.controllers.get(name)
        leads = model.leader_claim is not None and model.leader_claim.record.node == name
        shards = sorted(shard for shard, node in held.items() if node == name)
        if present is None:
            return wire.ControllerView(name, "missing", None, None, "", shards, leads)
        claim = present.record
        state = "aside" if claim.unavailable else "acting"
        return wire.ControllerView(
            name, state, claim.min_level, claim.max_level, claim.program, shards, leads
        )

    def _own(self) -> wire.OwnView:
        model, member = self._model, self._member
        now = model.clock.now()
        if member.is_unavailable(UnavailableReason.UNSUPPORTED_LEVEL):
            state = "unfit"
        elif not model.loaded:
            state = "starting"
        elif self._handover.is_drained:
            state = "left"
        else:
            state = "leaving" if self._handover.is_draining else "acting"
        recent = now - RECENT_INTERVALS * model.settings.params.workers.report_s
        machines = heard = 0
        for shard in model.shards:
            if shard.owned:
                machines += len(model.shard_machines[shard.index])
                heard += sum(
                    m.last_heartbeat_at >= recent
                    for m in model.shard_machines[shard.index].values()
                )
        return wire.OwnView(
            member.node,
            state,
            self._handover.may_stop,
            model.is_up_to_date,
            machines,
            heard,
            round(now - self._started, 1),
            self._refresh.view(),
            self._carrying.view(),
        )
