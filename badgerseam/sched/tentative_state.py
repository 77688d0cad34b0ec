"""The machines and teams of a shard as a plan changes them."""

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
    """The machines and teams as a plan changes them; the snapshot's own are left alone.

    Machines are addressed by their position in the snapshot.
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
        """Positions of the machines on which the smallest request may fit, in order."""
        self.unplaced: list[Request] = []
        """Requests that could not be placed: one of the same kind and no less demand cannot be
        placed either."""
        self.changes = 0
        """Counts changes of machines; between two equal counts nothing has changed."""
        self.eviction_groups = EvictionGroups(self.nodes) if snapshot.has_gangs else None
        """Replicas that span machines; None if there are none."""

    def mutable_node(self, position: int) -> MachineSnapshot:
        """A machine that may be changed: a copy of the snapshot's own."""
        if position not in self._copied:
            self._copied.add(position)
            self.nodes[position] = self.nodes[position].copy()
        return self.nodes[position]

    def on_capacity_changed(self, position: int) -> None:
        """Note that the free capacity of a machine has changed."""
        self.changes += 1
        if self._min_demand.fits_in(self.nodes[position].free):
            if position not in self.with_free_capacity:
                self.with_free_capacity[position] = None
        else:
            self.with_free_capacity.pop(position, None)

    # ---- teams ----

    def within_limit(self, request: Request) -> bool:
        """Whether a task of the request is within its team's limit."""
        return self.teams[request.team].allows(request.demand)

    def within_guarantee(self, request: Request) -> bool:
        """Whether a task of the request is within its team's guarantee."""
        team = self.teams[request.team]
        return team.used.plus(request.demand).fits_in(team.guarantee)

    def others_exceed_guarantee(self, request: Request) -> bool:
        """Whether another team borrows capacity that the request's team may claim."""
        return self.within_guarantee(request) and any(
            index != request.team and not team.used.fits_in(team.guarantee)
            for index, team in self.teams.items()
        )

    def is_known_unplaceable(self, request: Request) -> bool:
        """Whether a request of this kind, with no more demand, could not be placed."""
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
        """The position of a victim's machine, if it is evicted for a task at `position`.

        That is the same machine, unless the victim is a member of a replica.
        """
        if victim.group is None or self.eviction_groups is None:
            return position
        return self.eviction_groups.position_of(victim)

    def evict(self, position: int, victim: RunningTask) -> None:
        """Evict a task from its machine, tentatively."""
        node = self.mutable_node(position)
        team = self.teams[victim.team]
        node.running.remove(victim)
        node.free = node.free.plus(victim.demand)
        team.used = team.used.minus(victim.demand)
        # Only its guarantee counts as given back: the victim is on its machine until it has ended.
        team.draining = team.draining.plus(victim.demand)
        node.low_slots -= slots_of(victim.demand)
        node.evictions += 1
        self.evicted += 1
        self.on_capacity_changed(position)

    def undo_eviction(self, position: int, victim: RunningTask) -> None:
        """Put a victim back on its machine."""
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
        """Place a task of the request on a machine, tentatively, and count it in `zones`."""
        node = self.mutable_node(position)
        node.free = node.free.minus(request.demand)
        _add_slots(node, request, slots_of(request.demand))
        zones[node.zone] = zones.get(node.zone, 0) + 1
        self.on_capacity_changed(position)

    def undo_placement(self, position: int, request: Request, zones: dict[str, int]) -> None:
        """Take a task of the request off a machine again."""
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
