"""Ageing: jobs that have waited long start despite a stream of small jobs that always fit."""

from __future__ import annotations

from collections import Counter

from badgerseam.model.job import Job
from badgerseam.sched.oldest_job import GANG_GATHER_S, OLDEST_JOB_MAX_CREDIT
from tests.support.scripted_peers import ControllerFixture


def _fixture(machines: int = 2) -> ControllerFixture:
    fixture = ControllerFixture()
    fixture.own()
    for number in range(machines):
        machine = fixture.machine(f"m-{number}")
        machine.incarnation, machine.last_heartbeat_at = 1, fixture.clock.now() + 1e6
    return fixture


def _submit_small_jobs(
    fixture: ControllerFixture, first: int, count: int, **changes: object
) -> list[Job]:
    """Submit small jobs that can still meet their deadline."""
    return [
        fixture.job(job_id=f"job-{number:06d}", pieces=1, dueS=300.0, **changes)
        for number in range(first, first + count)
    ]


def _complete_tasks(fixture: ControllerFixture, count: int, except_job: Job | None = None) -> None:
    """Complete the oldest tasks, except those of `except_job`."""
    attempts = [
        attempt
        for machine in fixture.model.machines.values()
        for attempt in machine.attempts.values()
        if attempt.job is not except_job
    ]
    for attempt in sorted(attempts, key=lambda attempt: attempt.planned_at)[:count]:
        fixture.model.unplace(attempt)
        attempt.job.status[attempt.task] = 2
        attempt.job.finished += 1


def test_large_late_array_starts_despite_stream_of_small_jobs() -> None:
    fixture = _fixture()
    large = fixture.job(job_id="job-900000", pieces=24, dueS=30.0)
    _submit_small_jobs(fixture, 0, 8)
    # The large job has the earliest deadline, but without credit it is late before it is placed.
    fixture.model.shards[0].oldest_job_credit = 0.0
    fixture.clock.time += 40.0
    started_tasks: dict[int, int] = {}
    for second in range(0, 160, 4):
        _submit_small_jobs(fixture, 100 + second, 4)
        fixture.plan()
        started_tasks[second] = sum(task in large.tries for task in range(24))
        fixture.clock.time += 4.0
        _complete_tasks(fixture, 4)
    assert started_tasks[60] == 0, (
        "before the job has aged, jobs that can still be in time go first"
    )
    aged = [second for second in started_tasks if 40 + second >= 120]
    assert started_tasks[aged[-1]] >= 12, "the aged job gets a share of the capacity"
    started = Counter(job.id for job in fixture.model.jobs if job is not None and job.tries)
    assert len(started) > 30, "other jobs start as well"


def test_aged_gang_accumulates_freed_capacity() -> None:
    fixture = _fixture()
    gang = fixture.job(job_id="job-900000", shape="group", pieces=8, dueS=30.0)
    _submit_small_jobs(fixture, 0, 7)
    fixture.model.shards[0].oldest_job_credit = 0.0
    fixture.clock.time += 130.0
    # Seven of the eight task slots are taken by jobs that can still be in time.
    young = _submit_small_jobs(fixture, 50, 7)
    fixture.plan()
    assert not gang.tries
    fixture.model.shards[0].oldest_job_credit = 1.0
    for _ in range(12):
        _submit_small_jobs(fixture, 200 + len(fixture.model.jobs), 2)
        fixture.clock.time += 2.0
        _complete_tasks(fixture, 1, except_job=gang)
        fixture.plan()
    assert len(gang.attempts) == 8, "small jobs must not take all freed capacity"
    assert young


def test_capacity_is_not_kept_forever_for_gang_that_never_fits() -> None:
    fixture = _fixture(machines=1)
    gang = fixture.job(job_id="job-900000", shape="group", pieces=8, dueS=30.0)
    fixture.clock.time += 130.0
    small = _submit_small_jobs(fixture, 0, 2)
    waited = 0.0
    while not small[0].tries and waited < 3 * GANG_GATHER_S:
        waiting = fixture.plan()
        assert gang.index in waiting, "the waiting gang still counts as demand"
        fixture.clock.time += 2.0
        waited += 2.0
    assert GANG_GATHER_S <= waited < 2 * GANG_GATHER_S
    assert fixture.model.shards[0].oldest_job_credit > -OLDEST_JOB_MAX_CREDIT


def test_oldest_job_of_lowest_rank_is_promoted() -> None:
    fixture = _fixture(machines=1)
    lowest_rank_job = fixture.job(job_id="job-900000", rank="best_effort", pieces=4)
    fixture.clock.time += 130.0
    _submit_small_jobs(fixture, 0, 8)
    fixture.plan()
    assert len(lowest_rank_job.attempts) == 4


def test_high_priority_job_goes_before_aged_job() -> None:
    fixture = _fixture(machines=1)
    old = fixture.job(job_id="job-900000", pieces=8, dueS=30.0)
    fixture.clock.time += 130.0
    urgent = fixture.job(job_id="job-000001", rank="high", pieces=4)
    fixture.plan()
    assert len(urgent.attempts) == 4
    assert not old.attempts
