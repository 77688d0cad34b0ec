"""Placement of a replica that spans machines: all of its tasks that need room, or none.

Its tasks are alike, so that a machine counts by how many of them it takes, and whether a choice can
still be completed with the machines that are left is a matter of sums.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from badgerseam.model.resources import Resources
from badgerseam.sched.snapshot import GangStart, MachineSnapshot, Request, RunningTask, TaskStop
from badgerseam.sched.tentative_state import (
    TentativeState,
    evict_tentatively,
    eviction_cost,
    failed_job_predicates,
    may_evict,
    place_tentatively,
    position_of,
    victims_on,
)

START_S = 0.3
"""What a start takes besides the fetch."""
Score = Callable[[MachineSnapshot, Request], tuple[float, ...]]
OnUnplaced = Callable[[dict[str, int], int], None]


@dataclass(slots=True)
class MachineCapacity:
    """A machine and how many tasks it takes, those in whose order it is chosen first."""

    position: int
    count: int
    has_members: bool = False
    """The replica has members there that stay."""


def choose_positions(
    rooms: list[MachineCapacity], count: int, distinct: int, least: int, most: int | None
) -> list[int]:
    """The position for each of so many tasks, the first rooms preferred; empty if there is none.

    `distinct`: machines that the replica has already; it spans `least` to `most` in the end.
    A room is only taken if the tasks that are left can still be placed.
    """
    taken: list[int] = []
    for index, room in enumerate(rooms):
        if len(taken) >= count:
            break
        behind = rooms[index + 1 :]
        spans = distinct + (not room.has_members)
        for tasks in range(min(room.count, count - len(taken)), 0, -1):
            if _completes(behind, count - len(taken) - tasks, spans, least, most):
                taken += [room.position] * tasks
                distinct = spans
                break
    return taken if len(taken) == count and distinct >= least else []


def _completes(
    rooms: list[MachineCapacity], count: int, distinct: int, least: int, most: int | None
) -> bool:
    if most is not None and distinct > most:
        return False
    lacking = max(0, least - distinct)
    if lacking > count:
        return False
    fresh = sorted((room.count for room in rooms if not room.has_members), reverse=True)
    if len(fresh) < lacking:
        return False
    if most is not None:
        fresh = fresh[: most - distinct]
    # Where more machines are wanted than the largest rooms need, one task goes to each of them.
    return sum(fresh) + sum(room.count for room in rooms if room.has_members) >= count


def place(
    bench: TentativeState, request: Request, score: Score, look: OnUnplaced | None = None
) -> int:
    """Place the tasks of a replica's request, all or none; how many were placed."""
    span = request.gang_rules
    assert span is not None
    if request.count <= 0:
        return 0
    taker = _GangSearch(bench, request, score)
    taker.reserve(-1)
    within = span.reserve_only or _within_limit(bench, request)
    found = within and taker.place_soonest()
    if not found:
        taker.reserve(1)
        if look is not None:
            look(request.zone_counts, min(request.count - 1, taker.reached))
        if within and not span.reserve_only:
            waiting = bench.result.waiting
            waiting[request.job] = waiting.get(request.job, 0) + request.count
        return 0
    return 0 if span.reserve_only or taker.anew else request.count


def _within_limit(bench: TentativeState, request: Request) -> bool:
    return bench.teams[request.team].allows(request.demand.times(request.count))


