"""The `replicas` section of the operators' options: replicas that span several machines."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct, field


class ReplicaClass(Struct, frozen=True, forbid_unknown_fields=True):
    """How the jobs of one job class are divided into replicas."""

    tasks: Annotated[
        int | None,
        Meta(
            description="number of consecutive tasks that form one replica of a standing job; "
            "null: all tasks of the job. A job of shape group is always one replica"
        ),
    ] = None
    machines_least: Annotated[int, Meta(description="minimum number of machines of a replica")] = 1
    machines_most: Annotated[
        int | None, Meta(description="maximum number of machines of a replica; null: no limit")
    ] = None
    same_zone: Annotated[
        bool,
        Meta(
            description="all machines of a replica are in one zone; if false, a network partition "
            "between zones takes it down"
        ),
    ] = True
    same_type: Annotated[bool, Meta(description="all machines of a replica are of one type")] = (
        False
    )
    form_s: Annotated[
        float,
        Meta(
            description="seconds within which a replica must be running once machines are reserved "
            "for it; after that all of them are released, and it waits again"
        ),
    ] = 180.0
    degraded_s: Annotated[
        float,
        Meta(
            description="seconds for which a replica may lack members that cannot be placed, "
            "before the other members are stopped and the replica is restarted"
        ),
    ] = 60.0
    moves: Annotated[
        int,
        Meta(description="maximum number of replicas of a job that are down for moves at a time"),
    ] = 1
    drain_s: Annotated[
        float,
        Meta(
            description="seconds for which a machine that is drained without a reclaim notice "
            "waits until a replica can be moved as a whole, before its members are stopped"
        ),
    ] = 20.0


class ReplicasOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """Replicas that span several machines; enabled if this section is present."""

    classes: Annotated[
        dict[str, ReplicaClass],
        Meta(description="by job class; in other job classes each task is a replica"),
    ] = field(default_factory=dict)


MAX_S = 86_400.0
"""Maximum of the times in this section, in seconds: one day."""


def check(options: ReplicasOptions) -> list[str]:
    """Returns the errors in the section, each with its field and its remedy."""
    return [
        f"classes.{name}.{error}"
        for name, entry in options.classes.items()
        for error in (*_size_errors(entry), *_move_errors(entry), *_time_errors(entry))
    ]


def _size_errors(entry: ReplicaClass) -> list[str]:
    """Returns errors for impossible or contradictory numbers of tasks and machines."""
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
    """Returns errors for times that are out of range."""
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
