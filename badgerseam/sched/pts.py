"""PTS of the GFS paper: a snapshot goes in, a plan comes out.

Non-preemptive placement ranks the fitting machines by fullness (Score 1), then by the share of the
task's own class (Score 2), then by recent evictions (Score 3). What is high-priority towards some
running work and fits nowhere evicts the least costly victims (Algorithm 2 and the cost of
Equation 14 of the paper).

The tasks of a request are alike, so its machines are filtered and scored once, and kept in order
while its tasks are placed; only the machine that took one is scored anew. The plan is the one that
a scan of all machines for each task would give: tests/sched/test_pts.py compares them.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, replace

from badgerseam.sched import gang_placement
from badgerseam.sched.snapshot import (
    MachineSnapshot,
    Plan,
    Request,
    RunningTask,
    Snapshot,
    TaskStart,
    TaskStop,
    TeamUse,
    slots_of,
)
from badgerseam.sched.tentative_state import (
    TentativeState,
    evict_tentatively,
    eviction_cost,
    failed_job_predicates,
    job_rules_allow,
    place_tentatively,
    position_of,
    victims_on,
)

FETCH_FACTORS = (1.5, 1.0)
"""How much longer than stated a fetch takes, surely and likely."""
GRADES = len(FETCH_FACTORS) + 1
START_S = 0.3
"""What a start takes besides the fetch."""


LAST_LOW = 1
"""The highest of the low ranks: what has waited for too long is not behind any of them."""


def plan(snapshot: Snapshot, evict: bool = True) -> Plan:
    """Place what fits, and evict where the rules of priority allow it.

    Without `evict` it is only asked what finds room at all, however late it would start there.
    """
    bench = TentativeState(snapshot, evict)
    turns = _PlacementRound(bench)
    if any(request.priority_class for request in snapshot.requests):
        _by_class(turns, snapshot.requests)
        return bench.result
    for request in placement_order(bench, snapshot.requests):
        turns.place(request)
    return bench.result


@dataclass(slots=True)
class _PlacementRound:
    """Requests that get their turn one after the other."""

    bench: TentativeState
    gathering: bool = False
    """Room is kept for a gang that has aged."""

    def place(self, request: Request) -> int:
        """Place a request; how many of its tasks were."""
        if self.gathering and not request.high:
            # A gang needs all of its room at once, which smaller work that always fits somewhere
            # would never leave free together.
            self.bench.result.waiting[request.job] = request.count
            return 0
        placed = place(self.bench, request)
        if request.gathers_capacity and not placed and self.bench.within_limit(request):
            self.gathering = True
        return placed


def placement_order(bench: TentativeState, requests: list[Request]) -> list[Request]:
    """The order in which requests get their turn."""
    return sorted(
        requests, key=lambda request: _order_key(request, bench.within_guarantee(request))
    )


def _order_key(request: Request, claims: bool) -> tuple[float, ...]:
    return (
        -(LAST_LOW if request.oldest_waiting else request.rank),
        # Towards a team that borrows, one that claims its own is of high priority: behind the
        # other, it would evict again and again what had just been placed.
        not claims,
        request.priority_class,
        not request.oldest_waiting,
        request.order,
        -slots_of(request.demand),
        request.queue_position,
        request.job,
    )


def _by_class(turns: _PlacementRound, requests: list[Request]) -> None:
    """Place what is of several priority classes.

    A claim goes before higher classes for as much as its team's guarantee covers when its turn
    comes, and no further: one task within it took a whole array of hundreds to the front.
    """
    bench = turns.bench
    queue = [
        (_order_key(request, bench.within_guarantee(request)), request) for request in requests
    ]
    heapq.heapify(queue)
    while queue:
        turn, request = heapq.heappop(queue)
        if turn[1]:
            turns.place(request)
            continue
        team = bench.teams[request.team]
        count = min(request.count, request.demand.count_in(team.guarantee.minus(team.used)))
        if request.gang and count > 0:
            count = request.count
        if count <= 0:
            heapq.heappush(queue, (_order_key(request, False), request))
            continue
        before = len(bench.result.starts)
        placed = turns.place(replace(request, count=count))
        if placed < count:
            if request.job in bench.result.waiting:
                bench.result.waiting[request.job] = request.count - placed
        elif placed < request.count:
            zones = dict(request.zone_counts)
            zone_of = {node.index: node.zone for node in bench.nodes}
            for start in bench.result.starts[before:]:
                zone = zone_of[start.node]
                zones[zone] = zones.get(zone, 0) + 1
            rest = replace(request, count=request.count - placed, zone_counts=zones)
            heapq.heappush(queue, (_order_key(rest, False), rest))


OnUnplaced = Callable[[dict[str, int], int], None]
"""Is shown the zones of a job's tasks, and how many of the request are placed, where the next one
found no room; before a gang is taken back."""


def place(bench: TentativeState, request: Request, look: OnUnplaced | None = None) -> int:
    """Place as many tasks of a request as fit; of a gang, all or none. How many were placed."""
    if request.gang_rules is not None:
        return gang_placement.place(bench, request, _score, look)
    placed = _place(bench, request, look)
    if placed < request.count and bench.within_limit(request):
        bench.result.waiting[request.job] = request.count - placed
    return placed


@dataclass(slots=True)
class _PlacedTask:
    """One task placed, so that a gang that does not fit whole can be taken back."""

    position: int
    victims: list[tuple[RunningTask, float]]


def _place(bench: TentativeState, request: Request, look: OnUnplaced | None) -> int:
    if request.count <= 0:
        return 0
    if bench.is_known_unplaceable(request):
        if look is not None:
            look(request.zone_counts, 0)
        return 0
    steps: list[_PlacedTask] = []
    zones = dict(request.zone_counts)
    team = bench.teams[request.team]
    candidates = _Candidates(bench, request, zones)
    while len(steps) < request.count and bench.within_limit(request):
        position, victims = candidates.choose()
        if position is None:
            if request.is_plain and not request.gang:
                bench.unplaced.append(request)
            break
        for victim, _ in victims:
            evict_tentatively(bench, position_of(bench, victim, position), victim, 1)
        place_tentatively(bench, position, request, zones, 1)
        team.used = team.used.plus(request.demand)
        candidates.update(position)
        if victims and bench.eviction_groups is not None:
            for other in bench.eviction_groups.other_positions(position, victims):
                candidates.update(other)
        steps.append(_PlacedTask(position, victims))
    if look is not None and len(steps) < request.count:
        look(zones, len(steps))
    if request.gang and len(steps) < request.count:
        # All pods are planned before any stop; one that fails leaves everything as it was.
        for step in reversed(steps):
            team.used = team.used.minus(request.demand)
            place_tentatively(bench, step.position, request, zones, -1)
            for victim, _ in reversed(step.victims):
                evict_tentatively(bench, position_of(bench, victim, step.position), victim, -1)
        return 0
    if steps:
        # What a team has beyond its guarantee has grown: another may claim it now.
        bench.unplaced = [other for other in bench.unplaced if other.team == request.team]
    for step in steps:
        if step.victims:
            # Their room may serve requests that found none before.
            bench.unplaced.clear()
        bench.result.stops += [
            TaskStop(victim.key, cost, request.wait_s, request.job) for victim, cost in step.victims
        ]
        bench.result.starts.append(TaskStart(request.job, bench.nodes[step.position].index))
    return len(steps)


class _CandidatePool:
    """Machines with room for a task of a request, best first.

    Machines of one score are kept by zone: a fleet of hundreds holds many that are alike, empty
    ones above all, and to look at each of them for every task took most of a plan's time.
    """

    def __init__(self, request: Request) -> None:
        self._request = request
        self._scores: list[tuple[float, ...]] = []
        """A heap of the scores that occur."""
        self._alike: dict[tuple[float, ...], dict[str, list[int]]] = {}
        """Of each score and zone a heap of positions; what was scored anew is left in it."""
        self._score: dict[int, tuple[float, ...]] = {}

    def put(self, position: int, node: MachineSnapshot) -> None:
        """Add a machine, or score it anew; one without room is dropped."""
        if not self._request.demand.fits_in(node.free):
            self._score.pop(position, None)
            return
        score = _score(node, self._request)
        if self._score.get(position) == score:
            return
        self._score[position] = score
        zones = self._alike.get(score)
        if zones is None:
            zones = self._alike[score] = {}
            heapq.heappush(self._scores, score)
        heapq.heappush(zones.setdefault(node.zone, []), position)

    def choose(self, nodes: list[MachineSnapshot], zones: dict[str, int]) -> int | None:
        """The best machine that the job's own rules allow, or None."""
        while self._scores:
            score = self._scores[0]
            alike = self._alike[score]
            chosen: int | None = None
            least = 0
            for zone in list(alike):
                positions = alike[zone]
                while positions and self._score.get(positions[0]) != score:
                    heapq.heappop(positions)
                # Of the job's rules only those on zones depend on what has been placed, and where
                # a zone is full, or not the job's, that does not change any more.
                if not positions or failed_job_predicates(
                    self._request, nodes[positions[0]], zones
                ):
                    del alike[zone]
                    continue
                # Left open by the design: spread over zones.
                used = zones.get(zone, 0)
                if chosen is None or (used, positions[0]) < (least, chosen):
                    chosen, least = positions[0], used
            if chosen is not None:
                return chosen
            heapq.heappop(self._scores)
            del self._alike[score]
        return None


