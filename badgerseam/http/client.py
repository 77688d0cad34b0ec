"""A pooled keep-alive client on tornado's HTTP1Connection.

tornado's simple client opens a connection for each request; on half a core that costs more than
the requests do, so the connections are kept here.
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
    """Nothing is known: the request may have been executed, or may be executed later."""


class NotSentError(NoResponseError):
    """The connection could not be made, so the request was never sent."""


class ConnectionRefusedByPeerError(NotSentError):
    """The connection was refused: something is there, and nobody takes it."""


class ConnectionResetByPeerError(NoResponseError):
    """The other end closed the connection before it answered."""


class Response:
    __slots__ = ("body", "retry_after", "status")

    def __init__(self, status: int, body: bytes, retry_after: str | None = None) -> None:
        self.status = status
        self.body = body
        self.retry_after = retry_after


class _Collector(HTTPMessageDelegate):
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
    """Requests to any number of addresses over kept connections.

    A controller left alone has the reports of all workers and the users on its sockets: at most
    `keep` connections, a number or what tells it now, are kept idle altogether, the most recently
    used ones.
    """

    def __init__(self, connect_s: float = 1.5, keep: int | Callable[[], int] = 64) -> None:
        self._tcp = TCPClient()
        self._idle: OrderedDict[IOStream, str] = OrderedDict()
        self._by_address: dict[str, list[IOStream]] = {}
        self._connect_s = connect_s
        self._keep = keep if callable(keep) else lambda: keep

    async def request(
        self, address: str, method: str, path: str, body: bytes | None, deadline_s: float
    ) -> Response:
        """Send one request; NoResponse if none came within deadline_s."""
        stream: IOStream | None = None
        try:
            async with asyncio.timeout(deadline_s):
                stream = await self._stream(address, deadline_s)
                collector = _Collector()
                connection = HTTP1Connection(stream, True, _PARAMS)
                headers = HTTPHeaders({"Host": address})
                if body is not None:
                    headers["Content-Length"] = str(len(body))
                    headers["Content-Type"] = "application/json"
                # write_headers returns a future that fails when the stream closes; the read
                # below reports that as well.
                written = connection.write_headers(
                    RequestStartLine(method, path, "HTTP/1.1"), headers, body
                )
                written.add_done_callback(_observe)
                connection.finish()
                await connection.read_response(collector)
        except (TimeoutError, StreamClosedError, HTTPInputError, OSError, ValueError) as error:
            if stream is None:
                reason = error.real_error if isinstance(error, StreamClosedError) else error
                refused = isinstance(reason, ConnectionRefusedError)
                raise (ConnectionRefusedByPeerError if refused else NotSentError)(
                    f"{address}: {error!r}"
                ) from error
            stream.close()
            self._forget(address)
            kind = (
                ConnectionResetByPeerError
                if isinstance(error, StreamClosedError)
                else NoResponseError
            )
            raise kind(f"{address}{path}: {error!r}") from error
        except BaseException:
            if stream is not None:
                stream.close()
            raise
        if collector.status == 0:
            stream.close()
            self._forget(address)
            raise ConnectionResetByPeerError(f"{address}{path}: closed before a response")
        if not stream.closed():
            self._return_stream(address, stream)
        return Response(collector.status, b"".join(collector.chunks), collector.retry_after)

    def _return_stream(self, address: str, stream: IOStream) -> None:
        self._idle[stream] = address
        self._by_address.setdefault(address, []).append(stream)
        most = self._keep()
        while len(self._idle) > most:
            oldest = next(iter(self._idle))
            self._take_stream(oldest)
            oldest.close()

    def _forget(self, address: str) -> None:
        """Connections kept to where one has failed are as old, and as dead after a cut: one request
        after the other would have to find that out, each for the whole of its deadline."""
        for stream in list(self._by_address.get(address, ())):
            self._take_stream(stream)
            stream.close()

    def _take_stream(self, stream: IOStream) -> None:
        address = self._idle.pop(stream)
        pool = self._by_address[address]
        pool.remove(stream)
        if not pool:
            del self._by_address[address]

    async def _stream(self, address: str, deadline_s: float) -> IOStream:
        while pool := self._by_address.get(address):
            kept = pool[-1]
            self._take_stream(kept)
            if not kept.closed():
                return kept
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(min(self._connect_s, deadline_s)):
            stream = await self._tcp.connect(host, int(port))
        stream.set_nodelay(True)
        return stream


def _observe(future: asyncio.Future[None]) -> None:
    if not future.cancelled():
        future.exception()
