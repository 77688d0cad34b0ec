"""Input and output types of the preemptive task scheduler (PTS): plain data without behaviour.

Units: amounts are `Resources`, names of durations end in `_s` (seconds), and times are monotonic
seconds unless stated otherwise. Machines and jobs are identified by their index in the model, teams
by their index in the settings.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from badgerseam.model.resources import NOTHING, Resources


@dataclass(slots=True)
class RunningTask:
    """A task on a machine, which may be chosen as a preemption victim."""

    key: tuple[int, int]
    """Job and task number."""
    demand: Resources
    rank: int
    team: int
    running_since: float | None
    """When the task was first seen running; None if it has not been yet."""
    checkpoint_s: float
    is_evictable: bool
    high: bool = False
    """Whether the task has high priority (HP): it is never evicted for tasks of the same or a lower
    rank."""
    ends_at: float = math.inf
    """When the task should end by its team's estimate."""
    is_service: bool = False
    placed_at: float = 0.0
    group: tuple[int, int] | None = None
    """Job index and number of the replica that the task is a member of, which is evicted as a
    whole; None if the task can be evicted alone."""

    def waste(self, now: float) -> float:
        """Slot-seconds of work lost by an eviction: the time since the last checkpoint, assuming
        checkpoints at the declared interval."""
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
    """Slots used by high-priority tasks."""
    low_slots: float
    """Slots used by low-priority tasks."""
    evictions: int
    """Number of evictions from the machine within the last `Snapshot.window_s` seconds."""
    images: set[str]
    """Images that the machine already has."""
    running: list[RunningTask] = field(default_factory=list)
    fetch_gb_per_s: float = 1.0

    def copy(self) -> MachineSnapshot:
        """Returns a copy that a plan may change."""
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
        """The machine's size in slots, as the paper defines them."""
        return self.total.gpus or self.total.cpus

    @property
    def idle_slots(self) -> float:
        """The number of free slots."""
        return self.free.gpus if self.total.gpus else self.free.cpus


class StayingMember(NamedTuple):
    """A running task of a replica that stays on its machine."""

    machine: int
    zone: str
    type: str


@dataclass(frozen=True, slots=True)
class GangRules:
    """Placement rules of a replica that spans machines, for its tasks that need capacity."""

    number: int
    """The replica's number in its job."""
    size: int
    """Number of tasks of the whole replica."""
    min_machines: int = 1
    """Fewest machines that the whole replica may span."""
    max_machines: int | None = None
    """Most machines that the whole replica may span; None if there is no bound."""
    same_zone: bool = True
    same_type: bool = False
    staying_members: tuple[StayingMember, ...] = ()
    """Running members of the replica, whose machines constrain the placement of the others."""
    reserved_machines: tuple[int, ...] = ()
    """Machines with capacity reserved for the replica, one entry per task."""
    reserve_only: bool = False
    """Whether capacity is only reserved: the tasks still run, so no additional quota is used."""
    may_move_whole: bool = False
    """Whether the whole replica may be moved if the missing tasks cannot be placed with the members
    that stay, or would be ready later there."""
    zone: str | None = None
    """Zone in which machines are rented for the replica, if its job is constrained to some
    zones."""
    stop_s: float = 0.0
    """Seconds that it takes to stop a member."""


