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
    rig = ControllerFixture()
    rig.claim(node="n-1", lease=9)
    rig.machine(zone=zone)
    return rig, Worker(token=77, zone=zone)


async def write_proxy_record(rig: ControllerFixture) -> None:
    """Let the proxy write its record, and see it in its replica."""
    rig.membership.registration.is_written = True
    for _ in range(3):
        rig.heartbeat_proxy.review()
        await rig.settle(4)


def heartbeat_status(rig: ControllerFixture, worker: Worker) -> int:
    return rig.worker_manager.handle_heartbeat(worker.body()).status


def test_a_worker_is_redirected_to_its_owner_while_the_owner_can_be_reached() -> None:
    rig, worker = controller_of_other_owner()
    assert heartbeat_status(rig, worker) == 421
    rig.unreachable.add("n-1")
    assert heartbeat_status(rig, worker) == 421, "no proxy record names the owner yet"
    asyncio.run(write_proxy_record(rig))
    assert heartbeat_status(rig, worker) == 200
    rig.unreachable.clear()
    rig.state.script = ["503"] * 9
    asyncio.run(write_proxy_record(rig))
    assert heartbeat_status(rig, worker) == 421, "even before the record is updated"


def test_a_proxy_answers_with_the_token_of_the_worker_and_halts_cancelled_tasks() -> None:
    rig, worker = controller_of_other_owner()
    rig.unreachable.add("n-1")
    asyncio.run(write_proxy_record(rig))
    job = rig.job(pieces=2)
    worker.hold(f"{job.id}/0")
    response = rig.report(worker)
    assert response == {"warrant": 77, "orders": []}
    ended = wire.StoredJob("withdrawn", 2, 0.0, job.spec)
    rig.set(f"bs/j/{job.id}", ended)
    assert rig.model.ended[job.id][0] == Phase.CANCELLED
    assert commands_in(rig.report(worker)) == [("halt", f"{job.id}/0")]


def test_a_proxy_without_the_state_service_acts_only_after_its_lease_and_within_the_bound() -> None:
    rig, worker = controller_of_other_owner()
    rig.unreachable |= {"n-1", "n-2"}
    rig.machine("m-2", zone="b")
    worker_in_other_zone = Worker("m-2", token=77, zone="b")
    rig.clock.time += rig.tunables.claim_ttl_s + 0.2
    assert heartbeat_status(rig, worker) == 421, "its own record may still exist"
    rig.clock.time += 0.6
    assert heartbeat_status(rig, worker) == 200
    assert heartbeat_status(rig, worker_in_other_zone) == 421, (
        "owners do not assume renewals in other zones"
    )
    rig.clock.time = rig.membership.confirmed_at + rig.model.partition_bound_s + 0.1
    assert heartbeat_status(rig, worker) == 421


def owner_with_running_task(zone: str = "b") -> tuple[ControllerFixture, Worker]:
    """An owner with a machine, by default in n-1's zone, that runs a task."""
    rig = ControllerFixture()
    rig.own()
    worker = Worker(zone=zone)
    machine = rig.machine(zone=zone)
    rig.report(worker)
    rig.running(rig.job(pieces=1), 0, machine, worker)
    rig.report(worker)
    return rig, worker


def test_a_machine_is_not_lost_while_an_absent_peer_may_renew_its_lease() -> None:
    rig, _ = owner_with_running_task()
    rig.advance(4.0)
    rig.state.remove(node_key("n-1"))
    rig.sync()
    rig.advance(rig.model.partition_bound_s + 15.0)
    assert rig.expire_leases() == [], "n-1 may be cut off together with the machine"
    rig.advance(3.0)
    assert len(rig.expire_leases()) == 1


def test_machines_in_other_zones_are_lost_as_soon_as_without_peers() -> None:
    # Otherwise the crash of one controller would delay the detection of lost machines in the whole
    # fleet by the time of a lease.
    rig, _ = owner_with_running_task(zone="c")
    rig.state.remove(node_key("n-1"))
    rig.state.remove(node_key("n-2"))
    rig.set(proxy_key("n-2"), wire.ProxyRecord("n-2", 101, ["n-1"]))
    rig.sync()
    rig.advance(LEASE_S)
    assert len(rig.expire_leases()) == 1


def test_a_peer_whose_record_is_back_renews_no_lease_any_more() -> None:
    rig, _ = owner_with_running_task()
    rig.state.remove(node_key("n-1"))
    rig.sync()
    rig.advance(3.0)
    rig.set(node_key("n-1"), wire.Claim("n-1", 300))
    rig.heartbeat_proxy.observe_peers()
    rig.advance(15.0)
    assert rig.expire_leases() == []
    rig.advance(3.0)
    assert len(rig.expire_leases()) == 1


