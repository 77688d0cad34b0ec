"""bscontrol: prints a job like `scontrol show job`, and parses updates of a job's terms."""

from __future__ import annotations

from collections.abc import Callable
from datetime import datetime
from typing import Any, NamedTuple

from badgerseam.slurm.batch_options import SubmissionError
from badgerseam.slurm.states import PHASE_STATES, REASON_NAMES
from badgerseam.slurm.values import ValueFormatError, parse_begin, parse_dependencies
from badgerseam.wire.batch import Details
from badgerseam.wire.explain import Explanation
from badgerseam.wire.users import Submission, Terms

CHANGEABLE_FIELDS = ("ArrayTaskThrottle", "StartTime", "Dependency", "Comment")

_FieldRow = list[tuple[str, object]]
"""The fields of one printed line, as names and values."""


def job_text(job: Details, why: Explanation | None) -> str:
    """Returns the fields of a job and the binding reasons why it waits, as text."""
    spec = job.spec
    rows: list[_FieldRow] = [
        _identity_row(job),
        [
            ("JobState", PHASE_STATES.get(job.phase, job.phase)),
            ("Reason", _reason_name(why)),
        ],
        [
            ("NumTasks", job.tasks),
            ("Pending", job.waiting),
            ("Running", job.running),
            ("Completed", job.done),
        ],
    ]
    if spec is not None:
        rows += _submission_rows(job, spec)
        if spec.terms is not None:
            rows += _terms_rows(spec.terms)
    lines = [" ".join(f"{key}={_format_value(value)}" for key, value in row) for row in rows]
    if why is not None:
        lines += [r.text for group in why.groups for r in group.reasons if r.binding]
    return "\n   ".join(lines)


def _identity_row(job: Details) -> _FieldRow:
    number = job.id.partition("-")[2].lstrip("0") or "0"
    row: _FieldRow = [("JobId", number), ("Id", job.id)]
    spec = job.spec
    if spec is not None:
        name = spec.terms.name if spec.terms else None
        row.append(("JobName", name or spec.job_class))
    return row


def _submission_rows(job: Details, spec: Submission) -> list[_FieldRow]:
    return [
        [("UserId", spec.terms.user if spec.terms else None), ("Account", spec.team)],
        [("QOS", spec.priority), ("Partition", ",".join(spec.types or ["any"]))],
        [
            ("CPUs/Task", f"{spec.cpus:g}"),
            ("MinMemoryGB", f"{spec.memory_gb:g}"),
            ("TimeLimit", f"{spec.estimate_s:g}s"),
        ],
        [("SubmitTime", _format_time(job.submitted_at)), ("Image", spec.image)],
    ]


def _terms_rows(terms: Terms) -> list[_FieldRow]:
    dependencies = ("?" if terms.any else ",").join(
        f"{entry.kind}:{entry.job.partition('-')[2]}" for entry in terms.depends
    )
    rows: list[_FieldRow] = [
        [
            ("StartTime", _format_time(terms.begin_at)),
            ("ArrayTaskThrottle", terms.throttle),
            ("Dependency", dependencies or None),
        ]
    ]
    if terms.comment is not None:
        rows.append([("Comment", terms.comment)])
    return rows


def _format_value(value: object) -> str:
    return "(null)" if value is None else str(value)


def _format_time(at: float | None) -> str | None:
    return None if at is None else datetime.fromtimestamp(at).strftime("%Y-%m-%dT%H:%M:%S")


def _reason_name(why: Explanation | None) -> str:
    if why is None:
        return "None"
    return next((REASON_NAMES[code] for code in why.binding if code in REASON_NAMES), "None")


class JobUpdate(NamedTuple):
    """A change of a job's terms, as given on the command line."""

    job: str
    """The job's number or id."""
    terms: dict[str, Any]
    """The terms that change, in the format of the request but with jobs still given by number."""


def parse_update(fields: list[str], now: datetime) -> JobUpdate:
    """Parses JobId=N Field=value ...; SubmissionError names the invalid field."""
    job: str | None = None
    terms: dict[str, Any] = {}
    for field in fields:
        name, equals, value = field.partition("=")
        if not equals:
            raise SubmissionError(f"{field!r}: write Field=value")
        if name.lower() in ("jobid", "job"):
            job = value
            continue
        parse = _TERMS_PARSERS.get(name.lower())
        if parse is None:
            known = ", ".join(CHANGEABLE_FIELDS)
            raise SubmissionError(f"{name}: cannot be changed; use one of {known}")
        try:
            terms |= parse(value, now)
        except ValueFormatError as error:
            raise SubmissionError(f"{name}: {error}") from error
    if job is None:
        raise SubmissionError("JobId=NUMBER is missing")
    if not terms:
        raise SubmissionError(f"nothing to change; give one of {', '.join(CHANGEABLE_FIELDS)}")
    return JobUpdate(job, terms)


def _parse_throttle(value: str, _: datetime) -> dict[str, Any]:
    if not value.isdecimal():
        raise ValueFormatError(f"{value!r} is not a number; 0 removes the throttle")
    return {"throttle": int(value) or None}


def _parse_start_time(value: str, now: datetime) -> dict[str, Any]:
    return {"beginAt": parse_begin(value, now).timestamp()}


def _parse_dependency(value: str, _: datetime) -> dict[str, Any]:
    if not value:
        return {"depends": [], "any": False}
    dependencies = parse_dependencies(value)
    if dependencies.is_singleton:
        raise ValueFormatError("singleton can only be set when a job is submitted")
    return {"depends": dependencies.entries, "any": dependencies.is_any}


def _parse_comment(value: str, _: datetime) -> dict[str, Any]:
    return {"comment": value or None}


_TERMS_PARSERS: dict[str, Callable[[str, datetime], dict[str, Any]]] = {
    "arraytaskthrottle": _parse_throttle,
    "starttime": _parse_start_time,
    "dependency": _parse_dependency,
    "comment": _parse_comment,
}
"""The parsers of field values by lower-case field name; each takes the value and the current time,
and returns the terms to change."""
