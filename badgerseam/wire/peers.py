"""Messages between controllers: transfers of machines, and health."""

from __future__ import annotations

import msgspec
from msgspec import Struct


class TransferRequest(Struct, frozen=True, rename={"shard": "share", "evacuate": "vacate"}):
    """The leader asks a shard's owner to transfer empty machines to another one, or drop them."""

    machines: list[str]
    shard: int
    """`share` on the wire: the new shard; -1: none, the machines are dropped."""
    evacuate: bool = False
    """`vacate` on the wire: stop the low-priority work on them first."""


class TransferResponse(Struct, frozen=True, rename={"transferred": "done"}):
    """The answer to a transfer request."""

    transferred: list[str]
    """`done` on the wire: the machines that were transferred or dropped."""


class Health(Struct, frozen=True, rename={"write_demand": "need"}):
    """A controller's view of the state service."""

    state_age_s: float
    """Seconds since the state service last confirmed its lease."""
    write_demand: float | None = None
    """`need` on the wire: the writes a second that it needs, in even parts of the limit, at most
    the number of controllers; None from a program that does not say."""


health_decoder: msgspec.json.Decoder[Health] = msgspec.json.Decoder(Health)
transfer_request_decoder: msgspec.json.Decoder[TransferRequest] = msgspec.json.Decoder(
    TransferRequest
)
transfer_response_decoder: msgspec.json.Decoder[TransferResponse] = msgspec.json.Decoder(
    TransferResponse
)
encode = msgspec.json.Encoder().encode
