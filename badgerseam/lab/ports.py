"""Chooses the loopback ports of a lab."""

from __future__ import annotations

import socket
from collections.abc import Sequence
from typing import NamedTuple

from badgerseam.lab.errors import LabError
from badgerseam.lab.site import Ports

LOOPBACK = "127.0.0.1"


class LabPorts(NamedTuple):
    """The ports of a whole lab."""

    load_balancer: int
    controllers: dict[str, Ports]


def allocate_ports(nodes: Sequence[str], first_port: int) -> LabPorts:
    """Returns the ports of a lab with these controllers.

    If `first_port` is not 0, the load balancer listens on it and the controllers on the ports that
    follow it; LabError if one of them is in use. All others are any free ports, which only the
    lab itself uses.
    """
    count = len(nodes)
    fixed = [first_port + 1 + number for number in range(count)] if first_port else []
    for port in [first_port, *fixed] if first_port else []:
        _check_is_free(port)
    free = iter(free_ports(1 + count * (4 + count)))
    load_balancer = first_port or next(free)
    api_ports = fixed or [next(free) for _ in nodes]
    controllers = {
        node: Ports(
            api_port,
            next(free),
            next(free),
            next(free),
            {peer: next(free) for peer in nodes if peer != node},
        )
        for node, api_port in zip(nodes, api_ports, strict=True)
    }
    return LabPorts(load_balancer, controllers)


def _check_is_free(port: int) -> None:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOOPBACK, port))
        except OSError as error:
            raise LabError(
                f"{LOOPBACK}:{port} is in use ({error.strerror}): give another --port"
            ) from error


def free_ports(count: int) -> list[int]:
    """Returns ports on which no process listens at the moment."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for entry in sockets:
            entry.bind((LOOPBACK, 0))
        return [int(entry.getsockname()[1]) for entry in sockets]
    finally:
        for entry in sockets:
            entry.close()