class _Candidates:
    """The machines for the tasks of one request.

    The paper's filter drops machines that do not meet the task's requirements; we count a start in
    time among these where an operator has stated one, as long as some machine can meet it, surely
    or else likely.
    """

    def __init__(self, bench: TentativeState, request: Request, zones: dict[str, int]) -> None:
        self._bench = bench
        self._request = request
        self._zones = zones
        # By how surely the start will be in time; the last takes any machine.
        graded = bench.may_evict and request.wait_s is not None
        self._pools = [_CandidatePool(request) for _ in range(GRADES if graded else 1)]
        self._may_evict = bench.may_evict
        self._victims: dict[int, tuple[list[RunningTask], float]] | None = None
        """What may be evicted, by position: the victims and their waste."""
        for position in bench.with_free_capacity:
            node = bench.nodes[position]
            if node.index in request.avoided_machines or failed_job_predicates(
                request, node, zones
            ):
                continue
            self._put(position, node)

    def _put(self, position: int, node: MachineSnapshot) -> None:
        grade = self._grade(node)
        for pool in self._pools[grade:]:
            pool.put(position, node)

    def _grade(self, node: MachineSnapshot) -> int:
        return start_grade(self._request, node) if len(self._pools) > 1 else 0

    def update(self, position: int) -> None:
        """A task was placed on the machine, and victims may have left it."""
        node = self._bench.nodes[position]
        self._put(position, node)
        if self._victims is not None:
            self._victims.pop(position, None)
            self._consider(position, node)

    def choose(self) -> tuple[int | None, list[tuple[RunningTask, float]]]:
        """A machine for one task, and the victims it takes."""
        nodes = self._bench.nodes
        for grade, pool in enumerate(self._pools):
            position = pool.choose(nodes, self._zones)
            if position is not None:
                return position, []
            if self._may_evict:
                position, victims = self._cheapest(grade)
                if position is not None:
                    return position, victims
        return None, []

    def _consider(self, position: int, node: MachineSnapshot) -> None:
        assert self._victims is not None
        found = victims_on(self._bench, node, self._request)
        if found:
            now = self._bench.now
            self._victims[position] = found, sum(victim.waste(now) for victim in found)

    def _cheapest(self, grade: int) -> tuple[int | None, list[tuple[RunningTask, float]]]:
        """The machine on which room costs least, and the victims there."""
        bench, request = self._bench, self._request
        if not request.high and not bench.others_exceed_guarantee(request):
            self._may_evict = False
            return None, []
        if self._victims is None or not request.high:
            # What another team has beyond its guarantee changes with every step.
            self._victims = {}
            for position, node in enumerate(bench.nodes):
                if (
                    node.running
                    and node.index not in request.avoided_machines
                    and not failed_job_predicates(request, node, self._zones)
                ):
                    self._consider(position, node)
        best: int | None = None
        best_cost = 0.0
        for position, (victims, waste) in self._victims.items():
            node = bench.nodes[position]
            if self._grade(node) > grade:
                continue
            if failed_job_predicates(request, node, self._zones):
                continue
            cost = eviction_cost(bench, len(victims), waste)
            if best is None or (cost, position) < (best_cost, best):
                best, best_cost = position, cost
        if best is None:
            return None, []
        return best, [(victim, best_cost) for victim in self._victims[best][0]]


