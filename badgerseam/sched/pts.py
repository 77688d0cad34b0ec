"""PTS, the preemptive task scheduler of the GFS paper: computes a plan from a snapshot.

Non-preemptive placement ranks the machines with enough free capacity by fullness (Score 1), then by
the share of tasks of the same priority (Score 2), then by recent evictions (Score 3). A task that
fits nowhere but has high priority relative to some running tasks evicts the victims of the least
cost (Algorithm 2, with the cost of Equation 14).

The plan is the same as that of a full scan of all machines for each task; tests/sched/test_pts.py
compares the two.
"""

from __future__ import annotations

import heapq
from collections import Counter
from dataclasses import dataclass, replace

from badgerseam.sched import gang_placement
from badgerseam.sched.candidates import Candidates
from badgerseam.sched.placement import OnUnplaced, RequestPlacement
from badgerseam.sched.predicates import job_rules_allow
from badgerseam.sched.scoring import GRADES, start_grade
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
from badgerseam.sched.tentative_state import TentativeState

MAX_LOW_RANK = 1
"""The highest low-priority rank. The oldest waiting job is ordered with this rank, so that no other
low-priority job goes before it because of its rank."""


def plan(snapshot: Snapshot, evict: bool = True) -> Plan:
    """Plans placements, and evictions where the priority rules allow them.

    Without `evict` the plan contains all placements that fit without evictions, however late the
    tasks would start.
    """
    state = TentativeState(snapshot, evict)
    placement_round = _PlacementRound(state)
    if any(request.priority_class for request in snapshot.requests):
        _place_by_class(placement_round, snapshot.requests)
    else:
        for request in placement_order(state, snapshot.requests):
            placement_round.place(request)
    return state.result


@dataclass(slots=True)
class _PlacementRound:
    """Places the requests of one plan in order."""

    state: TentativeState
    keeps_capacity_for_gang: bool = False
    """Whether free capacity is kept for an aged gang that does not fit yet."""

    def place(self, request: Request) -> int:
        """Places a request; returns the number of tasks placed."""
        if self.keeps_capacity_for_gang and not request.high:
            # A gang needs all of its capacity at the same time. Smaller jobs, which always fit
            # somewhere, would keep taking capacity before enough of it is free.
            self.state.result.waiting[request.job] = request.count
            return 0
        placed = place(self.state, request)
        if request.gathers_capacity and not placed and self.state.within_limit(request):
            self.keeps_capacity_for_gang = True
        return placed


def placement_order(state: TentativeState, requests: list[Request]) -> list[Request]:
    """Returns the requests in the order in which they are placed."""
    return sorted(
        requests, key=lambda request: _order_key(request, state.within_guarantee(request))
    )


def _order_key(request: Request, claims_guarantee: bool) -> tuple[float, ...]:
    return (
        -(MAX_LOW_RANK if request.oldest_waiting else request.rank),
        # A team that claims its guarantee has high priority over teams that borrow capacity. If it
        # were placed after them, it would repeatedly evict tasks that had just been placed.
        not claims_guarantee,
        request.priority_class,
        not request.oldest_waiting,
        request.order,
        -slots_of(request.demand),
        request.queue_position,
        request.job,
    )


def _place_by_class(placement_round: _PlacementRound, requests: list[Request]) -> None:
    """Places requests of several priority classes.

    A claim to a guarantee goes before higher classes only for the tasks that the guarantee covers
    at the time of placement. Without this bound, a single covered task would move a whole array of
    hundreds of tasks to the front.
    """
    state = placement_round.state
    queue = [
        (_order_key(request, state.within_guarantee(request)), request) for request in requests
    ]
    heapq.heapify(queue)
    while queue:
        key, request = heapq.heappop(queue)
        claims_guarantee = not key[1]
        if not claims_guarantee:
            placement_round.place(request)
            continue
        rest = _place_claim(placement_round, request)
        if rest is not None:
            heapq.heappush(queue, (_order_key(rest, False), rest))


def _place_claim(placement_round: _PlacementRound, request: Request) -> Request | None:
    """Places the part of a request that its team's guarantee covers.

    Returns a request for the remaining tasks, to be placed by class; None if there is nothing left
    to place.
    """
    state = placement_round.state
    count = _count_within_guarantee(state, request)
    if count <= 0:
        return request
    first_start = len(state.result.starts)
    placed = placement_round.place(replace(request, count=count))
    if placed < count:
        if request.job in state.result.waiting:
            state.result.waiting[request.job] = request.count - placed
        return None
    if placed == request.count:
        return None
    zone_of = {node.index: node.zone for node in state.nodes}
    zones = Counter(request.zone_counts)
    zones.update(zone_of[start.node] for start in state.result.starts[first_start:])
    return replace(request, count=request.count - placed, zone_counts=dict(zones))


def _count_within_guarantee(state: TentativeState, request: Request) -> int:
    """Returns how many tasks of a request its team's guarantee covers now; all or none of a
    gang."""
    team = state.teams[request.team]
    count = min(request.count, request.demand.count_in(team.guarantee.minus(team.used)))
    return request.count if request.gang and count > 0 else count


def place(state: TentativeState, request: Request, on_unplaced: OnUnplaced | None = None) -> int:
    """Places as many tasks of a request as fit, all or none of a gang; returns the number
    placed."""
    if request.gang_rules is not None:
        return gang_placement.place(state, request, on_unplaced)
    placed = _place_tasks(state, request, on_unplaced)
    if placed < request.count and state.within_limit(request):
        state.result.waiting[request.job] = request.count - placed
    return placed


def _place_tasks(state: TentativeState, request: Request, on_unplaced: OnUnplaced | None) -> int:
    if request.count <= 0:
        return 0
    if state.is_known_unplaceable(request):
        if on_unplaced is not None:
            on_unplaced(request.zone_counts, 0)
        return 0
    placement = RequestPlacement(state, request)
    _place_one_by_one(state, request, placement)
    placed = len(placement.tasks)
    if on_unplaced is not None and placed < request.count:
        on_unplaced(placement.zones, placed)
    if request.gang and placed < request.count:
        # All tasks of a gang are planned before any eviction takes effect: if one does not fit,
        # everything is rolled back.
        placement.undo()
        return 0
    placement.commit()
    state.result.starts += [
        TaskStart(request.job, state.nodes[task.position].index) for task in placement.tasks
    ]
    return placed


def _place_one_by_one(state: TentativeState, request: Request, placement: RequestPlacement) -> None:
    """Places tasks until one does not fit or would exceed its team's limit."""
    candidates = Candidates(state, request, placement.zones)
    while len(placement.tasks) < request.count and state.within_limit(request):
        task = candidates.choose()
        if task is None:
            if request.is_unconstrained and not request.gang:
                state.unplaced.append(request)
            return
        placement.add(task)
        candidates.update(task.position)
        if task.victims and state.eviction_groups is not None:
            victims = [victim.task for victim in task.victims]
            for other in state.eviction_groups.other_positions(task.position, victims):
                candidates.update(other)


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
