"""Inspects workers, and checks for machines whose addresses are unknown."""

from __future__ import annotations

import logging

import msgspec

from badgerseam.http.client import HttpClient, NoResponseError
from badgerseam.model.model import Model
from badgerseam.wire import workers as wire

log = logging.getLogger("badgerseam.workers")

INSPECT_DEADLINE_S = 1.0


async def inspect(http: HttpClient, address: str, deadline_s: float) -> wire.Heartbeat | None:
    """Returns the heartbeat of the worker at an address, without renewing its lease.

    Returns None if no worker answers there within the deadline, in seconds.
    """
    try:
        response = await http.request(address, "GET", "/inspect", None, deadline_s)
        return wire.heartbeat_decoder.decode(response.body) if response.status == 200 else None
    except (NoResponseError, msgspec.DecodeError):
        log.debug("inspection failed address=%s", address)
        return None


def lacks_addresses(model: Model) -> bool:
    """Whether machines with attempts were taken over whose addresses are still unknown."""
    return any(
        machine.attempts
        and not machine.address
        and machine.incarnation == 0
        and model.shards[machine.shard].owned
        for machine in model.machines.values()
    )
