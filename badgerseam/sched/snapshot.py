"""What PTS starts from and what it yields: plain data, written down once a plan."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from badgerseam.model.resources import NOTHING, Resources


@dataclass(slots=True)
class RunningTask:
    """Work on a machine that may be a victim."""

    key: tuple[int, int]
    demand: Resources
    rank: int
    team: int
    running_since: float | None
    """When it was seen to run; None if it was not yet."""
    checkpoint_s: float
    is_evictable: bool
    high: bool = False
    ends_at: float = math.inf
    """When it should have ended by its owner's estimate."""
    is_service: bool = False
    placed_at: float = 0.0
    group: tuple[int, int] | None = None
    """The replica that it is a member of, which is evicted whole; None if it stands alone."""

    def waste(self, now: float) -> float:
        """Slots times the time since the last checkpoint that the declared interval implies."""
        if self.running_since is None:
            return 0.0
        ran = now - self.running_since
        if self.checkpoint_s > 0:
            ran = math.fmod(ran, self.checkpoint_s)
        return slots_of(self.demand) * ran


@dataclass(slots=True)
class MachineSnapshot:
    """A machine that takes tasks."""

    index: int
    type: str
    zone: str
    spot: bool
    total: Resources
    free: Resources
    high_slots: float
    """Slots of high-priority work."""
    low_slots: float
    evictions: int
    images: set[str]
    running: list[RunningTask] = field(default_factory=list)
    fetch_gb_per_s: float = 1.0

    def copy(self) -> MachineSnapshot:
        """The same machine, to be changed by a plan."""
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
        return self.total.gpus or self.total.cpus

    @property
    def idle_slots(self) -> float:
        return self.free.gpus if self.total.gpus else self.free.cpus


@dataclass(frozen=True, slots=True)
class GangRules:
    """Rules of a replica that spans machines, for those of its tasks that need room."""

    number: int
    size: int
    """Tasks of the whole replica."""
    min_machines: int = 1
    max_machines: int | None = None
    """Machines that the whole replica spans."""
    same_zone: bool = True
    same_type: bool = False
    reserved: tuple[tuple[int, str, str], ...] = ()
    """Machine, zone and type of each member that stays where it is."""
    reserved_positions: tuple[int, ...] = ()
    """Machines on which room for a task is kept from others, once for each task."""
    reserve_only: bool = False
    """The tasks run: their new room is only reserved, and nothing more is used meanwhile."""
    may_move_whole: bool = False
    """Where there is no room beside the members that stay, the whole replica may be moved."""
    zone: str | None = None
    """Where machines are rented for it, if its job's rules leave it only some zones."""
    stop_s: float = 0.0
    """What the stop of a member takes."""


@dataclass(slots=True)
class Request:
    """Tasks of one job to be placed; each is a task of one pod."""

    job: int
    count: int
    demand: Resources
    rank: int
    high: bool
    team: int
    types: frozenset[str] | None
    zone: str | None
    one_zone: bool
    zone_limit: int | None
    """Most tasks of the job that may be in one zone."""
    spot: bool
    image: str
    zone_counts: dict[str, int]
    """Where tasks of the job are, or may be."""
    avoided_machines: set[int]
    order: float
    """Less goes first within a rank."""
    gang: bool = False
    """All of its tasks are placed, or none."""
    wait_s: float | None = None
    """How soon the operator wants its tasks started."""
    image_gb: float = 0.0
    priority_class: int = 0
    """Priority class, the first one is 0: less goes first within a rank, behind claims to
    guarantees."""
    queue_position: int = 0
    """In the queue, given at acceptance: decides between what is alike otherwise."""
    oldest_waiting: bool = False
    """It has waited for so long that it goes before other low-priority work, whatever its rank."""

    @property
    def gathers_capacity(self) -> bool:
        """Room that frees is kept for it until all of it fits."""
        return self.oldest_waiting and self.gang

    gang_rules: GangRules | None = None
    """Its tasks are those of one replica that need room: all are placed, or none."""

    @property
    def is_plain(self) -> bool:
        """Nothing but its size and its rank decides where it may go."""
        return (
            self.types is None
            and self.zone is None
            and not self.one_zone
            and self.zone_limit is None
            and not self.avoided_machines
        )


@dataclass(slots=True)
class TeamUse:
    """What a team uses, and what it may."""

    used: Resources
    """What its tasks take once the victims of this plan have left."""
    guarantee: Resources
    limit: Resources
    draining: Resources = NOTHING
    """What the victims of this plan take until they have left: a limit holds for what is on
    machines, and a victim may save its work, hang, or be out of reach for a whole lease."""

    def allows(self, need: Resources) -> bool:
        """Whether so much more stays within the limit."""
        return self.used.plus(self.draining).plus(need).fits_in(self.limit)

    def headroom(self) -> Resources:
        """What the limit leaves."""
        return self.limit.minus(self.used).minus(self.draining)


@dataclass(slots=True)
class Snapshot:
    """What a plan starts from; planning changes none of it."""

    nodes: list[MachineSnapshot]
    requests: list[Request]
    teams: dict[int, TeamUse]
    finished: int
    evicted: int
    beta: float
    window_s: float
    now: float = 0.0
    has_gangs: bool = False
    """Some of what runs belongs to replicas that span machines."""


@dataclass(slots=True)
class TaskStart:
    job: int
    node: int


@dataclass(slots=True)
class GangStart:
    """A replica's tasks, or those of them that need room, placed together."""

    job: int
    number: int
    nodes: list[int]
    """The machine of each task."""
    reserve_only: bool = False
    moves_whole: bool = False
    """All of its tasks, while some of them run: room is reserved, and they are moved."""


@dataclass(slots=True)
class TaskStop:
    key: tuple[int, int]
    cost: float
    """Of the machine's victims together."""
    wait_s: float | None
    """How soon the work that needs the room should start."""
    preempted_by: int = -1
    """The job that needs it."""


@dataclass(slots=True)
class Plan:
    starts: list[TaskStart] = field(default_factory=list)
    stops: list[TaskStop] = field(default_factory=list)
    gang_starts: list[GangStart] = field(default_factory=list)
    waiting: dict[int, int] = field(default_factory=dict)
    """Tasks a job that found no room (those over a team's limit are not counted)."""
    nodes: list[MachineSnapshot] = field(default_factory=list)
    """The snapshot's machines, in its order, as they are after the plan."""
    teams: dict[int, TeamUse] = field(default_factory=dict)


def slots_of(need: Resources) -> float:
    """What a task counts in the paper's slots: accelerators if it takes any, else processors."""
    return need.gpus or need.cpus
