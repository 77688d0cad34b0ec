"""A controller that receives no heartbeats hands its shards over; time for which the process was
paused does not count."""

from __future__ import annotations

import asyncio

from badgerseam.model.keys import claim_key, node_key
from badgerseam.wire import state as wire
from tests.support.scripted_peers import ControllerFixture, Worker, no_response

STEP_S = 0.2


def owner_receiving_heartbeats(with_peer: bool = True) -> ControllerFixture:
    """An owner of one shard with five machines that send heartbeats.

    `with_peer`: whether other controllers exist that can take the shard over.
    """
    rig = ControllerFixture()
    rig.own()
    rig.set(node_key("n-0"), wire.Claim("n-0", 1))
    if not with_peer:
        rig.model.controllers = {"n-0": rig.model.controllers["n-0"]}
    for number in range(5):
        rig.machine(f"m-{number}")
        verified_worker(rig, number)
    rig.worker_manager.heartbeat_reception.check()
    rig.worker_manager.heartbeat_reception.on_heartbeat()
    return rig


def verified_worker(rig: ControllerFixture, number: int) -> Worker:
    """A worker that has shown the owner's token, so that its heartbeats are verified."""
    worker = Worker(f"m-{number}")
    rig.report(worker)
    rig.report(worker)
    return worker


async def pass_time(rig: ControllerFixture, seconds: float, step_s: float = STEP_S) -> None:
    for _ in range(round(seconds / step_s)):
        rig.clock.time += step_s
        rig.membership.controller_lease.confirmed_at = rig.clock.now()
        rig.worker_manager.heartbeat_reception.check()
        await rig.settle(3)
    await asyncio.sleep(0.02)


def claim_holder(rig: ControllerFixture, shard: int = 0) -> str | None:
    rig.sync()
    claim = rig.model.shards[shard].claim
    return None if claim is None else claim.record.node


def test_a_controller_without_heartbeats_hands_its_shards_over_within_seconds() -> None:
    rig = owner_receiving_heartbeats()

    async def without_heartbeats() -> None:
        await pass_time(rig, 2.0)
        assert not rig.membership.receives_no_heartbeats, (
            "up to 1.25 intervals may pass between two heartbeats"
        )
        await pass_time(rig, 2.0)

    rig.run(without_heartbeats())
    assert rig.membership.receives_no_heartbeats
    assert claim_holder(rig) is None
    assert rig.model.controllers["n-0"].record.unavailable, "peers must not leave its shards to it"
    shard = rig.model.shards[0]
    assert not rig.membership.claim_policy.should_claim(shard, rig.clock.now()), (
        "it must not claim them again"
    )


def test_heartbeats_of_a_single_worker_are_enough_to_stay_owner() -> None:
    rig = owner_receiving_heartbeats()
    rig.machine("m-9")
    worker = verified_worker(rig, 9)

    async def one_worker_reports() -> None:
        for _ in range(4):
            await pass_time(rig, 2.4)
            rig.report(worker)

    rig.run(one_worker_reports())
    assert not rig.membership.receives_no_heartbeats


def test_copies_of_heartbeats_do_not_count_as_reception() -> None:
    rig = owner_receiving_heartbeats()
    rig.machine("m-9")
    worker = verified_worker(rig, 9)
    copy = worker.body()
    rig.checkin(copy)

    async def without_heartbeats() -> None:
        for _ in range(3):
            await pass_time(rig, 1.4)
            rig.worker_manager.handle_heartbeat(copy)

    asyncio.run(without_heartbeats())
    assert rig.membership.receives_no_heartbeats


def test_workers_get_time_to_reach_a_new_owner_after_a_takeover() -> None:
    rig = owner_receiving_heartbeats()
    rig.claim(0, "n-0", 1)
    rig.membership.review()
    rig.membership.review()
    for number in range(5):
        verified_worker(rig, number)

    async def after_takeover() -> None:
        rig.worker_manager.heartbeat_reception._heartbeat_gap_s = 60.0
        await pass_time(rig, 5.0)
        assert not rig.membership.receives_no_heartbeats
        await pass_time(rig, 4.0)
        assert rig.membership.receives_no_heartbeats, "the time for a takeover is limited"

    rig.run(after_takeover())


def test_the_time_of_a_paused_process_does_not_count_as_silence() -> None:
    rig = owner_receiving_heartbeats()

    async def pause() -> None:
        rig.clock.time += 21.0
        await pass_time(rig, 2 * STEP_S)

    rig.run(pause())
    assert not rig.membership.receives_no_heartbeats
    assert rig.model.shards[0].owned


def test_shards_are_not_handed_over_without_a_peer_that_can_own_them() -> None:
    rig = owner_receiving_heartbeats(with_peer=False)
    rig.run(pass_time(rig, 10.0))
    assert not rig.membership.receives_no_heartbeats
    assert rig.model.shards[0].owned


def test_shards_are_claimed_again_only_when_workers_answer_for_a_while() -> None:
    rig = owner_receiving_heartbeats()

    async def recover() -> None:
        await pass_time(rig, 4.0)
        rig.http.script = [no_response] * 6
        await pass_time(rig, 2.0)
        assert rig.membership.receives_no_heartbeats, "the probed workers do not answer yet"
        rig.http.script = [
            lambda _: Worker("m-1").do({"warrant": 0, "tenure": 1, "orders": []})
        ] * 60
        await pass_time(rig, 1.2)
        assert rig.membership.receives_no_heartbeats, "one answer is not enough"
        await pass_time(rig, 4.0)

    rig.run(recover())
    assert not rig.membership.receives_no_heartbeats


def test_a_peer_claims_the_shard_of_a_home_that_receives_no_heartbeats_at_once() -> None:
    rig = ControllerFixture(shards=3)
    # The home controller of shard 1 is n-1.
    rig.set(node_key("n-0"), wire.Claim("n-0", 1))
    rig.set(node_key("n-2"), wire.Claim("n-2", 3))
    rig.set(node_key("n-1"), wire.Claim("n-1", 2, True))
    version = rig.claim(1, "n-1", 2)
    rig.model.apply(claim_key(1), None, version + 1)
    shard = rig.model.shards[1]
    assert rig.membership.claim_policy.should_claim(shard, rig.clock.now() + 0.6)
    rig.claim(2, "n-2", 3)
    rig.own(1)
    assert not rig.membership.claim_policy.should_return(shard, rig.clock.now() + 60.0)
