"""Which run a job belongs to, how its members stand, and what a plan's jobs use: kept by changes.

Nothing here is stored. Runs and their cuts are records; a member is reckoned by its finished bit,
placed or running by its row, has failed by its note, is withdrawn by its job's record. So every
controller that follows the state service tells the same, and a new owner begins with all of it.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from badgerseam.levels.table import Behaviour
from badgerseam.model.job import FINISHED, PHASE_NAMES, Attempt, AttemptCounter, Job, Phase
from badgerseam.model.model import Model
from badgerseam.options.runs import Plan, RunsOptions
from badgerseam.wire import state as wire

NOTE_S = 3.0
"""How long a failure may wait for a write that goes anyway before it is written alone."""
FIRST_ROUND = ("open", "reckoning")
SETTLED = ("closing", "closed")


class MemberState(Enum):
    """How a member stands; the value is its name for people."""

    WAITING = "waiting"
    PLACED = "placed"
    RUNNING = "running"
    DEFERRED = "aside"
    """It has failed too often to be tried before the others are through."""
    RECKONED = "reckoned"
    CANCELLED = "withdrawn"


@dataclass(frozen=True, slots=True)
class EndedJob:
    """An ended job of a run that is not closed yet."""

    queue_position: int
    tasks: int
    reckoned: int


@dataclass(slots=True)
class PlanJobs:
    """A plan, its runs and its jobs."""

    plan: Plan
    shards: list[int]
    """Those that may hold jobs of it."""
    counters: dict[int, AttemptCounter] = field(default_factory=dict)
    """Attempts of its jobs, by share."""
    jobs: dict[int, dict[int, Job]] = field(default_factory=dict)
    """Its jobs that are not forgotten, by share and index."""
    ended: dict[str, EndedJob] = field(default_factory=dict)
    cuts: list[int] = field(default_factory=list)
    """The cuts of its runs, the first one first."""
    latest: int = 0
    """The number of its latest run."""
    record: wire.StoredRun | None = None
    version: int = 0

    @property
    def is_open(self) -> bool:
        """Whether its latest run is not closed."""
        return self.record is not None and self.record.phase != "closed"

    def run_number(self, place: int) -> int:
        """The run of a job with that place: the first one whose cut comes after it."""
        return bisect_left(self.cuts, place) + 1

    def members_allowed_in(self, shard: int) -> int | None:
        """Most members at once in a share; None: as many as there is room for.

        In even parts, since owners of other shares start members at the same time and hear of
        each other's only later.
        """
        most = self.plan.most_at_once
        if most is None or shard not in self.shards:
            return most
        turn = self.shards.index(shard)
        return most // len(self.shards) + (turn < most % len(self.shards))

    def all_jobs(self) -> Iterator[Job]:
        """Its open jobs, of all runs."""
        for jobs in self.jobs.values():
            for job in jobs.values():
                if job.phase == Phase.OPEN:
                    yield job

    def members(self, number: int) -> list[Job]:
        """The open jobs of a run."""
        return [job for job in self.all_jobs() if self.run_number(job.queue_position) == number]


class RunIndex:
    """All plans; told of what changes with the model's lock held."""

    def __init__(self, model: Model, options: RunsOptions) -> None:
        self._model = model
        self._clock = model.clock
        self.plans: dict[str, PlanJobs] = {}
        for plan in options.plans:
            teams = [team for team in model.teams if not plan.teams or team.name in plan.teams]
            self.plans[plan.name] = PlanJobs(plan, sorted({team.shard for team in teams}))
        self._known: dict[tuple[str, str], PlanJobs | None] = {}
        self._aside: dict[int, tuple[tuple[int, int, int, int], int]] = {}
        """Of jobs of others' shares how many members are set aside, as long as nothing changes."""

    @property
    def is_active(self) -> bool:
        """Whether the site's level has what runs are kept in."""
        return self._model.is_active(Behaviour.NOTES)

    # ---- what belongs together ----

    def plan_jobs(self, job: Job) -> PlanJobs | None:
        """The plan that a job belongs to. Services end with their cancellation alone, and are no
        members."""
        if job.is_service:
            return None
        spec = job.spec
        key = (spec.job_class, spec.team)
        if key not in self._known:
            if len(self._known) > 10_000:
                self._known.clear()
            plans = self.plans.values()
            self._known[key] = next((found for found in plans if found.plan.has(*key)), None)
        return self._known[key]

    def plan_of(self, job: Job) -> str | None:
        """The name of a job's plan."""
        found = self.plan_jobs(job)
        return None if found is None else found.plan.name

    def holding_run_name(self, job: Job) -> str:
        """The run of a job, such as 'renewal 12'."""
        found = self.plan_jobs(job)
        return "" if found is None else f"{found.plan.name} {found.run_number(job.queue_position)}"

    def phase(self, plan: PlanJobs, job: Job) -> str | None:
        """The phase of a job's run; None if that has not been opened."""
        number = plan.run_number(job.queue_position)
        if number > plan.latest or plan.record is None:
            return None
        return plan.record.phase if number == plan.latest else "closed"

    # ---- how members stand ----

    def failures(self, job: Job, task: int) -> int:
        """How often a member has failed."""
        note = job.notes.get((wire.StoredFailures, task))
        return note.step if isinstance(note, wire.StoredFailures) else 0

    def member_state(self, plan: PlanJobs, job: Job, task: int) -> MemberState:
        """How a member of an open job stands, by what the records say."""
        attempt = job.attempts.get(task)
        if job.status[task] == FINISHED and (attempt is None or not attempt.finishing):
            return MemberState.RECKONED
        note = job.notes.get((wire.StoredFailures, task))
        failed = isinstance(note, wire.StoredFailures)
        # The row of an attempt that has failed lies in its page until that is written again.
        if attempt is not None and not (failed and note.attempt >= attempt.number):  # type: ignore[union-attr]
            began = attempt.started_at > 0 and not attempt.inherited
            return MemberState.RUNNING if began else MemberState.PLACED
        if (
            failed
            and self.failures(job, task) >= plan.plan.attempts
            and self.phase(plan, job) in FIRST_ROUND
        ):
            return MemberState.DEFERRED
        return MemberState.WAITING

    def startable(self, plan: PlanJobs, job: Job) -> int:
        """How many of a job's members wait and are not set aside. Of another owner's job as far as
        its records tell: machines were rented for members that wait for the second round."""
        if self._model.shards[job.shard].owned or not job.notes:
            return job.startable()
        if self.phase(plan, job) not in FIRST_ROUND:
            return job.waiting()
        mark = (job.queue_position, len(job.notes), job.finished, job.live)
        known = self._aside.get(job.index)
        if known is None or known[0] != mark:
            known = self._aside[job.index] = mark, self.deferred_members(plan, job)
        return max(0, job.waiting() - known[1])

    def deferred_members(self, plan: PlanJobs, job: Job) -> int:
        """How many of a job's members have failed too often for the first round; as many steps as
        members have failed at all."""
        return sum(
            isinstance(note, wire.StoredFailures)
            and note.step >= plan.plan.attempts
            and job.status[note.number] != FINISHED
            and (
                (attempt := job.attempts.get(note.number)) is None or attempt.number <= note.attempt
            )
            for note in job.notes.values()
        )

    # ---- what the model tells ----

    def on_job_opened(self, job: Job) -> None:
        """A job has become known."""
        found = self.plan_jobs(job)
        if found is not None:
            found.jobs.setdefault(job.shard, {})[job.index] = job
            job.attempt_counter = found.counters.setdefault(job.shard, AttemptCounter())

    def on_job_settled(self, job: Job) -> None:
        """A job is forgotten."""
        found = self.plan_jobs(job)
        if found is not None:
            found.jobs.get(job.shard, {}).pop(job.index, None)

    def on_job_ended(self, job_id: str, stored: wire.StoredMember, job: Job | None) -> None:
        """A job's final record was seen."""
        found = self.plans.get(stored.plan) if job is None else self.plan_jobs(job)
        if found is None:
            return
        place = stored.queue_position if job is None else job.queue_position
        if found.cuts and not found.is_open and place <= found.cuts[-1]:
            return
        reckoned = stored.tasks
        if PHASE_NAMES[stored.state] == Phase.CANCELLED:
            # Who cancelled it may have known less than we do.
            reckoned = max(stored.reckoned, 0 if job is None else job.durably_done())
        found.ended[job_id] = EndedJob(place, stored.tasks, reckoned)

    def on_attempt_ended(self, attempt: Attempt) -> None:
        """An attempt was taken from its machine: counted if it has failed."""
        job, task = attempt.job, attempt.task
        found = self.plan_jobs(job)
        shard = self._model.shards[job.shard]
        if found is None or not shard.owned or not self.is_active:
            return
        note = job.notes.get((wire.StoredFailures, task))
        known = note if isinstance(note, wire.StoredFailures) else wire.StoredFailures(task, 0)
        if attempt.error and attempt.number > known.attempt and job.phase == Phase.OPEN:
            known = wire.StoredFailures(task, known.step + 1, attempt.number)
            job.add_note(known)
            shard.notes_deferred.setdefault(job.index, self._clock.now() + NOTE_S)
            if 2 * len(job.avoided_machines) > len(self._model.shard_machines[job.shard]):
                # Some failures are the members' own. Shunned for all of the job, one machine after
                # the other, they left none, and a run of some thousand stood still.
                job.avoided_machines = {attempt.machine.index}
        if known.step >= found.plan.attempts and self.phase(found, job) in FIRST_ROUND:
            job.defer(task)

    def on_job_reread(self, job: Job) -> None:
        """A job of a share that is acted for from now on was read from the records."""
        found = self.plan_jobs(job)
        # Set aside by a row that a later one has overruled: it would not be started any more, and
        # another member would be missed for it.
        job.deferred_members.clear()
        if found is None or self.phase(found, job) not in FIRST_ROUND:
            return
        for note in job.notes.values():
            if isinstance(note, wire.StoredFailures) and note.step >= found.plan.attempts:
                job.defer(note.number)

    def on_run_changed(self, plan: str) -> None:
        """A record of a run was seen: what follows for its members."""
        found = self.plans.get(plan)
        if found is None:
            return
        runs = self._model.runs[plan]
        found.latest = max(runs)
        found.record, found.version = runs[found.latest]
        found.cuts = [cut for n in sorted(runs) if (cut := _cut(*runs[n])) is not None]
        if not found.is_open and found.cuts:
            last = found.cuts[-1]
            found.ended = {name: e for name, e in found.ended.items() if e.queue_position > last}
        for job in found.all_jobs():
            if job.deferred_members and self.phase(found, job) not in FIRST_ROUND:
                job.resume_deferred()


def _cut(record: wire.StoredRun, version: int) -> int | None:
    if record.phase == "closing":
        return version
    return record.cut if record.phase == "closed" else None
