"""Why a job waits, as users and controllers are told."""

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
    """For how long at least it has held without a break, as far as this owner has looked."""
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
    """What waits before the job in the order of the plan."""

    jobs: int
    tasks: int
    first: list[str]


class Transition(Struct, frozen=True, rename="camel"):
    """What was seen to hold a job back, and when first and last (seconds before the answer)."""

    first_s: float
    last_s: float
    codes: list[Code]


class Why(Struct, frozen=True, omit_defaults=True, rename="camel"):
    """Why a job waits, or what it does instead."""

    id: str
    phase: str
    groups: list[Group] = field(default_factory=list)
    ahead: Ahead | None = None
    node: str | None = None
    """The controller that plans for it, and says this."""
    revision: int | None = None
    """Of the state that the answer was made from."""
    age_s: float = 0.0
    """How long ago the answer was made."""
    known_s: float | None = None
    """How long this owner has acted for the job; what was before is unknown to it."""
    history: list[Transition] = field(default_factory=list)

    @property
    def binding(self) -> list[Code]:
        """The codes that hold the job back, the binding ones."""
        return [r.code for group in self.groups for r in group.reasons if r.binding]


class Question(Struct, frozen=True, rename={"shard": "share"}):
    """A controller asks the owner of a share about its jobs."""

    shard: int
    jobs: list[str]


class Answers(Struct, frozen=True):
    """What the owner knows; jobs that it has not read yet are missing."""

    answers: list[Why]


class Blocked(Struct, frozen=True, rename="camel"):
    """Something that the cloud had none of when it was last asked."""

    type: str
    zone: str
    spot: bool
    again_s: float
    """In how long it is asked again."""


class CloudView(Struct, frozen=True, rename="camel"):
    """What only the leader knows of the cloud."""

    blocked: list[Blocked]
    unreachable_s: float | None = None
    """For how long it has not answered, if it does not."""
    error: str | None = None


class QueueLine(Struct, frozen=True, omit_defaults=True, rename="camel"):
    """An open job in the list of all."""

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
    """The first reason's statement; None if nobody could say."""
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
why_decoder: msgspec.json.Decoder[Why] = msgspec.json.Decoder(Why)
cloud_view_decoder: msgspec.json.Decoder[CloudView] = msgspec.json.Decoder(CloudView)
line_decoder: msgspec.json.Decoder[QueueLine] = msgspec.json.Decoder(QueueLine)
encode = msgspec.json.Encoder().encode
