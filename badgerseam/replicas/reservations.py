"""Room that is kept on machines for members that are to come: what a move has reserved, and what
members left on machines that go on."""

from __future__ import annotations

from collections import Counter

from badgerseam.model.job import AttemptHost, Job
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.model.resources import NOTHING, Resources

ReplicaKey = tuple[int, int]
"""A job's index and a replica's number."""


class Reservations:
    """A plan sees the kept room as taken (`Planner.node`), and gives it back to the replica alone
    that it is kept for (`sched/gang_placement.py`)."""

    def __init__(self, model: Model) -> None:
        self._model = model
        self._held: dict[int, Counter[ReplicaKey]] = {}
        """Tasks for which room is kept, by machine and replica."""
        self._kept: dict[ReplicaKey, list[int]] = {}
        self._left: dict[tuple[int, int], int] = {}

    def reserved_on(self, machine: AttemptHost) -> Resources:
        """What is kept on a machine."""
        total = NOTHING
        for (index, _), count in self._held.get(machine.index, {}).items():
            job = self._model.jobs[index]
            if job is not None:
                total = total.plus(job.demand.times(count))
        return total

    def machines_for(self, key: ReplicaKey) -> list[int]:
        """The machines with room for a replica, once for each task."""
        return self._kept.get(key, [])

    def reserve(self, key: ReplicaKey, machines: list[int]) -> None:
        """Keep room for a task on each of these machines, and none that was kept before."""
        before = self._kept.pop(key, [])
        if machines:
            self._kept[key] = machines
        if before == machines:
            return
        for index in before:
            held = self._held[index]
            held[key] -= 1
            if held[key] <= 0:
                del held[key]
            if not held:
                del self._held[index]
        for index in machines:
            self._held.setdefault(index, Counter())[key] += 1
        for index in {*before, *machines}:
            machine = self._model.machines.get(index)
            if machine is not None:
                machine.sched_view = None

    def note_member(self, job: Job, task: int, machine: AttemptHost) -> None:
        """A member is on a machine."""
        self._left[job.index, task] = machine.index

    def last_machine(self, job: Job, task: int) -> Machine | None:
        """The machine that a member was last seen on, if it is still there."""
        return self._model.machines.get(self._left.get((job.index, task), -1))

    def drop_job(self, index: int, tasks: int) -> None:
        """A job that is not acted for any more; `tasks`: how many it has."""
        for task in range(tasks):
            self._left.pop((index, task), None)
