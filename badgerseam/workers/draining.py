"""Stops tasks on draining machines that cannot complete in time."""

from __future__ import annotations

from collections.abc import Callable

from badgerseam.model.job import Attempt, Stage
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model


def drain(model: Model, is_handled: Callable[[Attempt], bool] | None = None) -> None:
    """Stops the attempts on draining machines of owned shards. Callers must hold the model's lock.

    `is_handled`: whether another component handles an attempt for now, such as a member of a
    replica that is being moved.
    """
    now = model.clock.now()
    for machine in model.machines.values():
        if not machine.draining or not model.shards[machine.shard].owned:
            continue
        for attempt in machine.attempts.values():
            if attempt.stopping or attempt.finishing or attempt.stage == Stage.PLANNED:
                continue
            if _completes_before_reclaim(attempt, machine, now):
                continue
            if is_handled is not None and is_handled(attempt):
                continue
            _stop(model, machine, attempt)


def _completes_before_reclaim(attempt: Attempt, machine: Machine, now: float) -> bool:
    """Whether a running attempt without checkpoints should complete before the cloud reclaims its
    machine, in which case stopping it would only waste its work."""
    if attempt.stage != Stage.RUNNING or machine.reclaim_at is None:
        return False
    job = attempt.job
    if job.is_service or job.spec.checkpoint_s != 0:
        return False
    remaining_s = attempt.started_at + job.spec.estimate_s - now
    return now + max(remaining_s, 0.0) < machine.reclaim_at


def _stop(model: Model, machine: Machine, attempt: Attempt) -> None:
    attempt.stopping = True
    attempt.job.mark_changed(attempt.task)
    machine.cached_snapshot = None
    attempt.stop_sent = False
    attempt.grace_s = attempt.job.checkpoint_grace_s
    model.machines_to_push.add(machine.index)
