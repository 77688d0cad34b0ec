"""Faults between controllers and machines, and their effect on jobs: partitions between zones,
delayed commands, and machines that reach no controller."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from badgerseam.lab.machines import CONTROLLERS, zone_end
from tests.support.fault_interactions import (
    CANCEL_S,
    LEASE_S,
    SMALL_SITE,
    is_reported_done,
    isolate_machine,
    machines_of,
    partition_zone,
    reconnect_machine,
    reported_phase,
    task_starts_on,
    zone_of,
)
from tests.support.simulated_site import SimulatedSite, run_on_site, with_simulated_site

RUNNING_JOB = "job-000001"
JOB = "job-000002"


async def run_job_in_other_zone(world: SimulatedSite, **changes: Any) -> tuple[str, str, list[str]]:
    """Runs a job on a machine outside of its owner's zone; returns the job's team, the owner of its
    shard, and the controllers in the owner's zone."""
    team = next(t.name for t in world.site.teams if zone_of(world, world.owner(t.name)) == "a")
    owner = world.owner(team)
    terms: dict[str, Any] = {"owner": team, "sett": "b", "guessS": 900.0} | changes
    await world.submit(RUNNING_JOB, 900.0, pieces=1, **terms)
    await world.until(lambda: world.running_tasks(RUNNING_JOB), 20.0)
    await world.advance(3.0)
    return team, owner, [n for n in world.nodes if zone_of(world, n) == "a"]


@pytest.mark.parametrize(("seed", "after_s"), [(1, 0.0), (3, 1.5)])
@with_simulated_site
async def test_a_launch_that_is_delayed_by_a_zone_partition_is_cancelled(
    world: SimulatedSite, seed: int, after_s: float
) -> None:
    # If a heartbeat proxy kept the machine's incarnation and fencing token valid, the machine would
    # execute the launch when the partition ends.
    team, _, near = await run_job_in_other_zone(world)
    far = [node for node in world.nodes if node not in near]
    end_partition = partition_zone(world, near, "b", *far)
    await world.advance(after_s)
    await world.submit(JOB, 900.0, via=near[0], owner=team, sett="b", pieces=1)
    await world.advance(1.0)
    await world.cancel(JOB, via=near[0])
    await world.advance(CANCEL_S + 8.0)
    end_partition()
    await world.advance(6.0)
    assert not world.running_tasks(JOB)


@pytest.mark.parametrize("after_s", [5.0, CANCEL_S + 10.0])
@with_simulated_site
async def test_a_cancellation_completed_before_a_zone_partition_costs_no_lease(
    world: SimulatedSite,
    after_s: float,
) -> None:
    # If a page still had the row of the cancelled task, the task would count as possibly running on
    # the machine.
    team, owner, near = await run_job_in_other_zone(world)
    await world.submit(JOB, 900.0, owner=team, sett="b", pieces=1)
    await world.until(lambda: world.running_tasks(JOB), 20.0)
    await world.advance(2.0)
    await world.cancel(JOB)
    await world.advance(after_s)
    far = [node for node in world.nodes if node not in near]
    job = world.controllers[far[0]].of.model.job(JOB)  # type: ignore[union-attr]
    assert job is None or not job.attempts
    end_partition = partition_zone(world, near, "b", *far)
    await world.advance(3 * LEASE_S)
    end_partition()
    await world.advance(10.0)
    assert world.running_tasks(RUNNING_JOB)
    assert world.leases_ended() == 0
    assert world.owner(team) == owner


@pytest.mark.parametrize("after_s", [0.05, 2.2 * LEASE_S])
@with_simulated_site
async def test_jobs_in_a_fully_isolated_zone_are_cancelled(
    world: SimulatedSite, after_s: float
) -> None:
    team, _, near = await run_job_in_other_zone(world)
    await world.submit(JOB, 900.0, owner=team, pieces=8, cpus=4.0)
    await world.advance(8.0)
    far = [node for node in world.nodes if node not in near]
    end_partition = partition_zone(world, near, "b", *far)
    for node in far:
        world.inject_fault("cut", target=node, to="state", for_s=CANCEL_S + 8.0)
    await world.advance(after_s)
    await world.cancel(RUNNING_JOB, via=near[0])
    await world.cancel(JOB, via=near[-1])
    await world.advance(CANCEL_S + 1.0)
    assert not world.running_tasks(RUNNING_JOB) and not world.running_tasks(JOB)
    end_partition()
    await world.advance(2.0)
    await world.submit("job-000003", 3.0, owner=team, sett="b")
    await world.until(lambda: is_reported_done(world, "job-000003"), 30.0)


# ---- delayed commands ----


async def act_while_unreachable(world: SimulatedSite, what: str, team: str) -> None:
    """Cancels or preempts a job, or kills the owner, while a machine receives nothing."""
    if what == "cancel":
        await world.cancel(JOB)
    elif what == "preempt":
        await world.submit("job-000003", 4.0, owner=team, rank="high", pieces=16)
    else:
        world.controllers[world.owner(team)].kill(2.0)


