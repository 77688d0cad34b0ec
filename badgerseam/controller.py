"""One controller: its parts put together, and the loops that drive them."""

from __future__ import annotations

import asyncio
import logging
from random import Random
from typing import cast

from badgerseam.accounting.accounts import JobAccounts
from badgerseam.accounting.attempts import AttemptLog
from badgerseam.api.accounting import AccountingApi
from badgerseam.api.batch import BatchApi
from badgerseam.api.classes import ClassesApi
from badgerseam.api.explain import ExplainApi
from badgerseam.api.rollout import RolloutApi
from badgerseam.api.runs import RunsApi
from badgerseam.api.users import UserApi
from badgerseam.background import BackgroundTasks
from badgerseam.batch.numbers import JobNumbers
from badgerseam.classes.class_record import ClassRecordKeeper as ClassesKeeper
from badgerseam.classes.rules import ClassRules
from badgerseam.clock import Clock
from badgerseam.cluster.availability import UnavailableReason
from badgerseam.cluster.heartbeat_proxy import HeartbeatProxy
from badgerseam.cluster.membership import Membership
from badgerseam.cluster.peers import Peers
from badgerseam.cluster.watch_health import WatchHealth
from badgerseam.explain.explainer import Explainer
from badgerseam.fleet.cloud import CloudClient
from badgerseam.fleet.machine_transfer import MachineTransfer
from badgerseam.fleet.manager import FleetManager
from badgerseam.http.network import SOCKETS, Network
from badgerseam.http.server import Handler, HttpServer
from badgerseam.model.job import Stage
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.replicas.reconciler import ReplicaReconciler as ReplicasKeeper
from badgerseam.rollout.handover import Handover
from badgerseam.rollout.level_upgrade import LevelUpgrade
from badgerseam.rollout.migration import RECORD_FORMATS, RecordMigration
from badgerseam.rollout.page_refresh import PageRefresh
from badgerseam.runs.rules import RunStartRules
from badgerseam.runs.run_index import RunIndex
from badgerseam.runs.run_lifecycle import RunLifecycle as RunsKeeper
from badgerseam.sched.planner import Planner
from badgerseam.settings import Settings, Tunables
from badgerseam.standby.warm_standby import WarmStandby
from badgerseam.store.client import StateClient
from badgerseam.store.committer import GroupCommitter
from badgerseam.store.ledger import Ledger
from badgerseam.store.machine_records import MachineRecords
from badgerseam.store.stale_pages import stale_page_rewriter
from badgerseam.store.state_watcher import StateWatcher
from badgerseam.store.write_rate import WriteRateAllocator
from badgerseam.workers.draining import drain
from badgerseam.workers.inspection import lacks_addresses
from badgerseam.workers.worker_manager import WorkerManager

log = logging.getLogger("badgerseam")

TICK_S = 0.2
IDLE_SOCKETS_FRACTION = 0.2
"""Part of the sockets that connections kept idle may take; the rest is for those that come in."""
FREE_SOCKETS_FRACTION = 0.1
"""Part of the sockets that stays free for those that come next: a controller left alone with a
fleet of most of its sockets keeps fewer connections idle."""
MIN_IDLE_CONNECTIONS = 16
PUSH_TICKS = 4
"""Ticks in which each machine is looked at once that has not answered yet."""
SWEEP_TICKS = 16
"""Ticks in which every machine is: a multiple of PUSH_ROUNDS, and about a report interval, since
the answer to a report holds all there is to do as well."""
SUMMARY_TICKS = 5
"""Ticks between looks at cancelled jobs without a summary."""
PLAN_DELAY_S = 0.004
"""Gathers what arrives together before it is planned."""
PLAN_TIME_FRACTION = 0.3
"""Part of the time that plans may take: with a long backlog and a full fleet each end calls for a
plan that finds little room. They get rarer then, and each serves all that ended meanwhile."""
MAX_PLAN_PAUSE_S = 0.25
"""A process that stood still in the middle of a plan must not pause for a multiple of that."""


