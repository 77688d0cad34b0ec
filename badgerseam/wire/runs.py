"""Reckoning runs in the form that operators receive."""

from __future__ import annotations

import msgspec
from msgspec import Struct, field


class RunView(Struct, frozen=True, omit_defaults=True, rename="camel"):
    """A run of a plan. Times of day are in seconds since 1970."""

    plan: str
    number: int
    phase: str
    opened: float
    closes: float
    since: float
    """When the current phase began."""
    by: str
    """The controller that wrote the run's record."""
    members: dict[str, int] = field(default_factory=dict)
    """Number of members by state; for a closed run: reckoned, withdrawn and unresolved."""
    reasons: dict[str, int] = field(default_factory=dict)
    """Number of unresolved members of a closed run, by reason."""
    next: int = 0
    """For the latest run: number of tasks accepted for the run after it."""


class RunList(Struct, frozen=True):
    """The latest runs of each plan, and the plans without any runs yet."""

    runs: list[RunView]
    without: list[str]


class MemberView(Struct, frozen=True, omit_defaults=True, rename="camel"):
    """A member of a run, or all members of an ended job that are in the same state."""

    member: str
    """The member's name, such as `job-000412/3`; for an ended job, the job's id."""
    standing: str
    count: int = 1
    attempt: int = 0
    """The number of the latest attempt."""
    machine: str | None = None
    running_s: float | None = None
    """Seconds since it started to run; None if not known."""
    kept_s: float | None = None
    """The part of `running_s` that the latest checkpoint saved, estimated from the interval between
    checkpoints."""
    failures: int = 0


class MemberPage(Struct, frozen=True, omit_defaults=True):
    """A page of a run's members, in the order in which their jobs were accepted."""

    members: list[MemberView]
    after: str | None = None
    """Where the next page begins; absent on the last page."""


run_decoder: msgspec.json.Decoder[RunView] = msgspec.json.Decoder(RunView)
list_decoder: msgspec.json.Decoder[RunList] = msgspec.json.Decoder(RunList)
page_decoder: msgspec.json.Decoder[MemberPage] = msgspec.json.Decoder(MemberPage)
encode = msgspec.json.Encoder().encode
