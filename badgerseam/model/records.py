"""A controller's copy of the shared state of a site, with lookups and limits."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from badgerseam.clock import Clock
from badgerseam.levels.table import FIRST, Behaviour, ProgramLevels
from badgerseam.model import done_bits
from badgerseam.model.accounts import JobAccounting
from badgerseam.model.job import Attempt, Job, Phase
from badgerseam.model.job_observer import JobObserver
from badgerseam.model.machine import Machine
from badgerseam.model.quota import QuotaAccount
from badgerseam.model.resources import NOTHING, Resources
from badgerseam.model.state import (
    CLOCK_DRIFT,
    MAX_STATE_AGE_S,
    Arrival,
    ObservedClaim,
    ObservedController,
    ObservedLevel,
    ObservedProxy,
    Page,
    Shard,
    TeamState,
)
from badgerseam.settings import Settings
from badgerseam.wire import state as wire
from badgerseam.wire.cloud import MachineType
from badgerseam.wire.workers import Heartbeat

PARTITION_MARGIN_S = 4.0
"""Safety margin in seconds: a partitioned controller stops renewing worker leases this long before
a lease could outlast the time in which a cancellation has to take effect (`cancel_s`)."""
STALE_RENEWAL_MARGIN_S = 2.0
"""The same margin for renewals based on state that may be stale."""
MAX_ARRIVALS = 20_000
"""Bound on the recorded arrivals, needed by controllers that are not the leader: only the leader
removes arrivals that are too old to matter."""


@dataclass(slots=True)
class ReplicatedState:
    """All shared state of a controller, protected by one lock that is never held during I/O.

    Callers hold the lock.
    """

    settings: Settings
    clock: Clock
    program: ProgramLevels = field(default_factory=ProgramLevels)
    lock: threading.RLock = field(default_factory=threading.RLock)
    types: dict[str, MachineType] = field(default_factory=dict)
    types_version: int = 0
    jobs: list[Job | None] = field(default_factory=list)
    """Open and lingering jobs by index; None at the indices in `free_jobs`."""
    job_index: dict[str, int] = field(default_factory=dict)
    """Index in `jobs` by job id."""
    ended: dict[str, tuple[Phase, int]] = field(default_factory=dict)
    """Phase and number of tasks of ended jobs, by id."""
    open_jobs: list[dict[int, Job]] = field(default_factory=list)
    """Open and lingering jobs of each shard, by index."""
    free_jobs: list[int] = field(default_factory=list)
    """Indices in `jobs` that can be reused."""
    versions: dict[str, int] = field(default_factory=dict)
    """Latest applied version of each key, to ignore replayed changes."""
    machines: dict[int, Machine] = field(default_factory=dict)
    shard_machines: list[dict[int, Machine]] = field(default_factory=list)
    """The machines of each shard, by index."""
    machine_index: dict[str, int] = field(default_factory=dict)
    next_machine: int = 0
    groups: dict[str, tuple[int, dict[str, wire.StoredMachine]]] = field(default_factory=dict)
    """The machines' records as stored: version and rows of each group."""
    group_bytes: dict[str, int] = field(default_factory=dict)
    """Sizes of the stored values of the groups."""
    teams: list[TeamState] = field(default_factory=list)
    team_index: dict[str, int] = field(default_factory=dict)
    shards: list[Shard] = field(default_factory=list)
    controllers: dict[str, ObservedController] = field(default_factory=dict)
    proxies: dict[str, ObservedProxy] = field(default_factory=dict)
    """Controllers that answer, or have answered, heartbeats on behalf of unreachable owners."""
    proxy_bounds: dict[tuple[str, str], int] = field(default_factory=dict)
    """Version of the latest proxy record, by controller and owner."""
    followed_at: float = -1e9
    """When the latest answered watch request was sent; the state is at least as recent as this."""
    load_count: int = 0
    """Number of times that all keys were read."""
    leader_claim: ObservedClaim | None = None
    level: ObservedLevel = field(default_factory=lambda: ObservedLevel(FIRST, 0))
    stored_format: wire.StoredFormat | None = None
    """Facts about records of the original form; None until they are recorded."""
    target: tuple[wire.TargetLevel, int] | None = None
    """The level that operators have requested, and the version of that record."""
    classes: tuple[wire.StoredClasses, int] | None = None
    """The site's priority classes, and the version of that record."""
    class_of: Callable[[Job], int] | None = None
    """Returns the priority class of a job, 0 for the most urgent; None if the site has no
    classes."""
    runs: dict[str, dict[int, tuple[wire.StoredRun, int]]] = field(default_factory=dict)
    """Runs by plan and number, with their versions."""
    rentals: dict[str, tuple[wire.StoredRental, int]] = field(default_factory=dict)
    pages: list[dict[int, Page]] = field(default_factory=list)
    """The task pages of each shard as stored, by number."""
    revision: int = 0
    loaded: bool = False
    loading: bool = False
    arrivals: deque[Arrival] = field(default_factory=lambda: deque(maxlen=MAX_ARRIVALS))
    shards_to_plan: set[int] = field(default_factory=set)
    """Shards that have to be planned because of a change."""
    machines_to_push: set[int] = field(default_factory=set)
    """Machines that may have pending commands, by index."""
    jobs_ending: set[int] = field(default_factory=set)
    """Jobs whose tasks are all done and whose end is to be made durable, by index."""
    unregistered: dict[str, Heartbeat] = field(default_factory=dict)
    """Latest heartbeats of machines without a record, by name."""
    accounts: JobAccounting | None = None
    """Set if accounting is enabled."""
    job_observer: JobObserver | None = None
    """Set if runs of plans are managed."""
    jobs_by_name: dict[tuple[int, str, str], set[int]] = field(default_factory=dict)
    """Open jobs with a name, by team, user and name."""
    spanning_classes: frozenset[str] = frozenset()
    """Job classes whose replicas span machines."""
    changed_tasks: set[tuple[int, int]] = field(default_factory=set)
    """Tasks of these classes whose state has changed, as job index and task number; (job, -1)
    stands for all tasks of the job."""
    removed_machines: set[str] = field(default_factory=set)
    """Machines whose record was removed: a delayed heartbeat must not register them again."""
    quotas: list[QuotaAccount] = field(default_factory=list)
    """The quota account of each team; limits are checked against these accounts only."""
    machines_with_untracked_use: set[int] = field(default_factory=set)
    """Machines that reported attempts which no record contains, by index."""
    cancelled_unfollowed: set[int] = field(default_factory=set)
    """Cancelled jobs, by index, whose final record is known although earlier changes have not been
    followed yet."""

    def __post_init__(self) -> None:
        params = self.settings.params
        count = params.initial_size
        self.shards = [Shard(index) for index in range(count)]
        self.open_jobs = [{} for _ in range(count)]
        self.shard_machines = [{} for _ in range(count)]
        self.pages = [{} for _ in range(count)]
        order = sorted(params.teams, key=lambda team: team.name)
        self.quotas = [QuotaAccount() for _ in order]
        for index, team in enumerate(order):
            self.team_index[team.name] = index
            self.teams.append(
                TeamState(
                    team.name,
                    index * count // len(order) if len(order) >= count else index,
                    Resources(team.cpus, team.gpus, float("inf")),
                    Resources(*team.limits, float("inf")),
                )
            )

    @property
    def original_chunk_tasks(self) -> int:
        """Number of tasks per chunk in parts of sets of finished tasks in the original form.

        It is recorded before the first part of the explicit form is written. Without the record,
        the parts were written under the present limit.
        """
        if self.stored_format is not None:
            return self.stored_format.chunk_tasks
        return done_bits.original_chunk_tasks(self.settings.params.state.value_kb)

    @property
    def chunk_size(self) -> int:
        """Number of tasks per chunk of a set of finished tasks in memory."""
        return done_bits.chunk_tasks(self.original_chunk_tasks)

    def set_types(self, types: list[MachineType]) -> None:
        """Sets the machine types of the cloud, and updates the capacity of every machine."""
        self.types = {entry.name: entry for entry in types}
        for machine in self.machines.values():
            machine.total = self.capacity(machine.type)
            machine.cached_snapshot = None

    def is_active(self, behaviour: Behaviour) -> bool:
        """Whether a behaviour is switched on.

        This depends only on the level that has been followed, so that it changes at the same
        revision on every controller. Writes that depend on it have to be conditional on
        `level.version`.
        """
        return self.program.is_active(behaviour, self.level.level)

    @property
    def is_supported(self) -> bool:
        """Whether this program may act at the site's level."""
        program, level = self.program, self.level
        return program.supports(level.level) and program.min_level <= level.migrated

    @property
    def unsupported_reason(self) -> str | None:
        """Why this program may not act at the site's level, as a message for users, or None."""
        if self.is_supported:
            return None
        least, most = self.program.min_level, self.program.max_level
        if self.program.supports(self.level.level):
            return (
                f"the stored state is carried over to level {self.level.migrated} only, and this "
                f"program reads nothing older than level {least}"
            )
        reads = f"level {most} only" if least == most else f"levels {least} to {most}"
        return f"the stored state is at level {self.level.level} and this program reads {reads}"

    @property
    def partition_bound_s(self) -> float:
        """Seconds after its last confirmed lease renewal for which a controller that cannot reach
        the state service may continue to answer heartbeats. Its peers wait for as long."""
        return max(0.0, self._max_renewal_s - PARTITION_MARGIN_S)

    @property
    def is_up_to_date(self) -> bool:
        """Whether the changes of the state service have been followed recently enough to act on."""
        return self.loaded and self.clock.now() - self.followed_at < MAX_STATE_AGE_S

    @property
    def stale_renewal_bound_s(self) -> float:
        """Seconds for which leases of workers may be renewed after the time up to which all durable
        changes are known.

        A task that is cancelled after that time then ends within this bound plus `lease_s`, which
        is within `cancel_s`. The bound is larger than `partition_bound_s`, because the known state
        is only as old as the latest watch request.
        """
        return max(0.0, self._max_renewal_s - STALE_RENEWAL_MARGIN_S)

    @property
    def _max_renewal_s(self) -> float:
        """Seconds for which a worker's lease may be renewed after an unknown cancellation."""
        workers = self.settings.params.workers
        return workers.cancel_s - workers.lease_s * CLOCK_DRIFT

    def capacity(self, type_name: str) -> Resources:
        """Returns the resources of a machine type; none if the type is not known."""
        entry = self.types.get(type_name)
        return NOTHING if entry is None else Resources(entry.cpus, entry.gpus, entry.memory_gb)

    def job(self, job_id: str) -> Job | None:
        """Returns the open or lingering job with an id, or None."""
        index = self.job_index.get(job_id)
        return None if index is None else self.jobs[index]

    def machine(self, name: str) -> Machine | None:
        """Returns the machine with a name, or None if it has no record."""
        index = self.machine_index.get(name)
        return None if index is None else self.machines[index]

    def find_task(self, task_name: str) -> tuple[Job, int] | None:
        """Returns job and task number for a task's name on the wire, or None if the job is not open
        or lingering."""
        job_id, _, number = task_name.partition("/")
        job = self.job(job_id)
        if job is None or not number.isdecimal() or int(number) >= job.tasks:
            return None
        return job, int(number)

    def priority_class(self, job: Job) -> int:
        """Returns the priority class of a job; 0, the most urgent, if the site has no classes."""
        return 0 if self.class_of is None else self.class_of(job)

    def usage(self, team: int) -> Resources:
        """Returns the resources that a team's tasks use, or may use until they have certainly
        ended."""
        return self.quotas[team].reserved.total().plus(self._untracked_use(team))

    def may_launch(self, attempt: Attempt) -> bool:
        """Whether the attempt fits into the team's limit, given everything that may be on machines.

        Plans already respect the limit. This check also covers what was not known when the plan was
        made: placements by another program version or under another limit, and attempts that no
        record contains.
        """
        if attempt.launched:
            return True
        job = attempt.job
        exposed = self.quotas[job.team].exposed.total().plus(self._untracked_use(job.team))
        return exposed.plus(job.demand).fits_in(self.teams[job.team].limit)

    def _untracked_use(self, team: int) -> Resources:
        """Returns the resources of reported attempts of the team that no record contains."""
        total = NOTHING
        for index in list(self.machines_with_untracked_use):
            machine = self.machines.get(index)
            if machine is None or machine.lost or not machine.untracked_use_by_team:
                self.machines_with_untracked_use.discard(index)
            else:
                total = total.plus(machine.untracked_use_by_team.get(team, NOTHING))
        return total


def name_key(job: Job) -> tuple[int, str, str] | None:
    """Returns team, user and name of a job; None if it lacks a user or a name."""
    terms = job.spec.terms
    if terms is None or terms.name is None or terms.user is None:
        return None
    return job.team, terms.user, terms.name
