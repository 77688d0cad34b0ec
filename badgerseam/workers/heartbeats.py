"""Applies heartbeats to machines and their attempts."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field

from badgerseam.model.job import HIGH_RANK, Attempt, Job, Phase, Stage
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.model.resources import NOTHING, Resources, sum_of
from badgerseam.tunables import Tunables
from badgerseam.wire import workers as wire
from badgerseam.workers import fault_attribution
from badgerseam.workers.command_history import CommandHistory
from badgerseam.workers.inherited_evictions import repeat_evictions

log = logging.getLogger("badgerseam.workers")

EXITED = "exited"
"""State of a task that is no longer active on its worker."""
DONE = "done"
"""Exit reason of a completed task."""
TASK_ERROR = "error"
"""Exit reason of a task that failed on its own, without being stopped."""
NOT_STARTED_REASONS = ("no_such", "full", "in_use")
"""Exit reasons of a task that its worker could not start."""

_STAGES = {"fetching": Stage.FETCHING, "running": Stage.RUNNING, "saving": Stage.CHECKPOINTING}


def position_of(heartbeat: wire.Heartbeat) -> tuple[int, int]:
    """Returns incarnation and sequence number, which order the heartbeats of a worker."""
    return heartbeat.incarnation, heartbeat.sequence


@dataclass(slots=True)
class _MatchedTasks:
    """The tasks of a heartbeat, matched with the attempts on record."""

    attempts: set[tuple[int, int]] = field(default_factory=set)
    """Job index and task index of each attempt that was found."""
    untracked_use: dict[int, Resources] = field(default_factory=dict)
    """Resources used by active tasks without an attempt, by team."""


class HeartbeatProcessor:
    """Updates machines and their attempts from heartbeats. Callers must hold the model's lock."""

    def __init__(self, model: Model, tunables: Tunables, history: CommandHistory) -> None:
        self._model = model
        self._history = history
        self._clock = model.clock
        self._tunables = tunables

    def apply(self, machine: Machine, heartbeat: wire.Heartbeat, direct: bool) -> bool:
        """Applies a heartbeat; returns False if it is not newer than the last one applied.

        `direct`: whether it answers a direct command or an inspection; a response with launches may
        then still be on its way to the worker. Otherwise `Machine.is_verified_heartbeat` must hold
        for it.
        """
        if position_of(heartbeat) <= machine.heartbeat_position:
            # The heartbeat was delayed, so its task list is outdated.
            return False
        now = self._clock.now()
        is_first = machine.incarnation == 0
        _update_machine(machine, heartbeat, now)
        matched = self._apply_statuses(machine, heartbeat, now)
        machine.reported_tasks = {status.task: status for status in heartbeat.tasks}
        self._set_untracked_use(machine, matched.untracked_use)
        if not (direct and machine.response_open):
            self._apply_absences(machine, heartbeat, matched.attempts)
        if is_first:
            repeat_evictions(self._model, machine, now)
        return True

    def apply_completions(self, machine: Machine, heartbeat: wire.Heartbeat) -> None:
        """Applies only completions, which hold however late a heartbeat arrives."""
        for status in heartbeat.tasks:
            if status.state != EXITED or status.exit_reason != DONE:
                continue
            found = self._model.find_task(status.task)
            attempt = None if found is None else _unfinished_attempt(machine, *found, status)
            if attempt is None or attempt.stage == Stage.PLANNED:
                continue
            if attempt.job.phase == Phase.OPEN:
                self._apply_exit(machine, attempt, status, self._clock.now())

    def _apply_statuses(
        self, machine: Machine, heartbeat: wire.Heartbeat, now: float
    ) -> _MatchedTasks:
        """Applies the status of each reported task to its attempt."""
        matched = _MatchedTasks()
        for status in heartbeat.tasks:
            found = self._model.find_task(status.task)
            if found is None:
                if status.state != EXITED:
                    self._history.on_untracked_task(machine, status)
                continue
            job, task = found
            attempt = _unfinished_attempt(machine, job, task, status)
            if attempt is not None:
                matched.attempts.add((job.index, task))
                self._apply_status(machine, attempt, status, now)
            elif status.state != EXITED:
                self._history.on_untracked_task(machine, status)
                team_use = matched.untracked_use.get(job.team, NOTHING)
                matched.untracked_use[job.team] = team_use.plus(job.demand)
        return matched

    def _set_untracked_use(self, machine: Machine, use_by_team: dict[int, Resources]) -> None:
        """Sets the resources that attempts without a record use on a machine, by team."""
        if use_by_team == machine.untracked_use_by_team:
            return
        machine.untracked_use_by_team = use_by_team
        machine.untracked_use = sum_of(use_by_team.values())
        machine.cached_snapshot = None
        if use_by_team:
            self._model.machines_with_untracked_use.add(machine.index)

    def _apply_absences(
        self, machine: Machine, heartbeat: wire.Heartbeat, present: set[tuple[int, int]]
    ) -> None:
        """Handles attempts that a heartbeat sent after their last launch does not list."""
        is_settled = machine.settles_commands(heartbeat.fencing_token, heartbeat.incarnation)
        may_repeat_launches = machine.may_repeat_launches(
            heartbeat.fencing_token, heartbeat.incarnation
        )
        position = position_of(heartbeat)
        for key, attempt in list(machine.attempts.items()):
            if key in present or attempt.finishing or attempt.stage == Stage.PLANNED:
                continue
            if attempt.sending or position <= attempt.sent_at_heartbeat:
                continue
            attempt.sent = False
            # If the attempt runs again, it starts from the beginning.
            attempt.started_at = 0.0
            if not is_settled:
                # A launch with an older token may still be in flight: nothing is concluded.
                continue
            if attempt.launched and may_repeat_launches:
                # A copy of the launch would start the attempt, wherever its task is by then.
                if not machine.command_in_flight:
                    machine.fence_launches()
                continue
            self._apply_absence(machine, attempt)

    def _apply_absence(self, machine: Machine, attempt: Attempt) -> None:
        """Handles an attempt that is certainly not on its machine and has no launch in flight."""
        attempt.job.on_launch_undone(attempt)
        if attempt.stage >= Stage.FETCHING:
            # The attempt was on the machine and is gone without an exit status: the incarnation it
            # ran in has ended.
            attempt.stage = Stage.PLACED
            machine.cached_snapshot = None
            attempt.job.mark_changed(attempt.task)
        is_unfit = (
            machine.draining
            or machine.is_probably_unreachable
            or machine.incarnation_without_heartbeats
        )
        if attempt.stopping or is_unfit:
            # If the attempt stayed here, each response would carry its launch again, and the launch
            # would be undone each time, without end.
            self._model.unplace(attempt)

    def _apply_status(
        self, machine: Machine, attempt: Attempt, status: wire.TaskStatus, now: float
    ) -> None:
        """Applies a task's status to its attempt."""
        if attempt.stage == Stage.PLANNED:
            return
        if status.state == EXITED:
            self._apply_exit(machine, attempt, status, now)
        else:
            _apply_active_state(machine, attempt, status.state, now)

    def _apply_exit(
        self, machine: Machine, attempt: Attempt, status: wire.TaskStatus, now: float
    ) -> None:
        """Handles the exit of an attempt: its task is completed, or has to be placed again."""
        self._model.shards_to_plan.add(machine.shard)
        if status.exit_reason == DONE:
            self._apply_completion(machine, attempt, now)
            return
        if status.exit_reason == TASK_ERROR:
            _log_failure(machine, attempt, TASK_ERROR)
            attempt.error = True
            is_faulty = fault_attribution.record_failure(machine, attempt, now)
            if is_faulty and not machine.draining:
                log.info("machine drained machine=%s reason=faulty", machine.name)
                machine.draining = True
        elif status.exit_reason in NOT_STARTED_REASONS:
            _log_failure(machine, attempt, status.exit_reason)
            attempt.job.record_failure(now, None)
        self._model.unplace(attempt)

    def _apply_completion(self, machine: Machine, attempt: Attempt, now: float) -> None:
        """Records that an attempt's task has completed, to be made durable later."""
        job = attempt.job
        if job.phase != Phase.OPEN:
            self._model.unplace(attempt)
            return
        if job.rank < HIGH_RANK and not attempt.finishing:
            self._model.shards[machine.shard].finished += 1
        machine.images.add(job.spec.image)
        fault_attribution.record_completion(machine, job)
        self._model.finish(attempt, now + self._tunables.done_delay_s)


