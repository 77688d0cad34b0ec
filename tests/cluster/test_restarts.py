"""Controllers that are restarted within a fraction of a second: their peers do not notice the
absence, and writes of the previous process may still be applied. Each test fails without the guard
that it names."""

from __future__ import annotations

import asyncio
import contextlib
import random

import msgspec
import pytest

from badgerseam.lab.state import StateCore
from badgerseam.model.job import IDLE, Stage
from badgerseam.model.keys import LEADER_KEY, claim_key, node_key
from badgerseam.store.client import ConditionFailedError, LeaseExpiredError
from badgerseam.wire import state as wire
from tests.support.scripted_peers import ControllerFixture, Worker, no_response
from tests.support.three_controllers import (
    BOTH,
    TTL_S,
    StateLink,
    SteppedController,
    ThreeControllers,
)

BOUND_S = ControllerFixture().model.partition_bound_s


def restarted_controller(until: float | None) -> ControllerFixture:
    """A controller whose shard, with a task on a machine, was claimed by its earlier process and
    then by itself; `until`: the bound on previous owners in both claims."""
    fixture = ControllerFixture()
    fixture.machine()
    job = fixture.job(pieces=1)
    fixture.page(0, fixture.rows(job.id, (0, 1, "m-1")))
    fixture.set(claim_key(0), wire.ClaimRecord("n-0", 900, False, until))
    fixture.set(claim_key(0), wire.ClaimRecord("n-0", 1, False, until))
    fixture.membership.review()
    assert fixture.model.shards[0].owned
    return fixture


def machine_lost_after(fixture: ControllerFixture, seconds: float) -> bool:
    fixture.advance(seconds)
    return bool(fixture.expire_leases())


def test_a_restarted_process_keeps_the_bound_on_a_cut_off_previous_owner() -> None:
    # n-1 is cut off with its zone and still answers its workers. n-0 takes over, ends within that
    # time and restarts at once. If it assumed that the previous owner was itself, it would give up
    # tasks that still run under n-1.
    wall = ControllerFixture().clock.wall()
    fixture = restarted_controller(wall + BOUND_S)
    assert not machine_lost_after(fixture, 14.0 + BOUND_S)
    assert machine_lost_after(fixture, 3.0)
    assert fixture.model.job("job-000001") is not None


@pytest.mark.parametrize("until", [None, 1e12])
def test_a_claim_without_a_usable_bound_counts_the_whole_partition_bound(
    until: float | None,
) -> None:
    fixture = restarted_controller(until)
    assert not machine_lost_after(fixture, 14.0 + BOUND_S)
    assert machine_lost_after(fixture, 3.0)


def test_after_the_bound_a_restarted_process_waits_only_for_the_worker_lease() -> None:
    fixture = restarted_controller(ControllerFixture().clock.wall() - 1.0)
    assert not machine_lost_after(fixture, 14.0)
    assert machine_lost_after(fixture, 3.0)
    job = fixture.model.job("job-000001")
    assert job is not None
    assert job.status[0] == IDLE


def test_a_claim_applied_late_is_replaced_since_its_bound_is_unreliable() -> None:
    # Another owner may have claimed the shard in the meantime and been cut off. The next process of
    # this controller would then inherit a bound that is too early.
    fixture = ControllerFixture()
    fixture.set(
        claim_key(0), wire.ClaimRecord("n-0", 1, False, fixture.clock.wall() + BOUND_S - 60.0)
    )

    async def scenario() -> None:
        fixture.membership.review()
        assert not fixture.model.shards[0].owned
        await fixture.settle()
        fixture.sync()
        fixture.membership.review()

    asyncio.run(scenario())
    assert fixture.model.shards[0].owned
    held = fixture.model.shards[0].claim
    assert held is not None
    assert held.record.previous_owner_until is not None
    assert held.record.previous_owner_until >= fixture.clock.wall() + BOUND_S


async def start_and_settle(controllers: ThreeControllers) -> None:
    controllers.start_all(BOTH)
    await controllers.advance(8.0)
    assert controllers.holders()[:3] == ["n-0", "n-1", "n-2"]


def claim(controllers: ThreeControllers, shard: int) -> wire.ClaimRecord:
    entry = controllers.core.get(claim_key(shard))
    assert entry is not None
    return msgspec.json.decode(entry.value, type=wire.ClaimRecord)


