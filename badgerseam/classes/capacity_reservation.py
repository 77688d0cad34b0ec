"""Reserves capacity in a plan for higher classes: requests of lower classes avoid machines that are
needed for higher-class work which this plan does not place.

Pure functions over a snapshot.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from badgerseam.model.job import HIGH_RANK
from badgerseam.model.resources import Resources
from badgerseam.sched import pts


@dataclass(slots=True)
class ReservedCapacity:
    """Tasks of a class for which capacity is reserved."""

    priority_class: int
    rank: int
    demand: Resources
    """The resources that one task needs."""
    spot: bool
    """Whether they may run on spot machines."""
    count: int
    request: pts.Request | None = None
    """The request of the waiting job that the tasks belong to, whose predicates apply; None for
    tasks that are only expected."""
    all_feasible: bool = False
    """Whether to reserve every machine that fits a task, instead of only enough for `count`
    tasks."""
    empty_only: bool = False
    """Whether to reserve only empty machines, because they have to be transferred to another
    shard."""


def reserve(snapshot: pts.Snapshot, reservations: list[ReservedCapacity]) -> set[int]:
    """Makes the snapshot's requests of lower classes avoid the reserved machines.

    Returns the machines that at least one request now avoids. Requests within their team's
    guarantee and requests of a higher rank are not restricted.
    """
    lowest_class = max((request.priority_class for request in snapshot.requests), default=0)
    reserved: list[tuple[ReservedCapacity, set[int]]] = []
    for entry in reservations:
        if entry.priority_class < lowest_class:
            machines = _machines(snapshot.nodes, entry)
            if machines:
                reserved.append((entry, machines))
    if not reserved:
        return set()
    requests = []
    avoided_by_any: set[int] = set()
    for request in snapshot.requests:
        avoided: set[int] = set()
        for entry, machines in reserved:
            if _yields_to(request, entry):
                avoided |= machines
        if avoided and not is_within_guarantee(snapshot, request):
            avoided_by_any |= avoided
            request = replace(request, avoided_machines=request.avoided_machines | avoided)
        requests.append(request)
    snapshot.requests = requests
    return avoided_by_any


def is_within_guarantee(snapshot: pts.Snapshot, request: pts.Request) -> bool:
    """Whether one more task of the request is within its team's guarantee."""
    team = snapshot.teams[request.team]
    return team.used.plus(request.demand).fits_in(team.guarantee)


def _yields_to(request: pts.Request, entry: ReservedCapacity) -> bool:
    """Whether a request has to avoid the machines of a reservation."""
    if request.priority_class <= entry.priority_class or request.rank > entry.rank:
        return False
    # High-priority work preempts work of lower ranks, so nothing is reserved against them.
    return request.rank == entry.rank or entry.rank < HIGH_RANK


def _machines(nodes: list[pts.MachineSnapshot], entry: ReservedCapacity) -> set[int]:
    """Returns the machines to reserve: enough for the tasks, starting with those that have the
    least free capacity."""
    feasible = [node for node in nodes if _is_feasible(node, entry)]
    if entry.all_feasible:
        return {node.index for node in feasible}
    machines: set[int] = set()
    remaining = entry.count
    for node in sorted(feasible, key=lambda node: (node.idle_slots, node.index)):
        if remaining <= 0:
            break
        machines.add(node.index)
        remaining -= entry.demand.count_in(node.free)
    return machines


def _is_feasible(node: pts.MachineSnapshot, entry: ReservedCapacity) -> bool:
    """Whether a machine can hold one of the tasks now."""
    if not entry.demand.fits_in(node.free):
        return False
    if entry.empty_only and node.free != node.total:
        return False
    if entry.request is None:
        return entry.spot or not node.spot
    return node.index not in entry.request.avoided_machines and pts.job_rules_allow(
        entry.request, node
    )
