"""New machines are up within two seconds and get work at once while writes are delayed, and the
leader ends, restarts, or hands over."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import pytest

from badgerseam.fleet.boot_times import USUAL_BOOT_FACTOR
from badgerseam.fleet.manager import FleetManager
from badgerseam.lab.cloud import RentedMachine
from badgerseam.model.keys import group_key, rental_key
from badgerseam.model.machine import Machine
from badgerseam.settings import RolloutOptions, Tunables
from badgerseam.wire import state as wire
from badgerseam.wire.cloud import MachineType
from tests.fleet.test_fleet import fleet, reply
from tests.store.test_late_writes import until
from tests.support.scripted_peers import ControllerFixture, FakeHttp, Worker
from tests.support.simulated_site import SITE, SimulatedSite, run_on_site
from tests.support.write_scenarios import entries, rows, state_of

FAST_BOOT_SITE = msgspec.structs.replace(
    SITE, types=[MachineType("c8", 8, 64, 1.0, ["a", "b"], 0, 0.3, 1.0)]
)
"""Machines are up 0.6 to 1.5 s after their rental."""
TUNABLES = Tunables(rollout=RolloutOptions())
TEAMS = ("blue", "red", "teal")
TASKS_PER_JOB = 2
TASK_S = 15.0
JOBS = [f"job-{number:06}" for number in range(len(TEAMS))]
TASKS = TASKS_PER_JOB * len(JOBS)
LAG_S = 12.0
NO_RESTART_S = 1e9


# ---- what writes lag by ----


def delay_writes(world: SimulatedSite) -> None:
    world.break_("late-writes", factor=0.4, for_s=LAG_S)


def delay_writes_of_each_moment(world: SimulatedSite) -> None:
    world.break_("late-writes", factor=0.6, to="at-once", for_s=LAG_S)


def slow_down_writes(world: SimulatedSite) -> None:
    for node in world.nodes:
        world.break_("slow", target=node, to="state", for_s=LAG_S)


# ---- what the leader does ----


async def kill_leader(world: SimulatedSite) -> None:
    world.controllers[world.leader].kill(NO_RESTART_S)


async def restart_leader(world: SimulatedSite) -> None:
    world.controllers[world.leader].kill(0.1)


async def drain_leader(world: SimulatedSite) -> None:
    await world.ask("POST", "/rollout/leave", b"{}", via=world.leader)


class OrderChecker:
    """Checks the order of rentals, placements, launches and deletions as they happen."""

    def __init__(self, world: SimulatedSite) -> None:
        self._world = world
        self.faults: list[str] = []
        self._known: set[str] = set()
        self._add = world.history.add
        world.history.add = self._note  # type: ignore[method-assign]
        self._rented = world.cloud_service.rented
        world.cloud_service.rented = self._rent
        self._ended = world.cloud_core.ended
        world.cloud_core.ended = self._end

    def _rent(self, names: list[str]) -> None:
        orders = set(self._world.cloud_core.rentals) - self._known
        self._known |= orders
        for order in orders:
            if not self._world.state_core.version(rental_key(order)):
                self.faults.append(f"{order} is rented and not durable")
        self._rented(names)

    def _end(self, rented: RentedMachine) -> None:
        machine = self._world.machines.get(rented.name)
        held = [] if machine is None else machine.core.tasks.values()
        for task in held:
            if task.phase != "exited":
                self.faults.append(f"{rented.name} is released with {task.task} on it")
        self._ended(rented)

    def _note(self, kind: Any, **fields: Any) -> None:
        if kind == "launch":
            self._launched(fields["job"], fields["machine"], fields["attempt"])
        self._add(kind, **fields)

    def _launched(self, task: str, machine: str, attempt: int) -> None:
        world = self._world
        if machine not in {row.name for row in rows(world)}:
            self.faults.append(f"{task} is launched on {machine}, which is not adopted")
        job, _, number = task.partition("/")
        wanted = wire.TaskRow(int(number), attempt, machine)
        pages = (wire.page_decoder.decode(raw) for raw in entries(world, "p").values())
        if not any(entry.job == job and wanted in entry.rows for page in pages for entry in page):
            self.faults.append(f"{task} is launched on {machine} and not durably placed")


def count_overdue_machines(world: SimulatedSite) -> int:
    """Machines that had no work for so long that a leader may take them for overdue, since the
    cloud's list that says otherwise is late (`fleet/boot_times.py`)."""
    begun = {e.machine: e.t for e in reversed(world.history.events) if e.kind == "launch"}
    patience_s = (
        USUAL_BOOT_FACTOR * FAST_BOOT_SITE.types[0].boot_s + 1.5 * FAST_BOOT_SITE.cloud.list_lag_s
    )
    events = (event for event in world.history.events if event.kind == "machine")
    return sum(begun.get(event.machine, event.t) - event.t > patience_s for event in events)