def start_grade(request: Request, node: MachineSnapshot) -> int:
    """How surely a task would start in the time that is asked for: 0 surely, 1 likely, 2 not."""
    if request.wait_s is None or request.image in node.images:
        return 0
    # Fetches are up to a third slower or faster than stated, and something is left for the rest.
    stated = request.image_gb / max(node.fetch_gb_per_s, 1e-3)
    for grade, factor in enumerate(FETCH_FACTORS):
        if factor * stated + START_S <= request.wait_s:
            return grade
    return len(FETCH_FACTORS)


def _score(node: MachineSnapshot, request: Request) -> tuple[float, ...]:
    """The paper's three scores, negated, since heaps give the least first."""
    slots = node.slots or 1.0
    return (
        node.idle_slots / slots,
        -(node.high_slots if request.high else node.low_slots) / slots,
        float(-node.evictions if request.high else node.evictions),
        # Left open by the design: the image is there.
        0.0 if request.image in node.images else 1.0,
    )


__all__ = [
    "GRADES",
    "MachineSnapshot",
    "Plan",
    "Request",
    "RunningTask",
    "Snapshot",
    "TaskStart",
    "TaskStop",
    "TeamUse",
    "job_rules_allow",
    "place",
    "placement_order",
    "plan",
    "slots_of",
    "start_grade",
]
