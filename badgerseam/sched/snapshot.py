"""Input and output of the preemptive task scheduler (PTS): plain data without behaviour.

Units: amounts are `Resources`, durations end in `_s` (seconds), times are monotonic seconds unless
stated otherwise. Machines and jobs are named by their index in the model, teams by theirs in the
settings.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from badgerseam.model.resources import NOTHING, Resources


@dataclass(slots=True)
class RunningTask:
    """A task on a machine, which may become a victim of preemption."""

    key: tuple[int, int]
    """Job and task number."""
    demand: Resources
    rank: int
    team: int
    running_since: float | None
    """When it was first seen to run; None if it has not been yet."""
    checkpoint_s: float
    is_evictable: bool
    high: bool = False
    """Of high priority (HP): never evicted for work of the same or a lower rank."""
    ends_at: float = math.inf
    """When it should end by its team's estimate."""
    is_service: bool = False
    placed_at: float = 0.0
    group: tuple[int, int] | None = None
    """Job and number of the replica that it is a member of, which is evicted as a whole; None if it
    is evicted alone."""

    def waste(self, now: float) -> float:
        """Slot seconds lost by an eviction: since the last checkpoint by the declared interval."""
        if self.running_since is None:
            return 0.0
        lost_s = now - self.running_since
        if self.checkpoint_s > 0:
            lost_s = math.fmod(lost_s, self.checkpoint_s)
        return slots_of(self.demand) * lost_s


@dataclass(slots=True)
class MachineSnapshot:
    """A machine on which tasks may be placed."""

    index: int
    type: str
    zone: str
    spot: bool
    total: Resources
    free: Resources
    high_slots: float
    """Slots of high-priority work."""
    low_slots: float
    """Slots of low-priority work."""
    evictions: int
    """Evictions within the window."""
    images: set[str]
    """Images that need not be fetched."""
    running: list[RunningTask] = field(default_factory=list)
    fetch_gb_per_s: float = 1.0

    def copy(self) -> MachineSnapshot:
        """A copy that a plan may change."""
        return MachineSnapshot(
            self.index,
            self.type,
            self.zone,
            self.spot,
            self.total,
            self.free,
            self.high_slots,
            self.low_slots,
            self.evictions,
            self.images,
            list(self.running),
            self.fetch_gb_per_s,
        )

    @property
    def slots(self) -> float:
        """The machine's size in the paper's slots."""
        return self.total.gpus or self.total.cpus

    @property
    def idle_slots(self) -> float:
        """Free slots."""
        return self.free.gpus if self.total.gpus else self.free.cpus


class StayingMember(NamedTuple):
    """A task of a replica that stays on its machine."""

    machine: int
    zone: str
    type: str


@dataclass(frozen=True, slots=True)
class GangRules:
    """Rules of a replica that spans machines, for those of its tasks that need capacity."""

    number: int
    """The replica's number in its job."""
    size: int
    """Tasks of the whole replica."""
    min_machines: int = 1
    """Fewest machines that the whole replica spans."""
    max_machines: int | None = None
    """Most machines that the whole replica spans; None if there is no bound."""
    same_zone: bool = True
    same_type: bool = False
    staying_members: tuple[StayingMember, ...] = ()
    reserved_machines: tuple[int, ...] = ()
    """Machines with capacity reserved for the replica, once for each task."""
    reserve_only: bool = False
    """The tasks run: new capacity is only reserved, and nothing more is used meanwhile."""
    may_move_whole: bool = False
    """The whole replica may be moved where there is no capacity beside the members that stay."""
    zone: str | None = None
    """Where machines are rented for it, if its job's rules leave it only some zones."""
    stop_s: float = 0.0
    """How long the stop of a member takes."""


