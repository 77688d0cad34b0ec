"""Controllers that answer for owners out of reach, and owners that count with them."""

from __future__ import annotations

import asyncio

import msgspec

from badgerseam.model.job import IDLE, Phase
from badgerseam.model.keys import node_key, proxy_key
from badgerseam.model.state import MAX_STATE_AGE_S
from badgerseam.wire import state as wire
from tests.support.scripted_peers import ControllerFixture, Worker, verbs

LEASE_S = 17.1
"""A little more than a worker's lease with all its margins."""


def apart(zone: str = "a") -> tuple[ControllerFixture, Worker]:
    """A share of n-1's with a machine that reports here."""
    rig = ControllerFixture()
    rig.claim(node="n-1", lease=9)
    rig.machine(zone=zone)
    return rig, Worker(token=77, zone=zone)


async def say(rig: ControllerFixture) -> None:
    """Let a deputy write what it has to say, and take note of it."""
    rig.membership.registration.is_written = True
    for _ in range(3):
        rig.heartbeat_proxy.review()
        await rig.settle(4)


def answer(rig: ControllerFixture, worker: Worker) -> int:
    return rig.worker_manager.handle_heartbeat(worker.body()).status


def test_a_worker_is_sent_to_its_owner_as_long_as_that_can_be_reached() -> None:
    rig, worker = apart()
    assert answer(rig, worker) == 421
    rig.unreachable.add("n-1")
    assert answer(rig, worker) == 421, "nothing has been said to the owner yet"
    asyncio.run(say(rig))
    assert answer(rig, worker) == 200
    rig.unreachable.clear()
    rig.state.script = ["503"] * 9
    asyncio.run(say(rig))
    assert answer(rig, worker) == 421, "even before the record says so"


def test_a_deputy_gives_the_token_that_the_worker_has_shown_and_halts_what_was_cancelled() -> None:
    rig, worker = apart()
    rig.unreachable.add("n-1")
    asyncio.run(say(rig))
    job = rig.job(pieces=2)
    worker.hold(f"{job.id}/0")
    response = rig.report(worker)
    assert response == {"warrant": 77, "orders": []}
    ended = wire.StoredJob("withdrawn", 2, 0.0, job.spec)
    rig.set(f"bs/j/{job.id}", ended)
    assert rig.model.ended[job.id][0] == Phase.CANCELLED
    assert verbs(rig.report(worker)) == [("halt", f"{job.id}/0")]


def test_one_that_lost_the_state_service_stands_in_only_after_its_lease_and_within_the_bound() -> (
    None
):
    rig, worker = apart()
    rig.unreachable |= {"n-1", "n-2"}
    rig.machine("m-2", zone="b")
    far = Worker("m-2", token=77, zone="b")
    rig.clock.time += rig.tunables.claim_ttl_s + 0.2
    assert answer(rig, worker) == 421, "its own record may still stand"
    rig.clock.time += 0.6
    assert answer(rig, worker) == 200
    assert answer(rig, far) == 421, "nobody counts with that in other zones"
    rig.clock.time = rig.membership.confirmed_at + rig.model.partition_bound_s + 0.1
    assert answer(rig, worker) == 421


def owner(zone: str = "b") -> tuple[ControllerFixture, Worker]:
    """An owner whose machine, in n-1's zone, falls silent with a task on it."""
    rig = ControllerFixture()
    rig.own()
    worker = Worker(zone=zone)
    machine = rig.machine(zone=zone)
    rig.report(worker)
    rig.running(rig.job(pieces=1), 0, machine, worker)
    rig.report(worker)
    return rig, worker


def test_a_machine_is_not_lost_while_a_sibling_that_went_may_renew_its_lease() -> None:
    rig, _ = owner()
    rig.advance(4.0)
    rig.state.remove(node_key("n-1"))
    rig.sync()
    rig.advance(rig.model.partition_bound_s + 15.0)
    assert rig.watch() == [], "n-1 may be cut off together with the machine"
    rig.advance(3.0)
    assert len(rig.watch()) == 1


def test_machines_of_other_zones_are_lost_as_soon_as_without_siblings() -> None:
    # A crash of one controller kept the whole fleet's lost machines for a lease's time longer.
    rig, _ = owner(zone="c")
    rig.state.remove(node_key("n-1"))
    rig.state.remove(node_key("n-2"))
    rig.set(proxy_key("n-2"), wire.ProxyRecord("n-2", 101, ["n-1"]))
    rig.sync()
    rig.advance(LEASE_S)
    assert len(rig.watch()) == 1