@pytest.mark.parametrize(
    ("what", "how", "held_s"),
    [
        ("cancel", "hang", 7.8),
        ("cancel", "deaf", 4.5),
        ("preempt", "deaf", 7.8),
        ("owner", "hang", 13.0),
    ],
)
def test_machines_keep_running_tasks_while_commands_are_delayed(
    what: str, held_s: float, how: str
) -> None:
    async def steps(world: SimulatedSite) -> None:
        terms: dict[str, Any] = {"owner": "red", "rank": "best_effort", "guessS": 900.0}
        await world.submit(RUNNING_JOB, 900.0, pieces=8, **terms)
        await world.until(lambda: len(world.running_tasks(RUNNING_JOB)) == 8, 20.0)
        held = list(world.machines.values())
        for machine in held:
            isolate_machine(world, machine, how)
        world.at_once(world.submit(JOB, 900.0, **terms))
        await world.advance(0.6)
        world.at_once(act_while_unreachable(world, what, "red"))
        await world.advance(held_s)
        for machine in held:
            reconnect_machine(world, machine)
        if what == "cancel":
            await world.advance(CANCEL_S + 0.5)
            assert not world.running_tasks(JOB)
        if what == "preempt":
            await world.until(lambda: is_reported_done(world, "job-000003"), CANCEL_S)
        await world.advance(4.0)
        await world.until(lambda: len(world.running_tasks(RUNNING_JOB)) == 8, CANCEL_S)

    run_on_site(steps, int(held_s * 10), SMALL_SITE)


# ---- jobs bound to a zone ----


@pytest.mark.parametrize(
    ("terms", "loss"),
    [
        ({"sett": "a"}, "hang"),
        ({"oneZone": True}, "hang"),
        ({"oneZone": True}, "mute"),
        ({"scatter": True}, "take"),
        ({"scatter": True}, "deaf"),
    ],
)
@with_simulated_site
async def test_jobs_bound_to_zones_lose_machines(
    world: SimulatedSite, terms: dict[str, Any], loss: str
) -> None:
    await world.submit(JOB, 30.0, owner="red", pieces=9, cpus=4.0, guessS=30.0, **terms)
    await world.until(lambda: len(world.running_tasks(JOB)) == 9, 20.0)
    await world.advance(2.0)
    lost = machines_of(world, JOB)[:3]
    for machine in lost:
        if loss == "take":
            world.cloud_core.reclaim(machine.core.identity.name)
        else:
            isolate_machine(world, machine, loss)
    await world.advance(14.0)
    for machine in lost:
        if machine.core.identity.name in world.machines:
            reconnect_machine(world, machine)
    await world.until(lambda: is_reported_done(world, JOB), 70.0)


@with_simulated_site
async def test_a_one_zone_job_may_change_zones_once_no_task_can_run_in_the_old_one(
    world: SimulatedSite,
) -> None:
    await world.submit(JOB, 25.0, owner="red", pieces=6, cpus=4.0, guessS=25.0, oneZone=True)
    await world.until(lambda: len(world.running_tasks(JOB)) == 6, 20.0)
    await world.advance(2.0)
    zone = world.machine_of(JOB).core.identity.zone
    for machine in list(world.machines.values()):
        if machine.core.identity.zone == zone:
            machine.hang()
    world.cloud_core.exhausted_offers |= {("c8", zone, spot) for spot in (True, False)}
    await world.until(lambda: is_reported_done(world, JOB), 80.0)


# ---- machines that reach no controller ----


@pytest.mark.parametrize("seed", [1])
@with_simulated_site
async def test_a_machine_whose_heartbeats_are_lost_is_released_although_commands_reach_it(
    world: SimulatedSite, seed: int
) -> None:
    await world.submit(JOB, 900.0, owner="red", pieces=8, guessS=900.0)
    await world.until(lambda: len(world.running_tasks(JOB)) == 8, 20.0)
    await world.advance(2.0)
    machine = world.machine_of(JOB)
    name = machine.core.identity.name
    isolate_machine(world, machine, "mute")
    await world.advance(LEASE_S + 6.0)
    since = world.history.events[-1].t
    assert machine.core.session > 1 or name not in world.machines
    await world.submit(RUNNING_JOB, 10.0, owner="red", pieces=8, guessS=10.0)
    await world.advance(25.0)
    assert name not in world.machines, "released"
    assert not task_starts_on(world, name, since)
    assert len(world.running_tasks(JOB)) == 8
    assert await reported_phase(world, RUNNING_JOB) == "done"


