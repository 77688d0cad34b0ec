"""The state that the rules derive from a history, and the violations found in it."""

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
    """The inputs of the rules other than the history."""

    teams: Collection[Team]
    cancel_s: float
    """Seconds for which tasks may keep running after a response has confirmed the cancellation."""
    began_at: float = 0.0
    """The wall-clock time at which the history starts, to compare with begin times."""
    broken_jobs: Collection[str] = ()
    """Jobs that were submitted with an error that keeps them from completing."""
    machine_types: Collection[MachineType] = ()
    """If empty, no job is reported as left waiting or counted as invalid."""
    replica_classes: Collection[str] = ()
    """Classes whose tasks the operator groups into replicas; where such a task fits cannot be
    determined from the submission alone."""


@dataclass(frozen=True, slots=True)
class RuleViolation:
    """A violation of a rule of the protocol."""

    t: float
    rule: str
    subject: str
    text: str

    def __str__(self) -> str:
        return f"{self.t:9.3f} s  {self.rule}: {self.subject}: {self.text}"


@dataclass(slots=True)
class JudgedJob:
    """A job as observed by users and on machines. Times are in seconds since the lab started."""

    spec: Submission
    position: int
    """The job's index in the order of submission."""
    is_accepted: bool = False
    is_released: bool = False
    """Whether the user has released the job from its hold."""
    acknowledged_at: float | None = None
    """When a response first treated the job as accepted."""
    cancel_requested_at: float | None = None
    cancelled_at: float | None = None
    """When a response first reported the job as cancelled."""
    end_phase: str = ""
    """The terminal phase in the latest response that contains one; empty if none does."""
    ended_at: float = 0.0
    """When a response first reported the job as done or cancelled."""
    done_tasks: set[int] = field(default_factory=set)
    running_tasks: int = 0
    """The number of tasks on machines."""
    unanswered_since: float | None = None
    """The time since which every poll has failed; None if the latest poll succeeded."""


@dataclass(slots=True)
class JudgedHistory:
    """The jobs and running tasks of a history up to its latest event."""

    jobs: dict[str, JudgedJob] = field(default_factory=dict)
    open_jobs: dict[str, JudgedJob] = field(default_factory=dict)
    """Accepted jobs that have not ended and whose cancellation has not been requested."""
    started_jobs: set[str] = field(default_factory=set)
    task_machines: dict[str, dict[str, int]] = field(default_factory=lambda: defaultdict(dict))
    """By task, the machines on which it is running, with the number of the attempt."""
    cancel_deadlines: dict[str, float] = field(default_factory=dict)
    """By cancelled job with tasks on machines, the time by which these have to stop."""
    fault_free_since: float | None = 0.0
    """The time since which no injected fault is active; None while one is."""
    violations: list[RuleViolation] = field(default_factory=list)

    def add_violation(self, event: Event, rule: str, subject: str, text: str) -> None:
        """Records that an event violates a rule."""
        self.violations.append(RuleViolation(event.t, rule, subject, text))

    def add_job(self, event: Event) -> None:
        """Records a submission, unless the job is already known."""
        if event.spec is not None and event.job not in self.jobs:
            spec = msgspec.convert(event.spec, Submission)
            self.jobs[event.job] = JudgedJob(spec, position=len(self.jobs))

    def running_tasks(self, job: str) -> list[str]:
        """Returns the tasks of a job that are on machines."""
        return [
            task
            for task, machines in self.task_machines.items()
            if machines and job_of(task) == job
        ]


def job_of(task: str) -> str:
    """Returns the job that a task belongs to; a job's own name is returned unchanged."""
    return task.partition("/")[0]
