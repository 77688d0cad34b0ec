"""Safety rules for commands, worker leases and takeovers.

Each test fails if the check that it names is removed.
"""

from __future__ import annotations

import asyncio
import logging
from typing import Any

import msgspec
import pytest

from badgerseam.http.client import Response
from badgerseam.model.job import IDLE, Phase, Stage
from badgerseam.model.machine import (
    BUMP_BITS,
    MAX_DIRECT_TOKEN_BUMP,
    MAX_TOKEN_BUMP,
    Machine,
)
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
    fixture, machine, worker = controller_with_machine()
    fixture.report(worker)
    return fixture, machine, worker


def test_no_task_is_launched_before_its_placement_is_durable() -> None:
    fixture, _, worker = verified_machine()
    fixture.job(pieces=1)
    fixture.plan()
    assert commands_in(fixture.report(worker)) == []
    asyncio.run(fixture.settle())
    assert commands_in(fixture.report(worker)) == [("launch", TASK)]


def test_an_unanswered_launch_is_fenced_before_its_task_is_placed_elsewhere() -> None:
    fixture, machine, worker = verified_machine()
    job = fixture.job(pieces=1)
    attempt = fixture.model.place(job, 0, 1, machine, Stage.PLACED)
    before = machine.fencing_token
    fixture.http.script = [no_response]
    asyncio.run(fixture.push(machine))
    launch_request = fixture.http.sent[0][2]
    attempt.stopping = True
    # The heartbeat does not list the task, but the launch may still arrive.
    response = fixture.checkin(worker.body())
    assert response["warrant"] > before
    assert job.attempts, "the launch can still be executed"
    worker.process_response(response)
    assert not worker.process_response(launch_request), "the worker has shown the higher token"
    fixture.report(worker)
    assert not job.attempts


def test_a_command_whose_connection_was_refused_is_settled() -> None:
    fixture, machine, _ = verified_machine()
    fixture.model.place(fixture.job(pieces=1), 0, 1, machine, Stage.PLACED)
    token = machine.fencing_token
    fixture.http.script = [refused]
    asyncio.run(fixture.push(machine))
    assert machine.fencing_token == token
    assert machine.commands_settled


def test_an_older_heartbeat_does_not_undo_a_newer_one() -> None:
    fixture, machine, worker = verified_machine()
    job = fixture.job(pieces=1)
    old = worker.body()
    attempt = fixture.running(job, 0, machine, worker)
    fixture.report(worker)
    attempt.stopping = True
    assert commands_in(fixture.checkin(old)) == []
    assert job.attempts[0] is attempt
    assert attempt.stage == Stage.RUNNING


def test_absence_in_a_direct_answer_does_not_count_while_a_response_is_in_flight() -> None:
    # The response with the launch may be delayed while a direct command is answered, so a task that
    # the direct answer does not list may still be started.
    fixture, machine, worker = verified_machine()
    job = fixture.job(pieces=1)
    attempt = fixture.model.place(job, 0, 1, machine, Stage.PLACED)
    delayed = fixture.checkin(worker.body())
    assert commands_in(delayed) == [("launch", TASK)]
    attempt.stopping = True
    machine.reported_tasks["job-000009/0"] = msgspec.convert(
        {"piece": "job-000009/0", "try": 1, "phase": "running"}, TaskStatus
    )
    fixture.http.script = [worker.do]
    asyncio.run(fixture.push(machine))
    assert fixture.http.sent
    assert job.attempts, "the response with the launch is still in flight"
    worker.process_response(delayed)
    assert TASK in worker.tasks


def test_done_is_durable_before_the_worker_may_reap() -> None:
    fixture, machine, worker = verified_machine()
    job = fixture.job(pieces=2)
    fixture.running(job, 0, machine, worker)
    fixture.report(worker)
    worker.finish(TASK)
    assert commands_in(fixture.report(worker)) == []
    fixture.clock.time += 5
    asyncio.run(fixture.settle())
    assert commands_in(fixture.report(worker)) == [("reap", TASK)]


