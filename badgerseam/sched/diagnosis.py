"""Explains why requests are not placed, by running the plan's placement over a snapshot.

This module defines no placement rules of its own. Requests are placed by `pts.place`, and machines
are checked by `predicates.PredicateCheck`: the plan places a task exactly where no predicate fails.
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
"""Number of jobs ahead that are listed by name; further ones are only counted."""


@dataclass(slots=True)
class CapacityHolder:
    """The running tasks of one team and rank on machines that lack only free capacity."""

    team: int
    rank: int
    tasks: int = 0
    capacity: Resources = NOTHING


@dataclass(slots=True)
class Infeasibility:
    """The predicates that prevent the next task from being placed, over all machines."""

    machines: int = 0
    counts: dict[Predicate, int] = field(default_factory=dict)
    """Number of machines on which each predicate fails, alone or with others."""
    only_failing: dict[Predicate, int] = field(default_factory=dict)
    """Number of machines on which each predicate is the only one that fails."""
    binding: Predicate = NO_PREDICATE
    """The smallest set of predicates whose removal would let a task be placed; among equally small
    sets, the one that applies to most machines. Without any machine: LIMIT if the team is at its
    limit, else no predicate."""
    holders: list[CapacityHolder] = field(default_factory=list)
    """The users of the capacity on machines that lack only free capacity, largest first."""
    capacity_in_s: float = math.inf
    """Seconds until some machine should have enough free capacity, by the teams' run time
    estimates."""
    most_free: Resources = NOTHING
    """The largest free capacity of any machine that lacks only free capacity."""


@dataclass(slots=True)
class Finding:
    """The result of the diagnosis for one request."""

    request: Request
    placed: int
    """Number of tasks that the plan places now; for a gang, all or none."""
    reached: int
    """Number of tasks that were placed before one could not be; for a gang they are undone."""
    infeasibility: Infeasibility | None
    """Why the next task cannot be placed; None if all are placed."""
    ahead: list[int]
    """The first jobs that wait ahead of this one in placement order, at most
    `MAX_AHEAD_LISTED`."""
    jobs_ahead: int
    tasks_ahead: int
    used: Resources
    """The team's usage just before the request is placed."""
    draining: Resources
    """Resources of the team's tasks that the plan has evicted by then. They count towards the
    team's limit until the tasks have ended."""


def survey(snapshot: Snapshot, jobs: Collection[int] | None = None) -> Iterator[Finding | None]:
    """Places the requests as the plan does, and yields a finding for each request of the given
    jobs.

    Yields once per request, None for jobs not asked about, so that the caller can yield to the
    event loop, and stops after the last request of `jobs` (None: all jobs). The snapshot's requests
    must not change during the iteration (see `without_job_state`).
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
    """Copies requests so that they share no mutable state with the jobs, which may change later."""
    return [
        replace(r, zone_counts=dict(r.zone_counts), avoided_machines=set(r.avoided_machines))
        for r in requests
    ]


@dataclass(slots=True)
class _JobsAhead:
    """Counts the earlier requests that still have unplaced tasks."""

    first: list[int] = field(default_factory=list)
    jobs: int = 0
    tasks: int = 0

    def add(self, request: Request, placed: int) -> None:
        """Counts a request if some of its tasks were not placed."""
        if placed >= request.count:
            return
        self.jobs += 1
        self.tasks += request.count - placed
        if len(self.first) < MAX_AHEAD_LISTED:
            self.first.append(request.job)


class _MachineChecks:
    """Caches the checks of all machines for equivalent requests until the state changes."""

    def __init__(self, state: TentativeState) -> None:
        self._state = state
        self._cache: dict[tuple[object, ...], Infeasibility] = {}

    def check(self, request: Request, zones: dict[str, int]) -> Infeasibility:
        """Returns why no machine can take the next task of a request."""
        key = (self._state.changes, *_cache_key(request, zones))
        if key not in self._cache:
            self._cache[key] = _check_machines(self._state, request, zones)
        return self._cache[key]


@dataclass(slots=True)
class _FirstUnplaced:
    """Records why the first task that could not be placed was not placed."""

    reached: int | None = None
    infeasibility: Infeasibility | None = None

    def record(
        self, checks: _MachineChecks, request: Request, zones: dict[str, int], reached: int
    ) -> None:
        """Checks the machines for a task that cannot be placed, and keeps the first result."""
        infeasibility = checks.check(request, zones)
        if self.reached is None:
            self.reached, self.infeasibility = reached, infeasibility


def _place_and_explain(
    state: TentativeState, checks: _MachineChecks, request: Request, queue: _JobsAhead
) -> Finding:
    team = state.teams[request.team]
    used, draining = team.used, team.draining
    unplaced = _FirstUnplaced()
    placed = pts.place(state, request, partial(unplaced.record, checks, request))
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


def _cache_key(request: Request, zones: dict[str, int]) -> tuple[object, ...]:
    """Cache key of a request: all properties that decide where its tasks may be placed."""
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
    lacking_capacity: list[MachineSnapshot] = []
    check = PredicateCheck(state, request, zones)
    free_capacity, limit = int(Predicate.FREE_CAPACITY), int(Predicate.LIMIT)
    for node in state.nodes:
        mask = check.failed(node)
        count_by_mask[mask] = count_by_mask.get(mask, 0) + 1
        if mask & ~limit == free_capacity:
            lacking_capacity.append(node)
    _count_predicates(result, count_by_mask)
    if count_by_mask:
        fewest = min(count_by_mask, key=lambda mask: (mask.bit_count(), -count_by_mask[mask], mask))
        result.binding = Predicate(fewest)
    elif not state.within_limit(request):
        result.binding = Predicate.LIMIT
    result.holders = _holders(lacking_capacity)
    for node in lacking_capacity:
        if pts.slots_of(node.free) > pts.slots_of(result.most_free):
            result.most_free = node.free
    result.capacity_in_s = _seconds_until_capacity(lacking_capacity, request, state.now)
    return result


def _count_predicates(result: Infeasibility, count_by_mask: dict[int, int]) -> None:
    for mask, count in count_by_mask.items():
        predicates = list(Predicate(mask))
        for predicate in predicates:
            result.counts[predicate] = result.counts.get(predicate, 0) + count
        if len(predicates) == 1:
            sole = predicates[0]
            result.only_failing[sole] = result.only_failing.get(sole, 0) + count


def _holders(nodes: list[MachineSnapshot]) -> list[CapacityHolder]:
    """Sums up the running tasks on machines by team and rank, largest first."""
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


def _seconds_until_capacity(nodes: list[MachineSnapshot], request: Request, now: float) -> float:
    """Seconds until one of the machines should have enough free capacity for a task."""
    soonest = math.inf
    for node in nodes:
        soonest = min(soonest, _capacity_available_at(node, request, soonest))
    # A task that has exceeded its estimate may end at any moment.
    return max(0.0, soonest - now)


def _capacity_available_at(node: MachineSnapshot, request: Request, before: float) -> float:
    """When a machine should have enough free capacity for a task; infinity if not before
    `before`."""
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
