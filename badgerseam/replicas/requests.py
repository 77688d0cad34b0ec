"""What replicas ask of a plan: requests for all members of one that need room."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import replace

from badgerseam.levels.table import Behaviour
from badgerseam.model.job import IDLE, Job
from badgerseam.model.model import Model
from badgerseam.replicas.reservations import Reservations
from badgerseam.replicas.shapes import ReplicaShape
from badgerseam.sched.planner import MAX_STARTS, SAVE_SLACK_S, Planner
from badgerseam.sched.snapshot import GangRules, Request, StayingMember

TURN_S = 20.0
"""How long machines are rented in one zone for a replica that could be in several."""
REPAIRS_FIRST = -1e12
"""Order, within its rank, of what completes a replica: all its other room is of no use so long."""


class ReplicaRequests:
    """Makes requests."""

    def __init__(self, model: Model, planner: Planner, rooms: Reservations) -> None:
        self._model = model
        self._planner = planner
        self._rooms = rooms

    def from_records(self, job: Job, shape: ReplicaShape) -> list[Request]:
        """For a leader that rents for another's share: from the records alone."""
        found: list[Request] = []
        task = job.status.find(IDLE)
        tasks = 0
        while task >= 0 and tasks < MAX_STARTS:
            number = shape.number(task)
            members = shape.tasks(number)
            needed = frozenset(t for t in members if job.status[t] == IDLE)
            tasks += len(needed)
            found.append(self.request(job, shape, number, needed))
            task = job.status.find(IDLE, members.stop)
        return found

    def request(
        self,
        job: Job,
        shape: ReplicaShape,
        number: int,
        needed: Collection[int],
        seek: bool = False,
        degraded: bool = False,
    ) -> Request:
        """For the members of a replica that need room, beside those that stay.

        `seek`: they run, and new room is only to be reserved. `degraded`: where there is no room
        beside the others, the whole replica may be moved.
        """
        rules = shape.rules
        stay = [
            attempt.machine
            for task in shape.tasks(number)
            if task not in needed
            and (attempt := job.attempts.get(task)) is not None
            and not attempt.finishing
        ]
        base = self._planner.request(job, 1)
        span = GangRules(
            number,
            len(needed) + len(stay),
            rules.machines_least,
            rules.machines_most,
            rules.same_zone,
            rules.same_type,
            tuple(StayingMember(machine.index, machine.zone, machine.type) for machine in stay),
            tuple(self._rooms.machines_for((job.index, number))),
            seek,
            degraded and rules.moves > 0 and self._model.is_active(Behaviour.NOTES),
            self._zone(job, shape),
            SAVE_SLACK_S + (job.spec.save_s if job.spec.checkpoint_s > 0 else 0.0),
        )
        order = REPAIRS_FIRST if stay else base.order
        return replace(base, count=len(needed), gang=True, order=order, gang_rules=span)

    def _zone(self, job: Job, shape: ReplicaShape) -> str | None:
        """Where machines are rented for a replica in one zone, of a job that may have only so many
        tasks in each; one zone after the other, as one may have none."""
        if not shape.rules.same_zone or not job.spec.spread:
            return None
        most = (job.tasks + 1) // 2
        zones = [
            zone
            for zone in sorted(self._model.settings.params.zones)
            if job.zones.get(zone, 0) + shape.size <= most
        ]
        if not zones:
            return None
        zones.sort(key=lambda zone: job.zones.get(zone, 0))
        waited_s = self._model.clock.now() - job.last_seen_at
        return zones[int(waited_s / TURN_S) % len(zones)]
