"""What controllers say to one another."""

from __future__ import annotations

import msgspec
from msgspec import Struct


class TransferRequest(Struct, frozen=True, rename={"shard": "share", "evacuate": "vacate"}):
    """The leader asks a share's owner to pass empty machines on, or (-1) to drop them."""

    machines: list[str]
    shard: int
    evacuate: bool = False
    """Stop the low-priority work on them first."""


class TransferResponse(Struct, frozen=True, rename={"transferred": "done"}):
    """The machines for which that was done."""

    transferred: list[str]


class Health(Struct, frozen=True, rename={"write_demand": "need"}):
    """How a controller stands with the state service."""

    state_age_s: float
    write_demand: float | None = None
    """What it needs of the state service's changes a second, as parts of an even part, at most the
    number of controllers; None from a program that does not say."""


health_decoder: msgspec.json.Decoder[Health] = msgspec.json.Decoder(Health)
transfer_request_decoder: msgspec.json.Decoder[TransferRequest] = msgspec.json.Decoder(
    TransferRequest
)
transfer_response_decoder: msgspec.json.Decoder[TransferResponse] = msgspec.json.Decoder(
    TransferResponse
)
encode = msgspec.json.Encoder().encode
