"""A factory of HTTP clients and servers, injected like the clock so that tests can replace it."""

from __future__ import annotations

from collections.abc import Callable

from badgerseam.http.client import HttpClient
from badgerseam.http.server import Handler, HttpServer


class Network:
    """Creates HTTP clients and servers that use TCP sockets."""

    def client(self, connect_s: float = 1.5, max_idle: int | Callable[[], int] = 64) -> HttpClient:
        """Returns a client with a connection timeout in seconds and a limit on idle connections."""
        return HttpClient(connect_s, max_idle)

    def server(self, handler: Handler) -> HttpServer:
        """Returns a server with one handler; it does not listen yet."""
        return HttpServer(handler)


SOCKETS = Network()
