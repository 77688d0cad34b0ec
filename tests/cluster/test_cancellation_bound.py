"""Cancellations that are confirmed while the owner of the tasks cannot see them: whatever fails,
every task is off every machine within cancel_s, even if the state service is down for all
controllers from the confirmation on."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from badgerseam.lab.services import WATCH
from tests.support.simulated_site import SITE, SimulatedSite, with_simulated_site

JOB = "job-000001"
CANCEL_S = SITE.workers.cancel_s
OUTAGE_S = CANCEL_S + 14.0


async def running(world: SimulatedSite, **changes: Any) -> str:
    """Start a job of four long tasks on machines of its shard; returns the shard's owner."""
    await world.submit(JOB, 900.0, owner="blue", guessS=900.0, **changes)
    await world.until(lambda: len(world.running_tasks(JOB)) == 4, 20.0)
    await world.advance(3.0)
    return world.owner("blue")


def peer_of(world: SimulatedSite, node: str) -> str:
    return next(name for name in world.nodes if name != node)


async def cancel_between_outages(world: SimulatedSite, owner: str, between_s: float) -> None:
    """The state service first refuses the owner alone, then a peer confirms a cancellation, then
    the state service is down for all."""
    world.inject_fault("refused", target=owner, to="state", for_s=8.0)
    await world.advance(between_s / 2)
    reply = await world.cancel(JOB, via=peer_of(world, owner))
    assert world.phase(reply) == "withdrawn"
    await world.advance(between_s / 2)
    world.inject_fault("state-down", for_s=OUTAGE_S)


@pytest.mark.parametrize("between_s", [0.05, 0.4, 1.2, 2.0])
@pytest.mark.parametrize("seed", [1, 2])
@with_simulated_site
async def test_cancelled_while_the_state_service_refuses_the_owner_and_before_it_is_down_for_all(
    world: SimulatedSite, seed: int, between_s: float
) -> None:
    await cancel_between_outages(world, await running(world), between_s)
    await world.advance(OUTAGE_S + 15.0)
    assert not world.running_tasks(JOB)


@with_simulated_site
async def test_a_second_outage_of_an_owner_that_has_not_read_the_changes_since_the_first(
    world: SimulatedSite,
) -> None:
    owner = await running(world)
    await cancel_between_outages(world, owner, 0.4)
    world.links.break_(owner, WATCH, "cut")
    await world.advance(OUTAGE_S + 20.0)
    world.inject_fault("refused", target=owner, to="state", for_s=8.0)
    await world.advance(1.0)
    world.inject_fault("state-down", for_s=OUTAGE_S)
    await world.advance(OUTAGE_S)
    world.links.heal(owner, WATCH)
    await world.advance(15.0)
    assert not world.running_tasks(JOB)


@pytest.mark.parametrize("seed", [1, 2, 3])
@with_simulated_site
async def test_an_owner_whose_watch_is_stalled_while_its_lease_is_renewed(
    world: SimulatedSite, seed: int
) -> None:
    # Otherwise it would renew forever the leases of tasks whose cancellation it has not seen.
    owner = await running(world)
    world.links.break_(owner, WATCH, "cut")
    await world.advance(2.0)
    await world.cancel(JOB, via=peer_of(world, owner))
    await world.advance(60.0)
    assert not world.running_tasks(JOB)


@pytest.mark.parametrize("seed", [1, 2, 3])
@with_simulated_site
async def test_an_owner_whose_lease_is_renewed_before_its_watch_recovers_launches_nothing(
    world: SimulatedSite, seed: int
) -> None:
    # Otherwise it would act as soon as its lease is renewed, before its watch has recovered, and
    # launch the tasks again that it believes to be gone from the machines.
    owner = await running(world)
    world.links.break_(owner, WATCH, "cut")
    await world.cancel(JOB, via=peer_of(world, owner))
    world.inject_fault("state-down", for_s=OUTAGE_S)
    await world.advance(OUTAGE_S + 8.0)
    assert not world.running_tasks(JOB)
    world.links.heal(owner, WATCH)
    await world.advance(10.0)
    assert not world.running_tasks(JOB)


