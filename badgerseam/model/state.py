"""What a controller knows of shards, teams, claims and arrivals: plain records."""

from __future__ import annotations

from dataclasses import dataclass, field

from badgerseam.model.job import Attempt
from badgerseam.model.resources import NOTHING, Resources
from badgerseam.wire import state as wire


@dataclass(frozen=True, slots=True)
class Arrival:
    """A job at its acceptance, for the forecast of what the next ones need."""

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
    """A claim as the replica shows it."""

    record: wire.ClaimRecord
    version: int


@dataclass(slots=True)
class ObservedController:
    """A controller's own record as the replica shows it."""

    record: wire.ControllerRecord
    version: int


@dataclass(slots=True)
class ObservedLevel:
    """The site's level as the replica shows it."""

    level: int
    version: int
    """Version of its record, 0 if there is none: what is written in a form that depends on the
    level is conditional on it."""
    migrated: int = 1
    """Up to which level all records have been migrated."""


CLOCK_DRIFT = 1.001
"""Factor on the lease of a worker: steady clocks differ by up to 0.05 % each, and the rest is for
slow code."""
MAX_STATE_AGE_S = 4.0
"""How old a controller's state may be at most for it to answer in another's place: some intervals
of the watch."""


@dataclass(slots=True)
class ObservedProxy:
    """A proxy record as the replica shows it."""

    record: wire.ProxyRecord
    version: int


@dataclass(slots=True)
class Page:
    """Tasks of many jobs under one key, as they are stored."""

    version: int
    jobs: dict[str, wire.JobRows]


@dataclass(slots=True)
class Shard:
    """A shard of teams and machines."""

    index: int
    claim: ObservedClaim | None = None
    owned: bool = False
    """This controller acts for the shard."""
    releasing: bool = False
    term: int = 0
    finished: int = 0
    evicted: int = 0
    counts_version: int = 0
    owned_since: float = 0.0
    unowned_since: float = 0.0
    ever_claimed: bool = False
    planned: list[Attempt] = field(default_factory=list)
    """Placements to be made durable."""
    completions_due: dict[int, float] = field(default_factory=dict)
    """Jobs with finished tasks to be made durable, and by when."""
    oldest_job: int | None = None
    """The job that has waited for so long that it goes first; see `sched.planner.Planner`."""
    oldest_job_since: float = 0.0
    oldest_job_fraction: float = 1.0
    """Fraction of the starts that is for it."""
    oldest_job_credit: float = 1.0
    """Starts of low-priority work that it may still take before others have their turn."""
    notes_due: set[int] = field(default_factory=set)
    """Jobs with notes to be made durable, with the next write of the shard or before."""
    notes_deferred: dict[int, float] = field(default_factory=dict)
    """Jobs with notes that go with whatever is written next, and by when they go alone."""
    committing: bool = False
    """A transaction with tasks of the shard is on its way; there is one at a time."""
    previous_owner: str | None = None
    """The controller that held the shard before its present claim, as far as known."""

    def forget_pending_writes(self) -> None:
        """Drop what is to be made durable."""
        self.planned.clear()
        self.completions_due.clear()
        self.notes_due.clear()
        self.notes_deferred.clear()
