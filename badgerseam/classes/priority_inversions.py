"""Finds priority inversions in a plan, given the snapshot that the plan was made from.

A priority inversion is a start of lower-class work while higher-class work of the same rank, which
was accepted before it and would have fitted into the same capacity, keeps waiting. Starts within
their team's guarantee are no inversions, since they go first by rule. Classes are the effective
ones, after ageing. The check is independent of the planner: it uses only the planner's result.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from badgerseam.model.resources import Resources
from badgerseam.sched import pts
from badgerseam.sched.predicates import failed_job_predicates


@dataclass(frozen=True, slots=True)
class PriorityInversion:
    """A start of one job on a machine, and the waiting job that it overtook (all three as
    indices)."""

    job: int
    node: int
    ahead_of: int


def find_inversions(
    snapshot: pts.Snapshot, result: pts.Plan, rest: dict[int, int] | None = None
) -> list[PriorityInversion]:
    """Returns the priority inversions of a plan, at most one for each start.

    `rest`: the number of waiting tasks, by job, beyond those in the job's request.
    """
    waiting = Counter(result.waiting)
    waiting.update(rest or {})
    if not waiting or not result.starts:
        return []
    return _InversionCheck(snapshot, result, list(waiting)).inversions()


class _InversionCheck:
    """Checks the starts of one plan that may be priority inversions."""

    def __init__(self, snapshot: pts.Snapshot, result: pts.Plan, waiting: list[int]) -> None:
        self._result = result
        self._requests = {request.job: request for request in snapshot.requests}
        self._waiting = [self._requests[job] for job in waiting if job in self._requests]
        self._starts = self._candidate_starts(snapshot)
        self._machines = {node.index: node for node in result.nodes}

    def inversions(self) -> list[PriorityInversion]:
        """Returns the priority inversions, at most one for each start."""
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

    def _candidate_starts(self, snapshot: pts.Snapshot) -> dict[int, list[pts.Request]]:
        """Returns, by machine, the starts of a lower class than the highest class that waits,
        except those within their team's guarantee."""
        highest = min((request.priority_class for request in self._waiting), default=0)
        within_guarantee = _starts_within_guarantee(snapshot, self._result, self._requests)
        candidates: dict[int, list[pts.Request]] = {}
        for start, is_within_guarantee in zip(self._result.starts, within_guarantee, strict=True):
            request = self._requests[start.job]
            if request.priority_class > highest and not is_within_guarantee:
                candidates.setdefault(start.node, []).append(request)
        return candidates

    def _zone_counts(self) -> dict[int, dict[str, int]]:
        """Returns the number of tasks in each zone after the plan, for the jobs of which the plan
        starts tasks."""
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
        """Whether a start of a request on a machine overtook another job's tasks."""
        return (
            _goes_before(other, request)
            and other.demand.fits_in(self._capacity_for(other, machine))
            and machine.index not in other.avoided_machines
            and not failed_job_predicates(other, machine, zone_counts)
            and self._is_within_limit(other, request)
            and (not other.gang or self._gang_fits(other))
        )

    def _capacity_for(self, other: pts.Request, machine: pts.MachineSnapshot) -> Resources:
        """Returns the capacity that a machine would have free for a job without the starts that
        overtook it."""
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
        """Whether a whole gang would have fitted without the starts that overtook it."""
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
    """Whether another job precedes a request in the queue because of its higher class."""
    return (
        other.rank == request.rank
        and other.priority_class < request.priority_class
        and other.queue_position < request.queue_position
    )


def _starts_within_guarantee(
    snapshot: pts.Snapshot, result: pts.Plan, requests: dict[int, pts.Request]
) -> list[bool]:
    """Returns, for each start in order, whether it was within its team's guarantee.

    Earlier starts count towards the team's use; the plan's victims do not. If the first task of a
    gang is within the guarantee, the whole gang is.
    """
    used = {index: team.used for index, team in snapshot.teams.items()}
    running = {task.key: task for node in snapshot.nodes for task in node.running}
    for stop in result.stops:
        victim = running[stop.key]
        used[victim.team] = used[victim.team].minus(victim.demand)
    within_guarantee: list[bool] = []
    gangs: dict[int, bool] = {}
    for start in result.starts:
        request = requests[start.job]
        used_with_start = used[request.team].plus(request.demand)
        is_within_guarantee = used_with_start.fits_in(snapshot.teams[request.team].guarantee)
        within_guarantee.append(
            gangs.setdefault(start.job, is_within_guarantee)
            if request.gang
            else is_within_guarantee
        )
        used[request.team] = used_with_start
    return within_guarantee
