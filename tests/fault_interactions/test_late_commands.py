"""Meetings of direct commands that come late, and of old reports, with a change of owner: those of
an owner before that arrive after the new one's, and reports that come just as a leader begins."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
import pytest

from badgerseam.cluster.availability import UnavailableReason
from badgerseam.http.server import Reply
from badgerseam.lab.machines import MachineProcess
from badgerseam.model.keys import LEADER_KEY, claim_key
from badgerseam.settings import WorkerParams
from badgerseam.wire import state as wire
from badgerseam.wire import workers
from tests.fault_interactions.test_failover import part as out_of_reach
from tests.fault_interactions.test_unreachable_machines import far_machine
from tests.support.fault_interactions import (
    AWAY_S,
    CANCEL_S,
    JOB,
    LONG_S,
    NEXT,
    arrive,
    finished,
    hosts,
    join,
    part_zone,
    phase,
    running,
    spare,
    starts,
    taken,
)
from tests.support.simulated_site import SITE, SimulatedSite, run_on_site

LEASE_S = SITE.workers.lease_s
PATIENT = msgspec.structs.replace(SITE, workers=WorkerParams(1.0, 14.0, 40.0))
"""A site whose leases last for longer than a silent machine is asked twice."""


class HeldUp:
    """Direct commands to a machine are held up, unanswered, until they are let go."""

    def __init__(
        self, world: SimulatedSite, machine: MachineProcess, verb: str = "", most: int = 1000
    ) -> None:
        """`verb`: only those that hold such a command; `most`: only so many."""
        self.machine = machine
        self.bodies: list[bytes] = []
        self._verb = b'"verb":"%s"' % verb.encode() if verb else b""
        self._left = most
        inbox: Any = world.memory.listening[machine.core.who.addr]
        inbox._handler = self._handle

    async def _handle(self, method: str, uri: str, body: bytes) -> Reply:
        if uri == "/do" and self._verb in body and self._left > 0:
            self._left -= 1
            self.bodies.append(body)
            await asyncio.sleep(60.0)
        return await self.machine._handle(method, uri, body)

    async def let_go(self) -> list[int]:
        """Have all of them arrive, the latest first; how each was answered."""
        self._left = 0
        bodies, self.bodies = self.bodies[::-1], []
        return [(await self.machine._handle("POST", "/do", body)).status for body in bodies]


def hold_up(world: SimulatedSite, verb: str = "", most: int = 1000) -> list[HeldUp]:
    return [HeldUp(world, machine, verb, most) for machine in world.machines.values()]


async def change(world: SimulatedSite, owner: str, how: str) -> None:
    """Have a team's share change hands, or come back to its owner under a new claim."""
    if how == "hands":
        member = world.controllers[owner].of.membership  # type: ignore[union-attr]
        member.withdraw_if_replaceable()
        await taken(world, "blue", owner)
        member.mark_available(UnavailableReason.NO_HEARTBEATS)
        return
    claim = world.state_core.version(claim_key(world._shard_of["blue"]))
    world.controllers[owner].kill({"restart": 0.1, "ends": AWAY_S}[how])
    await world.until(
        lambda: world.state_core.version(claim_key(world._shard_of["blue"])) > claim, 30.0
    )


# ---- commands of an owner before arrive after the new one's ----


@pytest.mark.parametrize(
    ("how", "after_s", "seed"),
    [
        ("restart", 0.0, 1),
        ("restart", 0.15, 2),
        ("hands", 0.05, 3),
        ("hands", 2.5, 4),
        ("ends", 0.0, 5),
        ("ends", 0.4, 6),
    ],
)
@pytest.mark.parametrize("cancelled", [False, True])
def test_launches_of_an_owner_before_arrive_after_the_new_one_s(
    how: str, after_s: float, seed: int, cancelled: bool
) -> None:
    async def story(world: SimulatedSite) -> None:
        owner = await running(world, cpus=4.0)
        await spare(world, "blue")
        held = hold_up(world, "launch", most=1)
        await world.submit(NEXT, LONG_S, owner="blue", pieces=3, cpus=5.0, guessS=LONG_S)
        await world.until(lambda: any(entry.bodies for entry in held), 5.0)
        await change(world, owner, how)
        if cancelled:
            await world.cancel(NEXT)
        await world.advance(after_s)
        for entry in held:
            await entry.let_go()
        if cancelled:
            await world.advance(4.0)
            assert not world.on(NEXT)
        else:
            await world.until(lambda: len(world.on(NEXT)) == 3, 15.0)
            assert {starts(world)[f"{NEXT}/{task}"] for task in range(3)} == {1}
        assert len(world.on(JOB)) == 4 and world.leases_ended() == 0

    run_on_site(story, seed)


