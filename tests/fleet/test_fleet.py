"""Tests for renting, adopting, moving and releasing machines."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from typing import Any

import msgspec

from badgerseam.fleet import policy
from badgerseam.fleet.capacity_reserve import CapacityReserve, ReserveSpreads, capacity_reserves
from badgerseam.fleet.cloud import CloudClient, CloudError, NoCapacityError
from badgerseam.fleet.demand import Offer, rental_options
from badgerseam.fleet.evacuation import Evacuation
from badgerseam.fleet.machine_transfer import NO_SHARD
from badgerseam.fleet.manager import FleetManager
from badgerseam.http.client import NoResponseError, Response
from badgerseam.model.job import Stage
from badgerseam.model.keys import rental_key
from badgerseam.model.resources import NOTHING, Resources
from badgerseam.model.state import Arrival
from badgerseam.sched import pts
from badgerseam.settings import Team
from badgerseam.wire import cloud as cloud_wire
from badgerseam.wire import state as wire
from badgerseam.workers.draining import drain
from tests.support.scripted_peers import ControllerFixture, FakeHttp, Worker, seeded_random

EQUAL_SPREADS = ReserveSpreads(1.0, 1.0)
UNLIMITED = Resources(math.inf, math.inf, math.inf)
TEAMS = {0: pts.TeamUse(NOTHING, UNLIMITED, UNLIMITED)}


def fleet(fixture: ControllerFixture, http: FakeHttp) -> FleetManager:
    cloud = CloudClient(fixture.clock, http, "cloud:1", 100.0)  # type: ignore[arg-type]
    fixture.set("bs/l", wire.Claim("n-0", 1))
    return FleetManager(
        fixture.model,
        fixture.membership,
        fixture.committer,
        fixture.machine_records,
        cloud,
        fixture.planner,
        fixture.tunables,
        seeded_random(),
        fixture.machine_transfer.transfer,
        fixture.changed,
    )


def reply(status: int, body: Any) -> Any:
    return lambda _: Response(status, msgspec.json.encode(body))


def no_response(_: Any) -> Response:
    raise NoResponseError("lost")


def test_a_rental_without_a_response_is_retried_under_its_name() -> None:
    fixture, http = ControllerFixture(), FakeHttp()
    manager = fleet(fixture, http)
    http.script = [no_response, reply(503, {"error": "trouble"}), reply(200, {"hosts": ["m-7"]})]
    rental = wire.StoredRental([0], "c8", "a", False, 0.0)
    fixture.set(rental_key("n-0-1-1"), rental)
    fixture.run(complete_rental(manager, "n-0-1-1", rental))
    names = [message["hire"] for _, _, message in http.sent]
    assert names == ["n-0-1-1"] * 3
    machine = fixture.model.machine("m-7")
    assert machine is not None
    assert machine.shard == 0
    assert fixture.model.rentals == {}


async def complete_rental(manager: FleetManager, name: str, rental: wire.StoredRental) -> None:
    await asyncio.wait_for(manager.scale_out.complete_rental(name, rental), 10.0)


def test_a_rental_never_overwrites_the_record_of_a_machine() -> None:
    # The machine may have been adopted from a heartbeat, and have got work, before the cloud
    # responded to the rental.
    fixture, http = ControllerFixture(shards=2), FakeHttp()
    manager = fleet(fixture, http)
    fixture.machine("m-7", shard=0)
    http.script = [reply(200, {"hosts": ["m-7", "m-8"]})]
    rental = wire.StoredRental([1, 1], "c8", "a", False, 0.0)
    fixture.set(rental_key("n-0-1-1"), rental)
    fixture.run(complete_rental(manager, "n-0-1-1", rental))
    shards = {machine.name: machine.shard for machine in fixture.model.machines.values()}
    assert shards == {"m-7": 0, "m-8": 1}


def test_a_rented_machine_that_is_being_adopted_is_not_recorded_twice() -> None:
    fixture, http = ControllerFixture(shards=2), FakeHttp()
    manager = fleet(fixture, http)
    http.script = [reply(200, {"hosts": ["m-7", "m-8"]})]
    rental = wire.StoredRental([1, 1], "c8", "a", False, 0.0)
    fixture.set(rental_key("n-0-1-9"), rental)

    async def work() -> None:
        manager.scale_out.adopt_unrecorded([fixture.row("m-7")])
        await complete_rental(manager, "n-0-1-9", rental)

    fixture.run(work())
    groups = {name: sorted(rows) for name, (_, rows) in fixture.model.groups.items()}
    assert groups == {"n-0-1-1": ["m-7"], "n-0-1-9": ["m-8"]}


def test_unchanged_durable_machine_types_are_not_written_again() -> None:
    # If the leader writes the types after each request to the cloud, every controller treats its
    # machines as new.
    fixture = ControllerFixture()
    manager = fleet(fixture, FakeHttp())
    assert manager._membership.is_leader
    before = fixture.state.revision
    fixture.run(manager.machine_types.publish(list(fixture.model.types.values())))
    assert fixture.state.revision == before


def test_machines_without_a_record_are_adopted_and_failed_ones_released() -> None:
    fixture, http = ControllerFixture(), FakeHttp()
    manager = fleet(fixture, http)
    fixture.machine("m-1")
    http.script = [reply(200, {})]

    async def compare() -> None:
        listed = [
            cloud_wire.ListedMachine("m-1", "", "c8", "a", False, "failed", 100.0),
            cloud_wire.ListedMachine("m-9", "10.1.0.9:1", "c8", "a", False, "running", 100.0),
        ]
        manager.machine_list.compare(listed, fixture.clock.wall())
        while manager.scale_in.in_progress or manager.scale_out.recording:
            await asyncio.sleep(0)

    fixture.run(compare())
    assert fixture.model.machine("m-9") is not None
    assert fixture.model.machine("m-1") is None
    assert http.sent[0][1:] == ("/machines/release", {"hosts": ["m-1"]})
    # A late heartbeat of the released machine does not recreate its record.
    fixture.model.unregistered.clear()
    assert fixture.worker_manager.handle_heartbeat(Worker("m-1").body()).status == 421

    async def run_round() -> None:
        manager._round()

    asyncio.run(run_round())
    assert fixture.model.machine("m-1") is None


def test_a_record_is_deleted_only_after_a_response_to_the_release() -> None:
    fixture, http = ControllerFixture(), FakeHttp()
    manager = fleet(fixture, http)
    machine = fixture.machine("m-1")
    http.script = [no_response]

    async def release() -> None:
        manager.scale_in.release(["m-1"])
        for _ in range(10):
            await asyncio.sleep(0)

    asyncio.run(release())
    assert fixture.model.machine("m-1") is machine


def test_only_an_empty_machine_is_transferred() -> None:
    fixture = ControllerFixture(shards=2)
    fixture.own(0)
    machine = fixture.machine(shard=0)
    worker = Worker()
    fixture.report(worker)
    fixture.report(worker)
    transfers = fixture.machine_transfer
    team = next(t.name for t in fixture.model.teams if t.shard == 0)
    job = fixture.job(owner=team, pieces=1)
    fixture.running(job, 0, machine, worker)
    assert not fixture.run(transfers.transfer([machine], 1))
    fixture.model.unplace(job.attempts[0])
    assert fixture.run(transfers.transfer([machine], 1))
    assert machine.shard == 1
    other = fixture.machine("m-2", shard=0)
    assert fixture.run(transfers.transfer([other], NO_SHARD))
    assert other.dropped


def test_a_machine_with_low_priority_work_is_evacuated_and_then_transferred() -> None:
    fixture = ControllerFixture(shards=2)
    fixture.own(0)
    machine = fixture.machine(shard=0)
    worker = Worker()
    fixture.report(worker)
    transfers = fixture.machine_transfer
    team = next(t.name for t in fixture.model.teams if t.shard == 0)
    job = fixture.job(owner=team, pieces=1)
    fixture.running(job, 0, machine, worker)
    fixture.report(worker)
    assert fixture.run(transfers.transfer([machine], 1, evacuate=True))
    assert transfers.evacuated() == []
    drain(fixture.model)
    fixture.report(worker)
    fixture.report(worker)
    [(empty, target)] = transfers.evacuated()
    assert fixture.run(transfers.transfer([empty], target))
    assert machine.shard == 1


def test_cloud_responses_map_to_no_capacity_or_retry() -> None:
    fixture, http = ControllerFixture(), FakeHttp()
    cloud = CloudClient(fixture.clock, http, "cloud:1", 100.0)  # type: ignore[arg-type]
    request = cloud_wire.RentalRequest("r-1", "c8", "a", True, 1)
    outcomes = []
    for status, error in ((503, "no capacity"), (503, "trouble"), (429, ""), (400, "")):
        http.script = [reply(status, {"error": error})]
        try:
            fixture.run(cloud.rent(request))
        except (NoCapacityError, CloudError) as outcome:
            outcomes.append(type(outcome))
    assert outcomes == [NoCapacityError, CloudError, CloudError, NoCapacityError]


def node(index: int, used: float = 0, **fields: Any) -> pts.MachineSnapshot:
    total = Resources(8, 0, 64)
    given: dict[str, Any] = {"type": "c8", "zone": "a", "spot": True, **fields}
    free = total.minus(Resources(used, 0, 0))
    return pts.MachineSnapshot(
        index, total=total, free=free, high_slots=0, low_slots=0, evictions=0, images=set(), **given
    )


def shard(nodes: list[pts.MachineSnapshot], waiting: int = 0) -> pts.Snapshot:
    requests = []
    if waiting:
        need = Resources(4, 0, 8)
        requests = [
            pts.Request(
                1, waiting, need, 1, False, 0, None, None, False, None, True, "", {}, set(), 0.0
            )
        ]
    return pts.Snapshot(nodes, requests, dict(TEAMS), 1, 0, 0.5, 60.0)


def c8_options() -> list[Any]:
    entry = cloud_wire.MachineType("c8", 8, 64, 1.0, ["a"], spot_price=0.3, boot_s=20)
    return rental_options({"c8": entry}, set())


def test_empty_machines_are_moved_before_any_is_rented() -> None:
    shards = [shard([node(0), node(1)]), shard([node(2, used=8)], waiting=6)]
    result = policy.decide(shards, {0, 1}, {0, 1}, [], c8_options(), 5)
    assert result.moves == [(0, 1), (1, 1)]
    assert result.rentals == [(Offer("c8", "a", True), 1)]
    assert result.surplus == []


def test_no_machine_is_rented_for_capacity_that_becomes_free_within_a_boot() -> None:
    busy = node(0, used=8)
    for task, left in ((0, 5.0), (1, 50.0)):
        running = pts.RunningTask((9, task), Resources(4, 0, 8), 1, 0, 0.0, 0.0, True, ends_at=left)
        busy.running.append(running)
    assert (
        len(policy.decide([shard([busy], 2)], set(), set(), [], c8_options(), 5, 20.0).rentals) == 1
    )
    assert policy.decide([shard([busy], 1)], set(), set(), [], c8_options(), 5, 20.0).rentals == []


def test_a_reserve_is_kept_while_tasks_of_its_class_arrive() -> None:
    need = Resources(4, 0, 8)
    arrivals = deque(Arrival(t, "fast", 0, 4, need, 2, True) for t in (0.0, 20.0, 40.0))
    waits: dict[str | None, float] = {"fast": 1.0, "slow": 90.0}
    kept = capacity_reserves(arrivals, waits, 30.0, 41.0, 60.0, EQUAL_SPREADS)
    assert [(reserve.tasks, reserve.shard) for reserve in kept] == [(4, 0)]
    shards = [shard([node(0), node(1), node(2)])]
    result = policy.decide(shards, {0, 1, 2}, {0, 1, 2}, kept, c8_options(), 5)
    assert (result.rentals, result.surplus) == ([], [2])
    # An objective for the guarantee (key None) also applies to classes without their own objective.
    assert capacity_reserves(arrivals, {None: 5.0}, 30.0, 41.0, 60.0, EQUAL_SPREADS) == kept
    assert capacity_reserves(arrivals, {"fast": 90.0}, 30.0, 41.0, 60.0, EQUAL_SPREADS) == []
    later = capacity_reserves(arrivals, waits, 30.0, 400.0, 60.0, EQUAL_SPREADS)
    assert not any(reserve.tasks for reserve in later)


def test_a_transferred_machine_is_usable_in_its_new_shard() -> None:
    # A leader that still treats a machine that it has transferred as draining neither uses nor
    # releases it, and rents others. Observed in the fleet status log on a day with little load.
    fixture = ControllerFixture(shards=2)
    fixture.own(0)
    fixture.machine("m-1", shard=0)
    manager = fleet(fixture, FakeHttp())
    machine = fixture.model.machines[0]
    machine.listed_running = True
    assert fixture.run(fixture.machine_transfer.transfer([machine], 1)) == {"m-1"}
    seen = manager._snapshot(fixture.model.shards[1], fixture.clock.now())
    assert [node.index for node in seen.nodes] == [machine.index]
    assert not machine.draining


def test_replicas_are_consolidated_on_machines_that_have_their_image() -> None:
    def replicas(index: int, count: int, images: set[str]) -> pts.MachineSnapshot:
        machine = node(index, used=2 * count, spot=False)
        machine.images |= images
        for task in range(count):
            running = pts.RunningTask(
                (1, 10 * index + task), Resources(2, 0, 8), 3, 0, 0.0, 0.0, True
            )
            running.is_service = True
            machine.running.append(running)
        return machine

    def request_of(job: int) -> pts.Request:
        need = Resources(2, 0, 8)
        return pts.Request(
            job, 1, need, 3, True, 0, None, None, False, None, False, "img", {}, set(), 0.0
        )

    def consolidated(images: set[str], now: float = 100.0, kept: int = 0) -> list[tuple[int, int]]:
        shard_snapshot = shard([replicas(0, 1, {"img"}), replicas(1, 3, images)])
        shard_snapshot.now = now
        reserve = CapacityReserve(kept, Resources(2, 0, 8), 3, False, 0, False)
        return policy.decide(
            [shard_snapshot], set(), set(), [reserve], [], 5, 0.0, request_of
        ).consolidations

    assert consolidated({"img"}) == [(0, 0)]
    assert consolidated(set()) == []
    assert consolidated({"img"}, now=10.0) == [], "replicas that have just started are not moved"
    assert consolidated({"img"}, kept=4) == [], "the capacity is reserved for expected arrivals"


def test_demand_within_a_guarantee_evacuates_only_borrowers_of_other_shards() -> None:
    # The tasks of a borrowing team may fill all available machines. Work within another team's
    # guarantee then waits in another shard, where the planner finds nothing to evict.
    teams = [Team("blue", 0.0, 0.0), Team("red", 16.0, 64.0)]
    fixture = ControllerFixture(teams, shards=2)
    fixture.own(0)
    fixture.own(1)
    machine = fixture.machine("m-1", shard=0)
    borrower = fixture.job(id="job-000001", owner="blue", pieces=1, rank="best_effort")
    fixture.model.place(borrower, 0, 1, machine, Stage.RUNNING)
    fixture.job(id="job-000002", owner="red", pieces=4)
    evacuation = Evacuation(fixture.model, fixture.planner)

    def select_machines(waiting: int) -> dict[int, list[str]]:
        snapshots = [
            fixture.planner.snapshot(
                shard, fixture.planner.nodes(shard), fixture.planner.requests(shard)
            )
            for shard in fixture.model.shards
        ]
        job = fixture.model.job("job-000002")
        assert job is not None
        decisions = policy.FleetDecisions(waiting=[{}, {job.index: waiting}])
        selected = evacuation.select(snapshots, decisions, set(), fixture.clock.now())
        return {shard: [m.name for m in machines] for shard, machines in selected.items()}

    assert select_machines(4) == {}, "the job has not waited for long enough"
    fixture.clock.time += 4.0
    assert select_machines(4) == {1: ["m-1"]}
    assert select_machines(4) == {}, "the next evacuation has to wait for the interval"
    fixture.clock.time += 4.0
    # Beyond its guarantee, the team red is a borrower like the team blue.
    large = fixture.job(id="job-000003", owner="red", pieces=8)
    elsewhere = fixture.machine("m-9", shard=1)
    for task in range(8):
        fixture.model.place(large, task, 1, elsewhere, Stage.RUNNING)
    assert select_machines(4) == {}
