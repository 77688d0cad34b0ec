"""What controllers say to one another."""

from __future__ import annotations

import msgspec
from msgspec import Struct


class Give(Struct, frozen=True):
    """The leader asks a share's owner to pass empty machines on, or (-1) to drop them."""

    machines: list[str]
    share: int
    vacate: bool = False
    """Stop the low-priority work on them first."""


class Given(Struct, frozen=True):
    """The machines for which that was done."""

    done: list[str]


class Health(Struct, frozen=True):
    """How a controller stands with the state service."""

    state_age_s: float
    need: float | None = None
    """What it needs of the state service's changes a second, as parts of an even part, at most the
    number of controllers; None from a program that does not say."""


health_decoder: msgspec.json.Decoder[Health] = msgspec.json.Decoder(Health)
give_decoder: msgspec.json.Decoder[Give] = msgspec.json.Decoder(Give)
given_decoder: msgspec.json.Decoder[Given] = msgspec.json.Decoder(Given)
encode = msgspec.json.Encoder().encode
