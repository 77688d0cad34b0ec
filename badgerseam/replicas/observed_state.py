"""Observes the members of replicas: their stages, and whether their machines send heartbeats."""

from __future__ import annotations

from collections.abc import Callable

from badgerseam.model.job import FINISHED, Attempt, AttemptHost, Job, Stage
from badgerseam.model.model import Model
from badgerseam.replicas.phases import ObservedMembers
from badgerseam.replicas.reservations import Reservations

UNRESPONSIVE_INTERVALS = 3
"""The number of heartbeat intervals without a heartbeat after which a machine is unresponsive."""
HEARTBEAT_SLACK_S = 0.5
"""Added to these intervals to allow for the delay of a heartbeat in transit."""


class MemberObserver:
    """Observes members in the model, and records the machine that each member was last on.

    Callers hold the model's lock.
    """

    def __init__(self, model: Model, reservations: Reservations) -> None:
        self._model = model
        self._reservations = reservations
        interval_s = model.settings.params.workers.report_s
        self._timeout_s = UNRESPONSIVE_INTERVALS * interval_s + HEARTBEAT_SLACK_S

    def unresponsive_at(self, machine: AttemptHost) -> float:
        """Returns when a machine becomes unresponsive unless it sends a heartbeat before."""
        return max(machine.last_heartbeat_at, machine.owned_since) + self._timeout_s

    def is_unresponsive(self, machine: AttemptHost) -> bool:
        """Whether the state of the tasks on a machine is unknown."""
        now = self._model.clock.now()
        return machine.lost or machine.given_up or now >= self.unresponsive_at(machine)

    def is_evacuated(self, job: Job, tasks: range) -> bool:
        """Whether the machine of any of these members is being evacuated for work of another
        shard."""
        return any(
            attempt.machine.evacuate_to is not None
            for task in tasks
            if (attempt := job.attempts.get(task)) is not None
        )

    def observe(
        self, job: Job, tasks: range, durable: bool, reservation_usable: bool, may_move: bool
    ) -> ObservedMembers:
        """Returns the current state of the members; the last three arguments are the attributes of
        `ObservedMembers` with these names."""
        unfinished = [task for task in tasks if job.status[task] != FINISHED]
        attempts = {
            task: attempt for task in unfinished if (attempt := job.attempts.get(task)) is not None
        }
        for task, attempt in attempts.items():
            self._reservations.note_member(job, task, attempt.machine)

        def members(condition: Callable[[Attempt], bool]) -> frozenset[int]:
            return frozenset(task for task, attempt in attempts.items() if condition(attempt))

        unresponsive = members(lambda attempt: self.is_unresponsive(attempt.machine))
        return ObservedMembers(
            absent=frozenset(unfinished) - attempts.keys(),
            planned=members(lambda attempt: attempt.stage == Stage.PLANNED),
            placed=members(lambda attempt: Stage.PLANNED < attempt.stage < Stage.RUNNING),
            running=members(lambda attempt: attempt.stage >= Stage.RUNNING),
            unseen=members(lambda attempt: attempt.unseen and attempt.stage == Stage.PLACED),
            stopping=members(
                lambda attempt: attempt.stopping or attempt.stage == Stage.CHECKPOINTING
            ),
            unresponsive=unresponsive,
            draining=members(lambda attempt: attempt.machine.draining) - unresponsive,
            durable=durable,
            reservation_usable=reservation_usable,
            since=self._model.shards[job.shard].owned_since,
            may_move=may_move,
        )
