"""Why a request is not placed: the plan's own placement over a snapshot, with what stops it.

No rule is defined here. Requests are placed by `pts.place`, and machines are checked by
`predicates.PredicateCheck`: where no predicate fails, the plan places a task.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterator
from dataclasses import dataclass, field, replace
from functools import partial

from badgerseam.model.resources import NOTHING, Resources
from badgerseam.sched import pts
from badgerseam.sched.predicates import Predicate, PredicateCheck
from badgerseam.sched.snapshot import MachineSnapshot, Request, RunningTask, Snapshot
from badgerseam.sched.tentative_state import TentativeState

NO_PREDICATE = Predicate(0)
MAX_AHEAD_LISTED = 5
"""Jobs ahead that are named; the others are counted."""


@dataclass(slots=True)
class CapacityHolder:
    """Work of one team and rank, over the machines on which only free capacity is missing."""

    team: int
    rank: int
    tasks: int = 0
    capacity: Resources = NOTHING


@dataclass(slots=True)
class Infeasibility:
    """Over the machines of a snapshot, the predicates that keep the next task off them."""

    machines: int = 0
    counts: dict[Predicate, int] = field(default_factory=dict)
    """Machines on which each predicate fails, whatever else does."""
    alone: dict[Predicate, int] = field(default_factory=dict)
    """Machines on which nothing else fails."""
    binding: Predicate = NO_PREDICATE
    """The fewest predicates without which a task would be placed; of equals, those of most
    machines. None if there is no machine at all."""
    holders: list[CapacityHolder] = field(default_factory=list)
    """Who uses the capacity where only that is missing, the largest first."""
    capacity_in_s: float = math.inf
    """When enough capacity should free on some machine, by the teams' estimates of run times."""
    most_free: Resources = NOTHING
    """The most that is free on one of the machines on which only free capacity is missing."""


@dataclass(slots=True)
class Finding:
    """The outcome for one request."""

    request: Request
    placed: int
    """Tasks that the plan places now. Of a gang: all or none."""
    reached: int
    """Tasks that were placed before the next one was not; of a gang they are undone."""
    infeasibility: Infeasibility | None
    """What stops the next task; None if all are placed."""
    ahead: list[int]
    """Jobs that wait before this one in the plan's order, the first of them."""
    jobs_ahead: int
    tasks_ahead: int
    used: Resources
    """What the team uses when the request is placed."""
    draining: Resources
    """What the plan has evicted of the team by then, which counts towards its limit until it has
    ended."""


def survey(snapshot: Snapshot, jobs: Collection[int] | None = None) -> Iterator[Finding | None]:
    """Place all requests as the plan does, with a finding for each request of the given jobs.

    Yields after each request, None for other jobs, so that the caller can let other work run, and
    ends after the last request of `jobs` (None: all jobs). The snapshot's requests must not change
    meanwhile (see `without_job_state`).
    """
    state = TentativeState(snapshot, True)
    remaining = None if jobs is None else {r.job for r in snapshot.requests} & set(jobs)
    queue = _JobsAhead()
    checks = _MachineChecks(state)
    for request in pts.placement_order(state, snapshot.requests):
        if remaining is not None and not remaining:
            return
        if remaining is not None and request.job not in remaining:
            placed = pts.place(state, request)
            yield None
        else:
            finding = _place_and_explain(state, checks, request, queue)
            placed = finding.placed
            yield finding
            if remaining is not None:
                remaining.discard(request.job)
        queue.add(request, placed)


def without_job_state(requests: list[Request]) -> list[Request]:
    """Copies of requests that do not share the jobs' own state, which goes on changing."""
    return [
        replace(r, zone_counts=dict(r.zone_counts), avoided_machines=set(r.avoided_machines))
        for r in requests
    ]


@dataclass(slots=True)
class _JobsAhead:
    """Requests before the present one whose tasks have not all been placed."""

    first: list[int] = field(default_factory=list)
    jobs: int = 0
    tasks: int = 0

    def add(self, request: Request, placed: int) -> None:
        """Count a request if some of its tasks wait."""
        if placed >= request.count:
            return
        self.jobs += 1
        self.tasks += request.count - placed
        if len(self.first) < MAX_AHEAD_LISTED:
            self.first.append(request.job)


class _MachineChecks:
    """Checks of all machines, shared by requests of one kind while nothing changes."""

    def __init__(self, state: TentativeState) -> None:
        self._state = state
        self._known: dict[tuple[object, ...], Infeasibility] = {}

    def check(self, request: Request, zones: dict[str, int]) -> Infeasibility:
        """What keeps the next task of a request off the machines."""
        key = (self._state.changes, *_kind(request, zones))
        if key not in self._known:
            self._known[key] = _check_machines(self._state, request, zones)
        return self._known[key]


