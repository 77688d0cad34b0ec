"""The machines and teams as a plan changes them, and the rules of where a task may go.

Each rule stands here once: planning asks whether any of them bars a machine, an explanation
(`sched/diagnosis.py`) asks which.
"""

from __future__ import annotations

from enum import IntFlag
from functools import partial

from badgerseam.model.resources import NOTHING, Resources, least_of
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
    """The machines and teams as a plan changes them."""

    def __init__(self, snapshot: Snapshot, evict: bool) -> None:
        self.may_evict = evict
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
        self._own: set[int] = set()
        self._least = least_of(request.demand for request in snapshot.requests)
        self.with_free_capacity = {
            position: None
            for position, node in enumerate(self.nodes)
            if self._least.fits_in(node.free)
        }
        """Positions of the machines with room for the smallest request."""
        self.unplaced: list[Request] = []
        """Requests that found no room: what takes no less finds none either."""
        self.changes = 0
        """Counts what was pretended; between two equal counts nothing has changed."""
        self.eviction_groups = EvictionGroups(self.nodes) if snapshot.has_gangs else None
        """Replicas that span machines; None if there are none."""

    def node(self, position: int) -> MachineSnapshot:
        """A machine that may be changed: the snapshot's own is left alone."""
        if position not in self._own:
            self._own.add(position)
            self.nodes[position] = self.nodes[position].copy()
        return self.nodes[position]

    def on_capacity_changed(self, position: int) -> None:
        """A machine's room has changed, and with it what its team uses."""
        self.changes += 1
        if self._least.fits_in(self.nodes[position].free):
            if position not in self.with_free_capacity:
                self.with_free_capacity[position] = None
        else:
            self.with_free_capacity.pop(position, None)

    def within_limit(self, request: Request) -> bool:
        return self.teams[request.team].allows(request.demand)

    def within_guarantee(self, request: Request) -> bool:
        """Whether a task of the request is within its team's guarantee."""
        own = self.teams[request.team]
        return own.used.plus(request.demand).fits_in(own.guarantee)

    def others_exceed_guarantee(self, request: Request) -> bool:
        """Whether another team has anything that the request's team may claim."""
        return self.within_guarantee(request) and any(
            index != request.team and not team.used.fits_in(team.guarantee)
            for index, team in self.teams.items()
        )

    def is_known_unplaceable(self, request: Request) -> bool:
        """Whether a request like this one, and no larger, has found no room."""
        return any(
            other.demand.fits_in(request.demand)
            and other.rank >= request.rank
            and other.high >= request.high
            and other.team == request.team
            and (other.spot or not request.spot)
            for other in self.unplaced
        )


def position_of(bench: TentativeState, victim: RunningTask, position: int) -> int:
    """Where a victim is that is evicted for room at a position: there, or, as a member of a
    replica, on another of its machines."""
    if victim.group is None or bench.eviction_groups is None:
        return position
    return bench.eviction_groups.at(victim)


def evict_tentatively(bench: TentativeState, position: int, victim: RunningTask, sign: int) -> None:
    """Pretend that a victim has left its machine, or (-1) that it came back."""
    node = bench.node(position)
    other = bench.teams[victim.team]
    if sign > 0:
        node.running.remove(victim)
        node.free = node.free.plus(victim.demand)
        other.used = other.used.minus(victim.demand)
        # Only its guarantee counts as given back: the victim is on its machine until it has gone.
        other.draining = other.draining.plus(victim.demand)
    else:
        node.running.append(victim)
        node.free = node.free.minus(victim.demand)
        other.used = other.used.plus(victim.demand)
        other.draining = other.draining.minus(victim.demand)
    node.low_slots -= sign * slots_of(victim.demand)
    node.evictions += sign
    bench.evicted += sign
    bench.on_capacity_changed(position)


def place_tentatively(
    bench: TentativeState, position: int, request: Request, zones: dict[str, int], sign: int
) -> None:
    """Pretend that a task of the request is on a machine, or (-1) that it is not."""
    node = bench.node(position)
    if sign > 0:
        node.free = node.free.minus(request.demand)
    else:
        node.free = node.free.plus(request.demand)
    if request.high:
        node.high_slots += sign * slots_of(request.demand)
    else:
        node.low_slots += sign * slots_of(request.demand)
    count = zones.get(node.zone, 0) + sign
    if count:
        zones[node.zone] = count
    else:
        del zones[node.zone]
    bench.on_capacity_changed(position)


class Predicate(IntFlag):
    """What keeps a task off a machine. Bits, since several may hold at once."""

    TYPE = 1
    ZONE = 2
    SPOT = 4
    """The job may use ordinary machines only."""
    ONE_ZONE = 8
    """All of the job's tasks have to be where the first ones are."""
    SCATTER = 16
    """Half of the job's tasks are in the machine's zone already."""
    AVOIDED = 32
    """Tasks of the job have failed there."""
    SIZE = 64
    """A task is larger than the whole machine."""
    FREE_CAPACITY = 128
    """Others have the room, and none of them may be evicted for it."""
    LIMIT = 256
    """Of the team, wherever the machine is."""


