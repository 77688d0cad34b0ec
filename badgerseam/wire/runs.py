"""Reckoning runs, as operators get them."""

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
    """Members by state; of a closed run: reckoned, withdrawn and unresolved."""
    reasons: dict[str, int] = field(default_factory=dict)
    """Why members of a closed run are unresolved, and how many."""
    next: int = 0
    """Of the latest run: tasks accepted for the one after it."""


class RunList(Struct, frozen=True):
    """The latest runs of each plan, and plans that have none yet."""

    runs: list[RunView]
    without: list[str]


class MemberView(Struct, frozen=True, omit_defaults=True, rename="camel"):
    """A member, or all members in one state of a job that has ended."""

    member: str
    """Such as job-000412/3; of an ended job its id."""
    standing: str
    count: int = 1
    attempt: int = 0
    """The latest one."""
    machine: str | None = None
    running_s: float | None = None
    """Seconds since it began to run, as far as that is known."""
    kept_s: float | None = None
    """The part of this that its latest checkpoint has saved, by the interval of checkpoints."""
    failures: int = 0


class MemberPage(Struct, frozen=True, omit_defaults=True):
    """Some of a run's members, in the order in which their jobs were accepted."""

    members: list[MemberView]
    after: str | None = None
    """Where the next page begins; absent on the last one."""


run_decoder: msgspec.json.Decoder[RunView] = msgspec.json.Decoder(RunView)
list_decoder: msgspec.json.Decoder[RunList] = msgspec.json.Decoder(RunList)
page_decoder: msgspec.json.Decoder[MemberPage] = msgspec.json.Decoder(MemberPage)
encode = msgspec.json.Encoder().encode
