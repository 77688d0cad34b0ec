"""The table of levels.

A level is a version of the stored state's format, together with the behaviours that need it. A site
is at one level at a time, which a record in the state service names (without a record: the first).
The table lists the levels that the program supports; code that depends on a level calls
`ProgramLevels.is_active`.

To add a level: append a `Level` with a new `Behaviour`, write the new format only where that
behaviour is active, and keep reading the old format. A level may be removed from the beginning of
the table only when no site is at it any more: at a site whose level it does not support, a program
claims no shards (docs/rollout.md).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Behaviour(Enum):
    """A behaviour that a level enables; the value is its name in `rollout status`."""

    ATTEMPT_STARTS = "attempt-starts"
    """Task rows in the pages contain the time at which their attempt started to run."""
    NOTES = "notes"
    """Pages contain notes on single tasks: failures of a run's members, intents of replicas."""
    QUEUE_POSITIONS = "places"
    """Job records keep their queue position when they are rewritten."""
    SMALL_VALUES = "small-values"
    """Records that exceed a lowered limit for values are split: sets of finished tasks are stored
    in the explicit form (`model/done_bits.py`), rows move between pages, and machines between
    groups."""


@dataclass(frozen=True, slots=True)
class Level:
    """One version of the stored state's format."""

    number: int
    name: str
    behaviours: frozenset[Behaviour] = frozenset()
    """The behaviours that this level adds to those of the levels below."""
    can_be_lowered: bool = True
    """Whether a program of the level below can read everything that is written at this level
    without losing durable state, so that a site can return to the level below."""
    is_on_demand: bool = False
    """Whether a site is raised to this level only if its limits need it, or an operator asks."""


FIRST = 1
"""The level of a site without a level record: the format before levels were introduced."""

LEVELS = (
    Level(FIRST, "before levels"),
    Level(2, "starts of attempts", frozenset({Behaviour.ATTEMPT_STARTS})),
    Level(3, "notes and places", frozenset({Behaviour.NOTES, Behaviour.QUEUE_POSITIONS})),
    Level(4, "small values", frozenset({Behaviour.SMALL_VALUES}), False, is_on_demand=True),
)


class ProgramLevels:
    """The levels that a program supports: those of a table, numbered consecutively."""

    def __init__(self, levels: tuple[Level, ...] = LEVELS) -> None:
        numbers = [level.number for level in levels]
        if not numbers or numbers != list(range(numbers[0], numbers[0] + len(numbers))):
            raise ValueError(f"levels: must be consecutive numbers, at least one: {numbers}")
        self._levels = {level.number: level for level in levels}
        self.min_level, self.max_level = numbers[0], numbers[-1]
        self._active: dict[int, frozenset[Behaviour]] = {}
        """All behaviours that are active at a level, by the level's number."""
        active: frozenset[Behaviour] = frozenset()
        for level in levels:
            active |= level.behaviours
            self._active[level.number] = active

    def supports(self, number: int) -> bool:
        """Whether the program may act at a site that is at this level."""
        return self.min_level <= number <= self.max_level

    def is_active(self, behaviour: Behaviour, number: int) -> bool:
        """Whether a behaviour is active at a level; False if the level is not supported."""
        return behaviour in self._active.get(number, ())

    def is_on_demand(self, number: int) -> bool:
        """Whether a site is raised to a level only if that is needed."""
        level = self._levels.get(number)
        return level is not None and level.is_on_demand

    def behaviours(self, number: int) -> list[str]:
        """Returns the sorted names of all behaviours that are active at a level."""
        return sorted(behaviour.value for behaviour in self._active.get(number, ()))

    def can_lower_from(self, number: int) -> bool:
        """Whether a site can return from this level to the one below."""
        level = self._levels.get(number)
        return level is not None and level.can_be_lowered and self.supports(number - 1)

    def name(self, number: int) -> str:
        """Returns the name of a level that is shown to operators."""
        level = self._levels.get(number)
        return "unknown to this program" if level is None else level.name
