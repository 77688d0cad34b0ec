"""bscontrol: a job in Slurm's words, and changes of its terms."""

from __future__ import annotations

from datetime import datetime
from typing import Any

from badgerseam.slurm.states import PHASE_STATES, REASON_NAMES
from badgerseam.slurm.submit import SubmissionError
from badgerseam.slurm.values import ValueFormatError, parse_begin, parse_dependencies
from badgerseam.wire.batch import Details
from badgerseam.wire.explain import Why

CHANGEABLE_FIELDS = ("ArrayTaskThrottle", "StartTime", "Dependency", "Comment")


def job_text(job: Details, why: Why | None) -> str:
    """A job, field by field."""
    number = job.id.partition("-")[2].lstrip("0") or "0"
    pairs: list[list[tuple[str, object]]] = [
        [("JobId", number), ("Id", job.id)],
        [("JobState", PHASE_STATES.get(job.phase, job.phase)), ("Reason", _reason_name(job, why))],
        [
            ("NumTasks", job.tasks),
            ("Pending", job.waiting),
            ("Running", job.running),
            ("Completed", job.done),
        ],
    ]
    spec = job.spec
    if spec is not None:
        terms = spec.terms
        pairs[0].append(("JobName", terms.name if terms and terms.name else spec.job_class))
        pairs += [
            [("UserId", terms.user if terms else None), ("Account", spec.team)],
            [("QOS", spec.priority), ("Partition", ",".join(spec.types or ["any"]))],
            [
                ("CPUs/Task", f"{spec.cpus:g}"),
                ("MinMemoryGB", f"{spec.memory_gb:g}"),
                ("TimeLimit", f"{spec.estimate_s:g}s"),
            ],
            [("SubmitTime", _time_text(job.submitted_at)), ("Image", spec.image)],
        ]
        if terms is not None:
            depends = ("?" if terms.any else ",").join(
                f"{entry.kind}:{entry.job.partition('-')[2]}" for entry in terms.depends
            )
            pairs.append(
                [
                    ("StartTime", _time_text(terms.begin_at)),
                    ("ArrayTaskThrottle", terms.throttle),
                    ("Dependency", depends or None),
                ]
            )
            if terms.comment is not None:
                pairs.append([("Comment", terms.comment)])
    lines = [" ".join(f"{key}={_value_text(value)}" for key, value in row) for row in pairs]
    if why is not None:
        lines += [r.text for group in why.groups for r in group.reasons if r.binding]
    return "\n   ".join(lines)


def _value_text(value: object) -> str:
    return "(null)" if value is None else str(value)


def _time_text(at: float | None) -> str | None:
    return None if at is None else datetime.fromtimestamp(at).strftime("%Y-%m-%dT%H:%M:%S")


def _reason_name(job: Details, why: Why | None) -> str:
    if why is None:
        return "None"
    return next((REASON_NAMES[code] for code in why.binding if code in REASON_NAMES), "None")


def parse_update(fields: list[str], now: datetime) -> tuple[str, dict[str, Any]]:
    """The job and the changes in JobId=N Field=value ...; Problem names the wrong one."""
    job: str | None = None
    change: dict[str, Any] = {}
    for field in fields:
        name, equals, value = field.partition("=")
        key = name.lower()
        if not equals:
            raise SubmissionError(f"{field!r}: write Field=value")
        try:
            if key in ("jobid", "job"):
                job = value
            elif key == "arraytaskthrottle":
                if not value.isdecimal():
                    raise ValueFormatError(f"{value!r} is no number; 0 takes the throttle away")
                change["throttle"] = int(value) or None
            elif key == "starttime":
                change["beginAt"] = parse_begin(value, now).timestamp()
            elif key == "dependency":
                wanted = parse_dependencies(value) if value else None
                if wanted is not None and wanted.singleton:
                    raise ValueFormatError("singleton is set when a job is submitted")
                change["depends"] = [] if wanted is None else wanted.entries
                change["any"] = False if wanted is None else wanted.any
            elif key == "comment":
                change["comment"] = value or None
            else:
                raise SubmissionError(
                    f"{name}: cannot be changed; there are {', '.join(CHANGEABLE_FIELDS)}"
                )
        except ValueFormatError as error:
            raise SubmissionError(f"{name}: {error}") from error
    if job is None:
        raise SubmissionError("JobId=NUMBER is needed")
    if not change:
        raise SubmissionError(f"nothing to change; there are {', '.join(CHANGEABLE_FIELDS)}")
    return job, change
