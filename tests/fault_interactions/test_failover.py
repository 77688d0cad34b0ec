"""Failover combined with other faults and events: unreachable machines, tasks that end, quotas,
delayed or repeated heartbeats, and many failovers in a row."""

from __future__ import annotations

from random import Random

import pytest

from badgerseam.lab.machines import MachineProcess
from badgerseam.wire import workers as wire
from tests.support.fault_interactions import (
    JOB,
    LONG_S,
    NEXT,
    NO_RESTART_S,
    address_of,
    complete_task_in,
    completed_tasks,
    deliver_heartbeat,
    isolate_machine,
    machines_of,
    provide_spare_machines,
    reconnect_machine,
    reported_phase,
    run_job,
    task_starts,
    wait_for_takeover,
)
from tests.support.simulated_site import SimulatedSite, run_on_site, with_simulated_site

# ---- an owner ends while machines are unreachable ----


@pytest.mark.parametrize(
    "how, after_s, back_s",
    [("mute", 0.0, 45.0), ("deaf", -3.0, 12.0), ("both", 1.5, 7.0), ("hang", 0.0, 12.0)],
)
def test_an_owner_ends_while_one_of_its_machines_is_unreachable(
    how: str, after_s: float, back_s: float
) -> None:
    async def steps(world: SimulatedSite) -> None:
        owner = await run_job(world, cpus=4.0)
        await provide_spare_machines(world, "blue")
        apart = machines_of(world)[:1]
        if after_s < 0:
            isolate_machine(world, apart[0], how)
            await world.advance(-after_s)
        world.controllers[owner].kill(NO_RESTART_S)
        if after_s >= 0:
            await world.advance(after_s)
            isolate_machine(world, apart[0], how)
        await world.advance(back_s)
        reconnect_machine(world, apart[0])
        await world.until(lambda: len(world.running_tasks(JOB)) == 4, 30.0)

    run_on_site(steps, round(back_s))


@pytest.mark.parametrize(
    "to, second_s, apart_s", [("cut", 0.3, 14.0), ("refused", 3.0, 4.0), ("cut", 9.0, 9.0)]
)
@with_simulated_site
async def test_an_isolated_owner_keeps_responding_while_two_others_take_over_in_turn(
    world: SimulatedSite, to: str, second_s: float, apart_s: float
) -> None:
    # Only the isolated owner reaches its machines: commands of the other controllers are not
    # delivered.
    owner = await run_job(world, cpus=4.0)
    await provide_spare_machines(world, "blue")
    machines = machines_of(world)
    listening = {at: world.memory.listening.pop(at) for at in map(address_of, machines)}
    world.inject_fault("island", target=owner, to=to, for_s=60.0)
    second = await wait_for_takeover(world, "blue", owner)
    await world.advance(second_s)
    world.controllers[second].kill(2.0)
    await world.advance(apart_s)
    for machine in machines:
        isolate_machine(world, machine, "mute")
    await world.advance(45.0 - apart_s)
    world.memory.listening.update(listening)
    for machine in machines:
        reconnect_machine(world, machine)
    await world.until(lambda: len(world.running_tasks(JOB)) == 4, 45.0)


# ---- tasks end at different times ----


@pytest.mark.parametrize("seed, offset_s", [(1, -0.1), (2, 0.3), (3, 0.9), (4, 2.0)])
@with_simulated_site
async def test_tasks_end_before_between_and_after_two_failovers(
    world: SimulatedSite, seed: int, offset_s: float
) -> None:
    owner = await run_job(world, pieces=3, cpus=5.0)
    for task in range(2):
        complete_task_in(world, f"{JOB}/{task}", 1.0)
        await world.advance(1.0 + offset_s)
        world.controllers[owner].kill(2.0 if seed % 2 else NO_RESTART_S)
        await world.advance(4.0)
        assert await reported_phase(world, JOB) != "done"
        await world.until(lambda: None not in world.holders(), 20.0)
        owner = world.owner("blue")
        await world.advance(8.0)
    assert list(world.running_tasks(JOB)) == [f"{JOB}/2"]
    complete_task_in(world, f"{JOB}/2", 1.0)
    await world.advance(4.5)
    assert await reported_phase(world, JOB) == "done"
    assert task_starts(world) == {f"{JOB}/{task}": 1 for task in range(3)}


