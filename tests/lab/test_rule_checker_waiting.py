"""Tests of the rule checker: jobs left waiting, and waiting time, while resources are free."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from tests.support.lab_histories import (
    answer,
    full,
    judged,
    machine,
    submit,
    time_of,
    up,
    waiting,
)
from tests.support.scripted_peers import submission

LEFT = ["job-000001"]


@pytest.mark.parametrize(
    ("left", "steps", "changes"),
    [
        (LEFT, [], {}),
        # A launch ends the wait, even if the image is still being fetched.
        ([], [(80, "launch", {"job": "job-000001/0", "machine": "m-1"})], {}),
        (LEFT, [(10, "launch", {"job": "job-000001/0", "machine": "m-1"})], {}),
        # Only 90 s without an active fault count.
        ([], [(20, "trouble", {}), (30, "calm", {})], {}),
        (LEFT, [(5, "trouble", {}), (15, "calm", {})], {}),
        ([], [(20.5, "trouble", {}), (20.5, "calm", {})], {}),
        # The job does not wait any more.
        ([], [(50, "abort", {"job": "job-000001"})], {}),
        ([], [answer(50, "poll", 200, "done")], {}),
        # Other tasks use the resources; a short gap between two of them does not count as free.
        ([], [*full(2), *full(2, where="m-2")], {}),
        ([], [*full(2), *full(2, 60, "m-2"), *full(63, where="m-2")], {}),
        (LEFT, [*full(2)], {}),
        # A faulty or lost machine accepts no tasks.
        ([], [(50, "unfit", {"machine": "m-1"}), (50, "gone", {"machine": "m-2"})], {}),
        (LEFT, [(50, "unfit", {"machine": "m-1"})], {}),
        # The job's own constraints.
        ([], [], {"breeds": ["d8"]}),
        (LEFT, [], {"breeds": ["c8"]}),
        ([], full(2), {"sett": "a"}),
        (LEFT, full(2), {"sett": "b"}),
        ([], [], {"cpus": 9.0}),
        # The team's limit.
        ([], full(2), {"cpus": 8.0, "pieces": 1, "owner": "blue"}),
        (LEFT, [], {"cpus": 4.0, "pieces": 1, "owner": "blue"}),
        ([], [], {"cpus": 4.5, "pieces": 1, "owner": "blue"}),
        # A gang can start only if all of its tasks fit.
        (LEFT, [], {"shape": "group", "pieces": 2, "cpus": 8.0}),
        ([], full(2), {"shape": "group", "pieces": 2, "cpus": 8.0}),
        (LEFT, full(2), {"shape": "standing", "pieces": 2, "cpus": 8.0}),
        (LEFT, [], {"shape": "group", "pieces": 2, "cpus": 4.0, "oneZone": True}),
        ([], [], {"shape": "group", "pieces": 2, "cpus": 8.0, "oneZone": True}),
        ([], full(2), {"shape": "group", "pieces": 2, "cpus": 4.0, "scatter": True}),
        # Terms that delay the job.
        ([], [], {"terms": {"hold": True}}),
        (LEFT, [(3, "release", {"job": "job-000001"})], {"terms": {"hold": True}}),
        ([], [], {"terms": {"beginAt": 60.0}}),
        ([], [], {"terms": {"depends": [{"kind": "afterok", "job": "job-000009"}]}}),
        (
            [],
            [(2, "launch", {"job": "job-000001/0", "machine": "m-1"})],
            {"terms": {"throttle": 1}},
        ),
    ],
)
def test_a_job_is_reported_as_left_waiting_while_resources_for_it_are_free(
    left: list[str], steps: list[Any], changes: dict[str, Any]
) -> None:
    assert waiting(*steps, **changes) == left


LAUNCH = (31, "launch", {"job": "job-000001/0", "machine": "m-1"})


@pytest.mark.parametrize(
    ("seconds", "steps", "changes"),
    [
        # From the check at 4 s, when the resources have been free long enough, until the launch.
        ({"blue": 27.0}, [LAUNCH], {}),
        # Counts only if a task fits the limit and a machine.
        ({}, [LAUNCH], {"cpus": 4.5}),
        ({}, [*full(2), *full(2, where="m-2"), LAUNCH], {}),
        ({"blue": 27.0}, [*full(2), LAUNCH], {}),
        # The time while a fault is active does not count, since the machine may be unusable.
        ({"blue": 17.0}, [(10, "trouble", {}), (20, "calm", {}), LAUNCH], {}),
        # Another task of the job uses the rest of the limit until 20 s. Resources that have been
        # free in the meantime count immediately.
        (
            {"blue": 11.0},
            [
                (1.5, "launch", {"job": "job-000001/1", "machine": "m-2"}),
                (20, "off", {"job": "job-000001/1", "machine": "m-2"}),
                LAUNCH,
            ],
            {"pieces": 2},
        ),
    ],
)
def test_waiting_time_counts_while_resources_within_the_team_limit_are_free(
    seconds: dict[str, float], steps: list[Any], changes: dict[str, Any]
) -> None:
    begin = (machine(), up(), machine("m-2", zone="b"), up("m-2"))
    changed = {"cpus": 4.0, "pieces": 1, "owner": "blue", **changes}
    rest = sorted((submit(1, **changed), answer(1.1), *steps), key=time_of)
    assert judged(*begin, *rest).below_limit_s == seconds


@pytest.mark.parametrize(("stays_s", "left"), [(3.0, []), (20.0, LEFT)])
def test_resources_that_are_free_only_briefly_do_not_count(stays_s: float, left: list[str]) -> None:
    # At any time one of the two machines is free, but each only for `stays_s`.
    spec = msgspec.to_builtins(submission("job-000050", pieces=100, cpus=8.0))
    steps: list[Any] = [(1, "submit", {"job": "job-000050", "spec": spec})]
    t, task = 2.0, 0
    while t < 108:
        task_on_machine = {"job": f"job-000050/{task}", "machine": f"m-{1 + task % 2}"}
        steps += [(t, "launch", task_on_machine), (t + stays_s, "off", task_on_machine)]
        t, task = t + stays_s, task + 1
    assert waiting(*steps) == left


@pytest.mark.parametrize(("pause_s", "left"), [(2.0, []), (104.0, LEFT)])
def test_a_limit_that_its_team_reaches_again_and_again_does_not_count_as_free(
    pause_s: float, left: list[str]
) -> None:
    spec = msgspec.to_builtins(submission("job-000050", pieces=1, cpus=4.0, owner="blue"))
    steps: list[Any] = [(1, "submit", {"job": "job-000050", "spec": spec})]
    task_on_machine, t = {"job": "job-000050/0", "machine": "m-1"}, 2.0
    while t < 106:
        steps += [(t, "launch", task_on_machine), (t + 3.0, "off", task_on_machine)]
        t += 3.0 + pause_s
    assert waiting(*steps, owner="blue", pieces=1, cpus=4.0) == left


@pytest.mark.parametrize("spot", [False, True])
def test_machines_that_a_job_may_not_use_or_that_still_boot_do_not_count(spot: bool) -> None:
    begin = (machine(spot=spot), submit(1, loaned=False), answer(1.1))
    booting = judged(*begin, up(t=50), (110, "note", {})).violations
    assert "left_waiting" not in {violation.rule for violation in booting}
    later = judged(*begin, up(t=2), (110, "note", {})).violations
    assert ("left_waiting" in {violation.rule for violation in later}) is not spot
    bound = judged(*begin, up(t=2), (110, "note", {}), grouped=("train",)).violations
    assert "left_waiting" not in {violation.rule for violation in bound}


def test_only_resources_in_the_zone_of_its_other_tasks_count_for_a_one_zone_job() -> None:
    first = (2, "launch", {"job": "job-000001/0", "machine": "m-1"})
    assert waiting(first, *full(2.1, where="m-2"), oneZone=True) == LEFT
    full_launch = (2, "launch", {"job": "job-000001/0", "machine": "m-1"})
    assert not waiting(full_launch, oneZone=True, cpus=8.0, pieces=2)
