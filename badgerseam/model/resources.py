"""Amounts of processors, accelerators and memory."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

SLACK = 1e-6
"""Amounts are decimal numbers; sums of them are compared with this tolerance."""


class Resources(NamedTuple):
    cpus: float
    gpus: float
    memory_gb: float

    def plus(self, other: Resources) -> Resources:
        return Resources(
            self.cpus + other.cpus, self.gpus + other.gpus, self.memory_gb + other.memory_gb
        )

    def minus(self, other: Resources) -> Resources:
        return Resources(
            self.cpus - other.cpus, self.gpus - other.gpus, self.memory_gb - other.memory_gb
        )

    def times(self, count: int) -> Resources:
        return Resources(self.cpus * count, self.gpus * count, self.memory_gb * count)

    def fits_in(self, room: Resources) -> bool:
        """Whether this much fits into the room."""
        return (
            self.cpus <= room.cpus + SLACK
            and self.gpus <= room.gpus + SLACK
            and self.memory_gb <= room.memory_gb + SLACK
        )

    def count_in(self, room: Resources) -> int:
        """How often this fits into the room; a task that takes nothing counts as 1,000."""
        most = 1000.0
        for need, have in zip(self, room, strict=True):
            if need > SLACK:
                most = min(most, (have + SLACK) / need)
        return max(int(most), 0)


NOTHING = Resources(0.0, 0.0, 0.0)


def sum_of(amounts: Iterable[Resources]) -> Resources:
    """All of them together."""
    total = NOTHING
    for amount in amounts:
        total = total.plus(amount)
    return total


def least_of(needs: Iterable[Resources]) -> Resources:
    """What each of them takes at least, of each amount; nothing if there are none."""
    return Resources(*(min(amounts) for amounts in zip(*(list(needs) or [NOTHING]), strict=True)))
