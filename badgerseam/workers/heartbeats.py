"""Taking over what workers report."""

from __future__ import annotations

import logging
import math

from badgerseam.model.job import HIGH_RANK, Attempt, Phase, Stage
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.model.resources import NOTHING, Resources, sum_of
from badgerseam.settings import Tunables
from badgerseam.wire import workers as wire
from badgerseam.workers import fault_attribution

log = logging.getLogger("badgerseam.workers")

_STAGES = {"fetching": Stage.FETCHING, "running": Stage.RUNNING, "saving": Stage.CHECKPOINTING}


class HeartbeatProcessor:
    """Makes machines and their tasks what reports say of them."""

    def __init__(self, model: Model, tunables: Tunables) -> None:
        self._model = model
        self._tunables = tunables

    def apply(self, machine: Machine, report: wire.Heartbeat, direct: bool) -> bool:
        """Take over a report; False if it is older than what is known.

        `direct`: it came as the response to a direct command, perhaps while the response to a
        report is still on its way to the worker with launches in it. Any other report is one that
        `Machine.proven` vouches for.
        """
        mark = (report.incarnation, report.sequence)
        if mark <= (machine.incarnation, machine.sequence):
            # Held back on its way: its task list is as old as it is.
            return False
        model = self._model
        now = self._model.clock.now()
        if report.incarnation > machine.incarnation:
            # The lease of a session runs from its begin. Where we hear of it by a direct answer,
            # no report of it may have been answered yet, and the machine came up long after it
            # was recorded: it is not to be counted as silent since then.
            machine.lease_renewed_at = max(machine.lease_renewed_at, now)
        first = machine.incarnation == 0
        machine.incarnation, machine.sequence = mark
        machine.last_heartbeat_at = now
        machine.acknowledged_token = max(machine.acknowledged_token, report.fencing_token)
        machine.address = report.address
        if report.reclaim_notice_s is None:
            machine.reclaim_at = None
        else:
            machine.reclaim_at = now + report.reclaim_notice_s
            machine.draining = True
        current = machine.settles_commands(report.fencing_token, report.incarnation)
        shown: dict[str, wire.TaskStatus] = {}
        strays: dict[int, Resources] = {}
        seen: set[tuple[int, int]] = set()
        for item in report.tasks:
            shown[item.task] = item
            found = model.find_task(item.task)
            if found is None:
                continue
            job, task = found
            attempt = machine.attempts.get((job.index, task))
            if attempt is None or attempt.number != item.attempt or attempt.finishing:
                if item.state != "exited":
                    strays[job.team] = strays.get(job.team, NOTHING).plus(job.demand)
                continue
            seen.add((job.index, task))
            self._update_attempt(machine, attempt, item, now)
        machine.reported_tasks = shown
        if strays != machine.untracked_use_by_team:
            self._set_untracked_use(machine, strays)
        for key, attempt in list(machine.attempts.items()):
            if key in seen or attempt.finishing or attempt.stage == Stage.PLANNED:
                continue
            if attempt.sending or mark <= attempt.sent_at_heartbeat:
                continue
            if direct and machine.response_open:
                continue
            # Not on the machine, in a report that is newer than every launch of it.
            attempt.sent = False
            # Whatever it did before, it would begin anew.
            attempt.started_at = 0.0
            if not current:
                # A launch with an older token may still be in flight.
                continue
            attempt.job.on_launch_undone(attempt)
            if attempt.stage >= Stage.FETCHING:
                # It was there and is gone without a word: its session has ended.
                attempt.stage = Stage.PLACED
                machine.sched_view = None
                attempt.job.mark_changed(attempt.task)
            unfit = machine.draining or machine.is_probably_unreachable or machine.mute_incarnation
            if attempt.stopping or unfit:
                # Launches went there with each answer for ever, and were taken back each time.
                model.unplace(attempt)
        if first:
            self._repeat_evictions(machine, now)
        return True

    def _set_untracked_use(self, machine: Machine, strays: dict[int, Resources]) -> None:
        """Take over what attempts that no record knows take on a machine, by team."""
        machine.untracked_use_by_team = strays
        machine.untracked_use = sum_of(strays.values())
        machine.sched_view = None
        if strays:
            self._model.machines_with_untracked_use.add(machine.index)

    def _repeat_evictions(self, machine: Machine, now: float) -> None:
        """Stop whom an owner before had evicted for what it placed, if it ended in between.

        Placements are durable, stops are not: what it had placed waited for room until tasks of
        lower priority, of which nobody knew any more that they were to go, had ended by themselves.
        """
        room = machine.total.minus(machine.planned_use())
        if machine.total == NOTHING or NOTHING.fits_in(room):
            return
        staying = [a for a in machine.attempts.values() if not (a.stopping or a.finishing)]
        claims = [a.job.rank for a in staying if a.stage == Stage.PLACED]
        most = max(claims, default=0)
        if most < HIGH_RANK:
            return
        victims = [
            a for a in staying if a.stage >= Stage.FETCHING and a.job.rank < min(most, HIGH_RANK)
        ]
        # As in a plan, the greatest waste is spared.
        for victim in sorted(victims, key=lambda a: (a.job.rank, _unsaved_work_s(a, now))):
            if NOTHING.fits_in(room):
                break
            room = room.plus(victim.job.demand)
            victim.stopping = True
            victim.stop_sent = False
            spec = victim.job.spec
            victim.grace_s = spec.save_s + 1.0 if spec.checkpoint_s > 0 else 0.0
            victim.job.mark_changed(victim.task)
            log.info(
                "%s is stopped for what an owner before placed on %s", victim.name, machine.name
            )
        machine.sched_view = None
        self._model.machines_to_push.add(machine.index)

    def apply_completions(self, machine: Machine, report: wire.Heartbeat) -> None:
        """Take over what stays true however late a report comes: that tasks are done."""
        for item in report.tasks:
            found = self._model.find_task(item.task)
            if found is None or item.state != "exited" or item.exit_reason != "done":
                continue
            attempt = machine.attempts.get((found[0].index, found[1]))
            if attempt is None or attempt.number != item.attempt or attempt.finishing:
                continue
            if attempt.stage != Stage.PLANNED and attempt.job.phase == Phase.OPEN:
                self._update_attempt(machine, attempt, item, self._model.clock.now())

    def _update_attempt(
        self, machine: Machine, attempt: Attempt, item: wire.TaskStatus, now: float
    ) -> None:
        model = self._model
        job = attempt.job
        if attempt.stage == Stage.PLANNED:
            return
        if item.state != "exited":
            attempt.last_seen_at = now
            stage = _STAGES.get(item.state, Stage.RUNNING)
            if stage == Stage.FETCHING:
                # Given once more after its session had ended: what was known of its start is past.
                attempt.started_at = 0.0
            if stage == Stage.RUNNING and attempt.stage < Stage.RUNNING:
                # An owner before us may have seen it begin, and kept that with its row.
                attempt.started_at = attempt.started_at or now
                attempt.unseen = False
                log.debug(
                    "%s (%s) runs on %s: seen %.2f s ago, planned %.2f s ago",
                    attempt.name,
                    job.spec.job_class,
                    machine.name,
                    now - job.last_seen_at,
                    now - attempt.planned_at,
                )
                machine.images.add(job.spec.image)
            elif stage == Stage.RUNNING:
                fault_attribution.record_steady_run(attempt, now)
            if attempt.stage != stage:
                attempt.stage = stage
                machine.sched_view = None
                job.mark_changed(attempt.task)
            attempt.sent = True
            job.on_launch_sent(attempt)
            return
        model.shards_to_plan.add(machine.shard)
        shard = model.shards[machine.shard]
        if item.exit_reason == "done":
            if job.phase != Phase.OPEN:
                model.unplace(attempt)
                return
            if job.rank < 2 and not attempt.finishing:
                shard.finished += 1
            machine.images.add(job.spec.image)
            fault_attribution.record_completion(machine, job)
            model.finish(attempt, now + self._tunables.done_delay_s)
            return
        if item.exit_reason in ("error", "no_such", "full", "in_use"):
            log.debug("%s failed on %s: %s", attempt.name, machine.name, item.exit_reason)
            if item.exit_reason != "error":
                job.record_failure(now, None)
            else:
                attempt.error = True
                if fault_attribution.record_failure(machine, attempt, now) and not machine.draining:
                    log.info("%s fails the tasks of many jobs: drained", machine.name)
                    machine.draining = True
        model.unplace(attempt)


def _unsaved_work_s(attempt: Attempt, now: float) -> float:
    """Seconds of work that are lost if it is stopped, by the interval of its checkpoints."""
    ran_s = now - attempt.started_at if attempt.started_at > 0 else 0.0
    interval_s = attempt.job.spec.checkpoint_s
    return math.fmod(ran_s, interval_s) if interval_s > 0 else ran_s
