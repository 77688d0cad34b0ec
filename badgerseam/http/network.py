"""The factory of HTTP clients and servers, injected like the clock so that tests replace it."""

from __future__ import annotations

from collections.abc import Callable

from badgerseam.http.client import HttpClient
from badgerseam.http.server import Handler, HttpServer


class Network:
    """Clients and servers over TCP sockets."""

    def client(self, connect_s: float = 1.5, max_idle: int | Callable[[], int] = 64) -> HttpClient:
        """A client with a time limit for connecting, and a limit of idle connections."""
        return HttpClient(connect_s, max_idle)

    def server(self, handler: Handler) -> HttpServer:
        """A server of one handler; it does not listen yet."""
        return HttpServer(handler)


SOCKETS = Network()
