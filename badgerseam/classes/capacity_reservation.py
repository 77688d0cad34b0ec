"""Room that lower classes may not take in a plan, though nothing of a higher one is placed there:
pure functions over a snapshot."""

from __future__ import annotations

from dataclasses import dataclass, replace

from badgerseam.model.job import HIGH_RANK
from badgerseam.model.resources import Resources
from badgerseam.sched import pts


@dataclass(slots=True)
class ReservedCapacity:
    """Tasks of a class that room is kept for."""

    priority_class: int
    rank: int
    demand: Resources
    spot: bool
    """They may use spot machines."""
    count: int
    request: pts.Request | None = None
    """The rules of their job, if they are of one that waits."""
    every: bool = False
    """All room that would do is kept, not only enough."""
    whole: bool = False
    """Only empty machines will do: they have to be passed on to another share."""


def reserve(snapshot: pts.Snapshot, kept: list[ReservedCapacity]) -> set[int]:
    """Have the snapshot's requests of lower classes shun the machines that are kept; these.

    A team that claims what it is guaranteed is not held back, and neither is work of a higher rank.
    """
    held: list[tuple[ReservedCapacity, set[int]]] = []
    lowest = max((request.priority_class for request in snapshot.requests), default=0)
    for entry in kept:
        if entry.priority_class < lowest:
            found = _machines(snapshot.nodes, entry)
            if found:
                held.append((entry, found))
    if not held:
        return set()
    requests = []
    taken: set[int] = set()
    for request in snapshot.requests:
        barred: set[int] = set()
        for entry, machines in held:
            if _behind(request, entry):
                barred |= machines
        if barred and not claims(snapshot, request):
            taken |= barred
            request = replace(request, avoided_machines=request.avoided_machines | barred)
        requests.append(request)
    snapshot.requests = requests
    return taken


def claims(snapshot: pts.Snapshot, request: pts.Request) -> bool:
    """Whether a task of the request is within its team's guarantee."""
    team = snapshot.teams[request.team]
    return team.used.plus(request.demand).fits_in(team.guarantee)


def _behind(request: pts.Request, entry: ReservedCapacity) -> bool:
    if request.priority_class <= entry.priority_class or request.rank > entry.rank:
        return False
    # High-priority work evicts what is of a lower rank: nothing need be kept from that.
    return request.rank == entry.rank or entry.rank < HIGH_RANK


def _machines(nodes: list[pts.MachineSnapshot], entry: ReservedCapacity) -> set[int]:
    """Machines whose free room is enough for the tasks, the smallest rooms that do first."""
    fitting = [
        node
        for node in nodes
        if entry.demand.fits_in(node.free)
        and (not entry.whole or node.free == node.total)
        and (
            (entry.spot or not node.spot)
            if entry.request is None
            else node.index not in entry.request.avoided_machines
            and pts.job_rules_allow(entry.request, node)
        )
    ]
    if entry.every:
        return {node.index for node in fitting}
    found: set[int] = set()
    left = entry.count
    for node in sorted(fitting, key=lambda node: (node.idle_slots, node.index)):
        if left <= 0:
            break
        found.add(node.index)
        left -= entry.demand.count_in(node.free)
    return found
