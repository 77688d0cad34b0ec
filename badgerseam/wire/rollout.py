"""Rollouts: the state as operators get it, and the requests of a controller that drains."""

from __future__ import annotations

import msgspec
from msgspec import Struct


class TakeoverRequest(Struct, frozen=True):
    """A controller that drains asks a peer to take over one of its claims."""

    key: str
    version: int
    """The version of the claim's record: the peer replaces only that one."""


class Obstacle(Struct, frozen=True):
    """What keeps the level from being changed: at which controller, and why."""

    node: str
    reason: str


class ControllerView(
    Struct, frozen=True, rename={"min_level": "least", "max_level": "most", "shards": "shares"}
):
    """A configured controller as the one that was asked sees it."""

    node: str
    state: str
    """`acting`, `aside` (claims no shard) or `missing` (no record on a live lease)."""
    min_level: int | None
    max_level: int | None
    program: str
    shards: list[int]
    leader: bool


class RefreshProgress(Struct, frozen=True):
    """How far the state has been carried over to the level's form, in the shares of the controller
    that was asked."""

    rows: int
    """Of tasks, in its pages."""
    lacking: int
    """Of these, such as have run for a while and are still in the older form."""
    pages_written: int
    """Since it started, for this alone."""


class MigrationProgress(Struct, frozen=True, rename={"migrated": "carried"}):
    """How far old records have been carried over, as the asked controller knows. Its counts are of
    what it did itself while it led."""

    migrated: int
    """Up to this level no record is left in an older form."""
    pending: list[int]
    """Levels whose older form is still to be carried over."""
    scanned: int
    """Records examined in the present pass."""
    old: int
    """Of these, in the older form."""
    rewritten: int
    overtaken: int
    """Left to the next pass, since they had changed meanwhile."""
    per_s: float
    """Records written anew a second, since it started."""


class OwnView(
    Struct,
    frozen=True,
    rename={"responsive_machines": "heard", "refresh": "refreshing", "migration": "carrying"},
):
    """The controller that was asked, about itself."""

    node: str
    state: str
    """`acting`, `leaving`, `left` (holds nothing), `unfit` or `starting`."""
    may_end: bool
    """It has left, and users have been led elsewhere: its process may be ended."""
    caught_up: bool
    """Its replica follows the state service."""
    machines: int
    responsive_machines: int
    """Of its shares' machines, those that reported lately."""
    uptime_s: float
    refresh: RefreshProgress
    migration: MigrationProgress


class RolloutView(Struct, frozen=True, rename={"shards_without_actor": "shares_without_actor"}):
    """The answer of `GET /rollout`."""

    level: int
    name: str
    active: list[str]
    target: int | None
    next: int | None
    """The level that the leader would go to now; None if there is nothing to do."""
    blocked_by: list[Obstacle]
    shards_without_actor: list[int]
    leader: str | None
    controllers: list[ControllerView]
    own: OwnView


class LevelRequest(Struct, frozen=True, forbid_unknown_fields=True):
    """The level that operators want; null: the newest that all controllers can act at."""

    level: int | None


takeover_decoder: msgspec.json.Decoder[TakeoverRequest] = msgspec.json.Decoder(TakeoverRequest)
view_decoder: msgspec.json.Decoder[RolloutView] = msgspec.json.Decoder(RolloutView)
level_request_decoder: msgspec.json.Decoder[LevelRequest] = msgspec.json.Decoder(LevelRequest)
encode = msgspec.json.Encoder().encode
