"""PTS meets the criteria of the paper, on hand-written and random snapshots."""

from __future__ import annotations

from random import Random
from typing import Any

from badgerseam.model.resources import NOTHING, Resources
from badgerseam.sched import pts
from badgerseam.sched.preemption import eviction_cost, victims_on
from badgerseam.sched.scoring import machine_score
from badgerseam.sched.tentative_state import TentativeState

INF = float("inf")


def node(index: int, total: float = 8, used: float = 0, **fields: Any) -> pts.MachineSnapshot:
    size = Resources(total, 0, 64)
    defaults: dict[str, Any] = {
        "type": "c8",
        "zone": "a",
        "spot": False,
        "high_slots": 0.0,
        "low_slots": 0.0,
        "evictions": 0,
        "images": set(),
        **fields,
    }
    return pts.MachineSnapshot(
        index, total=size, free=size.minus(Resources(used, 0, 0)), **defaults
    )


def request(
    job: int = 0, count: int = 1, cpus: float = 2, high: bool = True, **fields: Any
) -> pts.Request:
    defaults: dict[str, Any] = {
        "rank": 2 if high else 1,
        "team": 0,
        "types": None,
        "zone": None,
        "one_zone": False,
        "zone_limit": None,
        "spot": True,
        "image": "img",
        "zone_counts": {},
        "avoided_machines": set(),
        "order": float(job),
        **fields,
    }
    return pts.Request(job, count, Resources(cpus, 0, 1), high=high, **defaults)


def victim(task: int, waste: float, cpus: float = 2, **fields: Any) -> pts.RunningTask:
    defaults: dict[str, Any] = {"rank": 1, "team": 0, "is_evictable": True, **fields}
    # The snapshot's time is 0.
    return pts.RunningTask(
        (9, task), Resources(cpus, 0, 1), running_since=-waste / cpus, checkpoint_s=0.0, **defaults
    )


def snapshot(
    nodes: list[pts.MachineSnapshot], *requests: pts.Request, **fields: Any
) -> pts.Snapshot:
    unlimited = Resources(INF, INF, INF)
    teams = fields.pop("teams", {0: pts.TeamUse(NOTHING, unlimited, unlimited)})
    defaults: dict[str, Any] = {
        "finished": 10,
        "evicted": 0,
        "beta": 0.5,
        "window_s": 60.0,
        **fields,
    }
    return pts.Snapshot(nodes, list(requests), teams, **defaults)


def placed(plan: pts.Plan) -> list[int]:
    return [start.node for start in plan.starts]


def test_fullest_fitting_machine_is_preferred() -> None:
    nodes = [node(0, used=2), node(1, used=5), node(2, used=7)]
    assert placed(pts.plan(snapshot(nodes, request()))) == [1]


def test_ties_in_fullness_are_broken_by_priority_share_then_evictions() -> None:
    nodes = [node(0, used=4, low_slots=4), node(1, used=4, high_slots=4)]
    assert placed(pts.plan(snapshot(nodes, request(high=True)))) == [1]
    nodes = [node(0, used=4, low_slots=4), node(1, used=4, high_slots=4)]
    assert placed(pts.plan(snapshot(nodes, request(high=False)))) == [0]
    nodes = [node(0, used=4, evictions=1), node(1, used=4, evictions=3)]
    assert placed(pts.plan(snapshot(nodes, request(high=True)))) == [1]
    nodes = [node(0, used=4, evictions=1), node(1, used=4, evictions=3)]
    assert placed(pts.plan(snapshot(nodes, request(high=False)))) == [0]


def test_remaining_ties_prefer_machine_with_image() -> None:
    nodes = [node(0), node(1, images={"img"})]
    assert placed(pts.plan(snapshot(nodes, request()))) == [1]


def test_low_priority_request_waits_and_does_not_evict_own_team() -> None:
    full = node(0, used=8, low_slots=8, running=[victim(0, 1.0, rank=0)])
    result = pts.plan(snapshot([full], request(high=False, rank=1)))
    assert (result.starts, result.stops, result.waiting) == ([], [], {0: 1})


def test_high_priority_evicts_at_least_cost_and_spares_greatest_waste() -> None:
    cheap = node(0, used=8, low_slots=8, running=[victim(0, 50.0), victim(1, 4.0), victim(2, 6.0)])
    expensive = node(1, used=8, low_slots=8, running=[victim(3, 20.0), victim(4, 30.0)])
    result = pts.plan(snapshot([expensive, cheap], request(cpus=4)))
    assert placed(result) == [0]
    assert sorted(stop.key for stop in result.stops) == [(9, 1), (9, 2)]


