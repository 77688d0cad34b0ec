"""Processes that are started again within a fraction of a second: nobody sees them absent, and what
the one before has sent may still be applied. Each test fails without the guard it names."""

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
from tests.support.scripted_peers import ControllerFixture, Worker, silent
from tests.support.three_controllers import (
    BOTH,
    TTL_S,
    StateLink,
    SteppedController,
    ThreeControllers,
)

BOUND_S = ControllerFixture().model.partition_bound_s


def restarted(until: float | None) -> ControllerFixture:
    """A share with work on a machine, claimed by an earlier process of ours, and by us since."""
    rig = ControllerFixture()
    rig.machine()
    job = rig.job(pieces=1)
    rig.page(0, rig.rows(job.id, (0, 1, "m-1")))
    rig.set(claim_key(0), wire.ClaimRecord("n-0", 900, False, until))
    rig.set(claim_key(0), wire.ClaimRecord("n-0", 1, False, until))
    rig.membership.review()
    assert rig.model.shards[0].owned
    return rig


def lost_after(rig: ControllerFixture, seconds: float) -> bool:
    rig.advance(seconds)
    return bool(rig.watch())


def test_a_second_process_counts_the_cut_owner_that_the_first_one_had_to_count() -> None:
    # n-1 was cut off with its zone and went on answering; n-0 took over, ended within that time
    # and came back at once: "ours before, so nobody else answers" gave up tasks that still ran.
    wall = ControllerFixture().clock.wall()
    rig = restarted(wall + BOUND_S)
    assert not lost_after(rig, 14.0 + BOUND_S)
    assert lost_after(rig, 3.0)
    assert rig.model.job("job-000001") is not None


@pytest.mark.parametrize("until", [None, 1e12])
def test_a_claim_that_does_not_say_counts_like_one_that_was_just_taken(until: float | None) -> None:
    rig = restarted(until)
    assert not lost_after(rig, 14.0 + BOUND_S)
    assert lost_after(rig, 3.0)


def test_once_that_time_is_over_a_second_process_waits_for_the_lease_only() -> None:
    rig = restarted(ControllerFixture().clock.wall() - 1.0)
    assert not lost_after(rig, 14.0)
    assert lost_after(rig, 3.0)
    job = rig.model.job("job-000001")
    assert job is not None and job.status[0] == IDLE


def test_a_claim_applied_late_is_made_anew_since_its_time_tells_nothing() -> None:
    # Another owner may have come and gone meanwhile, and be cut off: the next process of ours
    # would carry a time over that is too early.
    rig = ControllerFixture()
    rig.set(claim_key(0), wire.ClaimRecord("n-0", 1, False, rig.clock.wall() + BOUND_S - 60.0))

    async def play() -> None:
        rig.membership.review()
        assert not rig.model.shards[0].owned
        await rig.settle()
        rig.sync()
        rig.membership.review()

    asyncio.run(play())
    assert rig.model.shards[0].owned
    held = rig.model.shards[0].claim
    assert held is not None and held.record.previous_owner_until is not None
    assert held.record.previous_owner_until >= rig.clock.wall() + BOUND_S


async def started(trio: ThreeControllers) -> None:
    trio.start_all(BOTH)
    await trio.advance(8.0)
    assert trio.holders()[:3] == ["n-0", "n-1", "n-2"]


def claim(trio: ThreeControllers, shard: int) -> wire.ClaimRecord:
    entry = trio.core.get(claim_key(shard))
    assert entry is not None
    return msgspec.json.decode(entry.value, type=wire.ClaimRecord)


def test_a_process_back_at_once_takes_its_shard_from_its_predecessor_and_says_so() -> None:
    async def play() -> None:
        trio = ThreeControllers()
        await started(trio)
        first = claim(trio, 0)
        term = trio.core.version(claim_key(0))
        await trio.end("n-0")
        trio.start("n-0", BOTH)
        await trio.advance(1.0)
        second = claim(trio, 0)
        assert trio.actors()[0] == ["n-0"], "the old lease need not run out for that"
        assert (
            second.lease != first.lease
            and second.previous_owner_until == first.previous_owner_until
        )
        assert trio.core.version(claim_key(0)) > term
        # The old lease ends meanwhile, and takes nothing of ours with it.
        await trio.advance(2 * TTL_S)
        assert trio.actors() == [["n-0"], ["n-1"], ["n-2"]]
        assert claim(trio, 0).lease == second.lease
        await trio.stop()

    asyncio.run(play())


def test_a_record_overwritten_by_an_earlier_process_is_written_again() -> None:
    # It went with the earlier one's lease: siblings took no notice of the process for its whole
    # life, and kept its share when they had it.
    async def play() -> None:
        trio = ThreeControllers()
        await started(trio)
        old = trio.alive["n-0"].membership.lease
        assert old is not None
        entry = trio.core.get(node_key("n-0"))
        assert entry is not None
        await trio.end("n-0")
        trio.start("n-0", BOTH)
        await trio.advance(1.0)
        trio.core.execute([], [wire.Write(put=node_key("n-0"), value=entry.value, lease=old)])
        await trio.advance(3 * TTL_S)
        assert "n-0" in trio.alive["n-1"].model.controllers
        assert trio.core.get(node_key("n-0")) is not None
        await trio.stop()

    asyncio.run(play())


