"""Safety rules for commands, worker leases and takeovers.

Each test fails if the check that it names is removed.
"""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
import pytest

from badgerseam.http.client import Response
from badgerseam.model.job import IDLE, Phase, Stage
from badgerseam.model.machine import Machine
from badgerseam.wire import state as wire
from badgerseam.wire.workers import TaskStatus
from tests.support.scripted_peers import (
    ControllerFixture,
    Worker,
    commands_in,
    controller_with_machine,
    no_response,
    refused,
    submission,
)

TASK = "job-000001/0"


def verified_machine() -> tuple[ControllerFixture, Machine, Worker]:
    """An owned shard with one machine that has sent a heartbeat with the owner's token."""
    rig, machine, worker = controller_with_machine()
    rig.report(worker)
    return rig, machine, worker


def test_no_task_is_launched_before_its_placement_is_durable() -> None:
    rig, _, worker = verified_machine()
    rig.job(pieces=1)
    rig.plan()
    assert commands_in(rig.report(worker)) == []
    asyncio.run(rig.settle())
    assert commands_in(rig.report(worker)) == [("launch", TASK)]


def test_an_unanswered_launch_is_fenced_before_its_task_is_placed_elsewhere() -> None:
    rig, machine, worker = verified_machine()
    job = rig.job(pieces=1)
    attempt = rig.model.place(job, 0, 1, machine, Stage.PLACED)
    before = machine.fencing_token
    rig.http.script = [no_response]
    asyncio.run(rig.push(machine))
    late = rig.http.sent[0][2]
    attempt.stopping = True
    # The heartbeat does not list the task, but the launch may still arrive.
    response = rig.checkin(worker.body())
    assert response["warrant"] > before
    assert job.attempts, "the launch can still be executed"
    worker.process_response(response)
    assert not worker.process_response(late), "the worker has shown the higher token"
    rig.report(worker)
    assert not job.attempts


def test_a_command_whose_connection_was_refused_is_settled() -> None:
    rig, machine, _ = verified_machine()
    rig.model.place(rig.job(pieces=1), 0, 1, machine, Stage.PLACED)
    token = machine.fencing_token
    rig.http.script = [refused]
    asyncio.run(rig.push(machine))
    assert machine.fencing_token == token
    assert machine.commands_settled


def test_an_older_heartbeat_does_not_undo_a_newer_one() -> None:
    rig, machine, worker = verified_machine()
    job = rig.job(pieces=1)
    old = worker.body()
    attempt = rig.running(job, 0, machine, worker)
    rig.report(worker)
    attempt.stopping = True
    assert commands_in(rig.checkin(old)) == []
    assert job.attempts[0] is attempt
    assert attempt.stage == Stage.RUNNING


def test_absence_in_a_direct_answer_does_not_count_while_a_response_is_in_flight() -> None:
    # The response with the launch may be delayed while a direct command is answered, so a task that
    # the direct answer does not list may still be started.
    rig, machine, worker = verified_machine()
    job = rig.job(pieces=1)
    attempt = rig.model.place(job, 0, 1, machine, Stage.PLACED)
    delayed = rig.checkin(worker.body())
    assert commands_in(delayed) == [("launch", TASK)]
    attempt.stopping = True
    machine.reported_tasks["job-000009/0"] = msgspec.convert(
        {"piece": "job-000009/0", "try": 1, "phase": "running"}, TaskStatus
    )
    rig.http.script = [worker.do]
    asyncio.run(rig.push(machine))
    assert rig.http.sent
    assert job.attempts, "the response with the launch is still in flight"
    worker.process_response(delayed)
    assert TASK in worker.tasks


def test_done_is_durable_before_the_worker_may_reap() -> None:
    rig, machine, worker = verified_machine()
    job = rig.job(pieces=2)
    rig.running(job, 0, machine, worker)
    rig.report(worker)
    worker.finish(TASK)
    assert commands_in(rig.report(worker)) == []
    rig.clock.time += 5
    asyncio.run(rig.settle())
    assert commands_in(rig.report(worker)) == [("reap", TASK)]


def test_nothing_is_reaped_while_a_launch_may_be_in_flight() -> None:
    # After a reap the worker has no record of the attempt, so a late launch would start it again.
    rig, machine, worker = verified_machine()
    job = rig.job(pieces=2)
    rig.running(job, 0, machine, worker)
    worker.finish(TASK)
    rig.report(worker)
    rig.clock.time += 5
    asyncio.run(rig.settle())
    machine.highest_unsettled_token = machine.fencing_token
    machine.token_bump += 1
    assert commands_in(rig.report(worker)) == []
    assert commands_in(rig.report(worker)) == [("reap", TASK)]


