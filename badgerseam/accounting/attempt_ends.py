"""The duration of an ended attempt, and the cause of its end."""

from __future__ import annotations

from badgerseam.model.job import Attempt, Phase


def seconds_run(attempt: Attempt, now: float) -> float | None:
    """Returns how long a durable attempt ran; None if it was not observed from its start on."""
    if attempt.started_at <= 0 or attempt.inherited or attempt.unseen:
        # Never observed running, or not from its start on; or the attempt may have ended long ago,
        # while the shard had no owner.
        return None
    return max(0.0, now - attempt.started_at)


def cause_of(attempt: Attempt) -> str:
    """Returns why an attempt that did not complete ended: one of `wire.accounting.CAUSES`."""
    machine = attempt.machine
    if attempt.error:
        return "error"
    if attempt.job.phase != Phase.OPEN:
        return "cancelled"
    if attempt.cost is not None:
        return "evicted"
    if machine.reclaim_at is not None:
        return "taken"
    if machine.draining and attempt.stopping:
        return "drained"
    return "lost"