def test_a_restarted_process_replaces_its_predecessors_claim_and_keeps_its_bound() -> None:
    async def scenario() -> None:
        controllers = ThreeControllers()
        await start_and_settle(controllers)
        first = claim(controllers, 0)
        term = controllers.core.version(claim_key(0))
        await controllers.end("n-0")
        controllers.start("n-0", BOTH)
        await controllers.advance(1.0)
        second = claim(controllers, 0)
        assert controllers.actors()[0] == ["n-0"], "it does not wait for the old lease to expire"
        assert second.lease != first.lease
        assert second.previous_owner_until == first.previous_owner_until
        assert controllers.core.version(claim_key(0)) > term
        # The end of the old lease removes nothing of the new process.
        await controllers.advance(2 * TTL_S)
        assert controllers.actors() == [["n-0"], ["n-1"], ["n-2"]]
        assert claim(controllers, 0).lease == second.lease
        await controllers.stop()

    asyncio.run(scenario())


def test_a_record_overwritten_by_an_earlier_process_is_written_again() -> None:
    # The overwriting record is removed with the earlier process's lease. Without another write
    # peers would never see the new process, and would not return its shard.
    async def scenario() -> None:
        controllers = ThreeControllers()
        await start_and_settle(controllers)
        old = controllers.running_controllers["n-0"].membership.lease
        assert old is not None
        entry = controllers.core.get(node_key("n-0"))
        assert entry is not None
        await controllers.end("n-0")
        controllers.start("n-0", BOTH)
        await controllers.advance(1.0)
        controllers.core.execute(
            [], [wire.Write(put=node_key("n-0"), value=entry.value, lease=old)]
        )
        await controllers.advance(3 * TTL_S)
        assert "n-0" in controllers.running_controllers["n-1"].model.controllers
        assert controllers.core.get(node_key("n-0")) is not None
        await controllers.stop()

    asyncio.run(scenario())


class UnreliableStateLink(StateLink):
    """A link on which transactions are, at random, executed without a response, or executed later,
    or lost."""

    rng = random.Random(0)
    injected = 0
    """Number of faults on all links since the last reset."""

    async def compare_and_swap(
        self,
        conditions: list[wire.Condition],
        then: list[wire.Write],
        deadline_s: float = 2.0,
        reserve_fraction: float = 0.0,
    ) -> int:
        if not self.script and self.rng.random() < 0.15:
            # Some last for longer than the attempts to write a claim or a record.
            outcomes = [self.rng.choice(["late", "silent", "lost"])] * self.rng.choice([1, 1, 1, 9])
            self.script += outcomes
            UnreliableStateLink.injected += 1
        return await super().compare_and_swap(conditions, then, deadline_s)


def check_owners(
    core: StateCore, terms: dict[int, int], alive: dict[str, SteppedController]
) -> None:
    """Check that at most one controller acts for each shard under its current claim, and that the
    terms of claims only rise."""
    for shard in range(3):
        version = core.version(claim_key(shard))
        assert version == 0 or version >= terms.get(shard, 0)
        terms[shard] = max(version, terms.get(shard, 0))
        acting = [
            node
            for node, controller in alive.items()
            if controller.model.shards[shard].owned
            and controller.model.shards[shard].term == version
        ]
        assert len(acting) <= 1, (shard, acting)


