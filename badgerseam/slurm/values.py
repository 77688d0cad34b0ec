"""Values as people type them on Slurm's commands."""

from __future__ import annotations

import re
from dataclasses import dataclass
from datetime import datetime, timedelta

from badgerseam.errors import BadgerseamError
from badgerseam.wire.users import Dependency

MAX_TASKS = 100_000
UNITS_GB = {"K": 1 / 1024**2, "M": 1 / 1024, "G": 1.0, "T": 1024.0}
UNIT_SECONDS = {"second": 1, "minute": 60, "hour": 3600, "day": 86400, "week": 604800}


class ValueFormatError(BadgerseamError, ValueError):
    """A value cannot be used; the message says what one looks like."""


def parse_memory_gb(text: str) -> float:
    """4G, 512M, 2048 (megabytes)."""
    found = re.fullmatch(r"(\d+(?:\.\d+)?)([KMGT]?)B?", text.strip(), re.IGNORECASE)
    if found is None or float(found[1]) == 0:
        raise ValueFormatError(f"{text!r} is no amount of memory such as 4G or 512M")
    return float(found[1]) * UNITS_GB[found[2].upper() or "M"]


def parse_duration_s(text: str) -> float:
    """30 (minutes), 30:00, 1:30:00, 2-12, 2-12:30, 2-12:30:00."""
    problem = ValueFormatError(f"{text!r} is no time such as 30, 30:00, 1:30:00 or 2-12:00:00")
    days, dash, rest = text.strip().partition("-")
    if not dash:
        days, rest = "0", days
    parts = rest.split(":")
    if not days.isdecimal() or not all(part.isdecimal() for part in parts) or len(parts) > 3:
        raise problem
    numbers = [int(part) for part in parts]
    if dash:
        hours, minutes, secs = [*numbers, 0, 0][:3]
    elif len(numbers) == 3:
        hours, minutes, secs = numbers
    else:
        hours, (minutes, secs) = 0, [*numbers, 0][:2]
    total = float(int(days) * 86400 + hours * 3600 + minutes * 60 + secs)
    if total <= 0:
        raise problem
    return total


@dataclass(frozen=True, slots=True)
class ArrayIndices:
    """Indices first, first + step, ... of an array, and how many run at once."""

    first: int
    step: int
    count: int
    throttle: int | None = None


def parse_array(text: str) -> ArrayIndices:
    """0-99, 1-9:2, 0,2,4 and each with %10."""
    problem = ValueFormatError(f"{text!r} is no array such as 0-99, 0-99%10 or 0-30:10")
    body, percent, limit = text.strip().partition("%")
    throttle = None
    if percent:
        if not limit.isdecimal() or int(limit) < 1:
            raise problem
        throttle = int(limit)
    found = re.fullmatch(r"(\d+)(?:-(\d+)(?::(\d+))?)?", body)
    if found is not None:
        first = int(found[1])
        last = int(found[2]) if found[2] else first
        step = int(found[3]) if found[3] else 1
        if last < first or step < 1:
            raise problem
        indices = range(first, last + 1, step)
    else:
        parts = body.split(",")
        if not all(part.isdecimal() for part in parts):
            raise problem
        listed = sorted({int(part) for part in parts})
        first = listed[0]
        step = listed[1] - first if len(listed) > 1 else 1
        indices = range(first, listed[-1] + 1, step)
        if list(indices) != listed:
            raise ValueFormatError(
                f"{text!r}: indices of one array have to be equally far apart; submit several"
            )
    if len(indices) > MAX_TASKS:
        raise ValueFormatError(f"{text!r}: an array has at most {MAX_TASKS} tasks")
    return ArrayIndices(first, step, len(indices), throttle)


def parse_begin(text: str, now: datetime) -> datetime:
    """now+2hours, 16:00, tomorrow, 2026-12-24T08:00."""
    text = text.strip()
    found = re.fullmatch(r"now(?:\+(\d+)\s*([a-z]*))?", text, re.IGNORECASE)
    if found is not None:
        unit = (found[2] or "second").lower().rstrip("s")
        matching = [name for name in UNIT_SECONDS if name.startswith(unit)]
        if not matching:
            raise ValueFormatError(
                f"{text!r}: {found[2]!r} is none of seconds, minutes, hours, days"
            )
        return now + timedelta(seconds=int(found[1] or 0) * UNIT_SECONDS[matching[0]])
    days = {"today": 0, "midnight": 1, "tomorrow": 1}
    if text.lower() in days:
        midnight = now.replace(hour=0, minute=0, second=0, microsecond=0)
        return midnight + timedelta(days=days[text.lower()]) if text.lower() != "today" else now
    if text.lower() == "noon":
        text = "12:00"
    if re.fullmatch(r"\d{1,2}:\d{2}(:\d{2})?", text):
        hour, minute, *rest = (int(part) for part in text.split(":"))
        try:
            at = now.replace(hour=hour, minute=minute, second=sum(rest), microsecond=0)
        except ValueError as error:
            raise ValueFormatError(f"{text!r} is no time of day") from error
        return at if at > now else at + timedelta(days=1)
    try:
        at = datetime.fromisoformat(text)
    except ValueError as error:
        raise ValueFormatError(
            f"{text!r} is no begin time such as now+2hours, 16:00 or 2026-12-24T08:00"
        ) from error
    return at if at.tzinfo is not None else at.replace(tzinfo=now.tzinfo)


@dataclass(frozen=True, slots=True)
class DependencyList:
    """Dependencies by job number, as typed."""

    entries: list[tuple[str, str]]
    any: bool
    singleton: bool


DEPENDENCY_KINDS = ("after", "afterany", "afterok", "afternotok")


def parse_dependencies(text: str) -> DependencyList:
    """afterok:12:13,afterany:14 (all of them), with ? instead of commas (any), singleton."""
    if "," in text and "?" in text:
        raise ValueFormatError(f"{text!r}: either commas (all) or question marks (any)")
    some = "?" in text
    entries: list[tuple[str, str]] = []
    singleton = False
    for part in re.split(r"[,?]", text):
        kind, *jobs = part.strip().split(":")
        if kind == "singleton" and not jobs:
            singleton = True
            continue
        if kind not in DEPENDENCY_KINDS:
            raise ValueFormatError(
                f"{part!r}: {kind} is not kept here; there are "
                f"{', '.join(DEPENDENCY_KINDS)}, singleton"
            )
        if not jobs:
            raise ValueFormatError(f"{part!r}: name a job, such as {kind}:1000123")
        for job in jobs:
            if "+" in job:
                raise ValueFormatError(f"{part!r}: a time after a start is not kept here")
            entries.append((kind, job.partition("_")[0]))
    if singleton and some:
        raise ValueFormatError(f"{text!r}: singleton cannot be one of several that suffice")
    return DependencyList(entries, some, singleton)


def resolve_dependencies(depends: DependencyList, ids: dict[str, str]) -> list[Dependency]:
    """The dependencies with the service's own ids."""
    return [Dependency(kind, ids[job]) for kind, job in depends.entries]  # type: ignore[arg-type]
