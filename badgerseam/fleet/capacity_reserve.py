"""How much capacity is reserved for work that should start sooner than a machine boots."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from statistics import NormalDist
from typing import NamedTuple

from badgerseam.model.resources import Resources
from badgerseam.model.state import Arrival
from badgerseam.settings import Objective, Tunables

ARRIVAL_WINDOWS = 4
"""Windows after which an arrival does not count any more."""
TYPICAL_QUANTILE = 0.8
"""Standard deviations of arrivals that departures make up for (measured: no reserve was needed
where four fifths are to start in time)."""
MIN_QUANTILE = 0.5
MAX_QUANTILE = 0.999


@dataclass(slots=True)
class CapacityReserve:
    """Capacity to be reserved for a class whose tasks should start sooner than a machine boots."""

    tasks: int
    demand: Resources
    """Of each task."""
    rank: int
    spot: bool
    shard: int
    """Where the class arrives, or most of it."""
    pooled: bool
    """Capacity in other shards will do."""


class ReserveSpreads(NamedTuple):
    """How many standard deviations of the arrivals are reserved."""

    guarantee: float
    """For classes that only the guarantee covers."""
    objective: float
    """For classes with an objective of their own."""


class _ClassArrivals(NamedTuple):
    """Arrivals of one class for which there is one reserve."""

    shard: int
    pooled: bool
    arrivals: list[Arrival]


def drop_old_arrivals(arrivals: deque[Arrival], now: float, window_s: float) -> None:
    """Drop the arrivals that are too old to count.

    They are nearly in order; one that is out of order is dropped when it is the first.
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
    """The reserves that recent arrivals call for, by class.

    `waits`: how soon, in seconds, work of a class should start; None stands for any work within its
    team's guarantee. `class_of`: the priority class of an arrival, where such are declared.

    Departures make up for the mean of the arrivals. What is reserved is some standard deviations of
    the tasks that arrive while a machine boots, as if jobs came at random. Older arrivals count
    less, so that the reserve ends when no more of a class arrives.
    """
    reserves = []
    any_wait_s = waits.get(None, math.inf)
    for job_class, recent in _by_class(arrivals, now, window_s, class_of):
        class_wait_s = waits.get(job_class, math.inf)
        if min(class_wait_s, any_wait_s) >= boot_s:
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
    """Recent arrivals by job class: the highest rank first, of a rank the first priority class."""
    by_class: dict[str, list[Arrival]] = {}
    for arrival in arrivals:
        if now - arrival.at <= ARRIVAL_WINDOWS * window_s:
            by_class.setdefault(arrival.job_class, []).append(arrival)

    def order(item: tuple[str, list[Arrival]]) -> tuple[int, int]:
        """The order of a class, by its latest arrival."""
        last = item[1][-1]
        return -last.rank, 0 if class_of is None else class_of(last)

    return sorted(by_class.items(), key=order)


def _by_shard(arrivals: list[Arrival]) -> list[_ClassArrivals]:
    """The arrivals of one class, by the shard in which capacity is reserved for them."""
    by_shard: dict[int, list[Arrival]] = {}
    for arrival in arrivals:
        by_shard.setdefault(arrival.shard, []).append(arrival)
    if arrivals[-1].spot:
        # Spot instances are empty and can be moved: one reserve serves all shards.
        most = max(by_shard, key=lambda shard: sum(a.tasks for a in by_shard[shard]))
        return [_ClassArrivals(most, True, arrivals)]
    return [_ClassArrivals(shard, False, arrived) for shard, arrived in by_shard.items()]


def wait_s_by_class(objectives: Sequence[Objective]) -> dict[str | None, float]:
    """How soon work of a class should start; None stands for work within a guarantee."""
    return {
        objective.job_class: objective.within_s
        for objective in objectives
        if objective.within_s is not None
        and (objective.kind == "guarantee" or (objective.kind == "wait" and objective.job_class))
    }


def reserve_spreads(objectives: Sequence[Objective], tunables: Tunables) -> ReserveSpreads:
    """How much is reserved for the part of the starts that objectives require to be in time."""
    required = [
        objective.required_fraction or 0.0
        for objective in objectives
        if objective.kind == "guarantee"
    ]
    # Of a normal distribution, so many deviations are needed for the part that is to start in time;
    # departures make up for what operators accept to be late.
    fraction = min(max(max(required, default=0.0), MIN_QUANTILE), MAX_QUANTILE)
    deviations = max(0.0, NormalDist().inv_cdf(fraction) - TYPICAL_QUANTILE)
    return ReserveSpreads(
        guarantee=tunables.reserve_guarantee * deviations,
        objective=tunables.reserve_spread,
    )