def test_a_sibling_that_is_back_renews_nothing_any_more() -> None:
    rig, _ = owner()
    rig.state.remove(node_key("n-1"))
    rig.sync()
    rig.advance(3.0)
    rig.set(node_key("n-1"), wire.Claim("n-1", 300))
    rig.heartbeat_proxy.observe_peers()
    rig.advance(15.0)
    assert rig.watch() == []
    rig.advance(3.0)
    assert len(rig.watch()) == 1


def test_a_machine_is_not_lost_while_a_sibling_says_that_it_stands_in() -> None:
    rig, _ = owner()
    rig.set(proxy_key("n-2"), wire.ProxyRecord("n-2", 101, ["n-0"]))
    rig.advance(60.0)
    assert rig.watch() == []
    rig.set(proxy_key("n-2"), wire.ProxyRecord("n-2", 101, []))
    rig.heartbeat_proxy.observe_peers()
    rig.advance(LEASE_S)
    assert len(rig.watch()) == 1


def test_a_record_that_came_and_went_between_two_looks_counts() -> None:
    rig, _ = owner(zone="c")
    rig.advance(12.0)
    rig.set(proxy_key("n-2"), wire.ProxyRecord("n-2", 101, ["n-0"]))
    rig.set(proxy_key("n-2"), wire.ProxyRecord("n-2", 101, []))
    rig.advance(6.0)
    assert rig.watch() == []
    rig.advance(12.0)
    assert len(rig.watch()) == 1


def test_a_deputy_acts_on_its_record_no_longer_than_its_lease_must_last() -> None:
    rig, worker = apart(zone="b")
    rig.unreachable.add("n-1")
    asyncio.run(say(rig))
    assert answer(rig, worker) == 200
    rig.clock.time += rig.tunables.claim_ttl_s + 0.1
    assert answer(rig, worker) == 421, "the record may be gone, and the owner counts with nothing"
    rig.lease()
    rig.membership.controller_lease.number = 2
    assert answer(rig, worker) == 421, "the record stood on the lease before"


def test_a_deputy_that_does_not_follow_any_more_may_not_know_who_the_owner_is() -> None:
    rig, worker = apart(zone="b")
    rig.unreachable.add("n-1")
    asyncio.run(say(rig))
    assert answer(rig, worker) == 200
    rig.model.followed_at -= MAX_STATE_AGE_S
    assert answer(rig, worker) == 421


def test_a_moved_machine_may_be_answered_for_its_former_owner_for_a_moment() -> None:
    rig = ControllerFixture(shards=2)
    rig.own(0)
    rig.own(1)
    machine = rig.machine()
    rig.set("bs/m/g-m-1", [rig.row(shard=1)])
    assert machine.shard == 1
    assert machine.lease_renewed_at == rig.clock.now() + MAX_STATE_AGE_S


def test_what_the_replica_has_not_shown_yet_counts() -> None:
    rig, _ = owner()
    rig.advance(LEASE_S)
    # Written, and not yet followed: the comparison finds it.
    rig.state.put(proxy_key("n-2"), wire.ProxyRecord("n-2", 101, ["n-0"]))
    assert rig.watch() == []
    rig.sync()
    assert rig.watch() == []


def test_an_owner_without_the_state_service_concludes_nothing_from_silence() -> None:
    rig, _ = owner()
    rig.advance(LEASE_S + 1.0, connected=False)
    job = rig.model.job("job-000001")
    assert job is not None
    assert rig.watch() == []
    # An outage gives every lease its full time again, a sibling's that is cut off as well.
    rig.advance(10.0)
    assert rig.watch() == []
    assert job.status[0] != IDLE
    rig.advance(LEASE_S)
    assert len(rig.watch()) == 1


def test_an_owner_that_stood_still_asks_first() -> None:
    rig, _ = owner()
    rig.clock.time += 30.0
    assert rig.watch() == [], "its last look at the siblings is as old as its silence"


def test_a_record_is_written_once_and_taken_back_once() -> None:
    rig, _ = apart()
    rig.unreachable.add("n-1")
    asyncio.run(say(rig))
    before = rig.state.transactions
    asyncio.run(say(rig))
    assert rig.state.transactions == before
    rig.unreachable.clear()
    asyncio.run(say(rig))
    assert rig.state.transactions == before + 1
    held = rig.state.core.get(proxy_key("n-0"))
    assert held is not None
    assert msgspec.json.decode(held.value, type=wire.ProxyRecord) == wire.ProxyRecord("n-0", 1, [])