@dataclass(slots=True)
class Request:
    """Identical tasks of one job that wait to be placed. Each is a pod in the paper's terms."""

    job: int
    count: int
    demand: Resources
    rank: int
    high: bool
    """Whether the request has high priority (HP): it may evict tasks of lower ranks."""
    team: int
    types: frozenset[str] | None
    zone: str | None
    one_zone: bool
    zone_limit: int | None
    """Most tasks of the job that may run in one zone; None if there is no bound."""
    spot: bool
    """Whether the tasks may run on spot instances."""
    image: str
    zone_counts: dict[str, int]
    """Number of the job's tasks by zone, including those that may still be running there."""
    avoided_machines: set[int]
    order: float
    """Sort key within a rank, lowest first."""
    gang: bool = False
    """Whether the tasks are placed all or none."""
    wait_s: float | None = None
    """Seconds within which the tasks should start by the operator's objectives; None if there are
    none."""
    image_gb: float = 0.0
    priority_class: int = 0
    """Number of the priority class, 0 for the most urgent. Lower classes go first within a rank,
    after claims to guarantees."""
    queue_position: int = 0
    """Assigned when the job was accepted: the tie-break between otherwise equal requests."""
    oldest_waiting: bool = False
    """Whether this is the oldest aged job of its shard, which goes before all other low-priority
    work regardless of its rank."""
    gang_rules: GangRules | None = None
    """Set if the tasks belong to one replica that spans machines; they are placed all or none."""

    @property
    def gathers_capacity(self) -> bool:
        """Whether freed capacity is kept for this request until all of its tasks fit."""
        return self.oldest_waiting and self.gang

    @property
    def is_unconstrained(self) -> bool:
        """Whether the request has no placement constraints except its demand and rank."""
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
    """Resources that the team's tasks use once the victims of this plan have ended."""
    guarantee: Resources
    limit: Resources
    draining: Resources = NOTHING
    """Resources used by the victims of this plan until they have ended. A limit applies to
    everything on machines, and a victim may still write a checkpoint, hang, or be unreachable for
    the duration of a lease."""

    def allows(self, demand: Resources) -> bool:
        """Whether the team stays within its limit with an additional demand."""
        return self.used.plus(self.draining).plus(demand).fits_in(self.limit)

    def headroom(self) -> Resources:
        """Returns the resources that the team may still use within its limit."""
        return self.limit.minus(self.used).minus(self.draining)


@dataclass(slots=True)
class Snapshot:
    """The state of a shard from which a plan is computed. Planning does not modify it."""

    nodes: list[MachineSnapshot]
    requests: list[Request]
    teams: dict[int, TeamUse]
    finished: int
    """Number of finished tasks of the shard, for the eviction rate of Equation 14."""
    evicted: int
    """Number of evicted tasks of the shard."""
    beta: float
    """Weight of the waste in the cost of an eviction."""
    window_s: float
    """Seconds over which the waste is normalised and recent evictions are counted."""
    now: float = 0.0
    has_gangs: bool = False
    """Whether any running tasks belong to replicas that span machines."""


@dataclass(slots=True)
class TaskStart:
    """Placement of a task of a job on a machine."""

    job: int
    node: int


@dataclass(slots=True)
class GangStart:
    """Joint placement of all tasks of a replica, or of those that need capacity."""

    job: int
    number: int
    nodes: list[int]
    """Index of the machine for each task."""
    reserve_only: bool = False
    """Whether capacity is only reserved and no task is started yet."""
    moves_whole: bool = False
    """Whether the whole replica, some of whose tasks run, is moved: capacity is reserved for all
    tasks first."""


@dataclass(slots=True)
class TaskStop:
    """Eviction of a running task."""

    key: tuple[int, int]
    """Job and task number of the victim."""
    cost: float
    """Cost of evicting all victims of the placement together (Equation 14)."""
    wait_s: float | None
    """Seconds within which the preempting task should start; None if there is no objective."""
    preempted_by: int = -1
    """Index of the preempting job."""


@dataclass(slots=True)
class Plan:
    """The tasks to start and to stop, and the resulting state of machines and teams."""

    starts: list[TaskStart] = field(default_factory=list)
    stops: list[TaskStop] = field(default_factory=list)
    gang_starts: list[GangStart] = field(default_factory=list)
    waiting: dict[int, int] = field(default_factory=dict)
    """Number of unplaced tasks by job, without tasks that exceed their team's limit."""
    nodes: list[MachineSnapshot] = field(default_factory=list)
    """The machines after the plan, in the order of the snapshot."""
    teams: dict[int, TeamUse] = field(default_factory=dict)


def slots_of(demand: Resources) -> float:
    """Returns the size of a task in the paper's slots: its GPUs if it uses any, else its CPUs."""
    return demand.gpus or demand.cpus