# Plain numbers: a plan asks some hundred thousand times a second, and flags are slow.
_TYPE, _ZONE, _SPOT, _ONE_ZONE, _SCATTER = 1, 2, 4, 8, 16
_SHUNNED, _SIZE, _ROOM, _LIMIT = 32, 64, 128, 256


def failed_job_predicates(
    request: Request,
    node: MachineSnapshot,
    zones: dict[str, int] | None = None,
    every: bool = False,
) -> int:
    """Which of the job's own rules (bits of Bar) keep a task of it off the machine; 0 if none.

    `zones`: where its tasks are meanwhile, if not where the request says.
    `every`: all that do; otherwise the first one found is enough.
    """
    if zones is None:
        zones = request.zone_counts
    found = 0
    if request.types is not None and node.type not in request.types:
        if not every:
            return _TYPE
        found |= _TYPE
    if request.zone is not None and node.zone != request.zone:
        if not every:
            return _ZONE
        found |= _ZONE
    if node.spot and not request.spot:
        if not every:
            return _SPOT
        found |= _SPOT
    if request.one_zone and zones and node.zone not in zones:
        if not every:
            return _ONE_ZONE
        found |= _ONE_ZONE
    if request.zone_limit is not None and zones.get(node.zone, 0) >= request.zone_limit:
        if not every:
            return _SCATTER
        found |= _SCATTER
    return found


def job_rules_allow(
    request: Request, node: MachineSnapshot, zones: dict[str, int] | None = None
) -> bool:
    """Whether the job's own rules let a task of it start on the machine."""
    return not failed_job_predicates(request, node, zones)


class PredicateCheck:
    """All that keeps the next task of a request off machines, as a bench stands.

    A plan places a task on a machine exactly where there is none (tests/sched/test_diagnosis.py).
    """

    def __init__(self, bench: TentativeState, request: Request, zones: dict[str, int]) -> None:
        self._bench = bench
        self._request = request
        self._zones = zones
        self._limit = 0 if bench.within_limit(request) else _LIMIT
        self._evicts = bench.may_evict and (request.high or bench.others_exceed_guarantee(request))

    def failed(self, node: MachineSnapshot) -> int:
        """Bits of Bar; 0 if the task fits."""
        request = self._request
        found = self._limit | failed_job_predicates(request, node, self._zones, every=True)
        if node.index in request.avoided_machines:
            found |= _SHUNNED
        if request.demand.fits_in(node.free):
            return found
        if not request.demand.fits_in(node.total):
            return found | _SIZE
        if self._evicts and node.running and victims_on(self._bench, node, request):
            return found
        return found | _ROOM


def may_evict(
    bench: TentativeState, request: Request, victim: RunningTask, freed: Resources
) -> bool:
    """HP and LP are relative: a lower rank, or borrowed room when a team claims its own."""
    if not victim.is_evictable:
        return False
    if victim.rank < request.rank and request.high:
        return True
    if victim.team == request.team or victim.high or victim.rank > request.rank:
        # The protocol would let borrowed room of any rank be claimed. The paper never evicts HP
        # work: a replica stopped for another task waited for a minute where that one would have
        # waited for a boot.
        return False
    if not bench.within_guarantee(request):
        return False
    other = bench.teams[victim.team]
    # The other team has to stay beyond its guarantee up to this victim.
    return not other.used.minus(freed).fits_in(other.guarantee)


def victims_on(bench: TentativeState, node: MachineSnapshot, request: Request) -> list[RunningTask]:
    """Whose room on a machine would do for a task, the greatest waste spared; empty if none."""
    if bench.eviction_groups is not None:
        allowed = partial(may_evict, bench, request)
        return bench.eviction_groups.victims_on(node, request, bench.now, allowed)
    victims: list[RunningTask] = []
    freed: dict[int, Resources] = {}
    room = node.free
    for candidate in node.running:
        gone = freed.get(candidate.team, NOTHING)
        if may_evict(bench, request, candidate, gone):
            freed[candidate.team] = gone.plus(candidate.demand)
            victims.append(candidate)
            room = room.plus(candidate.demand)
    if not victims or not request.demand.fits_in(room):
        return []
    for candidate in sorted(victims, key=lambda victim: -victim.waste(bench.now)):
        if request.demand.fits_in(room.minus(candidate.demand)):
            room = room.minus(candidate.demand)
            victims.remove(candidate)
    return victims


def eviction_cost(bench: TentativeState, count: int, waste: float) -> float:
    evicted = bench.evicted + count
    rate = evicted / (bench.finished + evicted)
    return rate + bench.beta * waste / (bench.total_slots * bench.window_s)
