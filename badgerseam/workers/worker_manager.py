"""The workers of this controller's machines: who answers a heartbeat, and how."""

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
from badgerseam.settings import Tunables
from badgerseam.wire import workers as wire
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
    """Acts for the machines of the shards that this controller owns."""

    def __init__(
        self,
        model: Model,
        member: Membership,
        http: HttpClient,
        tunables: Tunables,
        on_change: Callable[[], None],
        peer_with_state_service: Callable[[], str | None],
        heartbeat_proxy: HeartbeatProxy,
    ) -> None:
        self._model = model
        self._member = member
        self._tunables = tunables
        self._on_change = on_change
        self._peer_with_state_service = peer_with_state_service
        self.heartbeat_proxy = heartbeat_proxy
        self.on_redirected_worker: Callable[[str, str], None] | None = None
        """Called with the owner and the machine of a worker that is redirected to its owner, where
        there is a standby."""
        heartbeats = HeartbeatProcessor(model, tunables)
        self.command_queue = CommandQueue(model)
        self.direct_commands = DirectCommandSender(
            model, member, http, self.command_queue, heartbeats, on_change
        )
        self.heartbeat_reception = HeartbeatReception(model, member, http)
        self.lease_expiry = LeaseExpiry(
            model, member, http, tunables, on_change, heartbeat_proxy, heartbeats
        )
        self.unregistered_workers = UnregisteredWorkers(model, member, http)
        self._responder = HeartbeatResponder(model, heartbeats, self.command_queue, heartbeat_proxy)

    def expire_leases(self) -> list[Machine]:
        """Give up machines whose leases have certainly ended; return those newly lost."""
        return self.lease_expiry.expire_leases()

    def probe_unresponsive(self) -> None:
        """Inspect machines that are silent, and give those up that do not answer."""
        self.lease_expiry.probe_unresponsive()

    def push(self, machine: Machine) -> None:
        """Send a machine's pending commands straight to its worker, if it can be reached."""
        self.direct_commands.push(machine)

    def handle_heartbeat(self, body: bytes) -> Reply:
        """Answer a worker's heartbeat, or say who answers it."""
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
                # What may be a late copy shows nothing of the way from the workers to us.
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
        """Send the worker of a machine without a record to the leader, who adopts it."""
        self.unregistered_workers.on_heartbeat(heartbeat)
        leader = self._model.leader_claim
        return self._redirect(None if leader is None else leader.record.node)

    def _answer_for_other_owner(
        self, shard: Shard, machine: Machine, heartbeat: wire.Heartbeat
    ) -> Reply:
        """Answer as the owner's proxy, or redirect the worker to the owner."""
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
        """Refuse if this controller may not act for the shard at present."""
        if self._member.may_answer_heartbeats_for(shard):
            return None
        return error_reply(503, "not entitled", RETRY_AFTER_S)

    def _redirect_to_peer_with_state_service(self) -> Reply | None:
        """Redirect if our claims may have ended and a peer can hold them."""
        peer = self._peer_with_state_service()
        if peer is None or self._member.lease_confirmed_within(self._tunables.claim_ttl_s):
            return None
        return self._redirect(peer)

    def _refuse_lost(self, machine: Machine) -> Reply | None:
        """Refuse if the machine is lost: its tasks count as gone, so that its lease must not be
        renewed."""
        return refuse_given_up() if machine.lost else None

    def _apply_partition_verdict(
        self, shard: Shard, machine: Machine, heartbeat: wire.Heartbeat
    ) -> Reply | None:
        """Redirect or answer as a proxy where a partition keeps us from acting as the owner."""
        verdict = self.heartbeat_proxy.partition.verdict(shard, machine, heartbeat.fencing_token)
        if verdict is HeartbeatVerdict.REDIRECT:
            # A newer owner has reached the worker. A 200 would have to be dropped, and the worker
            # would stay with us until its lease ends.
            return self._redirect_to_owner(shard)
        if verdict is HeartbeatVerdict.PROXY:
            return self._responder.answer_as_proxy(machine, heartbeat)
        return None

    def _redirect_to_owner(self, shard: Shard) -> Reply:
        return self._redirect(None if shard.claim is None else shard.claim.record.node)

    def _redirect(self, node: str | None) -> Reply:
        """Redirect a worker to a controller; to none, if that would be this one."""
        if node == self._member.node:
            node = None
        return Reply(421, wire.encode(wire.Redirect(node)))
