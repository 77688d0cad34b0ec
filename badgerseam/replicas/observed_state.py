"""What an owner sees of a replica's members."""

from __future__ import annotations

from badgerseam.model.job import FINISHED, Host, Job, Stage
from badgerseam.model.model import Model
from badgerseam.replicas.phases import Seen
from badgerseam.replicas.reservations import Rooms

SILENT_REPORTS = 3
"""Report intervals without a report after which a machine counts as hanging."""


class Sight:
    """Looks; changes nothing but what is remembered of where members were."""

    def __init__(self, model: Model, rooms: Rooms) -> None:
        self._model = model
        self._rooms = rooms
        self._silence_s = SILENT_REPORTS * model.settings.params.workers.report_s + 0.5

    def silent_at(self, machine: Host) -> float:
        """When a machine counts as hanging if nothing is heard of it until then."""
        return max(machine.heard_at, machine.taken_at) + self._silence_s

    def silent(self, machine: Host) -> bool:
        """Whether nothing is certain of what is on a machine."""
        now = self._model.clock.now()
        return machine.lost or machine.given_up or now >= self.silent_at(machine)

    def vacated(self, job: Job, tasks: range) -> bool:
        """Whether a member's machine is emptied for work of another share."""
        return any(
            attempt.machine.vacate_to is not None
            for task in tasks
            if (attempt := job.attempts.get(task)) is not None
        )

    def see(self, job: Job, tasks: range, durable: bool, room: bool, moves: bool) -> Seen:
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
            self._rooms.was_on(job, task, machine)
            if attempt.stage == Stage.PLANNED:
                planned.add(task)
            elif attempt.stage >= Stage.RUNNING:
                runs.add(task)
            else:
                placed.add(task)
                if attempt.unseen and attempt.stage == Stage.PLACED:
                    unseen.add(task)
            if attempt.stopping or attempt.stage == Stage.SAVING:
                stopping.add(task)
            if self.silent(machine):
                hung.add(task)
            elif machine.draining:
                leaving.add(task)
        return Seen(
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
            self._model.shares[job.share].owned_since,
            moves,
        )
