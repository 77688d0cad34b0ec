"""Determines which tasks of a job form a replica, and whether any set of machines can hold one."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from badgerseam.model.resources import Resources
from badgerseam.options.replicas import ReplicaClass, ReplicasOptions
from badgerseam.wire.cloud import MachineType
from badgerseam.wire.users import Submission


@dataclass(frozen=True, slots=True)
class ReplicaShape:
    """The replicas of a job: numbers, sizes and rules."""

    size: int
    """The number of tasks in a replica; the last replica may have more."""
    count: int
    """The number of replicas of the job."""
    total: int
    """The number of tasks of the job."""
    rules: ReplicaClass

    def number(self, task: int) -> int:
        """Returns the number of the replica that a task belongs to."""
        return min(task // self.size, self.count - 1)

    def tasks(self, number: int) -> range:
        """Returns the tasks of a replica."""
        last = number == self.count - 1
        return range(number * self.size, self.total if last else (number + 1) * self.size)


def shape_of(options: ReplicasOptions, spec: Submission) -> ReplicaShape | None:
    """Returns the shape of a job's replicas; None if its tasks are independent of one another, as
    in an array."""
    rules = options.classes.get(spec.job_class)
    if rules is None or spec.kind == "sweep":
        return None
    if rules.tasks is None or spec.kind == "group":
        return ReplicaShape(spec.tasks, 1, spec.tasks, rules)
    # A job accepted before the options defined this size may have a remainder, which belongs to the
    # last replica.
    size = min(rules.tasks, spec.tasks)
    return ReplicaShape(size, max(1, spec.tasks // size), spec.tasks, rules)


def infeasible_reason(
    options: ReplicasOptions, types: Mapping[str, MachineType], spec: Submission
) -> str | None:
    """Returns why no set of machines can ever hold the job's replicas, with the field and a remedy;
    None if one can."""
    shape = shape_of(options, spec)
    if shape is None:
        return None
    rules, size = shape.rules, shape.size
    if spec.kind != "group" and rules.tasks is not None and spec.tasks % rules.tasks:
        next_multiple = spec.tasks + rules.tasks - spec.tasks % rules.tasks
        return (
            f"pieces: {spec.tasks} is no multiple of {rules.tasks}, which make one replica of "
            f"{spec.job_class}; give {next_multiple}"
        )
    if size < rules.machines_least:
        return (
            f"pieces: a replica of {spec.job_class} spans at least {rules.machines_least} machines "
            f"and has {size} tasks; give that many"
        )
    is_in_one_zone = rules.same_zone or spec.one_zone or spec.zone is not None
    if spec.spread and is_in_one_zone and size > (spec.tasks + 1) // 2:
        return (
            f"scatter: a replica of {spec.job_class} has {size} of {spec.tasks} tasks and stays in "
            "one zone, which may hold half of them; leave scatter out, or give more pieces"
        )
    if rules.machines_most is None:
        return None
    tasks_per_machine = _max_tasks_per_machine(types, spec)
    if tasks_per_machine * rules.machines_most < size:
        tasks_needed = math.ceil(size / rules.machines_most)
        return (
            f"cpus, accelerators, memGb: a machine that the job may use holds {tasks_per_machine} "
            f"of its tasks, and {size} have to go on {rules.machines_most} machines at most; ask "
            f"for less for each task (so that {tasks_needed} fit), or allow larger breeds"
        )
    return None


def _max_tasks_per_machine(types: Mapping[str, MachineType], spec: Submission) -> int:
    """Returns how many of a job's tasks an empty machine of a permitted type can hold."""
    demand = Resources(spec.cpus, spec.gpus, spec.memory_gb)
    return max(
        (
            demand.count_in(Resources(entry.cpus, entry.gpus, entry.memory_gb))
            for name, entry in types.items()
            if (spec.types is None or name in spec.types)
            and (spec.zone is None or spec.zone in entry.zones)
        ),
        default=0,
    )
