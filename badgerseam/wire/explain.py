"""Why a job waits: the answers to users, and the questions between controllers."""

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
"""What may hold a task back; docs/explain.md says of each what it means and what changes it."""

State = Literal["waiting", "recording", "launching", "fetching", "running", "stopping", "done"]


class Reason(Struct, frozen=True, omit_defaults=True, rename="camel"):
    """One thing that holds tasks back."""

    code: Code
    text: str
    """A plain statement."""
    binding: bool = False
    """One of the fewest things that have to change for a task to start."""
    machines: int | None = None
    """Machines that it rules out, whatever else rules them out too."""
    since_s: float | None = None
    """For how many seconds at least it has held without a gap, as far as surveys show it."""
    expected_s: float | None = None
    """In how many seconds it should end, by estimates that are often wrong by half."""
    change: str | None = None
    """What would change it."""
    who: list[str] = field(default_factory=list)
    """Teams, jobs or machines that it is about."""


class Group(Struct, frozen=True, omit_defaults=True, rename="camel"):
    """Tasks of a job that are alike."""

    state: State
    tasks: int
    reasons: list[Reason] = field(default_factory=list)


class Ahead(Struct, frozen=True, rename="camel"):
    """The jobs and tasks before the job in the order of the plan."""

    jobs: int
    tasks: int
    first: list[str]


class Transition(Struct, frozen=True, rename="camel"):
    """Reasons that held a job back, and when they were first and last observed (seconds before the
    answer)."""

    first_s: float
    last_s: float
    codes: list[Code]


class Explanation(Struct, frozen=True, omit_defaults=True, rename="camel"):
    """Why a job waits, or what it does instead."""

    id: str
    phase: str
    groups: list[Group] = field(default_factory=list)
    ahead: Ahead | None = None
    node: str | None = None
    """The controller that plans for it, and answers."""
    revision: int | None = None
    """Of the state that the answer was made from."""
    age_s: float = 0.0
    """How old the survey is that the answer was made from, in seconds."""
    known_s: float | None = None
    """For how many seconds this owner has acted for the job; it knows nothing from before."""
    history: list[Transition] = field(default_factory=list)

    @property
    def binding(self) -> list[Code]:
        """The codes that hold the job back, the binding ones."""
        return [reason.code for group in self.groups for reason in group.reasons if reason.binding]


class Question(Struct, frozen=True, rename={"shard": "share"}):
    """A controller asks the owner of a shard about its jobs."""

    shard: int
    """`share` on the wire."""
    jobs: list[str]


class Answers(Struct, frozen=True):
    """The owner's answers; jobs that it has not read yet are missing."""

    answers: list[Explanation]


class Blocked(Struct, frozen=True, rename="camel"):
    """An offer of the cloud that had no capacity when it was last requested."""

    type: str
    zone: str
    spot: bool
    again_s: float
    """In how many seconds it is requested again."""


class CloudView(Struct, frozen=True, rename="camel"):
    """What only the leader knows of the cloud."""

    blocked: list[Blocked]
    unreachable_s: float | None = None
    """For how many seconds the cloud has not answered; None if it does."""
    error: str | None = None


class QueueLine(Struct, frozen=True, omit_defaults=True, rename="camel"):
    """One job in the list of all open jobs."""

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
    """The first reason's text; None if it is not known."""
    name: str | None = None
    user: str | None = None
    types: list[str] | None = None
    zone: str | None = None
    cpus: float = 0.0
    """Of each task, as the memory."""
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
