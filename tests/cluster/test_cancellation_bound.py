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


async def running(site: SimulatedSite, **changes: Any) -> str:
    """Start a job of four long tasks on machines of its shard; returns the shard's owner."""
    await site.submit(JOB, 900.0, owner="blue", guessS=900.0, **changes)
    await site.until(lambda: len(site.running_tasks(JOB)) == 4, 20.0)
    await site.advance(3.0)
    return site.owner("blue")


def peer_of(site: SimulatedSite, node: str) -> str:
    return next(name for name in site.nodes if name != node)


async def cancel_between_outages(site: SimulatedSite, owner: str, between_s: float) -> None:
    """The state service first refuses the owner alone, then a peer confirms a cancellation, then
    the state service is down for all."""
    site.inject_fault("refused", target=owner, to="state", for_s=8.0)
    await site.advance(between_s / 2)
    reply = await site.cancel(JOB, via=peer_of(site, owner))
    assert site.phase(reply) == "withdrawn"
    await site.advance(between_s / 2)
    site.inject_fault("state-down", for_s=OUTAGE_S)


@pytest.mark.parametrize("between_s", [0.05, 0.4, 1.2, 2.0])
@pytest.mark.parametrize("seed", [1, 2])
@with_simulated_site
async def test_cancelled_tasks_end_in_time_although_an_outage_follows_refusals_of_the_owner(
    site: SimulatedSite, seed: int, between_s: float
) -> None:
    await cancel_between_outages(site, await running(site), between_s)
    await site.advance(OUTAGE_S + 15.0)
    assert not site.running_tasks(JOB)


@with_simulated_site
async def test_cancelled_tasks_end_in_time_despite_a_second_outage_of_an_owner_with_unread_changes(
    site: SimulatedSite,
) -> None:
    owner = await running(site)
    await cancel_between_outages(site, owner, 0.4)
    site.links.break_(owner, WATCH, "cut")
    await site.advance(OUTAGE_S + 20.0)
    site.inject_fault("refused", target=owner, to="state", for_s=8.0)
    await site.advance(1.0)
    site.inject_fault("state-down", for_s=OUTAGE_S)
    await site.advance(OUTAGE_S)
    site.links.heal(owner, WATCH)
    await site.advance(15.0)
    assert not site.running_tasks(JOB)


@pytest.mark.parametrize("seed", [1, 2, 3])
@with_simulated_site
async def test_cancelled_tasks_end_in_time_although_the_owners_watch_is_stalled(
    site: SimulatedSite, seed: int
) -> None:
    # Otherwise it would renew forever the leases of tasks whose cancellation it has not seen.
    owner = await running(site)
    site.links.break_(owner, WATCH, "cut")
    await site.advance(2.0)
    await site.cancel(JOB, via=peer_of(site, owner))
    await site.advance(60.0)
    assert not site.running_tasks(JOB)


@pytest.mark.parametrize("seed", [1, 2, 3])
@with_simulated_site
async def test_an_owner_whose_lease_is_renewed_before_its_watch_recovers_launches_nothing(
    site: SimulatedSite, seed: int
) -> None:
    # Otherwise it would act as soon as its lease is renewed, before its watch has recovered, and
    # launch the tasks again that it believes to be gone from the machines.
    owner = await running(site)
    site.links.break_(owner, WATCH, "cut")
    await site.cancel(JOB, via=peer_of(site, owner))
    site.inject_fault("state-down", for_s=OUTAGE_S)
    await site.advance(OUTAGE_S + 8.0)
    assert not site.running_tasks(JOB)
    site.links.heal(owner, WATCH)
    await site.advance(10.0)
    assert not site.running_tasks(JOB)


@with_simulated_site
async def test_cancelled_tasks_end_in_time_although_single_renewals_succeed_between_refusals(
    site: SimulatedSite,
) -> None:
    # One lease renewal within each bound succeeds, but the watch shows nothing that has changed.
    owner = await running(site)
    site.links.break_(owner, WATCH, "cut")
    await site.cancel(JOB, via=peer_of(site, owner))
    for _ in range(6):
        site.inject_fault("refused", target=owner, to="state", for_s=2.6)
        await site.advance(2.6 + 1.0)
        site.inject_fault("state-down", for_s=6.0)
        await site.advance(6.0 + 0.8)
    assert not site.running_tasks(JOB)


@pytest.mark.parametrize("rates", [(1.0005, 1.0, 0.9995), (0.9995, 1.0005, 1.0)])
@with_simulated_site
async def test_cancelled_tasks_end_in_time_despite_clock_drift_delays_and_duplicated_heartbeats(
    site: SimulatedSite,
    rates: tuple[float, float, float],
) -> None:
    await site.restart_all(*rates)
    owner = await running(site)
    site.inject_fault("copies", factor=0.5, for_s=60.0)
    await cancel_between_outages(site, owner, 0.4)
    for _ in range(8):
        site.inject_fault("deaf", target="a", for_s=3.5)
        site.inject_fault("deaf", target="b", for_s=3.5)
        await site.advance(5.0)
    await site.advance(OUTAGE_S - 25.0)
    assert not site.running_tasks(JOB)


@pytest.mark.parametrize("hang_s", [3.0, 7.0, 12.0])
@with_simulated_site
async def test_cancelled_tasks_end_in_time_although_their_machine_hangs_while_they_save_state(
    site: SimulatedSite, hang_s: float
) -> None:
    owner = await running(site, snapshotS=60.0, stashS=9.0)
    site.at_once(site.cancel(JOB, via=peer_of(site, owner)))
    for name in {name for names in site.running_tasks(JOB).values() for name in names}:
        site.machines[name].hang()
        asyncio.get_running_loop().call_later(hang_s, site.machines[name].resume)
    await site.advance(1.0)
    site.inject_fault("refused", target=owner, to="state", for_s=8.0)
    await site.advance(1.0)
    site.inject_fault("state-down", for_s=OUTAGE_S)
    await site.advance(OUTAGE_S + 5.0)
    assert not site.running_tasks(JOB)


@with_simulated_site
async def test_cancelled_tasks_end_in_time_although_a_proxy_with_a_stalled_watch_answers_workers(
    site: SimulatedSite,
) -> None:
    # Neither the workers nor the peers can reach the owner; a peer that acts as its proxy has a
    # stalled watch.
    owner = await running(site)
    stalled = peer_of(site, owner)
    canceller = next(n for n in site.nodes if n not in (owner, stalled))
    for other in (stalled, canceller):
        site.inject_fault("cut", target=owner, to=other, for_s=70.0)
    site.inject_fault("cut", target="workers", to=owner, for_s=70.0)
    await site.advance(6.0)
    site.links.break_(stalled, WATCH, "cut")
    site.inject_fault("cut", target="workers", to=canceller, for_s=50.0)
    await site.cancel(JOB, via=canceller)
    await site.advance(CANCEL_S + 1.0)
    assert not site.running_tasks(JOB)
    site.links.heal(stalled, WATCH)
    await site.advance(45.0)


@pytest.mark.parametrize("outage_s", [8.0, 16.0, 22.0])
@with_simulated_site
async def test_an_outage_for_all_controllers_without_cancellations_ends_no_lease(
    site: SimulatedSite, outage_s: float
) -> None:
    await running(site)
    site.inject_fault("state-down", for_s=outage_s)
    await site.advance(outage_s + 15.0)
    assert len(site.running_tasks(JOB)) == 4
    assert site.leases_ended() == 0
