"""Amounts of processors, accelerators and memory."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

SLACK = 1e-6
"""Amounts are decimal numbers; sums of them are compared with this tolerance."""
MAX_COUNT = 1000.0
"""Tasks that count as fitting a machine at most, as those that use nothing do."""


class Resources(NamedTuple):
    """Amounts of CPUs, GPUs and memory, used or free."""

    cpus: float
    gpus: float
    memory_gb: float

    def plus(self, other: Resources) -> Resources:
        """The sum, amount by amount."""
        return Resources(
            self.cpus + other.cpus, self.gpus + other.gpus, self.memory_gb + other.memory_gb
        )

    def minus(self, other: Resources) -> Resources:
        """The difference, amount by amount; it may be negative."""
        return Resources(
            self.cpus - other.cpus, self.gpus - other.gpus, self.memory_gb - other.memory_gb
        )

    def times(self, count: int) -> Resources:
        """These amounts so many times."""
        return Resources(self.cpus * count, self.gpus * count, self.memory_gb * count)

    def fits_in(self, free: Resources) -> bool:
        """Whether so much is free, within SLACK."""
        return (
            self.cpus <= free.cpus + SLACK
            and self.gpus <= free.gpus + SLACK
            and self.memory_gb <= free.memory_gb + SLACK
        )

    def count_in(self, free: Resources) -> int:
        """How often this fits into what is free, at most MAX_COUNT times."""
        count = MAX_COUNT
        for demanded, available in zip(self, free, strict=True):
            if demanded > SLACK:
                count = min(count, (available + SLACK) / demanded)
        return max(int(count), 0)


NOTHING = Resources(0.0, 0.0, 0.0)


def sum_of(amounts: Iterable[Resources]) -> Resources:
    """All of them together."""
    total = NOTHING
    for amount in amounts:
        total = total.plus(amount)
    return total


def least_of(demands: Iterable[Resources]) -> Resources:
    """The least demand of each amount; nothing if there are none."""
    return Resources(*(min(amounts) for amounts in zip(*(list(demands) or [NOTHING]), strict=True)))
