"""All shared state of a controller, behind one lock that is never held over I/O."""

from __future__ import annotations

import threading
from collections import deque
from dataclasses import dataclass, field

import msgspec

from badgerseam.clock import Clock
from badgerseam.model.job import (
    FINISHED,
    IDLE,
    PHASE_NAMES,
    PLACED,
    Attempt,
    Chunk,
    Job,
    Phase,
    Stage,
)
from badgerseam.model.machine import Machine
from badgerseam.model.resources import NOTHING, Resources
from badgerseam.settings import Settings
from badgerseam.wire import state as wire
from badgerseam.wire.cloud import MachineType
from badgerseam.wire.workers import Report

PREFIX = "bs/"
ROW_BYTES = 48
"""An upper bound of a task's row in a chunk."""


def job_key(job_id: str) -> str:
    return f"{PREFIX}j/{job_id}"


def chunk_key(job_id: str, chunk: int) -> str:
    return f"{PREFIX}p/{job_id}/{chunk}"


def machine_key(name: str) -> str:
    return f"{PREFIX}m/{name}"


def claim_key(share: int) -> str:
    return f"{PREFIX}c/{share}"


def counts_key(share: int) -> str:
    return f"{PREFIX}g/{share}"


def node_key(node: str) -> str:
    return f"{PREFIX}n/{node}"


def hire_key(name: str) -> str:
    return f"{PREFIX}h/{name}"


LEADER_KEY = f"{PREFIX}l"
TYPES_KEY = f"{PREFIX}f"


@dataclass(frozen=True, slots=True)
class Arrival:
    """A job as it came, for what the next ones may need."""

    at: float
    job_class: str
    share: int
    tasks: int
    need: Resources
    rank: int
    spot: bool


@dataclass(slots=True)
class TeamState:
    name: str
    share: int
    guarantee: Resources
    limit: Resources
    used: Resources = NOTHING


@dataclass(slots=True)
class Held:
    """A claim as the replica shows it."""

    claim: wire.Claim
    version: int


@dataclass(slots=True)
class Share:
    """A share of teams and machines."""

    index: int
    held: Held | None = None
    owned: bool = False
    """This process acts for the share."""
    releasing: bool = False
    term: int = 0
    finished: int = 0
    evicted: int = 0
    counts_version: int = 0
    vacant_since: float = 0.0
    ever_held: bool = False
    last_holder: str | None = None
    """The controller that held the share before its present claim, as far as known."""


