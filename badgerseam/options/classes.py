"""Priority classes, as operators declare them."""

from __future__ import annotations

from collections.abc import Collection

from msgspec import Struct, field


class ClassesOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """Priority classes, the first one first, kept if this section is there."""

    order: list[str] = field(default_factory=list)


def check(options: ClassesOptions, teams: Collection[str]) -> list[str]:
    """What cannot be used, each with its field and its remedy; `teams`: those of the settings."""
    return []
