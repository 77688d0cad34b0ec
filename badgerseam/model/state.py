"""Plain data classes for shards, teams, claims and arrivals as a controller sees them."""

from __future__ import annotations

from dataclasses import dataclass, field

from badgerseam.model.job import Attempt
from badgerseam.model.resources import NOTHING, Resources
from badgerseam.wire import state as wire


@dataclass(frozen=True, slots=True)
class Arrival:
    """An accepted job, as input for forecasts of demand."""

    at: float
    job_class: str
    shard: int
    tasks: int
    need: Resources
    rank: int
    spot: bool
    team: int = -1


@dataclass(slots=True)
class TeamState:
    """A team with its shard and its quota."""

    name: str
    shard: int
    guarantee: Resources
    limit: Resources
    used: Resources = NOTHING


@dataclass(slots=True)
class ObservedClaim:
    """A claim as read from the replicated state."""

    record: wire.ClaimRecord
    version: int


@dataclass(slots=True)
class ObservedController:
    """A controller's own record as read from the replicated state."""

    record: wire.ControllerRecord
    version: int


@dataclass(slots=True)
class ObservedLevel:
    """The site's level as read from the replicated state."""

    level: int
    version: int
    """Version of the level's record, 0 if there is none. Writes whose format depends on the level
    are conditional on this version."""
    migrated: int = 1
    """The level to which all records have been migrated."""


CLOCK_DRIFT = 1.001
"""Factor on the lease of a worker: each monotonic clock may drift by up to 0.05 %, and the rest
allows for slow code."""
MAX_STATE_AGE_S = 4.0
"""Largest age of a controller's state at which it may still answer heartbeats on behalf of another
controller: a few watch intervals."""


@dataclass(slots=True)
class ObservedProxy:
    """A proxy record as read from the replicated state."""

    record: wire.ProxyRecord
    version: int


@dataclass(slots=True)
class Page:
    """The rows of many jobs' tasks that are stored under one key."""

    version: int
    jobs: dict[str, wire.JobRows]
    size_bytes: int = 0
    """Size of the stored value, or an upper bound on it."""


@dataclass(slots=True)
class Shard:
    """A shard of teams and machines."""

    index: int
    claim: ObservedClaim | None = None
    owned: bool = False
    """Whether this controller acts as the owner of the shard."""
    releasing: bool = False
    """Whether this controller is giving up the shard."""
    term: int = 0
    """Version of the claim under which this controller owns the shard."""
    finished: int = 0
    """Number of tasks that have finished."""
    evicted: int = 0
    """Number of tasks that have been evicted."""
    counts_version: int = 0
    owned_since: float = 0.0
    unowned_since: float = 0.0
    ever_claimed: bool = False
    planned: list[Attempt] = field(default_factory=list)
    """Placements that are to be made durable."""
    completions_due: dict[int, float] = field(default_factory=dict)
    """Jobs with finished tasks that are to be made durable, with the time by which that is due."""
    oldest_job: int | None = None
    """Index of the aged job that is placed first; see `sched.oldest_job`."""
    oldest_job_since: float = 0.0
    """When this job became the oldest one."""
    oldest_job_fraction: float = 1.0
    """Fraction of the low-priority starts that the oldest job may use."""
    oldest_job_credit: float = 1.0
    """Credit for starts of the oldest job; while it is not positive, no job is placed first."""
    notes_due: set[int] = field(default_factory=set)
    """Jobs with notes to be made durable, at the latest with the next write of the shard."""
    notes_deferred: dict[int, float] = field(default_factory=dict)
    """Jobs with notes that are written together with the next write of the shard, with the time by
    which they are written on their own otherwise."""
    committing: bool = False
    """Whether a transaction with tasks of the shard is in flight; at most one is."""
    previous_owner: str | None = None
    """The controller that held the claim before the current one, if known."""

    def forget_pending_writes(self) -> None:
        """Discards everything that is still to be made durable."""
        self.planned.clear()
        self.completions_due.clear()
        self.notes_due.clear()
        self.notes_deferred.clear()
