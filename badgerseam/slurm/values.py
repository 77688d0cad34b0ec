"""Parsers of the option values of Slurm's commands, in the formats of Slurm's manuals."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import NamedTuple

from badgerseam.errors import BadgerseamError
from badgerseam.wire.users import Dependency

MAX_TASKS = 100_000
"""Maximum number of tasks of an array."""
UNITS_GB = {"K": 1 / 1024**2, "M": 1 / 1024, "G": 1.0, "T": 1024.0}
UNIT_SECONDS = {"second": 1, "minute": 60, "hour": 3600, "day": 86400, "week": 604800}


class ValueFormatError(BadgerseamError, ValueError):
    """An option's value has the wrong format; the message shows a valid value."""


def parse_memory_gb(text: str) -> float:
    """Parses an amount such as 4G, 512M or 2048 (megabytes) into gigabytes."""
    match = re.fullmatch(r"(\d+(?:\.\d+)?)([KMGT]?)B?", text.strip(), re.IGNORECASE)
    if match is None or float(match[1]) == 0:
        raise ValueFormatError(f"{text!r} is not an amount of memory such as 4G or 512M")
    return float(match[1]) * UNITS_GB[match[2].upper() or "M"]


def parse_duration_s(text: str) -> float:
    """Parses 30 (minutes), 30:00, 1:30:00, 2-12, 2-12:30 or 2-12:30:00 into seconds."""
    error = ValueFormatError(f"{text!r} is not a duration such as 30, 30:00, 1:30:00 or 2-12:00:00")
    days, dash, clock = text.strip().partition("-")
    if not dash:
        days, clock = "0", days
    parts = clock.split(":")
    if not days.isdecimal() or not all(part.isdecimal() for part in parts) or len(parts) > 3:
        raise error
    numbers = [int(part) for part in parts]
    if dash:
        hours, minutes, seconds = [*numbers, 0, 0][:3]
    elif len(numbers) == 3:
        hours, minutes, seconds = numbers
    else:
        hours, (minutes, seconds) = 0, [*numbers, 0][:2]
    total = float(int(days) * 86400 + hours * 3600 + minutes * 60 + seconds)
    if total <= 0:
        raise error
    return total


@dataclass(frozen=True, slots=True)
class ArrayIndices:
    """The indices first, first + step, ... of a job array."""

    first: int
    step: int
    count: int
    throttle: int | None = None
    """Maximum number of tasks that run at the same time; None: no limit."""


def parse_array(text: str) -> ArrayIndices:
    """Parses indices such as 0-99, 1-9:2 or 0,2,4, with or without a throttle such as %10."""
    body, percent, limit = text.strip().partition("%")
    throttle = None
    if percent:
        if not limit.isdecimal() or int(limit) < 1:
            raise _array_error(text)
        throttle = int(limit)
    indices = _array_range(text, body)
    if len(indices) > MAX_TASKS:
        raise ValueFormatError(f"{text!r}: an array has at most {MAX_TASKS} tasks")
    return ArrayIndices(indices.start, indices.step, len(indices), throttle)


def _array_range(text: str, body: str) -> range:
    """Returns the indices of an array; `text` is the whole value, `body` the part before the
    throttle."""
    match = re.fullmatch(r"(\d+)(?:-(\d+)(?::(\d+))?)?", body)
    if match is not None:
        first = int(match[1])
        last = int(match[2]) if match[2] else first
        step = int(match[3]) if match[3] else 1
        if last < first or step < 1:
            raise _array_error(text)
        return range(first, last + 1, step)
    parts = body.split(",")
    if not all(part.isdecimal() for part in parts):
        raise _array_error(text)
    listed = sorted({int(part) for part in parts})
    step = listed[1] - listed[0] if len(listed) > 1 else 1
    indices = range(listed[0], listed[-1] + 1, step)
    if list(indices) != listed:
        raise ValueFormatError(
            f"{text!r}: the indices of an array must be evenly spaced; submit several arrays"
        )
    return indices


def _array_error(text: str) -> ValueFormatError:
    return ValueFormatError(f"{text!r} is not an array such as 0-99, 0-99%10 or 0-30:10")


