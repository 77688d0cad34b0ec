"""Finds priority inversions of a plan, by the snapshot that it was made from.

A priority inversion is a start of lower-class work while work of a higher class and of the same
rank, accepted before it, waits that would have fitted the same capacity. What claims its team's
guarantee goes first by rule, and classes are those that jobs count as. The planner is not involved:
the check uses only its result.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from badgerseam.model.resources import Resources
from badgerseam.sched import pts
from badgerseam.sched.predicates import failed_job_predicates


@dataclass(frozen=True, slots=True)
class PriorityInversion:
    """A start of one job on a machine, and the job that it went ahead of (indices)."""

    job: int
    node: int
    ahead_of: int


def find_inversions(
    snapshot: pts.Snapshot, result: pts.Plan, rest: dict[int, int] | None = None
) -> list[PriorityInversion]:
    """The priority inversions of a plan, at most one for each start.

    `rest`: of each job, tasks that wait beyond those that its request asked for.
    """
    waiting = Counter(result.waiting)
    waiting.update(rest or {})
    if not waiting or not result.starts:
        return []
    return _InversionCheck(snapshot, result, list(waiting)).inversions()


class _InversionCheck:
    """One plan, with its starts that may be priority inversions."""

    def __init__(self, snapshot: pts.Snapshot, result: pts.Plan, waiting: list[int]) -> None:
        self._result = result
        self._requests = {request.job: request for request in snapshot.requests}
        self._waiting = [self._requests[job] for job in waiting if job in self._requests]
        self._starts = self._suspect_starts(snapshot)
        self._machines = {node.index: node for node in result.nodes}

    def inversions(self) -> list[PriorityInversion]:
        """At most one for each start."""
        if not self._starts:
            return []
        zones = self._zone_counts()
        inversions = []
        for index, starts in self._starts.items():
            for request in starts:
                for other in self._waiting:
                    zone_counts = zones.get(other.job, other.zone_counts)
                    if self._is_inversion(request, other, self._machines[index], zone_counts):
                        inversions.append(PriorityInversion(request.job, index, other.job))
                        break
        return inversions

    def _suspect_starts(self, snapshot: pts.Snapshot) -> dict[int, list[pts.Request]]:
        """By machine, the starts of a lower class than the highest that waits, except those that
        claim a guarantee."""
        highest = min((request.priority_class for request in self._waiting), default=0)
        claimed = _claimed(snapshot, self._result, self._requests)
        suspects: dict[int, list[pts.Request]] = {}
        for start, is_claimed in zip(self._result.starts, claimed, strict=True):
            request = self._requests[start.job]
            if request.priority_class > highest and not is_claimed:
                suspects.setdefault(start.node, []).append(request)
        return suspects

    def _zone_counts(self) -> dict[int, dict[str, int]]:
        """Where the tasks of jobs are after the plan, of those that it placed any of."""
        zones: dict[int, dict[str, int]] = {}
        for start in self._result.starts:
            counts = zones.setdefault(start.job, dict(self._requests[start.job].zone_counts))
            zone = self._machines[start.node].zone
            counts[zone] = counts.get(zone, 0) + 1
        return zones

    def _is_inversion(
        self,
        request: pts.Request,
        other: pts.Request,
        machine: pts.MachineSnapshot,
        zone_counts: dict[str, int],
    ) -> bool:
        """Whether a start of a request on a machine went ahead of another job's tasks."""
        return (
            _goes_before(other, request)
            and other.demand.fits_in(self._capacity_for(other, machine))
            and machine.index not in other.avoided_machines
            and not failed_job_predicates(other, machine, zone_counts)
            and self._is_within_limit(other, request)
            and (not other.gang or self._gang_fits(other))
        )

    def _capacity_for(self, other: pts.Request, machine: pts.MachineSnapshot) -> Resources:
        """What a machine would have free for a job without the starts that went ahead of it."""
        capacity = machine.free
        for lower in self._starts.get(machine.index, ()):
            if _goes_before(other, lower):
                capacity = capacity.plus(lower.demand)
        return capacity

    def _is_within_limit(self, other: pts.Request, request: pts.Request) -> bool:
        """Whether a task of the other job, in place of one of the request, is within its team's
        limit."""
        team = self._result.teams[other.team]
        used = team.used.minus(request.demand) if request.team == other.team else team.used
        return used.plus(other.demand).fits_in(team.limit)

    def _gang_fits(self, gang: pts.Request) -> bool:
        """Whether a whole gang would have fitted without the starts that went ahead of it."""
        return self._gang_is_within_limit(gang) and self._gang_has_machines(gang)

    def _gang_is_within_limit(self, gang: pts.Request) -> bool:
        team = self._result.teams[gang.team]
        used = team.used.plus(gang.demand.times(gang.count))
        for starts in self._starts.values():
            for lower in starts:
                if _goes_before(gang, lower) and lower.team == gang.team:
                    used = used.minus(lower.demand)
        return used.fits_in(team.limit)

    def _gang_has_machines(self, gang: pts.Request) -> bool:
        zone_counts = dict(gang.zone_counts)
        remaining = gang.count
        for index, machine in self._machines.items():
            capacity = self._capacity_for(gang, machine)
            while remaining and gang.demand.fits_in(capacity):
                if index in gang.avoided_machines:
                    break
                if failed_job_predicates(gang, machine, zone_counts):
                    break
                capacity = capacity.minus(gang.demand)
                zone_counts[machine.zone] = zone_counts.get(machine.zone, 0) + 1
                remaining -= 1
        return remaining <= 0


def _goes_before(other: pts.Request, request: pts.Request) -> bool:
    """Whether another job comes before a request in the queue, by class."""
    return (
        other.rank == request.rank
        and other.priority_class < request.priority_class
        and other.queue_position < request.queue_position
    )


def _claimed(
    snapshot: pts.Snapshot, result: pts.Plan, requests: dict[int, pts.Request]
) -> list[bool]:
    """Of each start, in order, whether it was within its team's guarantee.

    Earlier starts count as used, the plan's victims do not. A gang is whole within the guarantee
    with its first task.
    """
    used = {index: team.used for index, team in snapshot.teams.items()}
    running = {task.key: task for node in snapshot.nodes for task in node.running}
    for stop in result.stops:
        victim = running[stop.key]
        used[victim.team] = used[victim.team].minus(victim.demand)
    claimed: list[bool] = []
    gangs: dict[int, bool] = {}
    for start in result.starts:
        request = requests[start.job]
        used_with_start = used[request.team].plus(request.demand)
        is_claimed = used_with_start.fits_in(snapshot.teams[request.team].guarantee)
        claimed.append(gangs.setdefault(start.job, is_claimed) if request.gang else is_claimed)
        used[request.team] = used_with_start
    return claimed
