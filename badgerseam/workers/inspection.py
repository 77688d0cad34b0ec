"""Asking workers for their state, and whether it is known where they are."""

from __future__ import annotations

import logging

import msgspec

from badgerseam.http.client import Client, NoResponse
from badgerseam.model.model import Model
from badgerseam.wire import workers as wire

log = logging.getLogger("badgerseam.workers")


async def inspect(http: Client, address: str, deadline_s: float) -> wire.Report | None:
    """The report of the worker at an address; None if there is none within the deadline, or what
    answers is no worker. It renews no lease."""
    try:
        response = await http.request(address, "GET", "/inspect", None, deadline_s)
        return wire.report_decoder.decode(response.body) if response.status == 200 else None
    except (NoResponse, msgspec.DecodeError):
        log.debug("%s cannot be inspected", address)
        return None


def lacks_addresses(model: Model) -> bool:
    """Whether machines were taken over with work on them, and without their addresses."""
    return any(
        machine.attempts
        and not machine.addr
        and machine.session == 0
        and model.shares[machine.share].owned
        for machine in model.machines.values()
    )
