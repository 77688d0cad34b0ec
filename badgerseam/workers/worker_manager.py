"""Entry point for heartbeats: answers them, or redirects the worker to another controller."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from badgerseam.cluster.heartbeat_proxy import HeartbeatProxy
from badgerseam.cluster.membership import Membership
from badgerseam.cluster.partition import HeartbeatVerdict
from badgerseam.http.client import HttpClient
from badgerseam.http.server import Reply, error_reply
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.model.state import Shard
from badgerseam.tunables import Tunables
from badgerseam.wire import workers as wire
from badgerseam.workers.command_history import CommandHistory
from badgerseam.workers.command_queue import CommandQueue
from badgerseam.workers.direct_commands import DirectCommandSender
from badgerseam.workers.heartbeat_reception import HeartbeatReception
from badgerseam.workers.heartbeat_responder import (
    RETRY_AFTER_S,
    Freshness,
    HeartbeatResponder,
    freshness_of,
    refuse_given_up,
)
from badgerseam.workers.heartbeats import HeartbeatProcessor
from badgerseam.workers.lease_expiry import LeaseExpiry
from badgerseam.workers.unregistered import UnregisteredWorkers


class WorkerManager:
    """Manages the workers of the shards that this controller owns."""

    def __init__(
        self,
        model: Model,
        membership: Membership,
        http: HttpClient,
        tunables: Tunables,
        on_change: Callable[[], None],
        peer_with_state_service: Callable[[], str | None],
        heartbeat_proxy: HeartbeatProxy,
    ) -> None:
        self._model = model
        self._membership = membership
        self._tunables = tunables
        self._on_change = on_change
        self._peer_with_state_service = peer_with_state_service
        self.heartbeat_proxy = heartbeat_proxy
        self.on_redirected_worker: Callable[[str, str], None] | None = None
        """Called with the owner's node and the machine's name for each heartbeat of a worker that
        belongs to another owner; None without a standby."""
        self.command_history = CommandHistory(model.clock)
        heartbeats = HeartbeatProcessor(model, tunables, self.command_history)
        self.command_queue = CommandQueue(model, self.command_history)
        self.direct_commands = DirectCommandSender(
            model, membership, http, self.command_queue, heartbeats, on_change
        )
        self.heartbeat_reception = HeartbeatReception(model, membership, http)
        self.lease_expiry = LeaseExpiry(
            model, membership, http, tunables, on_change, heartbeat_proxy, heartbeats
        )
        self.unregistered_workers = UnregisteredWorkers(model, membership, http)
        self._responder = HeartbeatResponder(model, heartbeats, self.command_queue, heartbeat_proxy)

    def expire_leases(self) -> list[Machine]:
        """Marks machines as lost whose leases have certainly ended, and returns them."""
        return self.lease_expiry.expire_leases()

    def probe_unresponsive(self) -> None:
        """Probes unresponsive machines, and gives up those that do not answer."""
        self.lease_expiry.probe_unresponsive()

    def push(self, machine: Machine) -> None:
        """Sends a machine's pending commands directly to its worker, if they can be sent now."""
        self.direct_commands.push(machine)

    def handle_heartbeat(self, body: bytes) -> Reply:
        """Answers a worker's heartbeat, or redirects the worker to another controller."""
        try:
            heartbeat = wire.heartbeat_decoder.decode(body)
        except msgspec.DecodeError:
            return error_reply(400, "not a report")
        with self._model.lock:
            if not self._model.loaded:
                return error_reply(503, "starting", RETRY_AFTER_S)
            machine = self._model.machine(heartbeat.machine)
            if machine is None:
                return self._redirect_unregistered(heartbeat)
            shard = self._model.shards[machine.shard]
            if not shard.owned:
                return self._answer_for_other_owner(shard, machine, heartbeat)
            freshness = freshness_of(machine, heartbeat)
            if freshness is Freshness.NEWER:
                # A possible late copy does not prove that heartbeats reach this controller.
                self.heartbeat_reception.on_heartbeat()
            reply = (
                self._refuse_without_lease(shard)
                or self._redirect_to_peer_with_state_service()
                or self._refuse_lost(machine)
                or self._apply_partition_verdict(shard, machine, heartbeat)
            )
            if reply is not None:
                return reply
            reply = self._responder.answer(machine, heartbeat, freshness)
        self._on_change()
        return reply

    def _redirect_unregistered(self, heartbeat: wire.Heartbeat) -> Reply:
        """Redirects the worker of a machine without a record to the leader, which adopts it."""
        self.unregistered_workers.on_heartbeat(heartbeat)
        leader = self._model.leader_claim
        return self._redirect(None if leader is None else leader.record.node)

    def _answer_for_other_owner(
        self, shard: Shard, machine: Machine, heartbeat: wire.Heartbeat
    ) -> Reply:
        """Answers as the owner's proxy, or redirects the worker to the owner."""
        machine.address = heartbeat.address
        if self.on_redirected_worker is not None and shard.claim is not None:
            self.on_redirected_worker(shard.claim.record.node, machine.name)
        proxy = self.heartbeat_proxy
        if proxy.is_proxy_for(shard, machine.zone) and not proxy.partition.should_redirect_proxied(
            shard, machine, heartbeat.fencing_token
        ):
            return self._responder.answer_as_proxy(machine, heartbeat)
        return self._redirect_to_owner(shard)

    def _refuse_without_lease(self, shard: Shard) -> Reply | None:
        """Refuses if this controller may not renew leases of the shard's workers now."""
        if self._membership.may_answer_heartbeats_for(shard):
            return None
        return error_reply(503, "not entitled", RETRY_AFTER_S)

    def _redirect_to_peer_with_state_service(self) -> Reply | None:
        """Redirects to a peer that reaches the state service if this controller's claims may have
        expired."""
        peer = self._peer_with_state_service()
        if peer is None or self._membership.lease_confirmed_within(self._tunables.claim_ttl_s):
            return None
        return self._redirect(peer)

    def _refuse_lost(self, machine: Machine) -> Reply | None:
        """Refuses if the machine is lost: its tasks count as ended, so its lease must not be
        renewed."""
        return refuse_given_up() if machine.lost else None

    def _apply_partition_verdict(
        self, shard: Shard, machine: Machine, heartbeat: wire.Heartbeat
    ) -> Reply | None:
        """Redirects or answers as a proxy if a partition keeps this controller from acting as the
        owner."""
        verdict = self.heartbeat_proxy.partition.verdict(shard, machine, heartbeat.fencing_token)
        if verdict is HeartbeatVerdict.REDIRECT:
            # A later owner has reached the worker. The worker would drop a 200 from this
            # controller, and keep sending its heartbeats here until its lease ends.
            return self._redirect_to_owner(shard)
        if verdict is HeartbeatVerdict.PROXY:
            return self._responder.answer_as_proxy(machine, heartbeat)
        return None

    def _redirect_to_owner(self, shard: Shard) -> Reply:
        return self._redirect(None if shard.claim is None else shard.claim.record.node)

    def _redirect(self, node: str | None) -> Reply:
        """Redirects a worker to a controller, or to none if that would be this one."""
        if node == self._membership.node:
            node = None
        return Reply(421, wire.encode(wire.Redirect(node)))
