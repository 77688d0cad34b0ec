"""The diagnosis agrees with the plan on which tasks are placed and which predicates fail."""

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
def snapshots(draw: st.DrawFn, max_requests: int = 4) -> pts.Snapshot:
    machines = [draw(nodes(index)) for index in range(draw(st.integers(0, 4)))]
    pending = [draw(requests(job)) for job in range(draw(st.integers(1, max_requests)))]
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
    return snapshot(machines, *pending, teams=teams)


def findings(case: pts.Snapshot) -> dict[int, Finding]:
    return {finding.request.job: finding for finding in survey(case) if finding is not None}


@settings(max_examples=300, deadline=None, derandomize=True)
@given(snapshots())
def test_diagnosis_agrees_with_plan(case: pts.Snapshot) -> None:
    plan = pts.plan(case)
    for job, finding in findings(case).items():
        assert finding.placed == sum(start.job == job for start in plan.starts)
        assert (finding.infeasibility is None) == (finding.placed == finding.request.count)
        if finding.infeasibility is not None:
            # At least one predicate fails on each machine, or the plan would have placed more.
            assert finding.infeasibility.binding or finding.infeasibility.machines == 0
            assert (
                sum(finding.infeasibility.only_failing.values()) <= finding.infeasibility.machines
            )


def _without_predicates(case: pts.Snapshot, binding: Predicate) -> pts.Snapshot:
    """Relax the only request, its team and the machines so that `binding` no longer fails."""
    [job_request] = case.requests
    check = PredicateCheck(TentativeState(case, True), job_request, job_request.zone_counts)
    machines = list(case.nodes)
    for position, machine in enumerate(case.nodes):
        mask = Predicate(check.failed(machine))
        if mask & ~binding or not mask & (Predicate.SIZE | Predicate.FREE_CAPACITY):
            continue
        changed = machine.copy()
        changed.total = changed.total.plus(job_request.demand)
        changed.free = changed.free.plus(job_request.demand)
        machines[position] = changed
    rules = replace(
        job_request,
        types=None if Predicate.TYPE in binding else job_request.types,
        zone=None if Predicate.ZONE in binding else job_request.zone,
        spot=True if Predicate.SPOT in binding else job_request.spot,
        one_zone=False if Predicate.ONE_ZONE in binding else job_request.one_zone,
        zone_limit=None if Predicate.SCATTER in binding else job_request.zone_limit,
        avoided_machines=set() if Predicate.AVOIDED in binding else job_request.avoided_machines,
    )
    teams = dict(case.teams)
    if Predicate.LIMIT in binding:
        own = teams[job_request.team]
        teams[job_request.team] = pts.TeamUse(own.used, own.guarantee, Resources(INF, INF, INF))
    return replace(case, nodes=machines, requests=[rules], teams=teams)


@settings(max_examples=500, deadline=None, derandomize=True)
@given(snapshots(max_requests=1))
def test_removing_exactly_the_binding_predicates_lets_a_task_be_placed(case: pts.Snapshot) -> None:
    [job_request] = case.requests
    case.requests[0] = job_request = replace(job_request, count=1, gang=False)
    finding = findings(case)[job_request.job]
    if finding.infeasibility is None or not finding.infeasibility.machines:
        return
    assert pts.plan(_without_predicates(case, finding.infeasibility.binding)).starts
    for predicate in finding.infeasibility.binding:
        # The set is minimal: if any one predicate remains, nothing is placed.
        assert not pts.plan(
            _without_predicates(case, finding.infeasibility.binding & ~predicate)
        ).starts


def test_capacity_holders_and_expected_time_of_free_capacity() -> None:
    full = node(0, used=8, running=[victim(0, 4.0, 6.0, ends_at=30.0), victim(1, 4.0, 2.0)])
    findings_by_job = findings(
        snapshot([full, node(1, zone="b")], request(cpus=2, high=False, zone="a"))
    )
    infeasibility = findings_by_job[0].infeasibility
    assert infeasibility is not None
    assert infeasibility.binding in (Predicate.FREE_CAPACITY, Predicate.ZONE)
    assert infeasibility.counts == {Predicate.FREE_CAPACITY: 1, Predicate.ZONE: 1}
    assert infeasibility.capacity_in_s == 30.0
    [holder] = infeasibility.holders
    assert (holder.tasks, holder.capacity.cpus) == (2, 8.0)


def test_jobs_ahead_are_waiting_jobs_earlier_in_placement_order() -> None:
    full = node(0, used=8)
    pending = [request(job, 2, high=False, order=-float(job)) for job in range(8)]
    findings_by_job = findings(snapshot([full], *pending))
    assert findings_by_job[7].ahead == []
    assert findings_by_job[7].jobs_ahead == 0
    assert findings_by_job[0].ahead == [7, 6, 5, 4, 3]
    assert (findings_by_job[0].jobs_ahead, findings_by_job[0].tasks_ahead) == (7, 14)
    only = [f for f in survey(snapshot([full], *pending), {5}) if f is not None]
    assert [f.request.job for f in only] == [5], "the iteration ends after the last requested job"


def test_finding_of_gang_reports_how_many_tasks_were_placed() -> None:
    finding = findings(snapshot([node(0)], request(count=6, cpus=2, gang=True)))[0]
    assert (finding.placed, finding.reached) == (0, 4)
    assert finding.infeasibility is not None
    assert finding.infeasibility.binding == Predicate.FREE_CAPACITY


def test_team_limit_is_reported_without_any_machines() -> None:
    unlimited = Resources(INF, INF, INF)
    teams = {0: pts.TeamUse(NOTHING, NOTHING, Resources(1, 0, INF))}
    assert findings(snapshot([], request(), teams=teams))[0].infeasibility is not None
    teams = {0: pts.TeamUse(NOTHING, unlimited, unlimited)}
    finding = findings(snapshot([], request(), teams=teams))[0]
    assert finding.infeasibility is not None
    assert not finding.infeasibility.binding
