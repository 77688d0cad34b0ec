"""Durable first, whatever becomes of a transaction."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from badgerseam.model.job import FINISHED, IDLE, Phase, Stage
from badgerseam.store.client import Refused, Unavailable
from badgerseam.store.committer import Committer, Urgency
from badgerseam.wire import state as wire
from badgerseam.wire.state import Write, raw
from tests.stand_ins import FakeClock, FakeState, Rig, Worker, settings, submission


def test_a_repeated_submission_is_accepted_once() -> None:
    rig = Rig()
    spec = submission()
    assert rig.run(rig.ledger.accept(spec)) == Phase.OPEN
    version = rig.state.version("bs/j/job-000001")
    assert rig.run(rig.ledger.accept(spec)) == Phase.OPEN
    assert rig.state.version("bs/j/job-000001") == version


def test_an_acceptance_without_an_answer_is_found_again() -> None:
    rig = Rig()
    rig.state.script = ["silent"]
    assert rig.run(rig.ledger.accept(submission())) == Phase.OPEN
    assert rig.model.job("job-000001") is not None


def test_a_submission_that_cannot_be_made_durable_is_refused_soon() -> None:
    rig = Rig()
    rig.state.down = True

    with pytest.raises(Unavailable):
        rig.run(rig.ledger.accept(submission()))
    assert rig.model.job("job-000001") is None


def test_a_late_placement_of_an_owner_before_is_refused() -> None:
    rig = Rig()
    rig.own()
    rig.machine()
    rig.report(Worker())
    job = rig.job(pieces=1)
    rig.plan()
    rig.state.script = ["late", "503", "503", "503"]

    async def cut() -> None:
        await rig.settle(4)

    asyncio.run(cut())
    rig.claim(node="n-1", lease=9)
    rig.member.review()
    assert not job.attempts, "what was not durable is forgotten with the share"
    [failed] = rig.state.deliver()
    assert failed == ["bs/c/0"]


def test_a_placement_without_an_answer_is_resolved_by_sending_it_again() -> None:
    rig = Rig()
    rig.own()
    rig.machine()
    rig.report(Worker())
    job = rig.job(pieces=1)
    rig.plan()
    rig.state.script = ["silent"]

    async def work() -> None:
        while job.attempts[0].stage == Stage.PLANNED:
            await rig.settle()

    rig.run(work())
    assert job.attempts[0].stage == Stage.PLACED
    assert job.chunks[0].version == rig.state.version("bs/p/job-000001/0")


def test_a_placement_loses_against_a_cancellation_from_elsewhere() -> None:
    rig = Rig()
    rig.own()
    machine = rig.machine()
    rig.report(Worker())
    job = rig.job(pieces=1)
    rig.plan()
    spec = submission(pieces=1)
    rig.state.put("bs/j/job-000001", wire.StoredJob("withdrawn", 1, 0.0, spec))
    asyncio.run(rig.settle(30))
    assert job.phase == Phase.WITHDRAWN
    assert not machine.attempts


def test_a_placement_loses_against_a_moved_machine() -> None:
    rig = Rig(shares=2)
    rig.own(0)
    rig.machine()
    rig.report(Worker())
    team = next(t.name for t in rig.model.teams if t.share == 0)
    job = rig.job(owner=team, pieces=1)
    rig.plan()
    rig.state.put("bs/m/m-1", wire.StoredMachine(1, "c8", "a", False, "", 0.0))
    asyncio.run(rig.settle(30))
    assert not job.attempts
    assert job.status[0] == IDLE


def test_a_job_is_done_when_all_tasks_are_and_stays_so() -> None:
    rig = Rig()
    rig.own()
    machine = rig.machine()
    worker = Worker()
    rig.report(worker)
    job = rig.job(pieces=2)
    for task in range(2):
        rig.running(job, task, machine, worker)
    rig.report(worker)
    worker.finish("job-000001/0")
    rig.report(worker)
    rig.clock.time += 5
    asyncio.run(rig.settle())
    assert job.phase == Phase.OPEN
    worker.finish("job-000001/1")
    rig.report(worker)
    asyncio.run(rig.settle())
    assert rig.model.ended["job-000001"] == (Phase.DONE, 2)
    assert rig.run(rig.ledger.cancel("job-000001")) == Phase.DONE
    value = wire.raw(wire.StoredJob("open", 2, 0.0, submission(pieces=2)))
    rig.model.apply("bs/j/job-000001", value, 3)
    assert rig.model.ended["job-000001"] == (Phase.DONE, 2)


def test_large_jobs_lie_in_several_values_within_the_limit() -> None:
    rig = Rig()
    rig.own()
    job = rig.job(pieces=100_000)
    machine = rig.machine("m-" + "9" * 12)
    for task in range(job.chunk_size):
        rig.model.place(job, task, 1_000_000, machine, Stage.PLACED)
    value = raw(job.encode_chunk(0))
    assert len(bytes(value)) <= rig.settings.params.state.value_kb * 1024
    assert job.chunk_of(99_999) > 100


def test_a_cold_start_rebuilds_everything_from_the_state_service() -> None:
    first = Rig()
    first.own()
    machine = first.machine()
    worker = Worker()
    first.report(worker)
    job = first.job(pieces=3)
    first.running(job, 0, machine, worker)
    first.report(worker)
    worker.finish("job-000001/0")
    first.report(worker)
    first.clock.time += 5
    first.plan()
    asyncio.run(first.settle())
    again = Rig()
    again.model.begin_load()
    for key in sorted(first.state.data):
        value, version, _ = first.state.data[key]
        again.model.apply(key, value, version)
    again.model.end_load(first.state.revision, set(first.state.data))
    copy = again.model.job("job-000001")
    assert copy is not None
    assert copy.status[0] == FINISHED
    assert {t: a.number for t, a in copy.attempts.items()} == {1: 1, 2: 1}
    assert again.model.usage(copy.team).cpus == 4.0


def test_quota_counts_tasks_in_doubt_after_a_cold_start() -> None:
    rig = Rig()
    rig.machine()
    spec = submission(pieces=2)
    withdrawn = wire.StoredJob("withdrawn", 2, 0.0, spec)
    rows = wire.StoredTasks("0", [wire.TaskRow(0, 1, "m-1")])
    rig.model.begin_load()
    rig.model.apply("bs/j/job-000001", wire.raw(withdrawn), 50)
    rig.model.apply("bs/p/job-000001/0", wire.raw(rows), 49)
    rig.model.end_load(60, {"bs/j/job-000001", "bs/p/job-000001/0", "bs/m/m-1"})
    assert rig.model.usage(rig.model.team_index["red"]).cpus == 2.0


def test_group_commit_parts_a_refused_proposal_from_the_others() -> None:
    clock = FakeClock()
    state = FakeState(clock, settings().params.state)
    state.put("x", 1)
    committer = Committer(clock, state)  # type: ignore[arg-type]

    async def write(key: str) -> int:
        return await committer.commit(
            Urgency.USER, {key: 0}, [Write(put=key, value=msgspec.Raw(b"1"))]
        )

    async def work() -> list[int | BaseException]:
        return await asyncio.gather(*(write(key) for key in "abcdxef"), return_exceptions=True)

    outcomes = asyncio.run(work())
    assert isinstance(outcomes[4], Refused)
    assert all(isinstance(outcome, int) for i, outcome in enumerate(outcomes) if i != 4)
    assert state.transactions < 7
