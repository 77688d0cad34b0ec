"""Where clients and servers come from, injected like the clock: sockets, unless told otherwise."""

from __future__ import annotations

from collections.abc import Callable

from badgerseam.http.client import Client
from badgerseam.http.server import Handler, Server


class Network:
    """Sockets."""

    def client(self, connect_s: float = 1.5, keep: int | Callable[[], int] = 64) -> Client:
        return Client(connect_s, keep)

    def server(self, handler: Handler) -> Server:
        return Server(handler)


SOCKETS = Network()
