"""Model check of a replica's phases, with two members and three machines that hold one member each.

All interleavings are explored of plans, writes, starts, stops, machines that hang, fail or are
drained, timeouts that expire, and owners that end at any moment, with up to two such failures.
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
    """One of planned, placed (durable) and runs."""
    stopping: bool = False
    unseen: bool = False


@dataclass(frozen=True)
class SystemState:
    intent: Intent = START
    durable: Intent = START
    members: tuple[Member | None, ...] = (None, None)
    launched: frozenset[tuple[int, str]] = frozenset()
    """The members that are, or may be, on machines, each with its machine."""
    hung: frozenset[str] = frozenset()
    lost: frozenset[str] = frozenset()
    drained: frozenset[str] = frozenset()
    since: float = NOW
    failures_left: int = MAX_FAILURES


def free_machines(state: SystemState) -> list[str]:
    taken = {m.machine for m in state.members if m is not None}
    if state.intent.phase == ReplicaPhase.MOVING:
        taken |= set(state.intent.targets)
    return [m for m in MACHINES if m not in taken | state.hung | state.lost | state.drained]


def observe(state: SystemState) -> ObservedMembers:
    present = {t: m for t, m in enumerate(state.members) if m is not None}

    def in_stage(stage: str) -> frozenset[int]:
        return frozenset(t for t, m in present.items() if m.stage == stage)

    moving = state.intent.phase == ReplicaPhase.MOVING
    return ObservedMembers(
        frozenset(MEMBERS) - frozenset(present),
        in_stage("planned"),
        in_stage("placed"),
        in_stage("runs"),
        frozenset(t for t, m in present.items() if m.unseen and m.stage == "placed"),
        frozenset(t for t, m in present.items() if m.stopping),
        frozenset(t for t, m in present.items() if m.machine in state.hung),
        frozenset(t for t, m in present.items() if m.machine in state.drained - state.hung),
        state.durable == state.intent,
        not moving or not set(state.intent.targets) & (state.hung | state.lost | state.drained),
        state.since,
    )


def with_member(state: SystemState, task: int, member: Member | None) -> SystemState:
    members = list(state.members)
    members[task] = member
    return replace(state, members=tuple(members))


def apply_decisions(state: SystemState) -> tuple[SystemState, Decision]:
    """Returns the state after all actions that the owner takes without further events, and its last
    decision."""
    for _ in range(10):
        observed = observe(state)
        decision = decide(state.intent, observed, TIMEOUTS, NOW)
        before = state
        # The generation affects no decision, and would make the number of states infinite.
        state = replace(state, intent=replace(decision.intent, generation=0))
        if decision.intent.phase == ReplicaPhase.MOVING and decision.stop:
            assert state.durable == state.intent, "stopped for a move that is not durable"
        for task in decision.stop:
            member = state.members[task]
            assert member is not None
            state = with_member(state, task, replace(member, stopping=True))
        if decision.move_into_reservation:
            for task, machine in zip(
                sorted(decision.intent.members), decision.intent.targets, strict=True
            ):
                assert state.members[task] is None, "placed while it is still on a machine"
                state = with_member(state, task, Member(machine))
        elif state == before:
            return state, decision
    raise AssertionError("the owner's decisions do not converge")


def steps(state: SystemState, decision: Decision) -> Iterator[SystemState]:
    """Yields the states that may follow without a failure."""
    free = free_machines(state)
    if decision.to_place and len(free) >= len(decision.to_place):
        after = state
        for task, machine in zip(sorted(decision.to_place), free, strict=False):
            after = with_member(after, task, Member(machine))
        yield after
    if decision.to_reserve and len(free) >= len(decision.to_reserve):
        to = tuple(free[: len(decision.to_reserve)])
        yield replace(
            state,
            intent=replace(
                state.intent,
                phase=ReplicaPhase.MOVING,
                began_at=NOW,
                members=decision.to_reserve,
                targets=to,
            ),
        )
    planned = any(m is not None and m.stage == "planned" for m in state.members)
    if planned or state.durable != state.intent:
        # Placements and the note are written in one transaction.
        after = replace(state, durable=state.intent)
        for task, member in enumerate(state.members):
            if member is not None and member.stage == "planned":
                after = with_member(after, task, replace(member, stage="placed"))
        yield after
    for task, member in enumerate(state.members):
        if member is None or member.machine in state.hung:
            continue
        if member.stopping and member.stage != "planned":
            yield replace(
                with_member(state, task, None), launched=state.launched - {(task, member.machine)}
            )
        elif member.stage == "placed" and (
            decision.launch or (task, member.machine) in state.launched
        ):
            if (
                state.intent.phase == ReplicaPhase.FORMING
                and (task, member.machine) not in state.launched
            ):
                whole = all(m is not None and m.stage != "planned" for m in state.members)
                assert whole, "launched alone"
            after = with_member(state, task, replace(member, stage="runs", unseen=False))
            after = replace(after, launched=after.launched | {(task, member.machine)})
            assert len({t for t, _ in after.launched}) == len(after.launched), "ran twice"
            yield after
    if max(state.intent.began_at, state.since) > LONG_AGO and decision.due is not None:
        yield replace(state, intent=replace(state.intent, began_at=LONG_AGO), since=LONG_AGO)


def failures(state: SystemState) -> Iterator[SystemState]:
    state = replace(state, failures_left=state.failures_left - 1)
    for machine in MACHINES:
        if machine in state.hung:
            yield replace(state, hung=state.hung - {machine}, failures_left=state.failures_left + 1)
            yield lose_machine(state, machine)
        elif machine not in state.lost:
            yield replace(state, hung=state.hung | {machine})
            if machine not in state.drained:
                yield replace(state, drained=state.drained | {machine})
    # The owner ends: the next owner has only the durable state, and has received no heartbeats.
    after = replace(state, intent=state.durable, since=NOW)
    for task, member in enumerate(state.members):
        if member is not None:
            kept = Member(member.machine, "placed", unseen=True)
            after = with_member(after, task, None if member.stage == "planned" else kept)
    yield after


def lose_machine(state: SystemState, machine: str) -> SystemState:
    """Returns the state without a machine and its members."""
    for task, member in enumerate(state.members):
        if member is not None and member.machine == machine:
            state = with_member(state, task, None)
    return replace(
        state,
        hung=state.hung - {machine},
        lost=state.lost | {machine},
        launched=frozenset(entry for entry in state.launched if entry[1] != machine),
    )


def stopped(state: SystemState, task: int) -> SystemState:
    member = state.members[task]
    assert member is not None
    return with_member(state, task, replace(member, stopping=True))


def run_until_quiescent(state: SystemState) -> SystemState:
    """Returns the final state without further failures, once hung machines are known to be lost and
    drains are over."""
    for machine in state.hung:
        state = lose_machine(state, machine)
    for _ in range(60):
        state, decision = apply_decisions(state)
        following = list(steps(state, decision))
        if not following:
            leaving = sorted(observe(state).draining - observe(state).stopping)
            if not leaving:
                return state
            for task in leaving:
                following = [stopped(following[0] if following else state, task)]
        state = following[0]
    raise AssertionError(f"no final state: {state}")


def test_every_interleaving_ends_with_all_members_or_none() -> None:
    begin, _ = apply_decisions(SystemState())
    explored = {begin}
    queue = deque([begin])
    while queue:
        state, decision = apply_decisions(queue.popleft())
        ended = run_until_quiescent(state)
        runs = [m is not None and m.stage == "runs" for m in ended.members]
        assert all(runs) or not any(ended.members), f"only some members run: {state} -> {ended}"
        usable_machines = len(MACHINES) - len(ended.lost | ended.drained)
        assert all(runs) or usable_machines < len(MEMBERS), (
            f"no member runs despite free capacity: {state} -> {ended}"
        )
        following = list(steps(state, decision))
        if state.failures_left:
            following += failures(state)
        for after in following:
            after, _ = apply_decisions(after)
            assert len(explored) < 100_000, "too many states"
            if after not in explored:
                explored.add(after)
                queue.append(after)
    assert {state.intent.phase for state in explored} == set(ReplicaPhase)
    assert 500 < len(explored) < 100_000
