"""Loops that run a controller's components: a review after each change and a periodic one."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass

from badgerseam.background import BackgroundTasks
from badgerseam.classes.class_record import ClassRecordKeeper
from badgerseam.cluster.heartbeat_proxy import HeartbeatProxy
from badgerseam.cluster.membership import Membership
from badgerseam.cluster.watch_health import WatchHealth
from badgerseam.fleet.machine_transfer import MachineTransfer
from badgerseam.fleet.manager import FleetManager
from badgerseam.model.job import Stage
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.model.state import Shard
from badgerseam.replicas.reconciler import ReplicaReconciler
from badgerseam.rollout.level_upgrade import LevelUpgrade
from badgerseam.rollout.page_refresh import PageRefresh
from badgerseam.sched.planner import Planner
from badgerseam.standby.warm_standby import WarmStandby
from badgerseam.store.committer import GroupCommitter
from badgerseam.store.ledger import Ledger
from badgerseam.store.page_rewriter import PageRewriter
from badgerseam.store.write_rate import WriteRateAllocator
from badgerseam.workers.draining import drain
from badgerseam.workers.inspection import lacks_addresses
from badgerseam.workers.worker_manager import WorkerManager

log = logging.getLogger("badgerseam")

TICK_S = 0.2
"""Seconds between periodic reviews."""
PUSH_TICKS = 4
"""Ticks between pushes to a machine from which an acknowledgement is awaited."""
SWEEP_TICKS = 16
"""Ticks between pushes to any machine: a multiple of PUSH_TICKS and about one heartbeat interval,
since the response to a heartbeat also contains all commands."""
SUMMARY_TICKS = 5
"""Ticks between searches for cancelled jobs without a summary."""
RELEASE_TICKS = 2
"""Ticks between searches for machines whose transfer can be finished."""
PLAN_DELAY_S = 0.004
"""Delay of a review after a change, so that changes that arrive together are planned together."""
PLAN_TIME_FRACTION = 0.3
"""Maximum fraction of the time spent on planning. With a long backlog and a full fleet, every task
that ends requires a plan that can start only a few tasks; plans then run less often, and each one
covers all tasks that have ended since the previous one."""
MAX_PLAN_PAUSE_S = 0.25
"""Maximum pause between plans, so that a process that was suspended during a plan does not pause
for a multiple of the suspension."""
MAX_PLANNING_LEASE_AGE_S = 5.0
"""Maximum time since the last confirmation of the controller's lease for planning to continue."""


@dataclass(frozen=True, slots=True)
class ReviewedComponents:
    """The components that the reviews of a controller call; disabled optional ones are None."""

    model: Model
    membership: Membership
    planner: Planner
    ledger: Ledger
    committer: GroupCommitter
    write_rate: WriteRateAllocator
    worker_manager: WorkerManager
    heartbeat_proxy: HeartbeatProxy
    watch_health: WatchHealth
    machine_transfer: MachineTransfer
    fleet: FleetManager
    stale_pages: PageRewriter
    oversized_pages: PageRewriter
    standby: WarmStandby | None
    replicas: ReplicaReconciler | None
    classes: ClassRecordKeeper | None
    level_upgrade: LevelUpgrade | None
    page_refresh: PageRefresh | None


class ChangeReview:
    """Handles changes that arrive together in one review: claims, plans, writes and pushes."""

    def __init__(self, components: ReviewedComponents) -> None:
        self._components = components
        self._model = components.model
        self._clock = components.model.clock
        self._review_timer: asyncio.TimerHandle | None = None
        self._plan_timer: asyncio.TimerHandle | None = None
        """Set while planning is paused; when it fires, the shards marked since then are planned."""

    def schedule(self) -> None:
        """Schedules a review; several calls before it runs result in one review."""
        if self._review_timer is None:
            loop = asyncio.get_running_loop()
            self._review_timer = loop.call_later(PLAN_DELAY_S, self._review)

    def _review(self) -> None:
        self._review_timer = None
        self._components.membership.review()
        if self._components.standby is not None:
            self._components.standby.step()
        if self._plan_timer is None:
            self._plan()
        self._components.ledger.flush()
        with self._model.lock:
            self._push_commands()

    def _push_commands(self) -> None:
        model = self._model
        indexes, model.machines_to_push = model.machines_to_push, set()
        # If one plan placed tasks on many machines, launches of higher classes are pushed first.
        ordered = indexes if model.class_of is None else sorted(indexes, key=self._first_launch)
        for index in ordered:
            machine = model.machines.get(index)
            if machine is not None:
                self._components.worker_manager.push(machine)

    def _first_launch(self, index: int) -> tuple[int, int]:
        """Returns the negated rank and the priority class of a machine's first pending launch."""
        machine = self._model.machines.get(index)
        attempts = () if machine is None else machine.attempts.values()
        waiting = (a for a in attempts if a.stage == Stage.PLACED and not a.sent)
        return min(
            ((-a.job.rank, self._model.priority_class(a.job)) for a in waiting), default=(1, 0)
        )

    def _plan(self) -> None:
        """Runs the planner for the shards that are marked for planning."""
        model, standby, replicas = self._model, self._components.standby, self._components.replicas
        started_at = self._clock.now()
        if standby is not None and not standby.gate.lease_confirmed_since_pause():
            # The shards stay marked for planning.
            return
        with model.lock:
            if replicas is not None:
                replicas.reconcile()
            indexes, model.shards_to_plan = model.shards_to_plan, set()
            for index in indexes:
                if self._may_plan(model.shards[index]):
                    self._components.planner.run(model.shards[index])
        self._pause_planning(self._clock.now() - started_at)

    def _may_plan(self, shard: Shard) -> bool:
        return (
            shard.owned
            and not shard.releasing
            and self._components.membership.lease_confirmed_within(MAX_PLANNING_LEASE_AGE_S)
        )

    def _pause_planning(self, duration_s: float) -> None:
        """Pauses planning after plans that took `duration_s`, to keep PLAN_TIME_FRACTION."""
        pause_s = duration_s * (1.0 / PLAN_TIME_FRACTION - 1.0)
        if pause_s > PLAN_DELAY_S:
            loop = asyncio.get_running_loop()
            self._plan_timer = loop.call_later(
                min(pause_s, MAX_PLAN_PAUSE_S), self._resume_planning
            )

    def _resume_planning(self) -> None:
        self._plan_timer = None
        if self._model.shards_to_plan:
            self.schedule()


