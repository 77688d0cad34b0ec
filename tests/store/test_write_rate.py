"""Allocation of the write rate by demand."""

from __future__ import annotations

import math

from hypothesis import given
from hypothesis import strategies as st

from badgerseam.http.budget import RateBudget
from badgerseam.model.keys import node_key
from badgerseam.store.write_rate import (
    ABSENT_FRACTION,
    MIN_FRACTION,
    WriteRateAllocator,
    rate_multiple,
)
from tests.support.scripted_peers import ControllerFixture

demand_lists = st.lists(
    st.one_of(st.floats(MIN_FRACTION, 3.0), st.just(math.inf), st.just(ABSENT_FRACTION)),
    min_size=1,
    max_size=5,
)


@given(demand_lists)
def test_rates_computed_from_the_same_demands_do_not_exceed_the_limit(demands: list[float]) -> None:
    rates = [rate_multiple(own, demands[:n] + demands[n + 1 :]) for n, own in enumerate(demands)]
    if any(demand > 1.0 for demand in demands):
        assert sum(rates) <= len(demands) + 1e-9
    for demand, rate in zip(demands, rates, strict=True):
        assert rate >= min(demand, 1.0) - 1e-9, "each gets its demand, up to its equal share"


def write(
    budget: RateBudget,
    fixture: ControllerFixture,
    allocator: WriteRateAllocator,
    seconds: float,
    rate: float,
) -> float:
    """Writes at this rate, as far as the budget allows, and returns the number of writes."""
    before = budget.taken
    for _ in range(round(seconds / 0.05)):
        fixture.clock.time += 0.05
        due = rate * 0.05
        while due > 1e-9 and budget.take(min(due, 1.0)):
            due -= min(due, 1.0)
        if fixture.clock.time % 0.2 < 0.05:
            allocator.review()
    return budget.taken - before


def allocator_with_budget() -> tuple[ControllerFixture, RateBudget, WriteRateAllocator]:
    fixture = ControllerFixture()
    budget = RateBudget(fixture.clock, 5.0)
    return fixture, budget, WriteRateAllocator(fixture.model, budget)


def test_a_burst_uses_the_unused_shares_of_idle_peers() -> None:
    fixture, budget, allocator = allocator_with_budget()
    for _ in range(4):
        allocator.on_peer_demand("n-1", 0.3)
        allocator.on_peer_demand("n-2", 0.4)
        used = write(budget, fixture, allocator, 1.0, 100.0)
    assert 10.0 < used <= 5.0 * (1 + 0.7 + 0.6) + 1.0
    assert allocator.demand > 1.0


def test_peers_without_a_recent_demand_keep_their_equal_share() -> None:
    # Peers that are cut off from this controller may have as much to write as it has.
    fixture, budget, allocator = allocator_with_budget()
    allocator.on_peer_demand("n-1", 0.3)
    allocator.on_peer_demand("n-2", None)
    fixture.clock.time += 3.0
    write(budget, fixture, allocator, 2.0, 100.0)
    assert write(budget, fixture, allocator, 4.0, 100.0) <= 4.0 * 5.0 + 1.0


def test_the_share_of_a_controller_that_has_ended_is_used_by_others() -> None:
    fixture, budget, allocator = allocator_with_budget()
    fixture.state.remove(node_key("n-2"))
    fixture.model.controllers.pop("n-2", None)
    allocator.on_peer_demand("n-1", 1.0)
    allocator.on_peer_demand("n-2", 1.0)
    assert write(budget, fixture, allocator, 2.0, 100.0) <= 3 * 5.0 + 1.0, (
        "the peer still reports its demand"
    )
    fixture.clock.time += 3.0
    for _ in range(4):
        allocator.on_peer_demand("n-1", 1.0)
        used = write(budget, fixture, allocator, 1.0, 100.0)
    assert 8.5 < used <= 5.0 * (2 - ABSENT_FRACTION) + 1.0


def test_an_unused_share_is_yielded_only_while_a_peer_needs_it() -> None:
    fixture, budget, allocator = allocator_with_budget()
    allocator.on_peer_demand("n-1", 0.3)
    allocator.on_peer_demand("n-2", 0.3)
    write(budget, fixture, allocator, 2.0, 0.5)
    assert budget.per_s == 5.0
    allocator.on_peer_demand("n-1", 3.0)
    write(budget, fixture, allocator, 1.0, 0.5)
    assert budget.per_s < 2.0
    write(budget, fixture, allocator, 1.0, 100.0)
    assert budget.per_s >= 5.0, "the next review restores the share when it is needed again"
