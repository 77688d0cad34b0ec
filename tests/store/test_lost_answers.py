"""Transactions that are carried out at once and whose answer alone is lost: their sender does not
know, and all others read what it wrote."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from badgerseam.cluster import watch_health
from badgerseam.fleet.demand import Offer
from badgerseam.fleet.manager import FleetManager
from badgerseam.lab.services import WATCH
from badgerseam.model.job import Stage
from badgerseam.model.keys import (
    group_key,
    job_key,
    proxy_key,
)
from badgerseam.wire import state as wire
from tests.fleet.test_fleet import fleet, reply
from tests.store.test_late_writes import record, run_event_loop, until
from tests.support.scripted_peers import ControllerFixture, FakeHttp, Worker, submission, verbs
from tests.support.simulated_site import SimulatedSite, run_on_site
from tests.support.write_scenarios import (
    JOB,
    LOST_S,
    OPTIONAL_SCENARIOS,
    SCENARIOS,
    TUNABLES,
    Course,
    ScenarioFactory,
    acceptance,
    cancellation,
    cases,
    end,
    ends,
    follows_late,
    no_answer,
    other_than,
    placement,
    settled,
)


@pytest.fixture(autouse=True)
def the_sender_stays(monkeypatch: pytest.MonkeyPatch) -> None:
    """A sender that follows nothing keeps its claims, as one does that no sibling can replace: some
    writes come more than `BLIND_S` after its watch was cut, and they are to be its own. That it
    passes its claims on otherwise is tested in test_watch_health.py."""
    monkeypatch.setattr(watch_health, "STALLED_S", 1e9)


@pytest.mark.parametrize(("scene_of", "course"), cases(SCENARIOS))
def test_the_sender_does_not_know_what_others_read(
    scene_of: ScenarioFactory,
    course: Course,
) -> None:
    async def story(world: SimulatedSite) -> None:
        scene = await scene_of(world)
        await no_answer(world, scene, watch=course is follows_late)
        await course(world, scene)
        await settled(world, scene)

    run_on_site(story)


@pytest.mark.parametrize(("scene_of", "course"), cases(OPTIONAL_SCENARIOS))
def test_the_sender_of_an_operators_record_does_not_know_what_others_read(
    scene_of: ScenarioFactory,
    course: Course,
) -> None:
    async def story(world: SimulatedSite) -> None:
        scene = await scene_of(world)
        await no_answer(world, scene, watch=course is follows_late)
        await course(world, scene)
        if course is ends:
            # Levels and classes are those of all controllers that are configured.
            world.controllers[scene.sender].back()
        await settled(world, scene)

    run_on_site(story, tunables=TUNABLES)


# ---- another node acts on what is written ----


@pytest.mark.parametrize("scene_of", [acceptance, placement, cancellation, end])
@pytest.mark.parametrize("lags", [False, True])
def test_a_job_is_called_off_through_another_node_before_the_sender_knows(
    scene_of: ScenarioFactory, lags: bool
) -> None:
    async def story(world: SimulatedSite) -> None:
        scene = await scene_of(world)
        await no_answer(world, scene, watch=lags)
        answer = await world.cancel(JOB, via=other_than(world, scene.sender))
        phase = world.phase(answer)
        assert phase == ("done" if scene_of is end else "withdrawn")
        before = world.on(JOB)
        await world.advance(LOST_S)
        if scene_of is placement:
            assert not before and not world.on(JOB), "nothing is launched"
        world.links.heal(scene.sender, WATCH)
        scene.phases = {JOB: phase}
        await settled(world, scene)
        await world.until(lambda: not world.on(JOB), 20.0)

    run_on_site(story)


# ---- the controller's parts by themselves ----


def test_a_placement_that_was_written_starts_nothing_of_a_job_called_off_since() -> None:
    rig = ControllerFixture()
    rig.own()
    machine = rig.machine()
    worker = Worker()
    rig.report(worker)
    job = rig.job(pieces=1)
    rig.plan()

    async def work() -> None:
        rig.state.script = ["silent"]
        await rig.settle(1)
        await run_event_loop(3)
        assert rig.state.version("bs/p/0/0"), "it is written"
        final = wire.StoredJob("withdrawn", 1, 0.0, submission(pieces=1))
        rig.state.put(job_key(job.id), final)
        await asyncio.sleep(2.0)
        await rig.settle()
        await rig.push(machine)

    rig.run(work())
    assert not rig.http.sent
    assert "launch" not in [verb for verb, _ in verbs(rig.report(worker))]
    worker.changed = True
    rig.report(worker)
    assert not machine.attempts


def rented(*answers: Any, shards: int = 1) -> tuple[ControllerFixture, FakeHttp, FleetManager]:
    rig, http = ControllerFixture(shards=shards), FakeHttp()
    found = fleet(rig, http)
    http.script = list(answers)
    return rig, http, found


def test_an_order_that_was_written_counts_until_the_replica_shows_it() -> None:
    rig, http, found = rented(reply(200, {"hosts": ["m-7"]}))

    async def work() -> None:
        rig.state.script = ["silent"]
        found.scale_out.request_rental([0], Offer("c8", "a", False))
        await asyncio.sleep(2.0)
        assert not rig.model.rentals
        assert found.scale_out.requesting, "else the next round asks once more"
        rig.sync()
        await until(lambda: not found.scale_out.in_progress)

    rig.run(work())
    assert len(http.sent) == 1
    assert rig.model.machine("m-7") is not None


@pytest.mark.parametrize("by", ["order", "adoption"])
def test_machines_that_were_recorded_are_not_recorded_again(by: str) -> None:
    rig, _, found = rented(reply(200, {"hosts": ["m-7"]}), shards=2)

    async def work() -> None:
        if by == "order":
            rig.set("bs/h/n-0-1-9", wire.StoredRental([1], "c8", "a", False, 0.0))
            rig.state.script = ["silent"]
            found.scale_out.resume()
        else:
            rig.state.script = ["silent"]
            found.scale_out.adopt_unrecorded([rig.row("m-7")])
        await asyncio.sleep(2.0)
        assert rig.model.revision < rig.state.revision, "the replica is late"
        assert rig.model.machine("m-7") is not None, "the group was read"
        found.scale_out.adopt_unrecorded([rig.row("m-7")])
        await run_event_loop()
        rig.sync()
        await until(lambda: not found.scale_out.in_progress and not found.scale_out.recording)

    rig.run(work())
    groups = [entry.key for entry in rig.state.core.page("bs/m/", "", 100).items]
    assert len(groups) == 1
    assert rig.model.machine("m-7") is not None


def test_a_move_that_was_written_is_not_made_again_when_the_machine_has_come_back() -> None:
    rig = ControllerFixture(shards=2)
    rig.own()
    machine = rig.machine()
    rig.report(Worker())
    key = group_key(machine.group)

    async def work() -> None:
        rig.state.script = ["silent"]
        moving = asyncio.ensure_future(rig.machine_transfer.transfer([machine], 1))
        while rig.state.version(key) == machine.version:
            await asyncio.sleep(0.001)
        rig.sync()
        assert machine.shard == 1
        # The other owner has passed it back, and it gets work, before the sender is refused.
        rig.set(key, [rig.row()])
        assert machine.shard == 0
        rig.model.place(rig.job(pieces=1), 0, 1, machine, Stage.PLACED)
        await moving

    rig.run(work())
    assert [row.shard for row in record(rig, key, list[wire.StoredMachine])] == [0]
    assert machine.attempts


def test_a_deputy_whose_record_was_refused_answers_for_nobody_until_it_is_shown() -> None:
    rig = ControllerFixture()
    rig.claim(node="n-1", lease=9)
    rig.machine()
    worker = Worker(token=77)
    rig.membership.registration.is_written = True
    rig.unreachable.add("n-1")

    async def say() -> None:
        rig.heartbeat_proxy.review()
        await run_event_loop(6)

    async def work() -> None:
        await say()
        await say()
        assert rig.worker_manager.handle_heartbeat(worker.body()).status == 200
        rig.unreachable.clear()
        rig.state.script = ["silent"]
        await say()
        await asyncio.sleep(0.5)
        assert record(rig, proxy_key("n-0"), wire.ProxyRecord).owners == []
        rig.unreachable.add("n-1")
        await say()
        assert rig.worker_manager.handle_heartbeat(worker.body()).status == 421, (
            "its owner counts without us"
        )
        rig.sync()
        await say()
        await say()
        assert rig.worker_manager.handle_heartbeat(worker.body()).status == 200

    rig.run(work())
