"""Where clients and servers come from, injected like the clock: sockets, unless told otherwise."""

from __future__ import annotations

from collections.abc import Callable

from badgerseam.http.client import HttpClient
from badgerseam.http.server import Handler, HttpServer


class Network:
    """Sockets."""

    def client(self, connect_s: float = 1.5, keep: int | Callable[[], int] = 64) -> HttpClient:
        return HttpClient(connect_s, keep)

    def server(self, handler: Handler) -> HttpServer:
        return HttpServer(handler)


SOCKETS = Network()
