"""The composition root of a controller: creates its components and runs their tasks."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
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
from badgerseam.batch.numbers import JobNumbers
from badgerseam.classes.class_record import ClassRecordKeeper
from badgerseam.classes.rules import ClassRules
from badgerseam.clock import Clock
from badgerseam.cluster.availability import UnavailableReason
from badgerseam.cluster.heartbeat_proxy import HeartbeatProxy
from badgerseam.cluster.membership import Membership
from badgerseam.cluster.peers import Peers
from badgerseam.cluster.watch_health import WatchHealth
from badgerseam.controller_loops import ChangeReview, PeriodicReview, ReviewedComponents
from badgerseam.explain.explainer import Explainer
from badgerseam.fleet.cloud import CloudClient
from badgerseam.fleet.machine_transfer import MachineTransfer
from badgerseam.fleet.manager import FleetManager
from badgerseam.http.network import SOCKETS, Network
from badgerseam.http.server import Handler, HttpServer
from badgerseam.model.model import Model
from badgerseam.replicas.reconciler import ReplicaReconciler
from badgerseam.rollout.handover import Handover
from badgerseam.rollout.level_upgrade import LevelUpgrade
from badgerseam.rollout.migration import RECORD_FORMATS, RecordMigration
from badgerseam.rollout.page_refresh import PageRefresh
from badgerseam.runs.rules import RunStartRules
from badgerseam.runs.run_index import RunIndex
from badgerseam.runs.run_lifecycle import RunLifecycle
from badgerseam.sched.planner import Planner
from badgerseam.settings import Settings
from badgerseam.standby.warm_standby import WarmStandby
from badgerseam.store.client import StateClient
from badgerseam.store.committer import GroupCommitter
from badgerseam.store.ledger import Ledger
from badgerseam.store.machine_records import MachineRecords
from badgerseam.store.stale_pages import oversized_page_rewriter, stale_page_rewriter
from badgerseam.store.state_watcher import StateWatcher
from badgerseam.store.write_rate import WriteRateAllocator
from badgerseam.tunables import Tunables
from badgerseam.wire.explain import CloudView
from badgerseam.workers.worker_manager import WorkerManager

log = logging.getLogger("badgerseam")

IDLE_SOCKETS_FRACTION = 0.2
"""Maximum fraction of the sockets for idle outgoing connections; the rest is for incoming ones."""
FREE_SOCKETS_FRACTION = 0.1
"""Fraction of the sockets that stays free for new connections. When a large fleet uses most of the
sockets of the only running controller, that controller keeps fewer idle connections."""
MIN_IDLE_CONNECTIONS = 16


@dataclass(frozen=True, slots=True)
class RolloutComponents:
    """The components that upgrade the level of a site and migrate its records."""

    level_upgrade: LevelUpgrade
    page_refresh: PageRefresh
    migration: RecordMigration
    handover: Handover


class Controller:
    """Creates the components; `run` runs them until it is cancelled.

    The component of an optional feature is None unless the operators' options have its section.
    Components may draw numbers from `random` while they are created, so that the order of creation
    decides which numbers each of them gets.
    """

    def __init__(
        self,
        settings: Settings,
        tunables: Tunables,
        clock: Clock,
        random: Random,
        network: Network = SOCKETS,
    ) -> None:
        self.settings = settings
        self.tunables = tunables
        self._network = network
        self._http = network.client(max_idle=self._idle_connection_limit)
        self._servers: list[HttpServer] = []
        self.model = Model(settings, clock)
        self.state = self._create_state_client(random)
        self.committer = GroupCommitter(clock, self.state)
        self.membership = self._create_membership()
        self.planner = Planner(self.model, tunables)
        self.ledger = self._create_ledger()
        self.heartbeat_proxy = self._create_heartbeat_proxy()
        self.worker_manager = self._create_worker_manager()
        self.machine_records = MachineRecords(self.model, self.state, self.committer)
        self.machine_transfer = MachineTransfer(self.model, self.machine_records, self.planner)
        self.write_rate = WriteRateAllocator(self.model, self.state.write_budget)
        self.peers = self._create_peers()
        self.fleet = self._create_fleet_manager(random)
        self.state_watcher = self._create_state_watcher()
        self.explainer = self._create_explainer()
        self.accounts = self._create_accounts()
        self.classes = self._create_class_record_keeper()
        self.class_rules = self._create_class_rules()
        self.replicas = self._create_replica_reconciler()
        self.watch_health = self._create_watch_health()
        self.standby = self._create_standby(random)
        self.stale_pages = stale_page_rewriter(self.model, self.ledger, self.committer)
        self.oversized_pages = oversized_page_rewriter(self.model, self.ledger, self.committer)
        self.rollout = self._create_rollout_components()
        self.run_index = self._create_run_index()
        self.runs = self._create_run_lifecycle()
        self.api = self._create_user_api()
        self._components = self._collect_components()
        self._change_review = ChangeReview(self._components)

    async def run(self) -> None:
        """Serves requests until cancelled; a background loop that fails ends the process."""
        self._listen()
        async with asyncio.TaskGroup() as group:
            group.create_task(self.state_watcher.run())
            group.create_task(self.membership.keep_lease())
            group.create_task(self.fleet.machine_types.run())
            group.create_task(self.fleet.machine_list.run())
            group.create_task(self.fleet.run())
            group.create_task(self.peers.run_health_checks())
            if self.standby is not None:
                group.create_task(self.standby.run())
            if self.explainer is not None and self.explainer.has_survey_interval:
                group.create_task(self.explainer.run_periodic_surveys())
            if self.rollout is not None:
                group.create_task(self.rollout.migration.run())
            if self.runs is not None:
                group.create_task(self.runs.run_forever())
            if self.accounts is not None and self.accounts.log is not None:
                group.create_task(self.accounts.log.run_forever())
            counts_s = self.tunables.counts_s
            group.create_task(PeriodicReview(self._components, self._change_review, counts_s).run())

    def _listen(self) -> None:
        """Starts listening on the user API address and on the peer address."""
        users = self._network.server(cast(Handler, self.api.dispatch))
        users.listen(self.settings.api_addr)
        peers = self._network.server(self.peers.handle)
        peers.listen(self.settings.cluster_listen)
        self._servers += [users, peers]
        log.info(
            "controller started controller=%s address=%s",
            self.settings.node,
            self.settings.api_addr,
        )

    # ---- callbacks for the components ----

    def schedule_review(self) -> None:
        """Schedules one review for all changes that arrive before it runs."""
        self._change_review.schedule()

    def _idle_connection_limit(self) -> int:
        """Returns how many outgoing connections may be kept idle now."""
        sockets = self.settings.params.machine_limits.sockets
        return max(
            MIN_IDLE_CONNECTIONS,
            min(
                round(IDLE_SOCKETS_FRACTION * sockets),
                round((1 - FREE_SOCKETS_FRACTION) * sockets) - self._incoming_connections(),
            ),
        )

    def _incoming_connections(self) -> int:
        return sum(server.connections for server in self._servers)

    def _open_requests(self) -> int:
        return sum(server.open_requests for server in self._servers)

    def _on_level_support(self, is_supported: bool) -> None:
        """Handles a change of whether this version of the program supports the site's level."""
        if is_supported:
            self.membership.mark_available(UnavailableReason.UNSUPPORTED_LEVEL)
        else:
            self.membership.deactivate()

    def _redirect_reason(self) -> str | None:
        """Returns why a peer can serve users better; None if no such peer is known."""
        if self.heartbeat_proxy.partition.is_partitioned:
            return "another controller has taken over an owned shard"
        if self.peers.is_isolated:
            return "neither the state service nor any peer responds"
        return self.peers.peer_with_state_service()

    def _cloud_view(self) -> CloudView | None:
        """Returns the leader's view of the cloud; None if this controller is not the leader."""
        return self.fleet.cloud_view() if self.membership.is_leader else None

    def _process_name(self) -> str:
        # The number of the lease makes the name unique among all processes.
        return f"{self.settings.node}-{self.membership.lease}"

    # ---- required components ----

    def _create_state_client(self, random: Random) -> StateClient:
        settings = self.settings
        return StateClient(
            self.model.clock,
            self._http,
            settings.outside.state,
            settings.params.state,
            1 + len(settings.siblings),
            random,
        )

    def _create_membership(self) -> Membership:
        return Membership(
            self.model, self.state, self.committer, self.tunables, self.schedule_review
        )

    def _create_ledger(self) -> Ledger:
        return Ledger(
            self.model, self.state, self.committer, self.schedule_review, self.membership.resign
        )

    def _create_heartbeat_proxy(self) -> HeartbeatProxy:
        return HeartbeatProxy(
            self.model,
            self.membership,
            self.state,
            self.committer,
            self.tunables.claim_ttl_s,
            lambda node: self.peers.is_unreachable(node),
        )

    def _create_worker_manager(self) -> WorkerManager:
        return WorkerManager(
            self.model,
            self.membership,
            self._http,
            self.tunables,
            self.schedule_review,
            lambda: self.peers.peer_with_state_service(),
            self.heartbeat_proxy,
        )

    def _create_peers(self) -> Peers:
        """Creates the peer protocol and connects it to the membership for takeovers of claims."""
        peers = Peers(self.model, self._http, self.machine_transfer, self.state, self.write_rate)
        peers.set_takeover_handler(self.membership.take_over_claim)
        self.membership.request_takeover = peers.request_takeover
        return peers

    def _create_fleet_manager(self, random: Random) -> FleetManager:
        settings = self.settings
        cloud = CloudClient(
            self.model.clock, self._http, settings.outside.cloud, settings.params.cloud.rps
        )
        return FleetManager(
            self.model,
            self.membership,
            self.committer,
            self.machine_records,
            cloud,
            self.planner,
            self.tunables,
            random,
            self.peers.transfer_machines,
            self.schedule_review,
        )

    def _create_state_watcher(self) -> StateWatcher:
        return StateWatcher(self.model, self.state, self.schedule_review, self._on_level_support)

    def _create_watch_health(self) -> WatchHealth:
        return WatchHealth(self.model, self.membership, self.state, self.peers.request_takeover)

    def _create_user_api(self) -> UserApi:
        return UserApi(
            self.model,
            self.state,
            self.ledger,
            self.membership,
            self.worker_manager,
            self._redirect_reason,
            self._create_explain_api(),
            self._create_batch_api(),
            self._create_accounting_api(),
            self._create_rollout_api(),
            self._create_classes_api(),
            self._create_runs_api(),
            self.tunables.replicas,
        )

    def _collect_components(self) -> ReviewedComponents:
        rollout = self.rollout
        return ReviewedComponents(
            model=self.model,
            membership=self.membership,
            planner=self.planner,
            ledger=self.ledger,
            committer=self.committer,
            write_rate=self.write_rate,
            worker_manager=self.worker_manager,
            heartbeat_proxy=self.heartbeat_proxy,
            watch_health=self.watch_health,
            machine_transfer=self.machine_transfer,
            fleet=self.fleet,
            stale_pages=self.stale_pages,
            oversized_pages=self.oversized_pages,
            standby=self.standby,
            replicas=self.replicas,
            classes=self.classes,
            level_upgrade=None if rollout is None else rollout.level_upgrade,
            page_refresh=None if rollout is None else rollout.page_refresh,
        )

    # ---- optional features ----

    def _create_explainer(self) -> Explainer | None:
        options = self.tunables.explain
        if options is None:
            return None
        explainer = Explainer(
            self.model,
            self.planner,
            self.membership,
            options,
            self.peers.ask_owner,
            self.peers.ask_leader,
        )
        self.peers.set_explain_handlers(explainer.answer_peer, self._cloud_view)
        return explainer

    def _create_explain_api(self) -> ExplainApi | None:
        if self.explainer is None or self.tunables.explain is None:
            return None
        return ExplainApi(self.model, self.explainer, self.tunables.explain)

    def _create_batch_api(self) -> BatchApi | None:
        options = self.tunables.batch
        if options is None:
            return None
        numbers = JobNumbers(self.model, self.state, self.committer)
        return BatchApi(self.model, self.ledger, numbers, self.planner.terms, options)

    def _create_accounts(self) -> JobAccounts | None:
        options = self.tunables.accounting
        if options is None:
            return None
        accounts = JobAccounts(self.model, options.most_jobs)
        self.model.accounts = accounts
        if options.attempts:
            accounts.log = AttemptLog(
                self.model, self.state, self.committer, options, self._process_name
            )
        return accounts

    def _create_accounting_api(self) -> AccountingApi | None:
        if self.accounts is None:
            return None
        return AccountingApi(self.model, self.accounts.history, self.accounts.log)

    def _create_class_record_keeper(self) -> ClassRecordKeeper | None:
        options = self.tunables.classes
        if options is None:
            return None
        return ClassRecordKeeper(self.model, self.membership, self.committer, options)

    def _create_class_rules(self) -> ClassRules | None:
        if self.tunables.classes is None:
            return None
        rules = ClassRules(self.model, self.planner)
        self.ledger.class_of = rules.class_of_submission
        self.fleet.class_of = rules.class_of_arrival
        return rules

    def _create_classes_api(self) -> ClassesApi | None:
        if self.classes is None or self.class_rules is None:
            return None
        return ClassesApi(self.model, self.classes, self.class_rules)

    def _create_replica_reconciler(self) -> ReplicaReconciler | None:
        options = self.tunables.replicas
        return None if options is None else ReplicaReconciler(self.model, self.planner, options)

    def _create_standby(self, random: Random) -> WarmStandby | None:
        options = self.tunables.standby
        if options is None:
            return None
        standby = WarmStandby(
            self.model,
            self.membership,
            self.state,
            options,
            self.tunables,
            self.peers.ask_standby,
            f"{self.settings.node}-{random.getrandbits(64):x}",
            self.fleet.scale_out.blocked,
        )
        self.membership.claim_policy.takeover_checks = standby
        self.heartbeat_proxy.leases_may_end_early = True
        self.peers.standby = standby.handle
        self.worker_manager.on_redirected_worker = standby.failure_detector.on_redirected_worker
        return standby

    def _create_rollout_components(self) -> RolloutComponents | None:
        model, membership, committer = self.model, self.membership, self.committer
        options = self.tunables.rollout
        if options is None:
            return None
        return RolloutComponents(
            LevelUpgrade(model, membership, committer, options),
            PageRefresh(model, self.ledger, committer),
            RecordMigration(model, membership, self.state, committer, RECORD_FORMATS),
            Handover(model, membership, self.peers.request_takeover, self._open_requests),
        )

    def _create_rollout_api(self) -> RolloutApi | None:
        components = self.rollout
        if components is None:
            return None
        return RolloutApi(
            self.model,
            self.membership,
            components.level_upgrade,
            components.handover,
            components.page_refresh,
            components.migration,
        )

    def _create_run_index(self) -> RunIndex | None:
        options = self.tunables.runs
        if options is None:
            return None
        run_index = RunIndex(self.model, options)
        self.model.job_observer = run_index
        self.planner.runs = RunStartRules(run_index)
        return run_index

    def _create_run_lifecycle(self) -> RunLifecycle | None:
        if self.run_index is None:
            return None
        return RunLifecycle(self.model, self.membership, self.committer, self.run_index)

    def _create_runs_api(self) -> RunsApi | None:
        if self.run_index is None or self.runs is None:
            return None
        return RunsApi(self.model, self.state, self.run_index, self.runs)
