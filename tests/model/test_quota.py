"""What a team has on machines never passes its limit: the plan, the launch, and the account."""

from __future__ import annotations

import pytest

from badgerseam.model.job import Attempt, Job, Phase, Stage
from badgerseam.model.keys import claim_key, job_key
from badgerseam.model.machine import Machine
from badgerseam.model.resources import NOTHING, Resources
from badgerseam.sched import pts
from badgerseam.settings import Team
from badgerseam.wire import state as wire
from tests.sched.test_pts import INF, node, request, snapshot, victim
from tests.support.scripted_peers import ControllerFixture, Worker, submission, verbs

JOB, NEXT = "job-000001", "job-000002"
NO_GUARANTEE = NOTHING


def cpus(amount: float) -> Resources:
    return Resources(amount, 0, INF)


def team(used: float, limit: float, guarantee: Resources = NO_GUARANTEE) -> pts.TeamUse:
    return pts.TeamUse(Resources(used, 0, 0), guarantee, cpus(limit))


# ---- the plan ----


def started(plan: pts.Plan) -> list[int]:
    return [start.job for start in plan.starts]


def test_what_a_plan_evicts_counts_towards_its_own_team_s_limit_until_it_has_gone() -> None:
    # 12 of 16 are used. The victim of 8 may save, hang, or be out of reach: with both low tasks on
    # the other machine, 20 would be on machines.
    teams = {0: team(12, 16)}
    nodes = [
        node(0, zone="a", used=8, low_slots=8, running=[victim(0, 1.0, cpus=8, rank=0)]),
        node(1, zone="b"),
    ]
    urgent = request(0, cpus=4, rank=3, zone="a")
    low = request(1, count=2, cpus=4, high=False, rank=0, zone="b")
    plan = pts.plan(snapshot(nodes, urgent, low, teams=teams))
    assert len(plan.stops) == 1
    assert started(plan) == [0]
    assert plan.waiting == {}, "what waits for its team's limit asks for no machine"


def test_what_a_plan_evicts_for_another_team_counts_towards_the_victim_s_limit() -> None:
    teams = {0: team(0, 16), 1: team(16, 16)}
    nodes = [
        node(0, zone="a", used=8, low_slots=8, running=[victim(0, 1.0, cpus=8, rank=0, team=1)]),
        node(1, zone="b"),
    ]
    urgent = request(0, cpus=8, rank=3, zone="a")
    low = request(1, cpus=4, high=False, rank=0, team=1, zone="b")
    plan = pts.plan(snapshot(nodes, urgent, low, teams=teams))
    assert (len(plan.stops), started(plan)) == (1, [0])


def test_a_gang_whose_placement_is_undone_leaves_the_limit_as_it_was() -> None:
    teams = {0: team(8, 16)}
    nodes = [
        node(0, zone="a", used=8, low_slots=8, running=[victim(0, 1.0, cpus=8, rank=0)]),
        node(1, zone="b"),
    ]
    gang = request(0, count=3, cpus=4, rank=3, zone="a", gang=True)
    low = request(1, count=2, cpus=4, high=False, rank=0, zone="b")
    plan = pts.plan(snapshot(nodes, gang, low, teams=teams))
    assert (plan.stops, started(plan)) == ([], [1, 1])
    assert plan.teams[0].draining == NOTHING


def test_the_guarantee_that_a_victim_leaves_may_be_claimed_at_once() -> None:
    # Only the limit waits for the victim; what another team may claim does not.
    teams = {0: team(4, 16, cpus(8)), 1: team(0, 16, cpus(4))}
    full = node(0, used=8, low_slots=8, running=[victim(t, 1.0, cpus=4, rank=0) for t in range(2)])
    plan = pts.plan(snapshot([full], request(0, cpus=4, team=1, rank=3), teams=teams))
    assert plan.teams[0].used.cpus == 0
    assert plan.teams[0].draining.cpus == 4


