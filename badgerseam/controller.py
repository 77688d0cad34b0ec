"""One controller: its parts put together, and the loops that drive them."""

from __future__ import annotations

import asyncio
import logging
from random import Random
from typing import cast

from badgerseam.accounting.accounts import Accounts
from badgerseam.accounting.attempts import AttemptLog
from badgerseam.api.accounting import AccountingApi
from badgerseam.api.batch import BatchApi
from badgerseam.api.classes import ClassesApi
from badgerseam.api.explain import Questions
from badgerseam.api.rollout import RolloutApi
from badgerseam.api.runs import RunsApi
from badgerseam.api.users import Api
from badgerseam.background import BackgroundTasks
from badgerseam.batch.numbers import Numbers
from badgerseam.classes.class_record import Keeper as ClassesKeeper
from badgerseam.classes.rules import Rules
from badgerseam.clock import Clock
from badgerseam.cluster.availability import Away
from badgerseam.cluster.heartbeat_proxy import Deputies
from badgerseam.cluster.membership import Member
from badgerseam.cluster.peers import Peers
from badgerseam.cluster.watch_health import Following
from badgerseam.explain.explainer import Explainer
from badgerseam.fleet.cloud import Cloud
from badgerseam.fleet.machine_transfer import Returns
from badgerseam.fleet.manager import Fleet
from badgerseam.http.network import SOCKETS, Network
from badgerseam.http.server import Handler, Server
from badgerseam.model.job import Stage
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.replicas.reconciler import Keeper as ReplicasKeeper
from badgerseam.rollout.handover import Handover
from badgerseam.rollout.level_upgrade import Raising
from badgerseam.rollout.migration import FORMS, Carrying
from badgerseam.rollout.page_refresh import Refresh
from badgerseam.runs.rules import RunRules
from badgerseam.runs.run_index import Book
from badgerseam.runs.run_lifecycle import Keeper as RunsKeeper
from badgerseam.sched.planner import Planner
from badgerseam.settings import Settings, Tunables
from badgerseam.standby.warm_standby import Standby
from badgerseam.store.client import StateClient
from badgerseam.store.committer import Committer
from badgerseam.store.ledger import Ledger
from badgerseam.store.machine_records import Roster
from badgerseam.store.stale_pages import leavings
from badgerseam.store.state_watcher import Replica
from badgerseam.store.write_rate import Allotment
from badgerseam.workers.draining import drain
from badgerseam.workers.inspection import lacks_addresses
from badgerseam.workers.worker_manager import Control

log = logging.getLogger("badgerseam")

TICK_S = 0.2
KEPT = 0.2
"""Part of the sockets that connections kept idle may take; the rest is for those that come in."""
SPARE = 0.1
"""Part of the sockets that stays free for those that come next: a controller left alone with a
fleet of most of its sockets keeps fewer connections idle."""
LEAST_KEPT = 16
PUSH_ROUNDS = 4
"""Ticks in which each machine is looked at once that has not answered yet."""
SWEEP_ROUNDS = 16
"""Ticks in which every machine is: a multiple of PUSH_ROUNDS, and about a report interval, since
the answer to a report holds all there is to do as well."""
CLOSE_ROUNDS = 5
"""Ticks between looks at cancelled jobs without a summary."""
PLAN_DELAY_S = 0.004
"""Gathers what arrives together before it is planned."""
PLAN_PART = 0.3
"""Part of the time that plans may take: with a long backlog and a full fleet each end calls for a
plan that finds little room. They get rarer then, and each serves all that ended meanwhile."""
MOST_PLAN_PAUSE_S = 0.25
"""A process that stood still in the middle of a plan must not pause for a multiple of that."""


