"""Reservations of machine capacity for members of replicas that are still to be placed.

A move reserves capacity on its target machines. A degraded replica reserves the capacity that its
missing members used, on machines that can be used again.
"""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from badgerseam.model.job import AttemptHost, Job
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.model.resources import NOTHING, Resources


class ReplicaKey(NamedTuple):
    """Identifies a replica among those of all jobs."""

    job_index: int
    number: int


class Reservations:
    """The reservations of all replicas in owned shards.

    A plan counts reserved capacity as used (`Planner.node`), and assigns it only to the replica for
    which it is reserved (`sched/gang_placement.py`). Callers hold the model's lock.
    """

    def __init__(self, model: Model) -> None:
        self._model = model
        self._tasks_by_machine: dict[int, Counter[ReplicaKey]] = {}
        """The number of tasks for which capacity is reserved, by machine and replica."""
        self._machines_by_replica: dict[ReplicaKey, list[int]] = {}
        """The machines reserved for each replica, once for each task."""
        self._last_machines: dict[tuple[int, int], int] = {}
        """The machine that each member was last on, by job index and task."""

    def reserved_on(self, machine: AttemptHost) -> Resources:
        """Returns the capacity reserved on a machine."""
        total = NOTHING
        for key, count in self._tasks_by_machine.get(machine.index, {}).items():
            job = self._model.jobs[key.job_index]
            if job is not None:
                total = total.plus(job.demand.times(count))
        return total

    def machines_for(self, key: ReplicaKey) -> list[int]:
        """Returns the machines reserved for a replica, once for each task."""
        return self._machines_by_replica.get(key, [])

    def reserve(self, key: ReplicaKey, machines: list[int]) -> None:
        """Reserves capacity for one task on each of these machines; this replaces the replica's
        earlier reservation."""
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
                machine.cached_snapshot = None

    def release(self, key: ReplicaKey) -> None:
        """Releases all capacity reserved for a replica."""
        self.reserve(key, [])

    def _remove_task(self, index: int, key: ReplicaKey) -> None:
        tasks = self._tasks_by_machine[index]
        tasks[key] -= 1
        if tasks[key] <= 0:
            del tasks[key]
        if not tasks:
            del self._tasks_by_machine[index]

    def note_member(self, job: Job, task: int, machine: AttemptHost) -> None:
        """Records the machine that a member is on."""
        self._last_machines[job.index, task] = machine.index

    def last_machine(self, job: Job, task: int) -> Machine | None:
        """Returns the machine that a member was last on; None if it no longer exists or is
        unknown."""
        return self._model.machines.get(self._last_machines.get((job.index, task), -1))

    def drop_job(self, index: int, tasks: int) -> None:
        """Drops the members of a job that this controller no longer manages; `tasks`: the number of
        the job's tasks."""
        for task in range(tasks):
            self._last_machines.pop((index, task), None)
