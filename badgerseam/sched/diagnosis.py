"""Why a request finds no room: the plan's own walk over a snapshot, with a look at what stops it.

Nothing here knows a rule of its own. The walk is `pts.place`, the bars are `bench.bars`; a machine
that nothing bars is one on which the plan places a task.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterator
from dataclasses import dataclass, field, replace

from badgerseam.model.resources import NOTHING, Resources
from badgerseam.sched import pts
from badgerseam.sched.snapshot import MachineSnapshot, Request, RunningTask, Snapshot
from badgerseam.sched.tentative_state import Predicate, PredicateCheck, TentativeState

NO_PREDICATE = Predicate(0)
MAX_AHEAD_LISTED = 5
"""Jobs ahead that are named; the others are counted."""


@dataclass(slots=True)
class CapacityHolder:
    """Work that has the room: of one team and rank, over the machines that lack nothing else."""

    team: int
    rank: int
    tasks: int = 0
    capacity: Resources = NOTHING


@dataclass(slots=True)
class Infeasibility:
    """Over the machines of a snapshot, what keeps the next task off them."""

    machines: int = 0
    counts: dict[Predicate, int] = field(default_factory=dict)
    """Machines that each bar rules out, whatever else does."""
    alone: dict[Predicate, int] = field(default_factory=dict)
    """Machines that nothing else rules out."""
    binding: Predicate = NO_PREDICATE
    """The fewest bars that have to go for a task to be placed; of equals, those of most machines.
    None if there is no machine at all."""
    holders: list[CapacityHolder] = field(default_factory=list)
    """Who has the room where room alone is lacking, most first."""
    capacity_in_s: float = math.inf
    """When room alone should free on some machine, by the owners' estimates of run times."""
    most_free: Resources = NOTHING
    """The largest room that is free on one of the machines that only room bars."""


@dataclass(slots=True)
class Finding:
    """What became of one request in the walk."""

    request: Request
    placed: int
    """Tasks that the plan places now. Of a gang: all or none."""
    reached: int
    """Tasks that found room before the next one did not; of a gang they are given back."""
    infeasibility: Infeasibility | None
    """What stops the next task; None if all are placed."""
    ahead: list[int]
    """Jobs that wait before this one in the plan's order, the first of them."""
    jobs_ahead: int
    tasks_ahead: int
    used: Resources
    """What the team may be using when the request has its turn."""
    draining: Resources
    """What the plan evicts of the team before, which counts towards its limit until it has gone."""


def survey(snapshot: Snapshot, asked: Collection[int] | None = None) -> Iterator[Finding | None]:
    """Walk through a snapshot as the plan does; a finding for each request of an asked job.

    Yields after each request, None where nothing was asked, so that the caller can let others have
    the processor, and ends after the last asked one. `asked`: jobs; all if None.
    The snapshot's requests must not change meanwhile (see `still`).
    """
    bench = TentativeState(snapshot, True)
    left = None if asked is None else {r.job for r in snapshot.requests} & set(asked)
    ahead: list[int] = []
    jobs = tasks = 0
    known: dict[tuple[object, ...], Infeasibility] = {}
    for request in pts.placement_order(bench, snapshot.requests):
        if left is not None and not left:
            return
        if left is not None and request.job not in left:
            placed = pts.place(bench, request)
            yield None
        else:
            team = bench.teams[request.team]
            used, leaving = team.used, team.draining
            seen: list[tuple[int, Infeasibility]] = []

            def look(
                zones: dict[str, int],
                reached: int,
                request: Request = request,
                seen: list[tuple[int, Infeasibility]] = seen,
            ) -> None:
                key = (bench.changes, *_kind(request, zones))
                if key not in known:
                    known[key] = _check_machines(bench, request, zones)
                seen.append((reached, known[key]))

            placed = pts.place(bench, request, look)
            reached, barred = seen[0] if seen else (placed, None)
            yield Finding(request, placed, reached, barred, list(ahead), jobs, tasks, used, leaving)
            if left is not None:
                left.discard(request.job)
        if placed < request.count:
            jobs += 1
            tasks += request.count - placed
            if len(ahead) < MAX_AHEAD_LISTED:
                ahead.append(request.job)


def without_job_state(requests: list[Request]) -> list[Request]:
    """The requests apart from the jobs' own books, which go on changing during a walk."""
    return [
        replace(r, zone_counts=dict(r.zone_counts), avoided_machines=set(r.avoided_machines))
        for r in requests
    ]


def _kind(request: Request, zones: dict[str, int]) -> tuple[object, ...]:
    """What decides where a task may go: requests of one kind share what was found."""
    where = tuple(sorted(zones.items())) if request.one_zone or request.zone_limit else ()
    return (
        request.demand,
        request.rank,
        request.team,
        request.types,
        request.zone,
        request.one_zone,
        request.zone_limit,
        request.spot,
        where,
        frozenset(request.avoided_machines),
    )


def _check_machines(
    bench: TentativeState, request: Request, zones: dict[str, int]
) -> Infeasibility:
    result = Infeasibility(machines=len(bench.nodes))
    by_mask: dict[int, int] = {}
    short: list[MachineSnapshot] = []
    bars = PredicateCheck(bench, request, zones)
    only_room, limit = int(Predicate.FREE_CAPACITY), int(Predicate.LIMIT)
    for node in bench.nodes:
        mask = bars.failed(node)
        by_mask[mask] = by_mask.get(mask, 0) + 1
        if mask & ~limit == only_room:
            short.append(node)
    for mask, count in by_mask.items():
        flags = list(Predicate(mask))
        for flag in flags:
            result.counts[flag] = result.counts.get(flag, 0) + count
        if len(flags) == 1:
            result.alone[flags[0]] = result.alone.get(flags[0], 0) + count
    if by_mask:
        least = min(by_mask, key=lambda mask: (mask.bit_count(), -by_mask[mask], mask))
        result.binding = Predicate(least)
    elif not bench.within_limit(request):
        result.binding = Predicate.LIMIT
    _holders(result, short, request, bench.now)
    return result


def _holders(
    result: Infeasibility, short: list[MachineSnapshot], request: Request, now: float
) -> None:
    """Who has the room that alone is lacking, and when it should free."""
    found: dict[tuple[int, int], list[float]] = {}
    soonest = math.inf
    for node in short:
        if pts.slots_of(node.free) > pts.slots_of(result.most_free):
            result.most_free = node.free
        for running in node.running:
            need = running.demand
            sums = found.get((running.team, running.rank))
            if sums is None:
                sums = found[running.team, running.rank] = [0, 0.0, 0.0, 0.0]
            sums[0] += 1
            sums[1] += need.cpus
            sums[2] += need.gpus
            sums[3] += need.memory_gb
        soonest = min(soonest, _capacity_at(node, request, soonest))
    # What is overdue by its owner's estimate may end at any moment.
    result.capacity_in_s = max(0.0, soonest - now)
    result.holders = sorted(
        (
            CapacityHolder(team, rank, int(tasks), Resources(cpus, gpus, memory))
            for (team, rank), (tasks, cpus, gpus, memory) in found.items()
        ),
        key=lambda item: (-pts.slots_of(item.capacity), item.team, item.rank),
    )


def _capacity_at(node: MachineSnapshot, request: Request, before: float) -> float:
    """When a machine should have room, by the owners' estimates, if that is before a time."""
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
