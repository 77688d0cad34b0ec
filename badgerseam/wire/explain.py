"""Explanations of why a job waits: responses to users, and requests between controllers."""

from __future__ import annotations

from typing import Literal

import msgspec
from msgspec import Struct, field

Code = Literal[
    "team_limit",
    "no_machine",
    "machine_type",
    "zone",
    "ordinary_only",
    "one_zone",
    "scatter",
    "shunned",
    "too_large",
    "no_room",
    "gang",
    "replica",
    "out_of_use",
    "booting",
    "renting",
    "no_capacity",
    "cloud_unreachable",
    "cloud_unknown",
    "backoff",
    "failing",
    "unsettled",
    "ended",
    "held",
    "begin_time",
    "dependency",
    "dependency_never",
    "singleton",
    "throttle",
    "reckoning_run",
    "next_plan",
    "recording",
    "victims_leaving",
    "worker_unconfirmed",
    "worker_silent",
    "launching",
    "fetching",
    "stopping",
    "no_owner",
]
"""The reasons why a task may wait; docs/explain.md describes each one and what resolves it."""

State = Literal["waiting", "recording", "launching", "fetching", "running", "stopping", "done"]


class Reason(Struct, frozen=True, omit_defaults=True, rename="camel"):
    """One reason why tasks wait."""

    code: Code
    text: str
    """The description for users."""
    binding: bool = False
    """Whether it is part of the smallest set of reasons to resolve before a task can start."""
    machines: int | None = None
    """Number of machines that it excludes, including those that other reasons exclude as well."""
    since_s: float | None = None
    """Minimum number of seconds for which it has applied without interruption, according to the
    surveys."""
    expected_s: float | None = None
    """Estimated seconds until it is resolved; the estimates are often wrong by half."""
    change: str | None = None
    """What would resolve it."""
    who: list[str] = field(default_factory=list)
    """Teams, jobs or machines that it refers to."""


class Group(Struct, frozen=True, omit_defaults=True, rename="camel"):
    """Tasks of a job that are in the same state."""

    state: State
    tasks: int
    reasons: list[Reason] = field(default_factory=list)


class Ahead(Struct, frozen=True, rename="camel"):
    """The jobs and tasks that are placed before the job."""

    jobs: int
    tasks: int
    first: list[str]


class Transition(Struct, frozen=True, rename="camel"):
    """Reasons why a job waited, and how many seconds before the response they were first and last
    observed."""

    first_s: float
    last_s: float
    codes: list[Code]


class Explanation(Struct, frozen=True, omit_defaults=True, rename="camel"):
    """Explains why a job waits, or which state its tasks are in if it does not."""

    id: str
    phase: str
    groups: list[Group] = field(default_factory=list)
    ahead: Ahead | None = None
    node: str | None = None
    """The controller that schedules the job and gave this explanation."""
    revision: int | None = None
    """Revision of the state that the explanation is based on."""
    age_s: float = 0.0
    """Age in seconds of the survey that the explanation is based on."""
    known_s: float | None = None
    """Seconds for which this controller has owned the job; it has no information from before."""
    history: list[Transition] = field(default_factory=list)

    @property
    def binding(self) -> list[Code]:
        """Returns the codes of the binding reasons."""
        return [reason.code for group in self.groups for reason in group.reasons if reason.binding]


class Question(Struct, frozen=True, rename={"shard": "share"}):
    """A controller's request to the owner of a shard to explain some of its jobs."""

    shard: int
    """`share` on the wire."""
    jobs: list[str]


class Answers(Struct, frozen=True):
    """The owner's response; jobs that it has not read yet are missing."""

    answers: list[Explanation]


class Blocked(Struct, frozen=True, rename="camel"):
    """A cloud offer that had no capacity when it was last requested."""

    type: str
    zone: str
    spot: bool
    again_s: float
    """Seconds until it is requested again."""


class CloudView(Struct, frozen=True, rename="camel"):
    """Information about the cloud that only the leader has."""

    blocked: list[Blocked]
    unreachable_s: float | None = None
    """Seconds for which the cloud has not responded; None if it responds."""
    error: str | None = None


class QueueLine(Struct, frozen=True, omit_defaults=True, rename="camel"):
    """A job in the list of all open jobs."""

    id: str
    phase: str
    team: str
    job_class: str
    priority: str
    tasks: int
    waiting: int
    running: int
    done: int
    age_s: float
    reasons: list[Code] = field(default_factory=list)
    text: str | None = None
    """The text of the first reason; None if it is not known."""
    name: str | None = None
    user: str | None = None
    types: list[str] | None = None
    zone: str | None = None
    cpus: float = 0.0
    """CPUs per task; the memory is per task as well."""
    memory_gb: float = 0.0
    estimate_s: float = 0.0
    submitted_at: float = 0.0
    begin_at: float | None = None
    first: int = 0
    step: int = 1
    array: bool = False
    comment: str | None = None


question_decoder: msgspec.json.Decoder[Question] = msgspec.json.Decoder(Question)
answers_decoder: msgspec.json.Decoder[Answers] = msgspec.json.Decoder(Answers)
why_decoder: msgspec.json.Decoder[Explanation] = msgspec.json.Decoder(Explanation)
cloud_view_decoder: msgspec.json.Decoder[CloudView] = msgspec.json.Decoder(CloudView)
line_decoder: msgspec.json.Decoder[QueueLine] = msgspec.json.Decoder(QueueLine)
encode = msgspec.json.Encoder().encode