class Controller:
    """Builds the parts; `run` drives them until cancelled."""

    def __init__(
        self,
        settings: Settings,
        tunables: Tunables,
        clock: Clock,
        random: Random,
        network: Network = SOCKETS,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.tunables = tunables
        params = settings.params
        self._network = network
        http = network.client(keep=self._idle_connection_limit)
        self._servers: list[HttpServer] = []
        self.model = Model(settings, clock)
        self.state = StateClient(
            clock,
            http,
            settings.outside.state,
            params.state,
            1 + len(settings.siblings),
            random,
        )
        self.committer = GroupCommitter(clock, self.state)
        self.membership = Membership(
            self.model, self.state, self.committer, tunables, self.schedule_review
        )
        self.planner = Planner(self.model, tunables)
        self.ledger = Ledger(
            self.model, self.state, self.committer, self.schedule_review, self.membership.resign
        )
        self.heartbeat_proxy = HeartbeatProxy(
            self.model,
            self.membership,
            self.state,
            self.committer,
            tunables.claim_ttl_s,
            lambda node: self.peers.is_unreachable(node),
        )
        self.worker_manager = WorkerManager(
            self.model,
            self.membership,
            http,
            tunables,
            self.schedule_review,
            lambda: self.peers.peer_with_state_service(),
            self.heartbeat_proxy,
        )
        self.machine_records = MachineRecords(self.model, self.state, self.committer)
        self.machine_transfer = MachineTransfer(self.model, self.machine_records, self.planner)
        self.write_rate = WriteRateAllocator(self.model, self.state.writes)
        self.peers = Peers(self.model, http, self.machine_transfer, self.state, self.write_rate)
        self.fleet = FleetManager(
            self.model,
            self.membership,
            self.committer,
            self.machine_records,
            CloudClient(clock, http, settings.outside.cloud, params.cloud.rps),
            self.planner,
            tunables,
            random,
            self.peers.transfer_machines,
            self.schedule_review,
        )
        self.state_watcher = StateWatcher(
            self.model, self.state, self.schedule_review, self._on_level_support
        )
        self.explainer: Explainer | None = None
        questions: ExplainApi | None = None
        if tunables.explain is not None:
            self.explainer = Explainer(
                self.model,
                self.planner,
                self.membership,
                tunables.explain,
                self.peers.ask_owner,
                self.peers.ask_leader,
            )
            questions = ExplainApi(self.model, self.explainer, tunables.explain)
            self.peers.answer_questions_with(
                self.explainer.for_peer,
                lambda: self.fleet.view() if self.membership.is_leader else None,
            )
        batch: BatchApi | None = None
        if tunables.batch is not None:
            numbers = JobNumbers(self.model, self.state, self.committer)
            batch = BatchApi(self.model, self.ledger, numbers, self.planner.terms, tunables.batch)
        accounting: AccountingApi | None = None
        self.attempt_log: AttemptLog | None = None
        if tunables.accounting is not None:
            accounts = JobAccounts(self.model, tunables.accounting.most_jobs)
            self.model.accounts = accounts
            if tunables.accounting.attempts:
                self.attempt_log = accounts.log = AttemptLog(
                    self.model, self.state, self.committer, tunables.accounting, self._process_name
                )
            accounting = AccountingApi(self.model, accounts.history, accounts.log)
        self.classes: ClassesKeeper | None = None
        classes: ClassesApi | None = None
        if tunables.classes is not None:
            self.classes = ClassesKeeper(
                self.model, self.membership, self.committer, tunables.classes
            )
            rules = ClassRules(self.model, self.planner)
            self.ledger.class_of = rules.class_of_submission
            self.fleet.class_of = rules.class_of_arrival
            classes = ClassesApi(self.model, self.classes, rules)
        self.replicas: ReplicasKeeper | None = None
        if tunables.replicas is not None:
            self.replicas = ReplicasKeeper(self.model, self.planner, tunables.replicas)
        self.peers.accept_takeovers_with(self.membership.take_over_claim)
        self.membership.request_takeover = self.peers.request_takeover
        self.watch_health = WatchHealth(
            self.model, self.membership, self.state, self.peers.request_takeover
        )
        self.standby: WarmStandby | None = None
        if tunables.standby is not None:
            self.standby = WarmStandby(
                self.model,
                self.membership,
                self.state,
                tunables.standby,
                tunables,
                self.peers.ask_standby,
                f"{settings.node}-{random.getrandbits(64):x}",
                self.fleet.scale_out.blocked,
            )
            self.membership.takeover_checks = self.standby
            self.heartbeat_proxy.leases_may_end_early = True
            self.peers.standby = self.standby.handle
            self.worker_manager.on_redirected_worker = (
                self.standby.failure_detector.on_redirected_worker
            )
        self.stale_pages = stale_page_rewriter(self.model, self.ledger, self.committer)
        self.level_upgrade: LevelUpgrade | None = None
        self.page_refresh: PageRefresh | None = None
        self.migration: RecordMigration | None = None
        rollout: RolloutApi | None = None
        if tunables.rollout is not None:
            self.level_upgrade = LevelUpgrade(
                self.model, self.membership, self.committer, tunables.rollout
            )
            self.page_refresh = PageRefresh(self.model, self.ledger, self.committer)
            self.migration = RecordMigration(
                self.model, self.membership, self.state, self.committer, RECORD_FORMATS
            )
            handover = Handover(
                self.model,
                self.membership,
                self.peers.request_takeover,
                lambda: sum(server.open_requests for server in self._servers),
            )
            rollout = RolloutApi(
                self.model,
                self.membership,
                self.level_upgrade,
                handover,
                self.page_refresh,
                self.migration,
            )
        self.runs: RunsKeeper | None = None
        runs: RunsApi | None = None
        if tunables.runs is not None:
            book = RunIndex(self.model, tunables.runs)
            self.model.job_observer = book
            self.planner.runs = RunStartRules(book)
            self.runs = RunsKeeper(self.model, self.membership, self.committer, book)
            runs = RunsApi(self.model, self.state, book, self.runs)
        self.api = UserApi(
            self.model,
            self.state,
            self.ledger,
            self.membership,
            self.worker_manager,
            self._better_served_elsewhere,
            questions,
            batch,
            accounting,
            rollout,
            classes,
            runs,
            tunables.replicas,
        )
        self._pulse_at: asyncio.TimerHandle | None = None
        self._plan_at: asyncio.TimerHandle | None = None
        self._tasks = BackgroundTasks()

    def _idle_connection_limit(self) -> int:
        """How many connections may be kept idle now."""
        sockets = self.settings.params.machine_limits.sockets
        taken = sum(server.connections for server in self._servers)
        return max(
            MIN_IDLE_CONNECTIONS,
            min(
                round(IDLE_SOCKETS_FRACTION * sockets),
                round((1 - FREE_SOCKETS_FRACTION) * sockets) - taken,
            ),
        )

    def _on_level_support(self, fits: bool) -> None:
        """The program has begun, or ceased, to fit the site's level."""
        if fits:
            self.membership.mark_available(UnavailableReason.UNSUPPORTED_LEVEL)
        else:
            self.membership.deactivate()

    def _better_served_elsewhere(self) -> str | None:
        """Why users are better off elsewhere than here; None if nobody is known to be better."""
        if self.heartbeat_proxy.partition.is_partitioned:
            return "a share of ours has a later owner"
        if self.peers.is_isolated:
            return "nobody answers us"
        return self.peers.peer_with_state_service()

    def _process_name(self) -> str:
        # The lease's number makes it one that no other process has had.
        return f"{self.settings.node}-{self.membership.lease}"

    # ---- driving ----

    def schedule_review(self) -> None:
        """Something has changed; look at what it calls for, soon and once."""
        if self._pulse_at is None:
            loop = asyncio.get_running_loop()
            self._pulse_at = loop.call_later(PLAN_DELAY_S, self._review)

    def _review(self) -> None:
        self._pulse_at = None
        model = self.model
        self.membership.review()
        if self.standby is not None:
            self.standby.step()
        if self._plan_at is None:
            self._plan()
        self.ledger.flush()
        with model.lock:
            pushes, model.machines_to_push = model.machines_to_push, set()
            # Of what one plan has placed on many machines, the higher classes' launches go first.
            ordered = pushes if model.class_of is None else sorted(pushes, key=self._first_launch)
            for index in ordered:
                machine = model.machines.get(index)
                if machine is not None:
                    self.worker_manager.push(machine)

    def _first_launch(self, index: int) -> tuple[int, int]:
        """Rank, negated, and priority class of the first task that a machine is to be told of."""
        machine = self.model.machines.get(index)
        attempts = () if machine is None else machine.attempts.values()
        waiting = (a for a in attempts if a.stage == Stage.PLACED and not a.sent)
        return min(
            ((-a.job.rank, self.model.priority_class(a.job)) for a in waiting), default=(1, 0)
        )

    def _plan(self) -> None:
        """Plan for the shares that something has changed for."""
        model = self.model
        began = self.clock.now()
        if self.standby is not None and not self.standby.gate.is_steady():
            # What has to be planned stays noted.
            return
        with model.lock:
            if self.replicas is not None:
                self.replicas.reconcile()
            kicks, model.shards_to_plan = model.shards_to_plan, set()
            for index in kicks:
                shard = model.shards[index]
                if (
                    shard.owned
                    and not shard.releasing
                    and self.membership.lease_confirmed_within(5.0)
                ):
                    self.planner.run(shard)
        pause_s = (self.clock.now() - began) * (1.0 / PLAN_TIME_FRACTION - 1.0)
        if pause_s > PLAN_DELAY_S:
            loop = asyncio.get_running_loop()
            self._plan_at = loop.call_later(min(pause_s, MAX_PLAN_PAUSE_S), self._plan_again)

    def _plan_again(self) -> None:
        self._plan_at = None
        if self.model.shards_to_plan:
            self.schedule_review()

    async def _tick(self) -> None:
        """What time alone calls for."""
        rounds = 0
        while True:
            await asyncio.sleep(TICK_S)
            rounds += 1
            model = self.model
            self.write_rate.review()
            with model.lock:
                for own in model.shards:
                    if own.owned:
                        model.shards_to_plan.add(own.index)
                if lacks_addresses(model):
                    self.fleet.learn_addresses()
                self.worker_manager.heartbeat_reception.check()
                self.watch_health.check()
                self.heartbeat_proxy.review()
                self.worker_manager.expire_leases()
                self.worker_manager.probe_unresponsive()
                drain(model, None if self.replicas is None else self.replicas.keeps_on_draining)
                # What changes is pushed when it does; this is for what has to be tried again.
                for own in model.shards:
                    if own.owned:
                        model.machines_to_push.update(
                            index
                            for index, machine in model.shard_machines[own.index].items()
                            if (rounds - index) % PUSH_TICKS == 0
                            and (
                                machine.awaits_acknowledgement
                                or (rounds - index) % SWEEP_TICKS == 0
                            )
                        )
                for machine, shard in self.machine_transfer.evacuated():
                    self._tasks.spawn(self._transfer(machine, shard))
                if self.level_upgrade is not None:
                    self.level_upgrade.review()
                if self.classes is not None:
                    self.classes.review()
                if rounds % SUMMARY_TICKS == 0:
                    self.ledger.write_summaries()
                    self.stale_pages.review()
                    if self.page_refresh is not None:
                        self.page_refresh.review()
                if rounds % 2 == 0 and self.machine_transfer.releasable():
                    self._tasks.spawn(self.machine_transfer.release_finished())
                if rounds % max(1, round(self.tunables.counts_s / TICK_S)) == 0:
                    for own in model.shards:
                        if own.owned:
                            self._tasks.spawn(self.ledger.write_counts(own))
                    log.debug("%s", self.committer.report())
            self.schedule_review()

    async def _transfer(self, machine: Machine, shard: int) -> None:
        await self.machine_transfer.transfer([machine], shard)

    async def run(self) -> None:
        """Serve until cancelled; a loop that fails ends the process."""
        api = self._network.server(cast(Handler, self.api.dispatch))
        api.listen(self.settings.api_addr)
        peers = self._network.server(self.peers.handle)
        peers.listen(self.settings.cluster_listen)
        self._servers += [api, peers]
        log.info("%s serves on %s", self.settings.node, self.settings.api_addr)
        async with asyncio.TaskGroup() as group:
            group.create_task(self.state_watcher.run())
            group.create_task(self.membership.keep_lease())
            group.create_task(self.fleet.keep_types())
            group.create_task(self.fleet.keep_list())
            group.create_task(self.fleet.keep_fleet())
            group.create_task(self.peers.keep_health())
            if self.standby is not None:
                group.create_task(self.standby.keep())
            if self.explainer is not None and self.explainer.samples:
                group.create_task(self.explainer.keep_samples())
            if self.migration is not None:
                group.create_task(self.migration.keep())
            if self.runs is not None:
                group.create_task(self.runs.keep())
            if self.attempt_log is not None:
                group.create_task(self.attempt_log.keep())
            group.create_task(self._tick())
