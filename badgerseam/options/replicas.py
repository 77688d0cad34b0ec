"""Replicas that span machines, as operators declare them."""

from __future__ import annotations

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
"""Longest time that an option of replicas may give: a day."""


def check(options: ReplicasOptions) -> list[str]:
    """What cannot be used, each with its field and its remedy."""
    return [
        f"classes.{name}.{error}"
        for name, entry in options.classes.items()
        for error in (*_size_errors(entry), *_move_errors(entry), *_time_errors(entry))
    ]


def _size_errors(entry: ReplicaClass) -> list[str]:
    """Numbers of tasks and machines that no replica can have, or that contradict each other."""
    errors: list[str] = []
    if entry.tasks is not None and entry.tasks < 1:
        errors.append(f"tasks: {entry.tasks} tasks are no replica; give 1 or more, or null for all")
    if entry.machines_least < 1:
        errors.append(
            f"machines_least: {entry.machines_least} machines hold nothing; give 1 or more"
        )
    if entry.machines_most is not None and entry.machines_most < 1:
        errors.append(
            f"machines_most: {entry.machines_most} machines hold nothing; give 1 or more, or null "
            "for any number"
        )
    elif entry.machines_most is not None and entry.machines_least > entry.machines_most:
        errors.append(
            f"machines_least: {entry.machines_least} is above machines_most "
            f"({entry.machines_most}); lower it or raise that"
        )
    if entry.tasks is not None and 1 <= entry.tasks < entry.machines_least:
        errors.append(
            f"machines_least: {entry.machines_least} machines for {entry.tasks} tasks leave one "
            "without any; give no more than tasks"
        )
    return errors


def _move_errors(entry: ReplicaClass) -> list[str]:
    if entry.moves < 0:
        return [f"moves: {entry.moves} is below 0; give 0 to have no replica moved, or more"]
    return []


def _time_errors(entry: ReplicaClass) -> list[str]:
    """Times out of range."""
    limits = (
        ("form_s", entry.form_s, 1.0),
        ("degraded_s", entry.degraded_s, 0.0),
        ("drain_s", entry.drain_s, 0.0),
    )
    return [
        f"{field_name}: {value:g} s; give {min_s:g} to {MAX_S:g}"
        for field_name, value, min_s in limits
        if not min_s <= value <= MAX_S
    ]
