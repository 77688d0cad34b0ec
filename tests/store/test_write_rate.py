"""Changes a second, shared by need."""

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
    fair_parts,
)
from tests.support.scripted_peers import ControllerFixture

needs = st.lists(
    st.one_of(st.floats(MIN_FRACTION, 3.0), st.just(math.inf), st.just(ABSENT_FRACTION)),
    min_size=1,
    max_size=5,
)


@given(needs)
def test_parts_of_what_everybody_knows_add_up_to_all_there_is_at_most(asked: list[float]) -> None:
    given_out = [fair_parts(own, asked[:n] + asked[n + 1 :]) for n, own in enumerate(asked)]
    if any(need > 1.0 for need in asked):
        assert sum(given_out) <= len(asked) + 1e-9
    for need, got in zip(asked, given_out, strict=True):
        assert got >= min(need, 1.0) - 1e-9, "nobody gets less than an even part that is needed"


def spent(
    budget: RateBudget,
    rig: ControllerFixture,
    allotment: WriteRateAllocator,
    seconds: float,
    a_second: float,
) -> float:
    """Use so much a second, or what there is; what was used."""
    before = budget.taken
    for _ in range(round(seconds / 0.05)):
        rig.clock.time += 0.05
        owed = a_second * 0.05
        while owed > 1e-9 and budget.take(min(owed, 1.0)):
            owed -= min(owed, 1.0)
        if rig.clock.time % 0.2 < 0.05:
            allotment.review()
    return budget.taken - before


def site() -> tuple[ControllerFixture, RateBudget, WriteRateAllocator]:
    rig = ControllerFixture()
    budget = RateBudget(rig.clock, 5.0)
    return rig, budget, WriteRateAllocator(rig.model, budget)


def test_a_burst_gets_what_idle_siblings_leave() -> None:
    rig, budget, allotment = site()
    for _ in range(4):
        allotment.on_peer_demand("n-1", 0.3)
        allotment.on_peer_demand("n-2", 0.4)
        used = spent(budget, rig, allotment, 1.0, 100.0)
    assert 10.0 < used <= 5.0 * (1 + 0.7 + 0.6) + 1.0
    assert allotment.demand > 1.0


def test_without_their_word_siblings_keep_their_even_part() -> None:
    # Cut off from us, they may have as much to write as we have.
    rig, budget, allotment = site()
    allotment.on_peer_demand("n-1", 0.3)
    allotment.on_peer_demand("n-2", None)
    rig.clock.time += 3.0
    spent(budget, rig, allotment, 2.0, 100.0)
    assert spent(budget, rig, allotment, 4.0, 100.0) <= 4.0 * 5.0 + 1.0


def test_the_part_of_a_controller_that_has_ended_is_used() -> None:
    rig, budget, allotment = site()
    rig.state.remove(node_key("n-2"))
    rig.model.controllers.pop("n-2", None)
    allotment.on_peer_demand("n-1", 1.0)
    allotment.on_peer_demand("n-2", 1.0)
    assert spent(budget, rig, allotment, 2.0, 100.0) <= 3 * 5.0 + 1.0, "it still answers"
    rig.clock.time += 3.0
    for _ in range(4):
        allotment.on_peer_demand("n-1", 1.0)
        used = spent(budget, rig, allotment, 1.0, 100.0)
    assert 8.5 < used <= 5.0 * (2 - ABSENT_FRACTION) + 1.0


def test_what_is_not_needed_is_left_only_while_somebody_asks_for_it() -> None:
    rig, budget, allotment = site()
    allotment.on_peer_demand("n-1", 0.3)
    allotment.on_peer_demand("n-2", 0.3)
    spent(budget, rig, allotment, 2.0, 0.5)
    assert budget.per_s == 5.0
    allotment.on_peer_demand("n-1", 3.0)
    spent(budget, rig, allotment, 1.0, 0.5)
    assert budget.per_s < 2.0
    spent(budget, rig, allotment, 1.0, 100.0)
    assert budget.per_s >= 5.0, "needed again, it is there within a look"