class _GangSearch:
    """One request's search."""

    def __init__(self, bench: TentativeState, request: Request, score: Score) -> None:
        assert request.gang_rules is not None
        self._bench = bench
        self._request = request
        self._span = request.gang_rules
        self._score = score
        self.reached = 0
        self.anew = False
        """All of the replica is to be moved."""

    def reserve(self, sign: int) -> None:
        """Keep the room from others that is held for the replica, or (-1) give it back to it."""
        if not self._span.reserved_positions:
            return
        bench, need = self._bench, self._request.demand
        positions = {node.index: position for position, node in enumerate(bench.nodes)}
        for index in self._span.reserved_positions:
            if index in positions:
                node = bench.node(positions[index])
                node.free = node.free.minus(need) if sign > 0 else node.free.plus(need)
                bench.on_capacity_changed(positions[index])

    def place_soonest(self) -> bool:
        """Take the room that has the replica up the soonest; False if there is none."""
        request, span = self._request, self._span
        for evict in (False, True):
            if evict and not self._may_evict():
                break
            keep = self._best(request, evict)
            if span.may_move_whole and span.reserved and not evict:
                whole = self._request_for_whole()
                anew = self._best(whole, evict)
                # The weights of those that stay are what a restart costs: replacing one is slower
                # only where its image has to come from afar and is there already elsewhere.
                if anew and (not keep or anew[0] + span.stop_s < keep[0]):
                    self.anew = True
                    return self._place_at(whole, anew[1], evict)
            if keep:
                return self._place_at(request, keep[1], evict)
        return False

    def _request_for_whole(self) -> Request:
        span = self._span
        zones = dict(self._request.zone_counts)
        for _, zone, _ in span.reserved:
            zones[zone] = zones.get(zone, 0) - 1
        return replace(
            self._request,
            count=span.size,
            zone_counts={zone: count for zone, count in zones.items() if count > 0},
            gang_rules=replace(span, reserved=()),
        )

    def _may_evict(self) -> bool:
        bench, request = self._bench, self._request
        # What is to be reserved takes nobody's room: it would be lost with the owner's memory that
        # somebody was stopped for it.
        return (
            bench.may_evict
            and not self._span.reserve_only
            and (request.high or bench.others_exceed_guarantee(request))
        )

    def _variants(self, request: Request) -> Iterator[list[int]]:
        """The machines that may serve, by zone and type where these have to be one."""
        bench, span = self._bench, self._span
        assert request.gang_rules is not None
        kept = request.gang_rules.reserved
        zoned = span.same_zone or request.one_zone
        parts: dict[tuple[str, str], list[int]] = {}
        for position, node in enumerate(bench.nodes):
            if node.index in request.avoided_machines or failed_job_predicates(request, node):
                continue
            if kept and zoned and node.zone != kept[0][1]:
                continue
            if kept and span.same_type and node.type != kept[0][2]:
                continue
            key = (node.zone if zoned else "", node.type if span.same_type else "")
            parts.setdefault(key, []).append(position)
        # Left open by the design: spread over zones.
        for key in sorted(parts, key=lambda key: (request.zone_counts.get(key[0], 0), key)):
            yield parts[key]

    def _best(self, request: Request, evict: bool) -> tuple[float, list[int]] | None:
        """Seconds until the tasks run, and the position of each; the least such of all variants,
        or with `evict` the first."""
        best: tuple[float, list[int]] | None = None
        nodes = self._bench.nodes
        for positions in self._variants(request):
            # It is up when its slowest member is: an image on all machines but one is of no use.
            there = [spot for spot in positions if request.image in nodes[spot].images]
            found = [] if evict else self._fill_positions(request, there, evict)
            found = found or self._fill_positions(request, positions, evict)
            if found:
                ready_s = max(fetch_s(request, nodes[spot]) for spot in found) + START_S
                if best is None or ready_s < best[0]:
                    best = ready_s, found
                if evict:
                    break
        return best

    def _fill_positions(self, request: Request, positions: list[int], evict: bool) -> list[int]:
        bench, span = self._bench, request.gang_rules
        assert span is not None
        staying = {index for index, _, _ in span.reserved}
        rooms: list[tuple[tuple[float, ...], MachineCapacity]] = []
        for position in positions:
            node = bench.nodes[position]
            free, cost = node.free, 0.0
            if evict and not request.demand.fits_in(free):
                victims = victims_on(bench, node, request)
                if not victims:
                    continue
                waste = sum(victim.waste(bench.now) for victim in victims)
                cost = eviction_cost(bench, len(victims), waste)
            if evict:
                free = self._with_victims(node, request)
            count = min(request.count, request.demand.count_in(free))
            if count > 0:
                key = (cost, *self._score(node, request))
                rooms.append((key, MachineCapacity(position, count, node.index in staying)))
        rooms.sort(key=lambda item: (item[0], item[1].position))
        ordered = self._within_zones(request, [room for _, room in rooms])
        self.reached = max(self.reached, sum(room.count for room in ordered))
        return choose_positions(
            ordered, request.count, len(staying), span.min_machines, span.max_machines
        )

    def _with_victims(self, node: MachineSnapshot, request: Request) -> Resources:
        """A machine's room if all went that may be evicted; a claim may have less of it."""
        bench, free = self._bench, node.free
        for running in node.running:
            unit = (
                [running]
                if bench.eviction_groups is None
                else bench.eviction_groups.members_with(running)
            )
            if all(may_evict(bench, request, v, Resources(0.0, 0.0, 0.0)) for v in unit):
                free = free.plus(running.demand)
        return free

    def _within_zones(
        self, request: Request, rooms: list[MachineCapacity]
    ) -> list[MachineCapacity]:
        """The rooms cut to what the job may have in their zones (`scatter`)."""
        if request.zone_limit is None:
            return rooms
        left: dict[str, int] = {}
        found = []
        for room in rooms:
            zone = self._bench.nodes[room.position].zone
            most = left.get(zone, request.zone_limit - request.zone_counts.get(zone, 0))
            if most > 0:
                found.append(
                    MachineCapacity(room.position, min(room.count, most), room.has_members)
                )
                left[zone] = most - found[-1].count
        return found

    def _place_at(self, request: Request, spots: list[int], evict: bool) -> bool:
        """Pretend it, victims first; False with all as before if a claim does not reach so far."""
        bench, span = self._bench, self._span
        zones = dict(request.zone_counts)
        team = bench.teams[request.team]
        uses = not (span.reserve_only or self.anew)
        steps: list[tuple[int, list[tuple[RunningTask, float]]]] = []
        for spot in spots:
            victims: list[tuple[RunningTask, float]] = []
            if not request.demand.fits_in(bench.nodes[spot].free):
                found = victims_on(bench, bench.nodes[spot], request) if evict else []
                if not found:
                    break
                waste = sum(victim.waste(bench.now) for victim in found)
                cost = eviction_cost(bench, len(found), waste)
                victims = [(victim, cost) for victim in found]
            for victim, _ in victims:
                evict_tentatively(bench, position_of(bench, victim, spot), victim, 1)
            place_tentatively(bench, spot, request, zones, 1)
            if uses:
                team.used = team.used.plus(request.demand)
            steps.append((spot, victims))
        if len(steps) < len(spots):
            for spot, victims in reversed(steps):
                if uses:
                    team.used = team.used.minus(request.demand)
                place_tentatively(bench, spot, request, zones, -1)
                for victim, _ in reversed(victims):
                    evict_tentatively(bench, position_of(bench, victim, spot), victim, -1)
            return False
        bench.unplaced = [other for other in bench.unplaced if other.team == request.team]
        for _, victims in steps:
            if victims:
                bench.unplaced.clear()
            bench.result.stops += [
                TaskStop(victim.key, cost, request.wait_s, request.job) for victim, cost in victims
            ]
        nodes = [bench.nodes[spot].index for spot in spots]
        bench.result.gang_starts.append(
            GangStart(request.job, span.number, nodes, span.reserve_only or self.anew, self.anew)
        )
        return True


def fetch_s(request: Request, node: MachineSnapshot) -> float:
    """How long the image takes to a machine, as stated; 0 if it is there."""
    if request.image in node.images:
        return 0.0
    return request.image_gb / max(node.fetch_gb_per_s, 1e-3)