@dataclass(slots=True)
class Model:
    settings: Settings
    clock: Clock
    lock: threading.RLock = field(default_factory=threading.RLock)
    types: dict[str, MachineType] = field(default_factory=dict)
    types_version: int = 0
    jobs: list[Job | None] = field(default_factory=list)
    job_index: dict[str, int] = field(default_factory=dict)
    ended: dict[str, tuple[Phase, int]] = field(default_factory=dict)
    open_jobs: list[dict[int, Job]] = field(default_factory=list)
    """Open and lingering jobs of each share, by index."""
    free_jobs: list[int] = field(default_factory=list)
    versions: dict[str, int] = field(default_factory=dict)
    """The latest version applied of machine and claim keys, against replays."""
    machines: dict[int, Machine] = field(default_factory=dict)
    machine_index: dict[str, int] = field(default_factory=dict)
    next_machine: int = 0
    teams: list[TeamState] = field(default_factory=list)
    team_index: dict[str, int] = field(default_factory=dict)
    shares: list[Share] = field(default_factory=list)
    nodes: dict[str, Held] = field(default_factory=dict)
    leader: Held | None = None
    hires: dict[str, tuple[wire.StoredHire, int]] = field(default_factory=dict)
    garbage: dict[str, int] = field(default_factory=dict)
    """Chunks of ended jobs to be deleted, with their share, or -1 if it is not known."""
    collecting: bool = False
    revision: int = 0
    loaded: bool = False
    loading: bool = False
    arrivals: deque[Arrival] = field(default_factory=lambda: deque(maxlen=500))
    kicks: set[int] = field(default_factory=set)
    """Shares whose waiting work should be looked at."""
    pushes: set[int] = field(default_factory=set)
    """Machines that may have commands to get."""
    dirty: set[int] = field(default_factory=set)
    """Jobs with something to be made durable."""
    unknown: dict[str, Report] = field(default_factory=dict)
    """Reports of machines without a record."""
    gone: set[str] = field(default_factory=set)
    """Machines whose record was removed: a late report of theirs is no news."""

    def __post_init__(self) -> None:
        params = self.settings.params
        count = params.initial_size
        self.shares = [Share(index) for index in range(count)]
        self.open_jobs = [{} for _ in range(count)]
        order = sorted(params.teams, key=lambda team: team.name)
        for index, team in enumerate(order):
            self.team_index[team.name] = index
            self.teams.append(
                TeamState(
                    team.name,
                    index * count // len(order) if len(order) >= count else index,
                    Resources(team.cpus, team.gpus, float("inf")),
                    Resources(team.cpus_max, team.gpus_max, float("inf")),
                )
            )

    @property
    def chunk_size(self) -> int:
        """Tasks a chunk holds so that its value stays well within the limit."""
        return max(8, int(self.settings.params.state.value_kb * 1024 * 0.9) // ROW_BYTES)

    # ---- the replica: changes in the order of the state service ----

    def apply(self, key: str, value: msgspec.Raw | None, version: int) -> None:
        """Take over one change; None is a removal."""
        if not key.startswith(PREFIX):
            return
        rest = key[len(PREFIX) :]
        kind, _, name = rest.partition("/")
        if kind == "j":
            if value is not None:
                self._apply_job(name, value, version)
        elif kind == "p":
            self._apply_chunk(name, value, version)
        elif kind == "f":
            if value is not None and version > self.types_version:
                self.set_types(msgspec.json.decode(value, type=list[MachineType]))
                self.types_version = version
        elif version > self.versions.get(key, 0):
            # A page read later than the revision that is followed from may be newer than the
            # changes that follow; older ones must not undo it.
            self.versions[key] = version
            if kind == "m":
                self._apply_machine(name, value, version)
            elif kind == "c":
                self._apply_claim(int(name), value, version)
            elif kind == "l":
                self.leader = _held(value, version)
            elif kind == "n":
                held = _held(value, version)
                if held is None:
                    self.nodes.pop(name, None)
                else:
                    self.nodes[name] = held
            elif kind == "h":
                if value is None:
                    self.hires.pop(name, None)
                    self.versions.pop(key, None)
                else:
                    self.hires[name] = (msgspec.json.decode(value, type=wire.StoredHire), version)
            elif kind == "g" and value is not None:
                share = self.shares[int(name)]
                counts: wire.StoredCounts = msgspec.json.decode(value, type=wire.StoredCounts)
                share.counts_version = version
                if not share.owned:
                    share.finished, share.evicted = counts.finished, counts.evicted

    def set_types(self, types: list[MachineType]) -> None:
        self.types = {entry.name: entry for entry in types}
        for machine in self.machines.values():
            machine.total = self.capacity(machine.type)

    def _apply_job(self, job_id: str, value: msgspec.Raw, version: int) -> None:
        if job_id in self.ended:
            return
        stored: wire.StoredJob = msgspec.json.decode(value, type=wire.StoredJob)
        phase = PHASE_NAMES[stored.state]
        job = self.job(job_id)
        if job is not None and version <= job.version:
            return
        if phase == Phase.OPEN:
            if job is None and stored.spec is not None:
                self._open_job(job_id, stored, version)
            return
        self.ended[job_id] = (phase, stored.tasks)
        if job is None and stored.spec is not None and self.loading:
            # Its tasks may still be on machines: kept until its chunks, read later, tell.
            self._open_job(job_id, stored, version)
            job = self.job(job_id)
            if job is not None:
                job.phase = phase
            return
        if job is not None:
            job.version = version
            job.phase = phase
            self.settle(job)

    def begin_load(self) -> None:
        self.loading = True

    def end_load(self, revision: int, seen: set[str]) -> None:
        """All keys were read: drop what was not among them, and ended jobs that left nothing."""
        for key in self.keys():
            if key not in seen:
                self.apply(key, None, revision)
        self.revision = revision
        self.loading = False
        self.loaded = True
        for job in list(self.jobs):
            if job is not None:
                self.settle(job)

    def _open_job(self, job_id: str, stored: wire.StoredJob, version: int) -> None:
        spec = stored.spec
        assert spec is not None
        team = self.team_index.get(spec.team)
        if team is None:
            # A team that the settings no longer name: the job is kept, but nothing may run for it.
            return
        index = self.free_jobs.pop() if self.free_jobs else len(self.jobs)
        share = self.teams[team].share
        job = Job(job_id, index, spec, version, stored.at, team, share, self.chunk_size)
        job.seen_at = self.clock.now()
        if index == len(self.jobs):
            self.jobs.append(job)
        else:
            self.jobs[index] = job
        self.job_index[job_id] = index
        self.open_jobs[share][index] = job
        self.kicks.add(share)
        age = max(0.0, self.clock.wall() - stored.at)
        self.arrivals.append(
            Arrival(
                job.seen_at - age,
                spec.job_class,
                share,
                spec.tasks,
                job.need,
                job.rank,
                spec.spot,
            )
        )

    def _apply_chunk(self, name: str, value: msgspec.Raw | None, version: int) -> None:
        job_id, _, number = name.partition("/")
        key = chunk_key(job_id, int(number))
        job = self.job(job_id)
        if job is None:
            if value is None:
                self.garbage.pop(key, None)
            elif job_id in self.ended:
                self.garbage[key] = -1
            return
        chunk = job.chunks.setdefault(int(number), Chunk())
        if version <= chunk.version:
            return
        chunk.version = 0 if value is None else version
        chunk.stored = None if value is None else msgspec.json.decode(value, type=wire.StoredTasks)
        if value is None:
            del job.chunks[int(number)]
            if not self.shares[job.share].owned:
                # Its owner has seen all of these tasks gone.
                first = int(number) * job.chunk_size
                for task in range(first, first + job.chunk_size):
                    if task in job.attempts:
                        self.unplace(job.attempts[task])
                self.settle(job)
            return
        if not self.shares[job.share].owned:
            self._load_chunk(job, int(number))

    def _load_chunk(self, job: Job, number: int) -> None:
        """Make the tasks of a chunk what the durable record says."""
        stored = job.chunks[number].stored
        assert stored is not None
        bits = int(stored.done, 16)
        first = number * job.chunk_size
        seen = {row.task: row for row in stored.rows}
        for task in range(first, min(first + job.chunk_size, job.tasks)):
            attempt = job.attempts.get(task)
            row = seen.get(task)
            if bits >> (task - first) & 1:
                if attempt is not None:
                    self.unplace(attempt)
                if job.status[task] != FINISHED:
                    job.status[task] = FINISHED
                    job.finished += 1
                continue
            if row is None:
                continue
            job.tries[task] = row.attempt
            index = None if row.machine is None else self.machine_index.get(row.machine)
            if index is not None and self.machines[index].share != job.share:
                # It has been moved since, which happens only with nothing on it.
                index = None
            if attempt is not None:
                if index == attempt.machine.index and attempt.number == row.attempt:
                    continue
                self.unplace(attempt)
            if index is not None:
                self.place(job, task, row.attempt, self.machines[index], Stage.PLACED)

    def _apply_machine(self, name: str, value: msgspec.Raw | None, version: int) -> None:
        index = self.machine_index.get(name)
        if value is None:
            if index is not None:
                # The record is removed only when the machine is certainly gone.
                machine = self.machines.pop(index)
                del self.machine_index[name]
                for attempt in list(machine.attempts.values()):
                    if attempt.finishing:
                        # The result was seen; only its record is still to be written.
                        machine.attempts.pop((attempt.job.index, attempt.task), None)
                        attempt.job.attempts.pop(attempt.task, None)
                    else:
                        self.unplace(attempt)
            self.gone.add(name)
            return
        stored: wire.StoredMachine = msgspec.json.decode(value, type=wire.StoredMachine)
        if index is None:
            index = self.next_machine
            self.next_machine += 1
            self.machine_index[name] = index
            machine = Machine(
                name,
                index,
                stored.share,
                version,
                stored.type,
                stored.zone,
                stored.spot,
                stored.addr,
                stored.rented,
                self.capacity(stored.type),
            )
            self.machines[index] = machine
            machine.dropped = stored.dropped
            self.adopt(machine, fresh=True)
            return
        machine = self.machines[index]
        moved = machine.share != stored.share
        machine.share = stored.share
        machine.version = version
        machine.dropped = stored.dropped
        machine.addr = stored.addr or machine.addr
        if moved:
            # Moved with nothing on it: rows of the share it left, written before, mean nothing any
            # more. Its new owner must not take them for its own work and launch them.
            for attempt in list(machine.attempts.values()):
                if attempt.job.share != machine.share:
                    self.unplace(attempt)
            self.adopt(machine, fresh=True)

    def adopt(self, machine: Machine, fresh: bool) -> None:
        """Start to act for a machine if its share is owned.

        `fresh`: the share was owned already, so nobody else can have renewed the machine's lease
        beyond its move, which an owner does only with nothing on the machine.
        """
        share = self.shares[machine.share]
        if share.owned:
            now = self.clock.now()
            machine.take_over(share.term, now, now if fresh else now + self.cut_bound_s)
            machine.idle_since = now
            self.kicks.add(machine.share)

    @property
    def cut_bound_s(self) -> float:
        """How long an owner that cannot reach the state service goes on answering reports.

        Whatever happens meanwhile to a job elsewhere, its tasks are gone by bound + lease_s, which
        has to stay below cancel_s.
        """
        workers = self.settings.params.workers
        return max(0.0, workers.cancel_s - workers.lease_s * 1.001 - 4.0)

    def _apply_claim(self, index: int, value: msgspec.Raw | None, version: int) -> None:
        if index >= len(self.shares):
            return
        share = self.shares[index]
        if share.held is not None:
            share.last_holder = share.held.claim.node
        share.held = _held(value, version)
        if share.held is None:
            share.vacant_since = self.clock.now()
        else:
            share.ever_held = True

    # ---- lookups and small changes; callers hold the lock ----

    def capacity(self, type_name: str) -> Resources:
        entry = self.types.get(type_name)
        return NOTHING if entry is None else Resources(entry.cpus, entry.gpus, entry.memory_gb)

    def job(self, job_id: str) -> Job | None:
        index = self.job_index.get(job_id)
        return None if index is None else self.jobs[index]

    def machine(self, name: str) -> Machine | None:
        index = self.machine_index.get(name)
        return None if index is None else self.machines[index]

    def find(self, task_name: str) -> tuple[Job, int] | None:
        """The open or lingering job and the number behind a task's wire name."""
        job_id, _, number = task_name.partition("/")
        job = self.job(job_id)
        if job is None or not number.isdecimal() or int(number) >= job.tasks:
            return None
        return job, int(number)

    def place(self, job: Job, task: int, number: int, machine: Machine, stage: Stage) -> Attempt:
        """Put a task on a machine; its team pays from now on."""
        attempt = Attempt(job, task, number, machine, stage)
        attempt.planned_at = self.clock.now()
        if stage == Stage.PLANNED:
            chunk = job.chunk_of(task)
            job.dirty[chunk] = 0.0
            self.dirty.add(job.index)
        job.attempts[task] = attempt
        job.tries[task] = number
        job.status[task] = PLACED
        machine.attempts[(job.index, task)] = attempt
        # Every controller sees placements, so that a new owner knows where images are.
        machine.images.add(job.spec.image)
        return attempt

    def unplace(self, attempt: Attempt) -> None:
        """The attempt is certainly over."""
        machine = attempt.machine
        attempt.job.release(attempt)
        self.kicks.add(attempt.job.share)
        if not machine.attempts:
            machine.idle_since = self.clock.now()
        if attempt.job.phase != Phase.OPEN:
            self.settle(attempt.job)

    def finish(self, attempt: Attempt, write_by: float) -> None:
        """The attempt's task has completed; the machine's room is free."""
        job, task = attempt.job, attempt.task
        if job.status[task] == FINISHED:
            return
        attempt.finishing = True
        job.status[task] = FINISHED
        job.finished += 1
        if job.finished == job.tasks and not job.service and job.phase == Phase.OPEN:
            job.ending = True
        chunk = job.chunk_of(task)
        job.dirty[chunk] = min(job.dirty.get(chunk, write_by), write_by)
        self.dirty.add(job.index)
        self.kicks.add(job.share)
        if len(attempt.machine.attempts) == 1:
            attempt.machine.idle_since = self.clock.now()

    def forget_finished(self, attempt: Attempt) -> None:
        """The finished task is durable: its machine may be told to reap it."""
        machine, job = attempt.machine, attempt.job
        machine.attempts.pop((job.index, attempt.task), None)
        if job.attempts.get(attempt.task) is attempt:
            del job.attempts[attempt.task]
        self.pushes.add(machine.index)

    def settle(self, job: Job) -> None:
        """Forget an ended job as soon as none of its tasks can be on a machine."""
        if job.phase == Phase.OPEN:
            return
        job.dirty.clear()
        job.ending = False
        owned = self.shares[job.share].owned
        for attempt in list(job.attempts.values()):
            if attempt.finishing or job.phase == Phase.DONE:
                attempt.machine.attempts.pop((job.index, attempt.task), None)
                del job.attempts[attempt.task]
            elif owned:
                attempt.stopping = True
                attempt.grace_s = 0.0
                attempt.stop_sent = False
                self.pushes.add(attempt.machine.index)
        self.kicks.add(job.share)
        if job.attempts or self.jobs[job.index] is not job:
            return
        for number in job.chunks:
            self.garbage[chunk_key(job.id, number)] = job.share
        self.jobs[job.index] = None
        self.free_jobs.append(job.index)
        del self.job_index[job.id]
        del self.open_jobs[job.share][job.index]

    def keys(self) -> list[str]:
        """The keys of all that can be removed again, as far as known."""
        keys = [machine_key(name) for name in self.machine_index]
        keys += [node_key(name) for name in self.nodes]
        keys += [claim_key(share.index) for share in self.shares if share.held]
        keys += [hire_key(name) for name in self.hires]
        keys += [
            chunk_key(job.id, number)
            for job in self.jobs
            if job is not None
            for number in job.chunks
        ]
        keys += list(self.garbage)
        if self.leader is not None:
            keys.append(LEADER_KEY)
        return keys

    def usage(self, team: int) -> Resources:
        """What a team's tasks use or may use, finished ones aside."""
        total = NOTHING
        for job in self.open_jobs[self.teams[team].share].values():
            if job.team == team and job.attempts:
                count = sum(1 for attempt in job.attempts.values() if not attempt.finishing)
                need = job.need
                total = total.plus(
                    Resources(need.cpus * count, need.gpus * count, need.memory_gb * count)
                )
        return total

    def own(self, share: Share, term: int, alone: bool) -> None:
        """Start to act for a share whose claim the replica has just shown as ours.

        `alone`: the holder before was an earlier process of this controller, so that nobody else
        can still answer reports.
        """
        share.term = term
        share.releasing = False
        # Owned first: cancelled jobs that linger are settled by their owner, who stops their tasks.
        share.owned = True
        self._reload(share)
        for machine in self.machines.values():
            if machine.share == share.index:
                self.adopt(machine, fresh=alone)

    def disown(self, share: Share) -> None:
        """Stop acting for a share; what is not durable is forgotten."""
        share.owned = False
        share.releasing = False
        self._reload(share)

    def _reload(self, share: Share) -> None:
        for job in list(self.open_jobs[share.index].values()):
            job.reset()
            for number, chunk in list(job.chunks.items()):
                if chunk.stored is None:
                    # Its first write is on its way; if it is applied, the replica will show it.
                    del job.chunks[number]
                else:
                    self._load_chunk(job, number)
            if job.finished == job.tasks and job.phase == Phase.OPEN and not job.service:
                job.ending = True
                self.dirty.add(job.index)
            self.settle(job)
        self.kicks.add(share.index)


def _held(value: msgspec.Raw | None, version: int) -> Held | None:
    return None if value is None else Held(msgspec.json.decode(value, type=wire.Claim), version)


__all__ = ["FINISHED", "IDLE", "PLACED", "Held", "Model", "Share", "TeamState"]
