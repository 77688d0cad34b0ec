"""Indexes the plans of reckoning runs: the run of each job, the states of its members, and what a
plan's jobs use.

The index follows the changes of the model, and nothing of it is stored. Runs and their cuts are
records; a member is reckoned by its finished bit, placed or running by its row, has failed by its
note, is cancelled by its job's record. So all controllers that follow the state service agree, and
a new owner begins with all of it.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from badgerseam.levels.table import Behaviour
from badgerseam.model.job import FINISHED, PHASE_NAMES, Attempt, AttemptCounter, Job, Phase
from badgerseam.model.model import Model
from badgerseam.options.runs import Plan, RunsOptions
from badgerseam.wire import state as wire

MAX_NOTE_DELAY_S = 3.0
"""How long a failure waits for a page that is written anyway before it is written alone."""
MAX_CACHED_PLANS = 10_000
"""Pairs of job class and team whose plan is cached."""
FIRST_ROUND = ("open", "reckoning")
"""Phases in which members that have failed too often are deferred."""


class MemberState(Enum):
    """The state of a member; the value is its name in answers to operators."""

    WAITING = "waiting"
    PLACED = "placed"
    RUNNING = "running"
    DEFERRED = "aside"
    """It has failed too often to be tried before all others have ended."""
    RECKONED = "reckoned"
    CANCELLED = "withdrawn"


@dataclass(frozen=True, slots=True)
class EndedJob:
    """An ended job of a run that is not closed yet."""

    queue_position: int
    tasks: int
    reckoned: int
    """Tasks that had finished; the others are cancelled."""


@dataclass(slots=True)
class PlanJobs:
    """A plan, its runs and its jobs."""

    plan: Plan
    shards: list[int]
    """The shards that may hold jobs of it."""
    counters: dict[int, AttemptCounter] = field(default_factory=dict)
    """Attempts of its jobs, by shard."""
    jobs: dict[int, dict[int, Job]] = field(default_factory=dict)
    """Its jobs that are not settled, by shard and index."""
    ended: dict[str, EndedJob] = field(default_factory=dict)
    """By job id."""
    cuts: list[int] = field(default_factory=list)
    """The revisions that separate its runs, the first one first: members of a run are the jobs
    accepted after the cut before it, up to its own."""
    latest: int = 0
    """The number of its latest run; 0 if there is none."""
    record: wire.StoredRun | None = None
    """The record of its latest run."""
    version: int = 0
    """The version of that record."""

    @property
    def is_open(self) -> bool:
        """Whether its latest run is not closed."""
        return self.record is not None and self.record.phase != "closed"

    def run_number(self, queue_position: int) -> int:
        """The run of a job with that queue position: the first one whose cut is not before it."""
        return bisect_left(self.cuts, queue_position) + 1

    def members_allowed_in(self, shard: int) -> int | None:
        """The limit of members on machines at once in a shard; None: no limit.

        The plan's limit in even parts, since owners of other shards start members at the same time
        and observe each other's only later.
        """
        limit = self.plan.most_at_once
        if limit is None or shard not in self.shards:
            return limit
        position = self.shards.index(shard)
        return limit // len(self.shards) + (position < limit % len(self.shards))

    def all_jobs(self) -> Iterator[Job]:
        """Its open jobs, of all runs."""
        for jobs in self.jobs.values():
            for job in jobs.values():
                if job.phase == Phase.OPEN:
                    yield job

    def members(self, number: int) -> list[Job]:
        """The open jobs of a run."""
        return [job for job in self.all_jobs() if self.run_number(job.queue_position) == number]


class _JobProgress(NamedTuple):
    """What the number of a job's deferred members depends on."""

    queue_position: int
    notes: int
    finished: int
    live: int


class _DeferredCount(NamedTuple):
    """A job's deferred members, at some progress of the job."""

    progress: _JobProgress
    members: int


