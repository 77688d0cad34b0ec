"""Answers heartbeats according to what each proves about the worker that sent it."""

from __future__ import annotations

from enum import Enum

from badgerseam.cluster.heartbeat_proxy import HeartbeatProxy
from badgerseam.http.server import Reply, error_reply
from badgerseam.model.job import Phase
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.wire import workers as wire
from badgerseam.workers.command_acks import CommandAcknowledgements
from badgerseam.workers.command_queue import MAX_COMMANDS, CommandQueue, halt_immediately
from badgerseam.workers.heartbeats import EXITED, HeartbeatProcessor, position_of

RETRY_AFTER_S = 1


class Freshness(Enum):
    """How a heartbeat relates to the newest state that this owner has of its machine."""

    UNVERIFIED = "unverified"
    """It may be a late copy of a heartbeat that was sent to an earlier owner."""
    NEWER = "newer"
    """Newer than every heartbeat, and every answer to an inspection or direct command, applied so
    far."""
    OLDER = "older"
    """A copy, or overtaken by a newer heartbeat or by the answer to an inspection or direct
    command."""


def freshness_of(machine: Machine, heartbeat: wire.Heartbeat) -> Freshness:
    """Classifies a heartbeat of an owned machine."""
    if not machine.is_verified_heartbeat(heartbeat.fencing_token):
        return Freshness.UNVERIFIED
    is_newer = position_of(heartbeat) > machine.heartbeat_position
    return Freshness.NEWER if is_newer else Freshness.OLDER


class HeartbeatResponder:
    """Applies heartbeats and answers them. Callers must hold the model's lock."""

    def __init__(
        self,
        model: Model,
        heartbeats: HeartbeatProcessor,
        command_queue: CommandQueue,
        heartbeat_proxy: HeartbeatProxy,
    ) -> None:
        self._model = model
        self._clock = model.clock
        self._heartbeats = heartbeats
        self._command_queue = command_queue
        self._command_acks = CommandAcknowledgements(model)
        self._heartbeat_proxy = heartbeat_proxy

    def answer(self, machine: Machine, heartbeat: wire.Heartbeat, freshness: Freshness) -> Reply:
        """Answers a heartbeat as the owner of its machine."""
        if freshness is Freshness.UNVERIFIED:
            return self._answer_unverified(machine, heartbeat)
        if freshness is Freshness.NEWER:
            return self._answer_newer(machine, heartbeat)
        return self._answer_older(machine, heartbeat)

    def answer_as_proxy(self, machine: Machine, heartbeat: wire.Heartbeat) -> Reply:
        """Renews the worker's lease on behalf of its owner, and halts cancelled tasks.

        No other commands are sent.
        """
        if self._heartbeat_proxy.launch_may_be_delayed(machine, heartbeat):
            # With the lease renewed, the worker would execute a delayed launch of a cancelled task
            # once the partition between the zones heals, long after the cancellation.
            return error_reply(503, "a cancelled launch may be held back", RETRY_AFTER_S)
        halts = [
            halt_immediately(status)
            for status in heartbeat.tasks
            if status.state != EXITED and self._is_cancelled(status)
        ]
        return _response(heartbeat.fencing_token, halts[:MAX_COMMANDS])

    def _answer_newer(self, machine: Machine, heartbeat: wire.Heartbeat) -> Reply:
        """Applies a heartbeat, renews the lease and answers with the pending commands."""
        now = self._clock.now()
        self._command_acks.on_heartbeat(machine, heartbeat, now)
        machine.incarnation_without_heartbeats = 0
        # A worker sends one heartbeat at a time, so a newer one shows that the commands in the
        # previous response were either executed or dropped.
        machine.response_open = False
        self._heartbeats.apply(machine, heartbeat, direct=False)
        if machine.unacknowledging:
            # If a 200 reached the worker after all, it would renew a lease that has to expire.
            return refuse_given_up()
        machine.lease_renewed_at = max(machine.lease_renewed_at, now)
        machine.answered_heartbeat = position_of(heartbeat)
        self._command_acks.raise_token_if_missed(machine)
        commands = self._command_queue.collect(machine, direct=False)
        self._command_acks.on_response(machine, now)
        return _response(machine.fencing_token, commands)

    def _answer_older(self, machine: Machine, heartbeat: wire.Heartbeat) -> Reply:
        """Answers a copy, or a heartbeat overtaken by the answer to an inspection or direct
        command."""
        if machine.unacknowledging:
            return refuse_given_up()
        position = position_of(heartbeat)
        is_unanswered = position > machine.answered_heartbeat
        if is_unanswered and heartbeat.incarnation == machine.incarnation:
            if not machine.is_current_token(heartbeat.fencing_token):
                return _answer_without_renewal(heartbeat)
            # It was sent before the newer answer arrived, so it renews the lease at most as of that
            # arrival.
            machine.answered_heartbeat = position
            machine.lease_renewed_at = max(machine.lease_renewed_at, machine.last_heartbeat_at)
        # Otherwise the heartbeat precedes one that was answered, or belongs to an earlier
        # incarnation: the answer does not renew the lease.
        return _response(machine.fencing_token, [])

    def _answer_unverified(self, machine: Machine, heartbeat: wire.Heartbeat) -> Reply:
        """Answers a heartbeat that may be a late copy of one sent to an earlier owner.

        Until the machine is verified after a takeover, only the address to inspect and completed
        tasks are taken from its heartbeats. If a copy that shows a task as exited were applied, the
        task would be placed elsewhere although it has been launched again and is running.
        """
        now = self._clock.now()
        machine.address = heartbeat.address
        if machine.first_unverified_at is None:
            machine.first_unverified_at = now
        self._heartbeats.apply_completions(machine, heartbeat)
        machine.next_push_at = 0.0
        self._model.machines_to_push.add(machine.index)
        if machine.attempts and now > machine.lease_renewed_at:
            return _answer_without_renewal(heartbeat)
        # Only the worker itself can receive these halts, and in that case the heartbeat is not a
        # copy.
        halts = [
            halt_immediately(status)
            for status in heartbeat.tasks
            if status.state != EXITED and not self._has_active_attempt(machine, status)
        ]
        return _response(machine.fencing_token, halts[:MAX_COMMANDS])

    def _is_cancelled(self, status: wire.TaskStatus) -> bool:
        """Whether a task's job is recorded as cancelled."""
        ended = self._model.ended.get(status.task.partition("/")[0])
        return ended is not None and ended[0] == Phase.CANCELLED

    def _has_active_attempt(self, machine: Machine, status: wire.TaskStatus) -> bool:
        """Whether a reported task has an attempt on its machine that is not being stopped."""
        found = self._model.find_task(status.task)
        attempt = None if found is None else machine.attempt_of(*found, status.attempt)
        return attempt is not None and not attempt.stopping


def refuse_given_up() -> Reply:
    """Returns the refusal for a machine whose lease must not be renewed any more."""
    return error_reply(503, "given up", RETRY_AFTER_S)


def _response(token: int, commands: list[wire.Command]) -> Reply:
    return Reply(200, wire.encode(wire.HeartbeatResponse(token, commands)))


def _answer_without_renewal(heartbeat: wire.Heartbeat) -> Reply:
    """Answers without renewing the worker's lease.

    A renewal would have to be recorded, but the heartbeat may be a copy. A worker drops an answer
    with a lower token than its own and does not move on to another controller; it is inspected
    before its next heartbeat.
    """
    if heartbeat.fencing_token == 0:
        return error_reply(503, "not known yet", RETRY_AFTER_S)
    return _response(heartbeat.fencing_token - 1, [])
