"""An HTTP client with a pool of keep-alive connections, built on tornado's HTTP1Connection.

tornado's SimpleAsyncHTTPClient opens a connection for each request, which costs more than the
request itself on half a CPU core, so this client reuses connections.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from badgerseam.errors import BadgerseamError


class NoResponseError(BadgerseamError):
    """No response arrived: the request may have been executed, or may be executed later."""


class NotSentError(NoResponseError):
    """The connection could not be established, so the request was never sent."""


class ConnectionRefusedByPeerError(NotSentError):
    """The connection was refused: the machine is reachable, but no process listens on the port."""


class ConnectionResetByPeerError(NoResponseError):
    """The peer closed the connection before it sent a response."""


class Response:
    """The response to a request."""

    __slots__ = ("body", "retry_after", "status")

    def __init__(self, status: int, body: bytes, retry_after: str | None = None) -> None:
        self.status = status
        self.body = body
        self.retry_after = retry_after


class _ResponseCollector(HTTPMessageDelegate):
    """Collects the parts of a response."""

    def __init__(self) -> None:
        self.status = 0
        self.retry_after: str | None = None
        self.chunks: list[bytes] = []

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        if isinstance(start_line, ResponseStartLine):
            self.status = start_line.code
            self.retry_after = headers.get("Retry-After")

    def data_received(self, chunk: bytes) -> None:
        self.chunks.append(chunk)


_PARAMS = HTTP1ConnectionParameters(max_body_size=64 * 1024 * 1024, max_header_size=16384)


class HttpClient:
    """Sends requests to any number of addresses and reuses the connections.

    The last controller left at a site needs its sockets for the heartbeats of all workers and for
    all users, so idle connections are limited. At most `max_idle` of them, a number or a function
    that returns the current limit, are kept over all addresses: the most recently used ones.
    """

    def __init__(self, connect_s: float = 1.5, max_idle: int | Callable[[], int] = 64) -> None:
        self._tcp = TCPClient()
        self._idle: OrderedDict[IOStream, str] = OrderedDict()
        self._by_address: dict[str, list[IOStream]] = {}
        self._connect_s = connect_s
        self._max_idle = max_idle if callable(max_idle) else lambda: max_idle

    async def request(
        self, address: str, method: str, path: str, body: bytes | None, deadline_s: float
    ) -> Response:
        """Sends one request and returns the response.

        Raises NoResponseError, or one of its subclasses, if none arrives within deadline_s.
        """
        stream: IOStream | None = None
        try:
            async with asyncio.timeout(deadline_s):
                stream = await self._acquire_stream(address, deadline_s)
                collector = _ResponseCollector()
                connection = HTTP1Connection(stream, True, _PARAMS)
                _write_request(connection, address, method, path, body)
                await connection.read_response(collector)
        except (TimeoutError, StreamClosedError, HTTPInputError, OSError, ValueError) as error:
            if stream is None:
                raise _connect_error(address, error) from error
            stream.close()
            self._close_idle(address)
            is_reset = isinstance(error, StreamClosedError)
            raise (ConnectionResetByPeerError if is_reset else NoResponseError)(
                f"{address}{path}: {error!r}"
            ) from error
        except BaseException:
            if stream is not None:
                stream.close()
            raise
        if collector.status == 0:
            stream.close()
            self._close_idle(address)
            raise ConnectionResetByPeerError(
                f"{address}{path}: connection closed before a response"
            )
        if not stream.closed():
            self._return_to_pool(address, stream)
        return Response(collector.status, b"".join(collector.chunks), collector.retry_after)

    def _return_to_pool(self, address: str, stream: IOStream) -> None:
        """Keeps a connection for reuse; closes the least recently used ones over the limit."""
        self._idle[stream] = address
        self._by_address.setdefault(address, []).append(stream)
        max_idle = self._max_idle()
        while len(self._idle) > max_idle:
            oldest = next(iter(self._idle))
            self._remove_from_pool(oldest)
            oldest.close()

    def _close_idle(self, address: str) -> None:
        """Closes the idle connections to an address after a request to it has failed: after a
        network partition all of them are broken, and each would use up a request's deadline."""
        for stream in list(self._by_address.get(address, ())):
            self._remove_from_pool(stream)
            stream.close()

    def _remove_from_pool(self, stream: IOStream) -> None:
        """Removes a connection from the idle ones."""
        address = self._idle.pop(stream)
        pool = self._by_address[address]
        pool.remove(stream)
        if not pool:
            del self._by_address[address]

    async def _acquire_stream(self, address: str, deadline_s: float) -> IOStream:
        """Returns an idle connection to the address, or a new one."""
        while pool := self._by_address.get(address):
            idle = pool[-1]
            self._remove_from_pool(idle)
            if not idle.closed():
                return idle
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(min(self._connect_s, deadline_s)):
            stream = await self._tcp.connect(host, int(port))
        stream.set_nodelay(True)
        return stream


def _write_request(
    connection: HTTP1Connection, address: str, method: str, path: str, body: bytes | None
) -> None:
    headers = HTTPHeaders({"Host": address})
    if body is not None:
        headers["Content-Length"] = str(len(body))
        headers["Content-Type"] = "application/json"
    # write_headers returns a future that fails when the stream closes; read_response reports the
    # same failure.
    written = connection.write_headers(RequestStartLine(method, path, "HTTP/1.1"), headers, body)
    written.add_done_callback(_ignore_error)
    connection.finish()


def _connect_error(address: str, error: Exception) -> NotSentError:
    """Returns the error for a request whose connection could not be established."""
    reason = error.real_error if isinstance(error, StreamClosedError) else error
    is_refused = isinstance(reason, ConnectionRefusedError)
    return (ConnectionRefusedByPeerError if is_refused else NotSentError)(f"{address}: {error!r}")


def _ignore_error(future: asyncio.Future[None]) -> None:
    """Retrieves the error of a write, so that asyncio does not log it; read_response reports it."""
    if not future.cancelled():
        future.exception()
