"""Observes the members of replicas: where they are, and whether their machines answer."""

from __future__ import annotations

from badgerseam.model.job import FINISHED, AttemptHost, Job, Stage
from badgerseam.model.model import Model
from badgerseam.replicas.phases import ObservedMembers
from badgerseam.replicas.reservations import Reservations

UNRESPONSIVE_INTERVALS = 3
"""Heartbeat intervals without a heartbeat after which a machine counts as unresponsive."""
HEARTBEAT_SLACK_S = 0.5
"""Added to these intervals for a heartbeat that is on its way."""


class MemberObserver:
    """Reads the model; changes only the record of the machine that each member was last on.

    Callers hold the model's lock.
    """

    def __init__(self, model: Model, reservations: Reservations) -> None:
        self._model = model
        self._reservations = reservations
        interval_s = model.settings.params.workers.report_s
        self._timeout_s = UNRESPONSIVE_INTERVALS * interval_s + HEARTBEAT_SLACK_S

    def unresponsive_at(self, machine: AttemptHost) -> float:
        """When a machine counts as unresponsive if it sends no heartbeat until then."""
        return max(machine.last_heartbeat_at, machine.owned_since) + self._timeout_s

    def is_unresponsive(self, machine: AttemptHost) -> bool:
        """Whether nothing is certain of what is on a machine."""
        now = self._model.clock.now()
        return machine.lost or machine.given_up or now >= self.unresponsive_at(machine)

    def is_evacuated(self, job: Job, tasks: range) -> bool:
        """Whether the machine of one of these members is evacuated for work of another shard."""
        return any(
            attempt.machine.evacuate_to is not None
            for task in tasks
            if (attempt := job.attempts.get(task)) is not None
        )

    def observe(
        self, job: Job, tasks: range, durable: bool, reservation_usable: bool, may_move: bool
    ) -> ObservedMembers:
        """The members as they are now; the last three are those of `ObservedMembers`."""
        absent, planned, placed, running, unseen = set(), set(), set(), set(), set()
        stopping, unresponsive, draining = set(), set(), set()
        for task in tasks:
            if job.status[task] == FINISHED:
                continue
            attempt = job.attempts.get(task)
            if attempt is None:
                absent.add(task)
                continue
            machine = attempt.machine
            self._reservations.note_member(job, task, machine)
            if attempt.stage == Stage.PLANNED:
                planned.add(task)
            elif attempt.stage >= Stage.RUNNING:
                running.add(task)
            else:
                placed.add(task)
                if attempt.unseen and attempt.stage == Stage.PLACED:
                    unseen.add(task)
            if attempt.stopping or attempt.stage == Stage.CHECKPOINTING:
                stopping.add(task)
            if self.is_unresponsive(machine):
                unresponsive.add(task)
            elif machine.draining:
                draining.add(task)
        return ObservedMembers(
            absent=frozenset(absent),
            planned=frozenset(planned),
            placed=frozenset(placed),
            running=frozenset(running),
            unseen=frozenset(unseen),
            stopping=frozenset(stopping),
            unresponsive=frozenset(unresponsive),
            draining=frozenset(draining),
            durable=durable,
            reservation_usable=reservation_usable,
            since=self._model.shards[job.shard].owned_since,
            may_move=may_move,
        )
