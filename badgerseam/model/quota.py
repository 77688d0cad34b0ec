"""The resources that a team may be using on machines, against which its limit is checked.

A limit holds for what machines really carry, so that an attempt counts from the moment it is
planned until it is certainly gone: while it is launched, delayed on its way, stopping, evicted or
cancelled, and on machines that hang or cannot be reached. The amounts are kept as whole millionths,
so that they add up to exactly nothing again.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from badgerseam.model.resources import Resources

MILLIONTHS = 1_000_000


@dataclass(slots=True)
class Amounts:
    """A sum of resources to which the same amounts are added and subtracted many times."""

    cpus: int = 0
    gpus: int = 0
    memory_gb: int = 0

    def add(self, demand: Resources, count: int) -> None:
        """Add a task's demand so many times; a negative count subtracts."""
        self.cpus += round(demand.cpus * MILLIONTHS) * count
        self.gpus += round(demand.gpus * MILLIONTHS) * count
        self.memory_gb += round(demand.memory_gb * MILLIONTHS) * count

    def total(self) -> Resources:
        """The sum as it is now."""
        return Resources(
            self.cpus / MILLIONTHS, self.gpus / MILLIONTHS, self.memory_gb / MILLIONTHS
        )


@dataclass(slots=True)
class QuotaAccount:
    """Resources of the attempts of one team."""

    reserved: Amounts = field(default_factory=Amounts)
    """Of attempts that are planned, placed, or not certainly gone. Plans keep to this."""
    exposed: Amounts = field(default_factory=Amounts)
    """Of those that have been launched, here or by an earlier owner, and may be on their machines.
    Launches keep to this."""
