"""Simulated machines: the network side of their workers, and hangs and failures."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from random import Random

import msgspec

from badgerseam.clock import Clock
from badgerseam.http.client import NoResponseError
from badgerseam.http.network import SOCKETS, Network
from badgerseam.http.server import Reply, error_reply
from badgerseam.lab.late_commands import LateCommands
from badgerseam.lab.links import Links, no_answer
from badgerseam.lab.worker import WorkerCore
from badgerseam.settings import WorkerParams
from badgerseam.wire import workers as wire

log = logging.getLogger("badgerseam.lab")

STEP_S = 0.05
"""Seconds between two steps of the simulated tasks."""
MIN_PAUSE_S = 0.5
"""Minimum seconds from a heartbeat to one that is sent early because of a change."""
RESPONSE_S = 4.0
TRY_NEXT_S = 1.0
"""Seconds from a heartbeat that failed to the next one."""
ANSWERS = "answers"
"""The other end of the link on which a machine receives answers and commands."""
CONTROLLERS = "controllers"
"""The other end of the link on which a machine's own requests reach any controller."""

_response_decoder: msgspec.json.Decoder[wire.HeartbeatResponse] = msgspec.json.Decoder(
    wire.HeartbeatResponse
)
_direct_decoder: msgspec.json.Decoder[wire.DirectCommands] = msgspec.json.Decoder(
    wire.DirectCommands
)
_redirect_decoder: msgspec.json.Decoder[wire.Redirect] = msgspec.json.Decoder(wire.Redirect)


def zone_end(zone: str) -> str:
    """Returns the name of a whole zone as the end of a link."""
    return f"zone {zone}"


