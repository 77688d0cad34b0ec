"""What tests of meetings of troubles share: jobs that run, machines out of reach, and what came of
them. Those of the whole site (`tests.support.simulated_site`) use it."""

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

JOB, NEXT, SPARE = "job-000001", "job-000002", "job-000003"
LONG_S = 900.0
AWAY_S = 1e9
"""For a controller that does not come back by itself."""
LEASE_S = SITE.workers.lease_s
CANCEL_S = SITE.workers.cancel_s
SMALL = msgspec.structs.replace(SITE, capacity=1)
"""One machine of each kind in each zone."""

# ---- jobs ----


async def running(world: SimulatedSite, job: str = JOB, **changes: Any) -> str:
    """A job whose tasks all run; its share's owner."""
    fields: dict[str, Any] = {"owner": "blue", "guessS": LONG_S, **changes}
    await world.submit(job, LONG_S, **fields)
    tasks = fields.get("pieces", 4)
    await world.until(lambda: len(world.on(job)) == tasks, 25.0)
    await world.advance(2.5)
    return world.owner(str(fields["owner"]))


async def spare(world: SimulatedSite, team: str) -> None:
    """Have empty machines, and a cloud that can make nothing certain by releasing others."""
    await world.submit(SPARE, 3.0, owner=team, pieces=3, cpus=8.0, guessS=3.0, sett="b")
    await world.until(lambda: len(finished(world)) == 3, 25.0)
    world.break_("cloud-down")


def ends_in(world: SimulatedSite, task: str, seconds: float) -> None:
    """Have a running task be complete after so long."""
    for machine in world.machines.values():
        held = machine.core.tasks.get(task)
        if held is not None:
            held.ran_s = held.job.run_s - seconds * machine.core.speed


# ---- machines ----


def hosts(world: SimulatedSite, job: str = JOB) -> list[MachineProcess]:
    """The machines that a job's tasks are on."""
    names = sorted({name for names in world.on(job).values() for name in names})
    return [world.machines[name] for name in names]


def address(machine: MachineProcess) -> str:
    return machine.core.who.addr


def part(world: SimulatedSite, machine: MachineProcess, how: str) -> None:
    """Take a machine out of reach: its reports, answers and commands to it, both, or it hangs."""
    name = machine.core.who.name
    if how in ("mute", "both"):
        world.links.break_(name, CONTROLLERS, "cut")
    if how in ("deaf", "both"):
        world.links.break_(ANSWERS, name, "cut")
    if how == "hang":
        machine.hang()


def join(world: SimulatedSite, machine: MachineProcess) -> None:
    """Have it back: what was held back on its way goes on."""
    name = machine.core.who.name
    world.links.heal(name, CONTROLLERS)
    world.links.heal(ANSWERS, name)
    if machine.core.hung:
        machine.resume()


def part_zone(
    world: SimulatedSite, nodes: Iterable[str], zone: str, *others: str
) -> Callable[[], None]:
    """Have controllers lose a zone's machines, and others; what mends it."""
    ends = [(node, zone_end(zone)) for node in nodes]
    ends += [pair for node in nodes for o in others for pair in ((node, o), (o, node))]
    for end in ends:
        world.links.break_(*end, "cut")
    world.history.add("trouble")

    def mend() -> None:
        for end in ends:
            world.links.heal(*end)
        world.history.add("calm")

    return mend


async def arrive(world: SimulatedSite, node: str, body: bytes) -> None:
    """A report reaches a node; its sender has given it up."""
    with suppress(NoResponseError):
        await MemoryClient(world.memory).request(
            world.addresses[node], "POST", "/checkin", body, 4.0
        )


# ---- controllers ----


def zone_of(world: SimulatedSite, node: str) -> str:
    return world.controllers[node].settings.zone


async def taken(world: SimulatedSite, team: str, before: str) -> str:
    """Wait for a new owner of a team's share; who it is."""
    await world.until(lambda: world.owner(team) not in ("", before), 30.0)
    return world.owner(team)


# ---- what is looked at ----


async def phase(world: SimulatedSite, job: str) -> str:
    """What a user is told of a job."""
    return world.phase(await world.ask("GET", f"/submissions/{job}"))


def ended(world: SimulatedSite, job: str) -> bool:
    """Whether its user was told that it is done."""
    said = (e.phase for e in world.history.events if e.kind == "answer" and e.job == job)
    return "done" in said


def starts(world: SimulatedSite) -> Counter[str]:
    """How often each task has begun."""
    return Counter(event.job for event in world.history.events if event.kind == "on")


def starts_on(world: SimulatedSite, name: str, since: float) -> int:
    """How many tasks have begun on a machine from a time on."""
    return sum(e.kind == "on" and e.machine == name and e.t > since for e in world.history.events)


def finished(world: SimulatedSite) -> set[str]:
    """Tasks that have completed."""
    return {e.job for e in world.history.events if e.kind == "off" and e.text == "done"}
