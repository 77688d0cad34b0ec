"""Asking workers for their state, and whether their addresses are known."""

from __future__ import annotations

import logging

import msgspec

from badgerseam.http.client import HttpClient, NoResponseError
from badgerseam.model.model import Model
from badgerseam.wire import workers as wire

log = logging.getLogger("badgerseam.workers")

INSPECT_DEADLINE_S = 1.0


async def inspect(http: HttpClient, address: str, deadline_s: float) -> wire.Heartbeat | None:
    """Return the heartbeat of the worker at an address, without renewing its lease.

    None if no worker answers there within the deadline, in seconds.
    """
    try:
        response = await http.request(address, "GET", "/inspect", None, deadline_s)
        return wire.heartbeat_decoder.decode(response.body) if response.status == 200 else None
    except (NoResponseError, msgspec.DecodeError):
        log.debug("inspection failed address=%s", address)
        return None


def lacks_addresses(model: Model) -> bool:
    """Whether machines were taken over with work on them, and without their addresses."""
    return any(
        machine.attempts
        and not machine.address
        and machine.incarnation == 0
        and model.shards[machine.shard].owned
        for machine in model.machines.values()
    )