@dataclass(slots=True)
class _FirstUnplaced:
    """What stopped the first task that could not be placed."""

    reached: int | None = None
    infeasibility: Infeasibility | None = None

    def note(
        self, checks: _MachineChecks, request: Request, zones: dict[str, int], reached: int
    ) -> None:
        """Check the machines when a task is not placed."""
        infeasibility = checks.check(request, zones)
        if self.reached is None:
            self.reached, self.infeasibility = reached, infeasibility


def _place_and_explain(
    state: TentativeState, checks: _MachineChecks, request: Request, queue: _JobsAhead
) -> Finding:
    team = state.teams[request.team]
    used, draining = team.used, team.draining
    unplaced = _FirstUnplaced()
    placed = pts.place(state, request, partial(unplaced.note, checks, request))
    return Finding(
        request=request,
        placed=placed,
        reached=placed if unplaced.reached is None else unplaced.reached,
        infeasibility=unplaced.infeasibility,
        ahead=list(queue.first),
        jobs_ahead=queue.jobs,
        tasks_ahead=queue.tasks,
        used=used,
        draining=draining,
    )


def _kind(request: Request, zones: dict[str, int]) -> tuple[object, ...]:
    """What decides where a task may go: requests of one kind share their findings."""
    has_zone_rules = request.one_zone or request.zone_limit is not None
    return (
        request.demand,
        request.rank,
        request.team,
        request.types,
        request.zone,
        request.one_zone,
        request.zone_limit,
        request.spot,
        tuple(sorted(zones.items())) if has_zone_rules else (),
        frozenset(request.avoided_machines),
    )


def _check_machines(
    state: TentativeState, request: Request, zones: dict[str, int]
) -> Infeasibility:
    result = Infeasibility(machines=len(state.nodes))
    count_by_mask: dict[int, int] = {}
    short_of_capacity: list[MachineSnapshot] = []
    check = PredicateCheck(state, request, zones)
    free_capacity, limit = int(Predicate.FREE_CAPACITY), int(Predicate.LIMIT)
    for node in state.nodes:
        mask = check.failed(node)
        count_by_mask[mask] = count_by_mask.get(mask, 0) + 1
        if mask & ~limit == free_capacity:
            short_of_capacity.append(node)
    _count_predicates(result, count_by_mask)
    if count_by_mask:
        fewest = min(count_by_mask, key=lambda mask: (mask.bit_count(), -count_by_mask[mask], mask))
        result.binding = Predicate(fewest)
    elif not state.within_limit(request):
        result.binding = Predicate.LIMIT
    result.holders = _holders(short_of_capacity)
    for node in short_of_capacity:
        if pts.slots_of(node.free) > pts.slots_of(result.most_free):
            result.most_free = node.free
    result.capacity_in_s = _capacity_in_s(short_of_capacity, request, state.now)
    return result


def _count_predicates(result: Infeasibility, count_by_mask: dict[int, int]) -> None:
    for mask, count in count_by_mask.items():
        predicates = list(Predicate(mask))
        for predicate in predicates:
            result.counts[predicate] = result.counts.get(predicate, 0) + count
        if len(predicates) == 1:
            alone = predicates[0]
            result.alone[alone] = result.alone.get(alone, 0) + count


def _holders(nodes: list[MachineSnapshot]) -> list[CapacityHolder]:
    """Who uses the capacity of machines, the largest first."""
    sums: dict[tuple[int, int], list[float]] = {}
    for node in nodes:
        for running in node.running:
            demand = running.demand
            total = sums.get((running.team, running.rank))
            if total is None:
                total = sums[running.team, running.rank] = [0, 0.0, 0.0, 0.0]
            total[0] += 1
            total[1] += demand.cpus
            total[2] += demand.gpus
            total[3] += demand.memory_gb
    holders = [
        CapacityHolder(team, rank, int(tasks), Resources(cpus, gpus, memory_gb))
        for (team, rank), (tasks, cpus, gpus, memory_gb) in sums.items()
    ]
    holders.sort(key=lambda holder: (-pts.slots_of(holder.capacity), holder.team, holder.rank))
    return holders


def _capacity_in_s(nodes: list[MachineSnapshot], request: Request, now: float) -> float:
    """How soon one of the machines should have the capacity for a task."""
    soonest = math.inf
    for node in nodes:
        soonest = min(soonest, _capacity_at(node, request, soonest))
    # What is overdue by its team's estimate may end at any moment.
    return max(0.0, soonest - now)


def _capacity_at(node: MachineSnapshot, request: Request, before: float) -> float:
    """When a machine should have the capacity for a task; infinity if not `before` a time."""
    free = node.free
    for running in sorted(node.running, key=_ends_at):
        if running.ends_at >= before:
            break
        free = free.plus(running.demand)
        if request.demand.fits_in(free):
            return running.ends_at
    return math.inf


def _ends_at(running: RunningTask) -> float:
    return running.ends_at
