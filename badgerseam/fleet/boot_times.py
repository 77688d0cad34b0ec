"""How long machines take to boot now, learned from those that have booted.

The stated duration is a hint only. Usually machines boot within 0.6 to 1.5 times of it, some take
several times as long, a few never boot, and there are times at which all of them are slow. One that
is overdue should be replaced by another, but not while all are slow: the others are no quicker, and
what still boots is paid for twice.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from badgerseam.model.machine import Machine
from badgerseam.model.model import Model

USUAL_BOOT_FACTOR = 1.5
"""How many times the stated duration a boot usually takes at most."""
OUTLIER_FACTOR = 1.3
"""How many times as long as nearly all recent boots one takes before it is an outlier."""
QUANTILE = 0.8
"""The part of the recent boots that shows what is usual now."""
MAX_WAIT_FACTOR = 4.0
"""While no boot is known since it was rented, a machine is waited for so many times the stated
duration."""
GIVE_UP_FACTOR = 2.0
"""How many times the usual duration a machine boots before it counts as one that never does."""
NEVER_FACTOR = 10.0
"""How many times the stated duration a machine is kept at most, whatever else is known."""
UNKNOWN_BOOT_S = 30.0
"""For a type that the cloud does not offer any more."""
LIST_LAG_FACTOR = 1.5
"""How many times the list's lag it takes to see by the list that a machine has booted."""
MAX_SAMPLES = 200
"""Boots that are kept for each machine type."""


@dataclass(frozen=True, slots=True)
class _Boot:
    """A boot that was seen to complete."""

    completed_at: float
    """Time of day."""
    duration_s: float


class BootTimes:
    """What the leader has seen of boots while it led, by machine type."""

    def __init__(self, model: Model) -> None:
        self._model = model
        self._boots: dict[str, deque[_Boot]] = {}
        self._booting: dict[int, Machine] = {}
        """Machines whose boot was seen to begin and has not completed, by index."""
        self._first_unseen = 0
        """Machines with a lower index are known, or were there before we led: how long these took
        is not known."""

    def reset(self) -> None:
        """Another controller leads."""
        self._booting.clear()
        self._first_unseen = self._model.next_machine

    def observe(self) -> None:
        """Note the boots that have completed; called each round, with the model's lock held."""
        model = self._model
        for index in range(self._first_unseen, model.next_machine):
            machine = model.machines.get(index)
            if machine is not None:
                self._booting[index] = machine
        self._first_unseen = model.next_machine
        for index, machine in list(self._booting.items()):
            if model.machines.get(index) is not machine or machine.dropped:
                del self._booting[index]
            elif machine.incarnation > 0 or machine.attempts:
                del self._booting[index]
                self._add_boot(machine, model.clock.wall() - machine.rented_at)

    def record_listed_boot(self, machine: Machine, age_s: float, interval_s: float) -> None:
        """Note that the cloud lists a machine of another owner as running for the first time.

        `age_s`: its age; `interval_s`: time since the last list.
        """
        if self._booting.pop(machine.index, None) is not None:
            self._add_boot(machine, age_s - interval_s / 2)

    def _add_boot(self, machine: Machine, duration_s: float) -> None:
        boots = self._boots.setdefault(machine.type, deque(maxlen=MAX_SAMPLES))
        boots.append(_Boot(self._model.clock.wall(), max(0.0, duration_s)))

    def stated_s(self, type_name: str) -> float:
        """The duration of a boot that the cloud states for a machine type."""
        entry = self._model.types.get(type_name)
        return UNKNOWN_BOOT_S if entry is None else entry.boot_s

    def max_expected_s(self, machine: Machine) -> float:
        """The age up to which a machine is waited for, by the boots since it was rented."""
        durations = []
        for boot in reversed(self._boots.get(machine.type, ())):
            if boot.completed_at < machine.rented_at:
                break
            durations.append(boot.duration_s)
        stated_s = self.stated_s(machine.type)
        if not durations:
            return MAX_WAIT_FACTOR * stated_s
        durations.sort()
        nearly_all_s = durations[int(QUANTILE * (len(durations) - 1))]
        return max(USUAL_BOOT_FACTOR * stated_s, OUTLIER_FACTOR * nearly_all_s)

    def is_overdue(self, machine: Machine) -> bool:
        """Whether a machine should have booted by now, so that no work should wait for it."""
        if machine.incarnation > 0 or machine.listed_up or machine.attempts:
            return False
        age_s = self._model.clock.wall() - machine.rented_at
        # What other owners receive from it the list shows later.
        lag_s = LIST_LAG_FACTOR * self._model.settings.params.cloud.list_lag_s
        # The stated duration first: it does not need the other boots.
        if age_s <= USUAL_BOOT_FACTOR * self.stated_s(machine.type) + lag_s:
            return False
        return age_s > self.max_expected_s(machine) + lag_s

    def never_boots(self, machine: Machine, age_s: float) -> bool:
        """Whether a machine that is listed as booting at an age counts as one that never boots."""
        max_age_s = NEVER_FACTOR * self.stated_s(machine.type)
        return age_s > min(GIVE_UP_FACTOR * self.max_expected_s(machine), max_age_s)
