"""Work that has waited for too long, beside a stream of small work that would always fit first."""

from __future__ import annotations

from collections import Counter

from badgerseam.model.job import Job
from badgerseam.sched.oldest_job import GANG_GATHER_S, OLDEST_JOB_MAX_CREDIT
from tests.support.scripted_peers import ControllerFixture


def _rig(machines: int = 2) -> ControllerFixture:
    rig = ControllerFixture()
    rig.own()
    for number in range(machines):
        machine = rig.machine(f"m-{number}")
        machine.incarnation, machine.last_heartbeat_at = 1, rig.clock.now() + 1e6
    return rig


def _stream(rig: ControllerFixture, first: int, count: int, **changes: object) -> list[Job]:
    """Small jobs that can still be in time."""
    return [
        rig.job(job_id=f"job-{number:06d}", pieces=1, dueS=300.0, **changes)
        for number in range(first, first + count)
    ]


def _end(rig: ControllerFixture, count: int, spare: Job | None = None) -> None:
    """Tasks complete; those of `spare` go on."""
    attempts = [
        attempt
        for machine in rig.model.machines.values()
        for attempt in machine.attempts.values()
        if attempt.job is not spare
    ]
    for attempt in sorted(attempts, key=lambda attempt: attempt.planned_at)[:count]:
        rig.model.unplace(attempt)
        attempt.job.status[attempt.task] = 2
        attempt.job.finished += 1


def test_a_large_late_array_begins_while_small_ones_come_and_go() -> None:
    rig = _rig()
    large = rig.job(job_id="job-900000", pieces=24, dueS=30.0)
    _stream(rig, 0, 8)
    # By deadline the large one is first; it is late before it had a turn.
    rig.model.shards[0].oldest_job_credit = 0.0
    rig.clock.time += 40.0
    begun: dict[int, int] = {}
    for second in range(0, 160, 4):
        _stream(rig, 100 + second, 4)
        rig.plan()
        begun[second] = sum(task in large.tries for task in range(24))
        rig.clock.time += 4.0
        _end(rig, 4)
    assert begun[60] == 0, "what can be in time goes first while it is young"
    aged = [second for second in begun if 40 + second >= 120]
    assert begun[aged[-1]] >= 12, "and then it has a part of the capacity"
    started = Counter(job.id for job in rig.model.jobs if job is not None and job.tries)
    assert len(started) > 30, "beside the others"


def test_a_gang_that_ages_gathers_the_capacity_that_it_needs() -> None:
    rig = _rig()
    gang = rig.job(job_id="job-900000", shape="group", pieces=8, dueS=30.0)
    _stream(rig, 0, 7)
    rig.model.shards[0].oldest_job_credit = 0.0
    rig.clock.time += 130.0
    # Seven of eight places are taken by what may be in time.
    young = _stream(rig, 50, 7)
    rig.plan()
    assert not gang.tries
    rig.model.shards[0].oldest_job_credit = 1.0
    for _ in range(12):
        _stream(rig, 200 + len(rig.model.jobs), 2)
        rig.clock.time += 2.0
        _end(rig, 1, spare=gang)
        rig.plan()
    assert len(gang.attempts) == 8, "small ones always fitted first"
    assert young


def test_capacity_is_not_kept_for_ever_for_a_gang_that_never_fits() -> None:
    rig = _rig(machines=1)
    gang = rig.job(job_id="job-900000", shape="group", pieces=8, dueS=30.0)
    rig.clock.time += 130.0
    small = _stream(rig, 0, 2)
    waited = 0.0
    while not small[0].tries and waited < 3 * GANG_GATHER_S:
        waiting = rig.plan()
        assert gang.index in waiting, "the leader is told of both meanwhile"
        rig.clock.time += 2.0
        waited += 2.0
    assert GANG_GATHER_S <= waited < 2 * GANG_GATHER_S
    assert rig.model.shards[0].oldest_job_credit > -OLDEST_JOB_MAX_CREDIT


def test_the_oldest_of_the_lowest_rank_has_its_turn_too() -> None:
    rig = _rig(machines=1)
    guest = rig.job(job_id="job-900000", rank="best_effort", pieces=4)
    rig.clock.time += 130.0
    _stream(rig, 0, 8)
    rig.plan()
    assert len(guest.attempts) == 4


def test_high_priority_work_is_never_behind_what_has_aged() -> None:
    rig = _rig(machines=1)
    old = rig.job(job_id="job-900000", pieces=8, dueS=30.0)
    rig.clock.time += 130.0
    urgent = rig.job(job_id="job-000001", rank="high", pieces=4)
    rig.plan()
    assert len(urgent.attempts) == 4
    assert not old.attempts
