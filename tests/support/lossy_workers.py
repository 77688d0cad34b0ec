"""Workers that send heartbeats at the protocol's intervals, over links that lose messages."""

from __future__ import annotations

import asyncio

import msgspec

from badgerseam.http.client import NoResponseError, Response
from badgerseam.http.server import Reply
from badgerseam.model.machine import Machine
from badgerseam.wire import workers as wire
from tests.support.scripted_peers import ControllerFixture, FakeHttp, Worker

STEP_S = 0.25
RESET_RETRY_S = 1.25
"""Seconds from a heartbeat to the next one if the connection is reset."""
NO_RESPONSE_RETRY_S = 5.25
"""Seconds from a heartbeat to the next one if there is no response: a timeout of 4 s, a pause of
1 s, and a redirect back by the next controller."""


class TimedWorker(Worker):
    """A worker that sends heartbeats by a clock, and whose messages may be lost."""

    def __init__(self, fixture: ControllerFixture, name: str, zone: str = "a") -> None:
        super().__init__(name, zone=zone)
        self.identity.addr = f"{name}:9000"
        self._clock = fixture.clock
        self._at = self._renewed = fixture.clock.now()
        self.receives_responses = True
        """Whether responses reach the worker."""
        self.receives_commands = True
        """Whether direct commands reach the worker."""
        self.heartbeats_arrive = True
        """Whether the worker's heartbeats reach the controller."""
        self.retry_interval_s = NO_RESPONSE_RETRY_S
        """Seconds from a heartbeat without a response to the next one."""
        self.due_at = fixture.clock.now()
        """When the next heartbeat is due, in seconds of the clock."""
        self.statuses: list[int] = []
        """The statuses of the responses, also of those that did not reach the worker."""

    def step(self, fixture: ControllerFixture) -> None:
        """Sends a heartbeat if one is due."""
        self.advance()
        now = fixture.clock.now()
        if now < self.due_at:
            return
        self.changed = False
        body, session = self.body(), self.session
        self.due_at = now + self.retry_interval_s
        if not self.heartbeats_arrive:
            return
        reply = fixture.worker_manager.handle_heartbeat(body)
        self.statuses.append(reply.status)
        if not self.receives_responses:
            return
        self.due_at = now + 1.5
        if reply.status == 200:
            self.take(reply, now, session)
            self.due_at = now + (0.5 if self.changed else 2.0)

    def take(self, reply: Reply, sent_at: float, session: int) -> None:
        """Processes a response to a heartbeat."""
        self.handle_heartbeat_response(
            sent_at, session, msgspec.json.decode(reply.body, type=wire.HeartbeatResponse)
        )


class WorkerNetwork(FakeHttp):
    """An HTTP client that delivers direct commands to the worker at an address."""

    def __init__(self, workers: dict[str, TimedWorker]) -> None:
        super().__init__()
        self.workers = workers

    async def request(
        self, address: str, method: str, path: str, body: bytes | None, deadline_s: float
    ) -> Response:
        """Executes a request at a worker; NoResponseError if it does not reach the worker."""
        await asyncio.sleep(0)
        worker = self.workers.get(address.partition(":")[0])
        if worker is None or not worker.receives_commands:
            raise NoResponseError(f"no worker receives commands at {address}")
        if body is None:
            return Response(200, worker.body())
        return worker.do(msgspec.json.decode(body))


class WorkerPool:
    """One controller that owns a shard, its machines and their workers."""

    def __init__(
        self, names: list[str], zones: str = "a", fixture: ControllerFixture | None = None
    ) -> None:
        """`zones`: one letter per zone, given to the machines in turn."""
        self.fixture = ControllerFixture() if fixture is None else fixture
        if fixture is None:
            self.fixture.own()
        self.workers: dict[str, TimedWorker] = {}
        self.network = WorkerNetwork(self.workers)
        for index, name in enumerate(names):
            zone = zones[index % len(zones)]
            self.workers[name] = TimedWorker(self.fixture, name, zone)
            self.fixture.machine(name, zone).address = f"{name}:9000"
            # Heartbeats are spread over the interval.
            self.workers[name].due_at += 2.0 * index / len(names)
        self.join(self.fixture)

    def join(self, fixture: ControllerFixture) -> None:
        """Connects a controller, so that its direct commands reach the workers."""
        manager = fixture.worker_manager
        for client in (manager.direct_commands, manager.unregistered_workers, manager.lease_expiry):
            client._http = self.network  # type: ignore[assignment]

    def machine(self, name: str) -> Machine:
        """Returns the model's entry of a machine."""
        machine = self.fixture.model.machine(name)
        assert machine is not None
        return machine

    def advance(self, seconds: float) -> None:
        """Lets time pass for the workers and the controller."""
        asyncio.run(self._run_steps(seconds))

    async def _run_steps(self, seconds: float) -> None:
        fixture = self.fixture
        for _ in range(round(seconds / STEP_S)):
            fixture.clock.time += STEP_S
            fixture.lease()
            fixture.heartbeat_proxy.observe_peers()
            for worker in self.workers.values():
                worker.step(fixture)
            fixture.worker_manager.expire_leases()
            fixture.worker_manager.probe_unresponsive()
            for machine in list(fixture.model.machines.values()):
                fixture.worker_manager.push(machine)
            await fixture.settle(6)