@pytest.mark.parametrize("how, seed", [("mute", 1), ("both", 2)])
@with_simulated_site
async def test_a_task_ends_on_a_machine_that_two_owners_cannot_reach(
    world: SimulatedSite, how: str, seed: int
) -> None:
    owner = await run_job(world, pieces=2, cpus=5.0)
    apart = world.machine_of(JOB)
    isolate_machine(world, apart, how)
    complete_task_in(world, f"{JOB}/0", 0.5)
    await world.advance(0.3 * seed)
    world.controllers[owner].kill(NO_RESTART_S)
    second = await wait_for_takeover(world, "blue", owner)
    complete_task_in(world, f"{JOB}/1", 0.2)
    await world.advance(0.6)
    world.controllers[owner].back()
    world.controllers[second].kill(NO_RESTART_S)
    await world.advance(3.0)
    reconnect_machine(world, apart)
    await world.until(lambda: not world.running_tasks(JOB), 30.0)
    await world.advance(30.0)
    assert await reported_phase(world, JOB) == "done"


# ---- a team at its quota ----


@pytest.mark.parametrize("how, cancel_s", [("mute", 5.0), ("deaf", -0.5), ("both", 0.5)])
@with_simulated_site
async def test_a_job_of_a_team_at_its_quota_is_cancelled_during_a_failover(
    world: SimulatedSite, how: str, cancel_s: float
) -> None:
    owner = await run_job(world, owner="teal", pieces=3, cpus=8.0)
    await provide_spare_machines(world, "blue")
    await world.submit(NEXT, LONG_S, owner="teal", pieces=3, cpus=8.0, guessS=LONG_S)
    apart = machines_of(world)[:2]
    for machine in apart:
        isolate_machine(world, machine, how)
    other = next(name for name in world.nodes if name != owner)
    if cancel_s < 0:
        await world.cancel(JOB, via=other)
        await world.advance(-cancel_s)
    world.controllers[owner].kill(NO_RESTART_S)
    if cancel_s >= 0:
        await world.advance(cancel_s)
        await world.cancel(JOB, via=other)
    await world.advance(11.0)
    for machine in apart:
        reconnect_machine(world, machine)
    await world.until(lambda: len(world.running_tasks(NEXT)) == 3, 40.0)


# ---- delayed and repeated heartbeats ----


def take_delayed_heartbeat(world: SimulatedSite, machine: MachineProcess, what: str) -> bytes:
    """Returns a heartbeat to deliver later, and cuts the machine's further ones.

    `what`: in the heartbeat, a task `runs`, is `done`, or `fails`.
    """
    if what != "runs":
        task = next(iter(machine.core.tasks))
        if what == "done":
            complete_task_in(world, task, 0.0)
            machine.core.advance()
        else:
            machine.core._exit(machine.core.tasks[task], "error")
    body = wire.encode(machine.core.report())
    isolate_machine(world, machine, "mute")
    return body