@pytest.mark.parametrize("seed", range(12))
def test_random_kills_and_quick_restarts_leave_one_owner_and_current_records(
    seed: int,
) -> None:
    async def scenario() -> None:
        rng = random.Random(seed)
        UnreliableStateLink.rng = rng
        UnreliableStateLink.injected = 0
        controllers = ThreeControllers(link_type=UnreliableStateLink)
        controllers.start_all(BOTH)
        terms: dict[int, int] = {}
        restart_at: dict[str, float] = {}
        ended: list[StateLink] = []
        for _ in range(40):
            await controllers.advance(rng.choice([0.05, 0.2, 0.5, 1.0]))
            check_owners(controllers.core, terms, controllers.running_controllers)
            for node, due in list(restart_at.items()):
                if controllers.clock.now() >= due:
                    del restart_at[node]
                    controllers.start(node, BOTH)
            for link in ended:
                # Writes that an ended process had sent are applied now, later, or never.
                if rng.random() < 0.3:
                    deliver_late_writes(link)
            if rng.random() < 0.35:
                node = rng.choice(list(controllers.running_controllers) or ["-"])
                if node in controllers.running_controllers:
                    ended.append(controllers.running_controllers[node].link)
                    await controllers.end(node)
                    restart_at[node] = controllers.clock.now() + rng.choice([0.0, 0.1, 0.3, 1.0])
        for link in ended:
            deliver_late_writes(link)
        for node in list(restart_at):
            controllers.start(node, BOTH)
        UnreliableStateLink.rng = random.Random(1 << 40)
        for controller in controllers.running_controllers.values():
            controller.link.script += ["ok"] * 100_000
        await controllers.advance(4 * TTL_S)
        check_owners(controllers.core, terms, controllers.running_controllers)
        assert controllers.actors() == [["n-0"], ["n-1"], ["n-2"]], (
            "each shard is owned by its home controller again"
        )
        assert controllers.holder(LEADER_KEY) is not None
        for node, controller in controllers.running_controllers.items():
            entry = controllers.core.get(node_key(node))
            assert entry is not None
            record: wire.ControllerRecord = msgspec.json.decode(
                entry.value, type=wire.ControllerRecord
            )
            assert record.lease == controller.membership.lease
        assert UnreliableStateLink.injected > 0
        await controllers.stop()

    asyncio.run(scenario())


def deliver_late_writes(link: StateLink) -> None:
    """Execute the delayed transactions of a link."""
    late, link.late = link.late, []
    for conditions, then in late:
        with contextlib.suppress(ConditionFailedError, LeaseExpiredError):
            link.execute(conditions, then)


def test_a_delayed_launch_of_an_earlier_process_is_fenced() -> None:
    fixture = restarted_controller(None)
    machine = fixture.model.machines[0]
    before = (900 << 24) + 5
    assert machine.fencing_token > before or machine.term > 0
    assert not machine.commands_settled, "a launch of the previous process may still be in flight"
    attempt = machine.attempts[next(iter(machine.attempts))]
    assert attempt.stage == Stage.PLACED
    assert not attempt.sent


# ---- an owner that claims again on the same lease ----


def resign_without_removal(fixture: ControllerFixture) -> None:
    """Resign the shard while the claim cannot be removed."""

    async def work() -> None:
        fixture.state.script = ["503"] * 10_000
        fixture.membership.resign(fixture.model.shards[0])
        await asyncio.sleep(6.0)
        fixture.state.script.clear()

    fixture.run(work())
    assert not fixture.model.shards[0].owned
    assert not fixture.model.shards[0].releasing


def test_a_resigned_claim_that_was_not_removed_is_not_acted_on_again() -> None:
    # Otherwise tokens would start again below those that the workers have seen, and launches of the
    # same term that are in flight would count as fenced. A full reload must not change this.
    fixture = ControllerFixture()
    term = fixture.own()
    machine = fixture.machine()
    worker = Worker()
    fixture.report(worker)
    fixture.http.script = [no_response]
    fixture.model.place(fixture.job(pieces=1), 0, 1, machine, Stage.PLACED)
    asyncio.run(fixture.push(machine))
    launch_request = fixture.http.sent[0][2]
    fixture.report(worker)
    shown = worker.token
    assert shown > launch_request["warrant"]
    resign_without_removal(fixture)
    fixture.model.begin_load()
    for key, (value, stamp, _) in fixture.state.data.items():
        fixture.model.apply(key, value, stamp)
    fixture.model.end_load(fixture.state.revision, set(fixture.state.data))
    fixture.lease()
    fixture.membership.registration.is_written = True

    async def review() -> None:
        fixture.membership.review()
        assert not fixture.model.shards[0].owned, "the resigned claim was acted on"
        await fixture.settle()
        fixture.sync()
        fixture.lease()
        fixture.membership.review()

    fixture.run(review())
    assert fixture.model.shards[0].owned
    assert fixture.model.shards[0].term > term
    assert machine.fencing_token > shown
    assert fixture.worker_manager.handle_heartbeat(worker.body()).status == 200
