"""How much capacity is reserved for work that should start sooner than a machine boots."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from badgerseam.model.resources import Resources
from badgerseam.model.state import Arrival

ARRIVAL_WINDOWS = 4
"""Windows after which an arrival does not count any more."""


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
    wait_s_by_class: Mapping[str | None, float],
    boot_s: float,
    now: float,
    window_s: float,
    spreads: ReserveSpreads,
    class_of: Callable[[Arrival], int] | None = None,
) -> list[CapacityReserve]:
    """The reserves that recent arrivals call for, by class.

    `wait_s_by_class`: how soon work of a class should start; None stands for any work within its
    team's guarantee. `class_of`: the priority class of an arrival, where such are declared.

    Departures make up for the mean of the arrivals. What is reserved is some standard deviations of
    the tasks that arrive while a machine boots, as if jobs came at random. Older arrivals count
    less, so that the reserve ends when no more of a class arrives.
    """
    reserves = []
    any_wait_s = wait_s_by_class.get(None, math.inf)
    for job_class, recent in _by_class(arrivals, now, window_s, class_of):
        class_wait_s = wait_s_by_class.get(job_class, math.inf)
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
