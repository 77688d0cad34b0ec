"""The lifecycle of runs: the leader opens, advances and closes each run exactly once.

The record of a run is written in a chain: each write is conditional on the version of the previous
write and on the version of the leader's claim. The first write expects version 0, and is also
conditional on the record of the previous, closed run. If two leaders decide the same transition, or
a deposed leader's write is applied minutes late, only one write succeeds; and the write of a
controller that was suspended while the run was closed fails, because the key exists or has another
version. Responses to writes are not relied upon: the state watcher shows what was written.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from msgspec import structs

from badgerseam.cluster.membership import Membership
from badgerseam.model.keys import LEADER_KEY, LEVEL_KEY, run_key
from badgerseam.model.model import Model
from badgerseam.runs.counting import count, first_round_is_over, has_begun, has_running_members
from badgerseam.runs.run_index import PlanJobs, RunIndex
from badgerseam.runs.windows import RunWindow, due_window
from badgerseam.store.client import ConditionFailedError, LeaseExpiredError, StateUnavailableError
from badgerseam.store.committer import GroupCommitter, ProposalDroppedError, Urgency
from badgerseam.wire import state as wire

log = logging.getLogger("badgerseam.runs")

STEP_INTERVAL_S = 0.5
DEADLINE_S = 5.0
MAX_WRITE_DELAY_S = 1.0
"""How long a transition may wait behind the writes of ended jobs before it is promoted. The time is
short, since all members of a run wait until the run opens."""

WRITE_ERRORS = (
    ConditionFailedError,
    StateUnavailableError,
    ProposalDroppedError,
    LeaseExpiredError,
)
"""Errors after which a transition is decided again, from the state observed by then."""


class RunLifecycle:
    """Writes the next phase of each plan's run when it is due, while this controller is the
    leader."""

    def __init__(
        self, model: Model, membership: Membership, committer: GroupCommitter, run_index: RunIndex
    ) -> None:
        self._model = model
        self._membership = membership
        self._committer = committer
        self._clock = model.clock
        self.index = run_index

    async def run_forever(self) -> None:
        """Makes due transitions periodically, until cancelled."""
        while True:
            await asyncio.sleep(STEP_INTERVAL_S)
            await self.step()

    async def step(self) -> None:
        """Makes the due transition of each plan, if any."""
        for plan in self.index.plans.values():
            with self._model.lock:
                change = self._due_transition(plan)
            if change is None:
                continue
            number, record = change
            if record.phase == "closed":
                counts = await count(self._model, self.index, plan, number)
                record = structs.replace(
                    record,
                    seen=counts.revision,
                    counts=[counts.reckoned, counts.cancelled, counts.unresolved],
                    reasons=counts.reasons(),
                )
            await self.write(plan, number, record, lambda: self._membership.is_leader)

    async def write(
        self,
        plan: PlanJobs,
        number: int,
        record: wire.StoredRun,
        should_send: Callable[[], bool] | None = None,
    ) -> bool:
        """Writes a phase of a run; returns whether the write is known to have succeeded.

        `should_send`: the write is dropped once this returns false.
        """
        name = plan.plan.name
        key = run_key(name, number)
        with self._model.lock:
            conditions = self._conditions(plan, number)
        if conditions is None:
            return False
        write = wire.Write(put=key, value=wire.raw(record))
        try:
            await self._committer.commit(
                Urgency.DONE, conditions, [write], DEADLINE_S, should_send, MAX_WRITE_DELAY_S
            )
        except WRITE_ERRORS as error:
            log.info(
                "run transition failed plan=%s run=%d phase=%s error=%r",
                name,
                number,
                record.phase,
                error,
            )
            return False
        log.info(
            "run transition written plan=%s run=%d phase=%s%s",
            name,
            number,
            record.phase,
            _counts_for_log(record),
        )
        return True

    def _conditions(self, plan: PlanJobs, number: int) -> dict[str, int] | None:
        """Returns the versions on which a run's next phase is conditional; None if this controller
        must not write the phase: it observes no leader, may not act at the site's level, or the run
        is neither the latest nor the next one."""
        model = self._model
        leader = model.leader_claim
        if leader is None or not model.is_supported:
            return None
        if number not in (plan.latest, plan.latest + 1):
            return None
        key = run_key(plan.plan.name, number)
        conditions = {LEADER_KEY: leader.version, LEVEL_KEY: model.level.version}
        if number == plan.latest:
            conditions[key] = plan.version
            return conditions
        conditions[key] = 0
        if plan.latest:
            conditions[run_key(plan.plan.name, plan.latest)] = plan.version
        return conditions

    # ---- due transitions ----

    def _due_transition(self, plan: PlanJobs) -> tuple[int, wire.StoredRun] | None:
        """Returns the number of the run whose record is to be written now, and the record; None if
        no transition is due.

        The caller holds the model's lock.
        """
        model = self._model
        if not self._membership.is_leader or not model.loaded or not self.index.is_active:
            return None
        wall = self._clock.wall()
        record, number = plan.record, plan.latest
        if record is None or record.phase == "closed":
            window = self._window_to_open(plan, wall)
            return None if window is None else (number + 1, self._opened(window, wall))
        if record.phase == "closing":
            # The count includes all members accepted before the cutoff, so the model has to have
            # applied all changes up to it.
            is_grace_over = wall >= record.at + plan.plan.grace_s
            has_ended = is_grace_over or not has_running_members(plan, number)
            if model.revision < plan.version or not has_ended:
                return None
            return number, self._next(record, "closed", plan.version)
        if wall >= record.closes or self._is_quiet(plan, record, wall):
            return number, self.closing(record)
        if record.phase == "open" and has_begun(plan, number):
            return number, self._next(record, "reckoning")
        if record.phase == "reckoning":
            is_over, deferred = first_round_is_over(self.index, plan, number)
            if is_over and deferred:
                return number, self._next(record, "second")
        return None

    def _opened(self, window: RunWindow, wall: float) -> wire.StoredRun:
        """Returns the record of a run that opens now."""
        now = round(wall, 3)
        return wire.StoredRun("open", now, window.opens, window.closes, self._membership.node, now)

    def closing(self, record: wire.StoredRun) -> wire.StoredRun:
        """Returns the record of a run that accepts no more members and starts none."""
        return self._next(record, "closing")

    def _next(self, record: wire.StoredRun, phase: str, cutoff: int = 0) -> wire.StoredRun:
        wall, node = round(self._clock.wall(), 3), self._membership.node
        return wire.StoredRun(phase, record.opened, record.slot, record.closes, node, wall, cutoff)

    def _window_to_open(self, plan: PlanJobs, wall: float) -> RunWindow | None:
        """Returns the window of the plan's next run if that run is to be opened now, else None."""
        options, last = plan.plan, plan.record
        if options.after is not None and self._is_busy(self.index.plans[options.after], wall):
            return None
        if options.quiet_s is None:
            latest = None if last is None else RunWindow(last.slot, last.closes)
            return due_window(options, wall, latest)
        if any(plan.run_number(job.queue_position) > plan.latest for job in plan.all_jobs()):
            return RunWindow(round(wall, 3), round(wall + options.longest_s, 3))
        return None

    def _is_busy(self, plan: PlanJobs, wall: float) -> bool:
        """Whether a plan has a run that is not closed, or a run to be opened now."""
        return plan.is_open or self._window_to_open(plan, wall) is not None

    def _is_quiet(self, plan: PlanJobs, record: wire.StoredRun, wall: float) -> bool:
        """Whether no job has arrived for the plan's `quiet_s`, and all members have finished."""
        quiet_s = plan.plan.quiet_s
        if quiet_s is None:
            return False
        jobs = plan.members(plan.latest)
        if any(job.finished < job.tasks for job in jobs):
            return False
        latest = max((job.submitted for job in jobs), default=record.opened)
        return wall - max(latest, record.opened) >= quiet_s


def _counts_for_log(record: wire.StoredRun) -> str:
    """Returns the counts of a closed run as key=value pairs; empty for other phases."""
    if record.phase != "closed":
        return ""
    reckoned, cancelled, unresolved = record.counts
    reasons = ",".join(f"{name}:{number}" for name, number in record.reasons.items())
    return f" reckoned={reckoned} cancelled={cancelled} unresolved={unresolved} reasons={reasons}"
