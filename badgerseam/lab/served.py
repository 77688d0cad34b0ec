"""Measures how much of the requested work was served: by class, by team, and by largest jobs.

The users' acceptance test fails a day on which less than half of any of these is served, or on
which one of the largest jobs has not begun within four minutes. Where the users' definition is
ambiguous, the interpretation that is worse for the service is used; docs/questions.md lists them.
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

MIN_SERVED_FRACTION = 0.5
MAX_BEGIN_S = 240.0
JOBS_PER_LARGEST_JOB = 10
"""At most one in this many jobs of a class and shape counts as one of its largest. All jobs of the
maximum size count, however many there are."""
MIN_RUN_S = 30.0
"""Seconds that a task has to run for its start to count, unless it completes or its job is
cancelled: the users' objectives don't count shorter runs."""
_NEVER = float("inf")


class ServedJobs(Struct, frozen=True):
    """What was served of the jobs of a class or a team."""

    jobs: int
    """Number of jobs that count: all that were not refused, except cancelled arrays and gangs."""
    served: float
    """Mean served fraction of these jobs, from 0 to 1. An array or gang counts as 1 if it is done,
    as 0 otherwise; a service counts by the running time of its replicas."""


class LargestJobs(Struct, frozen=True):
    """What was served of the largest jobs of a class and shape, by tasks times CPUs.

    Times are in seconds from the first attempt to submit the job.
    """

    jobs: int
    served: float | None
    """Mean served fraction; None if all of these jobs were cancelled."""
    least: float
    """Tasks times CPUs of the smallest of these jobs."""
    first_s: float | None
    """The latest time at which the first task of a job started; None if no job started."""
    all_s: float | None
    """The latest time at which an array had started as many tasks as its team's limit allows at
    once, or a gang or service had all of its tasks on machines at the same time; None if no job
    got there."""
    late: list[str]
    """The jobs that had not begun in time by the definition of `all_s`, which is never earlier than
    `first_s`."""


class Served(Struct, frozen=True):
    """What was served on a day, and the reasons why the day fails."""

    classes: dict[str, ServedJobs]
    teams: dict[str, ServedJobs]
    largest: dict[str, LargestJobs]
    """The largest jobs, by class and shape."""
    failures: list[str]


@dataclass(slots=True)
class _TaskRun:
    task: str
    started_at: float
    ended_at: float = _NEVER
    done: bool = False


@dataclass(slots=True)
class _ServedJob:
    spec: Submission
    submitted_at: float
    is_accepted: bool = False
    is_refused: bool = False
    answered_done: bool = False
    cancel_requested_at: float = _NEVER
    runs: list[_TaskRun] = field(default_factory=list)

    @property
    def size(self) -> float:
        return self.spec.tasks * self.spec.cpus

    def served(self, t: float) -> float | None:
        """Returns the served fraction of the job until time t; None if the job does not count."""
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
        ran_s = sum(max(0.0, min(run.ended_at, until) - run.started_at) for run in self.runs)
        return min(1.0, ran_s / wanted_s)

    def _is_counted(self, run: _TaskRun) -> bool:
        return (
            run.done
            or run.ended_at - run.started_at >= MIN_RUN_S
            or run.ended_at >= self.cancel_requested_at
        )

    def start_times(self, concurrent_tasks: int) -> tuple[float | None, float | None]:
        """Returns the seconds from submission until the job began, by two definitions.

        The first is the start of its first task. The second is the start of the last of
        `concurrent_tasks` different tasks of an array, or the time at which all tasks of a gang or
        service were running together. None if it did not happen.
        """
        first_starts: dict[str, float] = {}
        steps: list[tuple[float, int, str]] = []
        for run in filter(self._is_counted, self.runs):
            first_starts[run.task] = min(run.started_at, first_starts.get(run.task, _NEVER))
            steps += [(run.started_at, 1, run.task), (run.ended_at, -1, run.task)]
        if not first_starts:
            return None, None
        starts = sorted(first_starts.values())
        first = starts[0] - self.submitted_at
        if self.spec.kind == "sweep":
            return first, starts[concurrent_tasks - 1] - self.submitted_at if len(
                starts
            ) >= concurrent_tasks else None
        # All tasks of a gang or a service have to run at the same time, not one after the other.
        running: dict[str, int] = {}
        for t, change, task in sorted(steps):
            running[task] = running.get(task, 0) + change
            if not running[task]:
                del running[task]
            if len(running) == self.spec.tasks:
                return first, t - self.submitted_at
        return first, None


class ServedCounter:
    """Processes the events of a history in order and computes what was served."""

    def __init__(self, teams: Iterable[Team], broken_jobs: Collection[str] = ()) -> None:
        """`broken_jobs`: jobs with an error that keeps them from completing; they don't count."""
        self._limits: Mapping[str, tuple[float, float]] = {t.name: t.limits for t in teams}
        self._broken_jobs = broken_jobs
        self._jobs: dict[str, _ServedJob] = {}
        self._current_runs: dict[tuple[str, str], _TaskRun] = {}

    def on_event(self, event: Event) -> None:
        """Processes the next event."""
        name = event.job.partition("/")[0]
        job = self._jobs.get(name)
        if event.kind == "submit" and event.spec is not None and job is None:
            self._jobs[name] = _ServedJob(msgspec.convert(event.spec, Submission), event.t)
        elif job is None:
            return
        elif event.kind == "abort":
            job.cancel_requested_at = min(job.cancel_requested_at, event.t)
        elif event.kind == "on":
            run = _TaskRun(event.job, event.t)
            job.runs.append(run)
            self._current_runs[event.job, event.machine] = run
        elif event.kind == "off":
            ended = self._current_runs.pop((event.job, event.machine), None)
            if ended is not None:
                ended.ended_at, ended.done = event.t, event.text == "done"
        elif event.kind == "answer" and event.about == "submit" and event.status in (400, 422):
            job.is_refused = not job.is_accepted
        elif event.kind == "answer" and event.status in (200, 201):
            job.is_accepted = job.is_accepted or event.about == "submit"
            job.answered_done = job.answered_done or (event.phase == "done" and event.reached_user)

    def result(self, t: float) -> Served:
        """Returns what was served until time t, the end of the day."""
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
            {
                name: served
                for name, group in sorted(groups.items())
                if (served := _summarize(group, t)) is not None
            }
            for groups in (by_class, by_team)
        )
        largest = {name: self._largest(group, t) for name, group in sorted(by_shape.items())}
        return Served(classes, teams, largest, list(_failures(classes, teams, largest)))

    def _largest(self, jobs: list[_ServedJob], t: float) -> LargestJobs:
        sizes = Counter(job.size for job in jobs)
        min_size, count = 0.0, 0
        for size in sorted(sizes, reverse=True):
            # All jobs of one size are included, or none: otherwise some of many small jobs of equal
            # size would be selected arbitrarily, or would hide a few large ones.
            if count and count + sizes[size] > len(jobs) // JOBS_PER_LARGEST_JOB:
                break
            min_size, count = size, count + sizes[size]
        largest_jobs = [job for job in jobs if job.size >= min_size]
        served = _summarize(largest_jobs, t)
        first_starts: list[float] = []
        all_starts: list[float] = []
        late: list[str] = []
        for job in largest_jobs:
            first_start, all_start = job.start_times(self._concurrent_tasks(job.spec))
            if first_start is not None:
                first_starts.append(first_start)
            if all_start is not None:
                all_starts.append(all_start)
            # Jobs with terms are never late: their user may delay them for any time.
            waited_s = (
                min(t, job.cancel_requested_at) - job.submitted_at
                if all_start is None
                else all_start
            )
            if job.spec.terms is None and waited_s > MAX_BEGIN_S:
                late.append(job.spec.id)
        return LargestJobs(
            len(largest_jobs),
            None if served is None else served.served,
            min_size,
            round(max(first_starts), 3) if first_starts else None,
            round(max(all_starts), 3) if all_starts else None,
            sorted(late),
        )

    def _concurrent_tasks(self, spec: Submission) -> int:
        """Returns how many tasks of a job its team's limit allows at once, at least one."""
        max_tasks: float = spec.tasks
        for need, limit in zip(
            (spec.cpus, spec.gpus), self._limits.get(spec.team, (_NEVER, _NEVER)), strict=True
        ):
            if need > 0:
                max_tasks = min(max_tasks, limit / need + 1e-6)
        return max(1, int(max_tasks))


def _summarize(jobs: list[_ServedJob], t: float) -> ServedJobs | None:
    fractions = [fraction for job in jobs if (fraction := job.served(t)) is not None]
    return (
        ServedJobs(len(fractions), round(sum(fractions) / len(fractions), 4)) if fractions else None
    )


def _failures(
    classes: dict[str, ServedJobs], teams: dict[str, ServedJobs], largest: dict[str, LargestJobs]
) -> Iterable[str]:
    for kind, rows in (("class", classes), ("team", teams)):
        for name, row in rows.items():
            if row.served < MIN_SERVED_FRACTION:
                yield f"{kind} {name}: {row.served:.3f} of {row.jobs} jobs served"
    for name, group in largest.items():
        if group.served is not None and group.served < MIN_SERVED_FRACTION:
            yield f"largest of {name}: {group.served:.3f} of {group.jobs} jobs served"
        if group.late:
            late = ", ".join(group.late)
            yield f"largest of {name}: not begun within {MAX_BEGIN_S:.0f} s: {late}"
