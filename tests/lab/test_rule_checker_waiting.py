"""The judge of histories: jobs left waiting beside room, and time for which room is unused."""

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
        # Seen to by a launch, of which the image may still be on its way.
        ([], [(80, "launch", {"job": "job-000001/0", "machine": "m-1"})], {}),
        (LEFT, [(10, "launch", {"job": "job-000001/0", "machine": "m-1"})], {}),
        # 90 s of calm.
        ([], [(20, "trouble", {}), (30, "calm", {})], {}),
        (LEFT, [(5, "trouble", {}), (15, "calm", {})], {}),
        ([], [(20.5, "trouble", {}), (20.5, "calm", {})], {}),
        # Not waiting any more.
        ([], [(50, "abort", {"job": "job-000001"})], {}),
        ([], [answer(50, "poll", 200, "done")], {}),
        # No room: others have it, and what comes between two of them is none.
        ([], [*full(2), *full(2, where="m-2")], {}),
        ([], [*full(2), *full(2, 60, "m-2"), *full(63, where="m-2")], {}),
        (LEFT, [*full(2)], {}),
        # No machine that takes tasks: booting, faulty, gone.
        ([], [(50, "unfit", {"machine": "m-1"}), (50, "gone", {"machine": "m-2"})], {}),
        (LEFT, [(50, "unfit", {"machine": "m-1"})], {}),
        # The job's own rules.
        ([], [], {"breeds": ["d8"]}),
        (LEFT, [], {"breeds": ["c8"]}),
        ([], full(2), {"sett": "a"}),
        (LEFT, full(2), {"sett": "b"}),
        ([], [], {"cpus": 9.0}),
        # The limit of its team.
        ([], full(2), {"cpus": 8.0, "pieces": 1, "owner": "blue"}),
        (LEFT, [], {"cpus": 4.0, "pieces": 1, "owner": "blue"}),
        ([], [], {"cpus": 4.5, "pieces": 1, "owner": "blue"}),
        # A gang has room if all of it has.
        (LEFT, [], {"shape": "group", "pieces": 2, "cpus": 8.0}),
        ([], full(2), {"shape": "group", "pieces": 2, "cpus": 8.0}),
        (LEFT, full(2), {"shape": "standing", "pieces": 2, "cpus": 8.0}),
        (LEFT, [], {"shape": "group", "pieces": 2, "cpus": 4.0, "oneZone": True}),
        ([], [], {"shape": "group", "pieces": 2, "cpus": 8.0, "oneZone": True}),
        ([], full(2), {"shape": "group", "pieces": 2, "cpus": 4.0, "scatter": True}),
        # Terms.
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
def test_a_job_is_left_waiting_beside_room(
    left: list[str], steps: list[Any], changes: dict[str, Any]
) -> None:
    assert waiting(*steps, **changes) == left


LAUNCH = (31, "launch", {"job": "job-000001/0", "machine": "m-1"})


@pytest.mark.parametrize(
    ("seconds", "steps", "changes"),
    [
        # From the look at which room has stood, at 4 s, until the launch.
        ({"blue": 27.0}, [LAUNCH], {}),
        # More than a task below the limit is asked for, and room for it.
        ({}, [LAUNCH], {"cpus": 4.5}),
        ({}, [*full(2), *full(2, where="m-2"), LAUNCH], {}),
        ({"blue": 27.0}, [*full(2), LAUNCH], {}),
        # While something is broken on purpose, whether a machine may be used is in doubt.
        ({"blue": 17.0}, [(10, "trouble", {}), (20, "calm", {}), LAUNCH], {}),
        # A task of its own has taken what is left of the limit until 20 s; room that has stood
        # meanwhile is room at once.
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
def test_seconds_that_work_waits_beside_room_that_its_team_is_allowed(
    seconds: dict[str, float], steps: list[Any], changes: dict[str, Any]
) -> None:
    begin = (machine(), up(), machine("m-2", zone="b"), up("m-2"))
    own = {"cpus": 4.0, "pieces": 1, "owner": "blue", **changes}
    rest = sorted((submit(1, **own), answer(1.1), *steps), key=time_of)
    assert judged(*begin, *rest).below_limit_s == seconds


@pytest.mark.parametrize(("stays_s", "left"), [(3.0, []), (20.0, LEFT)])
def test_room_that_does_not_stand_on_any_machine_is_none(stays_s: float, left: list[str]) -> None:
    # One of the two machines is free at any time.
    spec = msgspec.to_builtins(submission("job-000050", pieces=100, cpus=8.0))
    steps: list[Any] = [(1, "submit", {"job": "job-000050", "spec": spec})]
    t, task = 2.0, 0
    while t < 108:
        on_it = {"job": f"job-000050/{task}", "machine": f"m-{1 + task % 2}"}
        steps += [(t, "launch", on_it), (t + stays_s, "off", on_it)]
        t, task = t + stays_s, task + 1
    assert waiting(*steps) == left


@pytest.mark.parametrize(("pause_s", "left"), [(2.0, []), (104.0, LEFT)])
def test_room_within_a_limit_that_a_team_uses_again_and_again_is_none(
    pause_s: float, left: list[str]
) -> None:
    spec = msgspec.to_builtins(submission("job-000050", pieces=1, cpus=4.0, owner="blue"))
    steps: list[Any] = [(1, "submit", {"job": "job-000050", "spec": spec})]
    on_it, t = {"job": "job-000050/0", "machine": "m-1"}, 2.0
    while t < 106:
        steps += [(t, "launch", on_it), (t + 3.0, "off", on_it)]
        t += 3.0 + pause_s
    assert waiting(*steps, owner="blue", pieces=1, cpus=4.0) == left


@pytest.mark.parametrize("spot", [False, True])
def test_room_that_a_job_may_not_use_or_that_still_boots_is_none(spot: bool) -> None:
    begin = (machine(spot=spot), submit(1, loaned=False), answer(1.1))
    booting = judged(*begin, up(t=50), (110, "note", {})).violations
    assert "left_waiting" not in {breach.rule for breach in booting}
    later = judged(*begin, up(t=2), (110, "note", {})).violations
    assert ("left_waiting" in {breach.rule for breach in later}) is not spot
    bound = judged(*begin, up(t=2), (110, "note", {}), grouped=("train",)).violations
    assert "left_waiting" not in {breach.rule for breach in bound}


def test_a_job_bound_to_a_zone_by_its_tasks_has_room_there_only() -> None:
    first = (2, "launch", {"job": "job-000001/0", "machine": "m-1"})
    assert waiting(first, *full(2.1, where="m-2"), oneZone=True) == LEFT
    whole = (2, "launch", {"job": "job-000001/0", "machine": "m-1"})
    assert not waiting(whole, oneZone=True, cpus=8.0, pieces=2)
