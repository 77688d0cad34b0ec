"""The requests that replicas make of a plan: for all members of a replica that need machines."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import replace

from badgerseam.levels.table import Behaviour
from badgerseam.model.job import IDLE, AttemptHost, Job
from badgerseam.model.model import Model
from badgerseam.replicas.reservations import ReplicaKey, Reservations
from badgerseam.replicas.shapes import ReplicaShape
from badgerseam.sched.planner import MAX_STARTS, SAVE_SLACK_S, Planner
from badgerseam.sched.snapshot import GangRules, Request, StayingMember

ZONE_TURN_S = 20.0
"""How long machines are rented in one zone, for a replica that could be in several, before the
next one is tried."""
REPAIR_ORDER = -1e12
"""Order, within its rank, of what completes a replica: until then the capacity that its other
members use is wasted."""


class ReplicaRequests:
    """Builds the requests of replicas. Callers hold the model's lock."""

    def __init__(self, model: Model, planner: Planner, reservations: Reservations) -> None:
        self._model = model
        self._planner = planner
        self._reservations = reservations

    def from_records(self, job: Job, shape: ReplicaShape) -> list[Request]:
        """For a leader that rents machines for a shard of another owner: from the records alone."""
        found: list[Request] = []
        task = job.status.find(IDLE)
        tasks = 0
        while task >= 0 and tasks < MAX_STARTS:
            number = shape.number(task)
            members = shape.tasks(number)
            needed = frozenset(member for member in members if job.status[member] == IDLE)
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
        reserve_only: bool = False,
        may_move_whole: bool = False,
    ) -> Request:
        """For the members of a replica that need machines, beside those that stay.

        `reserve_only`: they run, and new capacity is only to be reserved. `may_move_whole`: where
        there is no capacity beside the members that stay, the whole replica may be moved.
        """
        rules = shape.rules
        staying = _machines_of_staying_members(job, shape.tasks(number), needed)
        base = self._planner.request(job, 1)
        gang_rules = GangRules(
            number,
            size=len(needed) + len(staying),
            min_machines=rules.machines_least,
            max_machines=rules.machines_most,
            same_zone=rules.same_zone,
            same_type=rules.same_type,
            staying_members=tuple(
                StayingMember(machine.index, machine.zone, machine.type) for machine in staying
            ),
            reserved_machines=tuple(self._reservations.machines_for(ReplicaKey(job.index, number))),
            reserve_only=reserve_only,
            may_move_whole=may_move_whole
            and rules.moves > 0
            and self._model.is_active(Behaviour.NOTES),
            zone=self._rental_zone(job, shape),
            stop_s=SAVE_SLACK_S + (job.spec.save_s if job.spec.checkpoint_s > 0 else 0.0),
        )
        order = REPAIR_ORDER if staying else base.order
        return replace(base, count=len(needed), gang=True, order=order, gang_rules=gang_rules)

    def _rental_zone(self, job: Job, shape: ReplicaShape) -> str | None:
        """The zone to rent machines in, for a replica in one zone of a job that is spread over
        zones; None if the job's rules do not decide it.

        The zones take turns, as the cloud may have no machines in one of them.
        """
        if not shape.rules.same_zone or not job.spec.spread:
            return None
        zone_limit = (job.tasks + 1) // 2
        zones = [
            zone
            for zone in sorted(self._model.settings.params.zones)
            if job.zones.get(zone, 0) + shape.size <= zone_limit
        ]
        if not zones:
            return None
        zones.sort(key=lambda zone: job.zones.get(zone, 0))
        waited_s = self._model.clock.now() - job.last_seen_at
        return zones[int(waited_s / ZONE_TURN_S) % len(zones)]


def _machines_of_staying_members(
    job: Job, tasks: range, needed: Collection[int]
) -> list[AttemptHost]:
    return [
        attempt.machine
        for task in tasks
        if task not in needed
        and (attempt := job.attempts.get(task)) is not None
        and not attempt.finishing
    ]
