"""Replicas that span machines, as operators declare them."""

from __future__ import annotations

from collections.abc import Collection

from msgspec import Struct, field


class ReplicasOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """Replicas that span machines, kept if this section is there."""

    classes: list[str] = field(default_factory=list)


def check(options: ReplicasOptions, teams: Collection[str]) -> list[str]:
    """What cannot be used, each with its field and its remedy; `teams`: those of the settings."""
    return []
