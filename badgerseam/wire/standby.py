"""Soft state: what an owner sends to the controllers that would take over its claims."""

from __future__ import annotations

import msgspec
from msgspec import Struct, field


class FollowRequest(Struct, frozen=True):
    """Requests soft state. The request is held open for a while before the response, so that the
    end of the connection shows the end of the process."""

    node: str
    process: str = ""
    """The process that sent the previous response, whose hints the requester has."""
    number: int = 0
    """The number of the latest response that was received."""


class MachineHint(Struct, frozen=True, array_like=True):
    """What an owner knows about a machine beyond what the state service stores."""

    name: str
    address: str
    incarnation: int
    fencing_token: int
    """The highest token that the worker has reported."""
    evictions: list[float]
    """How many seconds ago each recent eviction was."""
    images: list[str]


class ShardHint(Struct, frozen=True, array_like=True):
    """Changes of an owned shard since the previous response."""

    shard: int
    term: int
    finished: int
    evicted: int
    machines: list[MachineHint] = field(default_factory=list)


class BlockedHint(Struct, frozen=True, array_like=True):
    """A cloud offer for which the leader found no capacity."""

    type: str
    zone: str
    spot: bool
    for_s: float
    """Seconds until it may be requested again."""
    pause_s: float
    """The current backoff between requests, in seconds."""


class SoftStateUpdate(Struct, frozen=True, rename={"is_held_open": "held", "shards": "shares"}):
    """The response to a request for soft state."""

    process: str
    """Identifies the process. This distinguishes a process that responds again after its lease was
    revoked by mistake from a newly started one."""
    number: int = 0
    """Increases by one with each response to the same requester."""
    is_held_open: bool = True
    """`held` on the wire: whether the request was held open; if not, the requester has to wait for
    a while before its next request."""
    shards: list[ShardHint] = field(default_factory=list)
    leader_term: int = 0
    blocked: list[BlockedHint] = field(default_factory=list)


class PeerViewRequest(Struct, frozen=True):
    """Asks a peer whether it can reach another controller."""

    node: str


class PeerView(Struct, frozen=True):
    """A peer's view of another controller."""

    refused: int
    """Number of consecutive connections that were refused or reset."""


follow_request_decoder: msgspec.json.Decoder[FollowRequest] = msgspec.json.Decoder(FollowRequest)
update_decoder: msgspec.json.Decoder[SoftStateUpdate] = msgspec.json.Decoder(SoftStateUpdate)
peer_view_request_decoder: msgspec.json.Decoder[PeerViewRequest] = msgspec.json.Decoder(
    PeerViewRequest
)
peer_view_decoder: msgspec.json.Decoder[PeerView] = msgspec.json.Decoder(PeerView)
encode = msgspec.json.Encoder().encode
