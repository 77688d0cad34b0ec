"""All shared state of a controller, behind one lock that is never held over I/O."""

from __future__ import annotations

import threading
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from badgerseam.clock import Clock
from badgerseam.model.job import (
    FINISHED,
    IDLE,
    PHASE_NAMES,
    PLACED,
    Attempt,
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

if TYPE_CHECKING:
    from badgerseam.accounting.accounts import Accounts

PREFIX = "bs/"


def job_key(job_id: str) -> str:
    return f"{PREFIX}j/{job_id}"


def page_key(share: int, page: int) -> str:
    return f"{PREFIX}p/{share}/{page}"


def group_key(group: str) -> str:
    return f"{PREFIX}m/{group}"


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
class Page:
    """Tasks of many jobs under one key, as they are stored."""

    version: int
    jobs: dict[str, wire.JobRows]


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
    owned_since: float = 0.0
    vacant_since: float = 0.0
    ever_held: bool = False
    planned: list[Attempt] = field(default_factory=list)
    """Placements to be made durable."""
    bits_due: dict[int, float] = field(default_factory=dict)
    """Jobs with finished tasks to be made durable, and by when."""
    committing: bool = False
    """A transaction with tasks of the share is on its way; there is one at a time."""
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
    fleets: list[dict[int, Machine]] = field(default_factory=list)
    """The machines of each share, by index."""
    machine_index: dict[str, int] = field(default_factory=dict)
    next_machine: int = 0
    groups: dict[str, tuple[int, dict[str, wire.StoredMachine]]] = field(default_factory=dict)
    """The machines' records as they are stored: version and rows of each key."""
    teams: list[TeamState] = field(default_factory=list)
    team_index: dict[str, int] = field(default_factory=dict)
    shares: list[Share] = field(default_factory=list)
    nodes: dict[str, Held] = field(default_factory=dict)
    leader: Held | None = None
    hires: dict[str, tuple[wire.StoredHire, int]] = field(default_factory=dict)
    pages: list[dict[int, Page]] = field(default_factory=list)
    """The tasks of each share as they are stored."""
    revision: int = 0
    loaded: bool = False
    loading: bool = False
    arrivals: deque[Arrival] = field(default_factory=lambda: deque(maxlen=500))
    kicks: set[int] = field(default_factory=set)
    """Shares whose waiting work should be looked at."""
    pushes: set[int] = field(default_factory=set)
    """Machines that may have commands to get."""
    ending: set[int] = field(default_factory=set)
    """Jobs whose tasks are all done, which is to be made durable."""
    unknown: dict[str, Report] = field(default_factory=dict)
    """Reports of machines without a record."""
    accounts: Accounts | None = None
    """Where they are kept."""
    named: dict[tuple[int, str, str], set[int]] = field(default_factory=dict)
    """Open jobs with a name, by team, user and name."""
    gone: set[str] = field(default_factory=set)
    """Machines whose record was removed: a late report of theirs is no news."""

    def __post_init__(self) -> None:
        params = self.settings.params
        count = params.initial_size
        self.shares = [Share(index) for index in range(count)]
        self.open_jobs = [{} for _ in range(count)]
        self.fleets = [{} for _ in range(count)]
        self.pages = [{} for _ in range(count)]
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
        """Tasks whose bits, four to a byte, take a quarter of a value."""
        return max(64, int(self.settings.params.state.value_kb * 1024))

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
        elif kind == "f":
            if value is not None and version > self.types_version:
                self.set_types(msgspec.json.decode(value, type=list[MachineType]))
                self.types_version = version
        elif version > self.versions.get(key, 0):
            # A page read later than the revision that is followed from may be newer than the
            # changes that follow; older ones must not undo it.
            self.versions[key] = version
            if kind == "m":
                self._apply_group(name, value, version)
            elif kind == "p":
                share_name, _, page = name.partition("/")
                self._apply_page(int(share_name), int(page), value, version)
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
            machine.node = None

    def _apply_job(self, job_id: str, value: msgspec.Raw, version: int) -> None:
        if job_id in self.ended and self.accounts is None:
            return
        stored: wire.StoredJob = msgspec.json.decode(value, type=wire.StoredJob)
        if self.accounts is not None and stored.state != "open":
            self.accounts.seen(job_id, stored, version)
        if job_id in self.ended:
            return
        phase = PHASE_NAMES[stored.state]
        job = self.job(job_id)
        if job is not None and version <= job.version:
            return
        if phase == Phase.OPEN:
            if job is None and stored.spec is not None:
                self._open_job(job_id, stored, version)
            elif job is not None and stored.spec is not None:
                # Its terms have changed, and nothing else.
                job.version = version
                job.spec = stored.spec
                job.met = False
                self.kicks.add(job.share)
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
        if self.accounts is not None:
            self.accounts.opened(job)
        key = name_key(job)
        if key is not None:
            self.named.setdefault(key, set()).add(index)
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

    def _apply_page(self, share: int, number: int, value: msgspec.Raw | None, version: int) -> None:
        if share >= len(self.shares):
            return
        entries = [] if value is None else wire.page_decoder.decode(value)
        page = Page(version, {entry.job: entry for entry in entries})
        before = self.pages[share].pop(number, None)
        if value is not None:
            self.pages[share][number] = page
        if self.shares[share].owned:
            # What we act on is what we wrote ourselves.
            return
        for entry in entries:
            job = self.job(entry.job)
            if job is not None:
                self._load_rows(job, entry, number)
        if before is not None:
            self._drop_rows(before, page)

    def _drop_rows(self, before: Page, after: Page) -> None:
        """Tasks of cancelled jobs that the owner no longer lists are certainly gone."""
        for name, entry in before.jobs.items():
            job = self.job(name)
            if job is None or job.phase == Phase.OPEN:
                continue
            kept = after.jobs.get(name)
            left = set() if kept is None else {row.task for row in kept.rows}
            for row in entry.rows:
                attempt = job.attempts.get(row.task)
                if row.task not in left and attempt and attempt.number == row.attempt:
                    self.unplace(attempt)

    def _load_rows(self, job: Job, entry: wire.JobRows, page: int) -> None:
        """Make a job's tasks what a page says. Pages are read in any order: a task's latest
        attempt counts, and what is done stays so."""
        for chunk, text in entry.done:
            fresh = int(text, 16) & ~job.bits.get(chunk, 0)
            if not fresh:
                continue
            job.bits_page[chunk] = page
            while fresh:
                lowest = fresh & -fresh
                fresh ^= lowest
                task = chunk * job.chunk_size + lowest.bit_length() - 1
                if task >= job.tasks:
                    break
                attempt = job.attempts.get(task)
                if attempt is not None:
                    self.unplace(attempt)
                job.mark_done(task)
                if job.status[task] != FINISHED:
                    job.status[task] = FINISHED
                    job.finished += 1
        for row in entry.rows:
            task = row.task
            if task >= job.tasks or job.status[task] == FINISHED:
                continue
            if row.attempt < job.tries.get(task, 0):
                continue
            attempt = job.attempts.get(task)
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
                placed = self.place(job, task, row.attempt, self.machines[index], Stage.PLACED)
                placed.inherited = True

    def _apply_group(self, group: str, value: msgspec.Raw | None, version: int) -> None:
        rows: dict[str, wire.StoredMachine] = {}
        if value is not None:
            rows = {row.name: row for row in wire.roster_decoder.decode(value)}
        _, before = self.groups.pop(group, (0, {}))
        if rows:
            self.groups[group] = (version, rows)
        for name in before.keys() - rows.keys():
            self._remove_machine(name, group)
        for name, row in rows.items():
            if before.get(name) != row:
                self._apply_machine(row, group, version)

    def _remove_machine(self, name: str, group: str) -> None:
        """A machine's row is removed only when it is certainly gone."""
        index = self.machine_index.get(name)
        if index is None or self.machines[index].group != group:
            return
        machine = self.machines.pop(index)
        del self.machine_index[name]
        del self.fleets[machine.share][index]
        self.gone.add(name)
        for attempt in list(machine.attempts.values()):
            if attempt.finishing:
                # The result was seen; only its record is still to be written.
                attempt.job.detach(attempt)
            else:
                self.unplace(attempt)

    def _apply_machine(self, stored: wire.StoredMachine, group: str, version: int) -> None:
        index = self.machine_index.get(stored.name)
        if index is None:
            index = self.next_machine
            self.next_machine += 1
            self.machine_index[stored.name] = index
            machine = Machine(
                stored.name,
                index,
                stored.share,
                group,
                version,
                stored.type,
                stored.zone,
                stored.spot,
                stored.addr,
                stored.rented,
                self.capacity(stored.type),
            )
            self.machines[index] = machine
            self.fleets[machine.share][index] = machine
            machine.dropped = stored.dropped
            self.adopt(machine, fresh=True)
            return
        machine = self.machines[index]
        if machine.group != group:
            # Recorded twice: the record that came first counts.
            return
        machine.dropped = stored.dropped
        machine.addr = stored.addr or machine.addr
        if machine.share != stored.share:
            del self.fleets[machine.share][index]
            self.fleets[stored.share][index] = machine
            machine.share = stored.share
            machine.version = version
            # Moved with nothing on it: rows of the share it left, written before, mean nothing any
            # more. Its new owner must not take them for its own work and launch them.
            for attempt in list(machine.attempts.values()):
                if attempt.job.share != machine.share:
                    self.unplace(attempt)
            self.adopt(machine, fresh=True)

    def adopt(self, machine: Machine, fresh: bool) -> None:
        """Start to act for a machine if its share is owned; forget what its owner knew if not.

        `fresh`: the share was owned already, so nobody else can have renewed the machine's lease
        beyond its move, which an owner does only with nothing on the machine.
        """
        share = self.shares[machine.share]
        # A claim that has gone to another, with this machine moved after that: the share is given
        # up at the next review, and must not use a term as high as the new owner's until then.
        if share.owned and share.held is not None and share.held.version == share.term:
            now = self.clock.now()
            machine.take_over(share.term, now, now if fresh else now + self.cut_bound_s)
            machine.idle_since = now
            self.kicks.add(machine.share)
        else:
            # Otherwise one that was passed on would count as draining for ever with the one that
            # had it before: a leader neither used nor returned such machines.
            machine.forget()

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
            self.shares[job.share].planned.append(attempt)
        job.attach(attempt)
        job.tries[task] = number
        job.status[task] = PLACED
        # Every controller sees placements, so that a new owner knows where images are.
        machine.images.add(job.spec.image)
        return attempt

    def unplace(self, attempt: Attempt) -> None:
        """The attempt is certainly over."""
        machine = attempt.machine
        if self.accounts is not None and attempt.stage != Stage.PLANNED and not attempt.finishing:
            self.accounts.ended(attempt, done=False)
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
        if self.accounts is not None:
            self.accounts.ended(attempt, done=True)
        job.completed(attempt)
        job.status[task] = FINISHED
        job.finished += 1
        if job.finished == job.tasks and not job.service and job.phase == Phase.OPEN:
            job.ending = True
            self.ending.add(job.index)
        job.bits_changed.add(job.mark_done(task))
        self.shares[job.share].bits_due.setdefault(job.index, write_by)
        self.kicks.add(job.share)
        if len(attempt.machine.attempts) == 1:
            attempt.machine.idle_since = self.clock.now()

    def forget_finished(self, attempt: Attempt) -> None:
        """The finished task is durable: its machine may be told to reap it."""
        attempt.job.detach(attempt)
        self.pushes.add(attempt.machine.index)

    def settle(self, job: Job) -> None:
        """Forget an ended job as soon as none of its tasks can be on a machine."""
        if job.phase == Phase.OPEN:
            return
        job.ending = False
        owned = self.shares[job.share].owned
        for attempt in list(job.attempts.values()):
            if attempt.finishing or job.phase == Phase.DONE:
                job.detach(attempt)
            elif owned:
                attempt.stopping = True
                attempt.machine.node = None
                attempt.grace_s = 0.0
                attempt.stop_sent = False
                self.pushes.add(attempt.machine.index)
        self.kicks.add(job.share)
        if job.attempts or self.jobs[job.index] is not job:
            return
        if self.accounts is not None:
            self.accounts.settled(job)
        self.shares[job.share].bits_due.pop(job.index, None)
        key = name_key(job)
        if key is not None and key in self.named:
            self.named[key].discard(job.index)
            if not self.named[key]:
                del self.named[key]
        self.jobs[job.index] = None
        self.free_jobs.append(job.index)
        del self.job_index[job.id]
        del self.open_jobs[job.share][job.index]

    def keys(self) -> list[str]:
        """The keys of all that can be removed again, as far as known."""
        keys = [group_key(group) for group in self.groups]
        keys += [node_key(name) for name in self.nodes]
        keys += [claim_key(share.index) for share in self.shares if share.held]
        keys += [hire_key(name) for name in self.hires]
        keys += [page_key(share, page) for share, pages in enumerate(self.pages) for page in pages]
        if self.leader is not None:
            keys.append(LEADER_KEY)
        return keys

    def usage(self, team: int) -> Resources:
        """What a team's tasks use or may use, finished ones aside."""
        total = NOTHING
        for job in self.open_jobs[self.teams[team].share].values():
            if job.team == team and job.live:
                total = total.plus(job.need.times(job.live))
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
        share.owned_since = self.clock.now()
        self._reload(share)
        for machine in self.fleets[share.index].values():
            self.adopt(machine, fresh=alone)

    def disown(self, share: Share) -> None:
        """Stop acting for a share; what is not durable is forgotten."""
        share.owned = False
        share.releasing = False
        for machine in self.fleets[share.index].values():
            machine.forget()
        self._reload(share)

    def _reload(self, share: Share) -> None:
        share.planned.clear()
        share.bits_due.clear()
        if self.accounts is not None:
            self.accounts.loading = True
        jobs = list(self.open_jobs[share.index].values())
        for job in jobs:
            job.reset()
        for number, page in self.pages[share.index].items():
            for entry in page.jobs.values():
                found = self.job(entry.job)
                if found is not None:
                    self._load_rows(found, entry, number)
        if self.accounts is not None:
            self.accounts.loading = False
            for job in jobs:
                self.accounts.opened(job)
        for job in jobs:
            if job.finished == job.tasks and job.phase == Phase.OPEN and not job.service:
                job.ending = True
                self.ending.add(job.index)
            self.settle(job)
        self.kicks.add(share.index)


def name_key(job: Job) -> tuple[int, str, str] | None:
    """Team, user and name of a job that has all of them."""
    terms = job.spec.terms
    if terms is None or terms.name is None or terms.user is None:
        return None
    return job.team, terms.user, terms.name


def _held(value: msgspec.Raw | None, version: int) -> Held | None:
    return None if value is None else Held(msgspec.json.decode(value, type=wire.Claim), version)


__all__ = ["FINISHED", "IDLE", "PLACED", "Held", "Model", "Share", "TeamState"]