# ---- one controller ----


@pytest.fixture
def rig() -> ControllerFixture:
    """The owner of two teams with a limit of 8 processors each, without a guarantee."""
    rig = ControllerFixture([Team("red", 0, 8), Team("blue", 0, 8)])
    rig.own()
    return rig


def used(rig: ControllerFixture, name: str = "red") -> float:
    return rig.model.usage(rig.model.team_index[name]).cpus


def running(rig: ControllerFixture, worker: Worker, job: Job, tasks: int) -> Machine:
    """Tasks of a job that run on a machine."""
    machine = rig.machine(worker.who.name)
    for task in range(tasks):
        rig.running(job, task, machine, worker)
    rig.report(worker)
    return machine


def test_an_attempt_counts_from_its_plan_until_it_is_certainly_gone(rig: ControllerFixture) -> None:
    worker = Worker()
    job = rig.job(pieces=2, cpus=2.0)
    rig.machine()
    rig.report(worker)
    assert used(rig) == 0
    rig.plan()
    assert used(rig) == 4, "planned"
    rig.run(rig.settle())
    rig.report(worker)
    rig.report(worker)
    assert used(rig) == 4, "running"
    rig.planner.stop(job.attempts[0])
    assert used(rig) == 4, "evicted"
    worker.finish(f"{JOB}/1")
    rig.report(worker)
    assert used(rig) == 2, "done is gone"
    rig.set(job_key(JOB), wire.StoredJob("withdrawn", 2, 0.0, job.spec))
    assert used(rig) == 2, "cancelled"
    worker.finish(f"{JOB}/0", "halted")
    rig.report(worker)
    assert used(rig) == 0


def test_the_account_is_what_its_attempts_add_up_to(rig: ControllerFixture) -> None:
    # Decimal amounts, added and taken away again and again, leave nothing behind.
    job = rig.job(pieces=7, cpus=0.1)
    machine = rig.machine()
    for _ in range(300):
        attempts = [model_place(rig, job, task, machine) for task in range(7)]
        assert used(rig) == pytest.approx(0.7)
        for attempt in attempts[:3]:
            job.on_launch_sent(attempt)
        for attempt in attempts:
            job.return_task(attempt)
    account = rig.model.quotas[job.team]
    assert account.reserved.total() == account.exposed.total() == NOTHING


def model_place(rig: ControllerFixture, job: Job, task: int, machine: Machine) -> Attempt:
    return rig.model.place(job, task, job.tries.get(task, 0) + 1, machine, Stage.PLACED)


def test_an_attempt_that_no_record_knows_counts_for_its_team(rig: ControllerFixture) -> None:
    # The worker holds another attempt of a task than the one that is placed there.
    worker = Worker()
    running(rig, worker, rig.job(pieces=2, cpus=2.0), 1)
    worker.hold(f"{JOB}/1", 7)
    rig.report(worker)
    assert used(rig) == 4
    waiting = rig.job(id=NEXT, pieces=4, cpus=2.0)
    rig.plan()
    assert used(rig) == 8
    worker.finish(f"{JOB}/1", "halted")
    rig.report(worker)
    assert used(rig) == 8 - 2
    assert waiting.live + rig.model.jobs[0].live == 3  # type: ignore[union-attr]


def test_a_launch_waits_while_the_team_has_more_on_machines_than_its_plan_knew(
    rig: ControllerFixture,
) -> None:
    first, other = Worker(), Worker("m-2")
    running(rig, first, rig.job(pieces=3, cpus=2.0), 3)
    rig.machine("m-2")
    rig.report(other)
    rig.job(id=NEXT, pieces=1, cpus=2.0)
    rig.plan()
    rig.run(rig.settle())
    # Shown only now: with it, eight processors are on machines.
    other.hold(f"{JOB}/0", 9)
    rig.checkin(other.body())
    assert ("launch", f"{NEXT}/0") not in verbs(rig.checkin(first.body()))
    other.finish(f"{JOB}/0", "halted")
    rig.checkin(other.body())
    assert ("launch", f"{NEXT}/0") in verbs(rig.checkin(first.body()))