@pytest.mark.parametrize(
    "what, lease_ends, back_s",
    [
        ("runs", True, 6.0),
        ("done", False, 0.4),
        ("done", True, 0.0),
        ("fails", False, 6.0),
        ("fails", True, 0.4),
    ],
)
def test_a_heartbeat_is_delayed_until_a_new_owner_has_acted(
    what: str, lease_ends: bool, back_s: float
) -> None:
    async def steps(world: SimulatedSite) -> None:
        owner = await run_job(world, pieces=3, cpus=5.0)
        machine = machines_of(world)[0]
        body = take_delayed_heartbeat(world, machine, what)
        world.controllers[owner].kill(NO_RESTART_S)
        if lease_ends:
            isolate_machine(world, machine, "both")
        second = await wait_for_takeover(world, "blue", owner)
        await world.advance(back_s)
        if lease_ends:
            await world.until(lambda: not machine.core.tasks, 20.0)
            reconnect_machine(world, machine)
            await world.until(lambda: len(world.running_tasks(JOB)) == 3 or what == "done", 40.0)
        await deliver_heartbeat(world, second, body)
        await world.advance(0.5)
        reconnect_machine(world, machine)
        for node in world.nodes:
            await deliver_heartbeat(world, node, body)
        left = {f"{JOB}/{task}" for task in range(3)} - completed_tasks(world)
        await world.until(lambda: set(world.running_tasks(JOB)) == left, 30.0)
        await world.advance(2.0)
        for task in left:
            complete_task_in(world, task, 1.0)
        await world.advance(5.0)
        assert await reported_phase(world, JOB) == "done"

    run_on_site(steps, round(back_s) + 1)


@pytest.mark.parametrize("seed, cause", [(1, "error"), (2, "halted")])
@with_simulated_site
async def test_the_first_heartbeat_at_a_new_owner_is_from_an_earlier_session(
    world: SimulatedSite, seed: int, cause: str
) -> None:
    # The heartbeat reports the end of an attempt that was launched again since and runs.
    owner = await run_job(world, pieces=2, cpus=5.0)
    await provide_spare_machines(world, "blue")
    machine = world.machine_of(JOB)
    core = machine.core
    core._exit(core.tasks[f"{JOB}/0"], cause)
    body = wire.encode(core.report())
    core.end_session()
    await world.advance(5.0)
    assert world.machine_of(JOB) is machine
    world.controllers[owner].kill(NO_RESTART_S)
    isolate_machine(world, machine, "mute")
    listening = world.memory.listening.pop(address_of(machine))
    second = await wait_for_takeover(world, "blue", owner)
    for _ in range(20):
        await deliver_heartbeat(world, second, body)
        await world.advance(0.1)
    world.memory.listening[address_of(machine)] = listening
    reconnect_machine(world, machine)
    await world.advance(8.0)
    assert len(world.running_tasks(JOB)) == 2


@pytest.mark.parametrize("seed", [1])
@with_simulated_site
async def test_heartbeats_of_earlier_sessions_attempts_and_owners_are_repeated(
    world: SimulatedSite, seed: int
) -> None:
    await run_job(world, pieces=4, cpus=5.0)
    sent: list[bytes] = []
    for machine in world.machines.values():
        machine._on_heartbeat_sent = sent.append
    random = Random(seed)

    async def deliver_copies(count: int) -> None:
        for _ in range(count):
            await deliver_heartbeat(world, random.choice(world.nodes), random.choice(sent))
            await world.advance(random.uniform(0.0, 0.3))

    world.inject_fault("copies", factor=0.5, for_s=60.0)
    for change in range(3):
        apart, fails = random.sample(machines_of(world), 2)
        await world.advance(2.0)
        fails.core._exit(next(iter(fails.core.tasks.values())), "error")
        await world.advance(0.7)
        isolate_machine(world, apart, ["hang", "both", "mute"][change])
        world.controllers[world.owner("blue")].kill([NO_RESTART_S, 0.5, 3.0][change])
        await deliver_copies(40)
        reconnect_machine(world, apart)
        await deliver_copies(15)
        await world.until(lambda: len(world.running_tasks(JOB)) == 4, 45.0)
    complete_task_in(world, f"{JOB}/0", 0.5)
    await deliver_copies(20)
    assert len(world.running_tasks(JOB)) == 3


# ---- many failovers ----


