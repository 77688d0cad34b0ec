"""Accounts against the history of the machines: every ended job once, no second too many."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from msgspec import Struct

from badgerseam.cli.client import ServiceClient
from badgerseam.lab.history import Event
from badgerseam.lab.lab import Lab
from badgerseam.model.machine import BUMP_BITS
from badgerseam.slurm.client import BatchClient, RefusedError
from badgerseam.wire.accounting import AccountingLine

LATE_S = 1.0
"""How late reports may show a start or an end, together."""


class AccountingComparison(Struct, frozen=True):
    """What the accounts say beside what happened."""

    ended: int
    """Jobs whose end a user was told, or whose tasks were all done."""
    accounted: int
    missing: int
    attempts: int
    """As accounted; some are placed and never start."""
    starts: int
    """Those of an attempt that was started again where it was placed are one."""
    started_again: int
    """Such starts beyond the first."""
    unmeasured: int
    useful_s: float
    useful_really_s: float
    wasted_s: float
    wasted_really_s: float
    faults: list[str]
    """Where the accounts claim what did not happen."""


async def compare_with_accounts(lab: Lab) -> AccountingComparison | None:
    """Compare, from the accounts of any controller; None if none are kept."""
    batch = BatchClient(ServiceClient(f"127.0.0.1:{lab.load_balancer_port}", 20.0))
    try:
        lines = [line async for line in batch.accounting({})]
    except RefusedError:
        return None
    return compare(lab.history.events, lines)


class _Launch(NamedTuple):
    """Where an attempt was launched, and under whom."""

    machine: str
    session: int
    term: int

    def begins_anew(self, before: _Launch | None) -> bool:
        """Whether this is the attempt of `before` once more.

        A later session has lost it with the lease of the one before; a later owner found it placed
        there, not on the machine any more, and nothing durable of its end.
        """
        if before is None or before.machine != self.machine:
            return False
        return before.session < self.session or before.term < self.term


class _StartCounter:
    """Counts the starts that accounts have to tell, by job.

    A durable placement is one attempt, and may be started more than once: see `_Launch`. Any other
    start under a number that was used before is one too many.
    """

    def __init__(self) -> None:
        self.counted: Counter[str] = Counter()
        self.again: Counter[str] = Counter()
        self._launched: dict[tuple[str, int], _Launch] = {}
        """By task and attempt, the latest."""
        self._started: dict[tuple[str, int], _Launch] = {}
        """Of these, those that have started."""

    def launched(self, event: Event) -> None:
        """A machine has taken an attempt."""
        term = event.token >> BUMP_BITS
        launch = _Launch(event.machine, event.session, term)
        self._launched[event.job, event.attempt] = launch

    def add(self, event: Event) -> None:
        """Count a start."""
        job = event.job.partition("/")[0]
        key = (event.job, event.attempt)
        launch = self._launched[key]
        if launch.begins_anew(self._started.get(key)):
            self.again[job] += 1
        else:
            self.counted[job] += 1
        self._started[key] = launch


def compare(events: Iterable[Event], lines: list[AccountingLine]) -> AccountingComparison:
    """Compare lists of ended jobs with the history so far."""
    starts = _StartCounter()
    seconds: dict[tuple[str, str], float] = {}
    began: dict[tuple[str, str], float] = {}
    ended: set[str] = set()
    for event in events:
        job = event.job.partition("/")[0]
        if event.kind == "launch":
            starts.launched(event)
        elif event.kind == "on":
            starts.add(event)
            began[event.job, event.machine] = event.t
        elif event.kind == "off" and (event.job, event.machine) in began:
            spent = event.t - began.pop((event.job, event.machine))
            kind = "useful" if event.text == "done" else "wasted"
            seconds[job, kind] = seconds.get((job, kind), 0.0) + spent
        elif event.kind == "answer" and event.phase in ("done", "withdrawn"):
            ended.add(job)
    faults: list[str] = []
    seen: Counter[str] = Counter(line.id for line in lines)
    faults += [f"{job}: accounted {count} times" for job, count in seen.items() if count > 1]
    for line in lines:
        if line.id not in ended and line.state == "withdrawn":
            faults.append(f"{line.id}: accounted as cancelled, and nobody was told so")
        started = starts.counted[line.id]
        if line.complete and line.attempts < started:
            faults.append(f"{line.id}: {line.attempts} attempts, {started} starts")
        # What ran twice as wasted first and useful then is told apart only by kind.
        real = seconds.get((line.id, "useful"), 0.0) + seconds.get((line.id, "wasted"), 0.0)
        told = line.useful_s + line.wasted_s
        if told > real + LATE_S * max(1, line.attempts):
            faults.append(f"{line.id}: {told:.1f} s accounted, {real:.1f} s on machines")
    missing = sorted(ended - set(seen))
    return AccountingComparison(
        len(ended),
        len(seen),
        len(missing),
        sum(line.attempts for line in lines),
        sum(starts.counted[line.id] for line in lines),
        sum(starts.again[line.id] for line in lines),
        sum(line.unmeasured for line in lines),
        round(sum(line.useful_s for line in lines), 1),
        round(sum(seconds.get((line.id, "useful"), 0.0) for line in lines), 1),
        round(sum(line.wasted_s for line in lines), 1),
        round(sum(seconds.get((line.id, "wasted"), 0.0) for line in lines), 1),
        faults,
    )
