"""Commands sent straight to a worker (`POST /do`), without waiting for its next heartbeat."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from badgerseam.background import BackgroundTasks
from badgerseam.cluster.membership import Membership
from badgerseam.http.client import HttpClient, NoResponseError, NotSentError
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.wire import workers as wire
from badgerseam.workers.command_acks import readmit_if_reached
from badgerseam.workers.command_queue import REAP, CommandQueue
from badgerseam.workers.heartbeats import HeartbeatProcessor, position_of
from badgerseam.workers.inspection import INSPECT_DEADLINE_S, inspect

log = logging.getLogger("badgerseam.workers")

DIRECT_DEADLINE_S = 2.0
RETRY_S = 1.0
"""Pause after a direct command or an inspection that failed."""
STATUSES_WITH_HEARTBEAT = (200, 409)
"""A worker answers both accepted and refused commands with its heartbeat."""


@dataclass(frozen=True, slots=True)
class _Outcome:
    """What became of a direct command."""

    heartbeat: wire.Heartbeat | None
    """The worker's answer, if it gave one."""
    may_execute_later: bool = False
    """It was sent, and no valid answer came: the worker may still execute it."""


class DirectCommandSender:
    """Sends direct commands and inspects workers, one request per machine at a time."""

    def __init__(
        self,
        model: Model,
        member: Membership,
        http: HttpClient,
        command_queue: CommandQueue,
        heartbeats: HeartbeatProcessor,
        on_change: Callable[[], None],
    ) -> None:
        self._model = model
        self._member = member
        self._http = http
        self._clock = model.clock
        self._command_queue = command_queue
        self._heartbeats = heartbeats
        self._on_change = on_change
        self._tasks = BackgroundTasks()

    def push(self, machine: Machine) -> None:
        """Send a machine's pending commands if it can be reached; the model's lock is held."""
        if machine.command_in_flight or self._clock.now() < machine.next_push_at:
            return
        if not self._member.may_answer_heartbeats_for(self._model.shards[machine.shard]):
            return
        if machine.incarnation == 0:
            if machine.address:
                # Just taken over: inspected, it can be used before its next heartbeat.
                self._start_inspection(machine)
            return
        commands = self._command_queue.collect(machine, direct=True)
        if not commands and machine.push_failures:
            # Nothing is placed on a machine that left commands unanswered: where no command was
            # pending any more, it stayed unused for ever.
            self._start_inspection(machine)
            return
        if not commands and not _needs_token(machine):
            return
        machine.contacted = True
        machine.command_in_flight = True
        self._tasks.spawn(self._send(machine, commands))

    def _start_inspection(self, machine: Machine) -> None:
        machine.command_in_flight = True
        self._tasks.spawn(self._inspect(machine))

    async def _inspect(self, machine: Machine) -> None:
        """Ask a worker for its state and apply it."""
        term = machine.term
        heartbeat = await inspect(self._http, machine.address, INSPECT_DEADLINE_S)
        with self._model.lock:
            if not self._is_owned_under(machine, term):
                return
            machine.command_in_flight = False
            if heartbeat is None or heartbeat.machine != machine.name:
                machine.next_push_at = self._clock.now() + RETRY_S
            else:
                machine.push_failures = 0
                self._heartbeats.apply(machine, heartbeat, direct=True)
                self._model.shards_to_plan.add(machine.shard)
                self._model.machines_to_push.add(machine.index)
        self._on_change()

    async def _send(self, machine: Machine, commands: list[wire.Command]) -> None:
        """Send commands and apply what their outcome shows."""
        term = machine.term
        message = wire.DirectCommands(machine.fencing_token, machine.incarnation, commands)
        machine.highest_direct_token = max(machine.highest_direct_token, message.fencing_token)
        outcome = await self._request(machine, message)
        with self._model.lock:
            if not self._is_owned_under(machine, term):
                return
            machine.command_in_flight = False
            if outcome.may_execute_later:
                _fence(machine, message)
            if outcome.heartbeat is None:
                self._on_failed(machine)
            else:
                self._on_answered(machine, message, outcome.heartbeat)
        self._on_change()

    async def _request(self, machine: Machine, message: wire.DirectCommands) -> _Outcome:
        """Post a message to a worker."""
        try:
            response = await self._http.request(
                machine.address, "POST", "/do", wire.encode(message), DIRECT_DEADLINE_S
            )
            if response.status not in STATUSES_WITH_HEARTBEAT:
                return _Outcome(None)
            return _Outcome(wire.heartbeat_decoder.decode(response.body))
        except NotSentError:
            return _Outcome(None)
        except NoResponseError:
            log.debug("direct command unanswered machine=%s", machine.name)
            return _Outcome(None, may_execute_later=True)
        except msgspec.DecodeError:
            return _Outcome(None, may_execute_later=True)

    def _is_owned_under(self, machine: Machine, term: int) -> bool:
        """Whether a machine has not changed hands since a request was sent under a term."""
        return machine.term == term and self._model.shards[machine.shard].owned

    def _on_failed(self, machine: Machine) -> None:
        """No heartbeat came back: every command has to be sent again, after a pause."""
        machine.push_failures += 1
        machine.next_push_at = self._clock.now() + RETRY_S
        for attempt in machine.attempts.values():
            if attempt.sending:
                attempt.sending = attempt.sent = False
            # As launches, halts are sent again: a worker that reaches no controller gets no
            # response to a heartbeat that could carry them.
            attempt.stop_sent = False

    def _on_answered(
        self, machine: Machine, message: wire.DirectCommands, heartbeat: wire.Heartbeat
    ) -> None:
        """Apply the heartbeat with which a worker answered."""
        machine.push_failures = 0
        # The answer itself shows what became of the launches.
        before_answer = (heartbeat.incarnation, heartbeat.sequence - 1)
        for attempt in machine.attempts.values():
            if attempt.sending:
                attempt.sending = False
                attempt.sent_at_heartbeat = max(attempt.sent_at_heartbeat, before_answer)
        for command in message.commands:
            if command.op == REAP:
                machine.reported_tasks.pop(command.task, None)
        self._heartbeats.apply(machine, heartbeat, direct=True)
        readmit_if_reached(machine, heartbeat)
        if position_of(heartbeat) >= machine.heartbeat_position:
            self._model.machines_to_push.add(machine.index)


def _needs_token(machine: Machine) -> bool:
    """Whether a message without commands is due to show the worker our token.

    From then on it refuses what an earlier owner may still send, and leaves that one for us.
    """
    is_contacted = machine.contacted and not machine.unacknowledging
    return not is_contacted and machine.acknowledged_token < machine.fencing_token


def _fence(machine: Machine, message: wire.DirectCommands) -> None:
    """Raise the token, since the worker may execute a message at any later time: a higher token
    fences it as soon as the worker has shown that one."""
    machine.highest_unsettled_token = max(machine.highest_unsettled_token, message.fencing_token)
    machine.unsettled_incarnation = max(machine.unsettled_incarnation or 0, message.incarnation)
    machine.token_bump += 1
