"""Accounting: stored summaries of jobs and attempts, and the lines that users receive."""

from __future__ import annotations

import msgspec
from msgspec import Struct, field

from badgerseam.wire.users import Submission

CAUSES = ("done", "evicted", "drained", "taken", "lost", "error", "cancelled")
"""Why attempts ended, in the order of `Usage.causes`; new causes may only be appended."""


class Usage(Struct, frozen=True, array_like=True):
    """A job's usage summary, stored with the job.

    Times of day are in seconds since 1970, amounts in the units of the submission.
    """

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
    """Number of attempts whose times are not known: those of a previous owner, and those that were
    never observed running."""
    useful_s: float = 0.0
    wasted_s: float = 0.0
    spot_s: float = 0.0
    money: float = 0.0
    causes: list[int] = field(default_factory=list)
    complete: bool = True
    """Whether the owner wrote the summary. If it ended before, attempts and times are not known."""
    eligible: float | None = None
    """When its terms allowed it to start; the time of submission if it has no terms."""


class AttemptRecord(Struct, frozen=True, array_like=True):
    """The stored record of an ended attempt. Times of day are in seconds since 1970."""

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
    """How long it ran, if it was observed from its start."""
    money: float = 0.0
    by: str | None = None
    """The job that it was evicted for."""
    cost: float | None = None
    """The cost of that eviction by the paper's equation."""


class AttemptLine(Struct, frozen=True, omit_defaults=True, rename="camel"):
    """An ended attempt in the form that users receive."""

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
    """Number of attempts in the job's summary. If there are fewer records, an owner ended before it
    wrote the others."""
    whole: bool
    """Whether the complete part of the log that may contain the records was read."""


class AccountingLine(Struct, frozen=True, omit_defaults=True, rename="camel"):
    """The summary of an ended job in the form that users receive."""

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
    """Totals of a team's jobs that ended on one day (UTC)."""

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
    """Creates a job's summary, with all counts at zero."""
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
    """Converts a stored summary to the line that users receive."""
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
    """Converts a stored record to the line that users receive."""
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
