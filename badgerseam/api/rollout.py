"""The rollout API for operators: rollout state, target level, draining a controller."""

from __future__ import annotations

import msgspec

from badgerseam.api.replies import (
    escaped_error_reply,
    no_such_path_reply,
    starting_reply,
)
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


class RolloutApi:
    """Answers requests at or below `/rollout`."""

    def __init__(
        self,
        model: Model,
        membership: Membership,
        level_upgrade: LevelUpgrade,
        handover: Handover,
        refresh: PageRefresh,
        migration: RecordMigration,
    ) -> None:
        self._model = model
        self._membership = membership
        self._level_upgrade = level_upgrade
        self._handover = handover
        self._refresh = refresh
        self._migration = migration
        self._started_at = model.clock.now()

    async def handle(self, method: str, path: str, body: bytes) -> Reply:
        """Handles a request below `/rollout`; all of them change something."""
        action = path[len(ROLLOUT) + 1 :]
        if action not in ("target", "leave", "return"):
            return no_such_path_reply()
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
            request = wire.level_request_decoder.decode(body)
        except msgspec.DecodeError as error:
            return escaped_error_reply(400, str(error))
        model, level = self._model, request.level
        if not model.loaded:
            return starting_reply()
        refusal = None if level is None else self._level_refusal(level)
        if refusal is not None:
            return refusal
        try:
            await self._level_upgrade.set_target(level, self._membership.node)
        except ConditionFailedError:
            return error_reply(409, "another operator was faster: look at the status")
        return self.view()

    def _level_refusal(self, level: int) -> Reply | None:
        """Returns the error for a target level that the site cannot reach, or None."""
        model = self._model
        if not model.program.supports(level):
            least, most = model.program.min_level, model.program.max_level
            return error_reply(409, f"level: this program reads {least} to {most}")
        for step in range(model.level.level, level, -1):
            if not model.program.can_lower_from(step):
                return error_reply(409, f"level: level {step} cannot be undone")
        return None

    def view(self) -> Reply:
        """Returns the state of the rollout, according to this controller's replica."""
        model, membership, level_upgrade = self._model, self._membership, self._level_upgrade
        with model.lock:
            next_level = level_upgrade.next_level()
            leader = model.leader_claim
            owners = {shard.index: shard.claim.record.node for shard in model.shards if shard.claim}
            view = wire.RolloutView(
                model.level.level,
                model.program.name(model.level.level),
                model.program.behaviours(model.level.level),
                None if model.target is None else model.target[0].level,
                next_level,
                [] if next_level is None else level_upgrade.obstacles(next_level),
                [shard.index for shard in model.shards if shard.claim is None],
                None if leader is None else leader.record.node,
                [self._controller_view(name, owners) for name in membership.controller_names],
                self._own_view(),
            )
        return Reply(200, wire.encode(view))

    def _controller_view(self, name: str, owners: dict[int, str]) -> wire.ControllerView:
        """Returns the view of a controller; `owners` is the owner of each shard that has one."""
        model = self._model
        controller = model.controllers.get(name)
        is_leader = model.leader_claim is not None and model.leader_claim.record.node == name
        shards = sorted(shard for shard, node in owners.items() if node == name)
        if controller is None:
            return wire.ControllerView(name, "missing", None, None, "", shards, is_leader)
        record = controller.record
        state = "aside" if record.unavailable else "acting"
        return wire.ControllerView(
            name, state, record.min_level, record.max_level, record.program, shards, is_leader
        )

    def _own_state(self) -> str:
        """Returns the state of this controller as the command line names it."""
        if self._membership.is_unavailable(UnavailableReason.UNSUPPORTED_LEVEL):
            return "unfit"
        if not self._model.loaded:
            return "starting"
        if self._handover.is_drained:
            return "left"
        return "leaving" if self._handover.is_draining else "acting"

    def _own_view(self) -> wire.OwnView:
        """Returns the view of this controller, with the details that only it has."""
        model = self._model
        now = model.clock.now()
        recent_since = now - RECENT_INTERVALS * model.settings.params.workers.report_s
        machines = responsive_machines = 0
        for shard in model.shards:
            if shard.owned:
                machines += len(model.shard_machines[shard.index])
                responsive_machines += sum(
                    machine.last_heartbeat_at >= recent_since
                    for machine in model.shard_machines[shard.index].values()
                )
        return wire.OwnView(
            self._membership.node,
            self._own_state(),
            self._handover.may_stop,
            model.is_up_to_date,
            machines,
            responsive_machines,
            round(now - self._started_at, 1),
            self._refresh.view(),
            self._migration.view(),
        )
