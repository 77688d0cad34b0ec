"""Rules for tasks on machines: each runs once, where and when it may, within the team's limit."""

from __future__ import annotations

from collections import Counter, defaultdict

from badgerseam.lab.history import Event
from badgerseam.lab.job_terms import find_violated_term
from badgerseam.lab.judged_history import JudgedHistory, JudgedJob, RuleContext, job_of
from badgerseam.model.resources import NOTHING, Resources
from badgerseam.wire.users import Submission

CLOCK_TOLERANCE_S = 0.1
"""Seconds by which the clocks of processes on one host may appear to differ."""


class TaskRules:
    """Checks each start of a task, and that the tasks of cancelled jobs stop in time."""

    def __init__(self, context: RuleContext, history: JudgedHistory) -> None:
        self._context = context
        self._history = history
        self._machines: dict[str, Event] = {}
        self._usage: dict[str, Resources] = defaultdict(lambda: NOTHING)
        """The resources of running tasks, by team."""
        self._limits = {team.name: Resources(*team.limits, float("inf")) for team in context.teams}
        self._zones: dict[str, Counter[str]] = defaultdict(Counter)
        """By job, the number of its running tasks in each zone."""
        self.starts = 0
        self.starts_after_cancellation = 0

    def on_machine(self, event: Event) -> None:
        """Records a rented machine."""
        self._machines[event.machine] = event

    def check_cancel_deadlines(self, event: Event) -> None:
        """Checks that no task of a cancelled job is on a machine after its deadline."""
        deadlines = self._history.cancel_deadlines
        for job, deadline in list(deadlines.items()):
            if event.t <= deadline:
                continue
            del deadlines[job]
            running = self._history.running_tasks(job)
            if running:
                text = f"still on a machine {self._context.cancel_s} s after the cancellation"
                self._history.add_violation(event, "ran_cancelled", running[0], text)

    def on_start(self, event: Event) -> None:
        """Checks the start of a task on a machine."""
        self.starts += 1
        name = job_of(event.job)
        self._check_runs_once(event)
        self._history.task_machines[event.job][event.machine] = event.attempt
        self._history.started_jobs.add(name)
        job = self._history.jobs.get(name)
        if job is None:
            text = "started, but its job was never submitted"
            self._history.add_violation(event, "invented", event.job, text)
            return
        self._check_cancellation(event, job)
        job.running_tasks += 1
        self._check_terms(event, job)
        self._check_placement(event, job)
        self._check_quota(event, job.spec)

    def on_stop(self, event: Event) -> None:
        """Records that a task has ended on its machine."""
        if self._history.task_machines[event.job].pop(event.machine, None) is None:
            return
        name = job_of(event.job)
        job = self._history.jobs.get(name)
        if job is None:
            return
        job.running_tasks -= 1
        if event.text == "done":
            job.done_tasks.add(int(event.job.rpartition("/")[2]))
        team = job.spec.team
        self._usage[team] = self._usage[team].minus(_task_resources(job.spec))
        machine = self._machines.get(event.machine)
        if machine is not None:
            self._zones[name][machine.zone] -= 1

    def _check_runs_once(self, event: Event) -> None:
        machines = self._history.task_machines[event.job]
        others = [machine for machine in machines if machine != event.machine]
        if others:
            text = f"started on {event.machine} while running on {others[0]}"
            self._history.add_violation(event, "ran_twice", event.job, text)

    def _check_cancellation(self, event: Event, job: JudgedJob) -> None:
        if job.cancelled_at is None:
            return
        self.starts_after_cancellation += 1
        deadline = job.cancelled_at + self._context.cancel_s
        if event.t > deadline:
            text = f"started more than {self._context.cancel_s} s after the cancellation"
            self._history.add_violation(event, "ran_cancelled", event.job, text)
        else:
            self._history.cancel_deadlines.setdefault(job_of(event.job), deadline)

    def _check_terms(self, event: Event, job: JudgedJob) -> None:
        wall_time = self._context.began_at + (event.t + CLOCK_TOLERANCE_S)
        text = find_violated_term(self._history, job, wall_time)
        if text:
            self._history.add_violation(event, "broke_terms", event.job, text)

    def _check_placement(self, event: Event, job: JudgedJob) -> None:
        machine = self._machines.get(event.machine)
        if machine is None:
            return
        zones = self._zones[job_of(event.job)]
        text = find_placement_error(job.spec, machine, +zones)
        if text:
            text = f"{event.machine}: {text}"
            self._history.add_violation(event, "wrong_place", event.job, text)
        zones[machine.zone] += 1

    def _check_quota(self, event: Event, spec: Submission) -> None:
        self._usage[spec.team] = usage = self._usage[spec.team].plus(_task_resources(spec))
        limit = self._limits.get(spec.team)
        if limit is not None and not usage.fits_in(limit):
            text = (
                f"{usage.cpus:g} of {limit.cpus:g} CPUs, "
                f"{usage.gpus:g} of {limit.gpus:g} accelerators"
            )
            self._history.add_violation(event, "quota", spec.team, text)


def find_placement_error(spec: Submission, machine: Event, zones: Counter[str]) -> str:
    """Returns why a task must not start on a machine; empty if it may.

    `machine` is the event of the machine's rental; `zones` counts the job's other running tasks by
    zone.
    """
    if spec.types is not None and machine.type not in spec.types:
        return f"type {machine.type} is not among the allowed types"
    if spec.zone is not None and machine.zone != spec.zone:
        return f"zone {machine.zone} instead of {spec.zone}"
    if machine.spot and not spec.spot:
        return "a spot machine, which the job does not allow"
    if spec.one_zone and any(zone != machine.zone for zone in zones):
        return f"zone {machine.zone}, but other tasks of the job are in another zone"
    if spec.spread and zones[machine.zone] + 1 > (spec.tasks + 1) // 2:
        return f"more than half of the tasks are in zone {machine.zone}"
    return ""


def _task_resources(spec: Submission) -> Resources:
    return Resources(spec.cpus, spec.gpus, spec.memory_gb)
