"""What is about to come of each class after a takeover, from the arrivals before it.

Arrivals are derived from the jobs' own records, which every controller follows: nothing is written
for this. Users that got no answer while a controller was gone come back a second or more later;
what came of a class before it went says how much, and what has come since is taken off.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from badgerseam.model.resources import Resources
from badgerseam.model.state import Arrival

WINDOWS_S = (10.0, 60.0)
"""Over which a rate is taken: the highest counts, so that a burst that has just begun does."""
LONGEST_GAP_S = 30.0
"""A vacancy that began longer before a claim is not the one that ended with it."""
SLACK_S = 5.0
"""Arrivals are in the order in which they were seen; their times are apart by no more."""
MAX_TASKS = 2000


@dataclass(frozen=True, slots=True)
class TaskKind:
    """Tasks that are alike for what they take."""

    priority_class: int
    rank: int
    demand: Resources
    spot: bool


ClassOf = Callable[[Arrival], int]


def rates(
    arrivals: Iterable[Arrival], class_of: ClassOf, shard: int, before: float, lowest: int
) -> dict[TaskKind, float]:
    """Tasks a second that came to a share before a time, of all classes but the lowest."""
    sums: dict[TaskKind, list[float]] = {}
    for arrival in arrivals:
        age = before - arrival.at
        if arrival.shard != shard or not 0 <= age <= max(WINDOWS_S):
            continue
        klass = class_of(arrival)
        if klass >= lowest:
            continue
        kind = TaskKind(klass, arrival.rank, arrival.need, arrival.spot)
        found = sums.setdefault(kind, [0.0] * len(WINDOWS_S))
        for position, window_s in enumerate(WINDOWS_S):
            if age <= window_s:
                found[position] += arrival.tasks / window_s
    return {kind: max(found) for kind, found in sums.items()}


def expected_tasks(
    expected: dict[TaskKind, float],
    recent: Iterable[Arrival],
    class_of: ClassOf,
    shard: int,
    since: float,
    until: float,
) -> dict[TaskKind, int]:
    """Tasks of each kind that should come between two times and have not come yet.

    `expected`: tasks a second; `recent`: arrivals, the latest first.
    """
    came: dict[TaskKind, int] = {}
    for arrival in recent:
        if arrival.at < since - SLACK_S:
            break
        if arrival.shard == shard and arrival.at >= since:
            kind = TaskKind(class_of(arrival), arrival.rank, arrival.need, arrival.spot)
            came[kind] = came.get(kind, 0) + arrival.tasks
    found = {}
    for kind, rate in expected.items():
        # Half a task that may come is not worth a machine.
        tasks = math.floor(rate * (until - since) + 0.5) - came.get(kind, 0)
        if tasks > 0:
            found[kind] = min(tasks, MAX_TASKS)
    return found