class Late(StateLink):
    """A way on which, by luck, transactions are executed without an answer, or only later."""

    luck = random.Random(0)

    async def transact(
        self,
        conditions: list[wire.Condition],
        then: list[wire.Write],
        deadline_s: float = 2.0,
        reserve_fraction: float = 0.0,
    ) -> int:
        if not self.script and self.luck.random() < 0.15:
            # Some for longer than a claim or a record is tried.
            fates = [self.luck.choice(["late", "silent", "lost"])] * self.luck.choice([1, 1, 1, 9])
            self.script += fates
        return await super().compare_and_swap(conditions, then, deadline_s)


def judge(core: StateCore, terms: dict[int, int], alive: dict[str, SteppedController]) -> None:
    """Of each share at most one acts under the claim as it stands, and claims' terms only rise."""
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
def test_ends_and_quick_restarts_at_random_times_leave_one_owner_and_lose_no_write(
    seed: int,
) -> None:
    async def play() -> None:
        luck = random.Random(seed)
        Late.luck = luck
        trio = ThreeControllers(way=Late)
        trio.start_all(BOTH)
        terms: dict[int, int] = {}
        gone: dict[str, float] = {}
        ended: list[StateLink] = []
        for _ in range(40):
            await trio.advance(luck.choice([0.05, 0.2, 0.5, 1.0]))
            judge(trio.core, terms, trio.alive)
            for node, back in list(gone.items()):
                if trio.clock.now() >= back:
                    del gone[node]
                    trio.start(node, BOTH)
            for way in ended:
                # What a process that has ended had sent: applied now, or later, or never.
                if luck.random() < 0.3:
                    deliver(way)
            if luck.random() < 0.35:
                node = luck.choice(list(trio.alive) or ["-"])
                if node in trio.alive:
                    ended.append(trio.alive[node].link)
                    await trio.end(node)
                    gone[node] = trio.clock.now() + luck.choice([0.0, 0.1, 0.3, 1.0])
        for way in ended:
            deliver(way)
        for node in list(gone):
            trio.start(node, BOTH)
        Late.luck = random.Random(1 << 40)
        for controller in trio.alive.values():
            controller.link.script += ["ok"] * 100_000
        await trio.advance(4 * TTL_S)
        judge(trio.core, terms, trio.alive)
        assert trio.actors() == [["n-0"], ["n-1"], ["n-2"]], "everybody is home again"
        assert trio.holder(LEADER_KEY) is not None
        for node, controller in trio.alive.items():
            entry = trio.core.get(node_key(node))
            assert entry is not None
            record: wire.ControllerRecord = msgspec.json.decode(
                entry.value, type=wire.ControllerRecord
            )
            assert record.lease == controller.membership.lease
        await trio.stop()

    asyncio.run(play())


def deliver(way: StateLink) -> None:
    late, way.late = way.late, []
    for conditions, then in late:
        with contextlib.suppress(ConditionFailedError, LeaseExpiredError):
            way.execute(conditions, then)


def test_the_launch_of_an_earlier_process_is_fenced_for_the_next_one() -> None:
    rig = restarted(None)
    machine = rig.model.machines[0]
    before = (900 << 24) + 5
    assert machine.fencing_token > before or machine.term > 0
    assert not machine.commands_settled, "a launch of the one before may still be in flight"
    attempt = machine.attempts[next(iter(machine.attempts))]
    assert attempt.stage == Stage.PLACED and not attempt.sent


# ---- an owner that claims anew within the same lease ----


def given_up(rig: ControllerFixture) -> None:
    """A share is given up, and the claim cannot be deleted."""

    async def work() -> None:
        rig.state.script = ["503"] * 10_000
        rig.membership.resign(rig.model.shards[0])
        await asyncio.sleep(6.0)
        rig.state.script.clear()

    rig.run(work())
    assert not rig.model.shards[0].owned and not rig.model.shards[0].releasing


def test_a_claim_that_was_given_up_and_not_deleted_is_not_acted_on_again() -> None:
    # Tokens would begin anew below those that the workers have seen, and launches of the same term
    # that are in flight would count as fenced. Nor is it when all keys are read anew.
    rig = ControllerFixture()
    term = rig.own()
    machine = rig.machine()
    worker = Worker()
    rig.report(worker)
    rig.http.script = [silent]
    rig.model.place(rig.job(pieces=1), 0, 1, machine, Stage.PLACED)
    asyncio.run(rig.push(machine))
    late = rig.http.sent[0][2]
    rig.report(worker)
    shown = worker.token
    assert shown > late["warrant"]
    given_up(rig)
    rig.model.begin_load()
    for key, (value, stamp, _) in rig.state.data.items():
        rig.model.apply(key, value, stamp)
    rig.model.end_load(rig.state.revision, set(rig.state.data))
    rig.lease()
    rig.membership.registration.is_written = True

    async def review() -> None:
        rig.membership.review()
        assert not rig.model.shards[0].owned, "its claim has been acted on"
        await rig.settle()
        rig.sync()
        rig.lease()
        rig.membership.review()

    rig.run(review())
    assert rig.model.shards[0].owned and rig.model.shards[0].term > term
    assert machine.fencing_token > shown
    assert rig.worker_manager.handle_heartbeat(worker.body()).status == 200
