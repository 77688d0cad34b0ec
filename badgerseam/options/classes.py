"""The `classes` section of the operators' options: priority classes."""

from __future__ import annotations

from collections.abc import Collection
from typing import Annotated

import msgspec
from msgspec import Meta, Struct, field

Name = Annotated[str, Meta(min_length=1, max_length=64)]

MAX_BYTES = 6000
"""Maximum size of all classes together, which are stored as one value in the state service."""


class ClassOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """A priority class.

    A job belongs to the class that lists its job class, otherwise to the class that lists its team,
    otherwise to the default class.
    """

    name: Annotated[Name, Meta(description="unique name of the class")]
    jobs: Annotated[
        list[Name], Meta(description="job classes that belong to it, whatever the team")
    ] = field(default_factory=list)
    teams: Annotated[list[Name], Meta(description="teams whose other jobs belong to it")] = field(
        default_factory=list
    )


class ClassesOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """Priority classes, highest first; enabled if this section is present."""

    order: Annotated[
        list[ClassOptions],
        Meta(description="the classes, highest first within a rank", max_length=32),
    ] = field(default_factory=list)
    default: Annotated[
        str, Meta(description="the class of all other jobs; empty: the last class in order")
    ] = ""
    age_s: Annotated[
        float,
        Meta(
            ge=0,
            description="a job counts as one class higher each time it has waited this long, until "
            "half of its tasks have been started; 0: never",
        ),
    ] = 120.0
    held_s: Annotated[
        float,
        Meta(
            ge=0,
            le=60,
            description="how long after a takeover capacity is reserved for jobs of higher classes "
            "that are expected from recent arrivals; 0: not at all",
        ),
    ] = 4.0


def check(options: ClassesOptions, teams: Collection[str]) -> list[str]:
    """Returns the errors in the classes, each with its field and its remedy.

    `teams` are the teams of the settings.
    """
    errors = []
    positions: dict[str, int] = {}
    class_by_job_class: dict[str, str] = {}
    class_by_team: dict[str, str] = {}
    for position, entry in enumerate(options.order):
        path = f"order[{position}]"
        if entry.name in positions:
            first = positions[entry.name]
            errors.append(
                f"{path}.name: {entry.name!r} is the name of order[{first}] already: "
                "give each class a name of its own"
            )
        positions.setdefault(entry.name, position)
        for field_name, class_by_value, values in (
            ("jobs", class_by_job_class, entry.jobs),
            ("teams", class_by_team, entry.teams),
        ):
            for value in values:
                if value in class_by_value:
                    errors.append(
                        f"{path}.{field_name}: {value!r} belongs to {class_by_value[value]!r} "
                        "already: leave it in one place"
                    )
                class_by_value.setdefault(value, entry.name)
        for team in entry.teams:
            if team not in teams:
                known = ", ".join(sorted(teams)) or "none"
                errors.append(
                    f"{path}.teams: no team {team!r} in the settings: name one of {known}"
                )
    size = len(msgspec.json.encode(options.order))
    if size > MAX_BYTES:
        errors.append(
            f"order: takes {size} bytes, {MAX_BYTES} at most: name teams instead of their classes "
            "of jobs, and leave out what the default is for"
        )
    if options.default and options.default not in positions:
        known = ", ".join(positions) or "none, since order is empty"
        errors.append(f"default: no class {options.default!r} in order: name one of {known}")
    return errors
