"""The cloud's rules: rentals by name, boots, a list that lags, capacity, machines taken back."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from badgerseam.clock import Clock
from badgerseam.errors import BadgerseamError
from badgerseam.http.budget import RateBudget
from badgerseam.lab.errors import RateLimitedError
from badgerseam.settings import CloudParams
from badgerseam.wire import cloud as wire

MAX_AT_ONCE = 50
FAILED_AFTER_S = 30.0
"""How long a machine that died is still listed as running."""
MIN_CHARGED_S = 60.0


class CapacityExhaustedError(BadgerseamError):
    """None of this type, zone and kind is to be had."""


@dataclass(slots=True)
class RentedMachine:
    """A machine, from its rental until it is gone."""

    name: str
    type: wire.MachineType
    zone: str
    spot: bool
    rented: float
    up: float
    """When it comes up; infinite for one that never does."""
    addr: str = ""
    started: bool = False
    died: float | None = None
    gone: float | None = None
    notice_at: float | None = None

    def price(self) -> float:
        """An hour."""
        return self.type.spot_price if self.spot else self.type.price

    def cost(self, now: float) -> float:
        """What it has cost."""
        until = min(x for x in (now, self.gone, self.died) if x is not None)
        held = max(until - self.rented, MIN_CHARGED_S if self.gone is not None else 0.0)
        return held * self.price() / 3600


@dataclass(slots=True)
class CloudCore:
    """Machines on paper; whoever drives it starts their workers and ends them."""

    clock: Clock
    params: CloudParams
    types: list[wire.MachineType]
    random: Random
    capacity: int = 1000
    """Machines at once of each type, zone and kind."""
    never_up: float = 0.0
    """Part of the machines that never come up."""
    on_machine_gone: Callable[[RentedMachine], None] = lambda machine: None
    """Is told when a machine and all on it is gone."""
    machines: dict[str, RentedMachine] = field(default_factory=dict)
    past: list[RentedMachine] = field(default_factory=list)
    rentals: dict[str, list[str]] = field(default_factory=dict)
    exhausted_offers: set[tuple[str, str, bool]] = field(default_factory=set)
    """Offers without capacity, by order of whoever drives it."""
    _serial: int = 0
    _budget: RateBudget = field(init=False)

    def __post_init__(self) -> None:
        self._budget = RateBudget(self.clock, self.params.rps, 2.0)

    def admit(self) -> None:
        """Count a call; Busy above the limit."""
        if not self._budget.take():
            raise RateLimitedError

    def rent(self, request: wire.RentalRequest) -> list[str]:
        """The machines rented; Full if there are none. A name's answer never changes."""
        if request.request in self.rentals:
            return self.rentals[request.request]
        kinds = {entry.name: entry for entry in self.types}
        kind = kinds.get(request.type)
        if kind is None or request.zone not in kind.zones or request.count < 1:
            raise ValueError("no such type, or not in that zone")
        offer = (request.type, request.zone, request.spot)
        held = sum((m.type.name, m.zone, m.spot) == offer for m in self.machines.values())
        count = min(request.count, MAX_AT_ONCE, self.capacity - held)
        if count <= 0 or offer in self.exhausted_offers or (request.spot and kind.spot_price <= 0):
            raise CapacityExhaustedError
        now = self.clock.now()
        names = []
        for _ in range(count):
            self._serial += 1
            name = f"m-{self._serial:06d}"
            boot = kind.boot_s * self.random.uniform(0.6, 1.5)
            up = float("inf") if self.random.random() < self.never_up else now + boot
            self.machines[name] = RentedMachine(name, kind, request.zone, request.spot, now, up)
            names.append(name)
        self.rentals[request.request] = names
        return names

    def release(self, names: list[str]) -> None:
        """Delete machines; unknown names are ignored."""
        for name in names:
            machine = self.machines.get(name)
            if machine is not None:
                self._remove(machine)

    def reclaim(self, name: str) -> None:
        """The cloud takes a machine back."""
        machine = self.machines.get(name)
        if machine is not None:
            self._remove(machine)

    def fail(self, name: str) -> None:
        """A machine stops with all that is on it; it stays listed until it is deleted."""
        machine = self.machines.get(name)
        if machine is not None and machine.died is None:
            machine.died = self.clock.now()
            self.on_machine_gone(machine)

    def _remove(self, machine: RentedMachine) -> None:
        del self.machines[machine.name]
        machine.gone = self.clock.now()
        self.past.append(machine)
        self.on_machine_gone(machine)

    def page(self, after: str, limit: int) -> wire.MachinePage:
        """The list as it was a while ago, perhaps longer than the time before."""
        lag = self.params.list_lag_s
        view = self.clock.now() - lag * self.random.choice((0.5, 1.0, 1.0, 1.0, 2.0))
        seen = [m for m in self.machines.values() if m.rented <= view]
        seen += [m for m in self.past if m.rented <= view and m.gone is not None and m.gone > view]
        seen = sorted((m for m in seen if m.name > after), key=lambda m: m.name)
        listed = [
            wire.ListedMachine(
                m.name,
                m.addr,
                m.type.name,
                m.zone,
                m.spot,
                _phase(m, view),
                round(view - m.rented, 2),
            )
            for m in seen[: min(limit, 500)]
        ]
        return wire.MachinePage(listed, len(seen) > len(listed))

    def cost(self) -> float:
        """All that has been spent."""
        now = self.clock.now()
        return sum(m.cost(now) for m in [*self.machines.values(), *self.past])


def _phase(machine: RentedMachine, view: float) -> str:
    if machine.died is not None and view > machine.died + FAILED_AFTER_S:
        return "failed"
    return "running" if machine.up <= view else "booting"
