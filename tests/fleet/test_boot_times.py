"""Estimates of boot durations: slow machines, times when all are slow, machines that never boot."""

from __future__ import annotations

import msgspec

from badgerseam.fleet.boot_times import (
    MAX_BOOT_FACTOR,
    MAX_WAIT_FACTOR,
    USUAL_BOOT_FACTOR,
    BootTimes,
)
from badgerseam.model.machine import Machine
from badgerseam.wire import state as wire
from tests.support.scripted_peers import TYPES, ControllerFixture, Worker

BOOT_S = 20.0


class BootTimesFixture:
    """A leader that rents machines of one type and observes their boots."""

    def __init__(self) -> None:
        self.controller_fixture = ControllerFixture()
        types = [TYPES[0] | {"bootS": BOOT_S}]
        self.controller_fixture.set("bs/f", msgspec.json.decode(msgspec.json.encode(types)))
        self.controller_fixture.own()
        self.boots = BootTimes(self.controller_fixture.model)
        self.lag_s = 1.5 * self.controller_fixture.settings.params.cloud.list_lag_s
        self.rented = 0

    def rent(self, count: int) -> list[Machine]:
        names = [f"m-{self.rented + n}" for n in range(count)]
        self.rented += count
        now = round(self.controller_fixture.clock.wall(), 1)
        rows = [wire.StoredMachine(name, 0, "c8", "a", False, "", now) for name in names]
        self.controller_fixture.set(f"bs/m/g-{names[0]}", rows)
        self.boots.observe()
        machines = [self.controller_fixture.model.machine(name) for name in names]
        return [machine for machine in machines if machine is not None]

    def advance(self, seconds: float) -> None:
        self.controller_fixture.clock.time += seconds
        self.controller_fixture.lease()
        self.boots.observe()

    def send_heartbeats(self, *machines: Machine) -> None:
        for machine in machines:
            self.controller_fixture.report(Worker(machine.name))
        self.boots.observe()


def test_a_machine_that_boots_slower_than_others_becomes_overdue_and_then_never_boots() -> None:
    fixture = BootTimesFixture()
    *others, last = fixture.rent(6)
    fixture.advance(BOOT_S)
    fixture.send_heartbeats(*others)
    fixture.advance(USUAL_BOOT_FACTOR * BOOT_S + fixture.lag_s - BOOT_S - 1.0)
    assert not fixture.boots.is_overdue(last)
    fixture.advance(2.0)
    assert fixture.boots.is_overdue(last)
    assert not fixture.boots.never_boots(last, USUAL_BOOT_FACTOR * BOOT_S + 1.0)
    assert fixture.boots.never_boots(last, 3 * BOOT_S + 1.0)
    assert not any(map(fixture.boots.is_overdue, others))


def test_no_machine_is_overdue_or_given_up_while_all_boots_are_slow() -> None:
    # With the stated boot duration as the only criterion, each machine was rented again after 1.5
    # times that duration, and released just before its boot completed.
    fixture = BootTimesFixture()
    first, *rest = fixture.rent(8)
    fixture.advance(MAX_WAIT_FACTOR * BOOT_S - 1.0)
    assert not any(map(fixture.boots.is_overdue, [first, *rest]))
    fixture.send_heartbeats(first)
    fixture.advance(0.2 * MAX_WAIT_FACTOR * BOOT_S)
    assert not any(map(fixture.boots.is_overdue, rest)), "the first boot shows the present duration"
    assert not any(
        fixture.boots.never_boots(machine, 1.5 * MAX_WAIT_FACTOR * BOOT_S) for machine in rest
    )
    fixture.send_heartbeats(*rest)
    last = fixture.rent(1)[0]
    fixture.advance(MAX_WAIT_FACTOR * BOOT_S)
    assert not fixture.boots.is_overdue(last), (
        "no boot has completed since it was rented, so that it may be slow too"
    )


def test_machines_are_given_up_in_the_end_even_if_none_boots() -> None:
    fixture = BootTimesFixture()
    machines = fixture.rent(5)
    fixture.advance(MAX_WAIT_FACTOR * BOOT_S + fixture.lag_s + 1.0)
    assert all(map(fixture.boots.is_overdue, machines)), "replacements are rented for them"
    fixture.advance(MAX_BOOT_FACTOR * BOOT_S)
    assert all(
        fixture.boots.never_boots(m, (MAX_WAIT_FACTOR + MAX_BOOT_FACTOR) * BOOT_S) for m in machines
    )


def test_one_slow_boot_does_not_delay_the_replacement_of_another_machine() -> None:
    fixture = BootTimesFixture()
    *others, slow, never = fixture.rent(12)
    fixture.advance(0.8 * BOOT_S)
    fixture.send_heartbeats(*others)
    fixture.advance(1.7 * BOOT_S)
    fixture.send_heartbeats(slow)
    assert fixture.boots.is_overdue(never)


def test_a_new_leader_ignores_the_boots_of_existing_machines() -> None:
    fixture = BootTimesFixture()
    fixture.boots.reset()
    old = fixture.rent(3)
    fixture.boots.reset()
    fixture.advance(900.0)
    fixture.send_heartbeats(*old)
    fresh = fixture.rent(4)
    fixture.advance(BOOT_S)
    fixture.send_heartbeats(*fresh[:3])
    fixture.advance(USUAL_BOOT_FACTOR * BOOT_S)
    assert fixture.boots.is_overdue(fresh[3])


def test_boots_of_machines_of_other_owners_are_observed_through_the_list() -> None:
    fixture = BootTimesFixture()
    first, second = fixture.rent(2)
    fixture.advance(BOOT_S)
    first.listed_running = True
    fixture.boots.record_listed_boot(first, BOOT_S + 2.0, 4.0)
    fixture.advance(2 * BOOT_S)
    assert fixture.boots.is_overdue(second)