class Node:
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
        http = network.client(keep=self._keep)
        self._servers: list[Server] = []
        self.model = Model(settings, clock)
        self.state = StateClient(
            clock,
            http,
            settings.outside.state,
            params.state,
            1 + len(settings.siblings),
            random,
        )
        self.committer = Committer(clock, self.state)
        self.member = Member(self.model, self.state, self.committer, tunables, self.pulse)
        self.planner = Planner(self.model, tunables)
        self.ledger = Ledger(self.model, self.state, self.committer, self.pulse, self.member.resign)
        self.deputies = Deputies(
            self.model,
            self.member,
            self.state,
            self.committer,
            tunables.claim_ttl_s,
            lambda node: self.peers.unreachable(node),
        )
        self.control = Control(
            self.model,
            self.member,
            http,
            tunables,
            self.pulse,
            lambda: self.peers.alone(),
            self.deputies,
        )
        self.roster = Roster(self.model, self.state, self.committer)
        self.returns = Returns(self.model, self.roster, self.planner)
        self.allotment = Allotment(self.model, self.state.writes)
        self.peers = Peers(self.model, http, self.returns, self.state, self.allotment)
        self.fleet = Fleet(
            self.model,
            self.member,
            self.committer,
            self.roster,
            Cloud(clock, http, settings.outside.cloud, params.cloud.rps),
            self.planner,
            tunables,
            random,
            self.peers.give,
            self.pulse,
        )
        self.replica = Replica(self.model, self.state, self.pulse, self._fitting)
        self.explainer: Explainer | None = None
        questions: Questions | None = None
        if tunables.explain is not None:
            self.explainer = Explainer(
                self.model,
                self.planner,
                self.member,
                tunables.explain,
                self.peers.ask_owner,
                self.peers.ask_leader,
            )
            questions = Questions(self.model, self.explainer, tunables.explain)
            self.peers.answer_with(
                self.explainer.for_sibling,
                lambda: self.fleet.view() if self.member.is_leader else None,
            )
        batch: BatchApi | None = None
        if tunables.batch is not None:
            numbers = Numbers(self.model, self.state, self.committer)
            batch = BatchApi(self.model, self.ledger, numbers, self.planner.terms, tunables.batch)
        accounting: AccountingApi | None = None
        self.attempt_log: AttemptLog | None = None
        if tunables.accounting is not None:
            accounts = Accounts(self.model, tunables.accounting.most_jobs)
            self.model.accounts = accounts
            if tunables.accounting.attempts:
                self.attempt_log = accounts.log = AttemptLog(
                    self.model, self.state, self.committer, tunables.accounting, self._process_name
                )
            accounting = AccountingApi(self.model, accounts.book, accounts.log)
        self.classes: ClassesKeeper | None = None
        classes: ClassesApi | None = None
        if tunables.classes is not None:
            self.classes = ClassesKeeper(self.model, self.member, self.committer, tunables.classes)
            rules = Rules(self.model, self.planner)
            self.ledger.class_of = rules.of_submission
            self.fleet.class_of = rules.of_arrival
            classes = ClassesApi(self.model, self.classes, rules)
        self.replicas: ReplicasKeeper | None = None
        if tunables.replicas is not None:
            self.replicas = ReplicasKeeper(self.model, self.planner, tunables.replicas)
        self.peers.take_with(self.member.take)
        self.member.ask_to_take = self.peers.ask_to_take
        self.following = Following(self.model, self.member, self.state, self.peers.ask_to_take)
        self.standby: Standby | None = None
        if tunables.standby is not None:
            self.standby = Standby(
                self.model,
                self.member,
                self.state,
                tunables.standby,
                tunables,
                self.peers.ask_standby,
                f"{settings.node}-{random.getrandbits(64):x}",
                self.fleet.hiring.blocked,
            )
            self.member.gate = self.standby
            self.deputies.ends_early = True
            self.peers.standby = self.standby.handle
            self.control.came = self.standby.watch.worker_came
        self.leavings = leavings(self.model, self.ledger, self.committer)
        self.raising: Raising | None = None
        self.refresh: Refresh | None = None
        self.carrying: Carrying | None = None
        rollout: RolloutApi | None = None
        if tunables.rollout is not None:
            self.raising = Raising(self.model, self.member, self.committer, tunables.rollout)
            self.refresh = Refresh(self.model, self.ledger, self.committer)
            self.carrying = Carrying(self.model, self.member, self.state, self.committer, FORMS)
            handover = Handover(
                self.model,
                self.member,
                self.peers.ask_to_take,
                lambda: sum(server.busy for server in self._servers),
            )
            rollout = RolloutApi(
                self.model, self.member, self.raising, handover, self.refresh, self.carrying
            )
        self.runs: RunsKeeper | None = None
        runs: RunsApi | None = None
        if tunables.runs is not None:
            book = Book(self.model, tunables.runs)
            self.model.watch = book
            self.planner.runs = RunRules(book)
            self.runs = RunsKeeper(self.model, self.member, self.committer, book)
            runs = RunsApi(self.model, self.state, book, self.runs)
        self.api = Api(
            self.model,
            self.state,
            self.ledger,
            self.member,
            self.control,
            self._cut_off,
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

    def _keep(self) -> int:
        """How many connections may be kept idle now."""
        sockets = self.settings.params.machine_limits.sockets
        taken = sum(server.connections for server in self._servers)
        return max(LEAST_KEPT, min(round(KEPT * sockets), round((1 - SPARE) * sockets) - taken))

    def _fitting(self, fits: bool) -> None:
        """The program has begun, or ceased, to fit the site's level."""
        if fits:
            self.member.come_back(Away.UNFIT)
        else:
            self.member.stand_aside()

    def _cut_off(self) -> str | None:
        """Why users are better off elsewhere than here; None if nobody is known to be better."""
        if self.deputies.island.proven:
            return "a share of ours has a later owner"
        if self.peers.isolated:
            return "nobody answers us"
        return self.peers.alone()

    def _process_name(self) -> str:
        # The lease's number makes it one that no other process has had.
        return f"{self.settings.node}-{self.member.lease}"

    # ---- driving ----

    def pulse(self) -> None:
        """Something has changed; look at what it calls for, soon and once."""
        if self._pulse_at is None:
            loop = asyncio.get_running_loop()
            self._pulse_at = loop.call_later(PLAN_DELAY_S, self._step)

    def _step(self) -> None:
        self._pulse_at = None
        model = self.model
        self.member.review()
        if self.standby is not None:
            self.standby.step()
        if self._plan_at is None:
            self._plan()
        self.ledger.flush()
        with model.lock:
            pushes, model.pushes = model.pushes, set()
            # Of what one plan has placed on many machines, the higher classes' launches go first.
            ordered = pushes if model.class_of is None else sorted(pushes, key=self._first_launch)
            for index in ordered:
                machine = model.machines.get(index)
                if machine is not None:
                    self.control.push(machine)

    def _first_launch(self, index: int) -> tuple[int, int]:
        """Rank, negated, and priority class of the first task that a machine is to be told of."""
        machine = self.model.machines.get(index)
        attempts = () if machine is None else machine.attempts.values()
        waiting = (a for a in attempts if a.stage == Stage.PLACED and not a.sent)
        return min(((-a.job.rank, self.model.klass(a.job)) for a in waiting), default=(1, 0))

    def _plan(self) -> None:
        """Plan for the shares that something has changed for."""
        model = self.model
        began = self.clock.now()
        if self.standby is not None and not self.standby.gate.steady():
            # What has to be planned stays noted.
            return
        with model.lock:
            if self.replicas is not None:
                self.replicas.look()
            kicks, model.kicks = model.kicks, set()
            for index in kicks:
                share = model.shares[index]
                if share.owned and not share.releasing and self.member.fresh(5.0):
                    self.planner.run(share)
        pause_s = (self.clock.now() - began) * (1.0 / PLAN_PART - 1.0)
        if pause_s > PLAN_DELAY_S:
            loop = asyncio.get_running_loop()
            self._plan_at = loop.call_later(min(pause_s, MOST_PLAN_PAUSE_S), self._plan_again)

    def _plan_again(self) -> None:
        self._plan_at = None
        if self.model.kicks:
            self.pulse()

    async def _tick(self) -> None:
        """What time alone calls for."""
        rounds = 0
        while True:
            await asyncio.sleep(TICK_S)
            rounds += 1
            model = self.model
            self.allotment.review()
            with model.lock:
                for own in model.shares:
                    if own.owned:
                        model.kicks.add(own.index)
                if lacks_addresses(model):
                    self.fleet.learn_addresses()
                self.control.hearing.look()
                self.following.look()
                self.deputies.review()
                self.control.watch()
                self.control.suspect()
                drain(model, None if self.replicas is None else self.replicas.keeps)
                # What changes is pushed when it does; this is for what has to be tried again.
                for own in model.shares:
                    if own.owned:
                        model.pushes.update(
                            index
                            for index, machine in model.fleets[own.index].items()
                            if (rounds - index) % PUSH_ROUNDS == 0
                            and (machine.unanswered or (rounds - index) % SWEEP_ROUNDS == 0)
                        )
                for machine, share in self.returns.vacated():
                    self._tasks.spawn(self._pass_on(machine, share))
                if self.raising is not None:
                    self.raising.review()
                if self.classes is not None:
                    self.classes.review()
                if rounds % CLOSE_ROUNDS == 0:
                    self.ledger.close()
                    self.leavings.review()
                    if self.refresh is not None:
                        self.refresh.review()
                if rounds % 2 == 0 and self.returns.finished():
                    self._tasks.spawn(self.returns.drop())
                if rounds % max(1, round(self.tunables.counts_s / TICK_S)) == 0:
                    for own in model.shares:
                        if own.owned:
                            self._tasks.spawn(self.ledger.write_counts(own))
                    log.debug("%s", self.committer.report())
            self.pulse()

    async def _pass_on(self, machine: Machine, share: int) -> None:
        await self.returns.give([machine], share)

    async def run(self) -> None:
        """Serve until cancelled; a loop that fails ends the process."""
        api = self._network.server(cast(Handler, self.api.dispatch))
        api.listen(self.settings.api_addr)
        peers = self._network.server(self.peers.handle)
        peers.listen(self.settings.cluster_listen)
        self._servers += [api, peers]
        log.info("%s serves on %s", self.settings.node, self.settings.api_addr)
        async with asyncio.TaskGroup() as group:
            group.create_task(self.replica.run())
            group.create_task(self.member.keep_lease())
            group.create_task(self.fleet.keep_types())
            group.create_task(self.fleet.keep_list())
            group.create_task(self.fleet.keep_fleet())
            group.create_task(self.peers.keep_health())
            if self.standby is not None:
                group.create_task(self.standby.keep())
            if self.explainer is not None and self.explainer.samples:
                group.create_task(self.explainer.keep_samples())
            if self.carrying is not None:
                group.create_task(self.carrying.keep())
            if self.runs is not None:
                group.create_task(self.runs.keep())
            if self.attempt_log is not None:
                group.create_task(self.attempt_log.keep())
            group.create_task(self._tick())