class MachineProcess:
    """One machine that is up: its worker's heartbeats and HTTP endpoint."""

    def __init__(
        self,
        core: WorkerCore,
        clock: Clock,
        params: WorkerParams,
        nodes: dict[str, str],
        links: Links,
        random: Random,
        on_heartbeat_sent: Callable[[bytes], None] = lambda _body: None,
        network: Network = SOCKETS,
        late_commands: LateCommands | None = None,
    ) -> None:
        """`on_heartbeat_sent` is called with every heartbeat. `late_commands` delays and copies
        direct commands; without it none is delayed or copied."""
        self.core = core
        self._clock = clock
        self._params = params
        self._nodes = nodes
        self._links = links
        self._random = random
        self._on_heartbeat_sent = on_heartbeat_sent
        self._late_commands = late_commands
        self._delayed_commands: set[asyncio.Task[None]] = set()
        """Direct commands to this machine that are delayed, and copies on their way."""
        self._http = network.client(connect_s=1.0, max_idle=4)
        self._server = network.server(self._handle)
        self._is_gone = False
        self._controller = random.choice(sorted(nodes))
        self._tasks: list[asyncio.Task[None]] = []
        self._not_hung = asyncio.Event()
        self._not_hung.set()

    def start(self, port: int) -> None:
        """Starts to listen and to send heartbeats."""
        self._server.listen(f"127.0.0.1:{port}")
        self._tasks = [
            asyncio.ensure_future(self._advance_tasks()),
            asyncio.ensure_future(self._send_heartbeats()),
        ]

    def stop(self) -> None:
        """Stops the machine and everything on it."""
        for task in (*self._tasks, *self._delayed_commands):
            task.cancel()
        self._is_gone = True
        self._server.stop()
        self.core.end_session()

    def hang(self) -> None:
        """Suspends everything on the machine; requests to it get no answer until it is resumed."""
        self.core.advance()
        self.core.hung = True
        self._not_hung.clear()

    def resume(self) -> None:
        """Resumes after a hang; commands that came meanwhile are executed if still valid."""
        self.core.advance()
        self.core.hung = False
        # If the lease has expired during the hang, the session must end before any command runs.
        self.core.advance()
        self._not_hung.set()

    async def _advance_tasks(self) -> None:
        while True:
            await asyncio.sleep(STEP_S)
            self.core.advance()

    # ---- commands ----

    async def _wait_until_reachable(self) -> None:
        """Waits until answers and commands can reach the machine."""
        await self._links.wait_while_broken(ANSWERS, self.core.identity.name)
        await self._links.wait_while_broken(ANSWERS, zone_end(self.core.identity.zone))

    async def _handle(self, method: str, uri: str, body: bytes) -> Reply:
        late_commands = self._late_commands
        is_command = (method, uri) == ("POST", "/do")
        if late_commands is None or not is_command:
            return await self._execute(method, uri, body)
        if late_commands.should_delay():
            self._keep(late_commands.delay(lambda: self._execute(method, uri, body)))
            return await no_answer()
        reply = await self._execute(method, uri, body)
        if reply.status == 200 and late_commands.should_copy():
            self._keep(late_commands.copy(lambda: self._execute(method, uri, body)))
        return reply

    def _keep(self, task: asyncio.Task[None]) -> None:
        """Keeps a delayed command or a copy until it has arrived or the machine is gone."""
        self._delayed_commands.add(task)
        task.add_done_callback(self._delayed_commands.discard)

    async def _execute(self, method: str, uri: str, body: bytes) -> Reply:
        await self._wait_until_reachable()
        await self._not_hung.wait()
        if self._is_gone:
            # Stopping the server does not close connections that are already open.
            return error_reply(503, "gone")
        core = self.core
        core.advance()
        if uri == "/inspect" and method == "GET":
            return Reply(200, wire.encode(core.report()))
        if uri != "/do" or method != "POST":
            return error_reply(404, "no such path")
        try:
            commands = _direct_decoder.decode(body)
        except msgspec.DecodeError:
            return error_reply(400, "warrant, tenure and orders are needed")
        executed = core.execute_direct_commands(commands)
        return Reply(200 if executed else 409, wire.encode(core.report()))

    # ---- heartbeats ----

    async def _send_heartbeats(self) -> None:
        while True:
            await self._not_hung.wait()
            pause = await self._send_heartbeat()
            until = self._clock.now() + pause
            await asyncio.sleep(min(pause, MIN_PAUSE_S))
            while self._clock.now() < until and not self._has_urgent_change():
                await asyncio.sleep(STEP_S)

    def _has_urgent_change(self) -> bool:
        """Returns whether something has changed that must be reported at once."""
        return self.core.changed and not self.core.hung

    async def _send_heartbeat(self) -> float:
        """Sends a heartbeat; returns the seconds to wait until the next one."""
        core = self.core
        core.advance()
        core.changed = False
        sent_at, session = self._clock.now(), core.session
        body = wire.encode(core.report())
        name = core.identity.name
        try:
            async with asyncio.timeout(RESPONSE_S):
                await self._links.wait_while_broken("workers", self._controller)
                await self._links.wait_while_broken(name, CONTROLLERS)
                await self._links.wait_while_broken(zone_end(core.identity.zone), CONTROLLERS)
                await self._links.wait_while_broken(self._controller, zone_end(core.identity.zone))
                self._on_heartbeat_sent(body)
                response = await self._http.request(
                    self._nodes[self._controller], "POST", "/checkin", body, RESPONSE_S
                )
                await self._links.wait_while_broken("workers", self._controller)
                await self._links.wait_while_broken(self._controller, zone_end(core.identity.zone))
                await self._wait_until_reachable()
        except (NoResponseError, TimeoutError):
            self._switch_controller()
            return TRY_NEXT_S
        await self._not_hung.wait()
        if self._clock.now() - sent_at > RESPONSE_S:
            # The machine has hung in between: a response this late is dropped.
            self._switch_controller()
            return TRY_NEXT_S
        if response.status == 200:
            try:
                heartbeat_response = _response_decoder.decode(response.body)
            except msgspec.DecodeError as error:
                log.error(
                    "heartbeat response malformed machine=%s controller=%s error=%s",
                    name,
                    self._controller,
                    error,
                )
                return TRY_NEXT_S
            core.handle_heartbeat_response(sent_at, session, heartbeat_response)
            return self._params.report_s * self._random.uniform(0.75, 1.25)
        if response.status == 421:
            try:
                owner = _redirect_decoder.decode(response.body).owner
            except msgspec.DecodeError:
                owner = None
            if owner in self._nodes and owner != self._controller:
                self._controller = owner
                return self._random.random() * 0.5
        self._switch_controller()
        return TRY_NEXT_S

    def _switch_controller(self) -> None:
        names = sorted(self._nodes)
        self._controller = names[(names.index(self._controller) + 1) % len(names)]