def test_nothing_is_reaped_while_a_launch_may_be_in_flight() -> None:
    # After a reap the worker has no record of the attempt, so a late launch would start it again.
    fixture, machine, worker = verified_machine()
    job = fixture.job(pieces=2)
    fixture.running(job, 0, machine, worker)
    worker.finish(TASK)
    fixture.report(worker)
    fixture.clock.time += 5
    asyncio.run(fixture.settle())
    machine.highest_unsettled_token = machine.fencing_token
    machine.token_bump += 1
    assert commands_in(fixture.report(worker)) == []
    assert commands_in(fixture.report(worker)) == [("reap", TASK)]


def test_a_new_owner_concludes_nothing_from_absence_before_its_token_is_shown() -> None:
    fixture = ControllerFixture()
    machine = fixture.machine()
    job = fixture.job(pieces=1)
    fixture.page(0, fixture.rows(job.id, (0, 1, "m-1")))
    fixture.claim(node="n-1", lease=9)
    term = fixture.own()
    assert machine.fencing_token >> 24 == term
    worker = Worker(token=5)
    attempt = job.attempts[0]
    attempt.stopping = True
    fixture.http.script = [lambda _: Response(200, worker.body())]
    asyncio.run(fixture.push(machine))
    fixture.report(worker)
    assert job.attempts, "a command of the previous owner may still be executed"
    fixture.report(worker)
    assert not job.attempts


def test_a_machine_is_lost_only_after_its_lease() -> None:
    fixture, machine, worker = verified_machine()
    job = fixture.job(pieces=1)
    fixture.running(job, 0, machine, worker)
    fixture.report(worker)
    fixture.advance(14.0)
    assert fixture.expire_leases() == []
    fixture.advance(3.0)
    assert fixture.expire_leases() == [machine]
    assert job.status[0] == IDLE
    # The machine resumes. Its tasks count as ended, so its lease must not be renewed.
    assert fixture.worker_manager.handle_heartbeat(worker.body()).status == 503


def test_a_new_owner_allows_for_the_time_a_partitioned_owner_may_renew_leases() -> None:
    fixture = ControllerFixture()
    machine = fixture.machine()
    job = fixture.job(pieces=1)
    fixture.page(0, fixture.rows(job.id, (0, 1, "m-1")))
    fixture.claim(node="n-1", lease=9)
    fixture.own()
    fixture.advance(14.0 + fixture.model.partition_bound_s)
    assert fixture.expire_leases() == []
    fixture.advance(3.0)
    assert fixture.expire_leases() == [machine]


def test_an_owner_that_is_cut_off_stops_answering_heartbeats() -> None:
    fixture, _, worker = verified_machine()
    workers = fixture.settings.params.workers
    bound = fixture.model.partition_bound_s
    assert bound + workers.lease_s + 2 < workers.cancel_s
    fixture.clock.time += bound - 0.1
    assert fixture.worker_manager.handle_heartbeat(worker.body()).status == 200
    fixture.clock.time += 0.2
    assert fixture.worker_manager.handle_heartbeat(worker.body()).status == 503


def test_a_moved_machine_gets_a_higher_term() -> None:
    fixture = ControllerFixture(shards=2)
    fixture.own(0)
    fixture.own(1)
    machine = fixture.machine(shard=0)
    before = machine.fencing_token
    version = fixture.set("bs/m/g-m-1", [fixture.row(shard=1)])
    assert machine.shard == 1
    assert machine.fencing_token > before
    assert machine.fencing_token >> 24 == version


def test_a_cancelled_task_is_halted_and_counts_as_usage_until_it_has_ended() -> None:
    fixture, machine, worker = verified_machine()
    job = fixture.job(pieces=1)
    fixture.running(job, 0, machine, worker)
    fixture.report(worker)
    assert asyncio.run(fixture.ledger.cancel(job.id)) == Phase.CANCELLED
    assert fixture.model.usage(job.team).cpus == 2.0
    response = fixture.report(worker)
    assert commands_in(response) == [("halt", TASK)]
    assert fixture.model.usage(job.team).cpus == 2.0
    fixture.report(worker)
    assert fixture.model.usage(job.team).cpus == 0.0
    assert fixture.model.job(job.id) is None


