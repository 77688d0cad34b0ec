"""Measures a job's attempts while this controller acts for it; each one once, when it ends."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from badgerseam.wire.accounting import CAUSES, Usage, usage_of
from badgerseam.wire.users import Submission


@dataclass(slots=True)
class AttemptMeter:
    """Measures the attempts of one job.

    What an earlier owner measured is not known to the next one: its attempts are counted, as far as
    the records show, and marked as not measured.
    """

    unmeasured_before: int = 0
    """Attempts that the records knew when this owner took the job over."""
    placed: int = 0
    """Attempts made durable since then."""
    measured: int = 0
    """Attempts whose start and end were seen here."""
    useful_s: float = 0.0
    """Seconds on machines of attempts that completed, over all tasks."""
    wasted_s: float = 0.0
    """Seconds on machines of attempts that did not complete."""
    spot_s: float = 0.0
    """Seconds of both on spot instances."""
    money: float = 0.0
    """Cost at the price of the machine when the attempt ended, by the part of it that was used."""
    first_start: float | None = None
    """Time of day of the earliest start."""
    causes: list[int] = field(default_factory=lambda: [0] * len(CAUSES))
    """Ends by cause."""

    def end(
        self, cause: str, seconds: float | None, spot: bool, wall: float, price: float
    ) -> float:
        """Record the end of a durable attempt; return its cost.

        `seconds`: how long it ran, if that was seen from its start on; `price`: of its part of the
        machine, per hour.
        """
        self.causes[CAUSES.index(cause)] += 1
        if seconds is None:
            return 0.0
        money = price * seconds / 3600
        self.measured += 1
        self.money += money
        if spot:
            self.spot_s += seconds
        if cause == "done":
            self.useful_s += seconds
        else:
            self.wasted_s += seconds
        begun = wall - seconds
        if self.first_start is None or begun < self.first_start:
            self.first_start = begun
        return money

    def usage(
        self, spec: Submission, submitted: float, eligible_at: float | None, wall: float
    ) -> Usage:
        """The summary that goes into the job's final record."""
        attempts = self.unmeasured_before + self.placed
        return msgspec.structs.replace(
            usage_of(spec, submitted, self.first_start, wall),
            attempts=attempts,
            unmeasured=max(0, attempts - self.measured),
            useful_s=round(self.useful_s, 3),
            wasted_s=round(self.wasted_s, 3),
            spot_s=round(self.spot_s, 3),
            money=round(self.money, 6),
            causes=list(self.causes),
            eligible=_eligible(spec, submitted, eligible_at),
        )


def _eligible(spec: Submission, submitted: float, eligible_at: float | None) -> float | None:
    """When the job could have started; None if it never could, or an earlier owner saw it."""
    if spec.terms is None:
        return round(submitted, 3)
    return None if eligible_at is None else round(eligible_at, 3)