def test_a_new_owner_concludes_nothing_from_absence_before_its_token_is_shown() -> None:
    rig = ControllerFixture()
    machine = rig.machine()
    job = rig.job(pieces=1)
    rig.page(0, rig.rows(job.id, (0, 1, "m-1")))
    rig.claim(node="n-1", lease=9)
    term = rig.own()
    assert machine.fencing_token >> 24 == term
    worker = Worker(token=5)
    attempt = job.attempts[0]
    attempt.stopping = True
    rig.http.script = [lambda _: Response(200, worker.body())]
    asyncio.run(rig.push(machine))
    rig.report(worker)
    assert job.attempts, "a command of the previous owner may still be executed"
    rig.report(worker)
    assert not job.attempts


def test_a_machine_is_lost_only_after_its_lease() -> None:
    rig, machine, worker = verified_machine()
    job = rig.job(pieces=1)
    rig.running(job, 0, machine, worker)
    rig.report(worker)
    rig.advance(14.0)
    assert rig.expire_leases() == []
    rig.advance(3.0)
    assert rig.expire_leases() == [machine]
    assert job.status[0] == IDLE
    # The machine resumes. Its tasks count as ended, so its lease must not be renewed.
    assert rig.worker_manager.handle_heartbeat(worker.body()).status == 503


def test_a_new_owner_allows_for_the_time_a_partitioned_owner_may_renew_leases() -> None:
    rig = ControllerFixture()
    machine = rig.machine()
    job = rig.job(pieces=1)
    rig.page(0, rig.rows(job.id, (0, 1, "m-1")))
    rig.claim(node="n-1", lease=9)
    rig.own()
    rig.advance(14.0 + rig.model.partition_bound_s)
    assert rig.expire_leases() == []
    rig.advance(3.0)
    assert rig.expire_leases() == [machine]


def test_an_owner_that_is_cut_off_stops_answering_heartbeats() -> None:
    rig, _, worker = verified_machine()
    workers = rig.settings.params.workers
    bound = rig.model.partition_bound_s
    assert bound + workers.lease_s + 2 < workers.cancel_s
    rig.clock.time += bound - 0.1
    assert rig.worker_manager.handle_heartbeat(worker.body()).status == 200
    rig.clock.time += 0.2
    assert rig.worker_manager.handle_heartbeat(worker.body()).status == 503


def test_a_moved_machine_gets_a_higher_term() -> None:
    rig = ControllerFixture(shards=2)
    rig.own(0)
    rig.own(1)
    machine = rig.machine(shard=0)
    before = machine.fencing_token
    version = rig.set("bs/m/g-m-1", [rig.row(shard=1)])
    assert machine.shard == 1
    assert machine.fencing_token > before
    assert machine.fencing_token >> 24 == version


def test_a_cancelled_task_is_halted_and_counts_as_usage_until_it_has_ended() -> None:
    rig, machine, worker = verified_machine()
    job = rig.job(pieces=1)
    rig.running(job, 0, machine, worker)
    rig.report(worker)
    assert asyncio.run(rig.ledger.cancel(job.id)) == Phase.CANCELLED
    assert rig.model.usage(job.team).cpus == 2.0
    response = rig.report(worker)
    assert commands_in(response) == [("halt", TASK)]
    assert rig.model.usage(job.team).cpus == 2.0
    rig.report(worker)
    assert rig.model.usage(job.team).cpus == 0.0
    assert rig.model.job(job.id) is None


def test_a_new_owner_halts_tasks_that_were_cancelled_before_its_start() -> None:
    # Found while searching for faults: a cancellation just before a restart was read during the
    # initial load, and the tasks of the cancelled job kept running.
    rig = ControllerFixture()
    rig.machine()
    spec = submission(pieces=1)
    rig.model.begin_load()
    rig.set("bs/j/job-000001", wire.StoredJob("withdrawn", 1, 0.0, spec))
    rig.page(0, rig.rows("job-000001", (0, 1, "m-1")))
    rig.model.end_load(rig.state.revision, set(rig.state.data))
    rig.own()
    worker = Worker()
    worker.hold(TASK)
    assert commands_in(rig.report(worker)) == [("halt", TASK)]


def test_unknown_tasks_on_a_machine_are_halted_and_count_as_used() -> None:
    rig, machine, worker = verified_machine()
    job = rig.job(pieces=1)
    worker.hold(TASK, 7)
    response = rig.checkin(worker.body())
    assert commands_in(response) == [("halt", TASK)]
    assert machine.planned_use() == job.demand


