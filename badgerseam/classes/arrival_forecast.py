"""Forecasts which tasks of each class are about to arrive after a takeover, from earlier arrivals.

Arrivals are derived from the jobs' own records, which every controller follows: nothing is written
for this. Users whose requests failed while a shard had no owner retry a second or more later; the
arrival rate of a class before that says how many tasks to expect, and what has arrived since is
subtracted.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from badgerseam.model.resources import Resources
from badgerseam.model.state import Arrival

WINDOWS_S = (10.0, 60.0)
"""Over which arrival rates are measured; the highest rate counts, so that a burst that has just
begun does."""
MAX_UNOWNED_S = 30.0
"""A shard that was without an owner for longer before a claim was so for another reason than the
takeover."""
MAX_DISORDER_S = 5.0
"""Arrivals are in the order in which they were observed; their times are out of order by no
more."""
MAX_TASKS = 2000


@dataclass(frozen=True, slots=True)
class TaskKind:
    """Tasks that need the same capacity and have the same priority."""

    priority_class: int
    rank: int
    demand: Resources
    spot: bool
    """They may run on spot machines."""


ClassOf = Callable[[Arrival], int]
"""The priority class of an arrival."""


def arrival_rates(
    arrivals: Iterable[Arrival], class_of: ClassOf, shard: int, before: float, lowest_class: int
) -> dict[TaskKind, float]:
    """Tasks a second that arrived in a shard before a time, of all classes but the lowest."""
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
    """Tasks of each kind that should arrive between two times and have not arrived yet.

    `rates`: tasks a second; `recent`: arrivals, the latest first.
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
        # Half a task that may arrive is not worth a machine.
        tasks = math.floor(rate * (until - since) + 0.5) - arrived.get(kind, 0)
        if tasks > 0:
            expected[kind] = min(tasks, MAX_TASKS)
    return expected
