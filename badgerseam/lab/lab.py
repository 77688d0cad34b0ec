"""A lab: starts and connects the parts of a whole site, and stops them again."""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import TypeVar, cast

from badgerseam.clock import Clock
from badgerseam.http.network import SOCKETS, Network
from badgerseam.http.server import Handler, HttpServer
from badgerseam.lab.adversarial_clients import AdversarialClients
from badgerseam.lab.checker import Verdict, check_history
from badgerseam.lab.checkouts import (
    OWN_SOURCES,
    Checkout,
    CheckoutError,
    make_checkout,
    own_checkout,
)
from badgerseam.lab.cloud import CloudCore, RentedMachine
from badgerseam.lab.controllers import ControllerProcess
from badgerseam.lab.errors import LabError
from badgerseam.lab.history import History, Kind
from badgerseam.lab.judged_history import RuleContext, RuleViolation
from badgerseam.lab.lab_directory import LabDirectory
from badgerseam.lab.late_commands import LateCommands
from badgerseam.lab.late_heartbeats import LateHeartbeats
from badgerseam.lab.links import Links, Relay
from badgerseam.lab.load import UserLoad
from badgerseam.lab.load_balancer import LoadBalancer
from badgerseam.lab.machines import MachineProcess
from badgerseam.lab.ownership_gaps import OwnershipGaps
from badgerseam.lab.ports import allocate_ports, free_ports
from badgerseam.lab.read_after_write import ReadAfterWriteClients
from badgerseam.lab.services import CloudService, StateService, serve_for
from badgerseam.lab.site import Ports, SiteSpec, controller_settings, write_settings
from badgerseam.lab.state import StateCore
from badgerseam.lab.worker import Identity, Results, WorkerCore
from badgerseam.model.keys import LEADER_KEY
from badgerseam.model.resources import Resources
from badgerseam.settings import Settings

log = logging.getLogger("badgerseam.lab")

T = TypeVar("T")

MACHINE_POLL_S = 0.05
READY_TIMEOUT_S = 20.0


