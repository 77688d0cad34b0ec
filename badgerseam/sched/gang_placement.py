"""All-or-nothing placement of a replica that spans several machines.

The tasks are identical, so a machine is described by how many of them it can take, and sums of
these counts show whether a partial choice can still be completed with the remaining machines.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import NamedTuple

from badgerseam.model.resources import NOTHING, Resources
from badgerseam.sched.placement import OnUnplaced, RequestPlacement, TaskPlacement, Victim
from badgerseam.sched.predicates import failed_job_predicates
from badgerseam.sched.preemption import may_evict, may_preempt, possible_eviction
from badgerseam.sched.scoring import START_S, fetch_s, machine_score
from badgerseam.sched.snapshot import GangRules, GangStart, MachineSnapshot, Request
from badgerseam.sched.tentative_state import TentativeState


@dataclass(slots=True)
class MachineCapacity:
    """The number of tasks of the replica that the machine at a position can take."""

    position: int
    count: int
    has_members: bool = False
    """Whether members of the replica run on this machine and stay there."""


class _GangPositions(NamedTuple):
    """The chosen machine position for each task of a replica."""

    ready_s: float
    """Seconds until the slowest task runs."""
    positions: list[int]


def choose_positions(
    capacities: list[MachineCapacity],
    count: int,
    used_machines: int,
    min_machines: int,
    max_machines: int | None,
) -> list[int]:
    """Chooses a position for each of `count` tasks; empty if they cannot all be placed.

    Earlier entries of `capacities` are preferred. `used_machines` is the number of machines with
    members that stay. The complete replica has to span `min_machines` to `max_machines` machines. A
    machine is only chosen if the remaining tasks can still be placed afterwards.
    """
    positions: list[int] = []
    for index, capacity in enumerate(capacities):
        if len(positions) >= count:
            break
        remaining = capacities[index + 1 :]
        machines = used_machines + (not capacity.has_members)
        for tasks in range(min(capacity.count, count - len(positions)), 0, -1):
            left = count - len(positions) - tasks
            if _can_complete(remaining, left, machines, min_machines, max_machines):
                positions += [capacity.position] * tasks
                used_machines = machines
                break
    is_complete = len(positions) == count and used_machines >= min_machines
    return positions if is_complete else []


def _can_complete(
    capacities: list[MachineCapacity],
    count: int,
    used_machines: int,
    min_machines: int,
    max_machines: int | None,
) -> bool:
    """Whether `count` more tasks can be placed within the bounds on the number of machines."""
    if max_machines is not None and used_machines > max_machines:
        return False
    missing_machines = max(0, min_machines - used_machines)
    if missing_machines > count:
        return False
    new = sorted((item.count for item in capacities if not item.has_members), reverse=True)
    if len(new) < missing_machines:
        return False
    if max_machines is not None:
        new = new[: max_machines - used_machines]
    # Comparing sums is sufficient: if the largest machines hold all tasks but are fewer than
    # required, tasks can be moved to the missing machines, one to each.
    return sum(new) + sum(item.count for item in capacities if item.has_members) >= count


def place(state: TentativeState, request: Request, on_unplaced: OnUnplaced | None = None) -> int:
    """Places all or none of the tasks of a replica's request; returns how many will be started."""
    rules = request.gang_rules
    assert rules is not None
    if request.count <= 0:
        return 0
    search = _GangSearch(state, request, rules)
    search.release_reserved()
    is_within_limit = rules.reserve_only or _within_limit(state, request)
    if is_within_limit and search.place_soonest():
        return 0 if rules.reserve_only or search.moves_whole else request.count
    search.reserve_again()
    if on_unplaced is not None:
        on_unplaced(request.zone_counts, min(request.count - 1, search.max_placeable))
    if is_within_limit and not rules.reserve_only:
        waiting = state.result.waiting
        waiting[request.job] = waiting.get(request.job, 0) + request.count
    return 0


def _within_limit(state: TentativeState, request: Request) -> bool:
    return state.teams[request.team].allows(request.demand.times(request.count))


