"""An in-memory network between the HTTP handlers of simulated processes that can be killed."""

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
"""Minimum and maximum seconds that one direction of a request takes."""

process: ContextVar[ProcessHost | None] = ContextVar("process", default=None)


class ProcessHost:
    """A simulated process of the site; its asyncio tasks are cancelled when it ends."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.running = True
        self.tasks: set[asyncio.Task[Any]] = set()

    def end(self) -> None:
        """Ends the process: cancels all of its tasks."""
        self.running = False
        for task in list(self.tasks):
            task.cancel()


def create_owned_task(
    loop: asyncio.AbstractEventLoop, work: Coroutine[Any, Any, Any], context: Any = None
) -> asyncio.Task[Any]:
    """Task factory that assigns each task to the process that creates it."""
    task = asyncio.Task(work, loop=loop, context=context)
    host = process.get()
    if host is not None:
        host.tasks.add(task)
        task.add_done_callback(host.tasks.discard)
    return task


class MemoryNetwork(Network):
    """The network interface of one simulated process: requests call the receiver's handler."""

    def __init__(
        self,
        random: Random,
        host: ProcessHost | None = None,
        listening: dict[str, MemoryServer] | None = None,
    ) -> None:
        self.random = random
        self.host = host or ProcessHost("site")
        self.listening: dict[str, MemoryServer] = {} if listening is None else listening
        """The listening servers by address."""
        self.wait_while_delayed: Callable[[str, str], Awaitable[None]]
        """Waits while a fault delays packets between a controller and an address."""

    def of(self, host: ProcessHost) -> MemoryNetwork:
        """Returns an interface to the same network for another process."""
        network = MemoryNetwork(self.random, host, self.listening)
        network.wait_while_delayed = self.wait_while_delayed
        return network

    def client(self, connect_s: float = 1.5, max_idle: int | Callable[[], int] = 64) -> HttpClient:
        """Returns a client of this process; the parameters, for real sockets, are ignored."""
        return cast(HttpClient, MemoryClient(self))

    def server(self, handler: Handler) -> HttpServer:
        """Returns a server of this process."""
        return cast(HttpServer, MemoryServer(self, handler))

    async def hop(self) -> None:
        """Waits as long as one direction of a request takes."""
        await asyncio.sleep(self.random.uniform(*HOP_S))


class MemoryServer:
    """An HTTP server that passes the requests to an address to a handler."""

    connections = 0

    def __init__(self, network: MemoryNetwork, handler: Handler) -> None:
        self._network = network
        self._handler = handler
        self.busy = 0
        self._address = ""

    def listen(self, address: str) -> None:
        """Accepts requests to an address from now on."""
        self._address = address
        self._network.listening[address] = self

    def stop(self) -> None:
        """Accepts no more requests."""
        self._network.listening.pop(self._address, None)

    @property
    def open(self) -> bool:
        """Whether the process runs."""
        return self._network.host.running

    async def serve(self, method: str, path: str, body: bytes | None) -> Response:
        """Executes a request, also if its sender no longer waits for the response."""
        host = self._network.host
        await self._network.hop()
        if not host.running:
            raise ConnectionResetByPeerError("server process ended")
        process.set(host if host.name != "site" else None)
        task = asyncio.ensure_future(self._handle(method, path, body or b""))
        host.tasks.add(task)
        self.busy += 1
        try:
            reply = await task
        except asyncio.CancelledError:
            if host.running:
                raise
            raise ConnectionResetByPeerError("server process ended") from None
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
        self._in_flight: set[asyncio.Future[Any]] = set()

    async def request(
        self, address: str, method: str, path: str, body: bytes | None, deadline_s: float
    ) -> Response:
        """Sends a request; it is executed even if the response comes after the deadline."""
        if not self._network.host.running:
            await asyncio.Event().wait()
        server = self._network.listening.get(address)
        if server is None or not server.open:
            raise ConnectionRefusedByPeerError(f"{address}: no server listens")
        # The task does not belong to the sender: a request arrives also if its sender ends.
        token = process.set(None)
        try:
            task = asyncio.ensure_future(self._arrive(server, address, method, path, body))
        finally:
            process.reset(token)
        self._in_flight.add(task)
        task.add_done_callback(self._done)
        try:
            async with asyncio.timeout(deadline_s):
                return await asyncio.shield(task)
        except TimeoutError:
            raise NoResponseError(f"{address}{path}: no response within {deadline_s:g} s") from None

    async def _arrive(
        self, server: MemoryServer, address: str, method: str, path: str, body: bytes | None
    ) -> Response:
        wait_while_delayed = self._network.wait_while_delayed
        name = self._network.host.name
        await wait_while_delayed(name, address)
        response = await server.serve(method, path, body)
        await wait_while_delayed(name, address)
        return response

    def _done(self, task: asyncio.Future[Any]) -> None:
        self._in_flight.discard(task)
        if not task.cancelled():
            task.exception()
