"""The lifecycle of runs: the leader opens, advances and closes each exactly once.

A run's record is a chain of writes, each conditional on the version of the one before (0 for its
first, which is also conditional on the closed run before it) and on the version of the leader's
claim. So of two leaders that decide the same, or of a deposed leader whose write is applied minutes
late, one succeeds; and a controller that was suspended over the close finds the run's key taken, or
another version. Nothing is concluded from an answer: the state watcher shows what was written.
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
"""How long a transition waits behind ends of jobs: until a run opens, all of its members wait."""

WRITE_ERRORS = (
    ConditionFailedError,
    StateUnavailableError,
    ProposalDroppedError,
    LeaseExpiredError,
)
"""A transition that failed with one of these is decided anew, by what is observed then."""


class RunLifecycle:
    """Writes, on the leader, the next phase of each plan's run when it is due."""

    def __init__(
        self, model: Model, member: Membership, committer: GroupCommitter, run_index: RunIndex
    ) -> None:
        self._model = model
        self._member = member
        self._committer = committer
        self._clock = model.clock
        self.index = run_index

    async def run_forever(self) -> None:
        """Make the transitions that are due, again and again, until cancelled."""
        while True:
            await asyncio.sleep(STEP_INTERVAL_S)
            await self.step()

    async def step(self) -> None:
        """Make the transition that each plan needs now, if any."""
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
            await self.write(plan, number, record, lambda: self._member.is_leader)

    async def write(
        self,
        plan: PlanJobs,
        number: int,
        record: wire.StoredRun,
        wanted: Callable[[], bool] | None = None,
    ) -> bool:
        """Make a phase of a run durable; returns whether that is known to have succeeded.

        `wanted`: the write is dropped once this is false.
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
                Urgency.DONE, conditions, [write], DEADLINE_S, wanted, MAX_WRITE_DELAY_S
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
        """The versions on which a run's next phase is conditional; None if it is outdated."""
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
        """The number of a run and its record that is to be written now; the lock is held."""
        model = self._model
        if not self._member.is_leader or not model.loaded or not self.index.is_active:
            return None
        wall = self._clock.wall()
        record, number = plan.record, plan.latest
        if record is None or record.phase == "closed":
            window = self._window_to_open(plan, wall)
            return None if window is None else (number + 1, self._opened(window, wall))
        if record.phase == "closing":
            # Members accepted before the cut are counted: all up to it has to be applied.
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
        """The record of a run that opens now."""
        now = round(wall, 3)
        return wire.StoredRun("open", now, window.opens, window.closes, self._member.node, now)

    def closing(self, record: wire.StoredRun) -> wire.StoredRun:
        """The record of a run that accepts no more members, and starts none."""
        return self._next(record, "closing")

    def _next(self, record: wire.StoredRun, phase: str, cut: int = 0) -> wire.StoredRun:
        wall, node = round(self._clock.wall(), 3), self._member.node
        return wire.StoredRun(phase, record.opened, record.slot, record.closes, node, wall, cut)

    def _window_to_open(self, plan: PlanJobs, wall: float) -> RunWindow | None:
        """The window of the plan's next run, if that is to be opened now."""
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
        """Whether a plan has a run that is not closed, or one to be opened now."""
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
    """The counts of a closed run as key=value; empty for another phase."""
    if record.phase != "closed":
        return ""
    reckoned, cancelled, unresolved = record.counts
    reasons = ",".join(f"{name}:{number}" for name, number in record.reasons.items())
    return f" reckoned={reckoned} cancelled={cancelled} unresolved={unresolved} reasons={reasons}"