class RunIndex:
    """All plans, by name; a `JobObserver` of the model. Callers hold the model's lock."""

    def __init__(self, model: Model, options: RunsOptions) -> None:
        self._model = model
        self._clock = model.clock
        self.plans: dict[str, PlanJobs] = {}
        for plan in options.plans:
            teams = [team for team in model.teams if not plan.teams or team.name in plan.teams]
            self.plans[plan.name] = PlanJobs(plan, sorted({team.shard for team in teams}))
        self._plan_cache: dict[tuple[str, str], PlanJobs | None] = {}
        """By job class and team."""
        self._deferred_counts: dict[int, _DeferredCount] = {}
        """Of jobs in shards of other owners, by job index."""

    @property
    def is_active(self) -> bool:
        """Whether the site's level supports the notes that runs need."""
        return self._model.is_active(Behaviour.NOTES)

    # ---- the run of a job ----

    def plan_jobs(self, job: Job) -> PlanJobs | None:
        """The plan that a job belongs to; None for services, which never complete."""
        if job.is_service:
            return None
        spec = job.spec
        key = (spec.job_class, spec.team)
        if key not in self._plan_cache:
            if len(self._plan_cache) > MAX_CACHED_PLANS:
                self._plan_cache.clear()
            plans = self.plans.values()
            self._plan_cache[key] = next((each for each in plans if each.plan.has(*key)), None)
        return self._plan_cache[key]

    def plan_of(self, job: Job) -> str | None:
        """The name of a job's plan."""
        plan = self.plan_jobs(job)
        return None if plan is None else plan.plan.name

    def holding_run_name(self, job: Job) -> str:
        """The run of a job, such as 'renewal 12'; empty if it belongs to no plan."""
        plan = self.plan_jobs(job)
        return "" if plan is None else f"{plan.plan.name} {plan.run_number(job.queue_position)}"

    def phase(self, plan: PlanJobs, job: Job) -> str | None:
        """The phase of a job's run; None if that has not been opened."""
        number = plan.run_number(job.queue_position)
        if number > plan.latest or plan.record is None:
            return None
        return plan.record.phase if number == plan.latest else "closed"

    # ---- the states of members ----

    def failures(self, job: Job, task: int) -> int:
        """How often a member has failed."""
        return self._failure_note(job, task).step

    def _failure_note(self, job: Job, task: int) -> wire.StoredFailures:
        """A member's note of failures; one without failures if there is none."""
        note = job.notes.get((wire.StoredFailures, task))
        return note if isinstance(note, wire.StoredFailures) else wire.StoredFailures(task, 0)

    def member_state(self, plan: PlanJobs, job: Job, task: int) -> MemberState:
        """The state of a member of an open job, by the records."""
        attempt = job.attempts.get(task)
        if job.status[task] == FINISHED and (attempt is None or not attempt.finishing):
            return MemberState.RECKONED
        note = self._failure_note(job, task)
        # The row of an attempt that has failed stays in its page until that is written again.
        has_failed = attempt is not None and note.attempt >= attempt.number
        if attempt is not None and not has_failed:
            is_running = attempt.started_at > 0 and not attempt.inherited
            return MemberState.RUNNING if is_running else MemberState.PLACED
        if note.step >= plan.plan.attempts and self.phase(plan, job) in FIRST_ROUND:
            return MemberState.DEFERRED
        return MemberState.WAITING

    def startable(self, plan: PlanJobs, job: Job) -> int:
        """How many of a job's members wait and are not deferred.

        Of another owner's job by its records: machines were rented for members that wait for the
        second round.
        """
        if self._model.shards[job.shard].owned or not job.notes:
            return job.startable()
        if self.phase(plan, job) not in FIRST_ROUND:
            return job.waiting()
        progress = _JobProgress(job.queue_position, len(job.notes), job.finished, job.live)
        cached = self._deferred_counts.get(job.index)
        if cached is None or cached.progress != progress:
            cached = _DeferredCount(progress, self.deferred_members(plan, job))
            self._deferred_counts[job.index] = cached
        return max(0, job.waiting() - cached.members)

    def deferred_members(self, plan: PlanJobs, job: Job) -> int:
        """How many of a job's members have failed too often for the first round.

        Takes as many steps as members have failed at all.
        """
        return sum(
            isinstance(note, wire.StoredFailures)
            and note.step >= plan.plan.attempts
            and job.status[note.number] != FINISHED
            and (
                (attempt := job.attempts.get(note.number)) is None or attempt.number <= note.attempt
            )
            for note in job.notes.values()
        )

    # ---- changes of the model (JobObserver) ----

    def on_job_opened(self, job: Job) -> None:
        """A job has become known."""
        plan = self.plan_jobs(job)
        if plan is not None:
            plan.jobs.setdefault(job.shard, {})[job.index] = job
            job.attempt_counter = plan.counters.setdefault(job.shard, AttemptCounter())

    def on_job_settled(self, job: Job) -> None:
        """A job has ended, and nothing of it is on a machine any more."""
        plan = self.plan_jobs(job)
        if plan is not None:
            plan.jobs.get(job.shard, {}).pop(job.index, None)

    def on_job_ended(self, job_id: str, stored: wire.StoredMember, job: Job | None) -> None:
        """A job's final record was observed for the first time."""
        plan = self.plans.get(stored.plan) if job is None else self.plan_jobs(job)
        if plan is None:
            return
        queue_position = stored.queue_position if job is None else job.queue_position
        if plan.cuts and not plan.is_open and queue_position <= plan.cuts[-1]:
            return
        reckoned = stored.tasks
        if PHASE_NAMES[stored.state] == Phase.CANCELLED:
            # The controller that cancelled it may have observed fewer ends than this one.
            reckoned = max(stored.reckoned, 0 if job is None else job.durably_done())
        plan.ended[job_id] = EndedJob(queue_position, stored.tasks, reckoned)

    def on_attempt_ended(self, attempt: Attempt) -> None:
        """An attempt was taken from its machine: count it if it has failed."""
        job, task = attempt.job, attempt.task
        plan = self.plan_jobs(job)
        if plan is None or not self._model.shards[job.shard].owned or not self.is_active:
            return
        note = self._failure_note(job, task)
        if attempt.error and attempt.number > note.attempt and job.phase == Phase.OPEN:
            note = wire.StoredFailures(task, note.step + 1, attempt.number)
            self._add_failure(attempt, note)
        if note.step >= plan.plan.attempts and self.phase(plan, job) in FIRST_ROUND:
            job.defer(task)

    def _add_failure(self, attempt: Attempt, note: wire.StoredFailures) -> None:
        job = attempt.job
        job.add_note(note)
        write_by = self._clock.now() + MAX_NOTE_DELAY_S
        self._model.shards[job.shard].notes_deferred.setdefault(job.index, write_by)
        if 2 * len(job.avoided_machines) > len(self._model.shard_machines[job.shard]):
            # Some failures are the members' own. When the whole job avoided their machines, one
            # after the other, none were left, and a run of some thousand members did not proceed.
            job.avoided_machines = {attempt.machine.index}

    def on_job_reread(self, job: Job) -> None:
        """A job of a shard that is owned from now on was read from the records."""
        plan = self.plan_jobs(job)
        # A member deferred by a row that a later one has superseded would never be started again,
        # and another member would be missed for it.
        job.deferred_members.clear()
        if plan is None or self.phase(plan, job) not in FIRST_ROUND:
            return
        for note in job.notes.values():
            if isinstance(note, wire.StoredFailures) and note.step >= plan.plan.attempts:
                job.defer(note.number)

    def on_run_changed(self, plan: str) -> None:
        """A record of a run of the named plan was observed."""
        jobs = self.plans.get(plan)
        if jobs is None:
            return
        runs = self._model.runs[plan]
        jobs.latest = max(runs)
        jobs.record, jobs.version = runs[jobs.latest]
        jobs.cuts = [cut for number in sorted(runs) if (cut := _cut(*runs[number])) is not None]
        if not jobs.is_open and jobs.cuts:
            last_cut = jobs.cuts[-1]
            jobs.ended = {
                job_id: ended
                for job_id, ended in jobs.ended.items()
                if ended.queue_position > last_cut
            }
        for job in jobs.all_jobs():
            if job.deferred_members and self.phase(jobs, job) not in FIRST_ROUND:
                job.resume_deferred()


def _cut(record: wire.StoredRun, version: int) -> int | None:
    """The revision up to which accepted jobs are members of a run; None while it is open."""
    if record.phase == "closing":
        return version
    return record.cutoff_version if record.phase == "closed" else None
