"""Starts ahead of the queue: a checker over a plan and the snapshot that it was made from.

A jump is a start of lower-class work while work of a higher class and of the same rank, accepted
before it, waits that would have had that very room. What claims its team's guarantee goes first by
rule, and classes are those that jobs count as. The planner is not asked: the check looks at what
has come out.
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
    """The jumps of a plan, one a start at most.

    `rest`: of each job, tasks that wait beyond those that its request asked for.
    """
    requests = {request.job: request for request in snapshot.requests}
    waiting = Counter(result.waiting)
    waiting.update(rest or {})
    if not waiting or not result.starts:
        return []
    first = min((requests[job].priority_class for job in waiting if job in requests), default=0)
    placed: dict[int, list[pts.Request]] = {}
    claimed = _claimed(snapshot, result, requests)
    for start, claims in zip(result.starts, claimed, strict=True):
        request = requests[start.job]
        if request.priority_class > first and not claims:
            placed.setdefault(start.node, []).append(request)
    if not placed:
        return []
    after = {node.index: node for node in result.nodes}
    zones = _zones(requests, result, after)
    found = []
    for index, starts in placed.items():
        node = after[index]
        for request in starts:
            for job in waiting:
                other = requests.get(job)
                if other is None or not _before(other, request):
                    continue
                # Its room, and that of all that went after it in the queue to the same machine.
                room = node.free
                for lower in starts:
                    if _before(other, lower):
                        room = room.plus(lower.demand)
                if (
                    other.demand.fits_in(room)
                    and node.index not in other.avoided_machines
                    and not failed_job_predicates(other, node, zones.get(job, other.zone_counts))
                    and _within_limit(result, other, request)
                    and not (
                        other.gang
                        and not _whole_gang_fits(other, placed, after, result.teams[other.team])
                    )
                ):
                    found.append(PriorityInversion(request.job, index, job))
                    break
    return found


def _before(other: pts.Request, request: pts.Request) -> bool:
    return (
        other.rank == request.rank
        and other.priority_class < request.priority_class
        and other.queue_position < request.queue_position
    )


def _claimed(
    snapshot: pts.Snapshot, result: pts.Plan, requests: dict[int, pts.Request]
) -> list[bool]:
    """Of each start whether it was within its team's guarantee, those before it counted, and what
    was evicted left out. A gang is whole in it with its first task."""
    used = {index: team.used for index, team in snapshot.teams.items()}
    running = {task.key: task for node in snapshot.nodes for task in node.running}
    for stop in result.stops:
        victim = running[stop.key]
        used[victim.team] = used[victim.team].minus(victim.demand)
    found: list[bool] = []
    gangs: dict[int, bool] = {}
    for start in result.starts:
        request = requests[start.job]
        now = used[request.team].plus(request.demand)
        claims = now.fits_in(snapshot.teams[request.team].guarantee)
        found.append(gangs.setdefault(start.job, claims) if request.gang else claims)
        used[request.team] = now
    return found


def _within_limit(result: pts.Plan, other: pts.Request, request: pts.Request) -> bool:
    team = result.teams[other.team]
    used = team.used.minus(request.demand) if request.team == other.team else team.used
    return used.plus(other.demand).fits_in(team.limit)


def _whole_gang_fits(
    other: pts.Request,
    placed: dict[int, list[pts.Request]],
    after: dict[int, pts.MachineSnapshot],
    team: pts.TeamUse,
) -> bool:
    """Whether all of a gang would have had room without the lower starts."""
    zones = dict(other.zone_counts)
    left = other.count
    lowers = [lower for starts in placed.values() for lower in starts if _before(other, lower)]
    used = team.used.plus(other.demand.times(left))
    for lower in lowers:
        if lower.team == other.team:
            used = used.minus(lower.demand)
    if not used.fits_in(team.limit):
        return False
    for index, node in after.items():
        room: Resources = node.free
        for lower in placed.get(index, ()):
            if _before(other, lower):
                room = room.plus(lower.demand)
        while left and other.demand.fits_in(room) and node.index not in other.avoided_machines:
            if failed_job_predicates(other, node, zones):
                break
            room = room.minus(other.demand)
            zones[node.zone] = zones.get(node.zone, 0) + 1
            left -= 1
    return left <= 0


def _zones(
    requests: dict[int, pts.Request], result: pts.Plan, after: dict[int, pts.MachineSnapshot]
) -> dict[int, dict[str, int]]:
    """Where the tasks of jobs are after the plan, of those that it placed any of."""
    found: dict[int, dict[str, int]] = {}
    for start in result.starts:
        zones = found.setdefault(start.job, dict(requests[start.job].zone_counts))
        zone = after[start.node].zone
        zones[zone] = zones.get(zone, 0) + 1
    return found
