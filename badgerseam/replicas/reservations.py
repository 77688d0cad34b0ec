"""Capacity of machines that is reserved for members of replicas which are still to be placed.

A move reserves the machines that it moves to; a degraded replica reserves what its missing members
used, on machines that stay.
"""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from badgerseam.model.job import AttemptHost, Job
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.model.resources import NOTHING, Resources


class ReplicaKey(NamedTuple):
    """A replica among those of all jobs."""

    job_index: int
    number: int


class Reservations:
    """The reservations of all replicas of owned shards.

    A plan counts reserved capacity as used (`Planner.node`), and gives it only to the replica that
    it is reserved for (`sched/gang_placement.py`). Callers hold the model's lock.
    """

    def __init__(self, model: Model) -> None:
        self._model = model
        self._tasks_by_machine: dict[int, Counter[ReplicaKey]] = {}
        """Tasks for which capacity is reserved, by machine and replica."""
        self._machines_by_replica: dict[ReplicaKey, list[int]] = {}
        self._last_machines: dict[tuple[int, int], int] = {}
        """By a job's index and a task."""

    def reserved_on(self, machine: AttemptHost) -> Resources:
        """What is reserved on a machine."""
        total = NOTHING
        for key, count in self._tasks_by_machine.get(machine.index, {}).items():
            job = self._model.jobs[key.job_index]
            if job is not None:
                total = total.plus(job.demand.times(count))
        return total

    def machines_for(self, key: ReplicaKey) -> list[int]:
        """The machines reserved for a replica, once for each task."""
        return self._machines_by_replica.get(key, [])

    def reserve(self, key: ReplicaKey, machines: list[int]) -> None:
        """Reserve capacity for one task on each of these machines, in place of what the replica
        had reserved before."""
        before = self._machines_by_replica.pop(key, [])
        if machines:
            self._machines_by_replica[key] = machines
        if before == machines:
            return
        for index in before:
            self._remove_task(index, key)
        for index in machines:
            self._tasks_by_machine.setdefault(index, Counter())[key] += 1
        for index in {*before, *machines}:
            machine = self._model.machines.get(index)
            if machine is not None:
                machine.sched_view = None

    def release(self, key: ReplicaKey) -> None:
        """Release all that a replica has reserved."""
        self.reserve(key, [])

    def _remove_task(self, index: int, key: ReplicaKey) -> None:
        tasks = self._tasks_by_machine[index]
        tasks[key] -= 1
        if tasks[key] <= 0:
            del tasks[key]
        if not tasks:
            del self._tasks_by_machine[index]

    def note_member(self, job: Job, task: int, machine: AttemptHost) -> None:
        """Record the machine that a member is on."""
        self._last_machines[job.index, task] = machine.index

    def last_machine(self, job: Job, task: int) -> Machine | None:
        """The machine that a member was last on, if it still exists."""
        return self._model.machines.get(self._last_machines.get((job.index, task), -1))

    def drop_job(self, index: int, tasks: int) -> None:
        """Forget the members of a job that this controller no longer acts for; `tasks`: how many
        it has."""
        for task in range(tasks):
            self._last_machines.pop((index, task), None)
