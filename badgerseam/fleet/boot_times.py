"""How long machines take to come up now, learned from those that did: late is told from never.

The stated time is a hint only. Usually machines come up within 0.6 to 1.5 times of it, some take
several times as long, a few never come, and there are times at which all of them are slow. One
that is overdue should be made up for by another, but not while all are slow: the others are no
quicker, and what still comes is paid for twice.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from badgerseam.model.machine import Machine
from badgerseam.model.model import Model

SPREAD = 1.5
"""How much longer than stated a boot usually takes at most."""
BEYOND = 1.3
"""How much longer than nearly all of the others of late one may take before it is an exception."""
QUANTILE = 0.8
"""The part of the others that tells what is usual now."""
HOPED = 4.0
"""Without any that came up meanwhile, one is waited for so many times the stated time."""
GIVEN_UP = 2.0
"""Once it is an exception so many times over, it is taken for one that never comes."""
NEVER = 10.0
"""So many times the stated time no order is kept, whatever else is known."""
UNKNOWN_S = 30.0
"""What a type that the cloud does not offer any more is taken to need."""
MAX_SAMPLES = 200


@dataclass(frozen=True, slots=True)
class _Boot:
    up_at: float
    """Time of day."""
    took_s: float


class BootTimes:
    """What the leader has seen of boots while it led, by machine type."""

    def __init__(self, model: Model) -> None:
        self._model = model
        self._boots: dict[str, deque[_Boot]] = {}
        self._booting: dict[int, Machine] = {}
        self._seen = 0
        """Machines with a lower index were there before we led: how long they took is not known."""

    def forget(self) -> None:
        """Somebody else leads."""
        self._booting.clear()
        self._seen = self._model.next_machine

    def observe(self) -> None:
        """Take note of what has come up; called each round, with the model's lock held."""
        model = self._model
        for index in range(self._seen, model.next_machine):
            machine = model.machines.get(index)
            if machine is not None:
                self._booting[index] = machine
        self._seen = model.next_machine
        for index, machine in list(self._booting.items()):
            if model.machines.get(index) is not machine or machine.dropped:
                del self._booting[index]
            elif machine.incarnation > 0 or machine.attempts:
                del self._booting[index]
                self._came_up(machine, model.clock.wall() - machine.rented_at)

    def listed_up(self, machine: Machine, age_s: float, since_s: float) -> None:
        """The cloud lists a machine of another owner as running, at that age, for the first time
        since a list that is older by so much."""
        if self._booting.pop(machine.index, None) is not None:
            self._came_up(machine, age_s - since_s / 2)

    def _came_up(self, machine: Machine, took_s: float) -> None:
        boots = self._boots.setdefault(machine.type, deque(maxlen=MAX_SAMPLES))
        boots.append(_Boot(self._model.clock.wall(), max(0.0, took_s)))

    def stated_s(self, type_name: str) -> float:
        """What the cloud says that a type needs."""
        entry = self._model.types.get(type_name)
        return UNKNOWN_S if entry is None else entry.boot_s

    def usual_s(self, machine: Machine) -> float:
        """Up to what age a machine is waited for, by what has come up since it was rented."""
        since = []
        for boot in reversed(self._boots.get(machine.type, ())):
            if boot.up_at < machine.rented_at:
                break
            since.append(boot.took_s)
        stated_s = self.stated_s(machine.type)
        if not since:
            return HOPED * stated_s
        since.sort()
        return max(SPREAD * stated_s, BEYOND * since[int(QUANTILE * (len(since) - 1))])

    def is_overdue(self, machine: Machine) -> bool:
        """Whether it should have come up by now: nobody should go on waiting for it."""
        if machine.incarnation > 0 or machine.listed_up or machine.attempts:
            return False
        age_s = self._model.clock.wall() - machine.rented_at
        # What others hear of it the list tells later.
        lag_s = 1.5 * self._model.settings.params.cloud.list_lag_s
        # The usual first: it needs no look at the others.
        if age_s <= SPREAD * self.stated_s(machine.type) + lag_s:
            return False
        return age_s > self.usual_s(machine) + lag_s

    def never_boots(self, machine: Machine, age_s: float) -> bool:
        """Whether one that is listed as booting at that age is taken for one that never comes."""
        most_s = NEVER * self.stated_s(machine.type)
        return age_s > min(GIVEN_UP * self.usual_s(machine), most_s)
