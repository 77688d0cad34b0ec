"""History of the reasons that held jobs back, as observed by surveys."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field

from badgerseam.wire.explain import Code, Transition


@dataclass(slots=True)
class _Interval:
    """A period in which consecutive surveys found the same reasons."""

    codes: tuple[Code, ...]
    first_at: float
    last_at: float


@dataclass(slots=True)
class _JobRecord:
    """The history of one job."""

    intervals: deque[_Interval]
    since: dict[Code, float] = field(default_factory=dict)
    """Time since which each current reason has been observed without a gap."""


class ReasonHistory:
    """Keeps the latest transitions of the most recently surveyed jobs; its size is bounded.

    A job is surveyed when a user asks about it, or at the interval that an operator has set.
    Between two surveys a reason may disappear and return unnoticed. Therefore a gap of more than
    `max_gap_s` between surveys starts a new period: no reason is reported to have held during a
    time without surveys.
    """

    def __init__(self, max_jobs: int, max_intervals: int, max_gap_s: float) -> None:
        self._max_jobs = max_jobs
        self._max_intervals = max_intervals
        self._max_gap_s = max_gap_s
        self._records: OrderedDict[str, _JobRecord] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def observe(self, job: str, codes: list[Code], now: float) -> None:
        """Records the reasons that currently hold a job back."""
        found = tuple(dict.fromkeys(codes))
        record = self._records.get(job)
        if record is None:
            record = self._records[job] = _JobRecord(deque(maxlen=self._max_intervals))
        self._records.move_to_end(job)
        while len(self._records) > self._max_jobs:
            self._records.popitem(last=False)
        intervals = record.intervals
        is_unbroken = bool(intervals) and now - intervals[-1].last_at <= self._max_gap_s
        if is_unbroken and intervals[-1].codes == found:
            intervals[-1].last_at = now
        else:
            intervals.append(_Interval(found, now, now))
        before = record.since if is_unbroken else {}
        record.since = {code: before.get(code, now) for code in found}

    def since_s(self, job: str, now: float) -> dict[Code, float]:
        """Returns the minimum number of seconds for which each reason has held."""
        record = self._records.get(job)
        return {} if record is None else {code: now - at for code, at in record.since.items()}

    def transitions(self, job: str, now: float) -> list[Transition]:
        """Returns the latest transitions, the oldest first."""
        record = self._records.get(job)
        if record is None:
            return []
        return [
            Transition(
                round(now - interval.first_at, 3),
                round(now - interval.last_at, 3),
                list(interval.codes),
            )
            for interval in record.intervals
        ]

    def forget(self, job: str) -> None:
        """Removes a job that has ended, or that another controller plans for now."""
        self._records.pop(job, None)
