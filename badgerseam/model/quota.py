"""Accounts of the resources that each team may be using on machines, checked against its limit.

A limit applies to everything that may actually run on machines. An attempt therefore counts from
the moment it is planned until it has certainly ended: also while its launch is delayed, while it is
stopping, evicted or cancelled, and on machines that hang or cannot be reached. The sums are kept in
whole millionths, so that they return to exactly zero after the same amounts have been added and
subtracted.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from badgerseam.model.resources import Resources

MILLIONTHS = 1_000_000
"""Units per whole resource."""


@dataclass(slots=True)
class ResourceSum:
    """An exact sum of resources, to which the same amounts may be added and subtracted many
    times."""

    cpus: int = 0
    gpus: int = 0
    memory_gb: int = 0

    def add(self, demand: Resources, count: int) -> None:
        """Adds `count` times a task's demand; a negative count subtracts."""
        self.cpus += round(demand.cpus * MILLIONTHS) * count
        self.gpus += round(demand.gpus * MILLIONTHS) * count
        self.memory_gb += round(demand.memory_gb * MILLIONTHS) * count

    def total(self) -> Resources:
        """Returns the current sum."""
        return Resources(
            self.cpus / MILLIONTHS, self.gpus / MILLIONTHS, self.memory_gb / MILLIONTHS
        )


@dataclass(slots=True)
class QuotaAccount:
    """Resources of all attempts of one team."""

    reserved: ResourceSum = field(default_factory=ResourceSum)
    """Resources of attempts that are planned, placed, or have not certainly ended. The planner
    checks the limit against this sum."""
    exposed: ResourceSum = field(default_factory=ResourceSum)
    """Resources of attempts that have been launched, by this or an earlier owner, and may be on
    their machines. The limit is checked against this sum before each launch."""
