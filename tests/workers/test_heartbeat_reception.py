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
    fixture = ControllerFixture()
    fixture.own()
    fixture.set(node_key("n-0"), wire.Claim("n-0", 1))
    if not with_peer:
        fixture.model.controllers = {"n-0": fixture.model.controllers["n-0"]}
    for number in range(5):
        fixture.machine(f"m-{number}")
        verified_worker(fixture, number)
    fixture.worker_manager.heartbeat_reception.check()
    fixture.worker_manager.heartbeat_reception.on_heartbeat()
    return fixture


def verified_worker(fixture: ControllerFixture, number: int) -> Worker:
    """A worker that has shown the owner's token, so that its heartbeats are verified."""
    worker = Worker(f"m-{number}")
    fixture.report(worker)
    fixture.report(worker)
    return worker


async def pass_time(fixture: ControllerFixture, seconds: float, step_s: float = STEP_S) -> None:
    for _ in range(round(seconds / step_s)):
        fixture.clock.time += step_s
        fixture.membership.controller_lease.confirmed_at = fixture.clock.now()
        fixture.worker_manager.heartbeat_reception.check()
        await fixture.settle(3)
    await asyncio.sleep(0.02)


def claim_holder(fixture: ControllerFixture, shard: int = 0) -> str | None:
    fixture.sync()
    claim = fixture.model.shards[shard].claim
    return None if claim is None else claim.record.node


def test_a_controller_without_heartbeats_hands_its_shards_over_within_seconds() -> None:
    fixture = owner_receiving_heartbeats()

    async def without_heartbeats() -> None:
        await pass_time(fixture, 2.0)
        assert not fixture.membership.receives_no_heartbeats, (
            "up to 1.25 intervals may pass between two heartbeats"
        )
        await pass_time(fixture, 2.0)

    fixture.run(without_heartbeats())
    assert fixture.membership.receives_no_heartbeats
    assert claim_holder(fixture) is None
    assert fixture.model.controllers["n-0"].record.unavailable, (
        "peers must not leave its shards to it"
    )
    shard = fixture.model.shards[0]
    assert not fixture.membership.claim_policy.should_claim(shard, fixture.clock.now()), (
        "it must not claim them again"
    )


def test_heartbeats_of_a_single_worker_are_enough_to_stay_owner() -> None:
    fixture = owner_receiving_heartbeats()
    fixture.machine("m-9")
    worker = verified_worker(fixture, 9)

    async def one_worker_reports() -> None:
        for _ in range(4):
            await pass_time(fixture, 2.4)
            fixture.report(worker)

    fixture.run(one_worker_reports())
    assert not fixture.membership.receives_no_heartbeats


def test_copies_of_heartbeats_do_not_count_as_reception() -> None:
    fixture = owner_receiving_heartbeats()
    fixture.machine("m-9")
    worker = verified_worker(fixture, 9)
    copy = worker.body()
    fixture.checkin(copy)

    async def without_heartbeats() -> None:
        for _ in range(3):
            await pass_time(fixture, 1.4)
            fixture.worker_manager.handle_heartbeat(copy)

    asyncio.run(without_heartbeats())
    assert fixture.membership.receives_no_heartbeats


def test_workers_get_time_to_reach_a_new_owner_after_a_takeover() -> None:
    fixture = owner_receiving_heartbeats()
    fixture.claim(0, "n-0", 1)
    fixture.membership.review()
    fixture.membership.review()
    for number in range(5):
        verified_worker(fixture, number)

    async def after_takeover() -> None:
        fixture.worker_manager.heartbeat_reception._heartbeat_gap_s = 60.0
        await pass_time(fixture, 5.0)
        assert not fixture.membership.receives_no_heartbeats
        await pass_time(fixture, 4.0)
        assert fixture.membership.receives_no_heartbeats, "the time for a takeover is limited"

    fixture.run(after_takeover())


def test_the_time_of_a_paused_process_does_not_count_as_missing_heartbeats() -> None:
    fixture = owner_receiving_heartbeats()

    async def pause() -> None:
        fixture.clock.time += 21.0
        await pass_time(fixture, 2 * STEP_S)

    fixture.run(pause())
    assert not fixture.membership.receives_no_heartbeats
    assert fixture.model.shards[0].owned


def test_shards_are_not_handed_over_without_a_peer_that_can_own_them() -> None:
    fixture = owner_receiving_heartbeats(with_peer=False)
    fixture.run(pass_time(fixture, 10.0))
    assert not fixture.membership.receives_no_heartbeats
    assert fixture.model.shards[0].owned


def test_shards_are_claimed_again_only_when_workers_answer_for_a_while() -> None:
    fixture = owner_receiving_heartbeats()

    async def recover() -> None:
        await pass_time(fixture, 4.0)
        fixture.http.script = [no_response] * 6
        await pass_time(fixture, 2.0)
        assert fixture.membership.receives_no_heartbeats, "the probed workers do not answer yet"
        fixture.http.script = [
            lambda _: Worker("m-1").do({"warrant": 0, "tenure": 1, "orders": []})
        ] * 60
        await pass_time(fixture, 1.2)
        assert fixture.membership.receives_no_heartbeats, "one answer is not enough"
        await pass_time(fixture, 4.0)

    fixture.run(recover())
    assert not fixture.membership.receives_no_heartbeats


def test_a_peer_claims_the_shard_of_a_home_that_receives_no_heartbeats_at_once() -> None:
    fixture = ControllerFixture(shards=3)
    # The home controller of shard 1 is n-1.
    fixture.set(node_key("n-0"), wire.Claim("n-0", 1))
    fixture.set(node_key("n-2"), wire.Claim("n-2", 3))
    fixture.set(node_key("n-1"), wire.Claim("n-1", 2, True))
    version = fixture.claim(1, "n-1", 2)
    fixture.model.apply(claim_key(1), None, version + 1)
    shard = fixture.model.shards[1]
    assert fixture.membership.claim_policy.should_claim(shard, fixture.clock.now() + 0.6)
    fixture.claim(2, "n-2", 3)
    fixture.own(1)
    assert not fixture.membership.claim_policy.should_return(shard, fixture.clock.now() + 60.0)
