"""Workers as processes of a machine: their reports, their addresses, and their ends."""

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
"""How exactly time passes for tasks."""
MIN_PAUSE_S = 0.5
RESPONSE_S = 4.0
TRY_NEXT_S = 1.0
ANSWERS = "answers"
"""The other end of the link that brings a machine answers and commands, but not its reports out."""
CONTROLLERS = "controllers"
"""The other end of the link by which a machine's own connections reach any controller."""

_orders: msgspec.json.Decoder[wire.HeartbeatResponse] = msgspec.json.Decoder(wire.HeartbeatResponse)
_direct: msgspec.json.Decoder[wire.DirectCommands] = msgspec.json.Decoder(wire.DirectCommands)
_redirect: msgspec.json.Decoder[wire.Redirect] = msgspec.json.Decoder(wire.Redirect)


def zone_end(zone: str) -> str:
    """What a whole zone is called as the end of a link."""
    return f"zone {zone}"


class MachineProcess:
    """One machine that is up."""

    def __init__(
        self,
        core: WorkerCore,
        clock: Clock,
        params: WorkerParams,
        nodes: dict[str, str],
        links: Links,
        random: Random,
        copied: Callable[[bytes], None] = lambda body: None,
        network: Network = SOCKETS,
        late_commands: LateCommands | None = None,
    ) -> None:
        """`copied` is told of every report that is sent. `late_commands` says which direct commands
        are held up; without it none is."""
        self.core = core
        self._clock = clock
        self._params = params
        self._nodes = nodes
        self._links = links
        self._random = random
        self._copied = copied
        self._late_commands = late_commands
        self._held_up: set[asyncio.Task[None]] = set()
        """Direct commands that are on their way to it for long."""
        self._http = network.client(connect_s=1.0, max_idle=4)
        self._server = network.server(self._handle)
        self._gone = False
        self._at = random.choice(sorted(nodes))
        self._tasks: list[asyncio.Task[None]] = []
        self._running = asyncio.Event()
        self._running.set()
        self._token_told = -1e9

    def start(self, port: int) -> None:
        """Listen and begin to report."""
        self._server.listen(f"127.0.0.1:{port}")
        self._tasks = [asyncio.ensure_future(self._pass()), asyncio.ensure_future(self._report())]

    def stop(self) -> None:
        """The machine and all that is on it is gone."""
        for task in (*self._tasks, *self._held_up):
            task.cancel()
        self._gone = True
        self._server.stop()
        self.core.end_session()

    def hang(self) -> None:
        """Nothing on it goes on; requests to it get no answer until it goes on again."""
        self.core.advance()
        self.core.hung = True
        self._running.clear()

    def resume(self) -> None:
        """Go on after a hang: what came meanwhile is executed if it is still valid."""
        self.core.advance()
        self.core.hung = False
        # If its lease has ended meanwhile, this ends the session before anything else.
        self.core.advance()
        self._running.set()

    async def _pass(self) -> None:
        while True:
            await asyncio.sleep(STEP_S)
            self.core.advance()

    # ---- commands ----

    async def _heard(self) -> None:
        """Return when answers and commands reach the machine."""
        await self._links.wait_while_broken(ANSWERS, self.core.identity.name)
        await self._links.wait_while_broken(ANSWERS, zone_end(self.core.identity.zone))

    async def _handle(self, method: str, uri: str, body: bytes) -> Reply:
        late = self._late_commands
        if late is not None and (method, uri) == ("POST", "/do") and late.chosen():
            task = late.hold_up(lambda: self._execute(method, uri, body))
            self._held_up.add(task)
            task.add_done_callback(self._held_up.discard)
            return await no_answer()
        return await self._execute(method, uri, body)

    async def _execute(self, method: str, uri: str, body: bytes) -> Reply:
        await self._heard()
        await self._running.wait()
        if self._gone:
            # A kept connection outlives the listening address.
            return error_reply(503, "gone")
        core = self.core
        core.advance()
        if uri == "/inspect" and method == "GET":
            return Reply(200, wire.encode(core.report()))
        if uri != "/do" or method != "POST":
            return error_reply(404, "no such path")
        try:
            orders = _direct.decode(body)
        except msgspec.DecodeError:
            return error_reply(400, "warrant, tenure and orders are needed")
        done = core.execute_direct_commands(orders)
        return Reply(200 if done else 409, wire.encode(core.report()))

    # ---- reports ----

    async def _report(self) -> None:
        while True:
            await self._running.wait()
            pause = await self._once()
            until = self._clock.now() + pause
            await asyncio.sleep(min(pause, MIN_PAUSE_S))
            while self._clock.now() < until and not self._news():
                await asyncio.sleep(STEP_S)

    def _news(self) -> bool:
        """Whether something changed that is reported at once."""
        return self.core.changed and not self.core.hung

    async def _once(self) -> float:
        """Send a report; how long to wait for the next."""
        core = self.core
        core.advance()
        core.changed = False
        sent, session = self._clock.now(), core.session
        body = wire.encode(core.report())
        name = core.identity.name
        try:
            async with asyncio.timeout(RESPONSE_S):
                await self._links.wait_while_broken("workers", self._at)
                await self._links.wait_while_broken(name, CONTROLLERS)
                await self._links.wait_while_broken(zone_end(core.identity.zone), CONTROLLERS)
                await self._links.wait_while_broken(self._at, zone_end(core.identity.zone))
                self._copied(body)
                response = await self._http.request(
                    self._nodes[self._at], "POST", "/checkin", body, RESPONSE_S
                )
                await self._links.wait_while_broken("workers", self._at)
                await self._links.wait_while_broken(self._at, zone_end(core.identity.zone))
                await self._heard()
        except (NoResponseError, TimeoutError):
            self._next()
            return TRY_NEXT_S
        await self._running.wait()
        if self._clock.now() - sent > RESPONSE_S:
            # It hung meanwhile: a response that old is dropped.
            self._next()
            return TRY_NEXT_S
        if response.status == 200:
            try:
                orders = _orders.decode(response.body)
            except msgspec.DecodeError as error:
                log.error(
                    "heartbeat response malformed machine=%s controller=%s error=%s",
                    name,
                    self._at,
                    error,
                )
                return TRY_NEXT_S
            core.handle_heartbeat_response(sent, session, orders)
            return self._params.report_s * self._random.uniform(0.75, 1.25)
        if response.status == 421:
            try:
                named = _redirect.decode(response.body).owner
            except msgspec.DecodeError:
                named = None
            if named in self._nodes and named != self._at:
                self._at = named
                return self._random.random() * 0.5
        self._next()
        return TRY_NEXT_S

    def _next(self) -> None:
        names = sorted(self._nodes)
        self._at = names[(names.index(self._at) + 1) % len(names)]
