"""Helpers for tests in which several faults interact on a simulated site: they run jobs, isolate
machines and read the recorded history."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from contextlib import suppress
from typing import Any

import msgspec

from badgerseam.http.client import NoResponseError
from badgerseam.lab.machines import ANSWERS, CONTROLLERS, MachineProcess, zone_end
from tests.support.memory_network import MemoryClient
from tests.support.simulated_site import SITE, SimulatedSite

JOB, SECOND_JOB, SPARE_JOB = "job-000001", "job-000002", "job-000003"
LONG_S = 900.0
NO_RESTART_S = 1e9
"""Seconds until the restart of a controller that is not to restart within the test."""
LEASE_S = SITE.workers.lease_s
CANCEL_S = SITE.workers.cancel_s
SMALL_SITE = msgspec.structs.replace(SITE, capacity=1)
"""One machine of each kind in each zone."""

# ---- jobs ----


async def run_job(site: SimulatedSite, job: str = JOB, **changes: Any) -> str:
    """Submits a job, waits until all of its tasks run, and returns the owner of its shard."""
    fields: dict[str, Any] = {"owner": "blue", "guessS": LONG_S, **changes}
    await site.submit(job, LONG_S, **fields)
    tasks = fields.get("pieces", 4)
    await site.until(lambda: len(site.running_tasks(job)) == tasks, 25.0)
    await site.advance(2.5)
    return site.owner(str(fields["owner"]))


async def provide_spare_machines(site: SimulatedSite, team: str) -> None:
    """Provides three idle machines, then makes the cloud fail: it rents and deletes none."""
    await site.submit(SPARE_JOB, 3.0, owner=team, pieces=3, cpus=8.0, guessS=3.0, sett="b")
    await site.until(lambda: len(completed_tasks(site)) == 3, 25.0)
    site.inject_fault("cloud-down")


def complete_task_in(site: SimulatedSite, task: str, seconds: float) -> None:
    """Makes a running task complete after `seconds`."""
    for machine in site.machines.values():
        attempt = machine.core.tasks.get(task)
        if attempt is not None:
            attempt.ran_s = attempt.job.run_s - seconds * machine.core.speed


# ---- machines ----


def machines_of(site: SimulatedSite, job: str = JOB) -> list[MachineProcess]:
    """Returns the machines on which a job's tasks run, sorted by name."""
    names = sorted({name for names in site.running_tasks(job).values() for name in names})
    return [site.machines[name] for name in names]


def address_of(machine: MachineProcess) -> str:
    """Returns the address at which a machine receives direct commands."""
    return machine.core.identity.addr


def isolate_machine(site: SimulatedSite, machine: MachineProcess, isolation: str) -> None:
    """Isolates a machine.

    `isolation`: `mute` drops its heartbeats, `deaf` drops the responses and commands to it, `both`
    drops all of these, and `hang` suspends the machine.
    """
    name = machine.core.identity.name
    if isolation in ("mute", "both"):
        site.links.break_(name, CONTROLLERS, "cut")
    if isolation in ("deaf", "both"):
        site.links.break_(ANSWERS, name, "cut")
    if isolation == "hang":
        machine.hang()


def reconnect_machine(site: SimulatedSite, machine: MachineProcess) -> None:
    """Ends a machine's isolation; delayed packets are delivered."""
    name = machine.core.identity.name
    site.links.heal(name, CONTROLLERS)
    site.links.heal(ANSWERS, name)
    if machine.core.hung:
        machine.resume()


def partition_zone(
    site: SimulatedSite, nodes: Iterable[str], zone: str, *others: str
) -> Callable[[], None]:
    """Cuts controllers off from a zone's machines and from other controllers; returns a function
    that ends the partition."""
    ends = [(node, zone_end(zone)) for node in nodes]
    ends += [pair for node in nodes for o in others for pair in ((node, o), (o, node))]
    for end in ends:
        site.links.break_(*end, "cut")
    site.history.add("trouble")

    def end_partition() -> None:
        for end in ends:
            site.links.heal(*end)
        site.history.add("calm")

    return end_partition


async def deliver_heartbeat(site: SimulatedSite, node: str, body: bytes) -> None:
    """Delivers a heartbeat to a controller; its sender has stopped waiting for the response."""
    with suppress(NoResponseError):
        await MemoryClient(site.memory).request(site.addresses[node], "POST", "/checkin", body, 4.0)


# ---- controllers ----


def zone_of(site: SimulatedSite, node: str) -> str:
    """Returns the zone of a controller."""
    return site.controllers[node].settings.zone


async def wait_for_takeover(site: SimulatedSite, team: str, before: str) -> str:
    """Waits until another controller than `before` owns a team's shard, and returns it."""
    await site.until(lambda: site.owner(team) not in ("", before), 30.0)
    return site.owner(team)


# ---- observations ----


async def reported_phase(site: SimulatedSite, job: str) -> str:
    """Returns the phase of a job in the response to a user's poll."""
    return site.phase(await site.ask("GET", f"/submissions/{job}"))


def is_reported_done(site: SimulatedSite, job: str) -> bool:
    """Whether a response to the job's user has reported it as done."""
    phases = (e.phase for e in site.history.events if e.kind == "answer" and e.job == job)
    return "done" in phases


def task_starts(site: SimulatedSite) -> Counter[str]:
    """Returns how many attempts of each task have started."""
    return Counter(event.job for event in site.history.events if event.kind == "on")


def task_starts_on(site: SimulatedSite, name: str, since: float) -> int:
    """Returns how many attempts have started on a machine after the time `since`."""
    return sum(e.kind == "on" and e.machine == name and e.t > since for e in site.history.events)


def completed_tasks(site: SimulatedSite) -> set[str]:
    """Returns the tasks that have completed."""
    return {e.job for e in site.history.events if e.kind == "off" and e.text == "done"}
