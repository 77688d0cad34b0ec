"""The machines for the tasks of one request, filtered and scored once.

The tasks of a request are alike, so its machines are kept in order while they are placed; only a
machine that took a task or lost a victim is scored again.
"""

from __future__ import annotations

import heapq

from badgerseam.sched.placement import TaskPlacement, Victim
from badgerseam.sched.predicates import failed_job_predicates
from badgerseam.sched.preemption import PossibleEviction, may_preempt, possible_eviction
from badgerseam.sched.scoring import GRADES, machine_score, start_grade
from badgerseam.sched.snapshot import MachineSnapshot, Request
from badgerseam.sched.tentative_state import TentativeState

Score = tuple[float, ...]


class _CandidatePool:
    """Machines with free capacity for a task of a request, the best first.

    Machines of one score are kept by zone: a fleet of hundreds holds many that are alike, empty
    ones above all, and comparing all of them for every task took most of a plan's time.
    """

    def __init__(self, request: Request) -> None:
        self._request = request
        self._score_heap: list[Score] = []
        """The distinct scores."""
        self._heaps: dict[Score, dict[str, list[int]]] = {}
        """By score and zone a heap of positions; stale ones stay in it until they are on top."""
        self._scores: dict[int, Score] = {}
        """The present score by position."""

    def put(self, position: int, node: MachineSnapshot) -> None:
        """Add a machine or update its score; one without free capacity is removed."""
        if not self._request.demand.fits_in(node.free):
            self._scores.pop(position, None)
            return
        score = machine_score(node, self._request)
        if self._scores.get(position) == score:
            return
        self._scores[position] = score
        zone_heaps = self._heaps.get(score)
        if zone_heaps is None:
            zone_heaps = self._heaps[score] = {}
            heapq.heappush(self._score_heap, score)
        heapq.heappush(zone_heaps.setdefault(node.zone, []), position)

    def best(self, nodes: list[MachineSnapshot], zones: dict[str, int]) -> int | None:
        """The position of the best machine that the job's own rules allow; None if none is left."""
        while self._score_heap:
            position = self._best_of_score(self._score_heap[0], nodes, zones)
            if position is not None:
                return position
            del self._heaps[heapq.heappop(self._score_heap)]
        return None

    def _best_of_score(
        self, score: Score, nodes: list[MachineSnapshot], zones: dict[str, int]
    ) -> int | None:
        """Of the machines of one score the one in the zone with the fewest tasks of the job."""
        zone_heaps = self._heaps[score]
        best: int | None = None
        fewest_tasks = 0
        for zone in list(zone_heaps):
            positions = zone_heaps[zone]
            while positions and self._scores.get(positions[0]) != score:
                heapq.heappop(positions)
            # Of the job's rules only those on zones depend on what has been placed, and where a
            # zone is full, or not the job's, that does not change any more.
            if not positions or failed_job_predicates(self._request, nodes[positions[0]], zones):
                del zone_heaps[zone]
                continue
            # Left open by the paper: spread over zones.
            tasks = zones.get(zone, 0)
            if best is None or (tasks, positions[0]) < (fewest_tasks, best):
                best, fewest_tasks = positions[0], tasks
        return best


class Candidates:
    """Chooses a machine, and victims if need be, for one task of a request after the other.

    The paper's filter drops machines that do not meet the task's requirements. A start in time is
    among these where an operator has stated one, as long as some machine meets it, surely or else
    likely.
    """

    def __init__(self, state: TentativeState, request: Request, zones: dict[str, int]) -> None:
        self._state = state
        self._request = request
        self._zones = zones
        has_grades = state.may_evict and request.wait_s is not None
        self._pools = [_CandidatePool(request) for _ in range(GRADES if has_grades else 1)]
        """By the worst grade of the machines in it; the last one takes any machine."""
        self._may_evict = state.may_evict
        self._evictions: dict[int, PossibleEviction] | None = None
        """Possible evictions by position; None until one is needed."""
        for position in state.with_free_capacity:
            node = state.nodes[position]
            if self._is_allowed(node):
                self._put(position, node)

    def choose(self) -> TaskPlacement | None:
        """The placement of the next task: without victims, or else of the least cost."""
        nodes = self._state.nodes
        for grade, pool in enumerate(self._pools):
            position = pool.best(nodes, self._zones)
            if position is not None:
                return TaskPlacement(position, [])
            if self._may_evict:
                placement = self._cheapest_eviction(grade)
                if placement is not None:
                    return placement
        return None

    def update(self, position: int) -> None:
        """Note that a task was placed on a machine, or that victims were evicted from it."""
        node = self._state.nodes[position]
        self._put(position, node)
        if self._evictions is not None:
            self._evictions.pop(position, None)
            self._add_eviction(self._evictions, position, node)

    def _is_allowed(self, node: MachineSnapshot) -> bool:
        request = self._request
        return node.index not in request.avoided_machines and not failed_job_predicates(
            request, node, self._zones
        )

    def _put(self, position: int, node: MachineSnapshot) -> None:
        for pool in self._pools[self._grade(node) :]:
            pool.put(position, node)

    def _grade(self, node: MachineSnapshot) -> int:
        return start_grade(self._request, node) if len(self._pools) > 1 else 0

    def _add_eviction(
        self, evictions: dict[int, PossibleEviction], position: int, node: MachineSnapshot
    ) -> None:
        eviction = possible_eviction(self._state, node, self._request)
        if eviction is not None:
            evictions[position] = eviction

    def _possible_evictions(self) -> dict[int, PossibleEviction]:
        if self._evictions is None or not self._request.high:
            # What another team has beyond its guarantee changes with every placement.
            self._evictions = {}
            for position, node in enumerate(self._state.nodes):
                if node.running and self._is_allowed(node):
                    self._add_eviction(self._evictions, position, node)
        return self._evictions

    def _cheapest_eviction(self, grade: int) -> TaskPlacement | None:
        """The eviction of the least cost on a machine of a grade, or a better one."""
        state, request = self._state, self._request
        if not may_preempt(state, request):
            self._may_evict = False
            return None
        best: int | None = None
        best_cost = 0.0
        evictions = self._possible_evictions()
        for position, eviction in evictions.items():
            node = state.nodes[position]
            if self._grade(node) > grade or failed_job_predicates(request, node, self._zones):
                continue
            cost = eviction.cost(state)
            if best is None or (cost, position) < (best_cost, best):
                best, best_cost = position, cost
        if best is None:
            return None
        return TaskPlacement(best, [Victim(task, best_cost) for task in evictions[best].victims])
