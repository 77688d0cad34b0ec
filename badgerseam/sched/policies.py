"""Interfaces between the planner and optional components: priority classes, runs, replicas."""

from __future__ import annotations

from typing import Protocol

from badgerseam.model.job import Attempt, Job
from badgerseam.model.machine import Machine
from badgerseam.model.resources import Resources
from badgerseam.model.state import Shard
from badgerseam.sched.snapshot import Plan, Request, Snapshot


class ClassPolicy(Protocol):
    """Policy of the priority classes, present if operators have declared any."""

    def effective_class(self, job: Job) -> int:
        """Returns the number of the job's class; the most urgent class is 0."""

    def reserve_capacity(self, shard: Shard, snapshot: Snapshot, leading: bool = False) -> None:
        """Withholds capacity from lower classes before a shard is planned."""

    def on_plan(self, shard: Shard, snapshot: Snapshot, result: Plan) -> None:
        """Inspects a plan before it is applied."""

    def transfers_paused_below(self) -> int | None:
        """Returns the class below which the leader moves no machines now; None if there is no
        bound."""


class RunPolicy(Protocol):
    """Policy of the runs of plans, present if operators have declared any."""

    def hold_reason(self, job: Job) -> str | None:
        """Returns why no further tasks of the job may start now; None if they may."""

    def begin_round(self, shard: int, now: float) -> None:
        """Starts a planning round of a shard; called before `max_starts` of its jobs."""

    def max_starts(self, job: Job) -> int | None:
        """Returns how many of the job's tasks may start in this round; None for no bound."""

    def order_time(self, job: Job) -> float | None:
        """Returns the time of day that replaces the job's sort key within its rank, or None."""


class ReplicaPolicy(Protocol):
    """Policy of replicas that span machines, present if operators have declared any."""

    def requests(self, job: Job, now: float) -> list[Request]:
        """Returns the requests of the replicas of a job that has `changed_tasks`."""

    def group(self, attempt: Attempt) -> tuple[int, int]:
        """Returns job index and number of the replica to which an attempt of such a job belongs."""

    def is_protected_from_claims(self, attempt: Attempt) -> bool:
        """Whether claims must not evict the attempt, since its replica is not up and would be down
        for longer."""

    def reserved_on(self, machine: Machine) -> Resources:
        """Returns the capacity reserved on a machine for replica members that are to start
        there."""

    def carry_out(self, shard: Shard, plan: Plan) -> None:
        """Applies the plan's replica placements, and evicts replicas as a whole."""