def test_eviction_cost_matches_equation_14() -> None:
    full = node(0, total=10, used=10, low_slots=10, running=[victim(0, 12.0)])
    result = pts.plan(snapshot([full], request(), finished=6, evicted=2))
    [stop] = result.stops
    assert abs(stop.cost - (3 / 9 + 0.5 * 12.0 / (10 * 60.0))) < 1e-9


def test_gang_is_placed_all_or_none() -> None:
    full = node(0, used=8, low_slots=8, running=[victim(0, 1.0), victim(1, 1.0)])
    gang = request(count=3, gang=True)
    result = pts.plan(snapshot([full], gang))
    assert (result.starts, result.stops) == ([], [])
    assert result.waiting == {0: 3}
    assert len(full.running) == 2
    assert full.idle_slots == 0


def test_team_reclaims_guarantee_from_borrowing_team() -> None:
    teams = {
        0: pts.TeamUse(NOTHING, Resources(4, 0, INF), Resources(8, 0, INF)),
        1: pts.TeamUse(Resources(8, 0, 8), Resources(6, 0, INF), Resources(8, 0, INF)),
    }
    borrower = node(0, used=8, low_slots=8, running=[victim(t, 1.0, team=1) for t in range(4)])
    result = pts.plan(snapshot([borrower], request(count=3, high=False), teams=teams))
    # Only usage beyond the other team's own guarantee is reclaimed.
    assert len(result.stops) == 1
    assert len(result.starts) == 1


def test_team_limit_applies_despite_free_capacity() -> None:
    teams = {0: pts.TeamUse(Resources(5, 0, 0), NOTHING, Resources(9, 0, INF))}
    result = pts.plan(snapshot([node(0, total=100)], request(count=10), teams=teams))
    assert len(result.starts) == 2
    assert result.waiting == {}


def test_zone_type_and_spot_constraints_are_respected() -> None:
    nodes = [node(0, zone="a"), node(1, zone="b", spot=True), node(2, zone="b", type="big")]
    assert placed(pts.plan(snapshot(nodes, request(zone="b", spot=False)))) == [2]
    spread = request(count=4, zone_limit=2)
    zones = [nodes[index].zone for index in placed(pts.plan(snapshot(nodes[:2], spread)))]
    assert sorted(zones) == ["a", "a", "b", "b"]
    nodes = [node(0, total=4, zone="a"), node(1, total=4, zone="b")]
    one = request(count=4, one_zone=True)
    assert len({nodes[index].zone for index in placed(pts.plan(snapshot(nodes, one)))}) == 1
    only = request(types=frozenset({"big"}))
    assert placed(pts.plan(snapshot([node(0), node(1, type="big")], only))) == [1]


def test_start_objective_is_a_requirement_while_some_machine_can_meet_it() -> None:
    nodes = [node(0, used=4), node(1, images={"img"}), node(2, used=6)]
    urgent = request(wait_s=1.0, image_gb=2.0)
    assert placed(pts.plan(snapshot(nodes, urgent))) == [1]
    assert placed(pts.plan(snapshot(nodes[:1], urgent))) == [0]
    # A fetch that is probably fast enough is preferred to one that is not.
    slow = node(0, used=6, fetch_gb_per_s=0.5)
    urgent = request(wait_s=2.0, image_gb=1.2)
    assert placed(pts.plan(snapshot([slow, node(1)], urgent))) == [1]
    # An eviction on a machine with the image is preferred to a fetch that takes too long.
    full = node(3, used=8, low_slots=8, images={"img"}, running=[victim(0, 1.0)])
    urgent = request(wait_s=1.0, image_gb=2.0)
    assert placed(pts.plan(snapshot([node(0), full], urgent))) == [3]


def test_guarantee_is_not_claimed_from_tasks_of_higher_rank() -> None:
    teams = {
        0: pts.TeamUse(NOTHING, Resources(4, 0, INF), Resources(8, 0, INF)),
        1: pts.TeamUse(Resources(8, 0, 8), NOTHING, Resources(8, 0, INF)),
    }
    borrower = node(0, used=8, high_slots=8, running=[victim(0, 1.0, team=1, rank=3)])
    result = pts.plan(snapshot([borrower], request(high=False), teams=teams))
    assert (result.starts, result.stops) == ([], [])
    # Nor from a replica for another replica: the paper never evicts high-priority (HP) work.
    borrower = node(0, used=8, high_slots=8, running=[victim(0, 1.0, team=1, rank=3, high=True)])
    result = pts.plan(snapshot([borrower], request(rank=3), teams=teams))
    assert (result.starts, result.stops) == ([], [])


