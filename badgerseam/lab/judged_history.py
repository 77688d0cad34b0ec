"""What a history says so far, as the rules look at it, and the violations found in it."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection
from dataclasses import dataclass, field

import msgspec

from badgerseam.lab.history import Event
from badgerseam.settings import Team
from badgerseam.wire.cloud import MachineType
from badgerseam.wire.users import Submission


@dataclass(frozen=True, slots=True)
class RuleContext:
    """What the rules depend on beside the history."""

    teams: Collection[Team]
    cancel_s: float
    """How long tasks may run on after their job's cancellation was confirmed."""
    began_at: float = 0.0
    """Time of day at which the history begins, for begin times."""
    broken_jobs: Collection[str] = ()
    """Jobs that were submitted with a mistake, which nobody can serve."""
    machine_types: Collection[MachineType] = ()
    """Without them no job is called left waiting or invalid."""
    replica_classes: Collection[str] = ()
    """Classes whose tasks operators have bound to one another, so that the job alone does not
    tell where they fit."""


@dataclass(frozen=True, slots=True)
class RuleViolation:
    """A rule of the protocol that a history breaks."""

    t: float
    rule: str
    subject: str
    text: str

    def __str__(self) -> str:
        return f"{self.t:9.3f} s  {self.rule}: {self.subject}: {self.text}"


@dataclass(slots=True)
class JudgedJob:
    """A job as its users and the machines show it. Times are in seconds since the lab began."""

    spec: Submission
    position: int
    """In the order in which jobs were submitted."""
    is_accepted: bool = False
    is_released: bool = False
    """Its user has ended its hold."""
    acknowledged_at: float | None = None
    """When any user was first answered as of an accepted job."""
    cancel_requested_at: float | None = None
    cancelled_at: float | None = None
    """When a user was first answered that it is cancelled."""
    end_phase: str = ""
    """The end that a user was answered last; empty while it has not ended."""
    ended_at: float = 0.0
    """When a user was first answered that it is done or cancelled."""
    done_tasks: set[int] = field(default_factory=set)
    running_tasks: int = 0
    """Tasks on machines."""
    unanswered_since: float | None = None
    """Since when every poll has failed."""


@dataclass(slots=True)
class JudgedHistory:
    """The jobs and attempts of a history up to its latest event."""

    jobs: dict[str, JudgedJob] = field(default_factory=dict)
    open_jobs: dict[str, JudgedJob] = field(default_factory=dict)
    """Accepted and not ended; their users have not asked to cancel them."""
    started_jobs: set[str] = field(default_factory=set)
    task_machines: dict[str, dict[str, int]] = field(default_factory=lambda: defaultdict(dict))
    """By task: the machines that it is on, with the attempt."""
    cancel_deadlines: dict[str, float] = field(default_factory=dict)
    """Cancelled jobs with tasks on machines, by the time they have to be gone."""
    no_failure_since: float | None = 0.0
    """Since when nothing is broken on purpose; None while something is."""
    violations: list[RuleViolation] = field(default_factory=list)

    def add_violation(self, event: Event, rule: str, subject: str, text: str) -> None:
        """Note that an event breaks a rule."""
        self.violations.append(RuleViolation(event.t, rule, subject, text))

    def add_job(self, event: Event) -> None:
        """Note a submission; of a repeated one the first counts."""
        if event.spec is not None and event.job not in self.jobs:
            spec = msgspec.convert(event.spec, Submission)
            self.jobs[event.job] = JudgedJob(spec, position=len(self.jobs))

    def running_tasks(self, job: str) -> list[str]:
        """The tasks of a job that are on machines."""
        return [
            task
            for task, machines in self.task_machines.items()
            if machines and job_of(task) == job
        ]


def job_of(task: str) -> str:
    """The job that a task belongs to; a job's own name is returned as it is."""
    return task.partition("/")[0]