def test_a_heartbeat_to_the_wrong_controller_is_redirected() -> None:
    rig = ControllerFixture(shards=2)
    rig.claim(1, node="n-1", lease=4)
    rig.machine(shard=1)
    reply = rig.worker_manager.handle_heartbeat(Worker().body())
    assert (reply.status, reply.body) == (421, b'{"overseer":"n-1"}')


def test_a_launch_waits_until_its_victims_have_ended() -> None:
    rig, machine, worker = verified_machine()
    low = rig.job(pieces=4)
    for task in range(4):
        rig.running(low, task, machine, worker)
    rig.report(worker)
    high = rig.job(job_id="job-000002", pieces=1, rank="high", cpus=4.0)
    rig.plan()
    asyncio.run(rig.settle())
    assert len(high.attempts) == 1
    response = rig.report(worker)
    assert [verb for verb, _ in commands_in(response)] == ["halt", "halt"]
    assert ("launch", "job-000002/0") in commands_in(rig.report(worker))


def test_a_superseded_owner_redirects_the_worker() -> None:
    # With a 200, the worker would keep sending its heartbeats here, drop every response and lose
    # its lease.
    rig, _, worker = verified_machine()
    worker.token = rig.model.machines[0].fencing_token + (1 << 24)
    assert rig.worker_manager.handle_heartbeat(worker.body()).status == 421


def test_a_worker_learns_the_new_owners_token_before_its_next_heartbeat() -> None:
    rig = ControllerFixture()
    machine = rig.machine()
    rig.claim(node="n-1", lease=9)
    rig.own()
    worker = Worker()
    rig.http.script = [lambda _: Response(200, worker.body()), worker.do]
    asyncio.run(rig.push(machine))
    asyncio.run(rig.push(machine))
    assert worker.token == machine.fencing_token
    assert machine.commands_settled


def test_an_overdue_machine_is_given_up_only_if_others_in_its_zone_report() -> None:
    rig, machine, worker = verified_machine()
    job = rig.job(pieces=1)
    rig.running(job, 0, machine, worker)
    rig.report(worker)

    async def probe() -> None:
        rig.worker_manager.probe_unresponsive()
        await rig.settle(6)

    rig.clock.time += 7
    rig.lease()
    rig.http.script = [no_response]
    asyncio.run(probe())
    assert not machine.given_up, "this controller may be the one that is cut off"
    rig.machine("m-2")
    other = Worker("m-2")
    rig.report(other)
    rig.report(other)
    address, machine.address = machine.address, ""
    asyncio.run(probe())
    assert not machine.given_up, "without an address it was not probed"
    machine.address = address
    asyncio.run(probe())
    assert machine.given_up
    # Its tasks stay assigned to it until its release is certain.
    assert job.attempts[0].machine is machine


def test_a_zone_whose_machines_become_overdue_one_by_one_is_not_given_up() -> None:
    # Found in a run with a partition between two zones: the machines of the unreachable zone whose
    # last heartbeats were the earliest were released, because the others had reported slightly
    # later.
    rig, _, worker = verified_machine()
    reporting_elsewhere = Worker("m-0", zone="b")
    rig.machine("m-0", zone="b")
    others = [Worker(f"m-{number}") for number in range(2, 8)]
    for other in others:
        rig.machine(other.identity.name)

    async def probe() -> None:
        rig.worker_manager.probe_unresponsive()
        await rig.settle(6)

    rig.report(worker)
    for other in others:
        rig.clock.time += 0.3
        rig.report(other)
    for _ in range(60):
        rig.clock.time += 0.2
        rig.lease()
        rig.report(reporting_elsewhere)
        rig.http.script = [no_response] * 9
        asyncio.run(probe())
    assert not any(machine.given_up for machine in rig.model.machines.values())


def test_an_owner_that_alone_is_cut_off_redirects_workers_to_a_peer() -> None:
    rig, _, worker = verified_machine()
    rig.clock.time += rig.tunables.claim_ttl_s + 0.5
    assert rig.worker_manager.handle_heartbeat(worker.body()).status == 200, (
        "it may be an outage of the state service for all controllers"
    )
    rig.served_sibling = "n-1"
    reply = rig.worker_manager.handle_heartbeat(worker.body())
    assert (reply.status, reply.body) == (421, b'{"overseer":"n-1"}')


def test_a_moved_machine_keeps_no_tasks_of_its_former_shard() -> None:
    # Found in a run: the row of a halted task still named the machine, so the machine's new owner
    # launched the task there while the task's own shard started it elsewhere.
    rig = ControllerFixture(shards=2)
    rig.own(1)
    machine = rig.machine(shard=0)
    team = next(t.name for t in rig.model.teams if t.shard == 0)
    job = rig.job(owner=team, pieces=1)
    rig.page(0, rig.rows(job.id, (0, 1, "m-1")))
    assert machine.attempts
    rig.set("bs/m/g-m-1", [rig.row(shard=1)])
    assert not machine.attempts
    rig.claim(0)
    rig.membership.review()
    assert job.attempts == {}
    worker = Worker()
    assert commands_in(rig.report(worker)) == []
    assert commands_in(rig.report(worker)) == []


