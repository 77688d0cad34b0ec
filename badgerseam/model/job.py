"""Jobs and their tasks."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Protocol

from badgerseam.model.meter import AttemptMeter
from badgerseam.model.quota import QuotaAccount
from badgerseam.model.resources import Resources
from badgerseam.sched.snapshot import MachineSnapshot
from badgerseam.wire.state import Note
from badgerseam.wire.users import Submission

RANKS = {"best_effort": 0, "standard": 1, "high": 2, "production": 3}
HIGH_RANK = RANKS["high"]


NoteKey = tuple[type[Note], int]
"""The kind of a note and the number it is about."""


@dataclass(slots=True)
class AttemptCounter:
    """Attempts of many jobs together."""

    live: int = 0


class Phase(IntEnum):
    OPEN = 0
    DONE = 1
    CANCELLED = 2


PHASE_NAMES = {"open": Phase.OPEN, "done": Phase.DONE, "withdrawn": Phase.CANCELLED}

IDLE, PLACED, FINISHED = 0, 1, 2

SEVERAL_MACHINES = 3
"""Machines on which a job has failed, nothing of it working meanwhile, before that is its own
fault: as many faulty ones in a row are rarer than a job submitted with a mistake."""
FIRST_RETRY_PAUSE_S = 0.25
MAX_RETRY_PAUSE_S = 30.0
MAX_DOUBLINGS = 8
AVOID_S = 50.0
"""How long a job that waits is kept off machines on which it has failed: about what a new machine
takes, and there may be none to be had."""

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
    """A try of a task on a machine it is on, or may be on."""

    job: Job
    task: int
    number: int
    machine: AttemptHost
    stage: Stage = Stage.PLACED
    sending: bool = False
    """A launch is on its way on `/do`."""
    sent: bool = False
    """A launch was given and no newer report has shown that it went unheard."""
    launched: bool = False
    """A launch was given, here or perhaps by an owner before, and the attempt may be on its machine
    or on its way there: see `Job.launch_given`."""
    sent_at_heartbeat: tuple[int, int] = (0, 0)
    """(session, seq) that a report has to exceed to tell what became of the launch."""
    stopping: bool = False
    grace_s: float = 0.0
    stop_sent: bool = False
    cost: float | None = None
    """Of all that was evicted with it on its machine, if it is being evicted."""
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
    """When a report last showed it on its machine."""
    finishing: bool = False
    """Seen as completed; kept until that is durable."""
    replica_index: int | None = None
    """The replica with whose other members it is made durable, in one transaction."""
    held_back: bool = False
    """Not to be launched before its whole replica is durable."""

    @property
    def name(self) -> str:
        return f"{self.job.id}/{self.task}"


@dataclass(slots=True, eq=False)
class Job:
    """An open job. Ended jobs are kept as phases only."""

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
    """How many of these are in each zone. (A finished task of an array is in no zone any more.)"""
    end_sent: bool = False
    ending: bool = False
    """All tasks are done, but this is not durable yet."""
    errors: int = 0
    """Failures since a task of it was last seen to work."""
    failed_on: set[int] = field(default_factory=set)
    """The machines on which they were."""
    tries_failed: int = 0
    """Rounds of them: tasks that were started together fail together."""
    failed_after_s: float = 0.0
    """How long one of them ran at most."""
    retry_at: float = 0.0
    eligible_at: float | None = None
    """Time of day at which its terms were first seen to let it start."""
    dependencies_met: bool = False
    """Its dependencies are met."""
    avoided_machines: set[int] = field(default_factory=set)
    """Machines on which tasks of this job failed."""
    demand: Resources = field(init=False)
    rank: int = field(init=False)
    types: frozenset[str] | None = field(init=False)
    queue_position: int = 0
    """In the queue: given once, when it was accepted."""
    notes: dict[NoteKey, Note] = field(default_factory=dict)
    """What is to be known of single tasks or replicas whoever acts for them."""
    notes_page: dict[NoteKey, int] = field(default_factory=dict)
    """The page that holds the durable one."""
    notes_changed: set[NoteKey] = field(default_factory=set)
    """Those that are not durable yet."""
    deferred_members: set[int] = field(default_factory=set)
    """Idle tasks that are passed over until the second round of their run; its owner knows."""
    quota: QuotaAccount = field(default_factory=QuotaAccount)
    """Its team's, shared by all of the team's jobs."""
    attempt_counter: AttemptCounter | None = None
    """Where its attempts are counted with those of other jobs of its plan and share."""
    changed_tasks: set[tuple[int, int]] | None = None
    """Where tasks whose standing changes are put down, of a job whose replicas span machines: the
    job's index and the task."""
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
        return self.spec.tasks

    @property
    def is_service(self) -> bool:
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
        self.record_success()
        self.retry_at = 0.0
        self.avoided_machines.clear()

    @property
    def is_failing(self) -> bool:
        """It has failed on several machines since anything of it worked, so that one more start
        tells as much as all of them."""
        return len(self.failed_on) >= SEVERAL_MACHINES

    @property
    def is_at_fault(self) -> bool:
        """Its failures say nothing of the machines: it has failed on several, and nothing of it
        was ever done anywhere."""
        return self.is_failing and self.finished == 0

    def machines_to_avoid(self, now: float) -> set[int]:
        """The machines on which it is not to be tried now. Without an end to that it waited for
        ever where these were all that had room."""
        return set() if self.is_failing or now > self.retry_at + AVOID_S else self.avoided_machines

    def record_failure(self, now: float, machine: int | None, after_s: float = 0.0) -> None:
        """A task of it has failed, and others are put off; `machine`: where that may tell whose
        fault it is, `after_s`: how long it ran."""
        self.errors += 1
        if machine is not None:
            self.failed_on.add(machine)
            self.avoided_machines.add(machine)
        self.failed_after_s = max(self.failed_after_s, after_s)
        if now >= self.retry_at:
            self.tries_failed += 1
        pause_s = FIRST_RETRY_PAUSE_S * 2 ** min(self.tries_failed, MAX_DOUBLINGS)
        self.retry_at = now + min(pause_s, MAX_RETRY_PAUSE_S)

    def record_unexplained_end(self, now: float, machine: int) -> None:
        """The records show that an attempt has ended and its owner has not placed the task anew,
        which may be for a reason that only the owner knows. Taken for room, the machine kept a
        leader from renting. (Of a job that fails everywhere a few tell enough.)"""
        if len(self.avoided_machines) < SEVERAL_MACHINES:
            self.avoided_machines.add(machine)
            self.retry_at = now

    def record_success(self) -> None:
        """A task of it has completed, or runs on where others had failed by then."""
        self.errors = self.tries_failed = 0
        self.failed_after_s = 0.0
        self.failed_on.clear()

    def waiting(self) -> int:
        """How many tasks are not placed and not done."""
        return self.spec.tasks - self.finished - self.live

    def startable(self) -> int:
        """How many of these are not passed over for now."""
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
        """The attempt's task has been seen to complete; it takes no room any more."""
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
        """A task's standing has changed, if anybody wants to know."""
        if self.changed_tasks is not None:
            self.changed_tasks.add((self.index, task))

    def running(self) -> int:
        """Tasks seen running; controllers that don't own the share see placements only."""
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
        """Have an idle task wait until `recall`."""
        if self.status[task] == IDLE:
            self.deferred_members.add(task)

    def resume_deferred(self) -> None:
        """Tasks that were passed over are to be placed, behind the others."""
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
        """Have a note written with the share's next page; the caller sees that it is due."""
        key = (type(note), note.number)
        held = self.notes.get(key)
        if held is None or note.step > held.step:
            self.notes[key] = note
            self.notes_changed.add(key)

    def read_note(self, note: Note, page: int) -> None:
        """Take over a durable note. Pages are read in any order: the highest step counts."""
        key = (type(note), note.number)
        held = self.notes.get(key)
        if held is None or note.step > held.step:
            self.notes[key] = note
            self.notes_page[key] = page

    def mark_done(self, task: int) -> int:
        """Set a finished task's bit; its chunk."""
        chunk, place = divmod(task, self.chunk_size)
        self.done_bits[chunk] = self.done_bits.get(chunk, 0) | 1 << place
        return chunk
