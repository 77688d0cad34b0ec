"""An in-memory network between the handlers of one process, and processes that can end in it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from contextvars import ContextVar
from random import Random
from typing import Any, cast

from badgerseam.http.client import (
    ConnectionRefusedByPeerError,
    ConnectionResetByPeerError,
    HttpClient,
    NoResponseError,
    Response,
)
from badgerseam.http.network import Network
from badgerseam.http.server import Handler, HttpServer, Reply

HOP_S = 0.0005, 0.003
"""Least and most seconds that one direction of a request takes."""

process: ContextVar[ProcessHost | None] = ContextVar("process", default=None)


class ProcessHost:
    """A process of the site, the owner of its tasks: they are cancelled when it ends."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.alive = True
        self.tasks: set[asyncio.Task[Any]] = set()

    def end(self) -> None:
        """Cancel all tasks of the process."""
        self.alive = False
        for task in list(self.tasks):
            task.cancel()


def note_task(
    loop: asyncio.AbstractEventLoop, work: Coroutine[Any, Any, Any], context: Any = None
) -> asyncio.Task[Any]:
    """A task factory: a task belongs to the process that creates it."""
    task = asyncio.Task(work, loop=loop, context=context)
    host = process.get()
    if host is not None:
        host.tasks.add(task)
        task.add_done_callback(host.tasks.discard)
    return task


class MemoryNetwork(Network):
    """The network as one process has it: requests go to handlers in this process."""

    def __init__(
        self,
        random: Random,
        host: ProcessHost | None = None,
        listening: dict[str, MemoryServer] | None = None,
    ) -> None:
        self.random = random
        self.host = host or ProcessHost("site")
        self.listening: dict[str, MemoryServer] = {} if listening is None else listening
        """By address."""
        self.held: Callable[[str, str], Awaitable[None]]
        """Waits while a fault holds back packets between a controller and an address."""

    def of(self, host: ProcessHost) -> MemoryNetwork:
        """The same network for a process that can end."""
        network = MemoryNetwork(self.random, host, self.listening)
        network.held = self.held
        return network

    def client(self, connect_s: float = 1.5, max_idle: int | Callable[[], int] = 64) -> HttpClient:
        """A client of this process; the parameters are those of real sockets."""
        return cast(HttpClient, MemoryClient(self))

    def server(self, handler: Handler) -> HttpServer:
        """A server of this process."""
        return cast(HttpServer, MemoryServer(self, handler))

    async def hop(self) -> None:
        """Wait as long as one direction of a request takes."""
        await asyncio.sleep(self.random.uniform(*HOP_S))


class MemoryServer:
    """An HTTP server: a handler that listens at an address."""

    connections = 0

    def __init__(self, network: MemoryNetwork, handler: Handler) -> None:
        self._network = network
        self._handler = handler
        self.busy = 0
        self._address = ""

    def listen(self, address: str) -> None:
        """Take requests to an address."""
        self._address = address
        self._network.listening[address] = self

    def stop(self) -> None:
        """Take no more requests."""
        self._network.listening.pop(self._address, None)

    @property
    def open(self) -> bool:
        """Whether the process is alive."""
        return self._network.host.alive

    async def serve(self, method: str, path: str, body: bytes | None) -> Response:
        """Execute a request, whether its sender still waits for it or not."""
        host = self._network.host
        await self._network.hop()
        if not host.alive:
            raise ConnectionResetByPeerError("it ended")
        process.set(host if host.name != "site" else None)
        task = asyncio.ensure_future(self._handle(method, path, body or b""))
        host.tasks.add(task)
        self.busy += 1
        try:
            reply = await task
        except asyncio.CancelledError:
            if host.alive:
                raise
            raise ConnectionResetByPeerError("it ended") from None
        finally:
            self.busy -= 1
            host.tasks.discard(task)
        await self._network.hop()
        retry = None if reply.retry_after_s is None else str(reply.retry_after_s)
        return Response(reply.status, reply.body, retry)

    async def _handle(self, method: str, path: str, body: bytes) -> Reply:
        outcome = self._handler(method, path, body)
        return outcome if isinstance(outcome, Reply) else await outcome


class MemoryClient:
    """The HTTP client of one process."""

    def __init__(self, network: MemoryNetwork) -> None:
        self._network = network
        self._late: set[asyncio.Future[Any]] = set()

    async def request(
        self, address: str, method: str, path: str, body: bytes | None, deadline_s: float
    ) -> Response:
        """Send a request; what is sent arrives even if the response is too late."""
        if not self._network.host.alive:
            await asyncio.Event().wait()
        inbox = self._network.listening.get(address)
        if inbox is None or not inbox.open:
            raise ConnectionRefusedByPeerError(f"{address}: nobody listens")
        # The task is not owned by the sender: what it sent arrives also if it ends.
        token = process.set(None)
        try:
            task = asyncio.ensure_future(self._arrive(inbox, address, method, path, body))
        finally:
            process.reset(token)
        self._late.add(task)
        task.add_done_callback(self._done)
        try:
            async with asyncio.timeout(deadline_s):
                return await asyncio.shield(task)
        except TimeoutError:
            raise NoResponseError(f"{address}{path}: no answer in time") from None

    async def _arrive(
        self, inbox: MemoryServer, address: str, method: str, path: str, body: bytes | None
    ) -> Response:
        held, name = self._network.held, self._network.host.name
        await held(name, address)
        response = await inbox.serve(method, path, body)
        await held(name, address)
        return response

    def _done(self, task: asyncio.Future[Any]) -> None:
        self._late.discard(task)
        if not task.cancelled():
            task.exception()
