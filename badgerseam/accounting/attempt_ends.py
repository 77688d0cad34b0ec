"""What the end of an attempt tells: how long it ran, and why it is over."""

from __future__ import annotations

from badgerseam.model.job import Attempt


def seconds_run(attempt: Attempt, now: float) -> float | None:
    """The seconds that an attempt that was durable ran, if that was seen from its start on."""
    if attempt.started_at <= 0 or attempt.inherited or attempt.unseen:
        # Never seen to run, or not from its start on; or it may have ended long ago, while the
        # share had no owner.
        return None
    return max(0.0, now - attempt.started_at)


def cause_of(attempt: Attempt) -> str:
    """Why an attempt that did not complete is over."""
    machine = attempt.machine
    if attempt.error:
        return "error"
    if attempt.job.phase != 0:
        return "cancelled"
    if attempt.cost is not None:
        return "evicted"
    if machine.reclaim_at is not None:
        return "taken"
    if machine.draining and attempt.stopping:
        return "drained"
    return "lost"