def parse_begin(text: str, now: datetime) -> datetime:
    """Parses a time such as now+2hours, 16:00, tomorrow or 2026-12-24T08:00.

    A time of day is the next such time after `now`; a time without a time zone is in that of `now`.
    """
    text = text.strip()
    match = re.fullmatch(r"now(?:\+(\d+)\s*([a-z]*))?", text, re.IGNORECASE)
    if match is not None:
        return now + _offset(text, match[1], match[2])
    day = text.lower()
    if day == "today":
        return now
    if day in ("midnight", "tomorrow"):
        return now.replace(hour=0, minute=0, second=0, microsecond=0) + timedelta(days=1)
    if day == "noon":
        text = "12:00"
    if re.fullmatch(r"\d{1,2}:\d{2}(:\d{2})?", text):
        return _next_time_of_day(text, now)
    try:
        time = datetime.fromisoformat(text)
    except ValueError as error:
        raise ValueFormatError(
            f"{text!r} is not a time such as now+2hours, 16:00 or 2026-12-24T08:00"
        ) from error
    return time if time.tzinfo is not None else time.replace(tzinfo=now.tzinfo)


def _offset(text: str, count: str | None, unit: str | None) -> timedelta:
    """Returns the offset from now; units may be abbreviated, and default to seconds."""
    singular = (unit or "second").lower().rstrip("s")
    matching = [name for name in UNIT_SECONDS if name.startswith(singular)]
    if not matching:
        raise ValueFormatError(f"{text!r}: {unit!r} is not one of seconds, minutes, hours, days")
    return timedelta(seconds=int(count or 0) * UNIT_SECONDS[matching[0]])


def _next_time_of_day(text: str, now: datetime) -> datetime:
    hour, minute, *seconds = (int(part) for part in text.split(":"))
    try:
        today = now.replace(hour=hour, minute=minute, second=sum(seconds), microsecond=0)
    except ValueError as error:
        raise ValueFormatError(f"{text!r} is not a time of day") from error
    return today if today > now else today + timedelta(days=1)


class DependencyEntry(NamedTuple):
    """One dependency, as given on the command line."""

    kind: str
    job: str
    """The job's number or id."""


@dataclass(frozen=True, slots=True)
class DependencyList:
    """The dependencies of a job, as given on the command line."""

    entries: list[DependencyEntry]
    is_any: bool
    """Whether one satisfied dependency is enough; otherwise all must be satisfied."""
    is_singleton: bool
    """Whether the job also waits for earlier jobs with the same name and user."""


DEPENDENCY_KINDS = ("after", "afterany", "afterok", "afternotok")


def parse_dependencies(text: str) -> DependencyList:
    """Parses afterok:12:13,after:14 (all), afterok:12?afterok:13 (any) or singleton."""
    if "," in text and "?" in text:
        raise ValueFormatError(f"{text!r}: use either commas (all) or question marks (any)")
    is_any = "?" in text
    entries: list[DependencyEntry] = []
    is_singleton = False
    for part in re.split(r"[,?]", text):
        if part.strip() == "singleton":
            is_singleton = True
        else:
            entries += _dependency_entries(part)
    if is_singleton and is_any:
        raise ValueFormatError(f"{text!r}: singleton cannot be combined with question marks (any)")
    return DependencyList(entries, is_any, is_singleton)


def _dependency_entries(part: str) -> list[DependencyEntry]:
    """Returns the entries of a part such as afterok:12:13."""
    kind, *jobs = part.strip().split(":")
    if kind not in DEPENDENCY_KINDS:
        known = ", ".join(DEPENDENCY_KINDS)
        raise ValueFormatError(f"{part!r}: {kind} is not supported; use {known} or singleton")
    if not jobs:
        raise ValueFormatError(f"{part!r}: give a job, such as {kind}:1000123")
    if any("+" in job for job in jobs):
        raise ValueFormatError(f"{part!r}: a delay after a start is not supported")
    # A task such as 1000123_4 stands for its whole array.
    return [DependencyEntry(kind, job.partition("_")[0]) for job in jobs]


def resolve_dependencies(dependencies: DependencyList, ids: Mapping[str, str]) -> list[Dependency]:
    """Returns the dependencies with job ids; `ids` maps jobs as given on the command line."""
    return [
        Dependency(entry.kind, ids[entry.job])  # type: ignore[arg-type]
        for entry in dependencies.entries
    ]
