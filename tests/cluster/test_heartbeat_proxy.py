"""Controllers that act as proxies for owners that cannot be reached, and owners that take such
proxies into account."""

from __future__ import annotations

import asyncio

import msgspec

from badgerseam.model.job import IDLE, Phase
from badgerseam.model.keys import node_key, proxy_key
from badgerseam.model.state import MAX_STATE_AGE_S
from badgerseam.wire import state as wire
from tests.support.scripted_peers import ControllerFixture, Worker, commands_in

LEASE_S = 17.1
"""Seconds; slightly more than a worker's lease with all its margins."""


def controller_of_other_owner(zone: str = "a") -> tuple[ControllerFixture, Worker]:
    """A shard that n-1 owns, with a machine whose worker sends its heartbeats to this
    controller."""
    fixture = ControllerFixture()
    fixture.claim(node="n-1", lease=9)
    fixture.machine(zone=zone)
    return fixture, Worker(token=77, zone=zone)


async def write_proxy_record(fixture: ControllerFixture) -> None:
    """Let the proxy write its record, and see it in its replica."""
    fixture.membership.registration.is_written = True
    for _ in range(3):
        fixture.heartbeat_proxy.review()
        await fixture.settle(4)


def heartbeat_status(fixture: ControllerFixture, worker: Worker) -> int:
    return fixture.worker_manager.handle_heartbeat(worker.body()).status


def test_a_worker_is_redirected_to_its_owner_while_the_owner_can_be_reached() -> None:
    fixture, worker = controller_of_other_owner()
    assert heartbeat_status(fixture, worker) == 421
    fixture.unreachable.add("n-1")
    assert heartbeat_status(fixture, worker) == 421, "no proxy record names the owner yet"
    asyncio.run(write_proxy_record(fixture))
    assert heartbeat_status(fixture, worker) == 200
    fixture.unreachable.clear()
    fixture.state.script = ["503"] * 9
    asyncio.run(write_proxy_record(fixture))
    assert heartbeat_status(fixture, worker) == 421, "even before the record is updated"


def test_a_proxy_answers_with_the_token_of_the_worker_and_halts_cancelled_tasks() -> None:
    fixture, worker = controller_of_other_owner()
    fixture.unreachable.add("n-1")
    asyncio.run(write_proxy_record(fixture))
    job = fixture.job(pieces=2)
    worker.hold(f"{job.id}/0")
    response = fixture.report(worker)
    assert response == {"warrant": 77, "orders": []}
    ended = wire.StoredJob("withdrawn", 2, 0.0, job.spec)
    fixture.set(f"bs/j/{job.id}", ended)
    assert fixture.model.ended[job.id][0] == Phase.CANCELLED
    assert commands_in(fixture.report(worker)) == [("halt", f"{job.id}/0")]


def test_a_proxy_without_the_state_service_acts_only_after_its_lease_and_within_the_bound() -> None:
    fixture, worker = controller_of_other_owner()
    fixture.unreachable |= {"n-1", "n-2"}
    fixture.machine("m-2", zone="b")
    worker_in_other_zone = Worker("m-2", token=77, zone="b")
    fixture.clock.time += fixture.tunables.claim_ttl_s + 0.2
    assert heartbeat_status(fixture, worker) == 421, "its own record may still exist"
    fixture.clock.time += 0.6
    assert heartbeat_status(fixture, worker) == 200
    assert heartbeat_status(fixture, worker_in_other_zone) == 421, (
        "owners do not assume renewals in other zones"
    )
    fixture.clock.time = fixture.membership.confirmed_at + fixture.model.partition_bound_s + 0.1
    assert heartbeat_status(fixture, worker) == 421


def owner_with_running_task(zone: str = "b") -> tuple[ControllerFixture, Worker]:
    """An owner with a machine, by default in n-1's zone, that runs a task."""
    fixture = ControllerFixture()
    fixture.own()
    worker = Worker(zone=zone)
    machine = fixture.machine(zone=zone)
    fixture.report(worker)
    fixture.running(fixture.job(pieces=1), 0, machine, worker)
    fixture.report(worker)
    return fixture, worker


def test_a_machine_is_not_lost_while_an_absent_peer_may_renew_its_lease() -> None:
    fixture, _ = owner_with_running_task()
    fixture.advance(4.0)
    fixture.state.remove(node_key("n-1"))
    fixture.sync()
    fixture.advance(fixture.model.partition_bound_s + 15.0)
    assert fixture.expire_leases() == [], "n-1 may be cut off together with the machine"
    fixture.advance(3.0)
    assert len(fixture.expire_leases()) == 1


def test_machines_in_other_zones_are_lost_as_soon_as_without_peers() -> None:
    # Otherwise the crash of one controller would delay the detection of lost machines in the whole
    # fleet by the time of a lease.
    fixture, _ = owner_with_running_task(zone="c")
    fixture.state.remove(node_key("n-1"))
    fixture.state.remove(node_key("n-2"))
    fixture.set(proxy_key("n-2"), wire.ProxyRecord("n-2", 101, ["n-1"]))
    fixture.sync()
    fixture.advance(LEASE_S)
    assert len(fixture.expire_leases()) == 1


