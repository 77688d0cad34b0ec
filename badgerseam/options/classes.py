"""Priority classes, as operators declare them."""

from __future__ import annotations

from collections.abc import Collection
from typing import Annotated

import msgspec
from msgspec import Meta, Struct, field

Name = Annotated[str, Meta(min_length=1, max_length=64)]


MAX_BYTES = 6000
"""Of all names together: the classes of a site are one value of the state service."""


class ClassOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """A priority class. A job belongs to the class that names its class of jobs, else to the one
    that names its team, else to the default."""

    name: Annotated[Name, Meta(description="what people call it; each name once")]
    jobs: Annotated[
        list[Name], Meta(description="classes of jobs that belong to it, whatever their team")
    ] = field(default_factory=list)
    teams: Annotated[list[Name], Meta(description="teams whose other jobs belong to it")] = field(
        default_factory=list
    )


class ClassesOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """Priority classes, the first one first, kept if this section is there."""

    order: Annotated[
        list[ClassOptions],
        Meta(description="the classes, the first one goes first within a rank", max_length=32),
    ] = field(default_factory=list)
    default: Annotated[
        str, Meta(description="the class of all that no class names; empty: the last one")
    ] = ""
    age_s: Annotated[
        float,
        Meta(
            ge=0,
            description="a job counts as one class higher for each of these times that it has "
            "waited, until half of its tasks have been started; 0: never",
        ),
    ] = 120.0
    held_s: Annotated[
        float,
        Meta(
            ge=0,
            le=60,
            description="how long after a takeover room is kept from lower classes for what the "
            "higher ones' recent arrivals say is coming; 0: not at all",
        ),
    ] = 4.0


def check(options: ClassesOptions, teams: Collection[str]) -> list[str]:
    """What cannot be used, each with its field and its remedy; `teams`: those of the settings."""
    found = []
    named: dict[str, int] = {}
    jobs: dict[str, str] = {}
    owners: dict[str, str] = {}
    for position, entry in enumerate(options.order):
        where = f"order[{position}]"
        if entry.name in named:
            found.append(
                f"{where}.name: {entry.name!r} is the name of order[{named[entry.name]}] already: "
                "give each class a name of its own"
            )
        named.setdefault(entry.name, position)
        for kind, seen, values in (("jobs", jobs, entry.jobs), ("teams", owners, entry.teams)):
            for value in values:
                if value in seen:
                    found.append(
                        f"{where}.{kind}: {value!r} belongs to {seen[value]!r} already: "
                        "leave it in one place"
                    )
                seen.setdefault(value, entry.name)
        for team in entry.teams:
            if team not in teams:
                known = ", ".join(sorted(teams)) or "none"
                found.append(
                    f"{where}.teams: no team {team!r} in the settings: name one of {known}"
                )
    size = len(msgspec.json.encode(options.order))
    if size > MAX_BYTES:
        found.append(
            f"order: takes {size} bytes, {MAX_BYTES} at most: name teams instead of their classes "
            "of jobs, and leave out what the default is for"
        )
    if options.default and options.default not in named:
        known = ", ".join(named) or "none, since order is empty"
        found.append(f"default: no class {options.default!r} in order: name one of {known}")
    return found
