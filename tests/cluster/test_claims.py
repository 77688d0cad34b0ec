"""Claims that are given up: a controller removes only its own, and does remove them."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
import pytest

from badgerseam.cluster.availability import UnavailableReason
from badgerseam.cluster.claims import REMOVAL_DEADLINE_S
from badgerseam.model.keys import LEADER_KEY, claim_key
from badgerseam.wire import state as wire
from tests.support.scripted_peers import ControllerFixture, Worker


def owner_in(fixture: ControllerFixture, key: str) -> str | None:
    entry = fixture.state.core.get(key)
    return None if entry is None else msgspec.json.decode(entry.value, type=wire.ClaimRecord).node


@pytest.mark.parametrize("write", ["a placement", "an end"])
@pytest.mark.parametrize("reviewed", [False, True])
def test_a_refused_write_does_not_remove_the_claim_of_the_next_owner(
    write: str, reviewed: bool
) -> None:
    # The claim is handed over in one step; the previous owner must not remove it afterwards.
    fixture = ControllerFixture()
    fixture.own()
    fixture.machine()
    worker = Worker()
    fixture.report(worker)
    fixture.job(pieces=1)
    fixture.plan()
    transact = fixture.state.compare_and_swap

    async def replace_claim_first(*args: Any) -> int:
        fixture.claim(node="n-1", lease=9)
        if reviewed:
            fixture.membership.review()
        fixture.state.compare_and_swap = transact  # type: ignore[method-assign]
        return await transact(*args)

    async def work() -> None:
        if write == "an end":
            await fixture.settle()
            fixture.report(worker)
            worker.finish("job-000001/0")
            fixture.report(worker)
            while not fixture.model.jobs_ending:
                await fixture.settle()
            fixture.clock.time += 1.0
        fixture.state.compare_and_swap = replace_claim_first  # type: ignore[assignment, method-assign]
        await fixture.settle(60)
        await asyncio.sleep(2.0)

    fixture.run(work())
    assert fixture.state.compare_and_swap is transact
    assert not fixture.model.shards[0].owned
    assert owner_in(fixture, claim_key(0)) == "n-1"


def test_a_task_end_that_is_refused_late_does_not_disown_a_reclaimed_shard() -> None:
    fixture = ControllerFixture()
    fixture.own()
    fixture.machine()
    worker = Worker()
    fixture.report(worker)
    fixture.job(pieces=1)
    fixture.plan()
    transact = fixture.state.compare_and_swap

    async def replace_claim_first(*args: Any) -> int:
        fixture.claim()
        fixture.membership.review()
        fixture.state.compare_and_swap = transact  # type: ignore[method-assign]
        return await transact(*args)

    async def work() -> None:
        await fixture.settle()
        fixture.report(worker)
        worker.finish("job-000001/0")
        fixture.report(worker)
        fixture.clock.time += 1.0
        fixture.state.compare_and_swap = replace_claim_first  # type: ignore[assignment, method-assign]
        await fixture.settle(60)

    fixture.run(work())
    assert fixture.state.compare_and_swap is transact
    assert fixture.model.shards[0].owned


@pytest.mark.parametrize("claim_kind", ["share", "leadership"])
def test_an_unavailable_controller_removes_its_claim_after_an_outage(claim_kind: str) -> None:
    # If it stopped retrying the removal, its lease would keep the claim in place: it takes no claim
    # itself, and the others could not take this one.
    fixture = ControllerFixture()
    fixture.own()
    fixture.set(LEADER_KEY, wire.ClaimRecord("n-0", 1, False, 0.0))
    fixture.membership.registration.unavailable_reasons.add(
        UnavailableReason.NO_HEARTBEATS
        if claim_kind == "share"
        else UnavailableReason.UNSUPPORTED_LEVEL
    )
    key = claim_key(0) if claim_kind == "share" else LEADER_KEY

    async def work() -> None:
        fixture.state.down = True
        if claim_kind == "share":
            fixture.membership.resign(fixture.model.shards[0])
        else:
            fixture.membership.resign_leadership()
        await asyncio.sleep(REMOVAL_DEADLINE_S + 1.5)
        assert owner_in(fixture, key) == "n-0"
        fixture.state.down = False
        await asyncio.sleep(1.5)
        assert owner_in(fixture, key) is None

    fixture.run(work())
