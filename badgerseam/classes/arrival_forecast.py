"""Forecasts which tasks of each class are about to arrive after a takeover, from earlier arrivals.

Arrivals are derived from the job records that every controller watches: the forecast writes
nothing. Users whose requests failed while a shard had no owner retry a second or more later. The
arrival rate of a class before the shard lost its owner gives the expected number of tasks; tasks
that have arrived since are subtracted.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from badgerseam.model.resources import Resources
from badgerseam.model.state import Arrival

WINDOWS_S = (10.0, 60.0)
"""Lengths of the windows over which arrival rates are measured. The highest rate is used, so that a
burst that has just begun is taken into account."""
MAX_UNOWNED_S = 30.0
"""The longest time without an owner that is attributed to the takeover. A shard that had no owner
for longer had none for another reason."""
MAX_DISORDER_S = 5.0
"""The most by which the times of arrivals are out of order: arrivals are stored in the order in
which they were observed."""
MAX_TASKS = 2000


@dataclass(frozen=True, slots=True)
class TaskKind:
    """Tasks that need the same capacity and have the same priority."""

    priority_class: int
    rank: int
    demand: Resources
    spot: bool
    """Whether they may run on spot machines."""


ClassOf = Callable[[Arrival], int]
"""The priority class of an arrival."""


def arrival_rates(
    arrivals: Iterable[Arrival], class_of: ClassOf, shard: int, before: float, lowest_class: int
) -> dict[TaskKind, float]:
    """Returns the arrival rates (tasks per second) of a shard before a time, for all classes but
    the lowest."""
    rates_by_window: dict[TaskKind, list[float]] = {}
    for arrival in arrivals:
        age_s = before - arrival.at
        if arrival.shard != shard or not 0 <= age_s <= max(WINDOWS_S):
            continue
        priority_class = class_of(arrival)
        if priority_class >= lowest_class:
            continue
        kind = TaskKind(priority_class, arrival.rank, arrival.need, arrival.spot)
        rates = rates_by_window.setdefault(kind, [0.0] * len(WINDOWS_S))
        for position, window_s in enumerate(WINDOWS_S):
            if age_s <= window_s:
                rates[position] += arrival.tasks / window_s
    return {kind: max(rates) for kind, rates in rates_by_window.items()}


def expected_tasks(
    rates: dict[TaskKind, float],
    recent: Iterable[Arrival],
    class_of: ClassOf,
    shard: int,
    since: float,
    until: float,
) -> dict[TaskKind, int]:
    """Returns the number of tasks of each kind expected between two times that have not arrived
    yet.

    `rates`: tasks per second; `recent`: arrivals, the latest first.
    """
    arrived: dict[TaskKind, int] = {}
    for arrival in recent:
        if arrival.at < since - MAX_DISORDER_S:
            break
        if arrival.shard == shard and arrival.at >= since:
            kind = TaskKind(class_of(arrival), arrival.rank, arrival.need, arrival.spot)
            arrived[kind] = arrived.get(kind, 0) + arrival.tasks
    expected = {}
    for kind, rate in rates.items():
        # Less than half an expected task does not justify reserving a machine.
        tasks = math.floor(rate * (until - since) + 0.5) - arrived.get(kind, 0)
        if tasks > 0:
            expected[kind] = min(tasks, MAX_TASKS)
    return expected
