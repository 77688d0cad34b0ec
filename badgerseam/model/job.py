"""Jobs and their tasks."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import TYPE_CHECKING

import msgspec

from badgerseam.model.resources import Resources
from badgerseam.wire.state import StoredTasks, TaskRow, raw
from badgerseam.wire.users import Submission

if TYPE_CHECKING:
    from badgerseam.model.machine import Machine

RANKS = {"best_effort": 0, "standard": 1, "high": 2, "production": 3}
HIGH_RANK = RANKS["high"]


class Phase(IntEnum):
    OPEN = 0
    DONE = 1
    WITHDRAWN = 2


PHASE_NAMES = {"open": Phase.OPEN, "done": Phase.DONE, "withdrawn": Phase.WITHDRAWN}

IDLE, PLACED, FINISHED = 0, 1, 2


class Stage(IntEnum):
    """How far an attempt has come."""

    PLANNED = 0  # not durable yet
    PLACED = 1  # durable, not seen on its machine
    FETCHING = 2
    RUNNING = 3
    SAVING = 4


@dataclass(slots=True, eq=False)
class Attempt:
    """A try of a task on a machine it is on, or may be on."""

    job: Job
    task: int
    number: int
    machine: Machine
    stage: Stage = Stage.PLACED
    sending: bool = False
    """A launch is on its way on `/do`."""
    sent: bool = False
    """A launch was given and no newer report has shown that it went unheard."""
    sent_mark: tuple[int, int] = (0, 0)
    """(session, seq) that a report has to exceed to tell what became of the launch."""
    stopping: bool = False
    grace_s: float = 0.0
    stop_sent: bool = False
    planned_at: float = 0.0
    started_at: float = 0.0
    finishing: bool = False
    """Seen as completed; kept until that is durable."""

    @property
    def name(self) -> str:
        return f"{self.job.id}/{self.task}"


@dataclass(slots=True)
class Chunk:
    """The durable form of a run of a job's tasks."""

    version: int = 0
    stored: StoredTasks | None = None


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
    share: int
    chunk_size: int
    phase: Phase = Phase.OPEN
    status: bytearray = field(init=False)
    tries: dict[int, int] = field(default_factory=dict)
    attempts: dict[int, Attempt] = field(default_factory=dict)
    chunks: dict[int, Chunk] = field(default_factory=dict)
    idle: list[int] = field(default_factory=list)
    """Tasks to place; may hold stale numbers, see next_idle."""
    finished: int = 0
    dirty: dict[int, float] = field(default_factory=dict)
    """Chunks to be written, and by when."""
    writing: set[int] = field(default_factory=set)
    """Chunks whose transaction is on its way."""
    end_sent: bool = False
    ending: bool = False
    """All tasks are done, but this is not durable yet."""
    errors: int = 0
    retry_at: float = 0.0
    shunned: set[int] = field(default_factory=set)
    """Machines on which tasks of this job failed."""
    need: Resources = field(init=False)
    rank: int = field(init=False)
    types: frozenset[str] | None = field(init=False)
    seen_at: float = 0.0

    def __post_init__(self) -> None:
        spec = self.spec
        self.need = Resources(spec.cpus, spec.gpus, spec.memory_gb)
        self.rank = RANKS[spec.priority]
        self.types = None if spec.types is None else frozenset(spec.types)
        self.reset()

    @property
    def tasks(self) -> int:
        return self.spec.tasks

    @property
    def service(self) -> bool:
        return self.spec.kind == "standing"

    @property
    def gang(self) -> bool:
        """Its tasks run only together."""
        return self.spec.kind == "group"

    def reset(self) -> None:
        """Forget all that is not durable, before `apply` of each chunk."""
        for attempt in self.attempts.values():
            attempt.machine.attempts.pop((self.index, attempt.task), None)
        self.attempts.clear()
        self.tries.clear()
        self.dirty.clear()
        self.status = bytearray(self.spec.tasks)
        self.idle = list(range(self.spec.tasks - 1, -1, -1))
        self.finished = 0
        self.ending = False
        self.errors = 0
        self.retry_at = 0.0
        self.shunned.clear()

    def waiting(self) -> int:
        """How many tasks are not placed and not done."""
        return self.spec.tasks - self.finished - len(self.attempts) + self._finishing()

    def _finishing(self) -> int:
        # Finished tasks whose attempt is kept until that is durable are counted twice above.
        return sum(1 for attempt in self.attempts.values() if attempt.finishing)

    def running(self) -> int:
        """Tasks seen running; controllers that don't own the share see placements only."""
        stages = [attempt.stage for attempt in self.attempts.values() if not attempt.finishing]
        return sum(stage >= Stage.RUNNING for stage in stages) or stages.count(Stage.PLACED)

    def next_idle(self) -> int | None:
        """A task to place, lowest number first, or None."""
        while self.idle:
            task = self.idle[-1]
            if self.status[task] == IDLE:
                return task
            self.idle.pop()
        return None

    def release(self, attempt: Attempt) -> None:
        """The attempt is certainly over, and its task is to be placed anew."""
        attempt.machine.attempts.pop((self.index, attempt.task), None)
        if self.attempts.get(attempt.task) is attempt:
            del self.attempts[attempt.task]
            if self.status[attempt.task] == PLACED:
                self.status[attempt.task] = IDLE
                self.idle.append(attempt.task)

    def encode_chunk(self, number: int) -> StoredTasks:
        """The present state of a chunk, as it will be stored."""
        first = number * self.chunk_size
        last = min(first + self.chunk_size, self.spec.tasks)
        bits = 0
        rows: list[TaskRow] = []
        for task in range(first, last):
            if self.status[task] == FINISHED:
                bits |= 1 << (task - first)
            elif task in self.tries:
                attempt = self.attempts.get(task)
                rows.append(
                    TaskRow(task, self.tries[task], attempt.machine.name if attempt else None)
                )
        return StoredTasks(f"{bits:x}", rows)

    def chunk_of(self, task: int) -> int:
        return task // self.chunk_size

    def chunk_value(self, stored: StoredTasks) -> msgspec.Raw:
        return raw(stored)
