"""Proposals are sent in order of urgency, but less urgent ones do not wait indefinitely."""

from __future__ import annotations

import asyncio
from typing import Any

from badgerseam.model.job import Stage
from badgerseam.model.keys import LEADER_KEY, group_key
from badgerseam.store.committer import GroupCommitter, Urgency
from badgerseam.store.ledger import END_PROMOTION_S
from badgerseam.wire import state as wire
from badgerseam.wire.state import Write
from tests.support.scripted_peers import ControllerFixture


def put(key: str) -> list[Write]:
    return [Write(put=key, value=wire.raw(1))]


async def run_event_loop(rounds: int = 30) -> None:
    for _ in range(rounds):
        await asyncio.sleep(0)


def test_a_placement_is_sent_before_an_earlier_final_record_until_that_is_promoted() -> None:
    rig = ControllerFixture()
    rig.state.write_budget.charge(rig.state.write_budget.available())
    committer: GroupCommitter = rig.committer

    async def scenario() -> None:
        end = asyncio.ensure_future(
            committer.commit(Urgency.DONE, {}, put("bs/j/1"), promote_after_s=0.02)
        )
        place = asyncio.ensure_future(committer.commit(Urgency.PLACE, {}, put("bs/p/0/0")))
        await run_event_loop()
        rig.clock.time += 0.0011  # Refills the budget by one write.
        committer._send_ready()
        await run_event_loop()
        assert place.done() and not end.done()
        rig.clock.time += 0.02
        await asyncio.sleep(0.03)
        assert end.done(), "it is as urgent as a placement now, so that no reserve applies to it"

    rig.run(scenario())


def test_a_proposal_that_is_promoted_in_flight_is_sent_once() -> None:
    rig = ControllerFixture()
    rig.state.script = ["503"]

    async def scenario() -> None:
        end = rig.committer.commit(Urgency.UPKEEP, {}, put("bs/j/1"), promote_after_s=0.0)
        task = asyncio.ensure_future(end)
        for _ in range(100):
            await asyncio.sleep(0.002)
            rig.clock.time += 0.02
            if task.done():
                break
        assert task.done()

    rig.run(scenario())
    assert rig.state.transactions == 2, "refused once and retried once"


def test_a_promotion_does_not_resend_a_proposal_in_flight() -> None:
    rig = ControllerFixture()
    gate = asyncio.Event()
    execute = rig.state.compare_and_swap
    sent = 0

    async def delayed(*arguments: Any) -> int:
        nonlocal sent
        sent += 1
        await gate.wait()
        return await execute(*arguments)

    rig.state.compare_and_swap = delayed  # type: ignore[assignment,method-assign]

    async def scenario() -> None:
        rig.state.write_budget.charge(rig.state.write_budget.available())
        commit = rig.committer.commit(Urgency.PLACE, {}, put("bs/p/0/0"), promote_after_s=0.0)
        task = asyncio.ensure_future(commit)
        await asyncio.sleep(0.01)
        rig.clock.time += 1.0
        for _ in range(4):
            rig.committer._send_ready()
            await run_event_loop()
        assert sent == 1 and not task.done()
        gate.set()
        await task

    rig.run(scenario())


def test_final_records_of_many_small_jobs_do_not_delay_a_placement() -> None:
    # Without different urgencies, the final records of single-task jobs of the lowest priority,
    # some four a second, would use up the write budget before the placements of other jobs.
    rig = ControllerFixture()
    rig.own()
    machine = rig.machine()
    for number in range(20):
        job = rig.job(id=f"job-{number:06}", pieces=1, rank="best_effort")
        rig.model.finish(rig.model.place(job, 0, 1, machine, Stage.RUNNING), rig.clock.now() + 99.0)
    urgent = rig.job(id="job-000100", pieces=1)

    async def scenario() -> None:
        budget = rig.state.write_budget
        budget.charge(budget.available())
        rig.ledger.flush()
        await run_event_loop()
        attempt = rig.model.place(urgent, 0, 1, machine, Stage.PLANNED)
        rig.clock.time += 0.0021
        rig.ledger.flush()
        rig.committer._send_ready()
        await run_event_loop()
        assert attempt.stage == Stage.PLACED
        assert sum(job is not None and job.ending for job in rig.model.jobs) == 20
        for _ in range(60):
            rig.clock.time += 0.5
            rig.committer._send_ready()
            await run_event_loop()
        assert not any(job is not None and job.ending for job in rig.model.jobs)

    rig.run(scenario())
    assert END_PROMOTION_S < 3.0, "users poll 3 s after the end"


def test_deferred_row_removals_are_included_in_the_next_write_of_their_group() -> None:
    rig = ControllerFixture()
    rig.own()
    rig.set(LEADER_KEY, wire.Claim("n-0", 1))
    rig.set(group_key("g"), [rig.row("m-1"), rig.row("m-2"), rig.row("m-3")])
    observed = rig.model.leader_claim
    assert observed is not None
    claim = (LEADER_KEY, observed.version)
    first, second, third = (rig.model.machine(f"m-{n}") for n in (1, 2, 3))
    assert first is not None and second is not None and third is not None

    async def scenario() -> None:
        # No write budget to spare.
        rig.state.write_budget.charge(rig.state.write_budget.available() - 300.0)
        deferred = asyncio.ensure_future(
            rig.machine_records.change([first], lambda _row: None, claim, lambda: True, 60.0)
        )
        await asyncio.sleep(0.05)
        assert not deferred.done()
        before = rig.state.transactions
        done = await rig.machine_records.change([second], lambda _row: None, claim, lambda: True)
        assert done == {"m-2"} and await deferred == {"m-1"}
        assert rig.state.transactions == before + 1
        alone = asyncio.ensure_future(
            rig.machine_records.change([third], lambda _row: None, claim, lambda: True, 1.0)
        )
        await asyncio.sleep(0.01)
        rig.state.write_budget.charge(rig.state.write_budget.available() - 300.0)
        assert not alone.done()
        rig.clock.time += 1.1
        await asyncio.sleep(0.4)
        assert await alone == {"m-3"}, "it does not wait for another write indefinitely"

    rig.run(scenario())
    assert not rig.model.machines