def _update_machine(machine: Machine, heartbeat: wire.Heartbeat, now: float) -> None:
    """Applies what a heartbeat shows about the worker itself."""
    if heartbeat.incarnation > machine.incarnation:
        # The lease of an incarnation starts with the incarnation. If the answer to a direct command
        # or an inspection is the first sign of it, none of its heartbeats may have been answered
        # yet. The machine may have booted long after its record was written, and its lease must not
        # be taken as running since then.
        machine.lease_renewed_at = max(machine.lease_renewed_at, now)
    machine.incarnation, machine.sequence = position_of(heartbeat)
    machine.last_heartbeat_at = now
    machine.acknowledged_token = max(machine.acknowledged_token, heartbeat.fencing_token)
    machine.address = heartbeat.address
    if heartbeat.reclaim_notice_s is None:
        machine.reclaim_at = None
    else:
        machine.reclaim_at = now + heartbeat.reclaim_notice_s
        machine.draining = True


def _unfinished_attempt(
    machine: Machine, job: Job, task: int, status: wire.TaskStatus
) -> Attempt | None:
    """Returns the attempt that a status is about, if it is on the machine and has not completed."""
    attempt = machine.attempt_of(job, task, status.attempt)
    return None if attempt is None or attempt.finishing else attempt


def _apply_active_state(machine: Machine, attempt: Attempt, state: str, now: float) -> None:
    """Applies the state of an attempt that is active on its machine."""
    job = attempt.job
    attempt.last_seen_at = now
    stage = _STAGES.get(state, Stage.RUNNING)
    if stage == Stage.FETCHING:
        # The attempt was launched again after the incarnation it ran in had ended, so its recorded
        # start time is outdated.
        attempt.started_at = 0.0
    if stage == Stage.RUNNING:
        if attempt.stage < Stage.RUNNING:
            _record_start(machine, attempt, now)
        else:
            fault_attribution.record_steady_run(attempt, now)
    if attempt.stage != stage:
        attempt.stage = stage
        machine.cached_snapshot = None
        job.mark_changed(attempt.task)
    attempt.sent = True
    job.on_launch_sent(attempt)


def _record_start(machine: Machine, attempt: Attempt, now: float) -> None:
    """Records that an attempt is running, when this owner first sees it so."""
    job = attempt.job
    # An earlier owner may have seen it start and stored the time with the attempt's row.
    attempt.started_at = attempt.started_at or now
    attempt.unseen = False
    log.debug(
        "task started task=%s class=%s machine=%s since_job_seen_s=%.2f since_planned_s=%.2f",
        attempt.name,
        job.spec.job_class,
        machine.name,
        now - job.last_seen_at,
        now - attempt.planned_at,
    )
    machine.images.add(job.spec.image)


def _log_failure(machine: Machine, attempt: Attempt, reason: str) -> None:
    log.debug("task failed task=%s machine=%s reason=%s", attempt.name, machine.name, reason)
