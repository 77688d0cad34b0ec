"""Ageing: jobs that have waited long start despite a stream of small jobs that always fit."""

from __future__ import annotations

from collections import Counter

from badgerseam.model.job import Job
from badgerseam.sched.oldest_job import GANG_GATHER_S, OLDEST_JOB_MAX_CREDIT
from tests.support.scripted_peers import ControllerFixture


def _fixture(machines: int = 2) -> ControllerFixture:
    rig = ControllerFixture()
    rig.own()
    for number in range(machines):
        machine = rig.machine(f"m-{number}")
        machine.incarnation, machine.last_heartbeat_at = 1, rig.clock.now() + 1e6
    return rig


def _submit_small_jobs(
    rig: ControllerFixture, first: int, count: int, **changes: object
) -> list[Job]:
    """Submit small jobs that can still meet their deadline."""
    return [
        rig.job(job_id=f"job-{number:06d}", pieces=1, dueS=300.0, **changes)
        for number in range(first, first + count)
    ]


def _complete_tasks(rig: ControllerFixture, count: int, except_job: Job | None = None) -> None:
    """Complete the oldest tasks, except those of `except_job`."""
    attempts = [
        attempt
        for machine in rig.model.machines.values()
        for attempt in machine.attempts.values()
        if attempt.job is not except_job
    ]
    for attempt in sorted(attempts, key=lambda attempt: attempt.planned_at)[:count]:
        rig.model.unplace(attempt)
        attempt.job.status[attempt.task] = 2
        attempt.job.finished += 1


def test_large_late_array_starts_despite_stream_of_small_jobs() -> None:
    rig = _fixture()
    large = rig.job(job_id="job-900000", pieces=24, dueS=30.0)
    _submit_small_jobs(rig, 0, 8)
    # The large job has the earliest deadline, but without credit it is late before it is placed.
    rig.model.shards[0].oldest_job_credit = 0.0
    rig.clock.time += 40.0
    started_tasks: dict[int, int] = {}
    for second in range(0, 160, 4):
        _submit_small_jobs(rig, 100 + second, 4)
        rig.plan()
        started_tasks[second] = sum(task in large.tries for task in range(24))
        rig.clock.time += 4.0
        _complete_tasks(rig, 4)
    assert started_tasks[60] == 0, (
        "before the job has aged, jobs that can still be in time go first"
    )
    aged = [second for second in started_tasks if 40 + second >= 120]
    assert started_tasks[aged[-1]] >= 12, "the aged job gets a share of the capacity"
    started = Counter(job.id for job in rig.model.jobs if job is not None and job.tries)
    assert len(started) > 30, "other jobs start as well"


def test_aged_gang_accumulates_freed_capacity() -> None:
    rig = _fixture()
    gang = rig.job(job_id="job-900000", shape="group", pieces=8, dueS=30.0)
    _submit_small_jobs(rig, 0, 7)
    rig.model.shards[0].oldest_job_credit = 0.0
    rig.clock.time += 130.0
    # Seven of the eight task slots are taken by jobs that can still be in time.
    young = _submit_small_jobs(rig, 50, 7)
    rig.plan()
    assert not gang.tries
    rig.model.shards[0].oldest_job_credit = 1.0
    for _ in range(12):
        _submit_small_jobs(rig, 200 + len(rig.model.jobs), 2)
        rig.clock.time += 2.0
        _complete_tasks(rig, 1, except_job=gang)
        rig.plan()
    assert len(gang.attempts) == 8, "small jobs must not take all freed capacity"
    assert young


def test_capacity_is_not_kept_forever_for_gang_that_never_fits() -> None:
    rig = _fixture(machines=1)
    gang = rig.job(job_id="job-900000", shape="group", pieces=8, dueS=30.0)
    rig.clock.time += 130.0
    small = _submit_small_jobs(rig, 0, 2)
    waited = 0.0
    while not small[0].tries and waited < 3 * GANG_GATHER_S:
        waiting = rig.plan()
        assert gang.index in waiting, "the waiting gang still counts as demand"
        rig.clock.time += 2.0
        waited += 2.0
    assert GANG_GATHER_S <= waited < 2 * GANG_GATHER_S
    assert rig.model.shards[0].oldest_job_credit > -OLDEST_JOB_MAX_CREDIT


def test_oldest_job_of_lowest_rank_is_promoted() -> None:
    rig = _fixture(machines=1)
    lowest_rank_job = rig.job(job_id="job-900000", rank="best_effort", pieces=4)
    rig.clock.time += 130.0
    _submit_small_jobs(rig, 0, 8)
    rig.plan()
    assert len(lowest_rank_job.attempts) == 4


def test_high_priority_job_goes_before_aged_job() -> None:
    rig = _fixture(machines=1)
    old = rig.job(job_id="job-900000", pieces=8, dueS=30.0)
    rig.clock.time += 130.0
    urgent = rig.job(job_id="job-000001", rank="high", pieces=4)
    rig.plan()
    assert len(urgent.attempts) == 4
    assert not old.attempts
