"""Repeats evictions that an earlier owner of a machine had decided but not completed."""

from __future__ import annotations

import logging
import math

from badgerseam.model.job import HIGH_RANK, Attempt, Stage
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.model.resources import NOTHING

log = logging.getLogger("badgerseam.workers")


def repeat_evictions(model: Model, machine: Machine, now: float) -> None:
    """Stops attempts that an earlier owner had evicted to make room for its placements.

    Placements are durable, but decisions to stop are not. If the earlier owner ended between the
    two, its placements would otherwise wait for resources until the tasks of lower priority that it
    had decided to stop complete by themselves.
    """
    free = machine.total.minus(machine.planned_use())
    if machine.total == NOTHING or NOTHING.fits_in(free):
        return
    remaining = [
        attempt
        for attempt in machine.attempts.values()
        if not (attempt.stopping or attempt.finishing)
    ]
    waiting_rank = max(
        (attempt.job.rank for attempt in remaining if attempt.stage == Stage.PLACED), default=0
    )
    if waiting_rank < HIGH_RANK:
        return
    victims = [
        attempt
        for attempt in remaining
        if attempt.stage >= Stage.FETCHING and attempt.job.rank < HIGH_RANK
    ]
    # As in a plan, attempts of a rank that would lose the least work are stopped first.
    victims.sort(key=lambda attempt: (attempt.job.rank, _unsaved_work_s(attempt, now)))
    for victim in victims:
        if NOTHING.fits_in(free):
            break
        free = free.plus(victim.job.demand)
        _stop(victim)
        log.info("eviction repeated task=%s machine=%s", victim.name, machine.name)
    machine.cached_snapshot = None
    model.machines_to_push.add(machine.index)


def _stop(attempt: Attempt) -> None:
    attempt.stopping = True
    attempt.stop_sent = False
    attempt.grace_s = attempt.job.checkpoint_grace_s
    attempt.job.mark_changed(attempt.task)


def _unsaved_work_s(attempt: Attempt, now: float) -> float:
    """Returns the seconds of work that a stop would lose, given the checkpoint interval."""
    ran_s = now - attempt.started_at if attempt.started_at > 0 else 0.0
    interval_s = attempt.job.spec.checkpoint_s
    return math.fmod(ran_s, interval_s) if interval_s > 0 else ran_s
