"""Detects jobs left waiting although a free machine fits them and their team is below its limit.

Whether a task fits is decided by the planner itself (`sched/pts.py`) on a snapshot derived from the
history: waiting jobs are placed in the planner's order, a gang with all of its tasks at once, and
nothing is evicted. Resources count as free once they have been free for `STABLE_CHECKS` checks.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from badgerseam.lab.history import Event
from badgerseam.model.job import HIGH_RANK, RANKS
from badgerseam.model.resources import NOTHING, Resources
from badgerseam.sched import pts
from badgerseam.sched.snapshot import MachineSnapshot, Request, Snapshot, TeamUse
from badgerseam.settings import Team
from badgerseam.wire.cloud import MachineType
from badgerseam.wire.users import Submission

MAX_WAIT_S = 90.0
"""Seconds for which a job may wait while resources are free and no injected fault is active."""
CHECK_PERIOD_S = 1.0
"""Seconds between checks."""
STABLE_CHECKS = 5
"""The number of consecutive checks at which resources have to be free to count as free."""


class StartableTasks(NamedTuple):
    """The tasks of a job that wait and may start now."""

    spec: Submission
    position: int
    """The job's index in the order of submission."""
    tasks: int


@dataclass(slots=True)
class _ObservedMachine:
    rental: Event
    total: Resources
    is_usable: bool = False
    """Whether the machine has booted and no injected fault has made it permanently unfit."""
    task_resources: dict[str, Resources] = field(default_factory=dict)
    free_history: deque[Resources] = field(default_factory=lambda: deque(maxlen=STABLE_CHECKS))
    """The free resources at the latest checks, the latest one last."""

    def record_free_resources(self) -> None:
        """Records the resources that are free now."""
        free = self.total
        for need in self.task_resources.values():
            free = free.minus(need)
        self.free_history.append(free)