def test_a_new_owner_halts_tasks_that_were_cancelled_before_its_start() -> None:
    # Found while searching for faults: a cancellation just before a restart was read during the
    # initial load, and the tasks of the cancelled job kept running.
    fixture = ControllerFixture()
    fixture.machine()
    spec = submission(pieces=1)
    fixture.model.begin_load()
    fixture.set("bs/j/job-000001", wire.StoredJob("withdrawn", 1, 0.0, spec))
    fixture.page(0, fixture.rows("job-000001", (0, 1, "m-1")))
    fixture.model.end_load(fixture.state.revision, set(fixture.state.data))
    fixture.own()
    worker = Worker()
    worker.hold(TASK)
    assert commands_in(fixture.report(worker)) == [("halt", TASK)]


def test_unknown_tasks_on_a_machine_are_halted_and_count_as_used() -> None:
    fixture, machine, worker = verified_machine()
    job = fixture.job(pieces=1)
    worker.hold(TASK, 7)
    response = fixture.checkin(worker.body())
    assert commands_in(response) == [("halt", TASK)]
    assert machine.planned_use() == job.demand


def test_a_heartbeat_to_the_wrong_controller_is_redirected() -> None:
    fixture = ControllerFixture(shards=2)
    fixture.claim(1, node="n-1", lease=4)
    fixture.machine(shard=1)
    reply = fixture.worker_manager.handle_heartbeat(Worker().body())
    assert (reply.status, reply.body) == (421, b'{"overseer":"n-1"}')


def test_a_launch_waits_until_its_victims_have_ended() -> None:
    fixture, machine, worker = verified_machine()
    low = fixture.job(pieces=4)
    for task in range(4):
        fixture.running(low, task, machine, worker)
    fixture.report(worker)
    high = fixture.job(job_id="job-000002", pieces=1, rank="high", cpus=4.0)
    fixture.plan()
    asyncio.run(fixture.settle())
    assert len(high.attempts) == 1
    response = fixture.report(worker)
    assert [verb for verb, _ in commands_in(response)] == ["halt", "halt"]
    assert ("launch", "job-000002/0") in commands_in(fixture.report(worker))


def test_a_superseded_owner_redirects_the_worker() -> None:
    # With a 200, the worker would keep sending its heartbeats here, drop every response and lose
    # its lease.
    fixture, _, worker = verified_machine()
    worker.token = fixture.model.machines[0].fencing_token + (1 << 24)
    assert fixture.worker_manager.handle_heartbeat(worker.body()).status == 421


def test_a_worker_learns_the_new_owners_token_before_its_next_heartbeat() -> None:
    fixture = ControllerFixture()
    machine = fixture.machine()
    fixture.claim(node="n-1", lease=9)
    fixture.own()
    worker = Worker()
    fixture.http.script = [lambda _: Response(200, worker.body()), worker.do]
    asyncio.run(fixture.push(machine))
    asyncio.run(fixture.push(machine))
    assert worker.token == machine.fencing_token
    assert machine.commands_settled


def test_an_overdue_machine_is_given_up_only_if_others_in_its_zone_report() -> None:
    fixture, machine, worker = verified_machine()
    job = fixture.job(pieces=1)
    fixture.running(job, 0, machine, worker)
    fixture.report(worker)

    async def probe() -> None:
        fixture.worker_manager.probe_unresponsive()
        await fixture.settle(6)

    fixture.clock.time += 7
    fixture.lease()
    fixture.http.script = [no_response]
    asyncio.run(probe())
    assert not machine.given_up, "this controller may be the one that is cut off"
    fixture.machine("m-2")
    other = Worker("m-2")
    fixture.report(other)
    fixture.report(other)
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
    fixture, _, worker = verified_machine()
    reporting_elsewhere = Worker("m-0", zone="b")
    fixture.machine("m-0", zone="b")
    others = [Worker(f"m-{number}") for number in range(2, 8)]
    for other in others:
        fixture.machine(other.identity.name)

    async def probe() -> None:
        fixture.worker_manager.probe_unresponsive()
        await fixture.settle(6)

    fixture.report(worker)
    for other in others:
        fixture.clock.time += 0.3
        fixture.report(other)
    for _ in range(60):
        fixture.clock.time += 0.2
        fixture.lease()
        fixture.report(reporting_elsewhere)
        fixture.http.script = [no_response] * 9
        asyncio.run(probe())
    assert not any(machine.given_up for machine in fixture.model.machines.values())


