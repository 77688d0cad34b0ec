"""Measures the attempts of a job while this controller owns it, each once when it ends."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from badgerseam.wire.accounting import CAUSES, Usage, usage_of
from badgerseam.wire.users import Submission


@dataclass(slots=True)
class AttemptMeter:
    """Measures the attempts of one job.

    Measurements are not passed on to the next owner. Attempts under earlier owners are counted as
    far as the records show them, and reported as not measured.
    """

    unmeasured_before: int = 0
    """Number of attempts in the records when this owner took over the job."""
    placed: int = 0
    """Number of attempts made durable since then."""
    measured: int = 0
    """Number of attempts whose start and end were seen by this controller."""
    useful_s: float = 0.0
    """Run time in seconds of attempts that completed, over all tasks."""
    wasted_s: float = 0.0
    """Run time in seconds of attempts that did not complete."""
    spot_s: float = 0.0
    """Run time in seconds of all attempts on spot instances."""
    money: float = 0.0
    """Cost of the used fraction of machines, at each machine's price when the attempt ended."""
    first_start: float | None = None
    """Time of day of the earliest start of an attempt."""
    causes: list[int] = field(default_factory=lambda: [0] * len(CAUSES))
    """Number of ended attempts by cause."""

    def end(
        self, cause: str, seconds: float | None, spot: bool, wall: float, price: float
    ) -> float:
        """Records the end of a durable attempt; returns its cost.

        `seconds`: the run time, if it was observed from the start; `price`: price per hour of the
        fraction of the machine that the attempt used.
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
        started = wall - seconds
        if self.first_start is None or started < self.first_start:
            self.first_start = started
        return money

    def usage(
        self, spec: Submission, submitted: float, eligible_at: float | None, wall: float
    ) -> Usage:
        """Returns the usage summary for the job's final record."""
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
    """Returns when the job became eligible to start, or None if it never did or if this was only
    observed by an earlier owner."""
    if spec.terms is None:
        return round(submitted, 3)
    return None if eligible_at is None else round(eligible_at, 3)
