"""Compares the accounting with the history: every ended job once, and no excess running time."""

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

MAX_REPORT_DELAY_S = 1.0
"""Seconds per attempt by which accounted time may exceed the time on machines: the delays that the
reports of a start and of an end may have, added up."""


class AccountingComparison(Struct, frozen=True):
    """Figures of the accounting next to those of the history."""

    ended: int
    """Number of jobs whose end was reported to a user."""
    accounted: int
    """Number of ended jobs in the accounting."""
    missing: int
    """Number of jobs that ended but are not in the accounting."""
    attempts: int
    """Number of accounted attempts; some are placed and never start."""
    starts: int
    """Number of starts in the history. Repeated starts of an attempt where it was placed count
    once."""
    started_again: int
    """Number of these repeated starts beyond the first."""
    unmeasured: int
    """Number of accounted attempts whose running time was not measured."""
    useful_s: float
    useful_really_s: float
    wasted_s: float
    wasted_really_s: float
    faults: list[str]
    """Contradictions between the accounting and the history."""


async def compare_with_accounts(lab: Lab) -> AccountingComparison | None:
    """Compares the accounting of any controller with the history; None if no accounting is kept."""
    batch = BatchClient(ServiceClient(f"127.0.0.1:{lab.load_balancer_port}", 20.0))
    try:
        lines = [line async for line in batch.accounting({})]
    except RefusedError:
        return None
    return compare(lab.history.events, lines)


class _Launch(NamedTuple):
    """The machine, session and owner's term of a launch."""

    machine: str
    session: int
    term: int

    def is_repeat_of(self, earlier: _Launch | None) -> bool:
        """Whether this launch repeats the attempt of an earlier launch on the same machine.

        There are two causes. Either the machine lost the attempt when the lease of the earlier
        session expired, and launches it in a later session; or a later owner found the attempt
        placed on the machine, no longer running there and with no stored record of its end.
        """
        if earlier is None or earlier.machine != self.machine:
            return False
        return earlier.session < self.session or earlier.term < self.term


class _StartCounter:
    """Counts the starts that the accounting has to contain, by job.

    A stored placement is one attempt and may be started more than once, see `_Launch.is_repeat_of`.
    Any other second start under the same attempt number counts as an additional start.
    """

    def __init__(self) -> None:
        self.counted: Counter[str] = Counter()
        self.repeated: Counter[str] = Counter()
        self._launched: dict[tuple[str, int], _Launch] = {}
        """The latest launch, by task and attempt."""
        self._started: dict[tuple[str, int], _Launch] = {}
        """The latest launch that has started, by task and attempt."""

    def add_launch(self, event: Event) -> None:
        """Records the launch of an attempt on a machine."""
        term = event.token >> BUMP_BITS
        launch = _Launch(event.machine, event.session, term)
        self._launched[event.job, event.attempt] = launch

    def add_start(self, event: Event) -> None:
        """Counts the start of an attempt."""
        job = event.job.partition("/")[0]
        key = (event.job, event.attempt)
        launch = self._launched[key]
        if launch.is_repeat_of(self._started.get(key)):
            self.repeated[job] += 1
        else:
            self.counted[job] += 1
        self._started[key] = launch


def compare(events: Iterable[Event], lines: list[AccountingLine]) -> AccountingComparison:
    """Compares the accounted jobs with a history."""
    starts = _StartCounter()
    seconds: dict[tuple[str, str], float] = {}
    started_at: dict[tuple[str, str], float] = {}
    ended: set[str] = set()
    for event in events:
        job = event.job.partition("/")[0]
        if event.kind == "launch":
            starts.add_launch(event)
        elif event.kind == "on":
            starts.add_start(event)
            started_at[event.job, event.machine] = event.t
        elif event.kind == "off" and (event.job, event.machine) in started_at:
            ran_s = event.t - started_at.pop((event.job, event.machine))
            kind = "useful" if event.text == "done" else "wasted"
            seconds[job, kind] = seconds.get((job, kind), 0.0) + ran_s
        elif event.kind == "answer" and event.phase in ("done", "withdrawn"):
            ended.add(job)
    faults: list[str] = []
    line_counts: Counter[str] = Counter(line.id for line in lines)
    faults += [f"{job}: accounted {count} times" for job, count in line_counts.items() if count > 1]
    for line in lines:
        if line.id not in ended and line.state == "withdrawn":
            faults.append(f"{line.id}: accounted as cancelled, but no user was told so")
        started = starts.counted[line.id]
        if line.complete and line.attempts < started:
            faults.append(f"{line.id}: {line.attempts} attempts, {started} starts")
        # Compares the sum of useful and wasted time: if a task ran twice, the accounting may
        # classify its time differently.
        actual_s = seconds.get((line.id, "useful"), 0.0) + seconds.get((line.id, "wasted"), 0.0)
        accounted_s = line.useful_s + line.wasted_s
        if accounted_s > actual_s + MAX_REPORT_DELAY_S * max(1, line.attempts):
            faults.append(f"{line.id}: {accounted_s:.1f} s accounted, {actual_s:.1f} s on machines")
    missing = sorted(ended - set(line_counts))
    return AccountingComparison(
        len(ended),
        len(line_counts),
        len(missing),
        sum(line.attempts for line in lines),
        sum(starts.counted[line.id] for line in lines),
        sum(starts.repeated[line.id] for line in lines),
        sum(line.unmeasured for line in lines),
        round(sum(line.useful_s for line in lines), 1),
        round(sum(seconds.get((line.id, "useful"), 0.0) for line in lines), 1),
        round(sum(line.wasted_s for line in lines), 1),
        round(sum(seconds.get((line.id, "wasted"), 0.0) for line in lines), 1),
        faults,
    )
