"""Starts of lower-class work past higher-class work that waited for that very room.

Judged by what machines held and users were told, whatever the service calls its classes. A launch
counts as a jump if work of a class in front of it

- was accepted before it (`IN_FLIGHT_S` before: the launch itself is that long under way), is not
  cancelled, has tasks that are on no machine, and no terms of its user's own;
- is of the same or a higher rank: across ranks, rank decides;
- was placeable in the room that the launch took: type, zone, kind of machine, the other tasks'
  zones, free processors, accelerators and memory, and the limit of its team;
- had no weaker claim: what a team runs within its guarantee is no jump over work beyond another's.

Left out: gangs of several tasks, which one machine's room does not place; and tasks that were
stopped or lost, until `requeue_s` after that, since controllers learn late that a machine is gone.
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
"""From a plan to the launch on the machine: a write, and a message to a worker."""
_NO_LIMIT = Resources(float("inf"), float("inf"), float("inf"))


class PriorityInversion(Struct, frozen=True):
    """One launch past others. Times in seconds."""

    t: float
    task: str
    machine: str
    over: str
    """The job that has waited longest of those it went past."""
    waited_s: float

    def __str__(self) -> str:
        return (
            f"{self.t:9.3f} s  jump: {self.task} to {self.machine}, past {self.over} that had "
            f"waited for {self.waited_s:.1f} s"
        )


@dataclass(slots=True)
class _PrioritizedJob:
    spec: Submission
    accepted_at: float | None = None
    cancelled: bool = False
    done: set[str] = field(default_factory=set)
    known: set[str] = field(default_factory=set)
    """Tasks that were ever launched."""
    held: dict[str, str] = field(default_factory=dict)
    """Tasks on machines, with the machine's zone."""
    lost: dict[str, float] = field(default_factory=dict)
    """Tasks stopped or lost, by the time from which they count as waiting."""

    @property
    def need(self) -> Resources:
        return Resources(self.spec.cpus, self.spec.gpus, self.spec.memory_gb)

    def waited_s(self, t: float) -> float | None:
        """How long a task of it has been waiting; None if none is."""
        spec = self.spec
        if self.accepted_at is None or self.cancelled or spec.terms is not None:
            return None
        if spec.kind == "group" and spec.tasks > 1:
            return None
        if len(self.known) < spec.tasks:
            return t - self.accepted_at
        since = min(self.lost.values(), default=t)
        return t - since if since < t else None


