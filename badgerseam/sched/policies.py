"""What the planner asks of the optional parts: priority classes, runs of plans, replicas."""

from __future__ import annotations

from typing import Protocol

from badgerseam.model.job import Attempt, Job
from badgerseam.model.machine import Machine
from badgerseam.model.resources import Resources
from badgerseam.model.state import Shard
from badgerseam.sched.snapshot import Plan, Request, Snapshot


class ClassPolicy(Protocol):
    """Priority classes, if operators have declared any."""

    def effective_class(self, job: Job) -> int:
        """The job's class; the first one is 0."""

    def reserve_capacity(self, shard: Shard, snapshot: Snapshot, leading: bool = False) -> None:
        """Reserve capacity from lower classes before a shard is planned for."""

    def on_plan(self, shard: Shard, snapshot: Snapshot, result: Plan) -> None:
        """Called before a plan is carried out."""

    def cautious_below(self) -> int | None:
        """The class below which the leader moves no machines now; None if it does for all."""


class RunPolicy(Protocol):
    """Runs of plans, if operators have declared any."""

    def hold_reason(self, job: Job) -> str | None:
        """Why no more of the job's tasks start now; None if they may."""

    def begin_round(self, shard: int, now: float) -> None:
        """Called before `max_starts` is asked for the jobs of a shard."""

    def max_starts(self, job: Job) -> int | None:
        """How many of the job's tasks may start in this round; None: as many as wait."""

    def order_time(self, job: Job) -> float | None:
        """Replaces the time of day by which jobs of a rank are ordered, if a plan states one."""


class ReplicaPolicy(Protocol):
    """Replicas that span machines, if operators have declared any."""

    def requests(self, job: Job, now: float) -> list[Request]:
        """What the replicas of a job with `changed_tasks` need now."""

    def group(self, attempt: Attempt) -> tuple[int, int]:
        """The job and number of the replica to which an attempt of such a job belongs."""

    def is_protected_from_claims(self, attempt: Attempt) -> bool:
        """Whether claims must not evict it, since its replica is not up as it is."""

    def reserved_on(self, machine: Machine) -> Resources:
        """Capacity reserved on a machine for members that are to start there."""

    def carry_out(self, shard: Shard, plan: Plan) -> None:
        """Place the replicas that the plan has placed, and evict replicas as a whole."""
