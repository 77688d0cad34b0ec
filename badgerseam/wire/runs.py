"""What is said about reckoning runs."""

from __future__ import annotations

import msgspec
from msgspec import Struct, field


class RunView(Struct, frozen=True, omit_defaults=True, rename="camel"):
    """A run. Times are times of day in seconds since 1970."""

    plan: str
    number: int
    phase: str
    opened: float
    closes: float
    since: float
    """When the phase began."""
    by: str
    """The controller that wrote it."""
    members: dict[str, int] = field(default_factory=dict)
    """How many stand in which way; of a closed one: reckoned, withdrawn and unresolved."""
    reasons: dict[str, int] = field(default_factory=dict)
    """Why members of a closed one are unresolved, and how many."""
    next: int = 0
    """Of the latest run: members accepted for the one after it."""


class RunList(Struct, frozen=True):
    """The latest runs of each plan, and plans that have none yet."""

    runs: list[RunView]
    without: list[str]


class MemberView(Struct, frozen=True, omit_defaults=True, rename="camel"):
    """A member, or those of a job that has ended, together."""

    member: str
    """Such as job-000412/3; of an ended job its id."""
    standing: str
    count: int = 1
    attempt: int = 0
    """The latest one."""
    machine: str | None = None
    running_s: float | None = None
    """Since it began to run, as far as that is known."""
    kept_s: float | None = None
    """Of this, what its checkpoints keep by their interval."""
    failures: int = 0


class MemberPage(Struct, frozen=True, omit_defaults=True):
    """Some of a run's members, in the order in which their jobs were accepted."""

    members: list[MemberView]
    after: str | None = None
    """To go on from; absent at the end."""


run_decoder: msgspec.json.Decoder[RunView] = msgspec.json.Decoder(RunView)
list_decoder: msgspec.json.Decoder[RunList] = msgspec.json.Decoder(RunList)
page_decoder: msgspec.json.Decoder[MemberPage] = msgspec.json.Decoder(MemberPage)
encode = msgspec.json.Encoder().encode
