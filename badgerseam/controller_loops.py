"""What drives a controller's parts: a review after each change, and one at a fixed interval."""

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
"""Interval of the periodic review."""
PUSH_TICKS = 4
"""Ticks in which each machine that owes an acknowledgement is pushed to once."""
SWEEP_TICKS = 16
"""Ticks in which every machine is pushed to once: a multiple of PUSH_TICKS, and about a heartbeat
interval, since the response to a heartbeat holds all commands as well."""
SUMMARY_TICKS = 5
"""Ticks between searches for cancelled jobs without a summary."""
RELEASE_TICKS = 2
"""Ticks between searches for machines whose transfer can be finished."""
PLAN_DELAY_S = 0.004
"""Gathers what arrives together before it is planned."""
PLAN_TIME_FRACTION = 0.3
"""Part of the time that plans may take: with a long backlog and a full fleet each task that ends
calls for a plan that can start little. They get rarer then, and each serves all that ended
meanwhile."""
MAX_PLAN_PAUSE_S = 0.25
"""A process that was suspended in the middle of a plan must not pause for a multiple of that."""
MAX_PLANNING_LEASE_AGE_S = 5.0
"""Nothing is planned once the controller's lease was last confirmed longer ago than this."""


@dataclass(frozen=True, slots=True)
class DrivenParts:
    """The parts of one controller that its reviews call; optional ones are None if switched off."""

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
    standby: WarmStandby | None
    replicas: ReplicaReconciler | None
    classes: ClassRecordKeeper | None
    level_upgrade: LevelUpgrade | None
    page_refresh: PageRefresh | None


class ChangeReview:
    """Reacts to changes: claims, plans, writes and pushes, once for all that arrive together."""

    def __init__(self, parts: DrivenParts) -> None:
        self._parts = parts
        self._model = parts.model
        self._clock = parts.model.clock
        self._review_timer: asyncio.TimerHandle | None = None
        self._plan_timer: asyncio.TimerHandle | None = None
        """Set while planning pauses; its end plans what has been noted meanwhile."""

    def schedule(self) -> None:
        """Run a review soon; several calls before it runs lead to one."""
        if self._review_timer is None:
            loop = asyncio.get_running_loop()
            self._review_timer = loop.call_later(PLAN_DELAY_S, self._review)

    def _review(self) -> None:
        self._review_timer = None
        self._parts.membership.review()
        if self._parts.standby is not None:
            self._parts.standby.step()
        if self._plan_timer is None:
            self._plan()
        self._parts.ledger.flush()
        with self._model.lock:
            self._push_commands()

    def _push_commands(self) -> None:
        model = self._model
        indexes, model.machines_to_push = model.machines_to_push, set()
        # Of what one plan has placed on many machines, the higher classes' launches go first.
        ordered = indexes if model.class_of is None else sorted(indexes, key=self._first_launch)
        for index in ordered:
            machine = model.machines.get(index)
            if machine is not None:
                self._parts.worker_manager.push(machine)

    def _first_launch(self, index: int) -> tuple[int, int]:
        """Rank, negated, and priority class of the first task to be launched on a machine."""
        machine = self._model.machines.get(index)
        attempts = () if machine is None else machine.attempts.values()
        waiting = (a for a in attempts if a.stage == Stage.PLACED and not a.sent)
        return min(
            ((-a.job.rank, self._model.priority_class(a.job)) for a in waiting), default=(1, 0)
        )

    def _plan(self) -> None:
        """Plan for the shards that something has changed for."""
        model, standby, replicas = self._model, self._parts.standby, self._parts.replicas
        started_at = self._clock.now()
        if standby is not None and not standby.gate.lease_confirmed_since_pause():
            # What has to be planned stays noted.
            return
        with model.lock:
            if replicas is not None:
                replicas.reconcile()
            indexes, model.shards_to_plan = model.shards_to_plan, set()
            for index in indexes:
                if self._may_plan(model.shards[index]):
                    self._parts.planner.run(model.shards[index])
        self._pause_planning(self._clock.now() - started_at)

    def _may_plan(self, shard: Shard) -> bool:
        return (
            shard.owned
            and not shard.releasing
            and self._parts.membership.lease_confirmed_within(MAX_PLANNING_LEASE_AGE_S)
        )

    def _pause_planning(self, duration_s: float) -> None:
        """Keep planning within its part of the time, after plans that took `duration_s`."""
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
    """Does what only the passing of time calls for, and what has to be tried again."""

    def __init__(self, parts: DrivenParts, changes: ChangeReview, counts_s: float) -> None:
        """`counts_s`: interval in seconds at which the shards' counts are written."""
        self._parts = parts
        self._model = parts.model
        self._changes = changes
        self._counts_ticks = max(1, round(counts_s / TICK_S))
        self._tasks = BackgroundTasks()

    async def run(self) -> None:
        """Review every `TICK_S`, until cancelled."""
        tick = 0
        while True:
            await asyncio.sleep(TICK_S)
            tick += 1
            self._parts.write_rate.review()
            with self._model.lock:
                self._review(tick)
            self._changes.schedule()

    def _review(self, tick: int) -> None:
        self._note_shards_to_plan()
        self._review_workers()
        self._note_machines_to_push(tick)
        self._start_transfers()
        self._review_records(tick)
        if tick % RELEASE_TICKS == 0 and self._parts.machine_transfer.releasable():
            self._tasks.spawn(self._parts.machine_transfer.release_finished())
        if tick % self._counts_ticks == 0:
            self._write_counts()

    def _note_shards_to_plan(self) -> None:
        for shard in self._model.shards:
            if shard.owned:
                self._model.shards_to_plan.add(shard.index)

    def _review_workers(self) -> None:
        parts = self._parts
        if lacks_addresses(self._model):
            parts.fleet.machine_list.learn_addresses()
        parts.worker_manager.heartbeat_reception.check()
        parts.watch_health.check()
        parts.heartbeat_proxy.review()
        parts.worker_manager.expire_leases()
        parts.worker_manager.probe_unresponsive()
        drain(
            self._model, None if parts.replicas is None else parts.replicas.may_stay_while_draining
        )

    def _note_machines_to_push(self, tick: int) -> None:
        """Spread the machines over the ticks. What changes is pushed when it does; this is for what
        has to be tried again."""
        for shard in self._model.shards:
            if shard.owned:
                self._model.machines_to_push.update(
                    index
                    for index, machine in self._model.shard_machines[shard.index].items()
                    if _is_push_due(tick, index, machine)
                )

    def _start_transfers(self) -> None:
        for machine, shard in self._parts.machine_transfer.evacuated():
            self._tasks.spawn(self._transfer(machine, shard))

    async def _transfer(self, machine: Machine, shard: int) -> None:
        await self._parts.machine_transfer.transfer([machine], shard)

    def _review_records(self, tick: int) -> None:
        parts = self._parts
        if parts.level_upgrade is not None:
            parts.level_upgrade.review()
        if parts.classes is not None:
            parts.classes.review()
        if tick % SUMMARY_TICKS == 0:
            parts.ledger.write_summaries()
            parts.stale_pages.review()
            if parts.page_refresh is not None:
                parts.page_refresh.review()

    def _write_counts(self) -> None:
        for shard in self._model.shards:
            if shard.owned:
                self._tasks.spawn(self._parts.ledger.write_counts(shard))
        log.debug("commit statistics reported %s", self._parts.committer.report())


def _is_push_due(tick: int, index: int, machine: Machine) -> bool:
    if (tick - index) % PUSH_TICKS != 0:
        return False
    return machine.awaits_acknowledgement or (tick - index) % SWEEP_TICKS == 0