@pytest.mark.parametrize(("how", "after_s"), [("ends", 6.0), ("restart", 3.0), ("restart", 9.0)])
def test_a_launch_arrives_late_whose_machine_reaches_nobody(how: str, after_s: float) -> None:
    # The new owner asks the machine, which does not show the task, and cannot raise its token.
    # Placed elsewhere then, it ran twice.
    async def story(world: SimulatedSite) -> None:
        owner = await running(world, cpus=4.0)
        await spare(world, "blue")
        # The cloud's list tells the new owner its address.
        world.breaker.mend_all()
        held = hold_up(world)
        await world.submit(NEXT, LONG_S, owner="blue", pieces=1, cpus=5.0, guessS=LONG_S)
        await world.until(lambda: any(b"launch" in b for e in held for b in e.bodies), 5.0)
        entry = next(e for e in held if any(b"launch" in b for b in e.bodies))
        out_of_reach(world, entry.machine, "mute")
        for other in held:
            if other is not entry:
                await other.let_go()
        await change(world, owner, how)
        await world.advance(after_s)
        entry.bodies = [body for body in entry.bodies if b"launch" in body][:1]
        assert await entry.let_go() == [200], "token and session still match"
        assert len(world.on(NEXT)) == 1
        await world.advance(2 * PATIENT.workers.lease_s)
        join(world, entry.machine)
        await world.until(lambda: len(world.on(NEXT)) == 1, 45.0)

    run_on_site(story, round(after_s), PATIENT)


@pytest.mark.parametrize(("how", "after_s"), [("", 0.3), ("restart", 0.2), ("ends", 1.0)])
def test_a_launch_arrives_behind_the_reap_of_its_attempt(how: str, after_s: float) -> None:
    # It would start once more what has been placed elsewhere.
    async def story(world: SimulatedSite) -> None:
        owner = await running(world, cpus=4.0)
        await spare(world, "blue")
        held = hold_up(world, "launch", most=1)
        await world.submit(NEXT, LONG_S, owner="blue", pieces=1, cpus=5.0, guessS=LONG_S)
        await world.until(lambda: world.on(NEXT), 8.0)
        entry = next(entry for entry in held if entry.bodies)
        core = entry.machine.core
        core._exit(core.tasks[f"{NEXT}/0"], "error")
        if how:
            await change(world, owner, how)
        await world.until(lambda: f"{NEXT}/0" not in core.tasks, 15.0)
        await world.until(lambda: world.on(NEXT), 30.0)
        await world.advance(after_s)
        assert await entry.let_go() == [409]
        await world.advance(5.0)
        assert len(world.on(NEXT)[f"{NEXT}/0"]) == 1

    run_on_site(story, round(10 * after_s))


@pytest.mark.parametrize(("how", "after_s"), [("restart", 0.0), ("hands", 0.3), ("ends", 2.0)])
def test_a_reap_arrives_behind_the_launch_of_the_next_attempt(how: str, after_s: float) -> None:
    async def story(world: SimulatedSite) -> None:
        owner = await running(world, cpus=4.0)
        await spare(world, "blue")
        held = hold_up(world, "reap")
        machine = hosts(world)[0]
        entry = next(entry for entry in held if entry.machine is machine)
        failed = next(iter(machine.core.tasks))
        # Where its report is heard, the answer holds the reap.
        out_of_reach(world, machine, "mute")
        machine.core._exit(machine.core.tasks[failed], "error")
        await world.until(lambda: entry.bodies, 7.0)
        join(world, machine)
        await change(world, owner, how)
        await world.advance(after_s)
        await entry.let_go()
        await world.until(lambda: len(world.on(JOB)) == 4, 30.0)
        await world.advance(5.0)
        assert starts(world)[failed] == 2 and len(world.on(JOB)) == 4

    run_on_site(story, round(10 * after_s) + 1)


@pytest.mark.parametrize(("how", "after_s"), [("restart", 0.0), ("hands", 1.0), ("ends", 0.3)])
def test_halts_of_an_owner_before_arrive_after_the_new_one_has_placed_anew(
    how: str, after_s: float
) -> None:
    async def story(world: SimulatedSite) -> None:
        owner = await running(world, owner="blue", pieces=6, cpus=4.0, rank="best_effort")
        world.break_("no-capacity", for_s=20.0)
        held = hold_up(world, "halt")
        await world.submit(NEXT, 8.0, owner="blue", pieces=2, cpus=8.0, rank="production")
        await world.until(lambda: any(entry.bodies for entry in held), 5.0)
        await change(world, owner, how)
        await world.advance(after_s)
        for entry in held:
            await entry.let_go()
        await world.until(lambda: len(finished(world)) == 2, 45.0)
        await world.until(lambda: len(world.on(JOB)) == 6, 60.0)
        assert await phase(world, NEXT) == "done"

    run_on_site(story, round(10 * after_s) + 1)


