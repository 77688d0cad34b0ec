"""The table of levels.

A level is a form of the stored state together with the behaviours that need it. A site is at one
level at a time, which a record of the state service names (no record: the first). The table lists
the levels that the program supports; whatever depends on a level asks `ProgramLevels.is_active`.

To add one: append a `Level` with a new `Behaviour`, write the new form only where that behaviour is
active, and go on reading the old one. A level may be removed from the table's beginning only when
no site is at it any more: a program whose levels begin later takes no part there (docs/rollout.md).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Behaviour(Enum):
    """A behaviour that a level switches on; the value is its name in `rollout status`."""

    ATTEMPT_STARTS = "attempt-starts"
    """Rows of tasks in the pages hold the time at which their attempt started to run."""
    NOTES = "notes"
    """Pages hold notes on single tasks: failures of a run's members, intents of replicas."""
    QUEUE_POSITIONS = "places"
    """Jobs' records keep their queue position when they are written again."""


@dataclass(frozen=True, slots=True)
class Level:
    """One form of the stored state."""

    number: int
    name: str
    behaviours: frozenset[Behaviour] = frozenset()
    """The ones that are new with it."""
    can_be_lowered: bool = True
    """Whether a program of the level below can read all that one of this level writes, without
    loss of durable state, so that a site can go back."""


FIRST = 1
"""The level of a site without a record of it: the form before levels were introduced."""

LEVELS = (
    Level(FIRST, "before levels"),
    Level(2, "starts of attempts", frozenset({Behaviour.ATTEMPT_STARTS})),
    Level(3, "notes and places", frozenset({Behaviour.NOTES, Behaviour.QUEUE_POSITIONS})),
)


class ProgramLevels:
    """The levels that a program supports: all of a table, numbered without a gap."""

    def __init__(self, levels: tuple[Level, ...] = LEVELS) -> None:
        numbers = [level.number for level in levels]
        if not numbers or numbers != list(range(numbers[0], numbers[0] + len(numbers))):
            raise ValueError(f"levels: numbered without a gap, at least one: {numbers}")
        self._levels = {level.number: level for level in levels}
        self.min_level, self.max_level = numbers[0], numbers[-1]
        self._active: dict[int, frozenset[Behaviour]] = {}
        """All behaviours that are active at a level, by its number."""
        active: frozenset[Behaviour] = frozenset()
        for level in levels:
            active |= level.behaviours
            self._active[level.number] = active

    def supports(self, number: int) -> bool:
        """Whether the program may act on a site at that level."""
        return self.min_level <= number <= self.max_level

    def is_active(self, behaviour: Behaviour, number: int) -> bool:
        """Whether a behaviour is active at a site's level; never at one that is not supported."""
        return behaviour in self._active.get(number, ())

    def behaviours(self, number: int) -> list[str]:
        """The names of all behaviours that are active at a level, sorted."""
        return sorted(behaviour.value for behaviour in self._active.get(number, ()))

    def can_lower_from(self, number: int) -> bool:
        """Whether a site can go back from that level to the one below."""
        level = self._levels.get(number)
        return level is not None and level.can_be_lowered and self.supports(number - 1)

    def name(self, number: int) -> str:
        """A level's name for operators."""
        level = self._levels.get(number)
        return "unknown to this program" if level is None else level.name
