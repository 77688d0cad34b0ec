"""Soft state: what an owner sends to the controllers that would take over from it."""

from __future__ import annotations

import msgspec
from msgspec import Struct, field


class FollowRequest(Struct, frozen=True):
    """Asks for soft state. The answer is delayed for a while, so that the end of the connection
    shows the end of the process."""

    node: str
    process: str = ""
    """The process that answered before, whose hints the requester has."""
    number: int = 0
    """The number of the latest answer that was received."""


class MachineHint(Struct, frozen=True, array_like=True):
    """What an owner knows of a machine and the state service does not hold."""

    name: str
    address: str
    incarnation: int
    fencing_token: int
    """The highest token that the worker has shown."""
    evictions: list[float]
    """How long ago each recent one was, in seconds."""
    images: list[str]


class ShardHint(Struct, frozen=True, array_like=True):
    """The changes of an owned shard since the answer before."""

    shard: int
    term: int
    finished: int
    evicted: int
    machines: list[MachineHint] = field(default_factory=list)


class BlockedHint(Struct, frozen=True, array_like=True):
    """An offer of the cloud without capacity, as the leader found it."""

    type: str
    zone: str
    spot: bool
    for_s: float
    """For how many seconds it is not to be requested."""
    pause_s: float


class SoftStateUpdate(Struct, frozen=True, rename={"is_held_open": "held", "shards": "shares"}):
    """The answer to a request to follow."""

    process: str
    """Identifies the process: it distinguishes one that answers again, after its lease was ended
    needlessly, from one that was started anew."""
    number: int = 0
    """Rises by one with each answer to the same requester."""
    is_held_open: bool = True
    """`held` on the wire: whether the answer was delayed; if not, the next request has to wait for
    a while."""
    shards: list[ShardHint] = field(default_factory=list)
    leader_term: int = 0
    blocked: list[BlockedHint] = field(default_factory=list)


class PeerViewRequest(Struct, frozen=True):
    """Asks a peer how it sees another one."""

    node: str


class PeerView(Struct, frozen=True):
    """How a peer sees another controller: connections refused or reset in a row."""

    refused: int


follow_request_decoder: msgspec.json.Decoder[FollowRequest] = msgspec.json.Decoder(FollowRequest)
update_decoder: msgspec.json.Decoder[SoftStateUpdate] = msgspec.json.Decoder(SoftStateUpdate)
peer_view_request_decoder: msgspec.json.Decoder[PeerViewRequest] = msgspec.json.Decoder(
    PeerViewRequest
)
peer_view_decoder: msgspec.json.Decoder[PeerView] = msgspec.json.Decoder(PeerView)
encode = msgspec.json.Encoder().encode
