"""How much of what users wanted was served: by class, by team, and of each class's largest jobs.

The users fail a day on which less than half of any of these is served, or on which one of the
largest has not begun in four minutes. Where their words leave room, the reading that is worse for
the service counts; docs/questions.md says which.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

import msgspec
from msgspec import Struct

from badgerseam.lab.history import Event
from badgerseam.settings import Team
from badgerseam.wire.users import Submission

HALF = 0.5
BEGIN_S = 240.0
LARGEST = 10
"""At most one of so many jobs of a class and shape is among its largest, apart from those of the
largest size, which always are."""
STAYS_S = 30.0
"""A start that ends sooner, with nothing done, is none: the aims of the users do not count it."""
_NEVER = float("inf")


class Row(Struct, frozen=True):
    """Of a class or a team."""

    jobs: int
    """Those that count: not refused, and of arrays and gangs not cancelled."""
    served: float
    """Part of them, from 0 to 1: an array or a gang by its end, a service by its replicas' time."""


class Largest(Struct, frozen=True):
    """Of the largest jobs of a class and shape, by tasks times processors.

    Times are in seconds from the first attempt to submit.
    """

    jobs: int
    served: float | None
    """None if all of them were cancelled."""
    least: float
    """Tasks times processors of the smallest of them."""
    first_s: float | None
    """The latest start of a first task; None if none has started."""
    all_s: float | None
    """The latest time at which an array had started as many tasks as its team's limit allows at
    once, or a gang or service had all of its tasks on machines."""
    late: list[str]
    """Those that had not begun in time by the second reading, which is never the earlier one."""


class Served(Struct, frozen=True):
    """What was served, and where a day fails."""

    classes: dict[str, Row]
    teams: dict[str, Row]
    largest: dict[str, Largest]
    """By class and shape."""
    failures: list[str]


@dataclass(slots=True)
class _Run:
    task: str
    begun: float
    ended: float = _NEVER
    done: bool = False


@dataclass(slots=True)
class _ServedJob:
    spec: Submission
    submitted_at: float
    is_accepted: bool = False
    is_refused: bool = False
    answered_done: bool = False
    cancel_requested_at: float = _NEVER
    runs: list[_Run] = field(default_factory=list)

    @property
    def size(self) -> float:
        return self.spec.tasks * self.spec.cpus

    def served(self, t: float) -> float | None:
        """The part of the job that was served until t; None if it does not count."""
        if self.is_refused:
            return None
        if self.spec.kind != "standing":
            if self.answered_done:
                return 1.0
            return None if self.cancel_requested_at < _NEVER else 0.0
        until = min(t, self.cancel_requested_at)
        wanted_s = (until - self.submitted_at) * self.spec.tasks
        if wanted_s <= 0:
            return None
        ran_s = sum(max(0.0, min(run.ended, until) - run.begun) for run in self.runs)
        return min(1.0, ran_s / wanted_s)

    def _counts(self, run: _Run) -> bool:
        return run.done or run.ended - run.begun >= STAYS_S or run.ended >= self.cancel_requested_at

    def begun(self, at_once: int) -> tuple[float | None, float | None]:
        """When the first task started, and when all of `at_once`, from its submission."""
        firsts: dict[str, float] = {}
        steps: list[tuple[float, int, str]] = []
        for run in filter(self._counts, self.runs):
            firsts[run.task] = min(run.begun, firsts.get(run.task, _NEVER))
            steps += [(run.begun, 1, run.task), (run.ended, -1, run.task)]
        if not firsts:
            return None, None
        starts = sorted(firsts.values())
        first = starts[0] - self.submitted_at
        if self.spec.kind == "sweep":
            return first, starts[at_once - 1] - self.submitted_at if len(
                starts
            ) >= at_once else None
        # Of a gang or a service all have to be there together, not one after the other.
        there: dict[str, int] = {}
        for t, change, task in sorted(steps):
            there[task] = there.get(task, 0) + change
            if not there[task]:
                del there[task]
            if len(there) == self.spec.tasks:
                return first, t - self.submitted_at
        return first, None