class InversionDetector:
    """Takes the events of a history in order; what it found is in `found`."""

    def __init__(
        self,
        order: Sequence[str],
        teams: Collection[Team],
        machines: Mapping[str, Resources],
        requeue_s: float,
    ) -> None:
        """`order`: job classes, the first one first; `machines`: the room of each type, empty."""
        self._place = {name: place for place, name in enumerate(order)}
        self._limits = {t.name: Resources(*t.limits, float("inf")) for t in teams}
        self._guaranteed = {t.name: Resources(t.cpus, t.gpus, float("inf")) for t in teams}
        self._total = machines
        self._requeue_s = requeue_s
        self._jobs: dict[str, _PrioritizedJob] = {}
        self._open: list[dict[str, _PrioritizedJob]] = [{} for _ in order]
        """By place: jobs that may have waiting tasks."""
        self._machines: dict[str, Event] = {}
        self._on: dict[str, dict[str, Resources]] = defaultdict(dict)
        self._used: dict[str, Resources] = defaultdict(lambda: NOTHING)
        self.found: list[PriorityInversion] = []

    def on_event(self, event: Event) -> None:
        """Look at the next event."""
        name = event.job.partition("/")[0]
        job = self._jobs.get(name)
        if event.kind == "machine":
            self._machines[event.machine] = event
        elif event.kind == "submit" and event.spec is not None and job is None:
            job = self._jobs[name] = _PrioritizedJob(msgspec.convert(event.spec, Submission))
            place = self._place.get(job.spec.job_class)
            if place is not None:
                self._open[place][name] = job
        elif job is None:
            return
        elif event.kind == "abort":
            job.cancelled = True
            self._close(name, job)
        elif event.kind == "answer" and event.about == "submit" and event.status in (200, 201):
            job.accepted_at = event.t if job.accepted_at is None else job.accepted_at
        elif event.kind == "launch":
            self._launch(event, job)
        elif event.kind in ("off", "drop"):
            self._free(event, job)

    def _close(self, name: str, job: _PrioritizedJob) -> None:
        place = self._place.get(job.spec.job_class)
        if place is not None:
            self._open[place].pop(name, None)

    def _launch(self, event: Event, job: _PrioritizedJob) -> None:
        machine = self._machines.get(event.machine)
        if machine is None:
            return
        past = self._past(event.t, job, machine)
        if past is not None:
            over, waited_s = past
            self.found.append(
                PriorityInversion(
                    event.t, event.job, event.machine, over.spec.id, round(waited_s, 2)
                )
            )
        self._on[event.machine][event.job] = job.need
        self._used[job.spec.team] = self._used[job.spec.team].plus(job.need)
        job.known.add(event.job)
        job.held[event.job] = machine.zone
        job.lost.pop(event.job, None)

    def _free(self, event: Event, job: _PrioritizedJob) -> None:
        if self._on[event.machine].pop(event.job, None) is None:
            return
        self._used[job.spec.team] = self._used[job.spec.team].minus(job.need)
        job.held.pop(event.job, None)
        if event.text == "done":
            job.done.add(event.job)
            if len(job.done) == job.spec.tasks:
                self._close(job.spec.id, job)
        else:
            job.lost[event.job] = event.t + self._requeue_s

    def _past(
        self, t: float, job: _PrioritizedJob, machine: Event
    ) -> tuple[_PrioritizedJob, float] | None:
        """The job that has waited longest of those that a launch goes past."""
        place = self._place.get(job.spec.job_class)
        if place is None:
            return None
        room = self._total[machine.type]
        for need in self._on[machine.machine].values():
            room = room.minus(need)
        worst: tuple[_PrioritizedJob, float] | None = None
        for ahead in self._open[:place]:
            for other in ahead.values():
                waited_s = other.waited_s(t)
                if waited_s is None or waited_s <= IN_FLIGHT_S:
                    continue
                if (worst is None or waited_s > worst[1]) and self._fits(other, job, machine, room):
                    worst = other, waited_s
        return worst

    def _fits(
        self, other: _PrioritizedJob, job: _PrioritizedJob, machine: Event, room: Resources
    ) -> bool:
        """Whether a job that waits could have had the room, and before this one."""
        spec, need = other.spec, other.need
        if RANKS[spec.priority] < RANKS[job.spec.priority] or not need.fits_in(room):
            return False
        if (
            (spec.types is not None and machine.type not in spec.types)
            or (spec.zone is not None and spec.zone != machine.zone)
            or (machine.spot and not spec.spot)
        ):
            return False
        if spec.one_zone and any(zone != machine.zone for zone in other.held.values()):
            return False
        if spec.spread:
            there = sum(zone == machine.zone for zone in other.held.values())
            if there + 1 > (spec.tasks + 1) // 2:
                return False
        with_it = self._used[spec.team].plus(need)
        if not with_it.fits_in(self._limits.get(spec.team, _NO_LIMIT)):
            return False
        own = self._used[job.spec.team].plus(job.need)
        return not (
            spec.team != job.spec.team
            and own.fits_in(self._guaranteed.get(job.spec.team, NOTHING))
            and not with_it.fits_in(self._guaranteed.get(spec.team, NOTHING))
        )


def find_inversions(
    events: Iterable[Event],
    order: Sequence[str],
    teams: Collection[Team],
    machines: Mapping[str, Resources],
    requeue_s: float,
) -> list[PriorityInversion]:
    """All jumps of a history; arguments as for `Jumps`."""
    jumps = InversionDetector(order, teams, machines, requeue_s)
    if order:
        for event in events:
            jumps.on_event(event)
    return jumps.found