def test_a_launch_without_an_answer_counts_until_a_heartbeat_with_our_token_lacks_it(
    rig: ControllerFixture,
) -> None:
    worker = Worker()
    job = rig.job(pieces=1, cpus=8.0)
    machine = rig.machine()
    rig.report(worker)
    rig.plan()
    rig.run(rig.settle())
    rig.run(rig.push(machine))  # No answer: it may be carried out at any later time.
    attempt = job.attempts[0]
    assert (attempt.launched, attempt.sent) == (True, False)
    body = worker.body()
    rig.worker_manager.handle_heartbeat(body)
    assert attempt.launched and rig.model.quotas[job.team].exposed.total().cpus == 8


# ---- what a new owner knows ----


@pytest.mark.parametrize("knows_the_job", [True, False])
def test_a_cancellation_known_ahead_of_the_placements_before_it_hides_none(
    knows_the_job: bool,
) -> None:
    # A controller that is behind carries a user's cancellation out. What it follows afterwards
    # still says where the job's tasks are, and it may own the shard then.
    rig = ControllerFixture([Team("red", 0, 8), Team("blue", 0, 8)])
    spec = submission(JOB, pieces=4, cpus=2.0)
    rig.claim(node="n-1", lease=100)
    rig.machine("m-1")
    rig.model.advance(rig.state.revision)
    accepted = wire.StoredJob("open", 4, 0.0, spec)
    version = rig.state.put(job_key(JOB), accepted)
    if knows_the_job:
        rig.model.apply(job_key(JOB), wire.raw(accepted), version)
    rig.state.put("bs/p/0/0", [rig.rows(JOB, *[(task, 1, "m-1") for task in range(4)])])
    record = wire.StoredJob("withdrawn", 4, 0.0, spec)
    rig.model.apply(job_key(JOB), wire.raw(record), rig.state.put(job_key(JOB), record))
    assert rig.model.ended[JOB][0] == Phase.CANCELLED
    rig.sync()
    assert used(rig) == 8
    rig.state.remove(claim_key(0))
    rig.sync()
    rig.own()
    rig.sync()
    assert used(rig) == 8, "on machines until each is certainly gone"
    rig.job(id=NEXT, pieces=1, cpus=2.0)
    other = Worker("m-2")
    rig.machine("m-2")
    rig.report(other)
    rig.plan()
    assert used(rig) == 8
    worker = Worker("m-1")
    for task in range(4):
        worker.hold(f"{JOB}/{task}")
    orders = rig.report(worker)["orders"] + rig.report(worker)["orders"]
    assert {order["verb"] for order in orders} == {"halt", "reap"}
    assert all(held.phase == "exited" for held in worker.tasks.values())
    rig.report(worker)
    assert used(rig) == 0
    assert rig.model.job(JOB) is None, "nothing is left of it"


def test_a_cancelled_job_that_was_never_placed_is_forgotten_once_that_is_followed() -> None:
    rig = ControllerFixture()
    spec = submission(JOB)
    rig.claim(node="n-1", lease=100)
    rig.model.advance(rig.state.revision)
    version = rig.state.put(job_key(JOB), wire.StoredJob("open", 4, 0.0, spec))
    rig.model.apply(job_key(JOB), wire.raw(wire.StoredJob("open", 4, 0.0, spec)), version)
    record = wire.StoredJob("withdrawn", 4, 0.0, spec)
    rig.model.apply(job_key(JOB), wire.raw(record), rig.state.put(job_key(JOB), record))
    assert rig.model.job(JOB) is not None
    rig.sync()
    rig.model.advance(rig.state.revision)
    assert rig.model.job(JOB) is None
    assert not rig.model.cancelled_unfollowed