class _GangSearch:
    """Searches machines for the tasks of one replica."""

    def __init__(self, state: TentativeState, request: Request, rules: GangRules) -> None:
        self._state = state
        self._request = request
        self._rules = rules
        self.max_placeable = 0
        """The largest number of tasks for which any set of machines had capacity."""
        self.moves_whole = False
        """Whether the whole replica is to be moved."""

    # ---- reserved capacity ----

    def release_reserved(self) -> None:
        """Makes the capacity that is reserved for the replica available to it."""
        for position in self._reserved_positions():
            node = self._state.mutable_node(position)
            node.free = node.free.plus(self._request.demand)
            self._state.on_capacity_changed(position)

    def reserve_again(self) -> None:
        """Takes the reserved capacity away from other requests again."""
        for position in self._reserved_positions():
            node = self._state.mutable_node(position)
            node.free = node.free.minus(self._request.demand)
            self._state.on_capacity_changed(position)

    def _reserved_positions(self) -> list[int]:
        reserved = self._rules.reserved_machines
        if not reserved:
            return []
        positions = {node.index: position for position, node in enumerate(self._state.nodes)}
        return [positions[index] for index in reserved if index in positions]

    # ---- search ----

    def place_soonest(self) -> bool:
        """Places the replica where it becomes ready soonest; returns False if it fits nowhere."""
        for evict in (False, True):
            if evict and not self._may_evict():
                break
            beside_staying = self._find_soonest(self._request, evict)
            if self._rules.may_move_whole and self._rules.staying_members and not evict:
                whole = self._request_for_whole()
                elsewhere = self._find_soonest(whole, evict)
                if elsewhere is not None and self._is_move_sooner(elsewhere, beside_staying):
                    self.moves_whole = True
                    return self._place_at(whole, elsewhere.positions, evict)
            if beside_staying is not None:
                return self._place_at(self._request, beside_staying.positions, evict)
        return False

    def _is_move_sooner(
        self, elsewhere: _GangPositions, beside_staying: _GangPositions | None
    ) -> bool:
        # A restart of the whole replica costs the members that stay the time to load their weights
        # again. Replacing a single member takes longer only if its image has to be fetched, while
        # the machines elsewhere already have it.
        return (
            beside_staying is None
            or elsewhere.ready_s + self._rules.stop_s < beside_staying.ready_s
        )

    def _request_for_whole(self) -> Request:
        """Returns a request for all tasks of the replica, including those that run."""
        zones = dict(self._request.zone_counts)
        for member in self._rules.staying_members:
            zones[member.zone] = zones.get(member.zone, 0) - 1
        return replace(
            self._request,
            count=self._rules.size,
            zone_counts={zone: count for zone, count in zones.items() if count > 0},
            gang_rules=replace(self._rules, staying_members=()),
        )

    def _may_evict(self) -> bool:
        # Nothing is evicted for a reservation: reservations exist only in the owner's memory, and
        # losing one would make the eviction pointless.
        return (
            self._state.may_evict
            and not self._rules.reserve_only
            and may_preempt(self._state, self._request)
        )

    def _find_soonest(self, request: Request, evict: bool) -> _GangPositions | None:
        """Returns the positions that are ready soonest, or with `evict` the first set that fits."""
        best: _GangPositions | None = None
        nodes = self._state.nodes
        for positions in self._machine_sets(request):
            # A replica is ready only when its slowest member is, so machines that already have the
            # image help only if all of the chosen ones do.
            with_image = [
                position for position in positions if request.image in nodes[position].images
            ]
            chosen = [] if evict else self._choose_among(request, with_image, evict)
            chosen = chosen or self._choose_among(request, positions, evict)
            if not chosen:
                continue
            ready_s = max(fetch_s(request, nodes[position]) for position in chosen) + START_S
            if best is None or ready_s < best.ready_s:
                best = _GangPositions(ready_s, chosen)
            if evict:
                break
        return best

    def _machine_sets(self, request: Request) -> Iterator[list[int]]:
        """Yields sets of allowed positions, one per zone or type where all tasks must share it."""
        rules = request.gang_rules
        assert rules is not None
        needs_one_zone = rules.same_zone or request.one_zone
        staying = rules.staying_members[0] if rules.staying_members else None
        sets: dict[tuple[str, str], list[int]] = {}
        for position, node in enumerate(self._state.nodes):
            if node.index in request.avoided_machines or failed_job_predicates(request, node):
                continue
            if staying is not None and needs_one_zone and node.zone != staying.zone:
                continue
            if staying is not None and rules.same_type and node.type != staying.type:
                continue
            key = (node.zone if needs_one_zone else "", node.type if rules.same_type else "")
            sets.setdefault(key, []).append(position)
        # The paper does not specify this order: spread the job over zones.
        for key in sorted(sets, key=lambda key: (request.zone_counts.get(key[0], 0), key)):
            yield sets[key]

    def _choose_among(self, request: Request, positions: list[int], evict: bool) -> list[int]:
        """Chooses a position for each task among those given; empty if the request does not fit."""
        rules = request.gang_rules
        assert rules is not None
        staying = {member.machine for member in rules.staying_members}
        ranked: list[tuple[tuple[float, ...], MachineCapacity]] = []
        for position in positions:
            node = self._state.nodes[position]
            cost = self._cost(node, request) if evict else 0.0
            if cost is None:
                continue
            free = self._free_after_evictions(node, request) if evict else node.free
            count = min(request.count, request.demand.count_in(free))
            if count > 0:
                capacity = MachineCapacity(position, count, node.index in staying)
                ranked.append(((cost, *machine_score(node, request)), capacity))
        ranked.sort(key=lambda item: (item[0], item[1].position))
        capacities = self._within_zone_limit(request, [capacity for _, capacity in ranked])
        self.max_placeable = max(self.max_placeable, sum(item.count for item in capacities))
        return choose_positions(
            capacities, request.count, len(staying), rules.min_machines, rules.max_machines
        )

    def _cost(self, node: MachineSnapshot, request: Request) -> float | None:
        """Returns the eviction cost of placing one task on a machine, or None if impossible."""
        if request.demand.fits_in(node.free):
            return 0.0
        eviction = possible_eviction(self._state, node, request)
        return None if eviction is None else eviction.cost(self._state)

    def _free_after_evictions(self, node: MachineSnapshot, request: Request) -> Resources:
        """Returns a machine's free capacity after all possible evictions.

        This is an upper bound: a claim to a guarantee may cover only some of these evictions.
        """
        state, free = self._state, node.free
        groups = state.eviction_groups
        for running in node.running:
            members = [running] if groups is None else groups.members_with(running)
            if all(may_evict(state, request, member, NOTHING) for member in members):
                free = free.plus(running.demand)
        return free

    def _within_zone_limit(
        self, request: Request, capacities: list[MachineCapacity]
    ) -> list[MachineCapacity]:
        """Reduces the capacities to the number of tasks that the job may have in each zone."""
        if request.zone_limit is None:
            return capacities
        remaining: dict[str, int] = {}
        found = []
        for capacity in capacities:
            zone = self._state.nodes[capacity.position].zone
            left = remaining.get(zone, request.zone_limit - request.zone_counts.get(zone, 0))
            if left > 0:
                count = min(capacity.count, left)
                found.append(MachineCapacity(capacity.position, count, capacity.has_members))
                remaining[zone] = left - count
        return found

    # ---- placement ----

    def _place_at(self, request: Request, positions: list[int], evict: bool) -> bool:
        """Places a task at each position; returns False and changes nothing if one does not fit.

        A task may not fit if the claim to a guarantee does not cover all of the evictions.
        """
        state, rules = self._state, self._rules
        only_reserves = rules.reserve_only or self.moves_whole
        placement = RequestPlacement(state, request, uses_quota=not only_reserves)
        for position in positions:
            victims = self._victims_at(position, request, evict)
            if victims is None:
                placement.undo()
                return False
            placement.add(TaskPlacement(position, victims))
        placement.commit()
        nodes = [state.nodes[position].index for position in positions]
        state.result.gang_starts.append(
            GangStart(request.job, rules.number, nodes, only_reserves, self.moves_whole)
        )
        return True

    def _victims_at(self, position: int, request: Request, evict: bool) -> list[Victim] | None:
        """Returns the victims for a task at a position, or None if it does not fit there."""
        state = self._state
        node = state.nodes[position]
        if request.demand.fits_in(node.free):
            return []
        eviction = possible_eviction(state, node, request) if evict else None
        if eviction is None:
            return None
        cost = eviction.cost(state)
        return [Victim(task, cost) for task in eviction.victims]