def test_an_owner_that_alone_is_cut_off_redirects_workers_to_a_peer() -> None:
    fixture, _, worker = verified_machine()
    fixture.clock.time += fixture.tunables.claim_ttl_s + 0.5
    assert fixture.worker_manager.handle_heartbeat(worker.body()).status == 200, (
        "it may be an outage of the state service for all controllers"
    )
    fixture.served_sibling = "n-1"
    reply = fixture.worker_manager.handle_heartbeat(worker.body())
    assert (reply.status, reply.body) == (421, b'{"overseer":"n-1"}')


def test_a_moved_machine_keeps_no_tasks_of_its_former_shard() -> None:
    # Found in a run: the row of a halted task still named the machine, so the machine's new owner
    # launched the task there while the task's own shard started it elsewhere.
    fixture = ControllerFixture(shards=2)
    fixture.own(1)
    machine = fixture.machine(shard=0)
    team = next(t.name for t in fixture.model.teams if t.shard == 0)
    job = fixture.job(owner=team, pieces=1)
    fixture.page(0, fixture.rows(job.id, (0, 1, "m-1")))
    assert machine.attempts
    fixture.set("bs/m/g-m-1", [fixture.row(shard=1)])
    assert not machine.attempts
    fixture.claim(0)
    fixture.membership.review()
    assert job.attempts == {}
    worker = Worker()
    assert commands_in(fixture.report(worker)) == []
    assert commands_in(fixture.report(worker)) == []


def test_a_machine_that_booted_long_after_its_rental_is_not_lost_at_once() -> None:
    # Found in operation: a machine that answered an inspection before its first heartbeat got
    # tasks, and was marked as lost before that heartbeat, because its lease was counted from the
    # time of its record.
    fixture = ControllerFixture()
    fixture.own()
    machine = fixture.machine()
    worker = Worker()
    fixture.clock.time += 25
    fixture.lease()
    fixture.http.script = [lambda _: Response(200, worker.body())]
    asyncio.run(fixture.push(machine))
    assert machine.incarnation == 1
    assert fixture.expire_leases() == []
    fixture.advance(17)
    assert fixture.expire_leases() == [machine]


def test_a_claim_read_before_the_pages_is_not_acted_on_until_the_load_ends() -> None:
    fixture = ControllerFixture()
    fixture.model.begin_load()
    fixture.claim()
    fixture.membership.review()
    assert not fixture.model.shards[0].owned, (
        "tasks placed according to the pages would be placed again"
    )
    fixture.model.end_load(fixture.state.revision, set(fixture.model.removable_keys()))
    fixture.membership.review()
    assert fixture.model.shards[0].owned


def test_an_eviction_is_repeated_if_its_owner_ended_before_the_stop() -> None:
    fixture, _, worker = controller_with_machine()
    low = fixture.job(job_id="job-000001", pieces=4)
    fixture.plan()
    fixture.run(fixture.settle())
    for task in range(4):
        worker.hold(f"{low.id}/{task}")
    fixture.report(worker)
    urgent = fixture.job(job_id="job-000002", rank="high", pieces=2)
    fixture.plan()
    assert sum(attempt.stopping for attempt in low.attempts.values()) == 2
    fixture.run(fixture.settle())
    # Only the placements are durable: the owner ends before it has sent the halts to the worker.
    new_owner = ControllerFixture(peer=fixture, node="n-1")
    new_owner.sync()
    new_owner.membership.controller_lease.number = 2
    new_owner.claim(0, "n-1", 2)
    new_owner.membership.review()
    urgent_job = new_owner.model.job(urgent.id)
    assert urgent_job is not None
    assert len(urgent_job.attempts) == 2
    for _ in range(5):
        new_owner.report(worker)
    low_job = new_owner.model.job(low.id)
    assert low_job is not None
    assert low_job.live == 2
    assert {f"{urgent.id}/0", f"{urgent.id}/1"} <= set(worker.tasks), "they run in the freed room"


