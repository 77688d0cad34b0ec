"""Late copies of heartbeats, sent to any controller, change nothing except completions."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from badgerseam.http.client import Response
from badgerseam.model.job import IDLE, Job, Stage
from badgerseam.model.keys import LEADER_KEY, group_key
from badgerseam.model.machine import Machine
from badgerseam.model.resources import NOTHING
from badgerseam.wire import state as wire
from tests.support.lossy_workers import TimedWorker, WorkerPool
from tests.support.scripted_peers import (
    ControllerFixture,
    Worker,
    controller_with_machine,
    no_response,
    submission,
)

TASK = "job-000001/0"


def protected_state(machine: Machine) -> tuple[Any, ...]:
    """The state that no copy of a heartbeat may change."""
    return (
        (
            machine.incarnation,
            machine.sequence,
            machine.last_heartbeat_at,
            machine.lease_renewed_at,
            machine.reclaim_at,
        ),
        (
            machine.highest_unsettled_token,
            machine.unsettled_incarnation,
            machine.acknowledged_token,
            machine.draining,
        ),
        (
            machine.missed_answers,
            machine.last_answer_token,
            machine.given_up,
            machine.response_open,
        ),
        len(machine.failed_jobs),
        [(a.name, a.number, a.stage, a.stopping, a.sent) for a in machine.attempts.values()],
    )


def failure_state(job: Job) -> tuple[int, int, float]:
    return job.errors, len(job.failed_on), job.retry_at


def taken_over(number: int = 1) -> tuple[ControllerFixture, Machine, Job, Worker]:
    """A shard with a task on a machine, taken over from n-1; the worker shows token 5 of n-1."""
    fixture = ControllerFixture()
    machine = fixture.machine()
    job = fixture.job(pieces=1)
    fixture.page(0, fixture.rows(job.id, (0, number, "m-1")))
    fixture.claim(node="n-1", lease=9)
    fixture.own()
    return fixture, machine, job, Worker(token=5)


@pytest.mark.parametrize("cause", ["halted", "error", "full"])
def test_an_unverified_heartbeat_ends_no_attempt(cause: str) -> None:
    # The heartbeat is outdated: the incarnation has ended since, and the earlier owner has launched
    # the same attempt again.
    fixture, machine, job, worker = taken_over()
    worker.hold(TASK)
    worker.finish(TASK, cause)
    copy = worker.body()
    worker.end_session()
    worker.hold(TASK)
    before = protected_state(machine), failure_state(job)
    fixture.checkin(copy)
    assert (protected_state(machine), failure_state(job)) == before
    assert job.attempts[0].machine is machine
    fixture.report(worker)
    assert job.attempts[0].stage == Stage.RUNNING


def test_an_unverified_heartbeat_still_shows_that_a_task_is_done() -> None:
    fixture, machine, job, worker = taken_over()
    worker.hold(TASK)
    worker.finish(TASK)
    fixture.checkin(worker.body())
    assert job.finished == 1
    assert machine.incarnation == 0


def test_an_unverified_heartbeat_shows_which_address_to_inspect() -> None:
    fixture, machine, job, worker = taken_over()
    worker.hold(TASK)
    machine.address = ""
    machine.next_push_at = fixture.clock.now() + 1.0
    fixture.checkin(worker.body())
    assert machine.index in fixture.model.machines_to_push
    fixture.http.script = [lambda _: Response(200, worker.body())]
    asyncio.run(fixture.push(machine))
    assert job.attempts[0].stage == Stage.RUNNING
    assert machine.incarnation == 1


def test_an_unverified_heartbeat_does_not_extend_the_recorded_lease() -> None:
    fixture, machine, _, worker = taken_over()
    fixture.advance(fixture.model.partition_bound_s + 10.0)
    until = machine.lease_renewed_at
    # Without an answer, the worker would try other controllers. It drops an answer with a lower
    # token, so its lease is not renewed.
    assert not worker.process_response(fixture.checkin(worker.body()))
    assert machine.lease_renewed_at == until
    fixture.advance(7.2)
    assert fixture.expire_leases() == [machine]


def test_a_copy_from_before_a_reap_does_not_restore_the_task() -> None:
    fixture, machine, worker = controller_with_machine()
    job = fixture.job(pieces=2)
    fixture.running(job, 0, machine, worker)
    fixture.report(worker)
    worker.finish(TASK, "error")
    copy = worker.body()
    fixture.checkin(copy)
    fixture.report(worker)
    fixture.report(worker)
    assert TASK not in worker.tasks
    before = protected_state(machine), failure_state(job)
    assert failure_state(job)[0] == 1
    assert fixture.checkin(copy)["orders"] == []
    assert (protected_state(machine), failure_state(job)) == before
    assert job.status[0] == IDLE


def test_a_copy_does_not_extend_the_recorded_lease_beyond_the_last_answer() -> None:
    # The machine is known only from the answer to an inspection; no heartbeat has been answered.
    fixture, machine, _, worker = taken_over()
    worker.hold(TASK)
    copy = worker.body()
    fixture.advance(fixture.model.partition_bound_s + 10.0)
    until = machine.lease_renewed_at = fixture.clock.now() - 5.0
    machine.incarnation, machine.sequence, machine.last_heartbeat_at = 1, 9, fixture.clock.now()
    assert not worker.process_response(fixture.checkin(copy)), (
        "even if it is not a copy, it must not renew the lease"
    )
    assert machine.lease_renewed_at == until


def test_a_copy_does_not_restore_a_reclaim_notice() -> None:
    fixture, machine, _, worker = taken_over()
    worker.notice_at = worker._clock.now() + 20.0
    copy = worker.body()
    worker.notice_at = None
    fixture.checkin(copy)
    assert machine.reclaim_at is None
    assert not machine.draining
    fixture.report(worker)
    fixture.checkin(copy)
    assert machine.reclaim_at is None


def test_an_overtaken_heartbeat_renews_the_lease_at_most_as_of_the_newer_answer() -> None:
    fixture, machine, worker = controller_with_machine()
    late_heartbeat = worker.body()
    fixture.clock.time += 1.0
    machine.acknowledged_token = 0
    machine.contacted = False
    machine.token_bump += 1
    fixture.http.script = [worker.do]
    asyncio.run(fixture.push(machine))
    direct_answer_at = machine.last_heartbeat_at
    assert direct_answer_at == fixture.clock.now()
    fixture.clock.time += 9.0
    fixture.lease()
    fixture.checkin(late_heartbeat)
    assert machine.lease_renewed_at == direct_answer_at, (
        "it was sent before the direct answer, so it renews the lease at most as of that answer"
    )
    machine.last_heartbeat_at += 1.0
    fixture.checkin(late_heartbeat)
    assert machine.lease_renewed_at == direct_answer_at, "a copy of an answered heartbeat"
    ended = worker.body()
    worker.end_session()
    machine.incarnation, machine.sequence = worker.session, worker.seq
    fixture.checkin(ended)
    assert machine.lease_renewed_at == direct_answer_at, "the worker drops the answer"


def test_a_copy_from_before_a_move_is_unverified_for_the_new_shard() -> None:
    fixture = ControllerFixture(shards=2)
    fixture.own(0)
    fixture.own(1)
    machine = fixture.machine()
    worker = Worker()
    fixture.report(worker)
    worker.hold(TASK)
    copy = worker.body()
    fixture.checkin(copy)
    worker.end_session()
    fixture.set(group_key("g-m-1"), [fixture.row(shard=1)])
    before = protected_state(machine)
    fixture.checkin(copy)
    assert protected_state(machine) == before
    assert machine.untracked_use == NOTHING
    fixture.report(worker)
    assert machine.incarnation == 2


def leading_controller() -> ControllerFixture:
    fixture = ControllerFixture()
    fixture.set(LEADER_KEY, wire.Claim("n-0", 1))
    fixture.own()
    return fixture


async def report_unregistered(fixture: ControllerFixture, worker: Worker) -> None:
    assert fixture.worker_manager.handle_heartbeat(worker.body()).status == 421
    await fixture.settle(6)


def test_a_released_machine_is_not_registered_again_by_a_late_copy() -> None:
    fixture = leading_controller()
    fixture.http.script = [no_response, lambda _: Response(200, Worker("m-8").body())]
    asyncio.run(report_unregistered(fixture, Worker("m-9")))
    assert not fixture.model.unregistered
    asyncio.run(report_unregistered(fixture, Worker("m-9")))
    assert not fixture.model.unregistered, "another machine has its address now"
    worker = Worker("m-9")
    fixture.http.script = [lambda _: Response(200, worker.body())]
    asyncio.run(report_unregistered(fixture, worker))
    assert list(fixture.model.unregistered) == ["m-9"]


def test_only_a_leader_inspects_machines_without_a_record() -> None:
    fixture = ControllerFixture()
    asyncio.run(report_unregistered(fixture, Worker("m-9")))
    assert not fixture.http.sent


# ---- generated histories ----


class HeartbeatReplay:
    """Two machines, two controllers that take over the machines' shard from each other, and copies
    of all heartbeats that the machines have sent."""

    def __init__(self) -> None:
        first = ControllerFixture()
        self.fixtures = [first, ControllerFixture(peer=first, node="n-1")]
        self.owner = 0
        first.own()
        self.pool = WorkerPool(["m-1", "m-2"], fixture=first)
        self.fixtures[1].sync()
        self.pool.join(self.fixtures[1])
        job_id = "job-000001"
        spec = submission(pieces=2)
        first.set(f"bs/j/{job_id}", wire.StoredJob("open", 2, first.clock.wall(), spec))
        self.running_on: dict[str, set[str]] = {}
        """Machines that run an attempt of each task."""
        self.twice: list[str] = []
        """A description of each case in which a task ran on two machines."""
        self.copies: list[tuple[str, bytes, bool]] = []
        """Machine, encoded heartbeat, and whether it has reached the owner."""
        for worker in self.pool.workers.values():
            worker._observer = self.on_task_event

    def on_task_event(self, event: str, machine: str, task: str, attempt: int) -> None:
        machines = self.running_on.setdefault(task, set())
        if event == "on":
            machines.add(machine)
            if len(machines) > 1:
                # An exception raised here would end in the background task of a command, unnoticed.
                self.twice.append(f"{task} runs on {sorted(machines)}")
        elif event != "launch":
            machines.discard(machine)

    @property
    def fixture(self) -> ControllerFixture:
        return self.fixtures[self.owner]

    async def step(self, seconds: float = 0.5) -> None:
        """Lets time pass; the owner plans, writes, and sends direct commands and inspections."""
        fixture = self.fixture
        fixture.clock.time += seconds
        for each in self.fixtures:
            each.sync()
            each.lease()
            each.membership.review()
            each.heartbeat_proxy.observe_peers()
        fixture.plan()
        await fixture.settle(6)
        fixture.worker_manager.expire_leases()
        for machine in list(fixture.model.machines.values()):
            fixture.worker_manager.push(machine)
        await fixture.settle(6)
        for worker in self.pool.workers.values():
            worker.advance()

    async def report(
        self, worker: TimedWorker, arrives: bool, answered: bool, to_owner: bool = True
    ) -> None:
        """Sends a heartbeat to the owner or to the other controller.

        `arrives`, `answered`: whether the heartbeat and its answer arrive.
        """
        body, session = worker.body(), worker.session
        self.copies.append((worker.identity.name, body, arrives and to_owner))
        if not arrives:
            return
        fixture = self.fixture if to_owner else self.fixtures[1 - self.owner]
        reply = fixture.worker_manager.handle_heartbeat(body)
        if answered and reply.status == 200:
            worker.take(reply, fixture.clock.now(), session)
        await self.step(0.0)

    async def replay_copy(self, number: int, to: int) -> None:
        """Sends a copy of an earlier heartbeat; it must change nothing except completions."""
        name, body, reached_owner = self.copies[number % len(self.copies)]
        fixture = self.fixtures[to]
        machine = fixture.model.machine(name)
        if machine is None:
            fixture.worker_manager.handle_heartbeat(body)
            return
        heartbeat: dict[str, int] = msgspec.json.decode(body)
        position = (heartbeat["tenure"], heartbeat["tick"])
        is_late = position > machine.answered_heartbeat and machine.is_current_token(
            heartbeat["warrant"]
        )
        is_late = is_late or (
            position > (machine.incarnation, machine.sequence) and machine.incarnation > 0
        )
        if fixture.model.shards[0].owned and is_late and not reached_owner:
            # It is newer than all heartbeats that have reached this owner, so it is the late
            # original and not a copy.
            return
        jobs = [job for job in fixture.model.jobs if job is not None]
        completed = sum(job.finished for job in jobs)
        before = protected_state(machine), [failure_state(job) for job in jobs]
        fixture.worker_manager.handle_heartbeat(body)
        if sum(job.finished for job in jobs) == completed:
            assert (protected_state(machine), [failure_state(job) for job in jobs]) == before

    async def take_over(self) -> None:
        self.owner = 1 - self.owner
        fixture = self.fixture
        fixture.sync()
        fixture.claim(0, fixture.membership.node)
        await self.step(0.0)
        assert fixture.model.shards[0].owned

    async def act(self, op: int, which: int, number: int) -> None:
        worker = list(self.pool.workers.values())[-which]
        if op <= 2:
            await self.step(0.5 + number % 4)
            await self.report(worker, True, True)
        elif op == 3:
            await self.report(worker, number % 2 == 0, False, number % 3 > 0)
        elif op == 4:
            worker.receives_commands = not worker.receives_commands
        elif op == 5:
            await self.take_over()
        elif op == 6:
            worker.end_session()
        elif op == 7:
            active = [attempt for attempt in worker.tasks.values() if attempt.phase != "exited"]
            if active:
                worker.finish(active[0].task, ["done", "error", "error"][number % 3])
        elif op == 8 and number > 45 and which:
            # The machine is released: its worker ends, then its record is removed.
            worker.end_session()
            self.pool.workers.pop("m-2", None)
            self.fixture.set(group_key("g-m-2"), [])
        elif op == 8:
            # Several such steps let a lease, and the time bounds of earlier owners, expire.
            await self.step(6.0)
        elif self.copies:
            await self.replay_copy(number, which)


OPS = st.tuples(st.integers(0, 14), st.integers(0, 1), st.integers(0, 60))


@settings(derandomize=True, deadline=None, max_examples=60, database=None)
@given(st.lists(OPS, min_size=20, max_size=60))
def test_copied_heartbeats_start_no_task_twice_and_change_no_protected_state(
    history: list[tuple[int, int, int]],
) -> None:
    async def play() -> None:
        replay = HeartbeatReplay()
        for worker in replay.pool.workers.values():
            await replay.report(worker, True, True)
            await replay.report(worker, True, True)
        await replay.step()
        for op, which, number in history:
            await replay.act(op, which, number)
            assert not replay.twice

    asyncio.run(play())
