"""Jobs and their tasks."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Protocol

from badgerseam.model.failure_history import FailureHistory
from badgerseam.model.meter import AttemptMeter
from badgerseam.model.quota import QuotaAccount
from badgerseam.model.resources import Resources
from badgerseam.sched.snapshot import MachineSnapshot
from badgerseam.wire.state import Note
from badgerseam.wire.users import Submission

RANKS = {"best_effort": 0, "standard": 1, "high": 2, "production": 3}
"""Rank of each priority that a submission may have."""
HIGH_RANK = RANKS["high"]


NoteKey = tuple[type[Note], int]
"""Type of a note, and the number of the task or replica that it is about."""


@dataclass(slots=True)
class AttemptCounter:
    """Counts the live attempts of several jobs together."""

    live: int = 0


class Phase(IntEnum):
    """State of a job: open, or how it ended."""

    OPEN = 0
    DONE = 1
    CANCELLED = 2


PHASE_NAMES = {"open": Phase.OPEN, "done": Phase.DONE, "withdrawn": Phase.CANCELLED}
"""Phase for each value of `state` in a job's record."""

IDLE, PLACED, FINISHED = 0, 1, 2
"""Status of a task, one byte in `Job.status`: to be placed, placed by an attempt, or completed."""

GRACE_SLACK_S = 1.0
"""Seconds of grace period beyond the time that a checkpoint takes."""


class Stage(IntEnum):
    """Progress of an attempt."""

    PLANNED = 0  # not durable yet
    PLACED = 1  # durable, but not reported by its machine yet
    FETCHING = 2
    RUNNING = 3
    CHECKPOINTING = 4