def test_a_halt_without_an_answer_is_sent_again_without_a_heartbeat() -> None:
    # If the halt were sent only once to a worker that reaches no controller, and that message were
    # lost, its cancelled tasks would run until its lease ends.
    fixture = ControllerFixture()
    fixture.own()
    machine = fixture.machine()
    worker = Worker()
    fixture.report(worker)
    attempt = fixture.running(fixture.job(pieces=1), 0, machine, worker)
    fixture.report(worker)
    attempt.stopping = True
    fixture.http.script = [no_response, worker.do]
    asyncio.run(fixture.push(machine))
    assert commands_in(fixture.http.sent[0][2]) == [("halt", TASK)]
    fixture.clock.time += 1.1
    asyncio.run(fixture.push(machine))
    assert commands_in(fixture.http.sent[1][2]) == [("halt", TASK)]
    assert worker.tasks[TASK].phase == "exited"


@pytest.mark.parametrize("answers", [False, True])
def test_a_probe_that_ends_after_its_shard_changed_owners_changes_nothing(
    answers: bool,
) -> None:
    # Otherwise the previous owner would treat the machine as draining and, as the leader, would
    # neither use it nor return it.
    fixture = ControllerFixture()
    fixture.own()
    machine, worker = fixture.machine(), Worker()
    fixture.machine("m-2")
    other = Worker("m-2")
    fixture.worker_manager.handle_heartbeat(worker.body())
    fixture.advance(7.0)
    fixture.report(other)

    def lose_shard_and_answer(message: dict[str, Any]) -> Response:
        fixture.model.disown(fixture.model.shards[0])
        return Response(200, worker.body()) if answers else no_response(message)

    async def probe() -> None:
        fixture.http.script = [lose_shard_and_answer]
        fixture.worker_manager.probe_unresponsive()
        await fixture.settle()

    fixture.run(probe())
    assert fixture.http.sent, "the machine was probed"
    assert not (machine.draining)
    assert not (machine.given_up)
    assert not (machine.incarnation_without_heartbeats)
    assert not (machine.incarnation)


# ---- copies of answered launches ----


def launched_directly() -> tuple[ControllerFixture, Machine, Worker, dict[str, Any]]:
    """A machine with a running task, and the answered message that launched it."""
    fixture, machine, worker = verified_machine()
    fixture.model.place(fixture.job(pieces=1), 0, 1, machine, Stage.PLACED)
    fixture.http.script = [worker.do]
    asyncio.run(fixture.push(machine))
    fixture.report(worker)
    return fixture, machine, worker, fixture.http.sent[0][2]


def test_the_message_with_a_reap_fences_the_launch_of_the_attempt() -> None:
    fixture, _, worker, launch = launched_directly()
    assert worker.do(launch).status == 200, "a copy has no effect while the attempt is known"
    worker.finish(TASK, "error")
    response = fixture.checkin(worker.body())
    assert commands_in(response) == [("reap", TASK)]
    assert response["warrant"] > launch["warrant"]
    worker.process_response(response)
    assert worker.do(launch).status == 409
    assert TASK not in worker.tasks


def test_a_reap_without_a_direct_launch_before_does_not_raise_the_token() -> None:
    fixture, machine, worker = verified_machine()
    fixture.model.place(fixture.job(pieces=1), 0, 1, machine, Stage.PLACED)
    token = machine.fencing_token
    assert commands_in(fixture.report(worker)) == [("launch", TASK)]
    worker.finish(TASK, "error")
    assert commands_in(fixture.report(worker)) == [("reap", TASK)]
    assert machine.fencing_token == token


