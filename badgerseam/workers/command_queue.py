"""The commands that a worker has to execute next."""

from __future__ import annotations

from badgerseam.model.job import Attempt, Job, Phase, Stage
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.model.resources import Resources
from badgerseam.wire import workers as wire
from badgerseam.workers.heartbeats import EXITED

LAUNCH = "launch"
HALT = "halt"
REAP = "reap"

MAX_COMMANDS = 300
"""Commands in one response; some 90 bytes each, well within a line of 64 KiB."""


class CommandQueue:
    """Derives a worker's commands from its reported tasks and the attempts placed on it.

    Callers hold the model's lock.
    """

    def __init__(self, model: Model) -> None:
        self._model = model

    def collect(self, machine: Machine, direct: bool) -> list[wire.Command]:
        """Return the commands to send now, and mark them as sent.

        `direct`: they go in a direct command, not in the response to a heartbeat.

        Reaps come first, since the earlier attempt of a task blocks its launch; then halts, then
        launches. Nothing is returned while a direct command is in flight.
        """
        if machine.command_in_flight:
            return []
        commands = self._reaps_and_halts_of_reported_tasks(machine, direct)
        commands += self._halts_of_stopping_attempts(machine, direct)
        commands += self._launches(machine, direct)
        return commands

    def _reaps_and_halts_of_reported_tasks(
        self, machine: Machine, direct: bool
    ) -> list[wire.Command]:
        """Reaps of tasks that have exited, then halts of running ones that have no attempt here."""
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

        A completed task is reaped once its completion is durable; any other one once no launch of
        it can still be in flight, since a late launch would start it again.
        """
        if attempt is not None and attempt.finishing:
            return False
        if not machine.commands_settled or (direct and machine.response_open):
            return False
        return found is None or self._model.failure_is_recorded(*found, status.attempt)

    def _halts_of_stopping_attempts(self, machine: Machine, direct: bool) -> list[wire.Command]:
        """Halts of attempts that are to stop; a direct command carries each only once."""
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
        """Launches, the most urgent first, that fit the machine and the limits of their teams."""
        if machine.incarnation_without_heartbeats:
            # The lease is not renewed, so that a launched task would be killed with it and would
            # have to be launched again.
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
            commands.append(wire.Command(LAUNCH, attempt.name, attempt.number))
        return commands

    def _launch_order(self, attempt: Attempt) -> tuple[int, int, float]:
        """Sort key: highest rank first, then the priority class, then the time of planning."""
        job = attempt.job
        return -job.rank, self._model.priority_class(job), attempt.planned_at

    def _may_launch(self, attempt: Attempt, free: Resources) -> bool:
        """Whether the machine has room (its victims may still run) and the team's limit has."""
        return attempt.job.demand.fits_in(free) and self._model.may_launch(attempt)


def halt_immediately(status: wire.TaskStatus) -> wire.Command:
    """A halt without a grace period for a task that a worker has reported."""
    return wire.Command(HALT, status.task, status.attempt, 0.0)


def _awaits_launch(attempt: Attempt) -> bool:
    """Whether an attempt is durable and wanted, and has not been sent to its machine."""
    return (
        attempt.stage == Stage.PLACED
        and not (attempt.finishing or attempt.stopping)
        and not (attempt.sending or attempt.sent)
        and attempt.job.phase == Phase.OPEN
        and not attempt.held_back
    )


def _mark_launch_sent(machine: Machine, attempt: Attempt, direct: bool) -> None:
    """Record by which message a launch goes, so that the next heartbeats can be interpreted."""
    attempt.job.on_launch_sent(attempt)
    attempt.sent = True
    if direct:
        attempt.sending = True
    else:
        attempt.sent_at_heartbeat = max(attempt.sent_at_heartbeat, machine.heartbeat_position)
        machine.response_open = True
