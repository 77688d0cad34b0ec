"""Decides how long members of replicas stay on machines that are draining."""

from __future__ import annotations

from badgerseam.model.job import Attempt
from badgerseam.model.model import Model
from badgerseam.options.replicas import ReplicaClass
from badgerseam.sched.planner import SAVE_SLACK_S


class DrainDelay:
    """Delays the stop of a member on a draining machine, so that its replica can be moved first."""

    def __init__(self, model: Model) -> None:
        self._model = model
        self._draining_since: dict[int, float] = {}
        """When each machine that drains without a reclaim notice began to drain, by machine
        index."""

    def may_stay(self, attempt: Attempt, rules: ReplicaClass) -> bool:
        """Whether a member may stay on its draining machine for now."""
        job, machine = attempt.job, attempt.machine
        now = self._model.clock.now()
        if machine.reclaim_at is not None:
            # If the reclaim comes before the move is done, the member is stopped in time to write
            # its checkpoint, and the replica is repaired.
            checkpoint_s = job.spec.save_s if job.spec.checkpoint_s > 0 else 0.0
            return now < machine.reclaim_at - checkpoint_s - SAVE_SLACK_S
        if len(self._draining_since) > 2 * len(self._model.machines):
            self._draining_since.clear()
        began_at = self._draining_since.setdefault(machine.index, now)
        return rules.moves > 0 and now < began_at + rules.drain_s
