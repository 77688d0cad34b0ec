"""Counts a job's attempts while this controller acts for it; each one once, when it ends."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from badgerseam.wire.accounting import CAUSES, Usage, usage_of

if TYPE_CHECKING:
    from badgerseam.model.job import Attempt, Job


@dataclass(slots=True)
class Meter:
    """Of one job. What an earlier owner measured is not known to the next one: its attempts are
    counted, as far as the records tell, and marked as not measured."""

    before: int = 0
    """Attempts that the records knew when this owner took the job over."""
    placed: int = 0
    """Attempts made durable since then."""
    measured: int = 0
    """Attempts whose start and end were seen here."""
    useful_s: float = 0.0
    """Seconds on machines of attempts that completed, over all tasks."""
    wasted_s: float = 0.0
    """Of those that did not."""
    spot_s: float = 0.0
    """Of both, on spot machines."""
    money: float = 0.0
    """At the price of the machine when the attempt ended, by the part of it that it took."""
    first_start: float | None = None
    """Time of day."""
    causes: list[int] = field(default_factory=lambda: [0] * len(CAUSES))
    """Ends by cause."""

    def end(
        self, attempt: Attempt, cause: str, now: float, wall: float, price: float
    ) -> tuple[float | None, float]:
        """An attempt that was durable is over. `price`: of its part of the machine, an hour.

        The seconds that it ran, if that was seen from its start on, and what they cost.
        """
        self.causes[CAUSES.index(cause)] += 1
        if attempt.started_at <= 0 or attempt.inherited or attempt.unseen:
            # Never seen to run, or not from its start on; or it may have ended long ago, while the
            # share had no owner.
            return None, 0.0
        spent = max(0.0, now - attempt.started_at)
        self.measured += 1
        self.money += price * spent / 3600
        if attempt.machine.spot:
            self.spot_s += spent
        if cause == "done":
            self.useful_s += spent
        else:
            self.wasted_s += spent
        begun = wall - spent
        if self.first_start is None or begun < self.first_start:
            self.first_start = begun
        return spent, price * spent / 3600

    def usage(self, job: Job, wall: float) -> Usage:
        """The summary that goes into the job's final record."""
        attempts = self.before + self.placed
        return msgspec.structs.replace(
            usage_of(job.spec, job.submitted, self.first_start, wall),
            attempts=attempts,
            unmeasured=max(0, attempts - self.measured),
            useful_s=round(self.useful_s, 3),
            wasted_s=round(self.wasted_s, 3),
            spot_s=round(self.spot_s, 3),
            money=round(self.money, 6),
            causes=list(self.causes),
            eligible=_eligible(job),
        )


def _eligible(job: Job) -> float | None:
    """When the job could have started; None if it never could, or an earlier owner saw it."""
    if job.spec.terms is None:
        return round(job.submitted, 3)
    return None if job.eligible_at is None else round(job.eligible_at, 3)


def cause_of(attempt: Attempt) -> str:
    """Why an attempt that did not complete is over."""
    machine = attempt.machine
    if attempt.error:
        return "error"
    if attempt.job.phase != 0:
        return "cancelled"
    if attempt.cost is not None:
        return "evicted"
    if machine.recall_at is not None:
        return "taken"
    if machine.draining and attempt.stopping:
        return "drained"
    return "lost"
