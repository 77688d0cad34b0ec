"""Which tasks of a job make a replica, and whether any set of machines can hold one."""

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
    """Tasks of a replica."""
    count: int
    """Replicas of the job."""
    total: int
    """Tasks of the job."""
    rules: ReplicaClass

    def number(self, task: int) -> int:
        """The replica of a task."""
        return min(task // self.size, self.count - 1)

    def tasks(self, number: int) -> range:
        """The tasks of a replica."""
        last = number == self.count - 1
        return range(number * self.size, self.total if last else (number + 1) * self.size)


def shape_of(options: ReplicasOptions, spec: Submission) -> ReplicaShape | None:
    """A job's replicas; None if each of its tasks stands alone, as those of an array do."""
    rules = options.classes.get(spec.job_class)
    if rules is None or spec.kind == "sweep":
        return None
    if rules.tasks is None or spec.kind == "group":
        return ReplicaShape(spec.tasks, 1, spec.tasks, rules)
    # Accepted before the options said so: the last one takes what is left.
    size = min(rules.tasks, spec.tasks)
    return ReplicaShape(size, max(1, spec.tasks // size), spec.tasks, rules)


def infeasible_reason(
    options: ReplicasOptions, types: Mapping[str, MachineType], spec: Submission
) -> str | None:
    """Why no set of machines can ever hold the job's replicas, with field and remedy; or None."""
    shape = shape_of(options, spec)
    if shape is None:
        return None
    rules, size = shape.rules, shape.size
    if spec.kind != "group" and rules.tasks is not None and spec.tasks % rules.tasks:
        above = spec.tasks + rules.tasks - spec.tasks % rules.tasks
        return (
            f"pieces: {spec.tasks} is no multiple of {rules.tasks}, which make one replica of "
            f"{spec.job_class}; give {above}"
        )
    if size < rules.machines_least:
        return (
            f"pieces: a replica of {spec.job_class} spans at least {rules.machines_least} machines "
            f"and has {size} tasks; give that many"
        )
    zoned = rules.same_zone or spec.one_zone or spec.zone is not None
    if spec.spread and zoned and size > (spec.tasks + 1) // 2:
        return (
            f"scatter: a replica of {spec.job_class} has {size} of {spec.tasks} tasks and stays in "
            "one zone, which may hold half of them; leave scatter out, or give more pieces"
        )
    if rules.machines_most is None:
        return None
    each = _most_on_one(types, spec)
    if each * rules.machines_most < size:
        least = math.ceil(size / rules.machines_most)
        return (
            f"cpus, accelerators, memGb: a machine that the job may use holds {each} of its tasks, "
            f"and {size} have to go on {rules.machines_most} machines at most; ask for less for "
            f"each task (so that {least} fit), or allow larger breeds"
        )
    return None


def _most_on_one(types: Mapping[str, MachineType], spec: Submission) -> int:
    need = Resources(spec.cpus, spec.gpus, spec.memory_gb)
    return max(
        (
            need.count_in(Resources(entry.cpus, entry.gpus, entry.memory_gb))
            for name, entry in types.items()
            if (spec.types is None or name in spec.types)
            and (spec.zone is None or spec.zone in entry.zones)
        ),
        default=0,
    )
