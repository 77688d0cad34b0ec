"""What is written depends on the site's level: a page composed before a raise fails after it, and
starts of attempts are written only where the level has them."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from badgerseam.lab import state as lab_state
from badgerseam.levels.table import LEVELS, ProgramLevels
from badgerseam.model.job import Stage
from badgerseam.model.keys import LEVEL_KEY, page_key
from badgerseam.store.committer import ProposalRejectedError, Urgency
from badgerseam.wire import state as wire
from tests.support.scripted_peers import ControllerFixture

# ---- fencing ----


def own_with_planned_task(rig: ControllerFixture) -> str:
    """A task that is planned on a machine, with its page not written yet."""
    rig.own()
    machine = rig.machine()
    job = rig.job()
    rig.model.place(job, 0, 1, machine, Stage.PLANNED)
    return machine.name


def test_a_page_composed_before_a_raise_fails_after_it_and_is_composed_again() -> None:
    rig = ControllerFixture()
    own_with_planned_task(rig)
    rig.state.script = ["late"]
    writes = []

    async def story() -> None:
        rig.ledger.flush()
        while not rig.state.late:
            await asyncio.sleep(0)
        # The raise overtakes the transaction, to which there is no response.
        record = wire.SiteLevel(2, "n-1", 0.0)
        rig.state.put(LEVEL_KEY, record)
        outcomes = rig.state.deliver()
        writes.extend(outcomes)
        for _ in range(60):
            await rig.settle(1)
            await asyncio.sleep(0.005)

    rig.run(story())
    assert writes == [[LEVEL_KEY]], "applied late it fails, by the level alone"
    assert rig.model.level.level == 2, "and the owner has read the new level"
    page = rig.model.pages[0][0]
    assert page.version == rig.state.version(page_key(0, 0)) > rig.model.level.version
    attempt = rig.model.job("job-000001").attempts[0]  # type: ignore[union-attr]
    assert attempt.stage == Stage.PLACED, "no planned attempt is lost"


def test_nothing_is_composed_at_an_unsupported_level() -> None:
    """The ledger may learn of the level from a refusal before the state watcher does."""
    rig = ControllerFixture(program=ProgramLevels(LEVELS[:1]))
    own_with_planned_task(rig)
    rig.state.put(LEVEL_KEY, wire.SiteLevel(2, "n-1", 0.0))

    async def story() -> None:
        for _ in range(60):
            await rig.settle(1)
            await asyncio.sleep(0.005)

    rig.run(story())
    assert rig.state.version(page_key(0, 0)) == 0
    assert not rig.model.is_supported


def test_every_page_is_conditional_on_the_level_and_within_the_limits_of_a_transaction() -> None:
    rig = ControllerFixture()
    rig.own()
    for number in range(60):
        machine = rig.machine(f"m-{number}")
        job = rig.job(job_id=f"job-{number:06d}")
        rig.model.place(job, 0, 1, machine, Stage.PLANNED)
    seen: list[int] = []
    execute = rig.state.core.execute

    def checked(conditions: list[wire.Condition], then: list[wire.Write]) -> int:
        rig.state.core._check(conditions, then)
        if any((write.put or "").startswith("bs/p/") for write in then):
            seen.append(len(conditions))
            assert LEVEL_KEY in [condition.key for condition in conditions]
        return execute(conditions, then)

    rig.state.core.execute = checked  # type: ignore[method-assign]
    asyncio.run(rig.settle(60))
    assert seen and max(seen) > 12


# ---- starts of attempts ----


def test_a_new_owner_knows_when_an_attempt_started() -> None:
    rig = ControllerFixture()
    rig.set(LEVEL_KEY, wire.SiteLevel(2, "n-1", 0.0))
    own_with_planned_task(rig)
    asyncio.run(rig.settle())
    job = rig.model.job("job-000001")
    assert job is not None
    attempt = job.attempts[0]
    attempt.stage, attempt.started_at = Stage.RUNNING, rig.clock.now()
    rig.clock.time += 25.0

    async def rewrite() -> None:
        rig.lease()
        assert rig.ledger.refresh(rig.model.shards[0], 0)
        await rig.settle()

    asyncio.run(rewrite())
    assert rig.model.pages[0][0].jobs["job-000001"].starts == [(0, 0)]
    rig.clock.time += 5.0
    # Another controller takes the shard over.
    other = ControllerFixture(beside=rig, node="n-1")
    other.sync()
    successor_job = other.model.job("job-000001")
    assert successor_job is not None
    assert not successor_job.attempts[0].inherited
    assert other.clock.now() - successor_job.attempts[0].started_at == pytest.approx(30.0, abs=0.11)


def test_an_older_program_that_writes_a_page_loses_the_starts_and_nothing_else() -> None:
    """The first level's form is what all programs wrote before there were levels."""
    text = b'["job-000001",[],[[0,1,"m-1"]],[[0,17]]]'
    newer: wire.JobRows = msgspec.json.decode(text, type=wire.JobRows)
    assert newer.starts == [(0, 17)]
    older: wire.JobRows = msgspec.json.decode(b'["job-000001",[],[[0,1,"m-1"]]]', type=wire.JobRows)
    assert older.rows == newer.rows and older.starts == []


