"""What was seen to hold jobs back: transitions only, and never a time at which nobody looked."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field

from badgerseam.wire.explain import Code, Transition


@dataclass(slots=True)
class _Interval:
    """The same reasons, at one look after the other."""

    codes: tuple[Code, ...]
    first: float
    last: float


@dataclass(slots=True)
class _JobRecord:
    spells: deque[_Interval]
    since: dict[Code, float] = field(default_factory=dict)
    """When each reason that holds now was first seen without a break."""


class ReasonHistory:
    """Bounded: of the jobs asked about most recently, the latest transitions.

    A job is looked at when somebody asks, or at the interval that an operator has set. Between two
    looks a reason may have gone and come back unseen, so that looks further apart than `gap_s`
    begin anew: nothing is said to have held while nobody looked.
    """

    def __init__(self, most_jobs: int, most_spells: int, gap_s: float) -> None:
        self._most_jobs = most_jobs
        self._most_spells = most_spells
        self._gap_s = gap_s
        self._records: OrderedDict[str, _JobRecord] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def observe(self, job: str, codes: list[Code], now: float) -> None:
        """Note what holds a job back at this moment."""
        found = tuple(dict.fromkeys(codes))
        record = self._records.get(job)
        if record is None:
            record = self._records[job] = _JobRecord(deque(maxlen=self._most_spells))
        self._records.move_to_end(job)
        while len(self._records) > self._most_jobs:
            self._records.popitem(last=False)
        spells = record.spells
        unbroken = bool(spells) and now - spells[-1].last <= self._gap_s
        if unbroken and spells[-1].codes == found:
            spells[-1].last = now
        else:
            spells.append(_Interval(found, now, now))
        before = record.since if unbroken else {}
        record.since = {code: before.get(code, now) for code in found}

    def since_s(self, job: str, now: float) -> dict[Code, float]:
        """For how long, at least, each reason has held."""
        record = self._records.get(job)
        return {} if record is None else {code: now - at for code, at in record.since.items()}

    def transitions(self, job: str, now: float) -> list[Transition]:
        """The latest transitions, the oldest first."""
        record = self._records.get(job)
        if record is None:
            return []
        return [
            Transition(round(now - s.first, 3), round(now - s.last, 3), list(s.codes))
            for s in record.spells
        ]

    def forget(self, job: str) -> None:
        """The job has ended, or another controller plans for it now."""
        self._records.pop(job, None)