def test_a_peer_whose_record_is_back_renews_no_lease_any_more() -> None:
    fixture, _ = owner_with_running_task()
    fixture.state.remove(node_key("n-1"))
    fixture.sync()
    fixture.advance(3.0)
    fixture.set(node_key("n-1"), wire.Claim("n-1", 300))
    fixture.heartbeat_proxy.observe_peers()
    fixture.advance(15.0)
    assert fixture.expire_leases() == []
    fixture.advance(3.0)
    assert len(fixture.expire_leases()) == 1


def test_a_machine_is_not_lost_while_a_proxy_record_names_its_owner() -> None:
    fixture, _ = owner_with_running_task()
    fixture.set(proxy_key("n-2"), wire.ProxyRecord("n-2", 101, ["n-0"]))
    fixture.advance(60.0)
    assert fixture.expire_leases() == []
    fixture.set(proxy_key("n-2"), wire.ProxyRecord("n-2", 101, []))
    fixture.heartbeat_proxy.observe_peers()
    fixture.advance(LEASE_S)
    assert len(fixture.expire_leases()) == 1


def test_a_proxy_record_that_changed_twice_between_two_checks_counts() -> None:
    fixture, _ = owner_with_running_task(zone="c")
    fixture.advance(12.0)
    fixture.set(proxy_key("n-2"), wire.ProxyRecord("n-2", 101, ["n-0"]))
    fixture.set(proxy_key("n-2"), wire.ProxyRecord("n-2", 101, []))
    fixture.advance(6.0)
    assert fixture.expire_leases() == []
    fixture.advance(12.0)
    assert len(fixture.expire_leases()) == 1


def test_a_proxy_acts_on_its_record_only_while_its_lease_must_be_valid() -> None:
    fixture, worker = controller_of_other_owner(zone="b")
    fixture.unreachable.add("n-1")
    asyncio.run(write_proxy_record(fixture))
    assert heartbeat_status(fixture, worker) == 200
    fixture.clock.time += fixture.tunables.claim_ttl_s + 0.1
    assert heartbeat_status(fixture, worker) == 421, (
        "the record may have been removed, and the owner no longer assumes renewals"
    )
    fixture.lease()
    fixture.membership.controller_lease.number = 2
    assert heartbeat_status(fixture, worker) == 421, "the record was attached to the previous lease"


def test_a_proxy_with_a_stale_replica_does_not_answer() -> None:
    fixture, worker = controller_of_other_owner(zone="b")
    fixture.unreachable.add("n-1")
    asyncio.run(write_proxy_record(fixture))
    assert heartbeat_status(fixture, worker) == 200
    fixture.model.followed_at -= MAX_STATE_AGE_S
    assert heartbeat_status(fixture, worker) == 421


def test_the_lease_of_a_moved_machine_may_still_be_renewed_for_its_former_owner() -> None:
    fixture = ControllerFixture(shards=2)
    fixture.own(0)
    fixture.own(1)
    machine = fixture.machine()
    fixture.set("bs/m/g-m-1", [fixture.row(shard=1)])
    assert machine.shard == 1
    assert machine.lease_renewed_at == fixture.clock.now() + MAX_STATE_AGE_S


def test_a_proxy_record_that_the_replica_does_not_show_yet_counts() -> None:
    fixture, _ = owner_with_running_task()
    fixture.advance(LEASE_S)
    # The record is written but not yet in the replica: the comparison detects it.
    fixture.state.put(proxy_key("n-2"), wire.ProxyRecord("n-2", 101, ["n-0"]))
    assert fixture.expire_leases() == []
    fixture.sync()
    assert fixture.expire_leases() == []


def test_an_owner_without_the_state_service_does_not_expire_worker_leases() -> None:
    fixture, _ = owner_with_running_task()
    fixture.advance(LEASE_S + 1.0, connected=False)
    job = fixture.model.job("job-000001")
    assert job is not None
    assert fixture.expire_leases() == []
    # After an outage every lease starts again with its full time, including that of a peer that is
    # cut off.
    fixture.advance(10.0)
    assert fixture.expire_leases() == []
    assert job.status[0] != IDLE
    fixture.advance(LEASE_S)
    assert len(fixture.expire_leases()) == 1


def test_an_owner_that_was_suspended_verifies_the_peers_records_first() -> None:
    fixture, _ = owner_with_running_task()
    fixture.clock.time += 30.0
    assert fixture.expire_leases() == [], (
        "its last check of the peers is as old as the last heartbeat"
    )


def test_a_proxy_record_is_written_once_and_cleared_once() -> None:
    fixture, _ = controller_of_other_owner()
    fixture.unreachable.add("n-1")
    asyncio.run(write_proxy_record(fixture))
    before = fixture.state.transactions
    asyncio.run(write_proxy_record(fixture))
    assert fixture.state.transactions == before
    fixture.unreachable.clear()
    asyncio.run(write_proxy_record(fixture))
    assert fixture.state.transactions == before + 1
    entry = fixture.state.core.get(proxy_key("n-0"))
    assert entry is not None
    assert msgspec.json.decode(entry.value, type=wire.ProxyRecord) == wire.ProxyRecord("n-0", 1, [])
