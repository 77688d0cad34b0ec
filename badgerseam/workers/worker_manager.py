"""Workers: their reports, the commands they get, and the fencing of commands in flight."""

from __future__ import annotations

import logging
from collections.abc import Callable, Coroutine

import msgspec

from badgerseam.background import BackgroundTasks
from badgerseam.cluster.heartbeat_proxy import HeartbeatProxy
from badgerseam.cluster.membership import Membership
from badgerseam.cluster.partition import HeartbeatVerdict
from badgerseam.http.client import HttpClient, NoResponseError, NotSentError
from badgerseam.http.server import Reply, error_reply
from badgerseam.model.job import Attempt, Phase, Stage
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.settings import Tunables
from badgerseam.wire import workers as wire
from badgerseam.workers.command_acks import CommandAcknowledgements, readmit_if_reached
from badgerseam.workers.heartbeat_reception import HeartbeatReception
from badgerseam.workers.heartbeats import HeartbeatProcessor
from badgerseam.workers.inspection import inspect
from badgerseam.workers.lease_expiry import LeaseExpiry

log = logging.getLogger("badgerseam.workers")

DIRECT_DEADLINE_S = 2.0
INSPECT_DEADLINE_S = 1.0
RETRY_S = 1.0
MAX_COMMANDS = 300
"""Commands in one response; some 90 bytes each, well within a line of 64 KiB."""