@pytest.mark.parametrize("mute_s", [5.0, 2 * LEASE_S])
@with_simulated_site
async def test_tasks_keep_running_in_a_zone_whose_heartbeats_are_lost(
    world: SimulatedSite, mute_s: float
) -> None:
    await world.submit(JOB, 900.0, owner="red", pieces=8, cpus=4.0, guessS=900.0, scatter=True)
    await world.until(lambda: len(world.running_tasks(JOB)) == 8, 20.0)
    await world.submit(RUNNING_JOB, 900.0, owner="blue", pieces=4, guessS=900.0, sett="b")
    await world.advance(4.0)
    world.links.break_(zone_end("b"), CONTROLLERS, "cut")
    await world.advance(mute_s / 2)
    await world.cancel(RUNNING_JOB)
    await world.advance(mute_s / 2)
    world.links.heal(zone_end("b"), CONTROLLERS)
    await world.advance(CANCEL_S - mute_s / 2 + 0.5)
    assert not world.running_tasks(RUNNING_JOB)
    assert len(world.running_tasks(JOB)) == 8
    assert world.leases_ended() == 0 or mute_s > 5.0


# ---- all controllers down ----


@pytest.mark.parametrize(("seed", "first_s"), [(1, 0.4), (2, LEASE_S + 1.0)])
@with_simulated_site
async def test_all_controllers_are_down_and_one_restarts_long_before_the_others(
    world: SimulatedSite, seed: int, first_s: float
) -> None:
    for number, team in enumerate(("red", "blue", "teal")):
        await world.submit(f"job-00000{number + 1}", 900.0, owner=team, guessS=900.0)
    await world.submit("job-000004", 40.0, owner="red", oneZone=True, guessS=40.0)
    await world.until(lambda: len(world.running_tasks("job-000004")) == 4, 20.0)
    await world.advance(2.0)
    first, *others = world.nodes if seed == 1 else reversed(world.nodes)
    for node in others:
        world.controllers[node].kill(45.0)
    world.controllers[first].kill(first_s)
    hung = world.machine_of("job-000002")
    hung.hang()
    await world.advance(first_s)
    asyncio.get_running_loop().call_later(6.0 if first_s < 1.0 else 0.1, hung.resume)
    await world.cancel("job-000001")
    await world.advance(CANCEL_S)
    assert not world.running_tasks("job-000001")
    await world.advance(45.0)
    for job in ("job-000002", "job-000003"):
        assert len(world.running_tasks(job)) == 4
    assert await reported_phase(world, "job-000004") == "done"


# ---- an isolated leader ----


@pytest.mark.parametrize(
    ("how", "after_s", "reached"),
    [("cut", 0.3, True), ("cut", 0.3, False), ("refused", 4.0, False)],
)
@with_simulated_site
async def test_jobs_are_cancelled_through_the_other_controllers_while_the_leader_is_isolated(
    world: SimulatedSite, how: str, after_s: float, reached: bool
) -> None:
    # `reached`: whether commands of the new owners reach the workers that still reach the isolated
    # leader.
    names = ("red", "blue", "teal")
    for number, team in enumerate(names):
        await world.submit(f"job-00000{number + 1}", 900.0, owner=team, guessS=900.0)
    await world.until(lambda: all(world.running_tasks(f"job-00000{n}") for n in (1, 2, 3)), 20.0)
    await world.advance(2.0)
    leader = world.leader
    others = [node for node in world.nodes if node != leader]
    own = next(n for n, team in enumerate(names, 1) if world.owner(team) == leader)
    cancelled = [f"job-00000{own}", f"job-00000{own % 3 + 1}"]
    running = f"job-00000{(own + 1) % 3 + 1}"
    world.inject_fault("island", target=leader, to=how, for_s=50.0)
    end_partitions = [partition_zone(world, others, zone) for zone in "ab" if not reached]
    await world.advance(after_s)
    for job, node in zip(cancelled, others, strict=True):
        world.at_once(world.cancel(job, via=node))
    await world.advance(CANCEL_S + 6.0)
    assert world.leader in others
    assert not any(world.running_tasks(job) for job in cancelled)
    assert not reached or len(world.running_tasks(running)) == 4
    for end_partition in end_partitions:
        end_partition()
    await world.advance(10.0)


# ---- more work than capacity over slow links ----


@pytest.mark.parametrize("seed", [1])
def test_jobs_of_all_priorities_complete_despite_overload_and_slow_links(seed: int) -> None:
    async def steps(world: SimulatedSite) -> None:
        for node in world.nodes:
            world.inject_fault("slow", target=node, to="state", for_s=60.0)
        jobs = []
        for number in range(18):
            job = f"job-0001{number:02d}"
            jobs.append(job)
            team = ("red", "blue", "teal")[number % 3]
            rank = ("best_effort", "high", "standard")[number // 3 % 3]
            world.at_once(world.submit(job, 12.0, owner=team, rank=rank, pieces=8, guessS=12.0))
            await world.advance(0.8)
        for job in jobs[::6]:
            await world.cancel(job)
        kept = set(jobs) - set(jobs[::6])
        await world.until(lambda: all(is_reported_done(world, job) for job in kept), 130.0)

    run_on_site(steps, seed, SMALL_SITE)
