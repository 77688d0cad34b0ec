"""The diagnosis against the plan: what it says fits is placed, what it names is what stops."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from badgerseam.model.resources import NOTHING, Resources
from badgerseam.sched import pts
from badgerseam.sched.diagnosis import Finding, survey
from badgerseam.sched.predicates import Predicate, PredicateCheck
from badgerseam.sched.tentative_state import TentativeState
from tests.sched.test_pts import node, request, snapshot, victim

INF = float("inf")


@st.composite
def nodes(draw: st.DrawFn, index: int) -> pts.MachineSnapshot:
    running: list[pts.RunningTask] = []
    free = 8.0
    for task in range(draw(st.integers(0, 3))):
        cpus = draw(st.sampled_from([1.0, 2.0, 4.0]))
        if cpus <= free:
            free -= cpus
            rank = draw(st.integers(0, 3))
            running.append(
                victim(
                    index * 10 + task,
                    draw(st.sampled_from([1.0, 30.0])),
                    cpus,
                    rank=rank,
                    team=draw(st.integers(0, 1)),
                    high=rank >= 2,
                    is_evictable=draw(st.booleans()),
                )
            )
    return node(
        index,
        used=8 - free,
        type=draw(st.sampled_from(["c8", "g8"])),
        zone=draw(st.sampled_from(["a", "b"])),
        spot=draw(st.booleans()),
        running=running,
    )


@st.composite
def requests(draw: st.DrawFn, job: int) -> pts.Request:
    rank = draw(st.integers(0, 3))
    return request(
        job,
        draw(st.integers(1, 6)),
        draw(st.sampled_from([1.0, 2.0, 4.0, 9.0])),
        rank >= 2,
        rank=rank,
        team=draw(st.integers(0, 1)),
        types=draw(st.sampled_from([None, frozenset(["c8"]), frozenset(["x1"])])),
        zone=draw(st.sampled_from([None, None, "a"])),
        one_zone=draw(st.booleans()),
        zone_limit=draw(st.sampled_from([None, 1, 2])),
        spot=draw(st.booleans()),
        zone_counts=draw(st.sampled_from([{}, {"a": 1}, {"b": 2}])),
        avoided_machines=draw(st.sampled_from([set(), {0}, {0, 1}])),
        gang=draw(st.booleans()),
        wait_s=draw(st.sampled_from([None, 1.0])),
        image_gb=2.0,
    )


@st.composite
def snapshots(draw: st.DrawFn, most: int = 4) -> pts.Snapshot:
    machines = [draw(nodes(index)) for index in range(draw(st.integers(0, 4)))]
    asked = [draw(requests(job)) for job in range(draw(st.integers(1, most)))]
    teams = {
        team: pts.TeamUse(
            Resources(
                sum(r.demand.cpus for m in machines for r in m.running if r.team == team), 0, 0
            ),
            Resources(draw(st.sampled_from([0.0, 8.0])), 0, INF),
            Resources(draw(st.sampled_from([4.0, 12.0, 64.0])), 0, INF),
        )
        for team in (0, 1)
    }
    return snapshot(machines, *asked, teams=teams)


def findings(given: pts.Snapshot) -> dict[int, Finding]:
    return {found.request.job: found for found in survey(given) if found is not None}


@settings(max_examples=300, deadline=None, derandomize=True)
@given(snapshots())
def test_what_is_said_to_fit_is_what_the_plan_places(given: pts.Snapshot) -> None:
    plan = pts.plan(given)
    for job, found in findings(given).items():
        assert found.placed == sum(start.job == job for start in plan.starts)
        assert (found.infeasibility is None) == (found.placed == found.request.count)
        if found.infeasibility is not None:
            # Some predicate failed on each machine, or the plan would have gone on.
            assert found.infeasibility.binding or found.infeasibility.machines == 0
            assert sum(found.infeasibility.alone.values()) <= found.infeasibility.machines


def _without(given: pts.Snapshot, binding: Predicate) -> pts.Snapshot:
    """The same without the predicates named: of the only request, its team, and the machines."""
    [asked] = given.requests
    check = PredicateCheck(TentativeState(given, True), asked, asked.zone_counts)
    machines = list(given.nodes)
    for place, machine in enumerate(given.nodes):
        mask = Predicate(check.failed(machine))
        if mask & ~binding or not mask & (Predicate.SIZE | Predicate.FREE_CAPACITY):
            continue
        changed = machine.copy()
        changed.total = changed.total.plus(asked.demand)
        changed.free = changed.free.plus(asked.demand)
        machines[place] = changed
    rules = replace(
        asked,
        types=None if Predicate.TYPE in binding else asked.types,
        zone=None if Predicate.ZONE in binding else asked.zone,
        spot=True if Predicate.SPOT in binding else asked.spot,
        one_zone=False if Predicate.ONE_ZONE in binding else asked.one_zone,
        zone_limit=None if Predicate.SCATTER in binding else asked.zone_limit,
        avoided_machines=set() if Predicate.AVOIDED in binding else asked.avoided_machines,
    )
    teams = dict(given.teams)
    if Predicate.LIMIT in binding:
        own = teams[asked.team]
        teams[asked.team] = pts.TeamUse(own.used, own.guarantee, Resources(INF, INF, INF))
    return replace(given, nodes=machines, requests=[rules], teams=teams)


@settings(max_examples=500, deadline=None, derandomize=True)
@given(snapshots(most=1))
def test_without_the_binding_bars_and_nothing_else_a_task_is_placed(given: pts.Snapshot) -> None:
    [asked] = given.requests
    given.requests[0] = asked = replace(asked, count=1, gang=False)
    found = findings(given)[asked.job]
    if found.infeasibility is None or not found.infeasibility.machines:
        return
    assert pts.plan(_without(given, found.infeasibility.binding)).starts
    for predicate in found.infeasibility.binding:
        # Each of them is needed: with one of them left, nothing is placed.
        assert not pts.plan(_without(given, found.infeasibility.binding & ~predicate)).starts


def test_who_uses_the_capacity_and_when_it_should_free() -> None:
    full = node(0, used=8, running=[victim(0, 4.0, 6.0, ends_at=30.0), victim(1, 4.0, 2.0)])
    found = findings(snapshot([full, node(1, zone="b")], request(cpus=2, high=False, zone="a")))
    infeasibility = found[0].infeasibility
    assert infeasibility is not None
    assert infeasibility.binding in (Predicate.FREE_CAPACITY, Predicate.ZONE)
    assert infeasibility.counts == {Predicate.FREE_CAPACITY: 1, Predicate.ZONE: 1}
    assert infeasibility.capacity_in_s == 30.0
    [holder] = infeasibility.holders
    assert (holder.tasks, holder.capacity.cpus) == (2, 8.0)


def test_jobs_ahead_are_those_that_wait_before_it_in_the_plans_order() -> None:
    full = node(0, used=8)
    asks = [request(job, 2, high=False, order=-float(job)) for job in range(8)]
    found = findings(snapshot([full], *asks))
    assert found[7].ahead == []
    assert found[7].jobs_ahead == 0
    assert found[0].ahead == [7, 6, 5, 4, 3]
    assert (found[0].jobs_ahead, found[0].tasks_ahead) == (7, 14)
    only = [f for f in survey(snapshot([full], *asks), {5}) if f is not None]
    assert [f.request.job for f in only] == [5], "the walk ends behind the last one asked"


def test_a_gang_tells_how_far_it_came() -> None:
    found = findings(snapshot([node(0)], request(count=6, cpus=2, gang=True)))[0]
    assert (found.placed, found.reached) == (0, 4)
    assert found.infeasibility is not None
    assert found.infeasibility.binding == Predicate.FREE_CAPACITY


def test_a_team_without_any_machine_is_told_of_its_limit_as_well() -> None:
    unlimited = Resources(INF, INF, INF)
    teams = {0: pts.TeamUse(NOTHING, NOTHING, Resources(1, 0, INF))}
    assert findings(snapshot([], request(), teams=teams))[0].infeasibility is not None
    teams = {0: pts.TeamUse(NOTHING, unlimited, unlimited)}
    found = findings(snapshot([], request(), teams=teams))[0]
    assert found.infeasibility is not None
    assert not found.infeasibility.binding
