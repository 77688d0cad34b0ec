"""The working state of a plan: the machines and teams with its tentative changes."""

from __future__ import annotations

from badgerseam.model.resources import least_of
from badgerseam.sched.gang_eviction import EvictionGroups
from badgerseam.sched.snapshot import (
    MachineSnapshot,
    Plan,
    Request,
    RunningTask,
    Snapshot,
    TeamUse,
    slots_of,
)


class TentativeState:
    """The machines and teams of a snapshot with the tentative changes of a plan.

    Machines are copied before the first change, so the snapshot is not modified. They are addressed
    by their position in the snapshot.
    """

    def __init__(self, snapshot: Snapshot, may_evict: bool) -> None:
        self.may_evict = may_evict
        self.now = snapshot.now
        self.finished = snapshot.finished
        self.evicted = snapshot.evicted
        self.beta = snapshot.beta
        self.window_s = snapshot.window_s
        self.total_slots = sum(node.slots for node in snapshot.nodes) or 1.0
        self.nodes = list(snapshot.nodes)
        self.teams = {
            index: TeamUse(team.used, team.guarantee, team.limit, team.draining)
            for index, team in snapshot.teams.items()
        }
        self.result = Plan(nodes=self.nodes, teams=self.teams)
        self._copied: set[int] = set()
        self._min_demand = least_of(request.demand for request in snapshot.requests)
        self.with_free_capacity = {
            position: None
            for position, node in enumerate(self.nodes)
            if self._min_demand.fits_in(node.free)
        }
        """Positions of the machines on which the smallest demand may fit, in insertion order."""
        self.unplaced: list[Request] = []
        """Requests that could not be placed. An equivalent request with at least the same demand
        cannot be placed either."""
        self.changes = 0
        """Number of changes of machines so far; equal values mean that no machine has changed."""
        self.eviction_groups = EvictionGroups(self.nodes) if snapshot.has_gangs else None
        """The replicas that span machines; None if there are none."""

    def mutable_node(self, position: int) -> MachineSnapshot:
        """Returns a machine that may be modified: a copy of the one in the snapshot."""
        if position not in self._copied:
            self._copied.add(position)
            self.nodes[position] = self.nodes[position].copy()
        return self.nodes[position]

    def on_capacity_changed(self, position: int) -> None:
        """Updates the indices after a change of a machine's free capacity."""
        self.changes += 1
        if self._min_demand.fits_in(self.nodes[position].free):
            if position not in self.with_free_capacity:
                self.with_free_capacity[position] = None
        else:
            self.with_free_capacity.pop(position, None)

    # ---- teams ----

    def within_limit(self, request: Request) -> bool:
        """Whether one more task of the request is within its team's limit."""
        return self.teams[request.team].allows(request.demand)

    def within_guarantee(self, request: Request) -> bool:
        """Whether one more task of the request is within its team's guarantee."""
        team = self.teams[request.team]
        return team.used.plus(request.demand).fits_in(team.guarantee)

    def others_exceed_guarantee(self, request: Request) -> bool:
        """Whether another team uses capacity beyond its guarantee that the request's team may
        claim."""
        return self.within_guarantee(request) and any(
            index != request.team and not team.used.fits_in(team.guarantee)
            for index, team in self.teams.items()
        )

    def is_known_unplaceable(self, request: Request) -> bool:
        """Whether an equivalent request with at most this demand could not be placed before."""
        return any(
            other.demand.fits_in(request.demand)
            and other.rank >= request.rank
            and other.high >= request.high
            and other.team == request.team
            and (other.spot or not request.spot)
            for other in self.unplaced
        )

    # ---- tentative changes ----

    def position_of(self, victim: RunningTask, position: int) -> int:
        """Returns the position of the machine of a victim that is evicted for a task at `position`.

        That is the same machine unless the victim is a member of a replica.
        """
        if victim.group is None or self.eviction_groups is None:
            return position
        return self.eviction_groups.position_of(victim)

    def evict(self, position: int, victim: RunningTask) -> None:
        """Tentatively evicts a task from its machine."""
        node = self.mutable_node(position)
        team = self.teams[victim.team]
        node.running.remove(victim)
        node.free = node.free.plus(victim.demand)
        team.used = team.used.minus(victim.demand)
        # The victim no longer counts against the guarantee, but it still counts against the limit,
        # because it is on its machine until it has ended.
        team.draining = team.draining.plus(victim.demand)
        node.low_slots -= slots_of(victim.demand)
        node.evictions += 1
        self.evicted += 1
        self.on_capacity_changed(position)

    def undo_eviction(self, position: int, victim: RunningTask) -> None:
        """Undoes a tentative eviction."""
        node = self.mutable_node(position)
        team = self.teams[victim.team]
        node.running.append(victim)
        node.free = node.free.minus(victim.demand)
        team.used = team.used.plus(victim.demand)
        team.draining = team.draining.minus(victim.demand)
        node.low_slots += slots_of(victim.demand)
        node.evictions -= 1
        self.evicted -= 1
        self.on_capacity_changed(position)

    def place(self, position: int, request: Request, zones: dict[str, int]) -> None:
        """Tentatively places a task of the request on a machine, and counts it in `zones`."""
        node = self.mutable_node(position)
        node.free = node.free.minus(request.demand)
        _add_slots(node, request, slots_of(request.demand))
        zones[node.zone] = zones.get(node.zone, 0) + 1
        self.on_capacity_changed(position)

    def undo_placement(self, position: int, request: Request, zones: dict[str, int]) -> None:
        """Undoes a tentative placement of a task of the request."""
        node = self.mutable_node(position)
        node.free = node.free.plus(request.demand)
        _add_slots(node, request, -slots_of(request.demand))
        zones[node.zone] -= 1
        if not zones[node.zone]:
            del zones[node.zone]
        self.on_capacity_changed(position)


def _add_slots(node: MachineSnapshot, request: Request, slots: float) -> None:
    if request.high:
        node.high_slots += slots
    else:
        node.low_slots += slots
