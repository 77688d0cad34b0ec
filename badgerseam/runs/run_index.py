"""Indexes the plans of reckoning runs: the run of each job, the states of its members, and the
attempts of a plan's jobs.

The index is derived from changes of the model and is not stored itself. Runs and their cutoffs are
records. A member's state also follows from records: its finished bit shows that it is reckoned, its
row that it is placed or running, its note that it has failed, and its job's record that it is
cancelled. All controllers that watch the state service therefore agree, and a new owner starts with
the complete index.
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
"""How long a failure waits for another write of its page before the page is written because of
it."""
MAX_CACHED_PLANS = 10_000
"""The maximum number of pairs of job class and team whose plan is cached."""
FIRST_ROUND_PHASES = ("open", "reckoning")
"""Phases in which members that have failed too often are deferred."""


class MemberState(Enum):
    """The state of a member; the value is its name in answers to operators."""

    WAITING = "waiting"
    PLACED = "placed"
    RUNNING = "running"
    DEFERRED = "aside"
    """The member has failed too often to be tried again before all other members have ended."""
    RECKONED = "reckoned"
    """The member has finished."""
    CANCELLED = "withdrawn"


@dataclass(frozen=True, slots=True)
class EndedJob:
    """A job that has ended, of a run that is not closed yet."""

    queue_position: int
    tasks: int
    reckoned: int
    """The number of tasks that had finished; the others are cancelled."""


@dataclass(slots=True)
class PlanJobs:
    """A plan, its runs and its jobs."""

    plan: Plan
    shards: list[int]
    """The shards that may have jobs of the plan."""
    counters: dict[int, AttemptCounter] = field(default_factory=dict)
    """Counters of the attempts of its jobs, by shard."""
    jobs: dict[int, dict[int, Job]] = field(default_factory=dict)
    """The plan's jobs that are not settled, by shard and job index."""
    ended: dict[str, EndedJob] = field(default_factory=dict)
    """The plan's jobs that have ended, by job id."""
    cutoffs: list[int] = field(default_factory=list)
    """The cutoff revisions that separate the plan's runs, in ascending order: the members of a run
    are the jobs accepted after the cutoff of the run before, up to and including the run's own
    cutoff."""
    latest: int = 0
    """The number of the latest run; 0 if there is none."""
    record: wire.StoredRun | None = None
    """The record of the latest run."""
    version: int = 0
    """The version of that record."""

    @property
    def is_open(self) -> bool:
        """Whether the latest run exists and is not closed."""
        return self.record is not None and self.record.phase != "closed"

    def run_number(self, queue_position: int) -> int:
        """Returns the number of the run of a job with this queue position: the first run whose
        cutoff is not before it."""
        return bisect_left(self.cutoffs, queue_position) + 1

    def members_allowed_in(self, shard: int) -> int | None:
        """Returns how many members may be on machines at once in a shard; None if there is no
        limit.

        The plan's limit is divided evenly among its shards, since the owners of other shards start
        members concurrently, and an owner observes those only later.
        """
        limit = self.plan.most_at_once
        if limit is None or shard not in self.shards:
            return limit
        position = self.shards.index(shard)
        return limit // len(self.shards) + (position < limit % len(self.shards))

    def all_jobs(self) -> Iterator[Job]:
        """Yields the plan's open jobs, of all runs."""
        for jobs in self.jobs.values():
            for job in jobs.values():
                if job.phase == Phase.OPEN:
                    yield job

    def members(self, number: int) -> list[Job]:
        """Returns the open jobs of a run."""
        return [job for job in self.all_jobs() if self.run_number(job.queue_position) == number]


class _JobProgress(NamedTuple):
    """The values on which the number of a job's deferred members depends."""

    queue_position: int
    notes: int
    finished: int
    live: int


class _DeferredCount(NamedTuple):
    """The number of a job's deferred members, with the progress for which it was computed."""

    progress: _JobProgress
    members: int


