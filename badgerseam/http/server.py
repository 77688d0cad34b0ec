"""An HTTP server built on tornado, with one handler per listening address."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http.client import responses
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.iostream import IOStream, StreamClosedError

from badgerseam.background import BackgroundTasks

log = logging.getLogger("badgerseam.http")

MAX_BODY_BYTES = 64 * 1024
"""The protocols' limit. Larger bodies are read, up to MAX_DISCARDED_BODY_BYTES, so that the client
gets an error response."""
MAX_DISCARDED_BODY_BYTES = 1024 * 1024
MAX_HEADER_BYTES = 16384
BODY_TIMEOUT_S = 10.0
LISTEN_BACKLOG = 512
IDLE_TIMEOUT_S = 20.0
"""Seconds after which an idle connection is closed. Workers send heartbeats and users poll every
few seconds. Peers behind a network partition, or that have stopped, do not close their connections,
and the number of sockets is limited."""


@dataclass(slots=True)
class Reply:
    """The response to one request; the body is JSON unless the content type says otherwise."""

    status: int
    body: bytes = b"{}"
    retry_after_s: int | None = None
    content_type: str = "application/json"


Handler = Callable[[str, str, bytes], Awaitable[Reply] | Reply]


def error_reply(status: int, text: str, retry_after_s: int | None = None) -> Reply:
    """Returns a reply whose JSON body contains the error; `text` must need no escaping."""
    return Reply(status, b'{"error":"%s"}' % text.encode(), retry_after_s)


class _CountingServer(HTTPServer):
    """A tornado server that counts its open connections."""

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        super().initialize(*args, **kwargs)
        self.open_connections = 0

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        self.open_connections += 1
        super().handle_stream(stream, address)

    def on_close(self, server_conn: object) -> None:
        self.open_connections -= 1
        super().on_close(server_conn)


class HttpServer:
    """Serves one address with one handler, called with the method, path and query, and body."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._tasks = BackgroundTasks()
        self._server = _CountingServer(
            self._request,
            max_buffer_size=2 * MAX_DISCARDED_BODY_BYTES,
            max_body_size=MAX_DISCARDED_BODY_BYTES,
            max_header_size=MAX_HEADER_BYTES,
            body_timeout=BODY_TIMEOUT_S,
            idle_connection_timeout=IDLE_TIMEOUT_S,
        )

    def listen(self, address: str) -> None:
        """Listens at `host:port`."""
        host, _, port = address.rpartition(":")
        self._server.listen(int(port), host, backlog=LISTEN_BACKLOG)

    @property
    def connections(self) -> int:
        """The number of open connections."""
        return self._server.open_connections

    @property
    def open_requests(self) -> int:
        """The number of requests whose handler has not finished."""
        return len(self._tasks)

    def stop(self) -> None:
        """Stops accepting connections; open ones are still served."""
        self._server.stop()

    def _request(self, request: HTTPServerRequest) -> None:
        """Sends the reply at once, or in a separate task if the handler returns an awaitable."""
        if len(request.body) > MAX_BODY_BYTES:
            self._send(request, error_reply(400, "body over 64 KiB"))
            return
        try:
            outcome = self._handler(request.method or "", request.uri or "", request.body)
        except Exception:
            log.exception("request failed method=%s path=%s", request.method, request.path)
            outcome = error_reply(503, "internal error", 1)
        if isinstance(outcome, Reply):
            self._send(request, outcome)
        else:
            self._tasks.spawn(self._reply_later(request, outcome))

    async def _reply_later(self, request: HTTPServerRequest, outcome: Awaitable[Reply]) -> None:
        try:
            reply = await outcome
        except Exception:
            log.exception("request failed method=%s path=%s", request.method, request.path)
            reply = error_reply(503, "internal error", 1)
        self._send(request, reply)

    def _send(self, request: HTTPServerRequest, reply: Reply) -> None:
        connection = request.connection
        if connection is None:
            return
        headers = HTTPHeaders(
            {"Content-Type": reply.content_type, "Content-Length": str(len(reply.body))}
        )
        if reply.retry_after_s is not None:
            headers["Retry-After"] = str(reply.retry_after_s)
        line = ResponseStartLine("HTTP/1.1", reply.status, responses.get(reply.status, "Unknown"))
        try:
            connection.write_headers(line, headers, reply.body).add_done_callback(_ignore_error)
            connection.finish()
        except (StreamClosedError, OSError):
            log.debug("reply dropped method=%s path=%s", request.method, request.path)


def _ignore_error(future: asyncio.Future[None]) -> None:
    """Retrieves the error of a write, so that asyncio does not log it: the client has
    disconnected."""
    if not future.cancelled():
        future.exception()
