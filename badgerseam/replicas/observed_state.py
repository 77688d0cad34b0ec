"""What an owner sees of a replica's members."""

from __future__ import annotations

from badgerseam.model.job import FINISHED, AttemptHost, Job, Stage
from badgerseam.model.model import Model
from badgerseam.replicas.phases import ObservedMembers
from badgerseam.replicas.reservations import Reservations

UNRESPONSIVE_INTERVALS = 3
"""Report intervals without a report after which a machine counts as hanging."""


class MemberObserver:
    """Looks; changes nothing but what is remembered of where members were."""

    def __init__(self, model: Model, rooms: Reservations) -> None:
        self._model = model
        self._rooms = rooms
        self._silence_s = UNRESPONSIVE_INTERVALS * model.settings.params.workers.report_s + 0.5

    def unresponsive_at(self, machine: AttemptHost) -> float:
        """When a machine counts as hanging if nothing is heard of it until then."""
        return max(machine.last_heartbeat_at, machine.owned_since) + self._silence_s

    def is_unresponsive(self, machine: AttemptHost) -> bool:
        """Whether nothing is certain of what is on a machine."""
        now = self._model.clock.now()
        return machine.lost or machine.given_up or now >= self.unresponsive_at(machine)

    def is_evacuated(self, job: Job, tasks: range) -> bool:
        """Whether a member's machine is emptied for work of another share."""
        return any(
            attempt.machine.evacuate_to is not None
            for task in tasks
            if (attempt := job.attempts.get(task)) is not None
        )

    def observe(
        self, job: Job, tasks: range, durable: bool, room: bool, moves: bool
    ) -> ObservedMembers:
        """The members as they are now; the last three as `Seen` has them."""
        absent, planned, placed, runs, unseen = set(), set(), set(), set(), set()
        stopping, hung, leaving = set(), set(), set()
        for task in tasks:
            if job.status[task] == FINISHED:
                continue
            attempt = job.attempts.get(task)
            if attempt is None:
                absent.add(task)
                continue
            machine = attempt.machine
            self._rooms.note_member(job, task, machine)
            if attempt.stage == Stage.PLANNED:
                planned.add(task)
            elif attempt.stage >= Stage.RUNNING:
                runs.add(task)
            else:
                placed.add(task)
                if attempt.unseen and attempt.stage == Stage.PLACED:
                    unseen.add(task)
            if attempt.stopping or attempt.stage == Stage.CHECKPOINTING:
                stopping.add(task)
            if self.is_unresponsive(machine):
                hung.add(task)
            elif machine.draining:
                leaving.add(task)
        return ObservedMembers(
            frozenset(absent),
            frozenset(planned),
            frozenset(placed),
            frozenset(runs),
            frozenset(unseen),
            frozenset(stopping),
            frozenset(hung),
            frozenset(leaving),
            durable,
            room,
            self._model.shards[job.shard].owned_since,
            moves,
        )
