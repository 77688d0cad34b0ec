"""The planning requests of replicas: each is for all members of a replica that need machines."""

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

RENTAL_ZONE_INTERVAL_S = 20.0
"""How long machines are rented in one zone, for a replica that could be in several zones, before
the next zone is tried."""
REPAIR_ORDER = -1e12
"""The order, within the rank, of requests that complete a replica. They go first, since the
capacity of the replica's other members is wasted until it is complete."""


class ReplicaRequests:
    """Builds the requests of replicas. Callers hold the model's lock."""

    def __init__(self, model: Model, planner: Planner, reservations: Reservations) -> None:
        self._model = model
        self._planner = planner
        self._reservations = reservations

    def from_records(self, job: Job, shape: ReplicaShape) -> list[Request]:
        """Returns the requests of a job in another owner's shard, from the records alone; the
        leader uses them to rent machines."""
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
        """Returns the request for the members of a replica that need machines; the others stay.

        `reserve_only`: the members run, and capacity is only to be reserved for them.
        `may_move_whole`: the whole replica may be moved if there is no suitable capacity together
        with the members that stay.
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
        """Returns the zone to rent machines in, for a job that is spread over zones but whose
        replicas are each in one zone; None if the job's rules do not determine it.

        The zones are tried in rotation, as the cloud may have no machines in one of them.
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
        return zones[int(waited_s / RENTAL_ZONE_INTERVAL_S) % len(zones)]


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