def test_a_machine_that_booted_long_after_its_rental_is_not_lost_at_once() -> None:
    # Found in operation: a machine that answered an inspection before its first heartbeat got
    # tasks, and was marked as lost before that heartbeat, because its lease was counted from the
    # time of its record.
    rig = ControllerFixture()
    rig.own()
    machine = rig.machine()
    worker = Worker()
    rig.clock.time += 25
    rig.lease()
    rig.http.script = [lambda _: Response(200, worker.body())]
    asyncio.run(rig.push(machine))
    assert machine.incarnation == 1
    assert rig.expire_leases() == []
    rig.advance(17)
    assert rig.expire_leases() == [machine]


def test_a_claim_read_before_the_pages_is_not_acted_on_until_the_load_ends() -> None:
    rig = ControllerFixture()
    rig.model.begin_load()
    rig.claim()
    rig.membership.review()
    assert not rig.model.shards[0].owned, (
        "tasks placed according to the pages would be placed again"
    )
    rig.model.end_load(rig.state.revision, set(rig.model.removable_keys()))
    rig.membership.review()
    assert rig.model.shards[0].owned


def test_an_eviction_is_repeated_if_its_owner_ended_before_the_stop() -> None:
    rig, _, worker = controller_with_machine()
    low = rig.job(job_id="job-000001", pieces=4)
    rig.plan()
    rig.run(rig.settle())
    for task in range(4):
        worker.hold(f"{low.id}/{task}")
    rig.report(worker)
    urgent = rig.job(job_id="job-000002", rank="high", pieces=2)
    rig.plan()
    assert sum(attempt.stopping for attempt in low.attempts.values()) == 2
    rig.run(rig.settle())
    # Only the placements are durable: the owner ends before it has sent the halts to the worker.
    new_owner = ControllerFixture(beside=rig, node="n-1")
    new_owner.sync()
    new_owner.membership.controller_lease.number = 2
    new_owner.claim(0, "n-1", 2)
    new_owner.membership.review()
    urgent_job = new_owner.model.job(urgent.id)
    assert urgent_job is not None and len(urgent_job.attempts) == 2
    for _ in range(5):
        new_owner.report(worker)
    low_job = new_owner.model.job(low.id)
    assert low_job is not None and low_job.live == 2
    assert {f"{urgent.id}/0", f"{urgent.id}/1"} <= set(worker.tasks), "they run in the freed room"


def test_a_halt_without_an_answer_is_sent_again_without_a_heartbeat() -> None:
    # If the halt were sent only once to a worker that reaches no controller, and that message were
    # lost, its cancelled tasks would run until its lease ends.
    rig = ControllerFixture()
    rig.own()
    machine = rig.machine()
    worker = Worker()
    rig.report(worker)
    attempt = rig.running(rig.job(pieces=1), 0, machine, worker)
    rig.report(worker)
    attempt.stopping = True
    rig.http.script = [no_response, worker.do]
    asyncio.run(rig.push(machine))
    assert commands_in(rig.http.sent[0][2]) == [("halt", TASK)]
    rig.clock.time += 1.1
    asyncio.run(rig.push(machine))
    assert commands_in(rig.http.sent[1][2]) == [("halt", TASK)]
    assert worker.tasks[TASK].phase == "exited"


@pytest.mark.parametrize("answers", [False, True])
def test_a_probe_that_ends_after_its_shard_changed_owners_changes_nothing(
    answers: bool,
) -> None:
    # Otherwise the previous owner would treat the machine as draining and, as the leader, would
    # neither use it nor return it.
    rig = ControllerFixture()
    rig.own()
    machine, worker = rig.machine(), Worker()
    rig.machine("m-2")
    other = Worker("m-2")
    rig.worker_manager.handle_heartbeat(worker.body())
    rig.advance(7.0)
    rig.report(other)

    def lose_shard_and_answer(message: dict[str, Any]) -> Response:
        rig.model.disown(rig.model.shards[0])
        return Response(200, worker.body()) if answers else no_response(message)

    async def probe() -> None:
        rig.http.script = [lose_shard_and_answer]
        rig.worker_manager.probe_unresponsive()
        await rig.settle()

    rig.run(probe())
    assert rig.http.sent, "the machine was probed"
    assert not (
        machine.draining
        or machine.given_up
        or machine.incarnation_without_heartbeats
        or machine.incarnation
    )
