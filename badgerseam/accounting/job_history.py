"""The history of ended jobs that every controller keeps: packed and bounded, with totals by team
and day."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import UTC, datetime

import msgspec

from badgerseam.wire.accounting import AccountingLine, DayTotal, Usage, accounting_line

_pack = msgspec.msgpack.Encoder().encode
_unpack: msgspec.msgpack.Decoder[tuple[str, int, Usage]] = msgspec.msgpack.Decoder(
    tuple[str, int, Usage]
)


@dataclass(slots=True)
class _Total:
    """The sums of a team's jobs that ended on one day."""

    jobs: int = 0
    cancelled: int = 0
    attempts: int = 0
    unmeasured: int = 0
    useful_cpu_s: float = 0.0
    wasted_cpu_s: float = 0.0
    money: float = 0.0


class JobHistory:
    """The latest ended jobs, and totals of all ended jobs.

    It is built from the jobs' final records, so that all controllers have the same history. It
    holds the latest `max_jobs` jobs, with some 200 bytes each; totals include all jobs. A restarted
    controller reads the jobs' records again, which the state service never deletes.
    """

    def __init__(self, max_jobs: int) -> None:
        self._max_jobs = max_jobs
        self._jobs: OrderedDict[str, bytes] = OrderedDict()
        self._counted: set[str] = set()
        self._totals: dict[tuple[str, str], _Total] = {}

    def __len__(self) -> int:
        return len(self._jobs)

    def add(self, job_id: str, state: str, tasks: int, usage: Usage) -> None:
        """Adds a job's final record; a record that is observed again is counted only once."""
        if job_id in self._counted:
            return
        self._counted.add(job_id)
        self._jobs[job_id] = _pack((state, tasks, usage))
        if len(self._jobs) > self._max_jobs:
            self._jobs.popitem(last=False)
        day = datetime.fromtimestamp(usage.ended, UTC).date().isoformat()
        total = self._totals.setdefault((day, usage.team), _Total())
        total.jobs += 1
        total.cancelled += state == "withdrawn"
        total.attempts += usage.attempts
        total.unmeasured += usage.unmeasured
        total.useful_cpu_s += usage.useful_s * usage.cpus
        total.wasted_cpu_s += usage.wasted_s * usage.cpus
        total.money += usage.money

    def get(self, job_id: str) -> AccountingLine | None:
        """Returns one job; None if it is not among the latest."""
        packed = self._jobs.get(job_id)
        return None if packed is None else accounting_line(job_id, *_unpack.decode(packed))

    def lines(self, after: str | None = None) -> Iterator[AccountingLine]:
        """Yields the jobs, the latest first; `after`: yields only those that follow this job in
        that order."""
        has_begun = after is None
        for job_id in reversed(self._jobs):
            if has_begun:
                yield accounting_line(job_id, *_unpack.decode(self._jobs[job_id]))
            has_begun = has_begun or job_id == after

    def totals(self) -> list[DayTotal]:
        """Returns the totals, ordered by day and team."""
        return [
            DayTotal(
                day,
                team,
                total.jobs,
                total.cancelled,
                total.attempts,
                total.unmeasured,
                round(total.useful_cpu_s, 3),
                round(total.wasted_cpu_s, 3),
                round(total.money, 6),
            )
            for (day, team), total in sorted(self._totals.items())
        ]
