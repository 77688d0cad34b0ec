"""Rollouts: the state that operators receive, and the requests of a draining controller."""

from __future__ import annotations

import msgspec
from msgspec import Struct


class TakeoverRequest(Struct, frozen=True):
    """A draining controller's request to a peer to take over one of its claims."""

    key: str
    version: int
    """The version of the claim's record; the peer replaces only this version."""


class Obstacle(Struct, frozen=True):
    """A reason that prevents a change of the level, and the controller that it applies to."""

    node: str
    reason: str


class ControllerView(
    Struct, frozen=True, rename={"min_level": "least", "max_level": "most", "shards": "shares"}
):
    """A configured controller as seen by the responding controller."""

    node: str
    state: str
    """`acting`, `aside` (claims no shard) or `missing` (no record on a live lease)."""
    min_level: int | None
    max_level: int | None
    program: str
    shards: list[int]
    leader: bool


class RefreshProgress(Struct, frozen=True):
    """Progress of rewriting pages in the level's format, for the responding controller's shards."""

    rows: int
    """Number of task rows in the pages."""
    lacking: int
    """Number of these rows that are still in the older format although the attempt has run for a
    while."""
    pages_written: int
    """Pages rewritten for this purpose alone since the controller started."""


class MigrationProgress(Struct, frozen=True, rename={"migrated": "carried"}):
    """Progress of the migration of old records, as known to the responding controller.

    The counts cover only what it did itself while it was the leader.
    """

    migrated: int
    """Up to this level, no record is left in an older format."""
    pending: list[int]
    """Levels for which records in the older format still have to be migrated."""
    scanned: int
    """Records examined in the current pass."""
    old: int
    """Number of these records that are in the older format."""
    rewritten: int
    overtaken: int
    """Records left to the next pass because they changed in the meantime."""
    per_s: float
    """Records rewritten per second since the controller started."""


class OwnView(
    Struct,
    frozen=True,
    rename={"responsive_machines": "heard", "refresh": "refreshing", "migration": "carrying"},
):
    """The responding controller's own state."""

    node: str
    state: str
    """`acting`, `leaving`, `left` (has no claims), `unfit` or `starting`."""
    may_end: bool
    """Whether its process may be ended: it has left, and users are directed elsewhere."""
    caught_up: bool
    """Whether its replica is up to date with the state service."""
    machines: int
    responsive_machines: int
    """Number of its shards' machines that sent a heartbeat recently."""
    uptime_s: float
    refresh: RefreshProgress
    migration: MigrationProgress


class RolloutView(Struct, frozen=True, rename={"shards_without_actor": "shares_without_actor"}):
    """The response to `GET /rollout`."""

    level: int
    name: str
    active: list[str]
    target: int | None
    next: int | None
    """The level that the leader would change to now; None if no change is due."""
    blocked_by: list[Obstacle]
    shards_without_actor: list[int]
    leader: str | None
    controllers: list[ControllerView]
    own: OwnView


class LevelRequest(Struct, frozen=True, forbid_unknown_fields=True):
    """A request for a level; null: the newest level that all controllers support."""

    level: int | None


takeover_decoder: msgspec.json.Decoder[TakeoverRequest] = msgspec.json.Decoder(TakeoverRequest)
view_decoder: msgspec.json.Decoder[RolloutView] = msgspec.json.Decoder(RolloutView)
level_request_decoder: msgspec.json.Decoder[LevelRequest] = msgspec.json.Decoder(LevelRequest)
encode = msgspec.json.Encoder().encode
