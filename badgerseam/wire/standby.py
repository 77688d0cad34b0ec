"""What a controller says to the ones that stand by for it."""

from __future__ import annotations

import msgspec
from msgspec import Struct, field


class FollowRequest(Struct, frozen=True):
    """Asks to be told; the answer is held for a while, so that the end of the connection tells of
    the end of the process."""

    node: str
    process: str = ""
    """The one that answered before, whose hints the asker has."""
    number: int = 0
    """Of the latest answer that has come."""


class MachineHint(Struct, frozen=True, array_like=True):
    """What an owner knows of a machine and the state service does not hold."""

    name: str
    address: str
    incarnation: int
    fencing_token: int
    """The highest one that it has shown."""
    evictions: list[float]
    """How long ago each recent one was, in seconds."""
    images: list[str]


class ShardHint(Struct, frozen=True, array_like=True):
    """What changed of an owned share since it was told last."""

    shard: int
    term: int
    finished: int
    evicted: int
    machines: list[MachineHint] = field(default_factory=list)


class BlockedHint(Struct, frozen=True, array_like=True):
    """An offer without capacity, as the leader found it."""

    type: str
    zone: str
    spot: bool
    for_s: float
    """How long it is still to be left alone."""
    pause_s: float


class SoftStateUpdate(Struct, frozen=True, rename={"holds_claims": "held", "shards": "shares"}):
    """An answer."""

    process: str
    """Names the process: one that answers again after its lease was ended needlessly is told by it
    from one that was started anew."""
    number: int = 0
    """Rises by one with each answer to the same asker."""
    holds_claims: bool = True
    """It was held; otherwise it is to be asked again only after a while."""
    shards: list[ShardHint] = field(default_factory=list)
    leader_term: int = 0
    blocked: list[BlockedHint] = field(default_factory=list)


class PeerViewRequest(Struct, frozen=True):
    """Asks how a sibling sees another one."""

    node: str


class PeerView(Struct, frozen=True):
    """Connections that it refused or reset in a row, when it was asked last."""

    refused: int


follow_request_decoder: msgspec.json.Decoder[FollowRequest] = msgspec.json.Decoder(FollowRequest)
update_decoder: msgspec.json.Decoder[SoftStateUpdate] = msgspec.json.Decoder(SoftStateUpdate)
peer_view_request_decoder: msgspec.json.Decoder[PeerViewRequest] = msgspec.json.Decoder(
    PeerViewRequest
)
peer_view_decoder: msgspec.json.Decoder[PeerView] = msgspec.json.Decoder(PeerView)
encode = msgspec.json.Encoder().encode