@pytest.mark.parametrize("seed, outage_s", [(1, 0.0), (2, 14.0)])
@with_simulated_site
async def test_ten_failovers_of_the_leader_in_two_minutes(
    world: SimulatedSite, seed: int, outage_s: float
) -> None:
    await run_job(world, cpus=3.0)
    random = Random(seed)
    for number in range(10):
        job = f"job-{number + 10:06d}"
        team = ["blue", "red", "teal"][number % 3]
        world.at_once(world.submit(job, 20.0, owner=team, pieces=2, cpus=4.0))
        if number in (3, 7) and outage_s:
            world.inject_fault("state-down", for_s=outage_s)
        victims = {world.leader, world.owner("blue")} - {""}
        for name in victims or {random.choice(world.nodes)}:
            world.controllers[name].kill(random.choice([0.3, 3.0, 10.0]))
        await world.advance(random.uniform(9.0, 15.0))
    await world.until(lambda: None not in world.holders(), 30.0)
    await world.advance(60.0)
    for number in range(10):
        assert await reported_phase(world, f"job-{number + 10:06d}") == "done"
    assert len(world.running_tasks(JOB)) == 4
    if not outage_s:
        assert task_starts(world)[f"{JOB}/0"] == 1
    rented = [name for names in world.cloud_core.rentals.values() for name in names]
    assert len(rented) == len(set(rented))


# ---- rentals for tasks to place again, where the leader does not own the shard ----


@with_simulated_site
async def test_evicted_tasks_get_machines_without_any_other_write(
    world: SimulatedSite,
) -> None:
    # The rows of evicted tasks in the task log still place them. A leader that trusts these rows
    # never rents machines for them.
    owner = await run_job(world, owner="red", pieces=2, cpus=8.0, rank="best_effort")
    assert owner != world.leader
    world.inject_fault("no-capacity", for_s=6.0)
    await world.submit(NEXT, LONG_S, owner="red", pieces=2, cpus=8.0, rank="production")
    await world.until(lambda: len(world.running_tasks(NEXT)) == 2, 8.0)
    await world.until(lambda: len(world.running_tasks(JOB)) == 2, 20.0)


@with_simulated_site
async def test_a_failed_task_gets_a_machine_without_any_other_write(
    world: SimulatedSite,
) -> None:
    await run_job(world, owner="red", pieces=3, cpus=5.0)
    core = world.machine_of(JOB).core
    core._exit(core.tasks[f"{JOB}/0"], "error")
    await world.until(lambda: len(world.running_tasks(JOB)) == 3, 20.0)


@with_simulated_site
async def test_a_failed_task_restarts_if_no_other_machine_becomes_available(
    world: SimulatedSite,
) -> None:
    await run_job(world, owner="red", pieces=3, cpus=5.0)
    world.inject_fault("no-capacity")
    core = world.machine_of(JOB).core
    core._exit(core.tasks[f"{JOB}/0"], "error")
    await world.until(lambda: len(world.running_tasks(JOB)) == 3, 75.0)


@with_simulated_site
async def test_machines_of_a_cancelled_job_are_released_without_any_other_write(
    world: SimulatedSite,
) -> None:
    await run_job(world, owner="red", pieces=2, cpus=8.0)
    await world.cancel(JOB)
    await world.until(lambda: not world.machines, 75.0)


@with_simulated_site
async def test_an_owner_that_restarts_during_a_cloud_outage_uses_idle_machines(
    world: SimulatedSite,
) -> None:
    await run_job(world, cpus=4.0)
    await provide_spare_machines(world, "blue")
    for controller in world.controllers.values():
        controller.kill(0.5)
    await world.advance(1.0)
    await world.until(lambda: None not in world.holders(), 20.0)
    await world.submit(NEXT, LONG_S, owner="blue", pieces=3, cpus=8.0, guessS=LONG_S)
    await world.until(lambda: len(world.running_tasks(NEXT)) == 3, 15.0)
