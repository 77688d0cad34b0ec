"""Accounting: stored summaries of jobs and attempts, and the lines that users get of them."""

from __future__ import annotations

import msgspec
from msgspec import Struct, field

from badgerseam.wire.users import Submission

CAUSES = ("done", "evicted", "drained", "taken", "lost", "error", "cancelled")
"""Why attempts ended; the order is that of the counts, and only grows."""


class Usage(Struct, frozen=True, array_like=True):
    """Stored with the job. Times of day in seconds since 1970, amounts as in the submission."""

    team: str
    job_class: str
    priority: str
    name: str | None
    user: str | None
    cpus: float
    gpus: float
    memory_gb: float
    submitted: float
    started: float | None
    ended: float
    attempts: int = 0
    unmeasured: int = 0
    """Attempts whose times are not known: an earlier owner's, or never seen to run."""
    useful_s: float = 0.0
    wasted_s: float = 0.0
    spot_s: float = 0.0
    money: float = 0.0
    causes: list[int] = field(default_factory=list)
    complete: bool = True
    """False: its owner ended before the summary was written; attempts and times are not known."""
    eligible: float | None = None
    """When its terms let it start: its submission, if it has none."""


class AttemptRecord(Struct, frozen=True, array_like=True):
    """The stored record of an attempt that ended. Times of day in seconds since 1970."""

    job: str
    task: int
    attempt: int
    machine: str
    type: str
    zone: str
    spot: bool
    placed: float
    ended: float
    cause: str
    seconds: float | None = None
    """For how long it ran, if that was observed from its start on."""
    money: float = 0.0
    by: str | None = None
    """The job that it was evicted for."""
    cost: float | None = None
    """Of that eviction, by the paper's equation."""


class AttemptLine(Struct, frozen=True, omit_defaults=True, rename="camel"):
    """An attempt that ended, as users get it."""

    id: str
    task: int
    attempt: int
    machine: str
    type: str
    zone: str
    spot: bool
    placed_at: float
    ended_at: float
    cause: str
    seconds: float | None = None
    money: float = 0.0
    evicted_for: str | None = None
    cost: float | None = None


class AttemptsEnd(Struct, frozen=True, rename="camel"):
    """The last line of a list of attempts."""

    records: int
    attempts: int
    """As the job's summary counts them; with fewer records, an owner ended before it wrote them."""
    whole: bool
    """Whether all of the log was read that may have its records."""


class AccountingLine(Struct, frozen=True, omit_defaults=True, rename="camel"):
    """A job that has ended."""

    id: str
    state: str
    tasks: int
    team: str
    job_class: str
    priority: str
    submitted_at: float
    ended_at: float
    attempts: int
    unmeasured: int = 0
    started_at: float | None = None
    name: str | None = None
    user: str | None = None
    cpus: float = 0.0
    gpus: float = 0.0
    memory_gb: float = 0.0
    useful_s: float = 0.0
    wasted_s: float = 0.0
    spot_s: float = 0.0
    money: float = 0.0
    ends: dict[str, int] = field(default_factory=dict)
    complete: bool = True
    eligible_at: float | None = None


class DayTotal(Struct, frozen=True, rename="camel"):
    """A team's jobs that ended on a day (UTC)."""

    day: str
    team: str
    jobs: int
    cancelled: int
    attempts: int
    unmeasured: int
    useful_cpu_s: float
    wasted_cpu_s: float
    money: float


def usage_of(spec: Submission, submitted: float, started: float | None, ended: float) -> Usage:
    """A job's summary before anything is counted."""
    terms = spec.terms
    return Usage(
        spec.team,
        spec.job_class,
        spec.priority,
        None if terms is None else terms.name,
        None if terms is None else terms.user,
        spec.cpus,
        spec.gpus,
        spec.memory_gb,
        round(submitted, 3),
        None if started is None else round(started, 3),
        round(ended, 3),
    )


def accounting_line(job_id: str, state: str, tasks: int, usage: Usage) -> AccountingLine:
    """The line of a stored summary."""
    ends = {cause: count for cause, count in zip(CAUSES, usage.causes, strict=False) if count}
    return AccountingLine(
        job_id,
        state,
        tasks,
        usage.team,
        usage.job_class,
        usage.priority,
        usage.submitted,
        usage.ended,
        usage.attempts,
        usage.unmeasured,
        usage.started,
        usage.name,
        usage.user,
        usage.cpus,
        usage.gpus,
        usage.memory_gb,
        usage.useful_s,
        usage.wasted_s,
        usage.spot_s,
        usage.money,
        ends,
        usage.complete,
        usage.eligible,
    )


def attempt_line(record: AttemptRecord) -> AttemptLine:
    """The line of a stored record."""
    return AttemptLine(
        record.job,
        record.task,
        record.attempt,
        record.machine,
        record.type,
        record.zone,
        record.spot,
        record.placed,
        record.ended,
        record.cause,
        record.seconds,
        record.money,
        record.by,
        record.cost,
    )


attempt_decoder: msgspec.json.Decoder[AttemptLine] = msgspec.json.Decoder(AttemptLine)
attempts_end_decoder: msgspec.json.Decoder[AttemptsEnd] = msgspec.json.Decoder(AttemptsEnd)
line_decoder: msgspec.json.Decoder[AccountingLine] = msgspec.json.Decoder(AccountingLine)
totals_decoder: msgspec.json.Decoder[list[DayTotal]] = msgspec.json.Decoder(list[DayTotal])
encode = msgspec.json.Encoder().encode