@dataclass(slots=True)
class Request:
    """Tasks of one job that wait to be placed. They are alike: each is one pod of the paper."""

    job: int
    count: int
    demand: Resources
    rank: int
    high: bool
    """Of high priority (HP): may evict work of lower ranks."""
    team: int
    types: frozenset[str] | None
    zone: str | None
    one_zone: bool
    zone_limit: int | None
    """Most tasks of the job that may be in one zone."""
    spot: bool
    """Its tasks may run on spot instances."""
    image: str
    zone_counts: dict[str, int]
    """Tasks of the job by zone, those that may still run there included."""
    avoided_machines: set[int]
    order: float
    """The lowest goes first within a rank."""
    gang: bool = False
    """All of its tasks are placed, or none."""
    wait_s: float | None = None
    """How soon the operator wants its tasks started."""
    image_gb: float = 0.0
    priority_class: int = 0
    """The first one is 0: the lowest goes first within a rank, behind claims to guarantees."""
    queue_position: int = 0
    """Given when the job was accepted: decides between requests that are equal otherwise."""
    oldest_waiting: bool = False
    """It has waited for so long that it goes before other low-priority work, whatever its rank."""
    gang_rules: GangRules | None = None
    """Its tasks are those of one replica that need capacity: all are placed, or none."""

    @property
    def gathers_capacity(self) -> bool:
        """Whether capacity that frees is kept for it until all of its tasks fit."""
        return self.oldest_waiting and self.gang

    @property
    def is_plain(self) -> bool:
        """Whether nothing but its demand and its rank decides where it may go."""
        return (
            self.types is None
            and self.zone is None
            and not self.one_zone
            and self.zone_limit is None
            and not self.avoided_machines
        )


@dataclass(slots=True)
class TeamUse:
    """Usage and quota of a team."""

    used: Resources
    """What its tasks use once the victims of this plan have ended."""
    guarantee: Resources
    limit: Resources
    draining: Resources = NOTHING
    """What the victims of this plan use until they have ended: a limit holds for what is on
    machines, and a victim may write a checkpoint, hang, or be unreachable for a whole lease."""

    def allows(self, demand: Resources) -> bool:
        """Whether the team stays within its limit with so much more."""
        return self.used.plus(self.draining).plus(demand).fits_in(self.limit)

    def headroom(self) -> Resources:
        """What the team may still use within its limit."""
        return self.limit.minus(self.used).minus(self.draining)


@dataclass(slots=True)
class Snapshot:
    """The state of a shard that a plan starts from. Planning does not change it."""

    nodes: list[MachineSnapshot]
    requests: list[Request]
    teams: dict[int, TeamUse]
    finished: int
    """Tasks of the shard that have finished, for the eviction rate of Equation 14."""
    evicted: int
    """Tasks of the shard that have been evicted."""
    beta: float
    """Weight of the waste in the cost of an eviction."""
    window_s: float
    """Window over which the waste is normalised."""
    now: float = 0.0
    has_gangs: bool = False
    """Some running tasks belong to replicas that span machines."""


@dataclass(slots=True)
class TaskStart:
    """A task of a job is placed on a machine."""

    job: int
    node: int


@dataclass(slots=True)
class GangStart:
    """A replica's tasks, or those of them that need capacity, placed together."""

    job: int
    number: int
    nodes: list[int]
    """The machine of each task."""
    reserve_only: bool = False
    """Capacity is reserved, and no task is started yet."""
    moves_whole: bool = False
    """All of its tasks while some of them run: capacity is reserved, and they are moved."""


@dataclass(slots=True)
class TaskStop:
    """A running task is evicted."""

    key: tuple[int, int]
    """Job and task number of the victim."""
    cost: float
    """Of all victims for one placement together (Equation 14)."""
    wait_s: float | None
    """How soon the preempting work should start."""
    preempted_by: int = -1
    """The preempting job."""


@dataclass(slots=True)
class Plan:
    """What is to be started and stopped, and the machines and teams as they are then."""

    starts: list[TaskStart] = field(default_factory=list)
    stops: list[TaskStop] = field(default_factory=list)
    gang_starts: list[GangStart] = field(default_factory=list)
    waiting: dict[int, int] = field(default_factory=dict)
    """Unplaced tasks by job, without those that exceed their team's limit."""
    nodes: list[MachineSnapshot] = field(default_factory=list)
    """The snapshot's machines, in its order, as they are after the plan."""
    teams: dict[int, TeamUse] = field(default_factory=dict)


def slots_of(demand: Resources) -> float:
    """The paper's slots of a task: its accelerators if it uses any, else its processors."""
    return demand.gpus or demand.cpus
