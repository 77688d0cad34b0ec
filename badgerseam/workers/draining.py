"""Stopping what cannot end by itself on machines that are to be given up."""

from __future__ import annotations

from badgerseam.model.job import Stage
from badgerseam.model.model import Model


def drain(model: Model) -> None:
    """Look at the draining machines of owned shares; called with the model's lock held."""
    now = model.clock.now()
    for machine in model.machines.values():
        if not machine.draining or not model.shares[machine.share].owned:
            continue
        for attempt in machine.attempts.values():
            if attempt.stopping or attempt.finishing or attempt.stage == Stage.PLANNED:
                continue
            spec = attempt.job.spec
            if attempt.stage == Stage.RUNNING and machine.recall_at is not None:
                left = attempt.started_at + spec.estimate_s - now
                stays = not attempt.job.service and spec.checkpoint_s == 0
                if stays and now + max(left, 0.0) < machine.recall_at:
                    continue
            attempt.stopping = True
            machine.node = None
            attempt.stop_sent = False
            attempt.grace_s = spec.save_s + 1.0 if spec.checkpoint_s > 0 else 0.0
            model.pushes.add(machine.index)
