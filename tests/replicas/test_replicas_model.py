"""Every interleaving of a replica's phases: two members, three machines with room for one each.

Explored exhaustively: plans, writes, starts, stops, machines that hang, fail or are drained,
timeouts that expire, and owners that end at any moment, up to two such failures.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace

from badgerseam.replicas.phases import (
    Decision,
    Intent,
    ObservedMembers,
    PhaseTimeouts,
    ReplicaPhase,
    decide,
)

NOW, LONG_AGO = 1.0, -1000.0
MEMBERS = (0, 1)
MACHINES = ("a", "b", "c")
MAX_FAILURES = 2
TIMEOUTS = PhaseTimeouts(10.0, 10.0, 0.0)
START = Intent()


@dataclass(frozen=True)
class Member:
    machine: str
    stage: str = "planned"
    """planned, placed (durable), runs"""
    stopping: bool = False
    unseen: bool = False


@dataclass(frozen=True)
class World:
    intent: Intent = START
    durable: Intent = START
    members: tuple[Member | None, ...] = (None, None)
    launched: frozenset[tuple[int, str]] = frozenset()
    """What is, or may be, on machines."""
    hung: frozenset[str] = frozenset()
    dead: frozenset[str] = frozenset()
    drained: frozenset[str] = frozenset()
    since: float = NOW
    failures_left: int = MAX_FAILURES


def usable(world: World) -> list[str]:
    taken = {m.machine for m in world.members if m is not None}
    if world.intent.phase == ReplicaPhase.MOVING:
        taken |= set(world.intent.targets)
    return [m for m in MACHINES if m not in taken | world.hung | world.dead | world.drained]


def observe(world: World) -> ObservedMembers:
    there = {t: m for t, m in enumerate(world.members) if m is not None}

    def where(stage: str) -> frozenset[int]:
        return frozenset(t for t, m in there.items() if m.stage == stage)

    moving = world.intent.phase == ReplicaPhase.MOVING
    return ObservedMembers(
        frozenset(MEMBERS) - frozenset(there),
        where("planned"),
        where("placed"),
        where("runs"),
        frozenset(t for t, m in there.items() if m.unseen and m.stage == "placed"),
        frozenset(t for t, m in there.items() if m.stopping),
        frozenset(t for t, m in there.items() if m.machine in world.hung),
        frozenset(t for t, m in there.items() if m.machine in world.drained - world.hung),
        world.durable == world.intent,
        not moving or not set(world.intent.targets) & (world.hung | world.dead | world.drained),
        world.since,
    )


def put(world: World, task: int, member: Member | None) -> World:
    members = list(world.members)
    members[task] = member
    return replace(world, members=tuple(members))


def settle(world: World) -> tuple[World, Decision]:
    """The world after all that the owner does by itself, and its last decision."""
    for _ in range(10):
        seen = observe(world)
        found = decide(world.intent, seen, TIMEOUTS, NOW)
        before = world
        # Which one it is decides nothing, and would make the worlds endless.
        world = replace(world, intent=replace(found.intent, generation=0))
        if found.intent.phase == ReplicaPhase.MOVING and found.stop:
            assert world.durable == world.intent, "stopped for a move that nobody knows of"
        for task in found.stop:
            member = world.members[task]
            assert member is not None
            world = put(world, task, replace(member, stopping=True))
        if found.move_into_reservation:
            for task, machine in zip(
                sorted(found.intent.members), found.intent.targets, strict=True
            ):
                assert world.members[task] is None, "two of one member"
                world = put(world, task, Member(machine))
        elif world == before:
            return world, found
    raise AssertionError("the owner comes to no rest")


def steps(world: World, found: Decision) -> Iterator[World]:
    """The worlds that may follow without a failure."""
    free = usable(world)
    if found.to_place and len(free) >= len(found.to_place):
        after = world
        for task, machine in zip(sorted(found.to_place), free, strict=False):
            after = put(after, task, Member(machine))
        yield after
    if found.to_reserve and len(free) >= len(found.to_reserve):
        to = tuple(free[: len(found.to_reserve)])
        yield replace(
            world,
            intent=replace(
                world.intent,
                phase=ReplicaPhase.MOVING,
                began_at=NOW,
                members=found.to_reserve,
                targets=to,
            ),
        )
    planned = any(m is not None and m.stage == "planned" for m in world.members)
    if planned or world.durable != world.intent:
        # Placements and the note are one transaction.
        after = replace(world, durable=world.intent)
        for task, member in enumerate(world.members):
            if member is not None and member.stage == "planned":
                after = put(after, task, replace(member, stage="placed"))
        yield after
    for task, member in enumerate(world.members):
        if member is None or member.machine in world.hung:
            continue
        if member.stopping and member.stage != "planned":
            yield replace(
                put(world, task, None), launched=world.launched - {(task, member.machine)}
            )
        elif member.stage == "placed" and (
            found.launch or (task, member.machine) in world.launched
        ):
            if (
                world.intent.phase == ReplicaPhase.FORMING
                and (task, member.machine) not in world.launched
            ):
                whole = all(m is not None and m.stage != "planned" for m in world.members)
                assert whole, "launched alone"
            after = put(world, task, replace(member, stage="runs", unseen=False))
            after = replace(after, launched=after.launched | {(task, member.machine)})
            assert len({t for t, _ in after.launched}) == len(after.launched), "ran twice"
            yield after
    if max(world.intent.began_at, world.since) > LONG_AGO and found.due is not None:
        yield replace(world, intent=replace(world.intent, began_at=LONG_AGO), since=LONG_AGO)


def failures(world: World) -> Iterator[World]:
    world = replace(world, failures_left=world.failures_left - 1)
    for machine in MACHINES:
        if machine in world.hung:
            yield replace(world, hung=world.hung - {machine}, failures_left=world.failures_left + 1)
            yield lose_machine(world, machine)
        elif machine not in world.dead:
            yield replace(world, hung=world.hung | {machine})
            if machine not in world.drained:
                yield replace(world, drained=world.drained | {machine})
    # The owner ends: the next one has what is durable, and has heard nobody.
    after = replace(world, intent=world.durable, since=NOW)
    for task, member in enumerate(world.members):
        if member is not None:
            kept = Member(member.machine, "placed", unseen=True)
            after = put(after, task, None if member.stage == "planned" else kept)
    yield after


def lose_machine(world: World, machine: str) -> World:
    """The world without a machine and all on it."""
    for task, member in enumerate(world.members):
        if member is not None and member.machine == machine:
            world = put(world, task, None)
    return replace(
        world,
        hung=world.hung - {machine},
        dead=world.dead | {machine},
        launched=frozenset(entry for entry in world.launched if entry[1] != machine),
    )


def stopped(world: World, task: int) -> World:
    member = world.members[task]
    assert member is not None
    return put(world, task, replace(member, stopping=True))


def run_to_rest(world: World) -> World:
    """The final world without further failures: hung machines are known to be lost, and drains are
    over."""
    for machine in world.hung:
        world = lose_machine(world, machine)
    for _ in range(60):
        world, found = settle(world)
        following = list(steps(world, found))
        if not following:
            leaving = sorted(observe(world).draining - observe(world).stopping)
            if not leaving:
                return world
            for task in leaving:
                following = [stopped(following[0] if following else world, task)]
        world = following[0]
    raise AssertionError(f"no end: {world}")


def test_every_interleaving_ends_with_all_members_or_none() -> None:
    begin, _ = settle(World())
    seen = {begin}
    queue = deque([begin])
    while queue:
        world, found = settle(queue.popleft())
        ended = run_to_rest(world)
        runs = [m is not None and m.stage == "runs" for m in ended.members]
        assert all(runs) or not any(ended.members), f"half: {world} -> {ended}"
        room = len(MACHINES) - len(ended.dead | ended.drained)
        assert all(runs) or room < len(MEMBERS), f"none, with room: {world} -> {ended}"
        following = list(steps(world, found))
        if world.failures_left:
            following += failures(world)
        for after in following:
            after, _ = settle(after)
            assert len(seen) < 100_000, "endless"
            if after not in seen:
                seen.add(after)
                queue.append(after)
    assert {world.intent.phase for world in seen} == set(ReplicaPhase)
    assert 500 < len(seen) < 100_000
