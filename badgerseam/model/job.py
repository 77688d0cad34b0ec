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
"""Ranks of the priorities of submissions."""
HIGH_RANK = RANKS["high"]


NoteKey = tuple[type[Note], int]
"""The kind of a note and the number it is about."""


@dataclass(slots=True)
class AttemptCounter:
    """Attempts of many jobs together."""

    live: int = 0


class Phase(IntEnum):
    """Whether a job is open, or how it has ended."""

    OPEN = 0
    DONE = 1
    CANCELLED = 2


PHASE_NAMES = {"open": Phase.OPEN, "done": Phase.DONE, "withdrawn": Phase.CANCELLED}
"""Phases by the state in a job's record."""

IDLE, PLACED, FINISHED = 0, 1, 2
"""Status of a task, one byte of `Job.status`: to be placed, placed by an attempt, or done."""

GRACE_SLACK_S = 1.0
"""Grace period beyond the time that a checkpoint takes."""


class Stage(IntEnum):
    """How far an attempt has come."""

    PLANNED = 0  # not durable yet
    PLACED = 1  # durable, not seen on its machine
    FETCHING = 2
    RUNNING = 3
    CHECKPOINTING = 4


class AttemptHost(Protocol):
    """The machine of an attempt (`model.machine.Machine`), as far as its job has to do with it."""

    name: str
    index: int
    type: str
    zone: str
    spot: bool
    total: Resources
    attempts: dict[tuple[int, int], Attempt]
    """All that are on it, by index of the job and task."""
    evictions: deque[float]
    sched_view: MachineSnapshot | None
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
    """An attempt to run a task, on a machine that it is on, or may be on."""

    job: Job
    task: int
    number: int
    machine: AttemptHost
    stage: Stage = Stage.PLACED
    sending: bool = False
    """A launch is on its way on `/do`."""
    sent: bool = False
    """A launch was sent, and no newer heartbeat has shown that the worker missed it."""
    launched: bool = False
    """A launch was sent, here or perhaps by an earlier owner, and the attempt may be on its machine
    or on its way there: see `Job.on_launch_sent`."""
    sent_at_heartbeat: tuple[int, int] = (0, 0)
    """Incarnation and sequence number that a heartbeat has to exceed to show what became of the
    launch."""
    stopping: bool = False
    grace_s: float = 0.0
    stop_sent: bool = False
    cost: float | None = None
    """Cost of all that was evicted with it on its machine, if it is being evicted."""
    evicted_for: str | None = None
    inherited: bool = False
    """Placed by an earlier owner that did not say when it began to run."""
    unseen: bool = False
    """Placed by an earlier owner, and not seen to run by this one: when it ended, if it has, is not
    known."""
    error: bool = False
    planned_at: float = 0.0
    started_at: float = 0.0
    last_seen_at: float = 0.0
    """When a heartbeat last showed it on its machine."""
    finishing: bool = False
    """Seen as completed; remembered until that is durable."""
    replica_index: int | None = None
    """The replica with whose other members it is made durable, in one transaction."""
    held_back: bool = False
    """Not to be launched before its whole replica is durable."""

    @property
    def name(self) -> str:
        """The task's name on the wire."""
        return f"{self.job.id}/{self.task}"


