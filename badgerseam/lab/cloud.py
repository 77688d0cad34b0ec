"""A simulated cloud: idempotent rentals, boot times, a stale machine list, capacity, reclaims."""

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

MAX_PER_RENTAL = 50
FAILED_AFTER_S = 30.0
"""Seconds for which a machine that failed is still listed as running."""
MIN_CHARGED_S = 60.0


class CapacityExhaustedError(BadgerseamError):
    """No machine of this type, zone and kind (spot or not) is available."""


@dataclass(slots=True)
class RentedMachine:
    """A machine that is rented, or was."""

    name: str
    type: wire.MachineType
    zone: str
    spot: bool
    rented_at: float
    up_at: float
    """When the machine has booted; infinite if it never boots."""
    addr: str = ""
    started: bool = False
    """Whether the lab has started its worker."""
    failed_at: float | None = None
    removed_at: float | None = None
    reclaim_at: float | None = None
    """When the cloud takes the machine back, after a reclaim notice."""

    def price(self) -> float:
        """Returns the price per hour."""
        return self.type.spot_price if self.spot else self.type.price

    def cost(self, now: float) -> float:
        """Returns what the machine has cost so far."""
        until = min(x for x in (now, self.removed_at, self.failed_at) if x is not None)
        min_charged_s = MIN_CHARGED_S if self.removed_at is not None else 0.0
        charged_s = max(until - self.rented_at, min_charged_s)
        return charged_s * self.price() / 3600


@dataclass(slots=True)
class CloudCore:
    """The records of rented machines; the lab starts and stops the workers that run on them."""

    clock: Clock
    params: CloudParams
    types: list[wire.MachineType]
    random: Random
    capacity: int = 1000
    """Maximum number of machines at a time of each type, zone and kind (spot or not)."""
    never_up: float = 0.0
    """Fraction of the machines that never boot, from 0 to 1."""
    on_machine_gone: Callable[[RentedMachine], None] = lambda _machine: None
    """Called when a machine and everything on it is gone."""
    machines: dict[str, RentedMachine] = field(default_factory=dict)
    removed: list[RentedMachine] = field(default_factory=list)
    rentals: dict[str, list[str]] = field(default_factory=dict)
    exhausted_offers: set[tuple[str, str, bool]] = field(default_factory=set)
    """Offers (type, zone, spot) that an injected fault leaves without capacity."""
    _serial: int = 0
    _budget: RateBudget = field(init=False)

    def __post_init__(self) -> None:
        self._budget = RateBudget(self.clock, self.params.rps, 2.0)

    def admit(self) -> None:
        """Counts a request; RateLimitedError above the limit."""
        if not self._budget.take():
            raise RateLimitedError

    def rent(self, request: wire.RentalRequest) -> list[str]:
        """Rents machines and returns their names; CapacityExhaustedError if none is available.

        Requests are idempotent: the same request name always gets the same answer.
        """
        if request.request in self.rentals:
            return self.rentals[request.request]
        types = {entry.name: entry for entry in self.types}
        machine_type = types.get(request.type)
        if machine_type is None or request.zone not in machine_type.zones or request.count < 1:
            raise ValueError("no such type, or not in that zone")
        offer = (request.type, request.zone, request.spot)
        rented = sum((m.type.name, m.zone, m.spot) == offer for m in self.machines.values())
        count = min(request.count, MAX_PER_RENTAL, self.capacity - rented)
        no_spot = request.spot and machine_type.spot_price <= 0
        if count <= 0 or offer in self.exhausted_offers or no_spot:
            raise CapacityExhaustedError
        now = self.clock.now()
        names = []
        for _ in range(count):
            self._serial += 1
            name = f"m-{self._serial:06d}"
            boot_s = machine_type.boot_s * self.random.uniform(0.6, 1.5)
            up_at = float("inf") if self.random.random() < self.never_up else now + boot_s
            self.machines[name] = RentedMachine(
                name, machine_type, request.zone, request.spot, now, up_at
            )
            names.append(name)
        self.rentals[request.request] = names
        return names

    def release(self, names: list[str]) -> None:
        """Deletes machines; unknown names are ignored."""
        for name in names:
            machine = self.machines.get(name)
            if machine is not None:
                self._remove(machine)

    def reclaim(self, name: str) -> None:
        """Takes a machine back, as a cloud does with spot instances."""
        machine = self.machines.get(name)
        if machine is not None:
            self._remove(machine)

    def fail(self, name: str) -> None:
        """Makes a machine fail with everything on it; it stays listed until it is deleted."""
        machine = self.machines.get(name)
        if machine is not None and machine.failed_at is None:
            machine.failed_at = self.clock.now()
            self.on_machine_gone(machine)

    def _remove(self, machine: RentedMachine) -> None:
        del self.machines[machine.name]
        machine.removed_at = self.clock.now()
        self.removed.append(machine)
        self.on_machine_gone(machine)

    def page(self, after: str, limit: int) -> wire.MachinePage:
        """Returns a page of the machine list as it was a while ago.

        The lag is random, so a page can be older than the one that was read before it.
        """
        lag = self.params.list_lag_s
        viewed_at = self.clock.now() - lag * self.random.choice((0.5, 1.0, 1.0, 1.0, 2.0))
        seen = [m for m in self.machines.values() if m.rented_at <= viewed_at]
        seen += [
            m
            for m in self.removed
            if m.rented_at <= viewed_at and m.removed_at is not None and m.removed_at > viewed_at
        ]
        seen = sorted((m for m in seen if m.name > after), key=lambda m: m.name)
        listed = [
            wire.ListedMachine(
                m.name,
                m.addr,
                m.type.name,
                m.zone,
                m.spot,
                _phase(m, viewed_at),
                round(viewed_at - m.rented_at, 2),
            )
            for m in seen[: min(limit, 500)]
        ]
        return wire.MachinePage(listed, len(seen) > len(listed))

    def cost(self) -> float:
        """Returns the cost of all machines so far."""
        now = self.clock.now()
        return sum(m.cost(now) for m in [*self.machines.values(), *self.removed])


def _phase(machine: RentedMachine, viewed_at: float) -> str:
    if machine.failed_at is not None and viewed_at > machine.failed_at + FAILED_AFTER_S:
        return "failed"
    return "running" if machine.up_at <= viewed_at else "booting"
