"""Stopping what cannot end by itself on machines that are to be given up."""

from __future__ import annotations

from collections.abc import Callable

from badgerseam.model.job import Attempt, Stage
from badgerseam.model.model import Model


def drain(model: Model, keeps: Callable[[Attempt], bool] | None = None) -> None:
    """Look at the draining machines of owned shares; called with the model's lock held.

    `keeps`: whether an attempt is seen to by others for now, as a member of a replica that moves.
    """
    now = model.clock.now()
    for machine in model.machines.values():
        if not machine.draining or not model.shards[machine.shard].owned:
            continue
        for attempt in machine.attempts.values():
            if attempt.stopping or attempt.finishing or attempt.stage == Stage.PLANNED:
                continue
            spec = attempt.job.spec
            if attempt.stage == Stage.RUNNING and machine.reclaim_at is not None:
                left = attempt.started_at + spec.estimate_s - now
                stays = not attempt.job.is_service and spec.checkpoint_s == 0
                if stays and now + max(left, 0.0) < machine.reclaim_at:
                    continue
            if keeps is not None and keeps(attempt):
                continue
            attempt.stopping = True
            attempt.job.mark_changed(attempt.task)
            machine.sched_view = None
            attempt.stop_sent = False
            attempt.grace_s = spec.save_s + 1.0 if spec.checkpoint_s > 0 else 0.0
            model.machines_to_push.add(machine.index)
