"""Determines the commands that a worker has to execute next."""

from __future__ import annotations

import logging

from badgerseam.model.job import Attempt, Job, Phase, Stage
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.model.resources import Resources
from badgerseam.wire import workers as wire
from badgerseam.workers.command_history import CommandHistory
from badgerseam.workers.heartbeats import EXITED

log = logging.getLogger("badgerseam.workers")

LAUNCH = "launch"
HALT = "halt"
REAP = "reap"

MAX_COMMANDS = 300
"""Maximum number of launches in one response, and of halts in a response to a proxied or unverified
heartbeat. A command takes about 90 bytes, so these fit well within a line of 64 KiB."""


class CommandQueue:
    """Derives a worker's commands from its reported tasks and the attempts placed on it.

    Callers must hold the model's lock.
    """

    def __init__(self, model: Model, history: CommandHistory) -> None:
        self._model = model
        self._history = history

    def collect(self, machine: Machine, direct: bool) -> list[wire.Command]:
        """Returns the commands to send now, and marks them as sent.

        `direct`: whether they are sent in a direct command instead of the response to a heartbeat.

        Reaps come first, since an earlier attempt of a task blocks its launch; then halts, then
        launches. No commands are returned while a direct command is in flight.
        """
        if machine.command_in_flight:
            return []
        commands = self._reaps_and_halts_of_reported_tasks(machine, direct)
        self._fence_reaps(machine, commands, direct)
        commands += self._halts_of_stopping_attempts(machine, direct)
        commands += self._launches(machine, direct)
        if commands and log.isEnabledFor(logging.DEBUG):
            log.debug(
                "commands sent machine=%s token=%d incarnation=%d direct=%s commands=%s",
                machine.name,
                machine.fencing_token,
                machine.incarnation,
                direct,
                ",".join(f"{c.op}:{c.task}@{c.attempt}" for c in commands),
            )
        return commands

    def _fence_reaps(self, machine: Machine, commands: list[wire.Command], direct: bool) -> None:
        """Raises the token if a copy of an earlier launch could start a task that is reaped.

        The worker knows no reaped attempt any more. With the token of the message that contains the
        reap, it refuses such copies.
        """
        reaps = [command for command in commands if command.op == REAP]
        if not reaps:
            return
        token = machine.fencing_token
        machine.fence_launches()
        self._history.record_reaps(machine, reaps, direct, machine.fencing_token > token)

    def _reaps_and_halts_of_reported_tasks(
        self, machine: Machine, direct: bool
    ) -> list[wire.Command]:
        """Returns reaps of exited tasks, then halts of active tasks that have no attempt here."""
        reaps: list[wire.Command] = []
        halts: list[wire.Command] = []
        for status in machine.reported_tasks.values():
            found = self._model.find_task(status.task)
            attempt = None if found is None else machine.attempt_of(*found, status.attempt)
            if status.state != EXITED:
                if attempt is None:
                    halts.append(halt_immediately(status))
            elif self._may_reap(machine, status, found, attempt, direct):
                reaps.append(wire.Command(REAP, status.task, status.attempt))
        return reaps + halts

    def _may_reap(
        self,
        machine: Machine,
        status: wire.TaskStatus,
        found: tuple[Job, int] | None,
        attempt: Attempt | None,
        direct: bool,
    ) -> bool:
        """Whether an exited task may be reaped.

        A completed task may be reaped once its completion is durable, any other task once no launch
        of it can still be in flight, since a late launch would start it again.
        """
        if attempt is not None and attempt.finishing:
            return False
        if not machine.commands_settled or (direct and machine.response_open):
            return False
        return found is None or self._model.failure_is_recorded(*found, status.attempt)

    def _halts_of_stopping_attempts(self, machine: Machine, direct: bool) -> list[wire.Command]:
        """Returns halts of stopping attempts; direct commands carry each of them only once."""
        commands: list[wire.Command] = []
        for attempt in machine.attempts.values():
            if not attempt.stopping or attempt.finishing or attempt.stage < Stage.FETCHING:
                continue
            if attempt.stop_sent and direct:
                continue
            attempt.stop_sent = True
            commands.append(wire.Command(HALT, attempt.name, attempt.number, attempt.grace_s))
        return commands

    def _launches(self, machine: Machine, direct: bool) -> list[wire.Command]:
        """Returns the launches that fit the machine and their teams' limits, most urgent first."""
        if machine.incarnation_without_heartbeats:
            # No heartbeats arrive to renew the lease, so a launched task would be killed when the
            # lease ends and would have to be launched again.
            return []
        candidates = [attempt for attempt in machine.attempts.values() if _awaits_launch(attempt)]
        if not candidates:
            return []
        candidates.sort(key=self._launch_order)
        free = machine.total.minus(machine.live_use())
        commands: list[wire.Command] = []
        for attempt in candidates[:MAX_COMMANDS]:
            if not self._may_launch(attempt, free):
                continue
            free = free.minus(attempt.job.demand)
            _mark_launch_sent(machine, attempt, direct)
            self._history.record_launch(machine, attempt.name, attempt.number, direct)
            commands.append(wire.Command(LAUNCH, attempt.name, attempt.number))
        return commands

    def _launch_order(self, attempt: Attempt) -> tuple[int, int, float]:
        """Returns the sort key: highest rank first, then priority class, then time of planning."""
        job = attempt.job
        return -job.rank, self._model.priority_class(job), attempt.planned_at

    def _may_launch(self, attempt: Attempt, free: Resources) -> bool:
        """Whether a launch fits the machine, where evicted tasks may still run, and its team's
        limit."""
        return attempt.job.demand.fits_in(free) and self._model.may_launch(attempt)


def halt_immediately(status: wire.TaskStatus) -> wire.Command:
    """Returns a halt without a grace period for a task that a worker has reported."""
    return wire.Command(HALT, status.task, status.attempt, 0.0)


def _awaits_launch(attempt: Attempt) -> bool:
    """Whether an attempt is durably placed, still needed and not yet sent to its machine."""
    return (
        attempt.stage == Stage.PLACED
        and not (attempt.finishing or attempt.stopping)
        and not (attempt.sending or attempt.sent)
        and attempt.job.phase == Phase.OPEN
        and not attempt.held_back
    )


def _mark_launch_sent(machine: Machine, attempt: Attempt, direct: bool) -> None:
    """Records with which message a launch is sent, so that later heartbeats can be interpreted."""
    attempt.job.on_launch_sent(attempt)
    attempt.sent = True
    if direct:
        attempt.sending = True
        machine.record_direct_launch()
    else:
        attempt.sent_at_heartbeat = max(attempt.sent_at_heartbeat, machine.heartbeat_position)
        machine.response_open = True