class WaitingDetector:
    """Tracks machines and their tasks, and checks once a second which jobs are left waiting."""

    def __init__(self, teams: Collection[Team], types: Collection[MachineType]) -> None:
        """`types` has the resources of each machine type; machines of other types are ignored."""
        self._team_indexes = {team.name: index for index, team in enumerate(teams)}
        self._quotas = [
            (Resources(t.cpus, t.gpus, float("inf")), Resources(*t.limits, float("inf")))
            for t in teams
        ]
        self._capacities = {t.name: Resources(t.cpus, t.gpus, t.memory_gb) for t in types}
        self._machines: dict[str, _ObservedMachine] = {}
        self._task_machines: dict[str, dict[str, str]] = {}
        """By job, the machine of each launched task."""
        self._team_usage: dict[str, Resources] = {}
        self._waiting_since: dict[str, float] = {}
        """By job, the time since which it could have started a task while none was launched."""
        self._last_startable_at: dict[str, float] = {}
        """By job, the latest check at which it could have started a task on resources that had been
        free for `STABLE_CHECKS` checks."""
        self.below_limit_s: dict[str, float] = {}
        """By team, the seconds for which one more waiting task fitted the team's limit and a
        machine whose resources had been free for `STABLE_CHECKS` checks, while no injected fault
        was active."""

    def on_event(self, event: Event, spec: Submission | None) -> None:
        """Processes the next event; `spec` is the submission of its job, if any."""
        if event.kind == "machine" and event.type in self._capacities:
            self._machines[event.machine] = _ObservedMachine(event, self._capacities[event.type])
        elif event.kind == "gone":
            self._machines.pop(event.machine, None)
        elif event.kind in ("up", "unfit") and event.machine in self._machines:
            self._machines[event.machine].is_usable = event.kind == "up"
        elif event.kind == "trouble":
            self._waiting_since.clear()
        elif spec is not None and event.kind in ("launch", "on"):
            self._on_launch(event, spec)
        elif spec is not None and event.kind in ("drop", "off"):
            self._on_removal(event, spec)

    def _on_launch(self, event: Event, spec: Submission) -> None:
        self._waiting_since.pop(spec.id, None)
        task_machines = self._task_machines.setdefault(spec.id, {})
        if task_machines.get(event.job) == event.machine:
            return
        task_machines[event.job] = event.machine
        need = _task_resources(spec)
        self._team_usage[spec.team] = self._team_usage.get(spec.team, NOTHING).plus(need)
        machine = self._machines.get(event.machine)
        if machine is not None:
            machine.task_resources[event.job] = need

    def _on_removal(self, event: Event, spec: Submission) -> None:
        task_machines = self._task_machines.get(spec.id, {})
        if task_machines.get(event.job) != event.machine:
            return
        del task_machines[event.job]
        self._team_usage[spec.team] = self._team_usage[spec.team].minus(_task_resources(spec))
        machine = self._machines.get(event.machine)
        if machine is not None:
            machine.task_resources.pop(event.job, None)

    def launched_tasks(self, job: str) -> int:
        """Returns how many tasks of a job are on machines, including those that wait for images."""
        return len(self._task_machines.get(job, ()))

    def check(self, t: float, startable: Mapping[str, StartableTasks]) -> list[str]:
        """Returns the jobs that have been left waiting for `MAX_WAIT_S` at time t.

        `startable` has the jobs with waiting tasks. Has to be called every `CHECK_PERIOD_S`. A job
        that keeps waiting is returned again after another `MAX_WAIT_S`.
        """
        for machine in self._machines.values():
            machine.record_free_resources()
        found = self._startable_jobs(t, startable, STABLE_CHECKS) if startable else set()
        self._last_startable_at |= dict.fromkeys(found, t)
        for team in {startable[job].spec.team for job in found}:
            self.below_limit_s[team] = self.below_limit_s.get(team, 0.0) + CHECK_PERIOD_S
        if self._waiting_since.keys() - found:
            # If some resources were freed as others were taken, the job could have started all the
            # time, although no resources were free for `STABLE_CHECKS` checks.
            found |= self._startable_recently(t) & self._startable_jobs(t, startable, 1)
        self._waiting_since = {job: self._waiting_since.get(job, t) for job in found}
        overdue = sorted(
            job for job, since in self._waiting_since.items() if t - since >= MAX_WAIT_S
        )
        for job in overdue:
            del self._waiting_since[job]
        return overdue

    def _startable_recently(self, t: float) -> set[str]:
        """Returns the waiting jobs that could have started a task shortly before time t."""
        stable_s = STABLE_CHECKS * CHECK_PERIOD_S
        return {job for job in self._waiting_since if t - self._last_startable_at[job] < stable_s}

    def _startable_jobs(
        self, t: float, startable: Mapping[str, StartableTasks], checks: int
    ) -> set[str]:
        """Returns the jobs of which a plan would start a task on resources that were free at each
        of the latest `checks` checks."""
        machines = [
            _machine_snapshot(number, machine, list(machine.free_history)[-checks:])
            for number, machine in enumerate(self._machines.values())
            if machine.is_usable and len(machine.free_history) >= checks
        ]
        if not machines:
            return set()
        teams = {
            index: TeamUse(self._team_usage.get(name, NOTHING), *self._quotas[index])
            for name, index in self._team_indexes.items()
        }
        names = [name for name, tasks in startable.items() if tasks.spec.team in self._team_indexes]
        requests = [self._request(number, startable[name]) for number, name in enumerate(names)]
        snapshot = Snapshot(machines, requests, teams, 1, 0, 0.0, 1.0, t)
        return {names[start.job] for start in pts.plan(snapshot, evict=False).starts}

    def _request(self, number: int, startable: StartableTasks) -> Request:
        spec = startable.spec
        zones: dict[str, int] = {}
        for name in self._task_machines.get(spec.id, {}).values():
            machine = self._machines.get(name)
            if machine is not None:
                zones[machine.rental.zone] = zones.get(machine.rental.zone, 0) + 1
        rank = RANKS[spec.priority]
        return Request(
            number,
            startable.tasks,
            _task_resources(spec),
            rank,
            rank >= HIGH_RANK,
            self._team_indexes[spec.team],
            None if spec.types is None else frozenset(spec.types),
            spec.zone,
            spec.one_zone,
            (spec.tasks + 1) // 2 if spec.spread else None,
            spec.spot,
            spec.image,
            zones,
            set(),
            startable.position,
            spec.kind == "group",
            queue_position=startable.position,
        )


def _task_resources(spec: Submission) -> Resources:
    return Resources(spec.cpus, spec.gpus, spec.memory_gb)


def _machine_snapshot(
    number: int, machine: _ObservedMachine, free: list[Resources]
) -> MachineSnapshot:
    rental = machine.rental
    least = Resources(*(min(amounts) for amounts in zip(*free, strict=True)))
    return MachineSnapshot(
        number, rental.type, rental.zone, rental.spot, machine.total, least, 0.0, 0.0, 0, set()
    )


def find_unsatisfiable_requirement(
    spec: Submission, teams: Collection[Team], types: Collection[MachineType]
) -> str:
    """Returns why a job can never run by the users' protocol; empty if it can."""
    team = next((team for team in teams if team.name == spec.team), None)
    if team is None:
        return "unknown team"
    need = _task_resources(spec)
    fitting = [
        t
        for t in types
        if (spec.types is None or t.name in spec.types)
        and (spec.zone is None or spec.zone in t.zones)
        and need.fits_in(Resources(t.cpus, t.gpus, t.memory_gb))
    ]
    if not fitting:
        return "fits no machine type"
    at_once = 1 if spec.kind == "sweep" else spec.tasks
    if not need.times(at_once).fits_in(Resources(*team.limits, float("inf"))):
        return "exceeds its team's limit"
    return ""