def test_a_machine_is_not_lost_while_a_proxy_record_names_its_owner() -> None:
    rig, _ = owner_with_running_task()
    rig.set(proxy_key("n-2"), wire.ProxyRecord("n-2", 101, ["n-0"]))
    rig.advance(60.0)
    assert rig.expire_leases() == []
    rig.set(proxy_key("n-2"), wire.ProxyRecord("n-2", 101, []))
    rig.heartbeat_proxy.observe_peers()
    rig.advance(LEASE_S)
    assert len(rig.expire_leases()) == 1


def test_a_proxy_record_that_changed_twice_between_two_checks_counts() -> None:
    rig, _ = owner_with_running_task(zone="c")
    rig.advance(12.0)
    rig.set(proxy_key("n-2"), wire.ProxyRecord("n-2", 101, ["n-0"]))
    rig.set(proxy_key("n-2"), wire.ProxyRecord("n-2", 101, []))
    rig.advance(6.0)
    assert rig.expire_leases() == []
    rig.advance(12.0)
    assert len(rig.expire_leases()) == 1


def test_a_proxy_acts_on_its_record_only_while_its_lease_must_be_valid() -> None:
    rig, worker = controller_of_other_owner(zone="b")
    rig.unreachable.add("n-1")
    asyncio.run(write_proxy_record(rig))
    assert heartbeat_status(rig, worker) == 200
    rig.clock.time += rig.tunables.claim_ttl_s + 0.1
    assert heartbeat_status(rig, worker) == 421, (
        "the record may have been removed, and the owner no longer assumes renewals"
    )
    rig.lease()
    rig.membership.controller_lease.number = 2
    assert heartbeat_status(rig, worker) == 421, "the record was attached to the previous lease"


def test_a_proxy_with_a_stale_replica_does_not_answer() -> None:
    rig, worker = controller_of_other_owner(zone="b")
    rig.unreachable.add("n-1")
    asyncio.run(write_proxy_record(rig))
    assert heartbeat_status(rig, worker) == 200
    rig.model.followed_at -= MAX_STATE_AGE_S
    assert heartbeat_status(rig, worker) == 421


def test_the_lease_of_a_moved_machine_may_still_be_renewed_for_its_former_owner() -> None:
    rig = ControllerFixture(shards=2)
    rig.own(0)
    rig.own(1)
    machine = rig.machine()
    rig.set("bs/m/g-m-1", [rig.row(shard=1)])
    assert machine.shard == 1
    assert machine.lease_renewed_at == rig.clock.now() + MAX_STATE_AGE_S


def test_a_proxy_record_that_the_replica_does_not_show_yet_counts() -> None:
    rig, _ = owner_with_running_task()
    rig.advance(LEASE_S)
    # The record is written but not yet in the replica: the comparison detects it.
    rig.state.put(proxy_key("n-2"), wire.ProxyRecord("n-2", 101, ["n-0"]))
    assert rig.expire_leases() == []
    rig.sync()
    assert rig.expire_leases() == []


def test_an_owner_without_the_state_service_does_not_expire_worker_leases() -> None:
    rig, _ = owner_with_running_task()
    rig.advance(LEASE_S + 1.0, connected=False)
    job = rig.model.job("job-000001")
    assert job is not None
    assert rig.expire_leases() == []
    # After an outage every lease starts again with its full time, including that of a peer that is
    # cut off.
    rig.advance(10.0)
    assert rig.expire_leases() == []
    assert job.status[0] != IDLE
    rig.advance(LEASE_S)
    assert len(rig.expire_leases()) == 1


def test_an_owner_that_was_suspended_verifies_the_peers_records_first() -> None:
    rig, _ = owner_with_running_task()
    rig.clock.time += 30.0
    assert rig.expire_leases() == [], "its last check of the peers is as old as the last heartbeat"


def test_a_proxy_record_is_written_once_and_cleared_once() -> None:
    rig, _ = controller_of_other_owner()
    rig.unreachable.add("n-1")
    asyncio.run(write_proxy_record(rig))
    before = rig.state.transactions
    asyncio.run(write_proxy_record(rig))
    assert rig.state.transactions == before
    rig.unreachable.clear()
    asyncio.run(write_proxy_record(rig))
    assert rig.state.transactions == before + 1
    entry = rig.state.core.get(proxy_key("n-0"))
    assert entry is not None
    assert msgspec.json.decode(entry.value, type=wire.ProxyRecord) == wire.ProxyRecord("n-0", 1, [])