class PeriodicReview:
    """Runs time-dependent work and retries at a fixed interval."""

    def __init__(
        self, components: ReviewedComponents, changes: ChangeReview, counts_s: float
    ) -> None:
        """Creates the review; `counts_s` is the seconds between writes of the shards' counts."""
        self._components = components
        self._model = components.model
        self._changes = changes
        self._counts_ticks = max(1, round(counts_s / TICK_S))
        self._tasks = BackgroundTasks()

    async def run(self) -> None:
        """Runs a review every `TICK_S` until cancelled."""
        tick = 0
        while True:
            await asyncio.sleep(TICK_S)
            tick += 1
            self._components.write_rate.review()
            with self._model.lock:
                self._review(tick)
            self._changes.schedule()

    def _review(self, tick: int) -> None:
        self._mark_shards_to_plan()
        self._review_workers()
        self._mark_machines_to_push(tick)
        self._start_transfers()
        self._review_records(tick)
        if tick % RELEASE_TICKS == 0 and self._components.machine_transfer.releasable():
            self._tasks.spawn(self._components.machine_transfer.release_finished())
        if tick % self._counts_ticks == 0:
            self._write_counts()

    def _mark_shards_to_plan(self) -> None:
        for shard in self._model.shards:
            if shard.owned:
                self._model.shards_to_plan.add(shard.index)

    def _review_workers(self) -> None:
        components = self._components
        if lacks_addresses(self._model):
            components.fleet.machine_list.learn_addresses()
        components.worker_manager.heartbeat_reception.check()
        components.watch_health.check()
        components.heartbeat_proxy.review()
        components.worker_manager.expire_leases()
        components.worker_manager.probe_unresponsive()
        drain(
            self._model,
            None if components.replicas is None else components.replicas.may_stay_while_draining,
        )

    def _mark_machines_to_push(self, tick: int) -> None:
        """Marks machines for retried pushes, spread over the ticks.

        Changes are pushed as soon as they occur; this covers only what has to be sent again.
        """
        for shard in self._model.shards:
            if shard.owned:
                self._model.machines_to_push.update(
                    index
                    for index, machine in self._model.shard_machines[shard.index].items()
                    if _is_push_due(tick, index, machine)
                )

    def _start_transfers(self) -> None:
        for machine, shard in self._components.machine_transfer.evacuated():
            self._tasks.spawn(self._transfer(machine, shard))

    async def _transfer(self, machine: Machine, shard: int) -> None:
        await self._components.machine_transfer.transfer([machine], shard)

    def _review_records(self, tick: int) -> None:
        components = self._components
        if components.level_upgrade is not None:
            components.level_upgrade.review()
        if components.classes is not None:
            components.classes.review()
        if tick % SUMMARY_TICKS == 0:
            components.ledger.write_summaries()
            components.stale_pages.review()
            components.oversized_pages.review()
            if components.page_refresh is not None:
                components.page_refresh.review()

    def _write_counts(self) -> None:
        for shard in self._model.shards:
            if shard.owned:
                self._tasks.spawn(self._components.ledger.write_counts(shard))
        log.debug("commit statistics reported %s", self._components.committer.report())
        history = self._components.worker_manager.command_history
        log.debug("command statistics reported %s", history.report())
        self._components.committer.log_overdue()


def _is_push_due(tick: int, index: int, machine: Machine) -> bool:
    if (tick - index) % PUSH_TICKS != 0:
        return False
    return machine.awaits_acknowledgement or (tick - index) % SWEEP_TICKS == 0
