"""A launch that was executed and answered reaches its machine again after the reap of its attempt.

The worker does not know the attempt any more, so it would start the task once more.
"""

from __future__ import annotations

from typing import Any

import pytest

from badgerseam.lab.machines import MachineProcess
from tests.fault_interactions.test_late_commands import change_owner
from tests.support.fault_interactions import (
    CANCEL_S,
    LONG_S,
    SECOND_JOB,
    complete_task_in,
    provide_spare_machines,
    run_job,
)
from tests.support.repeated_commands import AnsweredCommands, record_answered_commands
from tests.support.simulated_site import SimulatedSite, run_on_site

TASK = f"{SECOND_JOB}/0"
URGENT_JOB = "job-000009"


Recorders = dict[str, AnsweredCommands]
"""The recorder of each machine, by the machine's name."""


async def run_recorded_job(site: SimulatedSite, **changes: Any) -> tuple[str, Recorders]:
    """Runs a job whose launches are recorded; returns the owner of its shard and the recorders."""
    owner = await run_job(site, cpus=4.0)
    await provide_spare_machines(site, "blue")
    recorders = record_answered_commands(site)
    fields: dict[str, Any] = {"pieces": 1, "cpus": 5.0, "guessS": LONG_S, **changes}
    await site.submit(SECOND_JOB, LONG_S, owner="blue", **fields)
    await site.until(lambda: len(site.running_tasks(SECOND_JOB)) == fields["pieces"], 8.0)
    await site.advance(1.5)
    return owner, recorders


async def until_reaped(site: SimulatedSite, machine: MachineProcess, task: str) -> None:
    await site.until(lambda: task not in machine.core.tasks, 15.0)


async def assert_copies_are_refused(
    site: SimulatedSite, recorder: AnsweredCommands, task: str, on_machines: int
) -> None:
    """Delivers copies of the launches of a task that is on `on_machines` machines."""
    statuses = await recorder.deliver_copies("launch", task)
    assert statuses, "the launch was sent directly"
    assert len(site.running_tasks(SECOND_JOB).get(task, [])) == on_machines
    assert set(statuses) == {409}
    await site.advance(5.0)
    assert len(site.running_tasks(SECOND_JOB).get(task, [])) == on_machines


async def cause_trouble(
    site: SimulatedSite, trouble: str, owner: str, machine: MachineProcess
) -> None:
    """Hangs a machine for half a second, or changes its owner (`change_owner`)."""
    if trouble == "hang":
        machine.hang()
        await site.advance(0.5)
        machine.resume()
    elif trouble != "none":
        await change_owner(site, owner, trouble)


@pytest.mark.parametrize(
    ("trouble", "after_s"),
    [
        ("none", 0.0),
        ("none", 1.5),
        ("none", 130.0),
        ("restart", 0.0),
        ("restart", 0.2),
        ("hands", 0.3),
        ("ends", 1.0),
        ("hang", 0.0),
    ],
)
def test_a_repeated_launch_does_not_start_a_failed_task_that_runs_elsewhere(
    trouble: str, after_s: float
) -> None:
    async def steps(site: SimulatedSite) -> None:
        owner, recorders = await run_recorded_job(site)
        machine = site.machine_of(SECOND_JOB)
        machine.core._exit(machine.core.tasks[TASK], "error")
        await until_reaped(site, machine, TASK)
        await site.until(lambda: site.running_tasks(SECOND_JOB), 30.0)
        assert site.machine_of(SECOND_JOB) is not machine
        await cause_trouble(site, trouble, owner, machine)
        await site.advance(after_s)
        await assert_copies_are_refused(site, recorders[machine.core.identity.name], TASK, 1)

    run_on_site(steps, round(10 * after_s) + 1)


@pytest.mark.parametrize(
    ("trouble", "after_s"), [("none", 0.5), ("none", 25.0), ("restart", 0.2), ("hang", 0.0)]
)
def test_a_repeated_launch_does_not_start_an_evicted_task_that_runs_elsewhere(
    trouble: str, after_s: float
) -> None:
    async def steps(site: SimulatedSite) -> None:
        owner, recorders = await run_recorded_job(site, pieces=3, rank="best_effort")
        before = {task: names[0] for task, names in site.running_tasks(SECOND_JOB).items()}
        await site.submit(URGENT_JOB, LONG_S, owner="blue", pieces=1, cpus=8.0, rank="production")
        await site.until(lambda: site.running_tasks(URGENT_JOB), 15.0)
        (task,) = before.keys() - site.running_tasks(SECOND_JOB).keys()
        machine = site.machines[before[task]]
        await until_reaped(site, machine, task)
        complete_task_in(site, min(before.keys() - {task}), 0.5)
        await site.until(lambda: task in site.running_tasks(SECOND_JOB), 15.0)
        complete_task_in(site, f"{URGENT_JOB}/0", 0.1)
        await site.until(lambda: not site.running_tasks(URGENT_JOB), 5.0)
        await cause_trouble(site, trouble, owner, machine)
        await site.advance(after_s)
        await assert_copies_are_refused(site, recorders[machine.core.identity.name], task, 1)

    run_on_site(steps, round(10 * after_s))


@pytest.mark.parametrize(
    ("trouble", "after_s"),
    [("none", 1.0), ("none", CANCEL_S + 5.0), ("restart", 0.2), ("hang", 0.0)],
)
def test_a_repeated_launch_does_not_start_a_cancelled_task(trouble: str, after_s: float) -> None:
    async def steps(site: SimulatedSite) -> None:
        owner, recorders = await run_recorded_job(site)
        machine = site.machine_of(SECOND_JOB)
        await site.cancel(SECOND_JOB)
        await until_reaped(site, machine, TASK)
        await cause_trouble(site, trouble, owner, machine)
        await site.advance(after_s)
        await assert_copies_are_refused(site, recorders[machine.core.identity.name], TASK, 0)

    run_on_site(steps, round(10 * after_s))