def test_absence_does_not_count_while_a_copy_of_the_launch_can_be_executed() -> None:
    fixture, machine, worker = verified_machine()
    job = fixture.job(pieces=1)
    attempt = fixture.model.place(job, 0, 2, machine, Stage.PLACED)
    # The worker refuses the launch without a trace, since it has another attempt of the task.
    worker.hold(TASK, 1)
    fixture.http.script = [worker.do]
    asyncio.run(fixture.push(machine))
    launch = fixture.http.sent[0][2]
    assert commands_in(launch) == [("launch", TASK)]
    worker.tasks.clear()
    attempt.stopping = True
    response = fixture.checkin(worker.body())
    assert job.attempts, "a copy of the launch would start the attempt"
    assert response["warrant"] > launch["warrant"]
    worker.process_response(response)
    assert worker.do(launch).status == 409
    fixture.report(worker)
    assert not job.attempts


def test_absence_in_a_later_incarnation_counts_at_once() -> None:
    fixture, _, worker, launch = launched_directly()
    job = fixture.model.job("job-000001")
    assert job is not None
    job.attempts[0].stopping = True
    worker.end_session()
    fixture.report(worker)
    assert not job.attempts
    assert worker.do(launch).status == 409


def test_the_token_never_reaches_that_of_a_later_term() -> None:
    fixture, machine, worker, _ = launched_directly()
    machine.token_bump = MAX_DIRECT_TOKEN_BUMP
    fixture.report(worker)
    fixture.model.place(fixture.job(job_id="job-000002", pieces=1), 0, 1, machine, Stage.PLACED)
    fixture.http.sent.clear()
    asyncio.run(fixture.push(machine))
    assert not fixture.http.sent, "direct commands would need further raises"
    assert ("launch", "job-000002/0") in commands_in(fixture.checkin(worker.body()))
    machine.token_bump = MAX_TOKEN_BUMP
    machine.raise_token()
    assert machine.fencing_token < (machine.term + 1) << BUMP_BITS


def test_the_log_tells_how_a_reaped_task_could_start_again(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(Machine, "fence_launches", lambda _machine: None)
    fixture, machine, worker, launch = launched_directly()
    worker.finish(TASK, "error")
    fixture.report(worker)
    fixture.clock.time += 2.0
    worker.do(launch)
    token = machine.fencing_token
    with caplog.at_level(logging.INFO, logger="badgerseam.workers"):
        fixture.report(worker)
        fixture.report(worker)
    (line,) = [e.getMessage() for e in caplog.records if "active again" in e.getMessage()]
    assert f"launch=direct,token:{token},age_s:2.00" in line
    assert f"reap=response,token:{token},age_s:2.00" in line


def test_a_copy_of_a_launch_is_refused_after_its_machine_was_moved_and_moved_back() -> None:
    fixture = ControllerFixture(shards=2)
    fixture.own(0)
    fixture.own(1)
    machine = fixture.machine(shard=0)
    worker = Worker()
    fixture.report(worker)
    fixture.report(worker)
    job = fixture.job(pieces=1)
    fixture.model.place(job, 0, 1, machine, Stage.PLACED)
    fixture.http.script = [worker.do]
    asyncio.run(fixture.push(machine))
    worker.finish(TASK, "error")
    fixture.report(worker)
    for shard in (1, 0):
        fixture.set("bs/m/g-m-1", [fixture.row(shard=shard)])
    assert machine.shard == 0
    assert worker.do(fixture.http.sent[0][2]).status == 409
    assert not worker.tasks


def test_a_machine_whose_tokens_are_used_up_is_still_inspected_after_an_unanswered_command() -> (
    None
):
    fixture, machine, worker, _ = launched_directly()
    fixture.http.script = [no_response]
    fixture.model.place(fixture.job(job_id="job-000002", pieces=1), 0, 1, machine, Stage.PLACED)
    machine.token_bump = MAX_DIRECT_TOKEN_BUMP - 1
    asyncio.run(fixture.push(machine))
    assert machine.push_failures == 1
    assert not machine.accepts_direct_commands
    fixture.clock.time += 2.0
    fixture.lease()
    fixture.http.script = [lambda _: Response(200, worker.body())]
    asyncio.run(fixture.push(machine))
    assert machine.push_failures == 0, "no work is placed on it otherwise"
