"""Plans of reckoning runs, as operators declare them."""

from __future__ import annotations

from collections.abc import Collection

from msgspec import Struct, field


class RunsOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """Reckoning runs, kept if this section is there."""

    plans: list[str] = field(default_factory=list)


def check(options: RunsOptions, teams: Collection[str]) -> list[str]:
    """What cannot be used, each with its field and its remedy; `teams`: those of the settings."""
    return []
