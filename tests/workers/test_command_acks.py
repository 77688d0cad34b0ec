"""Machines that send heartbeats and acknowledge nothing: found by these, and given up in time."""

from __future__ import annotations

import asyncio

import pytest

from badgerseam.http.client import Response
from badgerseam.model.job import IDLE, Phase, Stage
from badgerseam.model.machine import BUMP_BITS
from tests.support.lossy_workers import RESET_S, WALK_S, WorkerPool
from tests.support.scripted_peers import ControllerFixture, Worker, controller_with_machine, silent

TASK = "job-000001/0"
NAMES = [f"m-{number}" for number in range(1, 7)]


def field(zones: str = "a") -> WorkerPool:
    """Six machines that run well."""
    found = WorkerPool(NAMES, zones)
    found.advance(6.0)
    assert all(found.machine(name).incarnation == 1 for name in NAMES)
    return found


def given_up(found: WorkerPool) -> list[str]:
    return [m.name for m in found.rig.model.machines.values() if m.given_up]


def test_a_machine_that_acknowledges_nothing_gets_no_work_and_is_given_up() -> None:
    found = field()
    rig, seat, machine = found.rig, found.seats["m-3"], found.machine("m-3")
    seat.hears = seat.obeys = False
    found.advance(2 * WALK_S - 2.0)
    assert machine.missed_answers == 1
    rig.model.place(rig.job(pieces=1), 0, 1, machine, Stage.PLACED)
    found.advance(0.5)
    assert rig.planner.unusable_reason(machine, rig.clock.now()) == "deaf"
    assert not machine.given_up, "its tasks may still live"
    found.advance(2.5)
    assert given_up(found) == ["m-3"]
    assert machine in rig.machine_transfer.releasable()
    answered = machine.lease_renewed_at
    found.advance(WALK_S)
    assert seat.statuses[-1] == 503, "an answer that gets through would renew its lease"
    overtaken = seat.body()
    machine.sequence = seat.seq
    assert rig.worker_manager.handle_heartbeat(overtaken).status == 503
    assert machine.lease_renewed_at in (answered, machine.last_heartbeat_at)


def test_a_heartbeat_after_trying_all_controllers_shows_a_missed_answer() -> None:
    found = field()
    seat = found.seats["m-3"]
    seat.hears = seat.obeys = False
    for _ in range(3):
        # Two of three heartbeats go to the other controllers.
        found.advance(1.0)
        seat.due_at = max(seat.due_at, found.rig.clock.now() + 3 * WALK_S - 1.0)
        found.advance(4.0)
    assert given_up(found) == ["m-3"]


@pytest.mark.parametrize("lost", ["answer", "report", "both", "direct", "resets"])
def test_one_lost_message_is_no_reason_to_give_a_machine_up(lost: str) -> None:
    found = field()
    seat, machine = found.seats["m-3"], found.machine("m-3")
    for _ in range(4):
        seat.hears = lost not in ("answer", "both", "resets")
        seat.speaks = lost not in ("report", "both")
        seat.obeys = lost not in ("direct", "resets")
        if lost == "resets":
            # Three answers, but within the time that a single lost packet takes.
            seat.walk_s = RESET_S
            seat.due_at = found.rig.clock.now()
            machine.token_bump += 1
        found.advance(3.25 if lost == "resets" else 2.25)
        assert not machine.given_up
        seat.walk_s = WALK_S
        seat.hears = seat.speaks = seat.obeys = True
        found.advance(9.0)
        assert not machine.missed_answers
    assert given_up(found) == []
    assert seat.session == 1


def test_a_zone_that_acknowledges_nothing_is_not_given_up_machine_by_machine() -> None:
    found = field("ab")
    job = found.rig.job(pieces=1)
    found.rig.running(job, 0, found.machine("m-3"), found.seats["m-3"])
    found.advance(2.5)
    for name in NAMES[::2]:
        found.seats[name].hears = found.seats[name].obeys = False
    found.advance(40.0)
    assert given_up(found) == []
    assert not job.attempts, "its session has ended, and nothing launched there is heard of"
    for name in NAMES[::2]:
        found.seats[name].hears = found.seats[name].obeys = True
    found.advance(8.0)
    now = found.rig.clock.now()
    assert all(found.rig.planner.usable(found.machine(name), now) for name in NAMES)


def test_direct_commands_alone_do_not_keep_a_machine() -> None:
    # They renew no lease: its tasks were killed every fourteen seconds.
    found = field()
    found.seats["m-3"].hears = False
    machine = found.machine("m-3")
    for _ in range(round(4.5 * WALK_S / 0.25)):
        # There is always something to command, so that tokens reach it that way.
        machine.contacted = False
        found.advance(0.25)
    assert machine.acknowledged_token > machine.term << BUMP_BITS
    assert given_up(found) == ["m-3"]


