"""Sends commands directly to workers (`POST /do`) without waiting for their next heartbeats."""

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
from badgerseam.workers.command_acks import readmit_if_acknowledged
from badgerseam.workers.command_queue import REAP, CommandQueue
from badgerseam.workers.heartbeats import HeartbeatProcessor, position_of
from badgerseam.workers.inspection import INSPECT_DEADLINE_S, inspect

log = logging.getLogger("badgerseam.workers")

DIRECT_DEADLINE_S = 2.0
RETRY_S = 1.0
"""Seconds to wait after a failed direct command or inspection."""
STATUSES_WITH_HEARTBEAT = (200, 409)
"""HTTP statuses of a worker's answers to accepted and to refused commands; both carry its
heartbeat."""


@dataclass(frozen=True, slots=True)
class _Outcome:
    """The outcome of a direct command."""

    heartbeat: wire.Heartbeat | None
    """The heartbeat in the worker's answer; None without a valid answer."""
    may_execute_later: bool = False
    """Whether the worker may still execute the command: it was sent, and no valid answer came."""


class DirectCommandSender:
    """Sends direct commands and inspects workers, one request per machine at a time."""

    def __init__(
        self,
        model: Model,
        membership: Membership,
        http: HttpClient,
        command_queue: CommandQueue,
        heartbeats: HeartbeatProcessor,
        on_change: Callable[[], None],
    ) -> None:
        self._model = model
        self._membership = membership
        self._http = http
        self._clock = model.clock
        self._command_queue = command_queue
        self._heartbeats = heartbeats
        self._on_change = on_change
        self._tasks = BackgroundTasks()

    def push(self, machine: Machine) -> None:
        """Sends a machine's pending commands, or inspects it if that has to come first.

        Does nothing while another request is in flight or a retry pause lasts. Callers must hold
        the model's lock.
        """
        if machine.command_in_flight or self._clock.now() < machine.next_push_at:
            return
        if not self._membership.may_answer_heartbeats_for(self._model.shards[machine.shard]):
            return
        if machine.incarnation == 0:
            if machine.address:
                # The machine was just taken over. An inspection makes it usable before its next
                # heartbeat.
                self._start_inspection(machine)
            return
        commands: list[wire.Command] = []
        if machine.accepts_direct_commands:
            commands = self._command_queue.collect(machine, direct=True)
        if not commands and machine.push_failures:
            # Nothing is placed on a machine that left commands unanswered. Without an inspection,
            # it would stay unused permanently once no more commands are pending.
            self._start_inspection(machine)
            return
        if not commands and not (machine.accepts_direct_commands and _needs_token(machine)):
            return
        machine.contacted = True
        machine.command_in_flight = True
        message = wire.DirectCommands(machine.fencing_token, machine.incarnation, commands)
        machine.highest_direct_token = max(machine.highest_direct_token, message.fencing_token)
        self._tasks.spawn(self._send(machine, machine.term, message))

    def _start_inspection(self, machine: Machine) -> None:
        machine.command_in_flight = True
        self._tasks.spawn(self._inspect(machine))

    async def _inspect(self, machine: Machine) -> None:
        """Requests a worker's state and applies it."""
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

    async def _send(self, machine: Machine, term: int, message: wire.DirectCommands) -> None:
        """Sends commands that were composed under a term, and applies their outcome."""
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
        """Posts a message to a worker and returns the outcome."""
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
        """Whether this controller still owns a machine under the term of a request."""
        return machine.term == term and self._model.shards[machine.shard].owned

    def _on_failed(self, machine: Machine) -> None:
        """Schedules every command to be sent again after a pause, as no valid answer came."""
        machine.push_failures += 1
        machine.next_push_at = self._clock.now() + RETRY_S
        for attempt in machine.attempts.values():
            if attempt.sending:
                attempt.sending = attempt.sent = False
            # Halts are sent directly again, as launches are: a worker that reaches no controller
            # gets no heartbeat response that could carry them.
            attempt.stop_sent = False

    def _on_answered(
        self, machine: Machine, message: wire.DirectCommands, heartbeat: wire.Heartbeat
    ) -> None:
        """Applies the heartbeat with which a worker answered."""
        machine.push_failures = 0
        # The answer's heartbeat already shows the result of the launches, so they count as sent
        # before it.
        before_answer = (heartbeat.incarnation, heartbeat.sequence - 1)
        for attempt in machine.attempts.values():
            if attempt.sending:
                attempt.sending = False
                attempt.sent_at_heartbeat = max(attempt.sent_at_heartbeat, before_answer)
        for command in message.commands:
            if command.op == REAP:
                machine.reported_tasks.pop(command.task, None)
        self._heartbeats.apply(machine, heartbeat, direct=True)
        readmit_if_acknowledged(machine, heartbeat)
        if position_of(heartbeat) >= machine.heartbeat_position:
            self._model.machines_to_push.add(machine.index)


def _needs_token(machine: Machine) -> bool:
    """Whether a message without commands has to be sent to show the worker the current token.

    With that token, the worker refuses commands that an earlier owner may still send, and sends its
    heartbeats to this controller instead of the earlier owner.
    """
    is_contacted = machine.contacted and not machine.unacknowledging
    return not is_contacted and machine.acknowledged_token < machine.fencing_token


def _fence(machine: Machine, message: wire.DirectCommands) -> None:
    """Raises the token to fence a message that the worker may still execute at any later time.

    The message is fenced once the worker has shown the higher token.
    """
    machine.highest_unsettled_token = max(machine.highest_unsettled_token, message.fencing_token)
    machine.unsettled_incarnation = max(machine.unsettled_incarnation or 0, message.incarnation)
    machine.raise_token()
