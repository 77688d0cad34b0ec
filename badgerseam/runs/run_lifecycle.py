"""The leader's part of runs: opens, advances and closes each exactly once.

A run's record is a chain of writes, each on the stamp of the one before (0 for its first, which
also names the stamp of the closed run before it) and on the stamp of the leader's claim. So of two
leaders that decide the same, or a write of a deposed one that is applied minutes late, one
succeeds; and a controller that slept over the close finds the run's key taken, or its stamp gone.
Nothing is concluded from an answer: what was written, the replica tells.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

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

LOOK_S = 0.5
DEADLINE_S = 5.0
HURRY_S = 1.0
"""A run that does not open keeps all of its members waiting: no longer behind ends of jobs."""


class RunLifecycle:
    """Looks at each plan, on the leader, and writes the next phase of its run."""

    def __init__(
        self, model: Model, member: Membership, committer: GroupCommitter, book: RunIndex
    ) -> None:
        self._model = model
        self._member = member
        self._committer = committer
        self._clock = model.clock
        self.index = book

    async def keep(self) -> None:
        """Look for ever."""
        while True:
            await asyncio.sleep(LOOK_S)
            await self.step()

    async def step(self) -> None:
        """One look at all plans."""
        for plan in self.index.plans.values():
            with self._model.lock:
                change = self._due_transition(plan)
            if change is None:
                continue
            number, record = change
            if record.phase == "closed":
                counts = await count(self._model, self.index, plan, number)
                record = wire.StoredRun(
                    "closed",
                    record.opened,
                    record.slot,
                    record.closes,
                    record.by,
                    record.at,
                    record.cut,
                    counts.jobs_counted,
                    [counts.reckoned, counts.cancelled, counts.unresolved],
                    counts.reasons(),
                )
            await self.write(plan, number, record, lambda: self._member.is_leader)

    async def write(
        self,
        plan: PlanJobs,
        number: int,
        record: wire.StoredRun,
        wanted: Callable[[], bool] | None = None,
    ) -> bool:
        """Make a phase durable on the stamps of the record and all that it was decided by; whether
        that is known to have succeeded. `wanted`: as long as it is to be sent."""
        model = self._model
        key = run_key(plan.plan.name, number)
        with model.lock:
            leader = model.leader_claim
            if (
                leader is None
                or not model.is_supported
                or number not in (plan.latest, plan.latest + 1)
            ):
                return False
            conditions = {LEADER_KEY: leader.version, LEVEL_KEY: model.level.version}
            if number > plan.latest:
                conditions[key] = 0
                if plan.latest:
                    conditions[run_key(plan.plan.name, plan.latest)] = plan.version
            else:
                conditions[key] = plan.version
        write = wire.Write(put=key, value=wire.raw(record))
        try:
            await self._committer.commit(
                Urgency.DONE, conditions, [write], DEADLINE_S, wanted, HURRY_S
            )
        except (
            ConditionFailedError,
            StateUnavailableError,
            ProposalDroppedError,
            LeaseExpiredError,
        ) as error:
            log.info("run %s %d: %s not written: %r", plan.plan.name, number, record.phase, error)
            return False
        log.info("run %s %d: %s%s", plan.plan.name, number, record.phase, _describe(record))
        return True

    # ---- what is due ----

    def _due_transition(self, plan: PlanJobs) -> tuple[int, wire.StoredRun] | None:
        """The number and the record that the plan needs now; the lock is held."""
        model = self._model
        if not self._member.is_leader or not model.loaded or not self.index.is_active:
            return None
        wall = self._clock.wall()
        record, number = plan.record, plan.latest
        if record is None or record.phase == "closed":
            slot = self._opening(plan, wall)
            if slot is None:
                return None
            node = self._member.node
            opened = wire.StoredRun(
                "open", round(wall, 3), slot.opens, slot.closes, node, round(wall, 3)
            )
            return number + 1, opened
        if record.phase == "closing":
            # Members accepted before the cut are counted: all up to it has to be known.
            waits = has_running_members(plan, number) and wall < record.at + plan.plan.grace_s
            if model.revision < plan.version or waits:
                return None
            return number, self._next(record, "closed", plan.version)
        if wall >= record.closes or self._is_quiet(plan, record, wall):
            return number, self.closing(record)
        if record.phase == "open" and has_begun(plan, number):
            return number, self._next(record, "reckoning")
        if record.phase == "reckoning":
            done, aside = first_round_is_over(self.index, plan, number)
            if done and aside:
                return number, self._next(record, "second")
        return None

    def closing(self, record: wire.StoredRun) -> wire.StoredRun:
        """The record of a run that takes no more members, and starts none."""
        return self._next(record, "closing")

    def _next(self, record: wire.StoredRun, phase: str, cut: int = 0) -> wire.StoredRun:
        wall, node = round(self._clock.wall(), 3), self._member.node
        return wire.StoredRun(phase, record.opened, record.slot, record.closes, node, wall, cut)

    def _opening(self, plan: PlanJobs, wall: float) -> RunWindow | None:
        """When the plan's next run opens and closes, if that is to be opened now."""
        options, last = plan.plan, plan.record
        ahead = None if options.after is None else self.index.plans[options.after]
        if ahead is not None and self._is_busy(ahead, wall):
            return None
        if options.quiet_s is None:
            return due_window(
                options, wall, None if last is None else RunWindow(last.slot, last.closes)
            )
        if any(plan.run_number(job.queue_position) > plan.latest for job in plan.all_jobs()):
            return RunWindow(round(wall, 3), round(wall + options.longest_s, 3))
        return None

    def _is_busy(self, plan: PlanJobs, wall: float) -> bool:
        """Whether a plan has a run that is not closed, or one to be opened now."""
        return plan.is_open or self._opening(plan, wall) is not None

    def _is_quiet(self, plan: PlanJobs, record: wire.StoredRun, wall: float) -> bool:
        """Whether nobody has come for as long as the plan says, and all members are through."""
        quiet_s = plan.plan.quiet_s
        if quiet_s is None:
            return False
        jobs = plan.members(plan.latest)
        if any(job.finished < job.tasks for job in jobs):
            return False
        latest = max((job.submitted for job in jobs), default=record.opened)
        return wall - max(latest, record.opened) >= quiet_s


def _describe(record: wire.StoredRun) -> str:
    if record.phase != "closed":
        return ""
    reckoned, withdrawn, unresolved = record.counts
    why = ", ".join(f"{name} {number}" for name, number in record.reasons.items())
    return (
        f", {reckoned} reckoned, {withdrawn} withdrawn, {unresolved} unresolved"
        f"{f' ({why})' if why else ''}"
    )