class ServedCounter:
    """Takes the events of a history in order."""

    def __init__(self, teams: Iterable[Team], broken_jobs: Collection[str] = ()) -> None:
        """`aside`: jobs that cannot be served, submitted with a mistake."""
        self._limits: Mapping[str, tuple[float, float]] = {t.name: t.limits for t in teams}
        self._broken_jobs = broken_jobs
        self._jobs: dict[str, _ServedJob] = {}
        self._current_runs: dict[tuple[str, str], _Run] = {}

    def on_event(self, event: Event) -> None:
        """Look at the next event."""
        name = event.job.partition("/")[0]
        job = self._jobs.get(name)
        if event.kind == "submit" and event.spec is not None and job is None:
            self._jobs[name] = _ServedJob(msgspec.convert(event.spec, Submission), event.t)
        elif job is None:
            return
        elif event.kind == "abort":
            job.cancel_requested_at = min(job.cancel_requested_at, event.t)
        elif event.kind == "on":
            run = _Run(event.job, event.t)
            job.runs.append(run)
            self._current_runs[event.job, event.machine] = run
        elif event.kind == "off":
            ended = self._current_runs.pop((event.job, event.machine), None)
            if ended is not None:
                ended.ended, ended.done = event.t, event.text == "done"
        elif event.kind == "answer" and event.about == "submit" and event.status in (400, 422):
            job.is_refused = not job.is_accepted
        elif event.kind == "answer" and event.status in (200, 201):
            job.is_accepted = job.is_accepted or event.about == "submit"
            job.answered_done = job.answered_done or (event.phase == "done" and event.reached_user)

    def table(self, t: float) -> Served:
        """What was served by a time, at which the day is over."""
        jobs = [job for name, job in self._jobs.items() if name not in self._broken_jobs]
        by_class: dict[str, list[_ServedJob]] = {}
        by_team: dict[str, list[_ServedJob]] = {}
        by_shape: dict[str, list[_ServedJob]] = {}
        for job in jobs:
            spec = job.spec
            by_class.setdefault(spec.job_class, []).append(job)
            by_team.setdefault(spec.team, []).append(job)
            if not job.is_refused:
                by_shape.setdefault(f"{spec.job_class} {spec.kind}", []).append(job)
        classes, teams = (
            {name: row for name, of in sorted(groups.items()) if (row := _row(of, t)) is not None}
            for groups in (by_class, by_team)
        )
        largest = {name: self._largest(of, t) for name, of in sorted(by_shape.items())}
        return Served(classes, teams, largest, list(_failures(classes, teams, largest)))

    def _largest(self, jobs: list[_ServedJob], t: float) -> Largest:
        sizes = Counter(job.size for job in jobs)
        least, count = 0.0, 0
        for size in sorted(sizes, reverse=True):
            # All of a size or none: a few large ones among many small, equal ones would else be
            # picked by chance, or hidden by these.
            if count and count + sizes[size] > len(jobs) // LARGEST:
                break
            least, count = size, count + sizes[size]
        of = [job for job in jobs if job.size >= least]
        row = _row(of, t)
        firsts: list[float] = []
        alls: list[float] = []
        late: list[str] = []
        for job in of:
            first, all_ = job.begun(self._at_once(job.spec))
            if first is not None:
                firsts.append(first)
            if all_ is not None:
                alls.append(all_)
            # Terms may hold a job back for as long as its user likes.
            waited = min(t, job.cancel_requested_at) - job.submitted_at if all_ is None else all_
            if job.spec.terms is None and waited > BEGIN_S:
                late.append(job.spec.id)
        return Largest(
            len(of),
            None if row is None else row.served,
            least,
            round(max(firsts), 3) if firsts else None,
            round(max(alls), 3) if alls else None,
            sorted(late),
        )

    def _at_once(self, spec: Submission) -> int:
        """How many of an array's tasks its team's limit allows at once, one at least."""
        most: float = spec.tasks
        for need, limit in zip(
            (spec.cpus, spec.gpus), self._limits.get(spec.team, (_NEVER, _NEVER)), strict=True
        ):
            if need > 0:
                most = min(most, limit / need + 1e-6)
        return max(1, int(most))


def _row(jobs: list[_ServedJob], t: float) -> Row | None:
    parts = [part for job in jobs if (part := job.served(t)) is not None]
    return Row(len(parts), round(sum(parts) / len(parts), 4)) if parts else None


def _failures(
    classes: dict[str, Row], teams: dict[str, Row], largest: dict[str, Largest]
) -> Iterable[str]:
    for kind, rows in (("class", classes), ("team", teams)):
        for name, row in rows.items():
            if row.served < HALF:
                yield f"{kind} {name}: {row.served:.3f} of {row.jobs} jobs served"
    for name, big in largest.items():
        if big.served is not None and big.served < HALF:
            yield f"largest of {name}: {big.served:.3f} of {big.jobs} jobs served"
        if big.late:
            yield f"largest of {name}: not begun in {BEGIN_S:.0f} s: {', '.join(big.late)}"
