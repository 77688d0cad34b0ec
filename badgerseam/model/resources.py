"""Amounts of CPUs, GPUs and memory."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

SLACK = 1e-6
"""Tolerance for comparisons: amounts are decimal fractions, whose sums have rounding errors."""
MAX_COUNT = 1000.0
"""Bound on how many tasks count as fitting on a machine, needed for tasks that use nothing."""


class Resources(NamedTuple):
    """Amounts of CPUs, GPUs and memory, used or free."""

    cpus: float
    gpus: float
    memory_gb: float

    def plus(self, other: Resources) -> Resources:
        """Returns the sum, component by component."""
        return Resources(
            self.cpus + other.cpus, self.gpus + other.gpus, self.memory_gb + other.memory_gb
        )

    def minus(self, other: Resources) -> Resources:
        """Returns the difference, component by component; components may be negative."""
        return Resources(
            self.cpus - other.cpus, self.gpus - other.gpus, self.memory_gb - other.memory_gb
        )

    def times(self, count: int) -> Resources:
        """Returns these amounts multiplied by a count."""
        return Resources(self.cpus * count, self.gpus * count, self.memory_gb * count)

    def fits_in(self, free: Resources) -> bool:
        """Whether all amounts are at most the free ones, within SLACK."""
        return (
            self.cpus <= free.cpus + SLACK
            and self.gpus <= free.gpus + SLACK
            and self.memory_gb <= free.memory_gb + SLACK
        )

    def count_in(self, free: Resources) -> int:
        """Returns how many times these amounts fit into the free ones, at most MAX_COUNT."""
        count = MAX_COUNT
        for demanded, available in zip(self, free, strict=True):
            if demanded > SLACK:
                count = min(count, (available + SLACK) / demanded)
        return max(int(count), 0)


NOTHING = Resources(0.0, 0.0, 0.0)


def sum_of(amounts: Iterable[Resources]) -> Resources:
    """Returns the sum of several amounts."""
    total = NOTHING
    for amount in amounts:
        total = total.plus(amount)
    return total


def least_of(demands: Iterable[Resources]) -> Resources:
    """Returns the component-wise minimum of demands; NOTHING if there are none."""
    return Resources(*(min(amounts) for amounts in zip(*(list(demands) or [NOTHING]), strict=True)))