def test_at_the_first_level_no_start_is_written() -> None:
    rig = ControllerFixture()
    own_with_planned_task(rig)
    asyncio.run(rig.settle())
    job = rig.model.job("job-000001")
    assert job is not None
    job.attempts[0].stage, job.attempts[0].started_at = Stage.RUNNING, rig.clock.now()
    rig.clock.time += 25.0
    rig.lease()

    async def rewrite() -> None:
        assert rig.ledger.refresh(rig.model.shards[0], 0)
        await rig.settle()

    asyncio.run(rewrite())
    assert rig.model.pages[0][0].jobs["job-000001"].starts == []


def test_a_page_without_space_for_starts_is_left_as_it_is() -> None:
    """Found in a benchmark: a page filled without starts was refreshed beyond what a
    value may have, the state service refused it for ever, and with it all writes of the
    controller: as the leader, it rented and released nothing for 80 s."""
    rig = ControllerFixture()
    rig.set(LEVEL_KEY, wire.SiteLevel(2, "n-1", 0.0))
    rig.own()
    machine = rig.machine("m-" + "0" * 20)
    job = rig.job(pieces=400)
    for task in range(400):
        rig.model.place(job, task, 1, machine, Stage.PLANNED)
    asyncio.run(rig.settle(40))
    for attempt in job.attempts.values():
        attempt.stage, attempt.started_at = Stage.RUNNING, rig.clock.now()
    rig.clock.time += 25_000.0
    rig.lease()
    sizes = {n: len(bytes(rig.state.data[page_key(0, n)][0])) for n in rig.model.pages[0]}
    fullest = max(sizes, key=lambda number: sizes[number])
    assert sizes[fullest] > 6500
    assert not rig.ledger.refresh(rig.model.shards[0], fullest)
    assert not rig.model.shards[0].committing, "the shard can be written"


def test_a_malformed_proposal_blocks_no_other() -> None:
    rig = ControllerFixture()
    huge = wire.Write(put="bs/x/1", value=wire.raw("x" * 9000))
    good = wire.Write(put="bs/x/2", value=wire.raw("y"))

    async def story() -> list[object]:
        return await asyncio.gather(
            *(rig.committer.commit(Urgency.PLACE, {}, [write]) for write in (huge, good)),
            return_exceptions=True,
        )

    outcomes = rig.run(story())
    assert isinstance(outcomes[0], ProposalRejectedError)
    assert outcomes[1] == rig.state.version("bs/x/2") > 0


def test_the_plan_of_a_page_rejected_as_malformed_is_undone() -> None:
    rig = ControllerFixture()
    own_with_planned_task(rig)
    check = rig.state.core._check

    def refuse(conditions: list[wire.Condition], then: list[wire.Write]) -> None:
        if any((write.put or "").startswith("bs/p/") for write in then):
            raise lab_state.MalformedRequestError("for a test")
        check(conditions, then)

    rig.state.core._check = refuse  # type: ignore[method-assign]
    asyncio.run(rig.settle(30))
    job = rig.model.job("job-000001")
    assert job is not None and not job.attempts and job.waiting() == job.tasks
    assert not rig.model.shards[0].committing
