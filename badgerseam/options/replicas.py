"""Replicas that span machines, as operators declare them."""

from __future__ import annotations

from collections.abc import Collection
from typing import Annotated

from msgspec import Meta, Struct, field


class ReplicaClass(Struct, frozen=True, forbid_unknown_fields=True):
    """What makes a replica of the jobs of one class."""

    tasks: Annotated[
        int | None,
        Meta(
            description="tasks with consecutive numbers that make one replica of a standing job; "
            "null: all of a job's. A job of shape group is one replica in any case"
        ),
    ] = None
    machines_least: Annotated[int, Meta(description="machines that a replica spans at least")] = 1
    machines_most: Annotated[
        int | None, Meta(description="machines that a replica spans at most; null: any number")
    ] = None
    same_zone: Annotated[
        bool,
        Meta(
            description="all of a replica's machines are in one zone; if not, a cut between zones "
            "takes it down"
        ),
    ] = True
    same_type: Annotated[bool, Meta(description="all of a replica's machines are of one type")] = (
        False
    )
    form_s: Annotated[
        float,
        Meta(
            description="seconds in which a replica that has its room must be up; after that all "
            "of its room is returned, and it waits for room anew"
        ),
    ] = 180.0
    degraded_s: Annotated[
        float,
        Meta(
            description="seconds for which a replica may lack members without room for them, "
            "before the others are stopped and it is started anew"
        ),
    ] = 60.0
    moves: Annotated[
        int, Meta(description="replicas of a job that may be down for moves at once")
    ] = 1
    drain_s: Annotated[
        float,
        Meta(
            description="seconds for which a machine that is drained without a notice waits for "
            "whole room for a replica's move, before its members are stopped"
        ),
    ] = 20.0


class ReplicasOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """Replicas that span machines, kept if this section is there."""

    classes: Annotated[
        dict[str, ReplicaClass],
        Meta(description="by job class; a job of any other is as many replicas as it has tasks"),
    ] = field(default_factory=dict)


MAX_S = 86_400.0


def check(options: ReplicasOptions, teams: Collection[str]) -> list[str]:
    """What cannot be used, each with its field and its remedy; `teams`: those of the settings."""
    found: list[str] = []
    for name, entry in options.classes.items():

        def bad(field_name: str, text: str, name: str = name) -> None:
            found.append(f"classes.{name}.{field_name}: {text}")

        if entry.tasks is not None and entry.tasks < 1:
            bad("tasks", f"{entry.tasks} tasks are no replica; give 1 or more, or null for all")
        if entry.machines_least < 1:
            bad("machines_least", f"{entry.machines_least} machines hold nothing; give 1 or more")
        if entry.machines_most is not None and entry.machines_most < 1:
            bad(
                "machines_most",
                f"{entry.machines_most} machines hold nothing; give 1 or more, or null for any "
                "number",
            )
        elif entry.machines_most is not None and entry.machines_least > entry.machines_most:
            bad(
                "machines_least",
                f"{entry.machines_least} is above machines_most ({entry.machines_most}); lower it "
                "or raise that",
            )
        if entry.tasks is not None and 1 <= entry.tasks < entry.machines_least:
            bad(
                "machines_least",
                f"{entry.machines_least} machines for {entry.tasks} tasks leave one without any; "
                "give no more than tasks",
            )
        if entry.moves < 0:
            bad("moves", f"{entry.moves} is below 0; give 0 to have no replica moved, or more")
        for field_name, value, least in (
            ("form_s", entry.form_s, 1.0),
            ("degraded_s", entry.degraded_s, 0.0),
            ("drain_s", entry.drain_s, 0.0),
        ):
            if not least <= value <= MAX_S:
                bad(field_name, f"{value:g} s; give {least:g} to {MAX_S:g}")
    return found
