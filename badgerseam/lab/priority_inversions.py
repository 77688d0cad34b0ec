"""Detects launches of lower-class tasks on resources for which a higher-class job waited.

Detection relies only on what ran on machines and what users were told, whatever class the service
itself assigns to a job. A launch is a priority inversion if a job of a higher class

- was accepted more than `IN_FLIGHT_S` before the launch (the time that the launch itself takes), is
  not cancelled, has tasks that are on no machine, and has no terms;
- is of the same or a higher rank: across ranks, rank decides;
- could have used the resources that the launch took: machine type, zone, spot or not, the zones of
  its other tasks, free CPUs, accelerators and memory, and the limit of its team;
- has no weaker entitlement: a launch within its team's guarantee is not an inversion relative to a
  job of another team beyond that team's guarantee.

Two cases are excluded: gangs of several tasks, because the resources of one machine don't decide
whether a gang can start; and tasks that were stopped or lost, until `requeue_s` after that, because
controllers detect the loss of a machine late.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

import msgspec
from msgspec import Struct

from badgerseam.lab.history import Event
from badgerseam.model.job import RANKS
from badgerseam.model.resources import NOTHING, Resources
from badgerseam.settings import Team
from badgerseam.wire.users import Submission

IN_FLIGHT_S = 1.0
"""Seconds from a plan to the launch on the machine, for a write and a message to a worker."""
_NO_LIMIT = Resources(float("inf"), float("inf"), float("inf"))


class PriorityInversion(Struct, frozen=True):
    """A launch ahead of a waiting higher-class job. Times are in seconds."""

    t: float
    task: str
    machine: str
    over: str
    """The job that had waited longest of those that the launch was ahead of."""
    waited_s: float

    def __str__(self) -> str:
        return (
            f"{self.t:9.3f} s  priority inversion: {self.task} launched on {self.machine} ahead of "
            f"{self.over}, which had waited for {self.waited_s:.1f} s"
        )


@dataclass(slots=True)
class _PrioritizedJob:
    spec: Submission
    accepted_at: float | None = None
    cancelled: bool = False
    done: set[str] = field(default_factory=set)
    launched: set[str] = field(default_factory=set)
    """The tasks that have ever been launched."""
    task_zones: dict[str, str] = field(default_factory=dict)
    """The zone of the machine, by task that is on one."""
    requeued_at: dict[str, float] = field(default_factory=dict)
    """The time from which a stopped or lost task counts as waiting, by task."""

    @property
    def need(self) -> Resources:
        return Resources(self.spec.cpus, self.spec.gpus, self.spec.memory_gb)

    def waited_s(self, t: float) -> float | None:
        """Returns how many seconds a task of the job has been waiting; None if none is."""
        spec = self.spec
        if self.accepted_at is None or self.cancelled or spec.terms is not None:
            return None
        if spec.kind == "group" and spec.tasks > 1:
            return None
        if len(self.launched) < spec.tasks:
            return t - self.accepted_at
        since = min(self.requeued_at.values(), default=t)
        return t - since if since < t else None


class InversionDetector:
    """Processes the events of a history in order and collects priority inversions in `found`."""

    def __init__(
        self,
        class_order: Sequence[str],
        teams: Collection[Team],
        capacities: Mapping[str, Resources],
        requeue_s: float,
    ) -> None:
        """`class_order` has the job classes, the highest first; `capacities` the total resources of
        each machine type. `requeue_s` is the time until a stopped or lost task counts as waiting.
        """
        self._class_index = {name: index for index, name in enumerate(class_order)}
        self._limits = {t.name: Resources(*t.limits, float("inf")) for t in teams}
        self._guaranteed = {t.name: Resources(t.cpus, t.gpus, float("inf")) for t in teams}
        self._capacities = capacities
        self._requeue_s = requeue_s
        self._jobs: dict[str, _PrioritizedJob] = {}
        self._open_jobs: list[dict[str, _PrioritizedJob]] = [{} for _ in class_order]
        """By class, in order: the jobs that may have waiting tasks."""
        self._machines: dict[str, Event] = {}
        self._task_resources: dict[str, dict[str, Resources]] = defaultdict(dict)
        self._usage: dict[str, Resources] = defaultdict(lambda: NOTHING)
        self.found: list[PriorityInversion] = []

    def on_event(self, event: Event) -> None:
        """Processes the next event."""
        name = event.job.partition("/")[0]
        job = self._jobs.get(name)
        if event.kind == "machine":
            self._machines[event.machine] = event
        elif event.kind == "submit" and event.spec is not None and job is None:
            job = self._jobs[name] = _PrioritizedJob(msgspec.convert(event.spec, Submission))
            index = self._class_index.get(job.spec.job_class)
            if index is not None:
                self._open_jobs[index][name] = job
        elif job is None:
            return
        elif event.kind == "abort":
            job.cancelled = True
            self._remove_open(name, job)
        elif event.kind == "answer" and event.about == "submit" and event.status in (200, 201):
            job.accepted_at = event.t if job.accepted_at is None else job.accepted_at
        elif event.kind == "launch":
            self._on_launch(event, job)
        elif event.kind in ("off", "drop"):
            self._on_removal(event, job)

    def _remove_open(self, name: str, job: _PrioritizedJob) -> None:
        index = self._class_index.get(job.spec.job_class)
        if index is not None:
            self._open_jobs[index].pop(name, None)

    def _on_launch(self, event: Event, job: _PrioritizedJob) -> None:
        machine = self._machines.get(event.machine)
        if machine is None:
            return
        longest = self._longest_waiting(event.t, job, machine)
        if longest is not None:
            over, waited_s = longest
            self.found.append(
                PriorityInversion(
                    event.t, event.job, event.machine, over.spec.id, round(waited_s, 2)
                )
            )
        self._task_resources[event.machine][event.job] = job.need
        self._usage[job.spec.team] = self._usage[job.spec.team].plus(job.need)
        job.launched.add(event.job)
        job.task_zones[event.job] = machine.zone
        job.requeued_at.pop(event.job, None)

    def _on_removal(self, event: Event, job: _PrioritizedJob) -> None:
        if self._task_resources[event.machine].pop(event.job, None) is None:
            return
        self._usage[job.spec.team] = self._usage[job.spec.team].minus(job.need)
        job.task_zones.pop(event.job, None)
        if event.text == "done":
            job.done.add(event.job)
            if len(job.done) == job.spec.tasks:
                self._remove_open(job.spec.id, job)
        else:
            job.requeued_at[event.job] = event.t + self._requeue_s

    def _longest_waiting(
        self, t: float, job: _PrioritizedJob, machine: Event
    ) -> tuple[_PrioritizedJob, float] | None:
        """Returns the longest-waiting job that a launch is ahead of, and the seconds it waited."""
        index = self._class_index.get(job.spec.job_class)
        if index is None:
            return None
        free = self._capacities[machine.type]
        for need in self._task_resources[machine.machine].values():
            free = free.minus(need)
        longest: tuple[_PrioritizedJob, float] | None = None
        for jobs in self._open_jobs[:index]:
            for other in jobs.values():
                waited_s = other.waited_s(t)
                if waited_s is None or waited_s <= IN_FLIGHT_S:
                    continue
                if (longest is None or waited_s > longest[1]) and self._has_precedence(
                    other, job, machine, free
                ):
                    longest = other, waited_s
        return longest

    def _has_precedence(
        self, other: _PrioritizedJob, job: _PrioritizedJob, machine: Event, free: Resources
    ) -> bool:
        """Whether the waiting job `other` fits the resources and has precedence over `job`."""
        spec, need = other.spec, other.need
        if RANKS[spec.priority] < RANKS[job.spec.priority] or not need.fits_in(free):
            return False
        if (
            (spec.types is not None and machine.type not in spec.types)
            or (spec.zone is not None and spec.zone != machine.zone)
            or (machine.spot and not spec.spot)
        ):
            return False
        if spec.one_zone and any(zone != machine.zone for zone in other.task_zones.values()):
            return False
        if spec.spread:
            in_zone = sum(zone == machine.zone for zone in other.task_zones.values())
            if in_zone + 1 > (spec.tasks + 1) // 2:
                return False
        usage_with_other = self._usage[spec.team].plus(need)
        if not usage_with_other.fits_in(self._limits.get(spec.team, _NO_LIMIT)):
            return False
        usage_with_job = self._usage[job.spec.team].plus(job.need)
        return not (
            spec.team != job.spec.team
            and usage_with_job.fits_in(self._guaranteed.get(job.spec.team, NOTHING))
            and not usage_with_other.fits_in(self._guaranteed.get(spec.team, NOTHING))
        )


def find_inversions(
    events: Iterable[Event],
    class_order: Sequence[str],
    teams: Collection[Team],
    capacities: Mapping[str, Resources],
    requeue_s: float,
) -> list[PriorityInversion]:
    """Returns all priority inversions of a history; arguments as for `InversionDetector`."""
    detector = InversionDetector(class_order, teams, capacities, requeue_s)
    if class_order:
        for event in events:
            detector.on_event(event)
    return detector.found
