"""Computes the capacity reserved for work that should start sooner than a machine boots."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from statistics import NormalDist
from typing import NamedTuple

from badgerseam.model.resources import Resources
from badgerseam.model.state import Arrival
from badgerseam.settings import Objective
from badgerseam.tunables import Tunables

ARRIVAL_WINDOWS = 4
"""Age, in windows, from which an arrival is ignored."""
ABSORBED_DEVIATIONS = 0.8
"""Standard deviations of the arrivals that are absorbed by capacity from departures. No reserve is
therefore needed if four fifths of the work have to start in time."""
MIN_REQUIRED_FRACTION = 0.5
MAX_REQUIRED_FRACTION = 0.999


@dataclass(slots=True)
class CapacityReserve:
    """Capacity to reserve for a class whose tasks should start sooner than a machine boots."""

    tasks: int
    demand: Resources
    """Resources of each task."""
    rank: int
    spot: bool
    shard: int
    """The shard in which all or most tasks of the class arrive."""
    pooled: bool
    """Whether capacity in other shards counts as well."""


class ReserveSpreads(NamedTuple):
    """The size of the reserves, in standard deviations of the arrivals."""

    guarantee: float
    """For classes that only the guarantee objective covers."""
    objective: float
    """For classes with an objective of their own."""


class _ClassArrivals(NamedTuple):
    """Arrivals of one class that share one reserve."""

    shard: int
    pooled: bool
    arrivals: list[Arrival]


def drop_old_arrivals(arrivals: deque[Arrival], now: float, window_s: float) -> None:
    """Removes arrivals that are too old to count.

    The arrivals are nearly sorted by time; an old one behind a newer one is removed once it is the
    first.
    """
    while arrivals and now - arrivals[0].at > ARRIVAL_WINDOWS * window_s:
        arrivals.popleft()


def capacity_reserves(
    arrivals: deque[Arrival],
    waits: Mapping[str | None, float],
    boot_s: float,
    now: float,
    window_s: float,
    spreads: ReserveSpreads,
    class_of: Callable[[Arrival], int] | None = None,
) -> list[CapacityReserve]:
    """Returns the reserves that recent arrivals require, by class.

    `waits`: seconds within which work of a class should start; the key None stands for any work
    within its team's guarantee. `class_of`: returns the priority class of an arrival; None if
    priority classes are not declared.

    On average, departures free enough capacity for the arrivals. The reserve covers deviations: a
    number of standard deviations of the tasks that arrive during a boot, with jobs arriving as a
    Poisson process. Older arrivals have less weight, so that the reserve shrinks to nothing once a
    class stops arriving.
    """
    reserves = []
    guarantee_wait_s = waits.get(None, math.inf)
    for job_class, recent in _by_class(arrivals, now, window_s, class_of):
        class_wait_s = waits.get(job_class, math.inf)
        if min(class_wait_s, guarantee_wait_s) >= boot_s:
            continue
        spread = spreads.objective if class_wait_s < boot_s else spreads.guarantee
        for shard, pooled, arrived in _by_shard(recent):
            squares = sum(a.tasks**2 * math.exp((a.at - now) / window_s) for a in arrived)
            deviation = math.sqrt(squares * boot_s / window_s)
            last = arrived[-1]
            reserves.append(
                CapacityReserve(
                    tasks=round(spread * deviation),
                    demand=last.need,
                    rank=last.rank,
                    spot=last.spot,
                    shard=shard,
                    pooled=pooled,
                )
            )
    return reserves


def _by_class(
    arrivals: deque[Arrival],
    now: float,
    window_s: float,
    class_of: Callable[[Arrival], int] | None,
) -> list[tuple[str, list[Arrival]]]:
    """Returns recent arrivals by job class, sorted by descending rank, then by priority class."""
    by_class: dict[str, list[Arrival]] = {}
    for arrival in arrivals:
        if now - arrival.at <= ARRIVAL_WINDOWS * window_s:
            by_class.setdefault(arrival.job_class, []).append(arrival)

    def order(item: tuple[str, list[Arrival]]) -> tuple[int, int]:
        """Returns the sort key of a job class, from its latest arrival."""
        last = item[1][-1]
        return -last.rank, 0 if class_of is None else class_of(last)

    return sorted(by_class.items(), key=order)


def _by_shard(arrivals: list[Arrival]) -> list[_ClassArrivals]:
    """Groups the arrivals of one class by the shard in which capacity is reserved for them."""
    by_shard: dict[int, list[Arrival]] = {}
    for arrival in arrivals:
        by_shard.setdefault(arrival.shard, []).append(arrival)
    if arrivals[-1].spot:
        # Idle spot machines are empty and can be moved, so that one reserve serves all shards.
        most = max(by_shard, key=lambda shard: sum(a.tasks for a in by_shard[shard]))
        return [_ClassArrivals(most, True, arrivals)]
    return [_ClassArrivals(shard, False, arrived) for shard, arrived in by_shard.items()]


def wait_s_by_class(objectives: Sequence[Objective]) -> dict[str | None, float]:
    """Returns the seconds within which work of a class should start, by class.

    The key None stands for work within a guarantee.
    """
    return {
        objective.job_class: objective.within_s
        for objective in objectives
        if objective.within_s is not None
        and (objective.kind == "guarantee" or (objective.kind == "wait" and objective.job_class))
    }


def reserve_spreads(objectives: Sequence[Objective], tunables: Tunables) -> ReserveSpreads:
    """Returns the sizes of the reserves, from the fraction of starts that must be in time."""
    required = [
        objective.required_fraction or 0.0
        for objective in objectives
        if objective.kind == "guarantee"
    ]
    # The quantile of a normal distribution gives the deviations to cover so that the required
    # fraction starts in time. Departures absorb ABSORBED_DEVIATIONS of them, which covers the work
    # that operators allow to start late.
    fraction = min(max(max(required, default=0.0), MIN_REQUIRED_FRACTION), MAX_REQUIRED_FRACTION)
    deviations = max(0.0, NormalDist().inv_cdf(fraction) - ABSORBED_DEVIATIONS)
    return ReserveSpreads(
        guarantee=tunables.reserve_guarantee * deviations,
        objective=tunables.reserve_spread,
    )
