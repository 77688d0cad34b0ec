"""The candidate machines for the tasks of one request, filtered and scored once.

All tasks of a request are identical, so its machines stay sorted while the tasks are placed; only a
machine that received a task or had a victim evicted is scored again.
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
    """Priority queue of the machines with free capacity for a task of a request.

    Machines with the same score are grouped by zone. A fleet of hundreds has many identical
    machines, mostly empty ones, and comparing all of them for every task would take most of the
    planning time.
    """

    def __init__(self, request: Request) -> None:
        self._request = request
        self._score_heap: list[Score] = []
        """Heap of the distinct scores, lowest (best) first."""
        self._heaps: dict[Score, dict[str, list[int]]] = {}
        """Heap of positions for each score and zone; stale positions are removed when they reach
        the top."""
        self._scores: dict[int, Score] = {}
        """The current score of each position."""

    def put(self, position: int, node: MachineSnapshot) -> None:
        """Adds a machine or updates its score; removes it if it has no capacity for a task."""
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
        """Returns the position of the best machine that satisfies the job's constraints, or
        None."""
        while self._score_heap:
            position = self._best_of_score(self._score_heap[0], nodes, zones)
            if position is not None:
                return position
            del self._heaps[heapq.heappop(self._score_heap)]
        return None

    def _best_of_score(
        self, score: Score, nodes: list[MachineSnapshot], zones: dict[str, int]
    ) -> int | None:
        """Returns a machine with this score in the zone with the fewest tasks of the job, or
        None."""
        zone_heaps = self._heaps[score]
        best: int | None = None
        fewest_tasks = 0
        for zone in list(zone_heaps):
            positions = zone_heaps[zone]
            while positions and self._scores.get(positions[0]) != score:
                heapq.heappop(positions)
            # Only the zone constraints of a job depend on tasks that are already placed. A zone
            # that is full or excluded stays so for the rest of the plan and can be dropped.
            if not positions or failed_job_predicates(self._request, nodes[positions[0]], zones):
                del zone_heaps[zone]
                continue
            # The paper does not specify this tie-break: spread the job over zones.
            tasks = zones.get(zone, 0)
            if best is None or (tasks, positions[0]) < (fewest_tasks, best):
                best, fewest_tasks = positions[0], tasks
        return best


class Candidates:
    """Chooses a machine, and victims if necessary, for each task of a request in turn.

    The paper's filter step drops machines that do not meet the task's requirements. Where an
    operator has set a start time objective, starting in time is one of these requirements, as long
    as some machine certainly meets it, or else probably does.
    """

    def __init__(self, state: TentativeState, request: Request, zones: dict[str, int]) -> None:
        self._state = state
        self._request = request
        self._zones = zones
        has_grades = state.may_evict and request.wait_s is not None
        self._pools = [_CandidatePool(request) for _ in range(GRADES if has_grades else 1)]
        """One pool per start grade, with the machines of this grade or a better one; the last pool
        contains all machines."""
        self._may_evict = state.may_evict
        self._evictions: dict[int, PossibleEviction] | None = None
        """Possible evictions by position; None until they are first needed."""
        for position in state.with_free_capacity:
            node = state.nodes[position]
            if self._is_allowed(node):
                self._put(position, node)

    def choose(self) -> TaskPlacement | None:
        """Returns a placement for the next task: without victims if possible, else the cheapest."""
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
        """Updates a machine's score after a placement on it or an eviction from it."""
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
            # Without high priority, only usage beyond another team's guarantee may be evicted,
            # and that changes with every placement.
            self._evictions = {}
            for position, node in enumerate(self._state.nodes):
                if node.running and self._is_allowed(node):
                    self._add_eviction(self._evictions, position, node)
        return self._evictions

    def _cheapest_eviction(self, grade: int) -> TaskPlacement | None:
        """Returns the cheapest eviction on a machine of the given start grade or a better one."""
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