class AttemptHost(Protocol):
    """The part of a machine (`model.machine.Machine`) that its attempts and their jobs use."""

    name: str
    index: int
    type: str
    zone: str
    spot: bool
    total: Resources
    attempts: dict[tuple[int, int], Attempt]
    """All attempts on the machine, by job index and task number."""
    evictions: deque[float]
    cached_snapshot: MachineSnapshot | None
    reclaim_at: float | None
    draining: bool
    evacuate_to: int | None
    idle_since: float
    last_heartbeat_at: float
    owned_since: float
    push_failures: int
    missed_answers: int
    given_up: bool
    lost: bool


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt to run a task, which is or may be on its machine."""

    job: Job
    task: int
    number: int
    machine: AttemptHost
    stage: Stage = Stage.PLACED
    sending: bool = False
    """Whether a launch command is in flight on `/do`."""
    sent: bool = False
    """Whether a launch was sent and no newer heartbeat has shown that the worker did not receive
    it."""
    launched: bool = False
    """Whether a launch was sent, by this controller or possibly by an earlier owner, so that the
    attempt may be on its machine or the launch in flight; see `Job.on_launch_sent`."""
    sent_at_heartbeat: tuple[int, int] = (0, 0)
    """Incarnation and sequence number that a heartbeat has to exceed to show the outcome of the
    launch."""
    stopping: bool = False
    grace_s: float = 0.0
    stop_sent: bool = False
    cost: float | None = None
    """Cost of the eviction of all victims of the same placement, if the attempt is being
    evicted."""
    evicted_for: str | None = None
    """Id of the preempting job, if the attempt is being evicted."""
    inherited: bool = False
    """Whether an earlier owner placed the attempt and did not record when it started to run."""
    unseen: bool = False
    """Whether an earlier owner placed the attempt and this one has not seen it run. If it has
    ended, the time of that is not known."""
    error: bool = False
    """Whether the worker reported that the attempt failed."""
    planned_at: float = 0.0
    started_at: float = 0.0
    last_seen_at: float = 0.0
    """When a heartbeat last listed the attempt."""
    finishing: bool = False
    """Whether the attempt was seen to complete. It is kept until its completion is durable."""
    replica_index: int | None = None
    """The replica whose members are made durable together, in one transaction."""
    held_back: bool = False
    """Whether the attempt must not be launched yet, because its whole replica is not durable."""

    @property
    def name(self) -> str:
        """The name of the task on the wire."""
        return f"{self.job.id}/{self.task}"


@dataclass(slots=True, eq=False)
class Job(FailureHistory):
    """A job that is open or lingering.

    A lingering job has ended, but is kept while any of its tasks may still be on a machine.
    """

    id: str
    index: int
    spec: Submission
    version: int
    submitted: float
    """Time of day at which the job was accepted."""
    team: int
    shard: int
    chunk_size: int
    """Number of tasks per chunk of the set of finished tasks."""
    phase: Phase = Phase.OPEN
    status: bytearray = field(init=False)
    tries: dict[int, int] = field(default_factory=dict)
    """Number of the latest attempt of each task that has been placed."""
    attempts: dict[int, Attempt] = field(default_factory=dict)
    """Current attempts by task."""
    done_bits: dict[int, int] = field(default_factory=dict)
    """Bit sets of the finished tasks, by chunk."""
    done_bits_page: dict[int, int] = field(default_factory=dict)
    """Number of the page with the latest durable bits of each chunk."""
    done_bits_changed: set[int] = field(default_factory=set)
    """Chunks with bits that are not durable yet."""
    has_unaligned_bits: bool = False
    """Whether a stored part of the set begins within a chunk, as it was written with other chunks:
    the durable bits of a chunk may then be in several pages."""
    idle: list[int] = field(default_factory=list)
    """Stack of tasks to place; may contain stale entries, which `next_idle` removes."""
    finished: int = 0
    live: int = 0
    """Number of attempts that are not finishing."""
    zones: dict[str, int] = field(default_factory=dict)
    """Number of attempts that are not finishing, by zone."""
    end_sent: bool = False
    ending: bool = False
    """Whether all tasks are done, but the job's end is not durable yet."""
    eligible_at: float | None = None
    """Time of day at which the job's terms were first seen to allow its start."""
    dependencies_met: bool = False
    demand: Resources = field(init=False)
    rank: int = field(init=False)
    types: frozenset[str] | None = field(init=False)
    queue_position: int = 0
    """Version of the record that accepted the job, which fixes its position in the queue."""
    notes: dict[NoteKey, Note] = field(default_factory=dict)
    """Facts about single tasks or replicas that each later owner of the shard needs."""
    notes_page: dict[NoteKey, int] = field(default_factory=dict)
    """Number of the page that contains the durable note."""
    notes_changed: set[NoteKey] = field(default_factory=set)
    """Notes that are not durable yet."""
    deferred_members: set[int] = field(default_factory=set)
    """Idle tasks that are skipped until the second round of their run. Only the owner has this."""
    quota: QuotaAccount = field(default_factory=QuotaAccount)
    """The quota account of the job's team, shared by all jobs of the team."""
    attempt_counter: AttemptCounter | None = None
    """Counts the attempts of this job together with other jobs of the same plan and shard."""
    changed_tasks: set[tuple[int, int]] | None = None
    """Collects tasks whose state changes, as job index and task number; set only for jobs whose
    replicas span machines."""
    last_seen_at: float = 0.0
    ended_at: float = -1e9
    """When the job was seen to end. The default is far in the past: a job that had already ended
    when it was read may have done so long ago."""
    meter: AttemptMeter | None = None
    """Set only if accounting is enabled."""

    def __post_init__(self) -> None:
        spec = self.spec
        self.demand = Resources(spec.cpus, spec.gpus, spec.memory_gb)
        self.rank = RANKS[spec.priority]
        self.types = None if spec.types is None else frozenset(spec.types)
        self.reset()

    @property
    def tasks(self) -> int:
        """The number of tasks of the job."""
        return self.spec.tasks

    @property
    def is_service(self) -> bool:
        """Whether the tasks are replicas of a service, which never complete."""
        return self.spec.kind == "standing"

    @property
    def checkpoint_grace_s(self) -> float:
        """Seconds that a stopped attempt gets to write a checkpoint; 0 if the job writes none."""
        return self.spec.save_s + GRACE_SLACK_S if self.spec.checkpoint_s > 0 else 0.0

    @property
    def is_gang(self) -> bool:
        """Whether the tasks have to run at the same time (gang scheduling)."""
        return self.spec.kind == "group"

    def reset(self) -> None:
        """Discards all state that is not durable, before the pages are read again."""
        for attempt in list(self.attempts.values()):
            self.detach(attempt)
        self.tries.clear()
        self.done_bits.clear()
        self.done_bits_page.clear()
        self.done_bits_changed.clear()
        self.has_unaligned_bits = False
        self.notes.clear()
        self.notes_page.clear()
        self.notes_changed.clear()
        self.deferred_members.clear()
        self.status = bytearray(self.spec.tasks)
        self.idle = list(range(self.spec.tasks - 1, -1, -1))
        self.finished = 0
        self.ending = False
        self.reset_failures()

    @property
    def is_at_fault(self) -> bool:
        """Whether the job's failures are attributed to the job and not to machines: it has failed
        on several machines, and none of its tasks has ever completed."""
        return self.is_failing and self.finished == 0

    def waiting(self) -> int:
        """Returns the number of tasks that are neither placed nor done."""
        return self.spec.tasks - self.finished - self.live

    def startable(self) -> int:
        """Returns the number of tasks that are waiting and not deferred."""
        return self.waiting() - len(self.deferred_members)

    def durably_done(self) -> int:
        """Returns the number of tasks whose completion is known to be durable."""
        return self.finished - sum(attempt.finishing for attempt in self.attempts.values())

    def attach(self, attempt: Attempt) -> None:
        """Adds an attempt, which is or may be on its machine from now on."""
        machine = attempt.machine
        self.attempts[attempt.task] = attempt
        machine.attempts[(self.index, attempt.task)] = attempt
        machine.cached_snapshot = None
        attempt.held_back = self.changed_tasks is not None
        self._count(attempt, 1)

    def detach(self, attempt: Attempt) -> None:
        """Removes an attempt that is not on its machine any more."""
        machine = attempt.machine
        machine.attempts.pop((self.index, attempt.task), None)
        machine.cached_snapshot = None
        if self.attempts.get(attempt.task) is attempt:
            del self.attempts[attempt.task]
            if not attempt.finishing:
                self._count(attempt, -1)

    def on_launch_sent(self, attempt: Attempt) -> None:
        """Records that an attached, uncompleted attempt may be on its machine from now on."""
        if not attempt.launched:
            attempt.launched = True
            self.quota.exposed.add(self.demand, 1)

    def on_launch_undone(self, attempt: Attempt) -> None:
        """Records that an attached, uncompleted attempt is certainly not on its machine, and that
        no launch of it can still be executed."""
        if attempt.launched:
            attempt.launched = False
            self.quota.exposed.add(self.demand, -1)

    def on_completed(self, attempt: Attempt) -> None:
        """Records that an attempt was seen to complete, so that it uses no resources any more."""
        attempt.finishing = True
        attempt.machine.cached_snapshot = None
        self._count(attempt, -1)

    def _count(self, attempt: Attempt, sign: int) -> None:
        self.live += sign
        self.quota.reserved.add(self.demand, sign)
        if attempt.launched:
            self.quota.exposed.add(self.demand, sign)
        if self.attempt_counter is not None:
            self.attempt_counter.live += sign
        self.mark_changed(attempt.task)
        zone = attempt.machine.zone
        count = self.zones.get(zone, 0) + sign
        if count:
            self.zones[zone] = count
        else:
            del self.zones[zone]

    def mark_changed(self, task: int) -> None:
        """Records that a task's state has changed, if such changes are collected."""
        if self.changed_tasks is not None:
            self.changed_tasks.add((self.index, task))

    def running(self) -> int:
        """Returns the number of running tasks, or of placed tasks if none was seen running.

        Controllers that do not own the shard see placements only.
        """
        stages = [attempt.stage for attempt in self.attempts.values() if not attempt.finishing]
        return sum(stage >= Stage.RUNNING for stage in stages) or stages.count(Stage.PLACED)

    def next_idle(self) -> int | None:
        """Returns the next task to place, or None; new tasks come in ascending order."""
        while self.idle:
            task = self.idle[-1]
            if self.status[task] == IDLE and task not in self.deferred_members:
                return task
            self.idle.pop()
        return None

    def defer(self, task: int) -> None:
        """Excludes an idle task from placement until `resume_deferred`."""
        if self.status[task] == IDLE:
            self.deferred_members.add(task)

    def resume_deferred(self) -> None:
        """Makes deferred tasks available for placement again, after the other idle tasks."""
        if self.deferred_members:
            self.idle = sorted(self.deferred_members, reverse=True) + self.idle
            self.deferred_members.clear()

    def return_task(self, attempt: Attempt) -> None:
        """Removes an attempt that has certainly ended, and queues its task for placement again."""
        current = self.attempts.get(attempt.task) is attempt
        self.detach(attempt)
        if current and self.status[attempt.task] == PLACED:
            self.status[attempt.task] = IDLE
            self.idle.append(attempt.task)

    def add_note(self, note: Note) -> None:
        """Adds a note to be written with the shard's next page; the caller schedules that write."""
        key = (type(note), note.number)
        if self._replace_note(key, note):
            self.notes_changed.add(key)

    def read_note(self, note: Note, page: int) -> None:
        """Applies a durable note. Pages are read in any order, so the highest step takes
        precedence."""
        key = (type(note), note.number)
        if self._replace_note(key, note):
            self.notes_page[key] = page

    def _replace_note(self, key: NoteKey, note: Note) -> bool:
        """Sets a note if its step is higher than that of the known one; returns whether it was
        set."""
        known = self.notes.get(key)
        if known is not None and note.step <= known.step:
            return False
        self.notes[key] = note
        return True

    def mark_done(self, task: int) -> int:
        """Sets the bit of a finished task; returns the task's chunk."""
        chunk, bit = divmod(task, self.chunk_size)
        self.done_bits[chunk] = self.done_bits.get(chunk, 0) | 1 << bit
        return chunk