@dataclass(slots=True, eq=False)
class Job(FailureHistory):
    """A job that is open, or has ended and lingers until no task of it can be on a machine."""

    id: str
    index: int
    spec: Submission
    version: int
    submitted: float
    """Time of day of the acceptance."""
    team: int
    shard: int
    chunk_size: int
    phase: Phase = Phase.OPEN
    status: bytearray = field(init=False)
    tries: dict[int, int] = field(default_factory=dict)
    attempts: dict[int, Attempt] = field(default_factory=dict)
    done_bits: dict[int, int] = field(default_factory=dict)
    """Finished tasks, by chunk."""
    done_bits_page: dict[int, int] = field(default_factory=dict)
    """The page that holds the latest durable bits of a chunk."""
    done_bits_changed: set[int] = field(default_factory=set)
    """Chunks with bits that are not durable yet."""
    idle: list[int] = field(default_factory=list)
    """Tasks to place; may hold stale numbers, see next_idle."""
    finished: int = 0
    live: int = 0
    """Attempts that are not finishing."""
    zones: dict[str, int] = field(default_factory=dict)
    """Attempts that are not finishing, by zone."""
    end_sent: bool = False
    ending: bool = False
    """All tasks are done, but this is not durable yet."""
    eligible_at: float | None = None
    """Time of day at which its terms were first seen to let it start."""
    dependencies_met: bool = False
    demand: Resources = field(init=False)
    rank: int = field(init=False)
    types: frozenset[str] | None = field(init=False)
    queue_position: int = 0
    """Version of the record that accepted it: its place in the queue, for ever."""
    notes: dict[NoteKey, Note] = field(default_factory=dict)
    """Facts about single tasks or replicas that every owner of the shard has to know."""
    notes_page: dict[NoteKey, int] = field(default_factory=dict)
    """The page that contains the durable note."""
    notes_changed: set[NoteKey] = field(default_factory=set)
    """Notes that are not durable yet."""
    deferred_members: set[int] = field(default_factory=set)
    """Idle tasks that are passed over until the second round of their run; known to the owner."""
    quota: QuotaAccount = field(default_factory=QuotaAccount)
    """Its team's, shared by all of the team's jobs."""
    attempt_counter: AttemptCounter | None = None
    """Counts its attempts together with those of other jobs of its plan and shard."""
    changed_tasks: set[tuple[int, int]] | None = None
    """Collects tasks whose state changes, as index of the job and task, for a job whose replicas
    span machines."""
    last_seen_at: float = 0.0
    ended_at: float = -1e9
    """When it was seen to end; what had ended before it was read may have done so long ago."""
    meter: AttemptMeter | None = None
    """Only where accounts are kept."""

    def __post_init__(self) -> None:
        spec = self.spec
        self.demand = Resources(spec.cpus, spec.gpus, spec.memory_gb)
        self.rank = RANKS[spec.priority]
        self.types = None if spec.types is None else frozenset(spec.types)
        self.reset()

    @property
    def tasks(self) -> int:
        """How many tasks the job has."""
        return self.spec.tasks

    @property
    def is_service(self) -> bool:
        """Its tasks are replicas that never complete."""
        return self.spec.kind == "standing"

    @property
    def checkpoint_grace_s(self) -> float:
        """Seconds that a stopped attempt gets to write a checkpoint; 0 if the job writes none."""
        return self.spec.save_s + GRACE_SLACK_S if self.spec.checkpoint_s > 0 else 0.0

    @property
    def is_gang(self) -> bool:
        """Its tasks run only together."""
        return self.spec.kind == "group"

    def reset(self) -> None:
        """Forget all that is not durable, before the pages are read again."""
        for attempt in list(self.attempts.values()):
            self.detach(attempt)
        self.tries.clear()
        self.done_bits.clear()
        self.done_bits_page.clear()
        self.done_bits_changed.clear()
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
        """Its failures are no evidence against machines: it has failed on several, and no task of
        it was ever done anywhere."""
        return self.is_failing and self.finished == 0

    def waiting(self) -> int:
        """How many tasks are not placed and not done."""
        return self.spec.tasks - self.finished - self.live

    def startable(self) -> int:
        """How many tasks are waiting and not deferred."""
        return self.waiting() - len(self.deferred_members)

    def durably_done(self) -> int:
        """Tasks whose end is in the records, as far as known."""
        return self.finished - sum(attempt.finishing for attempt in self.attempts.values())

    def attach(self, attempt: Attempt) -> None:
        """The attempt is, or may be, on its machine from now on."""
        machine = attempt.machine
        self.attempts[attempt.task] = attempt
        machine.attempts[(self.index, attempt.task)] = attempt
        machine.sched_view = None
        attempt.held_back = self.changed_tasks is not None
        self._count(attempt, 1)

    def detach(self, attempt: Attempt) -> None:
        """The attempt is not on its machine any more."""
        machine = attempt.machine
        machine.attempts.pop((self.index, attempt.task), None)
        machine.sched_view = None
        if self.attempts.get(attempt.task) is attempt:
            del self.attempts[attempt.task]
            if not attempt.finishing:
                self._count(attempt, -1)

    def on_launch_sent(self, attempt: Attempt) -> None:
        """The attempt, attached and not completed, may be on its machine from now on."""
        if not attempt.launched:
            attempt.launched = True
            self.quota.exposed.add(self.demand, 1)

    def on_launch_undone(self, attempt: Attempt) -> None:
        """The attempt, attached and not completed, is certainly not on its machine, and no launch
        of it can still be carried out."""
        if attempt.launched:
            attempt.launched = False
            self.quota.exposed.add(self.demand, -1)

    def on_completed(self, attempt: Attempt) -> None:
        """The attempt's task has been seen to complete; it uses no resources any more."""
        attempt.finishing = True
        attempt.machine.sched_view = None
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
        """Record that a task's state has changed, if such changes are collected."""
        if self.changed_tasks is not None:
            self.changed_tasks.add((self.index, task))

    def running(self) -> int:
        """Tasks seen running; controllers that do not own the shard see placements only."""
        stages = [attempt.stage for attempt in self.attempts.values() if not attempt.finishing]
        return sum(stage >= Stage.RUNNING for stage in stages) or stages.count(Stage.PLACED)

    def next_idle(self) -> int | None:
        """A task to place, lowest number first, or None."""
        while self.idle:
            task = self.idle[-1]
            if self.status[task] == IDLE and task not in self.deferred_members:
                return task
            self.idle.pop()
        return None

    def defer(self, task: int) -> None:
        """Have an idle task wait until `resume_deferred`."""
        if self.status[task] == IDLE:
            self.deferred_members.add(task)

    def resume_deferred(self) -> None:
        """Deferred tasks are to be placed, behind the others."""
        if self.deferred_members:
            self.idle = sorted(self.deferred_members, reverse=True) + self.idle
            self.deferred_members.clear()

    def return_task(self, attempt: Attempt) -> None:
        """The attempt is certainly over, and its task is to be placed anew."""
        current = self.attempts.get(attempt.task) is attempt
        self.detach(attempt)
        if current and self.status[attempt.task] == PLACED:
            self.status[attempt.task] = IDLE
            self.idle.append(attempt.task)

    def add_note(self, note: Note) -> None:
        """Have a note written with the shard's next page; the caller schedules that write."""
        key = (type(note), note.number)
        if self._replace_note(key, note):
            self.notes_changed.add(key)

    def read_note(self, note: Note, page: int) -> None:
        """Apply a durable note. Pages are read in any order: the highest step counts."""
        key = (type(note), note.number)
        if self._replace_note(key, note):
            self.notes_page[key] = page

    def _replace_note(self, key: NoteKey, note: Note) -> bool:
        """Set a note if its step is higher than the known one's; return whether it is."""
        known = self.notes.get(key)
        if known is not None and note.step <= known.step:
            return False
        self.notes[key] = note
        return True

    def mark_done(self, task: int) -> int:
        """Set a finished task's bit; return its chunk."""
        chunk, bit = divmod(task, self.chunk_size)
        self.done_bits[chunk] = self.done_bits.get(chunk, 0) | 1 << bit
        return chunk
