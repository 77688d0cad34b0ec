"""Estimates how long machines take to boot at present, from the boots observed.

The boot duration that the cloud states is only a rough guide. Most machines boot within 0.6 to 1.5
times that duration, some take several times as long, a few never boot, and at times all of them are
slow. An overdue machine should be replaced by another one, but not while all machines are slow: a
replacement would boot no faster, and both machines would be paid for.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from badgerseam.model.machine import Machine
from badgerseam.model.model import Model

USUAL_BOOT_FACTOR = 1.5
"""Factor on the stated duration within which a boot usually completes."""
OUTLIER_FACTOR = 1.3
"""Factor on the QUANTILE of recent boot durations beyond which a boot is an outlier."""
QUANTILE = 0.8
"""Quantile of the recent boot durations that counts as the usual duration."""
MAX_WAIT_FACTOR = 4.0
"""Factor on the stated duration up to which a machine is not overdue, if no boot of its type has
completed since it was rented."""
GIVE_UP_FACTOR = 2.0
"""Factor on the maximum expected duration after which a machine is considered never to boot."""
MAX_BOOT_FACTOR = 10.0
"""Factor on the stated duration after which a machine is considered never to boot in any case."""
UNKNOWN_BOOT_S = 30.0
"""Boot duration in seconds for a type that the cloud no longer offers."""
LIST_LAG_FACTOR = 1.5
"""Factor on the lag of the cloud's list within which the list shows that a machine has booted."""
MAX_SAMPLES = 200
"""Maximum number of boots kept for each machine type."""


@dataclass(frozen=True, slots=True)
class _Boot:
    """A boot whose completion was observed."""

    completed_at: float
    """Wall-clock time in seconds."""
    duration_s: float


class BootTimes:
    """Boots observed by this controller while it was the leader, by machine type."""

    def __init__(self, model: Model) -> None:
        self._model = model
        self._boots: dict[str, deque[_Boot]] = {}
        self._booting: dict[int, Machine] = {}
        """Machines whose boot began during this leadership and has not completed, by index."""
        self._first_unexamined = 0
        """The lowest index of machines not examined yet. Machines with lower indexes were examined,
        or existed before this leadership, so that their boot durations are unknown."""

    def reset(self) -> None:
        """Discards the boots in progress and ignores existing machines from now on.

        Called while this controller is not the leader.
        """
        self._booting.clear()
        self._first_unexamined = self._model.next_machine

    def observe(self) -> None:
        """Records completed boots; called in each round with the model's lock held."""
        model = self._model
        for index in range(self._first_unexamined, model.next_machine):
            machine = model.machines.get(index)
            if machine is not None:
                self._booting[index] = machine
        self._first_unexamined = model.next_machine
        for index, machine in list(self._booting.items()):
            if model.machines.get(index) is not machine or machine.dropped:
                del self._booting[index]
            elif machine.incarnation > 0 or machine.attempts:
                del self._booting[index]
                self._add_boot(machine, model.clock.wall() - machine.rented_at)

    def record_listed_boot(self, machine: Machine, age_s: float, interval_s: float) -> None:
        """Records the boot of a machine that the cloud lists as running for the first time.

        This covers machines whose heartbeats go to other owners. `age_s`: age of the machine;
        `interval_s`: seconds since the previous list.
        """
        if self._booting.pop(machine.index, None) is not None:
            self._add_boot(machine, age_s - interval_s / 2)

    def _add_boot(self, machine: Machine, duration_s: float) -> None:
        boots = self._boots.setdefault(machine.type, deque(maxlen=MAX_SAMPLES))
        boots.append(_Boot(self._model.clock.wall(), max(0.0, duration_s)))

    def stated_s(self, type_name: str) -> float:
        """Returns the boot duration that the cloud states for a machine type."""
        entry = self._model.types.get(type_name)
        return UNKNOWN_BOOT_S if entry is None else entry.boot_s

    def max_expected_s(self, machine: Machine) -> float:
        """Returns the maximum age in seconds at which a booting machine is not overdue yet.

        It depends on the boots of the same type that have completed since the machine was rented.
        """
        durations = []
        for boot in reversed(self._boots.get(machine.type, ())):
            if boot.completed_at < machine.rented_at:
                break
            durations.append(boot.duration_s)
        stated_s = self.stated_s(machine.type)
        if not durations:
            return MAX_WAIT_FACTOR * stated_s
        durations.sort()
        quantile_s = durations[int(QUANTILE * (len(durations) - 1))]
        return max(USUAL_BOOT_FACTOR * stated_s, OUTLIER_FACTOR * quantile_s)

    def is_overdue(self, machine: Machine) -> bool:
        """Whether a machine should have booted by now; work should not wait for it then."""
        if machine.incarnation > 0 or machine.listed_running or machine.attempts:
            return False
        age_s = self._model.clock.wall() - machine.rented_at
        # Heartbeats to other owners are visible here only through the list, which lags behind.
        lag_s = LIST_LAG_FACTOR * self._model.settings.params.cloud.list_lag_s
        # The stated duration is checked first, since it does not require the list of boots.
        if age_s <= USUAL_BOOT_FACTOR * self.stated_s(machine.type) + lag_s:
            return False
        return age_s > self.max_expected_s(machine) + lag_s

    def never_boots(self, machine: Machine, age_s: float) -> bool:
        """Whether a machine listed as booting at an age is considered never to boot."""
        max_age_s = MAX_BOOT_FACTOR * self.stated_s(machine.type)
        return age_s > min(GIVE_UP_FACTOR * self.max_expected_s(machine), max_age_s)