class Lab:
    """One site: controllers run as processes of their own, everything else in this process.

    `directory` contains its settings, logs and history, and a lock that excludes a second lab.
    """

    def __init__(
        self,
        site: SiteSpec,
        directory: Path,
        clock: Clock,
        random: Random,
        port: int = 0,
        options: Path | None = None,
        checkout_sources: dict[str, str] | None = None,
        initial_checkout: str = OWN_SOURCES,
        network: Network = SOCKETS,
    ) -> None:
        """Creates a site that is not started yet.

        `port` is the load balancer's; 0 for any. `checkout_sources` are the other source trees
        that controllers can run from, by name; `initial_checkout` names the one of the first start.
        """
        self.site = site
        self._network = network
        self.directory = directory
        self._directory = LabDirectory(directory)
        self.clock = clock
        self.random = random
        self._checkout_sources = checkout_sources or {}
        self._initial_checkout = initial_checkout
        self.checkouts: dict[str, Checkout] = {OWN_SOURCES: own_checkout(options)}
        self._requested_port = port
        self.links = Links(random)
        self.late_commands = LateCommands(random)
        self.state_core = StateCore(clock, site.state)
        self.cloud_core = CloudCore(
            clock,
            site.cloud,
            list(site.types),
            random,
            site.capacity,
            site.never_up,
            self._on_machine_gone,
        )
        self.state_service = StateService(self.state_core, clock)
        self.cloud_service = CloudService(self.cloud_core)
        self.cloud_service.on_rented = self._on_machines_rented
        self.results = Results()
        self.machines: dict[str, MachineProcess] = {}
        self.nodes = [f"node-{number}" for number in range(site.controllers)]
        self.controllers: dict[str, ControllerProcess] = {}
        self.addresses: dict[str, str] = {}
        self.notes: list[str] = []
        """Unexpected events of controller processes, such as crashes."""
        self.rollouts: list[str] = []
        """Results of the rollouts so far: empty if completed, else why the rollout stopped."""
        self.ownership_gaps = OwnershipGaps(
            self.state_core, clock, site.shards, self._process_number
        )
        self.load: UserLoad | None = None
        """None until the load is started."""
        self._servers: list[HttpServer] = []
        self._relays: list[Relay] = []
        self._machine_task: asyncio.Task[None] | None = None
        self.has_started = False
        """Whether this lab has locked the directory."""
        self._job_numbers = itertools.count(1)
        self.history: History
        self.load_balancer: LoadBalancer
        self.late_heartbeats: LateHeartbeats
        self.adversarial_clients: AdversarialClients
        self.read_after_write_clients: ReadAfterWriteClients
        self.load_balancer_port = 0

    # ---- start and stop ----

    async def start(self) -> None:
        """Starts the site; LabError if that fails, after everything has been stopped."""
        self._directory.acquire()
        self.has_started = True
        path = self.directory / "history.jsonl"
        path.unlink(missing_ok=True)
        self.history = History(self.clock.now, path)
        try:
            await self._start_parts()
        except BaseException:
            await self.stop()
            raise

    async def _start_parts(self) -> None:
        try:
            for name, where in self._checkout_sources.items():
                self.checkouts[name] = make_checkout(name, where, self.directory)
        except CheckoutError as error:
            raise LabError(str(error)) from error
        if self._initial_checkout not in self.checkouts:
            raise LabError(
                f"first: {self._initial_checkout!r}: one of {', '.join(self._checkout_sources)}"
            )
        await self._start_site(self._ports())
        self.ownership_gaps.start()
        self._directory.write_info(f"127.0.0.1:{self.load_balancer_port}", self.addresses)

    async def _start_site(self, ports: dict[str, Ports]) -> None:
        self.addresses = {node: f"127.0.0.1:{ports[node].api}" for node in self.nodes}
        self._create_clients()
        for node in self.nodes:
            self._serve(node, "state", self.state_service.handle, ports[node].state)
            self._serve(node, "cloud", self.cloud_service.handle, ports[node].cloud)
            for peer, port in ports[node].relays.items():
                await self._relay(node, peer, port, ports[peer].peer)
        self._listen(
            lambda: self.load_balancer.start(self.load_balancer_port), self.load_balancer_port
        )
        for node in self.nodes:
            self.controllers[node] = self._controller(controller_settings(self.site, ports, node))
            self.controllers[node].start()
        self._machine_task = asyncio.ensure_future(self._run_machines())

    def _create_clients(self) -> None:
        """Creates the load balancer, and the clients that need it or the controllers' addresses."""
        self.load_balancer = LoadBalancer(self.addresses, self.history, self._network)
        self.late_heartbeats = LateHeartbeats(
            self.links,
            self.random,
            self.addresses,
            self.site.workers.lease_s,
            self._network,
            lambda: self.state_core.version(LEADER_KEY),
        )
        self.adversarial_clients = AdversarialClients(
            self.load_balancer, self.clock, self.random, self.machines
        )
        self.read_after_write_clients = ReadAfterWriteClients(
            self.load_balancer, self.random, self.nodes, self.adversarial_clients.cancel
        )
        self.load_balancer.on_answer = self.read_after_write_clients.on_answer

    def _serve(self, node: str, service: str, handle: Handler, port: int) -> None:
        """Serves a service for one controller on a port of its own."""
        server = self._listen(
            lambda: serve_for(self.links, node, service, handle, port, self._network), port
        )
        self._servers.append(server)

    async def _relay(self, node: str, other: str, port: int, target_port: int) -> None:
        """Starts the relay through which one controller reaches another, on a port of its own."""
        relay = Relay(self.links, node, other, target_port)
        await relay.listen(port)
        self._relays.append(relay)

    def _controller(self, settings: Settings) -> ControllerProcess:
        path = self._settings_path(settings.node)
        write_settings(settings, path)
        return ControllerProcess(
            settings.node,
            path,
            self.checkouts[self._initial_checkout],
            self.directory / f"{settings.node}.log",
            self.clock,
            self._add_note,
        )

    def _listen(self, start: Callable[[], T], port: int) -> T:
        try:
            return start()
        except OSError as error:
            raise LabError(
                f"cannot listen on 127.0.0.1:{port} ({error.strerror}): give another --port"
            ) from error

    def _ports(self) -> dict[str, Ports]:
        """Chooses all ports; sets the load balancer's and returns those of the controllers."""
        ports = allocate_ports(self.nodes, self._requested_port)
        self.load_balancer_port = ports.load_balancer
        return ports.controllers

    async def wait_until_ready(self, within_s: float = READY_TIMEOUT_S) -> None:
        """Waits until every controller takes requests; LabError if one does not in time."""
        until = self.clock.now() + within_s
        while len(self.load_balancer.healthy) < len(self.nodes):
            if self.clock.now() > until:
                missing = ", ".join(sorted(set(self.nodes) - set(self.load_balancer.healthy)))
                raise LabError(
                    f"not ready after {within_s:.0f} s: {missing}; see their logs in "
                    f"{self.directory}"
                )
            await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """Stops everything that was started."""
        if self.load is not None:
            self.load.stop()
        if self._machine_task is not None:
            self._machine_task.cancel()
        self.ownership_gaps.stop()
        await asyncio.gather(*(controller.stop() for controller in self.controllers.values()))
        for machine in self.machines.values():
            machine.stop()
        self._stop_clients()
        for server in self._servers:
            server.stop()
        for relay in self._relays:
            relay.close()
        if hasattr(self, "history"):
            self.history.close()
        self._directory.remove_info()
        for node in self.nodes:
            self._settings_path(node).unlink(missing_ok=True)
        self._directory.release()

    def _stop_clients(self) -> None:
        # The attributes do not exist if the lab could not be started.
        if hasattr(self, "load_balancer"):
            self.late_heartbeats.stop()
            self.read_after_write_clients.stop()
            self.adversarial_clients.stop()
            self.load_balancer.stop()

    def _settings_path(self, node: str) -> Path:
        return self.directory / f"{node}.toml"

    def _process_number(self, node: str) -> int:
        """Returns the number of starts of a controller's process; 0 while none runs."""
        controller = self.controllers.get(node)
        return 0 if controller is None or controller.pid is None else controller.starts

    def _add_note(self, text: str) -> None:
        log.warning("controller event noted text=%r", text)
        self.notes.append(text)
        self.history.add("note", text=text)

    # ---- machines ----

    async def _run_machines(self) -> None:
        """Starts workers of booted machines, and reclaims machines whose notice has expired."""
        while True:
            await asyncio.sleep(MACHINE_POLL_S)
            now = self.clock.now()
            for rented in list(self.cloud_core.machines.values()):
                if not rented.started and rented.up_at <= now and rented.failed_at is None:
                    self._on_machine_up(rented)
                if rented.reclaim_at is not None and rented.reclaim_at <= now:
                    self.cloud_core.reclaim(rented.name)
            self.state_core.expire()

    def _on_machines_rented(self, names: list[str]) -> None:
        for name in names:
            rented = self.cloud_core.machines.get(name)
            if rented is not None and not rented.addr:
                rented.addr = f"127.0.0.1:{self._free_port()}"
                self.history.add(
                    "machine",
                    machine=name,
                    type=rented.type.name,
                    zone=rented.zone,
                    spot=rented.spot,
                )

    def _free_port(self) -> int:
        return free_ports(1)[0]

    def _on_machine_up(self, rented: RentedMachine) -> None:
        rented.started = True
        machine_type = rented.type
        core = WorkerCore(
            Identity(rented.name, rented.addr, machine_type.name, rented.zone, rented.spot),
            self.clock,
            self.site.workers.lease_s,
            Resources(machine_type.cpus, machine_type.gpus, machine_type.memory_gb),
            self.load_balancer.describe,
            self.results,
            self._on_task_event,
            machine_type.fetch_gb_per_s * self.random.uniform(0.75, 1.33),
            machine_type.cache_gb or float("inf"),
        )
        core.speed = self.random.uniform(0.95, 1.05)
        machine = MachineProcess(
            core,
            self.clock,
            self.site.workers,
            self.addresses,
            self.links,
            self.random,
            self.late_heartbeats.on_heartbeat_sent,
            self._network,
            self.late_commands,
        )
        machine.start(int(rented.addr.rpartition(":")[2]))
        self.machines[rented.name] = machine
        self.history.add("up", machine=rented.name)

    def _on_machine_gone(self, rented: RentedMachine) -> None:
        machine = self.machines.pop(rented.name, None)
        if machine is not None:
            machine.stop()
        self.history.add("gone", machine=rented.name)

    def _on_task_event(self, event: str, machine: str, task: str, attempt: int) -> None:
        text = "done" if event == "done" else ""
        if text:
            self.adversarial_clients.on_task_completed(task, self.results.done)
        launched_on = self.machines.get(machine) if event == "launch" else None
        self.history.add(
            "off" if event == "done" else cast(Kind, event),
            machine=machine,
            job=task,
            attempt=attempt,
            session=launched_on.core.session if launched_on is not None else 0,
            token=launched_on.core.token if launched_on is not None else 0,
            text=text,
        )

    # ---- load and rules ----

    def start_load(self, factor: float) -> None:
        """Starts users who submit jobs of the site's classes, or changes their load.

        `factor`: multiple of the site's arrival rates.
        """
        if self.load is None:
            self.load = UserLoad(
                self.load_balancer,
                f"127.0.0.1:{self.load_balancer_port}",
                list(self.site.classes),
                self.random,
                lambda: next(self._job_numbers),
                factor,
            )
            self.load.start()
        self.load.factor = factor

    def violations(self) -> list[RuleViolation]:
        """Returns the rule violations so far."""
        return self.judge().violations

    def judge(self) -> Verdict:
        """Checks the history so far against the rules, as if it ended now."""
        behaviours = self.load_balancer.true_behaviours
        context = RuleContext(
            self.site.teams,
            self.site.workers.cancel_s,
            self.history.start_wall_time,
            {job for job, behaviour in behaviours.items() if behaviour.broken},
            self.site.types,
            {job_class.name for job_class in self.site.classes if job_class.replica > 1},
        )
        return check_history(self.history.events, context)
