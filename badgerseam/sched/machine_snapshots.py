"""Builds machine snapshots for the scheduler, and decides which machines are usable."""

from __future__ import annotations

import math
from collections.abc import Mapping

from badgerseam.model.job import HIGH_RANK, Attempt, Stage
from badgerseam.model.machine import Machine
from badgerseam.sched.policies import ReplicaPolicy
from badgerseam.sched.snapshot import MachineSnapshot, RunningTask, slots_of
from badgerseam.wire.cloud import MachineType

MAX_PUSH_FAILURES = 3
"""Failed attempts to send commands after which a machine counts as unreachable."""
MAX_MISSED_HEARTBEATS = 3
"""Missed heartbeats after which a machine counts as unresponsive."""
HEARTBEAT_DELAY_S = 0.5
"""Seconds by which a heartbeat may be late."""
DEFAULT_FETCH_GB_PER_S = 1.0
"""Image fetch rate of machine types that the cloud no longer offers."""


def unusable_reason(machine: Machine, now: float, heartbeat_interval_s: float) -> str | None:
    """Returns why no tasks may be placed on a machine now; None if they may."""
    if machine.dropped:
        return "released"
    if machine.lost:
        return "lost"
    if machine.incarnation == 0:
        return "not_heard"
    if machine.draining:
        return "draining"
    if machine.is_probably_unreachable:
        return "deaf"
    max_gap_s = MAX_MISSED_HEARTBEATS * heartbeat_interval_s + HEARTBEAT_DELAY_S
    if machine.incarnation_without_heartbeats or now - machine.last_heartbeat_at >= max_gap_s:
        return "silent"
    if machine.push_failures >= MAX_PUSH_FAILURES:
        return "unreachable"
    if machine.total.cpus <= 0:
        return "unknown_type"
    return None


def build_machine_snapshot(
    machine: Machine, types: Mapping[str, MachineType], replicas: ReplicaPolicy | None
) -> MachineSnapshot:
    """Returns a snapshot of a machine with all tasks on it except those about to end."""
    machine_type = types.get(machine.type)
    high_slots = low_slots = 0.0
    running: list[RunningTask] = []
    used = machine.untracked_use
    for key, attempt in machine.attempts.items():
        if attempt.finishing or attempt.stopping:
            continue
        job = attempt.job
        used = used.plus(job.demand)
        if job.rank >= HIGH_RANK:
            high_slots += slots_of(job.demand)
        else:
            low_slots += slots_of(job.demand)
        running.append(_running_task(key, attempt, replicas))
    if replicas is not None:
        used = used.plus(replicas.reserved_on(machine))
    return MachineSnapshot(
        index=machine.index,
        type=machine.type,
        zone=machine.zone,
        spot=machine.spot,
        total=machine.total,
        free=machine.total.minus(used),
        high_slots=high_slots,
        low_slots=low_slots,
        evictions=len(machine.evictions),
        images=machine.images,
        running=running,
        fetch_gb_per_s=(
            DEFAULT_FETCH_GB_PER_S if machine_type is None else machine_type.fetch_gb_per_s
        ),
    )


def _running_task(
    key: tuple[int, int], attempt: Attempt, replicas: ReplicaPolicy | None
) -> RunningTask:
    job = attempt.job
    task = RunningTask(
        key=key,
        demand=job.demand,
        rank=job.rank,
        team=job.team,
        running_since=attempt.started_at if attempt.stage >= Stage.RUNNING else None,
        checkpoint_s=job.spec.checkpoint_s,
        is_evictable=attempt.stage >= Stage.FETCHING and attempt.stage != Stage.CHECKPOINTING,
        high=job.rank >= HIGH_RANK,
        ends_at=estimated_end(attempt),
        is_service=job.is_service,
        placed_at=attempt.planned_at,
    )
    if job.changed_tasks is not None and replicas is not None:
        task.group = replicas.group(attempt)
        task.high = task.high or replicas.is_protected_from_claims(attempt)
    return task


def estimated_end(attempt: Attempt) -> float:
    """Returns when a task should end by its team's estimate; infinity for a service."""
    if attempt.job.is_service:
        return math.inf
    return (attempt.started_at or attempt.planned_at) + attempt.job.spec.estimate_s