@pytest.mark.parametrize(
    ("seed", "offset_s"), [(1, 0.3), (2, 1.1), (3, 2.0), (4, 3.2), (28, 0.6669)]
)
@pytest.mark.parametrize("course", [kill_leader, restart_leader, drain_leader])
@pytest.mark.parametrize("lag", [delay_writes, delay_writes_of_each_moment, slow_down_writes])
def test_new_machines_get_work_while_writes_lag_and_the_leader_changes(
    lag: Callable[[SimulatedSite], None],
    course: Callable[[SimulatedSite], Awaitable[None]],
    seed: int,
    offset_s: float,
) -> None:
    async def story(world: SimulatedSite) -> None:
        witness = OrderChecker(world)
        lag(world)
        for job, team in zip(JOBS, TEAMS, strict=True):
            world.at_once(world.submit(job, TASK_S, owner=team, pieces=TASKS_PER_JOB, cpus=8.0))
        await world.advance(offset_s)
        await course(world)
        await world.advance(LAG_S + 13.0)
        for job in JOBS:
            await world.until(lambda j=job: state_of(world, j) == "done", 60.0)  # type: ignore[misc]
        assert not witness.faults, "\n".join(witness.faults)
        launched = Counter(e.job for e in world.history.events if e.kind == "launch")
        assert len(launched) == TASKS
        rented = [name for names in world.cloud_core.rentals.values() for name in names]
        assert len(rented) == len(set(rented))
        assert TASKS <= len(rented) <= TASKS + count_overdue_machines(world), (
            "none twice for the same need"
        )
        assert set(Counter(row.name for row in rows(world)).values()) == {1}

    run_on_site(story, seed, FAST_BOOT_SITE, TUNABLES)


# ---- what a leader takes for late ----


def nodes(found: FleetManager, shard: int = 0) -> int:
    """How many machines the leader counts for a share, those on their way included."""
    now = found._clock.now()
    return len(found._snapshot(found._model.shards[shard], now).nodes)


def test_a_machine_is_no_older_than_the_answer_to_its_order() -> None:
    rig, http = ControllerFixture(), FakeHttp()
    found = fleet(rig, http)
    http.script = [reply(200, {"hosts": ["m-7"]})]
    asked_at = rig.clock.wall() - 900.0

    async def work() -> None:
        rig.set(rental_key("n-0-1-1"), wire.StoredRental([0], "c8", "a", False, asked_at))
        found.scale_out.resume()
        await until(lambda: not found.scale_out.in_progress)

    rig.run(work())
    machine = rig.model.machine("m-7")
    assert machine is not None
    assert not found.boot_times.is_overdue(machine), "its order waited, not its boot"
    released: list[str] = []
    found.scale_in.release = released.extend  # type: ignore[method-assign,assignment]
    for _ in range(9):
        found.machine_list.compare([], rig.clock.wall())
    assert not released, "a list may be older than the rental"


def test_a_new_leader_waits_for_a_list_before_it_makes_up_for_machines() -> None:
    rig = ControllerFixture(shards=2)
    found: FleetManager = fleet(rig, FakeHttp())
    row = msgspec.structs.replace(rig.row(shard=1), rented_at=rig.clock.wall() - 900.0)
    rig.set("bs/m/g", [row])
    assert nodes(found, 1) == 1, "it may be up, and of another owner"
    found.machine_list.has_listed = True
    assert nodes(found, 1) == 0


@pytest.mark.parametrize("answered", [False, True])
def test_a_machine_that_is_being_moved_counts_where_it_goes(answered: bool) -> None:
    rig = ControllerFixture(shards=2)
    rig.own()
    machine = rig.machine()
    rig.report(Worker())
    found: FleetManager = fleet(rig, FakeHttp())

    async def work() -> None:
        rig.state.script = ["silent"]
        found._moves.start([machine], 1)
        await asyncio.sleep(0.03)
        if answered:
            rig.sync()
        assert (nodes(found, 0), nodes(found, 1)) == (0, 1)
        await until(lambda: not found._moves.in_progress)
        assert machine.shard == 1
        assert (nodes(found, 0), nodes(found, 1)) == (0, 1)

    rig.run(work())


def test_a_machine_that_is_already_in_a_shard_is_passed_on_by_doing_nothing() -> None:
    rig = ControllerFixture()
    rig.own()
    machine = rig.machine()
    rig.report(Worker())
    before = rig.state.revision
    assert rig.run(rig.machine_transfer.transfer([machine], 0)) == {machine.name}
    assert rig.state.revision == before
    assert not machine.draining, "else it is released as soon as it is seen to be empty"
    assert not rig.machine_transfer.releasable()


def test_a_machine_counts_where_it_goes_until_the_move_is_seen() -> None:
    rig = ControllerFixture(shards=2)
    machine = rig.machine()
    found: FleetManager = fleet(rig, FakeHttp())
    key = group_key(machine.group)

    async def passed_on(machines: list[Machine], shard: int, vacate: bool) -> set[str]:
        rig.state.put(key, [rig.row(shard=shard)])
        return {machine.name}

    found._moves._transfer_machines = passed_on

    async def work() -> None:
        found._moves.start([machine], 1)
        await asyncio.sleep(0.5)
        assert machine.shard == 0, "the replica is late"
        assert (nodes(found, 0), nodes(found, 1)) == (0, 1)
        rig.sync()
        await until(lambda: not found._moves.in_progress)
        assert (nodes(found, 0), nodes(found, 1)) == (0, 1)

    rig.run(work())