def full_scan_plan(case: pts.Snapshot) -> tuple[list[tuple[int, int]], list[tuple[int, int]]]:
    """Reference implementation of PTS as in the paper: scans all machines for each task."""
    state = TentativeState(case, True)
    starts, stops = [], []
    order = {r.job: (-r.rank, not state.within_guarantee(r), r.order) for r in case.requests}
    for job_request in sorted(case.requests, key=lambda r: order[r.job]):
        zones = dict(job_request.zone_counts)
        for _ in range(job_request.count):
            if not state.within_limit(job_request):
                break
            chosen: tuple[int, list[pts.RunningTask]] | None = None
            for grade in range(pts.GRADES) if job_request.wait_s is not None else (pts.GRADES,):
                allowed = [
                    (position, machine)
                    for position, machine in enumerate(state.nodes)
                    if machine.index not in job_request.avoided_machines
                    and pts.job_rules_allow(job_request, machine, zones)
                    and pts.start_grade(job_request, machine) <= grade
                ]
                fitting = [
                    (machine_score(m, job_request), zones.get(m.zone, 0), position)
                    for position, m in allowed
                    if job_request.demand.fits_in(m.free)
                ]
                if fitting:
                    chosen = min(fitting)[-1], []
                    break
                costs = []
                for position, machine in allowed:
                    victims = victims_on(state, machine, job_request)
                    if victims:
                        waste = sum(task.waste(state.now) for task in victims)
                        costs.append((eviction_cost(state, len(victims), waste), position, victims))
                if costs:
                    chosen = min(costs, key=lambda item: item[:2])[1:]
                    break
            if chosen is None:
                break
            position, victims = chosen
            for task in victims:
                state.evict(position, task)
            state.place(position, job_request, zones)
            state.teams[job_request.team].used = state.teams[job_request.team].used.plus(
                job_request.demand
            )
            starts.append((job_request.job, state.nodes[position].index))
            stops += [task.key for task in victims]
    return starts, stops


def random_snapshot(random: Random) -> pts.Snapshot:
    images = ["i", "j", "k"]
    nodes = []
    for index in range(random.randint(1, 14)):
        machine = node(
            index,
            total=random.choice([8, 16]),
            zone=random.choice("ab"),
            type=random.choice(["c8", "big"]),
            spot=random.random() < 0.5,
            evictions=random.choice([0, 0, 1]),
            images=set(random.sample(images, random.randint(0, 3))),
        )
        for task in range(random.randint(0, 5)):
            high = random.random() < 0.4
            amount = random.choice([1, 2, 2.5, 4])
            if amount > machine.free.cpus:
                continue
            need = Resources(amount, 0, 1)
            machine.running.append(
                pts.RunningTask(
                    (100 + index, task),
                    need,
                    2 if high else random.choice([0, 1]),
                    random.choice([0, 1]),
                    -random.choice([3.0, 5.0, 20.0]),
                    random.choice([0.0, 4.0]),
                    random.random() < 0.8,
                    high,
                )
            )
            machine.free = machine.free.minus(need)
            if high:
                machine.high_slots += amount
            else:
                machine.low_slots += amount
        nodes.append(machine)
    pending = []
    for job in range(random.randint(1, 8)):
        rank = random.choice([0, 1, 2, 3])
        pending.append(
            request(
                job,
                random.randint(1, 9),
                random.choice([1, 2, 2.5, 4]),
                rank >= 2,
                rank=rank,
                team=random.choice([0, 1]),
                zone=random.choice([None, None, "a"]),
                one_zone=random.random() < 0.2,
                zone_limit=random.choice([None, None, 2]),
                spot=random.random() < 0.7,
                image=random.choice(images),
                image_gb=random.choice([0.1, 0.6, 3.0]),
                wait_s=random.choice([None, 1.0]),
                avoided_machines=set(random.sample(range(3), random.choice([0, 0, 2]))),
            )
        )
    limit = Resources(40, 0, INF)
    teams = {
        team: pts.TeamUse(
            Resources(random.choice([0, 8, 30]), 0, 0),
            Resources(random.choice([4, 20]), 0, INF),
            limit,
        )
        for team in (0, 1)
    }
    return snapshot(nodes, *pending, teams=teams, finished=random.randint(0, 9))


def test_indexed_plan_equals_full_scan_plan() -> None:
    random = Random(11)
    for _ in range(400):
        case = random_snapshot(random)
        before = [(m.free, len(m.running), m.evictions) for m in case.nodes]
        result = pts.plan(case)
        starts, stops = full_scan_plan(case)
        assert [(start.job, start.node) for start in result.starts] == starts
        assert [stop.key for stop in result.stops] == stops
        assert [(m.free, len(m.running), m.evictions) for m in case.nodes] == before