class RunIndex:
    """The index of all plans, by name; it is a `JobObserver` of the model.

    Callers hold the model's lock.
    """

    def __init__(self, model: Model, options: RunsOptions) -> None:
        self._model = model
        self._clock = model.clock
        self.plans: dict[str, PlanJobs] = {}
        for plan in options.plans:
            teams = [team for team in model.teams if not plan.teams or team.name in plan.teams]
            self.plans[plan.name] = PlanJobs(plan, sorted({team.shard for team in teams}))
        self._plan_cache: dict[tuple[str, str], PlanJobs | None] = {}
        """The plan of a job, by job class and team."""
        self._deferred_counts: dict[int, _DeferredCount] = {}
        """Cached counts for jobs in shards of other owners, by job index."""

    @property
    def is_active(self) -> bool:
        """Whether the site's level supports the notes that runs need."""
        return self._model.is_active(Behaviour.NOTES)

    # ---- the run of a job ----

    def plan_jobs(self, job: Job) -> PlanJobs | None:
        """Returns the plan that a job belongs to; None if there is none, as for services, which
        never complete."""
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
        """Returns the name of a job's plan; None if it belongs to none."""
        plan = self.plan_jobs(job)
        return None if plan is None else plan.plan.name

    def holding_run_name(self, job: Job) -> str:
        """Returns the run of a job, such as 'renewal 12'; empty if the job belongs to no plan."""
        plan = self.plan_jobs(job)
        return "" if plan is None else f"{plan.plan.name} {plan.run_number(job.queue_position)}"

    def phase(self, plan: PlanJobs, job: Job) -> str | None:
        """Returns the phase of a job's run; None if the run has not been opened."""
        number = plan.run_number(job.queue_position)
        if number > plan.latest or plan.record is None:
            return None
        return plan.record.phase if number == plan.latest else "closed"

    # ---- the states of members ----

    def failures(self, job: Job, task: int) -> int:
        """Returns how often a member has failed."""
        return self._failure_note(job, task).step

    def _failure_note(self, job: Job, task: int) -> wire.StoredFailures:
        """Returns a member's note of its failures; a note with zero failures if none is stored."""
        note = job.notes.get((wire.StoredFailures, task))
        return note if isinstance(note, wire.StoredFailures) else wire.StoredFailures(task, 0)

    def member_state(self, plan: PlanJobs, job: Job, task: int) -> MemberState:
        """Returns the state of a member of an open job, according to the records."""
        attempt = job.attempts.get(task)
        if job.status[task] == FINISHED and (attempt is None or not attempt.finishing):
            return MemberState.RECKONED
        note = self._failure_note(job, task)
        # The row of a failed attempt stays in its page until the page is written again.
        has_failed = attempt is not None and note.attempt >= attempt.number
        if attempt is not None and not has_failed:
            is_running = attempt.started_at > 0 and not attempt.inherited
            return MemberState.RUNNING if is_running else MemberState.PLACED
        if note.step >= plan.plan.attempts and self.phase(plan, job) in FIRST_ROUND_PHASES:
            return MemberState.DEFERRED
        return MemberState.WAITING

    def startable(self, plan: PlanJobs, job: Job) -> int:
        """Returns how many of a job's members wait and are not deferred.

        For a job in another owner's shard, deferred members are subtracted according to the
        records; otherwise the leader would rent machines for members that wait for the second
        round.
        """
        if self._model.shards[job.shard].owned or not job.notes:
            return job.startable()
        if self.phase(plan, job) not in FIRST_ROUND_PHASES:
            return job.waiting()
        progress = _JobProgress(job.queue_position, len(job.notes), job.finished, job.live)
        cached = self._deferred_counts.get(job.index)
        if cached is None or cached.progress != progress:
            cached = _DeferredCount(progress, self.deferred_members(plan, job))
            self._deferred_counts[job.index] = cached
        return max(0, job.waiting() - cached.members)

    def deferred_members(self, plan: PlanJobs, job: Job) -> int:
        """Returns how many of a job's members have failed too often for the first round.

        Takes one step for each note of the job.
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
        """Adds a job that was first observed to its plan."""
        plan = self.plan_jobs(job)
        if plan is not None:
            plan.jobs.setdefault(job.shard, {})[job.index] = job
            job.attempt_counter = plan.counters.setdefault(job.shard, AttemptCounter())

    def on_job_settled(self, job: Job) -> None:
        """Removes a job that has ended and whose attempts have all left their machines."""
        plan = self.plan_jobs(job)
        if plan is not None:
            plan.jobs.get(job.shard, {}).pop(job.index, None)

    def on_job_ended(self, job_id: str, stored: wire.StoredMember, job: Job | None) -> None:
        """Records the end of a job whose final record was observed for the first time."""
        plan = self.plans.get(stored.plan) if job is None else self.plan_jobs(job)
        if plan is None:
            return
        queue_position = stored.queue_position if job is None else job.queue_position
        if plan.cutoffs and not plan.is_open and queue_position <= plan.cutoffs[-1]:
            return
        reckoned = stored.tasks
        if PHASE_NAMES[stored.state] == Phase.CANCELLED:
            # The controller that cancelled the job may have observed fewer finished members than
            # this one.
            reckoned = max(stored.reckoned, 0 if job is None else job.durably_done())
        plan.ended[job_id] = EndedJob(queue_position, stored.tasks, reckoned)

    def on_attempt_ended(self, attempt: Attempt) -> None:
        """Processes an attempt that was removed from its machine: counts it if it has failed."""
        job, task = attempt.job, attempt.task
        plan = self.plan_jobs(job)
        if plan is None or not self._model.shards[job.shard].owned or not self.is_active:
            return
        note = self._failure_note(job, task)
        if attempt.error and attempt.number > note.attempt and job.phase == Phase.OPEN:
            note = wire.StoredFailures(task, note.step + 1, attempt.number)
            self._add_failure(attempt, note)
        if note.step >= plan.plan.attempts and self.phase(plan, job) in FIRST_ROUND_PHASES:
            job.defer(task)

    def _add_failure(self, attempt: Attempt, note: wire.StoredFailures) -> None:
        job = attempt.job
        job.add_note(note)
        write_by = self._clock.now() + MAX_NOTE_DELAY_S
        self._model.shards[job.shard].notes_deferred.setdefault(job.index, write_by)
        if 2 * len(job.avoided_machines) > len(self._model.shard_machines[job.shard]):
            # Some failures are caused by the members themselves, not by their machines. If the
            # whole job avoided each machine on which a member failed, it would run out of machines;
            # this once stopped a run of some thousand members.
            job.avoided_machines = {attempt.machine.index}

    def on_job_reread(self, job: Job) -> None:
        """Updates the deferred members of a job that the new owner of its shard has read from the
        records."""
        plan = self.plan_jobs(job)
        # A member that is still deferred because of a superseded row would never be started again,
        # and would be subtracted from the startable members, so that one other member is not
        # started.
        job.deferred_members.clear()
        if plan is None or self.phase(plan, job) not in FIRST_ROUND_PHASES:
            return
        for note in job.notes.values():
            if isinstance(note, wire.StoredFailures) and note.step >= plan.plan.attempts:
                job.defer(note.number)

    def on_run_changed(self, plan: str) -> None:
        """Updates the runs of the named plan after a record of one of them was observed."""
        jobs = self.plans.get(plan)
        if jobs is None:
            return
        runs = self._model.runs[plan]
        jobs.latest = max(runs)
        jobs.record, jobs.version = runs[jobs.latest]
        jobs.cutoffs = [
            cutoff for number in sorted(runs) if (cutoff := _cutoff(*runs[number])) is not None
        ]
        if not jobs.is_open and jobs.cutoffs:
            last_cutoff = jobs.cutoffs[-1]
            jobs.ended = {
                job_id: ended
                for job_id, ended in jobs.ended.items()
                if ended.queue_position > last_cutoff
            }
        for job in jobs.all_jobs():
            if job.deferred_members and self.phase(jobs, job) not in FIRST_ROUND_PHASES:
                job.resume_deferred()


def _cutoff(record: wire.StoredRun, version: int) -> int | None:
    """Returns the revision up to which accepted jobs are members of a run; None while it is
    open."""
    if record.phase == "closing":
        return version
    return record.cutoff_version if record.phase == "closed" else None