@with_simulated_site
async def test_refusals_that_are_interrupted_for_an_instant(world: SimulatedSite) -> None:
    # One lease renewal within each bound succeeds, but the watch shows nothing that has changed.
    owner = await running(world)
    world.links.break_(owner, WATCH, "cut")
    await world.cancel(JOB, via=peer_of(world, owner))
    for _ in range(6):
        world.inject_fault("refused", target=owner, to="state", for_s=2.6)
        await world.advance(2.6 + 1.0)
        world.inject_fault("state-down", for_s=6.0)
        await world.advance(6.0 + 0.8)
    assert not world.running_tasks(JOB)


@pytest.mark.parametrize("rates", [(1.0005, 1.0, 0.9995), (0.9995, 1.0005, 1.0)])
@with_simulated_site
async def test_clock_drift_delayed_responses_and_duplicated_heartbeats(
    world: SimulatedSite,
    rates: tuple[float, float, float],
) -> None:
    await world.restart_all(*rates)
    owner = await running(world)
    world.inject_fault("copies", factor=0.5, for_s=60.0)
    await cancel_between_outages(world, owner, 0.4)
    for _ in range(8):
        world.inject_fault("deaf", target="a", for_s=3.5)
        world.inject_fault("deaf", target="b", for_s=3.5)
        await world.advance(5.0)
    await world.advance(OUTAGE_S - 25.0)
    assert not world.running_tasks(JOB)


@pytest.mark.parametrize("hang_s", [3.0, 7.0, 12.0])
@with_simulated_site
async def test_a_machine_that_hangs_while_a_cancelled_task_saves_its_state(
    world: SimulatedSite, hang_s: float
) -> None:
    owner = await running(world, snapshotS=60.0, stashS=9.0)
    world.at_once(world.cancel(JOB, via=peer_of(world, owner)))
    for name in {name for names in world.running_tasks(JOB).values() for name in names}:
        world.machines[name].hang()
        asyncio.get_running_loop().call_later(hang_s, world.machines[name].resume)
    await world.advance(1.0)
    world.inject_fault("refused", target=owner, to="state", for_s=8.0)
    await world.advance(1.0)
    world.inject_fault("state-down", for_s=OUTAGE_S)
    await world.advance(OUTAGE_S + 5.0)
    assert not world.running_tasks(JOB)


@with_simulated_site
async def test_workers_whose_heartbeats_a_peer_answers_as_proxy(world: SimulatedSite) -> None:
    # Neither the workers nor the peers can reach the owner; a peer that acts as its proxy has a
    # stalled watch.
    owner = await running(world)
    stalled = peer_of(world, owner)
    canceller = next(n for n in world.nodes if n not in (owner, stalled))
    for other in (stalled, canceller):
        world.inject_fault("cut", target=owner, to=other, for_s=70.0)
    world.inject_fault("cut", target="workers", to=owner, for_s=70.0)
    await world.advance(6.0)
    world.links.break_(stalled, WATCH, "cut")
    world.inject_fault("cut", target="workers", to=canceller, for_s=50.0)
    await world.cancel(JOB, via=canceller)
    await world.advance(CANCEL_S + 1.0)
    assert not world.running_tasks(JOB)
    world.links.heal(stalled, WATCH)
    await world.advance(45.0)


@pytest.mark.parametrize("outage_s", [8.0, 16.0, 22.0])
@with_simulated_site
async def test_an_outage_for_all_controllers_without_cancellations_ends_no_lease(
    world: SimulatedSite, outage_s: float
) -> None:
    await running(world)
    world.inject_fault("state-down", for_s=outage_s)
    await world.advance(outage_s + 15.0)
    assert len(world.running_tasks(JOB)) == 4
    assert world.leases_ended() == 0
