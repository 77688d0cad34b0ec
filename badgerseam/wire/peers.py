"""Messages between controllers: transfers of machines, and health."""

from __future__ import annotations

import msgspec
from msgspec import Struct


class TransferRequest(Struct, frozen=True, rename={"shard": "share", "evacuate": "vacate"}):
    """The leader's request to a shard's owner to transfer or drop empty machines."""

    machines: list[str]
    shard: int
    """`share` on the wire: the new shard; -1 if the machines are to be dropped."""
    evacuate: bool = False
    """`vacate` on the wire: whether to stop low-priority tasks on the machines first."""


class TransferResponse(Struct, frozen=True, rename={"transferred": "done"}):
    """The response to a transfer request."""

    transferred: list[str]
    """`done` on the wire: the machines that were transferred or dropped."""


class Health(Struct, frozen=True, rename={"write_demand": "need"}):
    """A controller's view of the state service."""

    state_age_s: float
    """Seconds since the state service last confirmed its lease."""
    write_demand: float | None = None
    """`need` on the wire: the write rate that it needs, as a multiple of its equal share of the
    limit, at most the number of controllers; None from a program that does not report it."""


health_decoder: msgspec.json.Decoder[Health] = msgspec.json.Decoder(Health)
transfer_request_decoder: msgspec.json.Decoder[TransferRequest] = msgspec.json.Decoder(
    TransferRequest
)
transfer_response_decoder: msgspec.json.Decoder[TransferResponse] = msgspec.json.Decoder(
    TransferResponse
)
encode = msgspec.json.Encoder().encode
