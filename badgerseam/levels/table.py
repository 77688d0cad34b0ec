"""The one table of levels.

A level is a form of the stored state together with the behaviours that need it. A site is at one
level at a time, which a record of the state service tells (no record: the first). A program states
here which levels it can act at; whatever depends on a level asks `Program.active`.

To add one: append a `Level` with a new `Behaviour`, write the new form only where that behaviour is
active, and go on reading the old one. A level may be taken out of the table's beginning only when
no site is at it any more: a program whose levels begin later stands aside there (docs/rollout.md).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Behaviour(Enum):
    """What is switched on by a level; the value is its name for people."""

    ATTEMPT_STARTS = "attempt-starts"
    """Rows of tasks in the pages say when their attempt began to run."""
    NOTES = "notes"
    """Pages hold notes on single tasks: failures of a run's members, intents of replicas."""
    QUEUE_POSITIONS = "places"
    """Jobs' records keep their place in the queue when they are written again."""


@dataclass(frozen=True, slots=True)
class Level:
    """One form of the stored state."""

    number: int
    name: str
    behaviours: frozenset[Behaviour] = frozenset()
    """What is new with it."""
    lowers: bool = True
    """Whether a program of the level below can read, without losing what counts, all that one of
    this level writes, so that a site can be put back."""


FIRST = 1
"""The level of a site without a record: what programs wrote before there were levels."""

LEVELS = (
    Level(FIRST, "before levels"),
    Level(2, "starts of attempts", frozenset({Behaviour.ATTEMPT_STARTS})),
    Level(3, "notes and places", frozenset({Behaviour.NOTES, Behaviour.QUEUE_POSITIONS})),
)


class ProgramLevels:
    """The levels that a program can act at: all of a table, one after the other."""

    def __init__(self, levels: tuple[Level, ...] = LEVELS) -> None:
        numbers = [level.number for level in levels]
        if not numbers or numbers != list(range(numbers[0], numbers[0] + len(numbers))):
            raise ValueError(f"levels: numbered without a gap, at least one: {numbers}")
        self._levels = {level.number: level for level in levels}
        self.least, self.most = numbers[0], numbers[-1]
        self._active: dict[int, frozenset[Behaviour]] = {}
        known: frozenset[Behaviour] = frozenset()
        for level in levels:
            known |= level.behaviours
            self._active[level.number] = known

    def supports(self, site: int) -> bool:
        """Whether it may act on a site of that level."""
        return self.least <= site <= self.most

    def active(self, behaviour: Behaviour, site: int) -> bool:
        """Whether a behaviour is switched on at a site's level; never at one that does not fit."""
        return behaviour in self._active.get(site, ())

    def behaviours(self, site: int) -> list[str]:
        """The names of all that is switched on, sorted."""
        return sorted(behaviour.value for behaviour in self._active.get(site, ()))

    def can_lower_from(self, site: int) -> bool:
        """Whether a site can be put back from that level to the one below."""
        level = self._levels.get(site)
        return level is not None and level.lowers and self.supports(site - 1)

    def name(self, site: int) -> str:
        """What people call a level."""
        level = self._levels.get(site)
        return "unknown to this program" if level is None else level.name