def test_an_incarnation_that_ends_although_its_heartbeats_were_answered_shows_missed_answers() -> (
    None
):
    # Where connections break it is back within a second, and its heartbeats seem to come in time.
    found = field()
    seat = found.seats["m-3"]
    seat.hears = seat.obeys = False
    seat.walk_s = RESET_S
    found.advance(14.0 + 5.0)
    assert given_up(found) == ["m-3"]


def test_a_machine_that_acknowledges_before_its_release_is_requested_is_readmitted() -> None:
    found = field()
    rig, seat, machine = found.rig, found.seats["m-3"], found.machine("m-3")
    seat.hears = seat.obeys = False
    found.advance(2 * WALK_S + 1.0)
    assert machine.unacknowledging
    machine.releasing = True
    seat.hears = seat.obeys = True
    found.advance(2.0)
    assert machine.unacknowledging, "its release may have been asked for"
    machine.releasing = False
    found.advance(8.0)
    assert given_up(found) == []
    assert rig.planner.usable(machine, rig.clock.now())


def test_work_goes_elsewhere_when_its_incarnation_has_ended_and_not_before() -> None:
    found = field()
    rig, seat, machine = found.rig, found.seats["m-3"], found.machine("m-3")
    job = rig.job(pieces=1, shape="standing")
    rig.running(job, 0, machine, seat)
    found.advance(2.5)
    assert job.attempts[0].stage == Stage.RUNNING
    seat.hears = seat.obeys = False
    while TASK in seat.tasks:
        assert job.attempts[0].machine is machine, "it runs there"
        found.advance(0.25)
    found.advance(WALK_S)
    assert not job.attempts, "a replica that is gone counted as running for ever"
    assert job.status[0] == IDLE


def test_a_direct_command_of_an_earlier_incarnation_is_settled() -> None:
    # No token reaches such a machine: commands to it were never settled, so that cancelled tasks
    # on it counted for ever.
    rig, machine, worker = controller_with_machine()
    rig.report(worker)
    job = rig.job(pieces=1)
    rig.model.place(job, 0, 1, machine, Stage.PLACED)
    rig.http.script = [silent]
    asyncio.run(rig.push(machine))
    late = rig.http.sent[-1][2]
    assert asyncio.run(rig.ledger.cancel(job.id)) == Phase.CANCELLED
    rig.checkin(worker.body())
    assert job.attempts, "the launch may still arrive"
    worker.end_session()
    assert worker.do(late).status == 409
    rig.checkin(worker.body())
    assert not job.attempts
    assert machine.acknowledged_token < machine.fencing_token


def test_commands_of_earlier_owners_are_settled_by_our_token_alone() -> None:
    # Which incarnations they have seen is not known.
    rig = ControllerFixture()
    machine = rig.machine()
    job = rig.job(pieces=1)
    rig.page(0, rig.rows(job.id, (0, 1, "m-1")))
    rig.claim(node="n-1", lease=9)
    rig.own()
    machine.unsettled_incarnation = 1
    machine.incarnation, machine.sequence = 1, 7
    job.attempts[0].stopping = True
    worker = Worker(token=5)
    worker.end_session()
    rig.checkin(worker.body())
    assert job.attempts


def test_a_machine_that_has_acknowledged_nothing_since_before_a_takeover_is_given_up() -> None:
    found = field()
    rig, seat = found.rig, found.seats["m-3"]
    rig.own()
    rig.membership.review()
    seat.hears = seat.obeys = False
    found.advance(9.0)
    assert found.machine("m-3").incarnation == 0
    assert given_up(found) == ["m-3"]


def test_a_machine_that_left_commands_unanswered_is_inspected_until_it_answers() -> None:
    # Nothing was placed on it for ever, since with nothing to say it was not asked again.
    rig = ControllerFixture()
    rig.own()
    rig.machine()
    worker = Worker()
    rig.report(worker)
    machine = rig.model.machines[0]
    attempt = rig.running(rig.job(pieces=1), 0, machine, worker)
    rig.report(worker)
    attempt.stopping = True
    for _ in range(3):
        rig.http.script = [silent]
        asyncio.run(rig.push(machine))
        rig.clock.time += 1.1
    while worker.tasks:
        rig.report(worker)
    assert machine.push_failures == 3
    rig.http.script = [silent, lambda _: Response(200, worker.body())]
    for _ in range(2):
        asyncio.run(rig.push(machine))
        rig.clock.time += 1.1
    assert rig.http.sent[-1][1] == "/inspect" and machine.push_failures == 0