class WorkerManager:
    """Acts for the machines of the shares that this controller owns."""

    def __init__(
        self,
        model: Model,
        member: Membership,
        http: HttpClient,
        tunables: Tunables,
        changed: Callable[[], None],
        alone: Callable[[], str | None],
        deputies: HeartbeatProxy,
    ) -> None:
        self.heartbeat_proxy = deputies
        self.on_redirected_worker: Callable[[str, str], None] | None = None
        """Told of workers that come to us and not to their owner, where there is a standby."""
        self.heartbeat_reception = HeartbeatReception(model, member, http)
        self._model = model
        self._peer_with_state_service = alone
        self._member = member
        self._http = http
        self._clock = model.clock
        self._tunables = tunables
        self._changed = changed
        self._tasks = BackgroundTasks()
        self._inspecting: set[str] = set()
        """Machines without a record that are being asked."""
        self._command_acks = CommandAcknowledgements(model)
        self._heartbeats = HeartbeatProcessor(model, tunables)
        self.lease_expiry = LeaseExpiry(
            model, member, http, tunables, changed, deputies, self._heartbeats
        )

    def expire_leases(self) -> list[Machine]:
        """Give up machines whose leases have certainly ended; returned are those newly lost."""
        return self.lease_expiry.expire_leases()

    def probe_unresponsive(self) -> None:
        """Ask machines that fell silent, and give those up that do not answer."""
        self.lease_expiry.probe_unresponsive()

    # ---- reports ----

    def handle_heartbeat(self, body: bytes) -> Reply:
        """Answer a worker's report."""
        try:
            report = wire.heartbeat_decoder.decode(body)
        except msgspec.DecodeError:
            return error_reply(400, "not a report")
        model = self._model
        with model.lock:
            if not model.loaded:
                return error_reply(503, "starting", 1)
            machine = model.machine(report.machine)
            if machine is None:
                self._note_unregistered(report)
                leader = model.leader_claim
                return self._redirect(None if leader is None else leader.record.node)
            shard = model.shards[machine.shard]
            if not shard.owned:
                machine.address = report.address
                if self.on_redirected_worker is not None and shard.claim is not None:
                    self.on_redirected_worker(shard.claim.record.node, machine.name)
                if self.heartbeat_proxy.is_proxy_for(
                    shard, machine.zone
                ) and not self.heartbeat_proxy.partition.knows_newer_owner(
                    shard, machine, report.fencing_token
                ):
                    return self._answer_as_proxy(machine, report)
                return self._redirect(None if shard.claim is None else shard.claim.record.node)
            proven = machine.is_verified_heartbeat(report.fencing_token)
            newer = proven and (report.incarnation, report.sequence) > (
                machine.incarnation,
                machine.sequence,
            )
            if newer:
                # What may be a late copy tells nothing of the way from the workers to us.
                self.heartbeat_reception.on_heartbeat()
            if not self._member.holds_lease_for(shard):
                return error_reply(503, "not entitled", 1)
            served = self._peer_with_state_service()
            if served is not None and not self._member.lease_confirmed_within(
                self._tunables.claim_ttl_s
            ):
                # Our claims have ended by now, and a sibling can hold them.
                return self._redirect(served)
            if machine.lost:
                # Its tasks count as gone already; its lease must not be renewed.
                return error_reply(503, "given up", 1)
            word = self.heartbeat_proxy.partition.verdict(shard, machine, report.fencing_token)
            if word is HeartbeatVerdict.REDIRECT:
                # A newer owner has reached the worker. A 200 would have to be dropped, and the
                # worker would stay with us until its lease ends.
                return self._redirect(None if shard.claim is None else shard.claim.record.node)
            if word is HeartbeatVerdict.PROXY:
                return self._answer_as_proxy(machine, report)
            if not proven:
                reply = self._answer_unverified(machine, report)
            elif newer:
                reply = self._answer_newer(machine, report)
            else:
                reply = self._answer_older(machine, report)
        self._changed()
        return reply

    def _answer_newer(self, machine: Machine, report: wire.Heartbeat) -> Reply:
        """Take over a report, and answer it with what there is to do."""
        now = self._clock.now()
        self._command_acks.on_heartbeat(machine, report, now)
        machine.mute_incarnation = 0
        # A worker sends one report at a time, so that a newer one tells that the commands of
        # the response before it were either executed or given up.
        machine.response_open = False
        self._heartbeats.apply(machine, report, direct=False)
        if machine.unacknowledging:
            # An answer that got through after all would renew the lease whose end is waited for.
            return error_reply(503, "given up", 1)
        machine.lease_renewed_at = max(machine.lease_renewed_at, now)
        machine.answered_heartbeat = report.incarnation, report.sequence
        self._command_acks.on_response(machine, now)
        commands = self._pending_commands(machine, direct=False)
        return Reply(200, wire.encode(wire.HeartbeatResponse(machine.fencing_token, commands)))

    def _answer_older(self, machine: Machine, report: wire.Heartbeat) -> Reply:
        """Answer a copy, or a report that an answer to us has overtaken."""
        mark = (report.incarnation, report.sequence)
        if machine.unacknowledging:
            return error_reply(503, "given up", 1)
        if mark > machine.answered_heartbeat and report.incarnation == machine.incarnation:
            if not machine.is_current_token(report.fencing_token):
                return self._answer_without_renewal(report)
            # Sent before that answer came, it renews the lease no longer than from then on.
            machine.answered_heartbeat = mark
            machine.lease_renewed_at = max(machine.lease_renewed_at, machine.last_heartbeat_at)
        # Otherwise sent before one that was answered, or in an earlier session: it renews nothing.
        return Reply(200, wire.encode(wire.HeartbeatResponse(machine.fencing_token, [])))

    def _answer_without_renewal(self, report: wire.Heartbeat) -> Reply:
        """Answer so that no lease is renewed: it would have to count, and this may be a copy. A
        worker drops an answer with a lower token, and stays; until its next report it has been
        asked."""
        if report.fencing_token == 0:
            return error_reply(503, "not known yet", 1)
        return Reply(200, wire.encode(wire.HeartbeatResponse(report.fencing_token - 1, [])))

    def _answer_unverified(self, machine: Machine, report: wire.Heartbeat) -> Reply:
        """Answer the first word since we took over, sent to us or, long ago, to an owner before.

        It tells where to ask. Taken for new, a copy in which a task had exited had it placed
        elsewhere, although it had been launched again and ran.
        """
        now = self._clock.now()
        machine.address = report.address
        if machine.first_unverified_at is None:
            machine.first_unverified_at = now
        self._heartbeats.apply_completions(machine, report)
        machine.next_push_at = 0.0
        self._model.machines_to_push.add(machine.index)
        if machine.attempts and now > machine.lease_renewed_at:
            return self._answer_without_renewal(report)
        halts = []
        for item in report.tasks:
            # Only the worker itself can receive this, and then it is no copy.
            found = self._model.find_task(item.task)
            attempt = None
            if found is not None:
                attempt = machine.attempts.get((found[0].index, found[1]))
            ours = attempt is not None and attempt.number == item.attempt and not attempt.stopping
            if item.state != "exited" and not ours:
                halts.append(wire.Command("halt", item.task, item.attempt, 0.0))
        return Reply(
            200, wire.encode(wire.HeartbeatResponse(machine.fencing_token, halts[:MAX_COMMANDS]))
        )

    def _note_unregistered(self, report: wire.Heartbeat) -> None:
        """A machine without a record: it is adopted when it has answered itself. Late copies of a
        released one's reports came to a leader that had not seen its record go, which recorded it
        and looked for it in vain."""
        name = report.machine
        if (
            name not in self._model.removed_machines
            and name not in self._inspecting
            and self._member.is_leader
        ):
            self._inspecting.add(name)
            self._spawn(self._inspect_unregistered(name, report.address))

    async def _inspect_unregistered(self, name: str, address: str) -> None:
        report = await inspect(self._http, address, INSPECT_DEADLINE_S)
        with self._model.lock:
            self._inspecting.discard(name)
            if report is not None and report.machine == name and self._member.is_leader:
                self._model.unregistered[name] = report

    def _answer_as_proxy(self, machine: Machine, report: wire.Heartbeat) -> Reply:
        """Let the worker's lease go on; what was cancelled is halted, nothing else is ordered."""
        if self.heartbeat_proxy.launch_may_be_delayed(machine, report):
            # It was carried out when the zones met again, long after the cancellation.
            return error_reply(503, "a cancelled launch may be held back", 1)
        halts = []
        for item in report.tasks:
            ended = self._model.ended.get(item.task.partition("/")[0])
            if ended is not None and ended[0] == Phase.CANCELLED and item.state != "exited":
                halts.append(wire.Command("halt", item.task, item.attempt, 0.0))
        return Reply(
            200, wire.encode(wire.HeartbeatResponse(report.fencing_token, halts[:MAX_COMMANDS]))
        )

    def _redirect(self, node: str | None) -> Reply:
        if node == self._member.node:
            node = None
        return Reply(421, wire.encode(wire.Redirect(node)))

    # ---- commands ----

    def _pending_commands(self, machine: Machine, direct: bool) -> list[wire.Command]:
        """What the worker should do now. Reaps come first: a task's old attempt is in the way."""
        if machine.command_in_flight:
            return []
        model = self._model
        commands: list[wire.Command] = []
        mark = (machine.incarnation, machine.sequence)
        halts: list[wire.Command] = []
        for item in machine.reported_tasks.values():
            found = model.find_task(item.task)
            attempt = None
            if found is not None:
                attempt = machine.attempts.get((found[0].index, found[1]))
                if attempt is not None and attempt.number != item.attempt:
                    attempt = None
            if attempt is not None and item.state != "exited":
                continue
            if item.state == "exited":
                # A task that is done is reaped when that is durable; any other one when no launch
                # of it can still be in flight, since it would start once more.
                if (
                    (attempt is None or not attempt.finishing)
                    and machine.commands_settled
                    and not (direct and machine.response_open)
                    and (found is None or model.failure_is_recorded(*found, item.attempt))
                ):
                    commands.append(wire.Command("reap", item.task, item.attempt))
            else:
                halts.append(wire.Command("halt", item.task, item.attempt, 0.0))
        commands += halts
        room = machine.total.minus(machine.live_use())
        starts: list[Attempt] = []
        for attempt in machine.attempts.values():
            if attempt.finishing or attempt.stage == Stage.PLANNED:
                continue
            if attempt.stopping:
                if attempt.stage >= Stage.FETCHING and not (attempt.stop_sent and direct):
                    attempt.stop_sent = True
                    commands.append(
                        wire.Command("halt", attempt.name, attempt.number, attempt.grace_s)
                    )
                continue
            if attempt.stage != Stage.PLACED or attempt.sending or attempt.sent:
                continue
            if machine.mute_incarnation:
                # It would be killed with the lease, which nothing renews, and given once more.
                continue
            if attempt.job.phase == Phase.OPEN and not attempt.held_back:
                starts.append(attempt)
        starts.sort(key=lambda a: (-a.job.rank, model.priority_class(a.job), a.planned_at))
        for attempt in starts[:MAX_COMMANDS]:
            if not attempt.job.demand.fits_in(room):
                # Its victims have not left yet.
                continue
            if not model.may_launch(attempt):
                # What the team has on machines leaves no room under its limit.
                continue
            attempt.job.on_launch_sent(attempt)
            room = room.minus(attempt.job.demand)
            commands.append(wire.Command("launch", attempt.name, attempt.number))
            attempt.sent = True
            if direct:
                attempt.sending = True
            else:
                attempt.sent_at_heartbeat = max(attempt.sent_at_heartbeat, mark)
                machine.response_open = True
        return commands

    def push(self, machine: Machine) -> None:
        """Send what there is to do straight to the worker, if it can be reached."""
        now = self._clock.now()
        if machine.command_in_flight or now < machine.next_push_at:
            return
        if not self._member.holds_lease_for(self._model.shards[machine.shard]):
            return
        if machine.incarnation == 0:
            if machine.address:
                # Just taken over: asked for its state, it can be used before its next report.
                machine.command_in_flight = True
                self._spawn(self._inspect(machine))
            return
        commands = self._pending_commands(machine, direct=True)
        greeted = machine.contacted and not machine.unacknowledging
        if not commands and machine.push_failures:
            # Nothing is placed on one that left commands unanswered: where there was nothing to say
            # any more, that was for ever.
            machine.command_in_flight = True
            self._spawn(self._inspect(machine))
            return
        if not commands and (greeted or machine.acknowledged_token >= machine.fencing_token):
            return
        # Without commands it shows the worker our token: from then on it drops what an owner
        # before may still send, and leaves that one for us.
        machine.contacted = True
        machine.command_in_flight = True
        self._spawn(self._send_direct(machine, commands))

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        self._tasks.spawn(work)

    async def _inspect(self, machine: Machine) -> None:
        term = machine.term
        report = await inspect(self._http, machine.address, INSPECT_DEADLINE_S)
        with self._model.lock:
            if machine.term != term or not self._model.shards[machine.shard].owned:
                return
            machine.command_in_flight = False
            if report is None or report.machine != machine.name:
                machine.next_push_at = self._clock.now() + RETRY_S
            else:
                machine.push_failures = 0
                self._heartbeats.apply(machine, report, direct=True)
                self._model.shards_to_plan.add(machine.shard)
                self._model.machines_to_push.add(machine.index)
        self._changed()

    async def _send_direct(self, machine: Machine, commands: list[wire.Command]) -> None:
        model = self._model
        token, term, session = machine.fencing_token, machine.term, machine.incarnation
        body = wire.encode(wire.DirectCommands(token, session, commands))
        machine.highest_direct_token = max(machine.highest_direct_token, token)
        report: wire.Heartbeat | None = None
        unanswered = sent = True
        try:
            response = await self._http.request(
                machine.address, "POST", "/do", body, DIRECT_DEADLINE_S
            )
            unanswered = False
            if response.status in (200, 409):
                report = wire.heartbeat_decoder.decode(response.body)
        except NotSentError:
            unanswered = sent = False
        except NoResponseError:
            log.debug("%s did not answer a direct command", machine.name)
        except msgspec.DecodeError:
            unanswered = True
        with model.lock:
            if machine.term != term or not model.shards[machine.shard].owned:
                return
            machine.command_in_flight = False
            launched = [attempt for attempt in machine.attempts.values() if attempt.sending]
            for attempt in launched:
                attempt.sending = False
            if unanswered:
                # The command may be executed at any later time. A higher token fences it as soon
                # as the worker has shown it.
                machine.highest_unsettled_token = max(machine.highest_unsettled_token, token)
                machine.unsettled_incarnation = max(machine.unsettled_incarnation or 0, session)
                machine.token_bump += 1
                for attempt in launched:
                    attempt.sent = False
            elif not sent or report is None:
                for attempt in launched:
                    attempt.sent = False
            if report is None:
                machine.push_failures += 1
                machine.next_push_at = self._clock.now() + RETRY_S
                for attempt in machine.attempts.values():
                    # As launches, halts are sent again: a worker that reaches nobody gets no answer
                    # that could bring them.
                    attempt.stop_sent = False
            else:
                machine.push_failures = 0
                mark = (report.incarnation, report.sequence)
                for attempt in launched:
                    attempt.sent_at_heartbeat = max(
                        attempt.sent_at_heartbeat, (report.incarnation, report.sequence - 1)
                    )
                for command in commands:
                    if command.op == "reap":
                        machine.reported_tasks.pop(command.task, None)
                self._heartbeats.apply(machine, report, direct=True)
                readmit_if_reached(machine, report)
                if mark >= (machine.incarnation, machine.sequence):
                    model.machines_to_push.add(machine.index)
        self._changed()