@pytest.mark.parametrize(("seed", "back_s"), [(1, 0.1), (2, AWAY_S), (3, 4.0)])
def test_a_part_of_all_commands_comes_late_while_owners_change(seed: int, back_s: float) -> None:
    async def story(world: SimulatedSite) -> None:
        await running(world, cpus=3.0)
        world.break_("late-commands", factor=0.5, for_s=40.0)
        world.break_("copies", factor=0.5, to="next-leader", for_s=40.0)
        jobs = [f"job-{number + 10:06d}" for number in range(6)]
        for number, job in enumerate(jobs):
            team = ("blue", "teal", "red")[number % 3]
            world.at_once(world.submit(job, 6.0, owner=team, pieces=3, cpus=5.0))
            await world.advance(2.0 + world.random.random())
            if number % 2:
                for node in {world.leader, world.owner(team)} - {""}:
                    world.controllers[node].kill(min(back_s, 10.0))
            if number == 3:
                world.at_once(world.cancel(jobs[2]))
            await world.advance(world.random.choice([0.2, 1.0, 4.0]))
        await world.advance(CANCEL_S)
        await world.until(lambda: None not in world.holders(), 30.0)
        for job in jobs:
            ended = "withdrawn" if job == jobs[2] else "done"
            await world.advance(0.1)
            assert await phase(world, job) == ended
        assert len(world.on(JOB)) == 4

    run_on_site(story, seed)


# ---- an old report, and who stands in ----


def test_an_old_report_at_a_deputy_tells_nothing_of_the_session_in_which_a_launch_is_held() -> None:
    # A copy from an earlier session was refused, and the present session counted as begun after
    # that: its lease was renewed with a cancelled launch still on its way.
    async def story(world: SimulatedSite) -> None:
        team, _, near = await far_machine(world)
        far = [node for node in world.nodes if node not in near]
        machine = world.machine_of("job-000001")
        old = workers.encode(machine.core.report())
        machine.core.end_session()
        await world.until(lambda: world.on("job-000001"), 15.0)
        await world.advance(2.0)
        mend = part_zone(world, near, "b", *far)
        await world.submit("job-000002", LONG_S, via=near[0], owner=team, sett="b", pieces=1)
        await world.advance(1.0)
        await world.cancel("job-000002", via=near[0])
        # Again and again about the time from which the launch counts as held back: the machine's
        # own next report comes after one of them.
        await world.advance(14.0)
        for _ in range(100):
            await world.advance(0.04)
            for node in far:
                await arrive(world, node, old)
        await world.advance(CANCEL_S - 10.0)
        mend()
        await world.advance(6.0)
        assert not world.on("job-000002")

    run_on_site(story)


# ---- old reports just as a leader begins ----


async def past(world: SimulatedSite) -> list[bytes]:
    """Reports of an earlier session, of a machine that is gone, of attempts that have ended, and
    of now; the share of the team that they are of is the leader's."""
    sent: list[bytes] = []
    for machine in world.machines.values():
        machine._copied = sent.append
    await world.advance(2.0)
    ended, gone, failed = (world.machine_of(JOB, task) for task in range(3))
    ended.core.end_session()
    failed.core._exit(failed.core.tasks[f"{JOB}/2"], "error")
    await world.advance(1.5)
    world.cloud_core.reclaim(gone.core.who.name)
    await world.until(lambda: len(world.on(JOB)) == 3, 45.0)
    await world.advance(2.0)
    return sent


def ghosts(world: SimulatedSite) -> set[str]:
    """Machines that are recorded, and are not there."""
    rosters = [value for key, (value, _, _) in world.state_core.data.items() if "/m/" in key]
    recorded = {row.name for value in rosters for row in wire.machines_decoder.decode(value)}
    return recorded - set(world.cloud_core.machines)


def team_of_leader(world: SimulatedSite) -> str:
    return next(team.name for team in world.site.teams if world.owner(team.name) == world.leader)


@pytest.mark.parametrize(
    ("how", "seed"), [("restart", 1), ("restart", 2), ("ends", 3), ("ends", 4), ("hands", 5)]
)
def test_old_reports_reach_every_controller_just_as_a_leader_begins(how: str, seed: int) -> None:
    async def story(world: SimulatedSite) -> None:
        team = team_of_leader(world)
        owner = await running(world, owner=team, pieces=3, cpus=5.0)
        world.break_("copies", to="next-leader", factor=0.5)
        sent = await past(world)
        world.breaker.mend_all()
        claim = world.state_core.version(LEADER_KEY)
        begun = starts(world).total()
        if how == "hands":
            node = world.controllers[owner].of
            assert node is not None
            node.membership.withdraw_if_replaceable()
            node.membership.resign_leadership()
        else:
            world.controllers[owner].kill(0.1 if how == "restart" else AWAY_S)
        for number in range(80):
            # Before, while and after the new owner reads the state.
            await world.advance(0.05)
            if world.state_core.version(LEADER_KEY) != claim or number > 40:
                body = world.random.choice(sent)
                for to in world.nodes:
                    await arrive(world, to, body)
        await world.until(lambda: None not in world.holders(), 20.0)
        assert not ghosts(world)
        await world.advance(3 * LEASE_S)
        assert len(world.on(JOB)) == 3 and starts(world).total() == begun
        assert not ghosts(world)

    run_on_site(story, seed)
