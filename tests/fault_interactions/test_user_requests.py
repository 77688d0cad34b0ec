"""User requests at critical times, at a job's end and during changes of controllers, and malformed
requests."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
import pytest

from badgerseam.cluster.availability import UnavailableReason
from badgerseam.model.keys import job_key
from badgerseam.wire import state as wire
from tests.api.test_user_api import ask
from tests.support.scripted_peers import ControllerFixture, submission
from tests.support.simulated_site import SimulatedSite, with_simulated_site

TASKS_S = 4.0


def fields(job: str = "job-000001", **changes: Any) -> dict[str, Any]:
    """Returns every field of a submission, including those that may be null."""
    defaults: dict[str, Any] = msgspec.to_builtins(submission(job))
    return defaults | {"breeds": None, "sett": None, "dueS": None} | changes


def job_id(number: int) -> str:
    return f"job-{number:06}"


# ---- a cancellation, a poll or a repeated submission at the end of the last task ----


async def cancel_at_end(
    site: SimulatedSite, job: str, offset_s: float, recorded: bool = False
) -> str:
    """Cancels a job while it is polled and submitted again at other controllers, checks that all
    later responses have the same phase, and returns that phase.

    `offset_s`: seconds from the end of the last task, or from the record of it if `recorded`, to
    the cancellation.
    """
    changes: dict[str, Any] = {"owner": "blue", "pieces": 2, "cpus": 0.5}
    body = msgspec.json.encode(submission(job, **changes))
    await site.submit(job, TASKS_S, **changes)
    await site.until(lambda: len(site.running_tasks(job)) == 2, 40.0)
    key = job_key(job)
    accepted, until = site.state_core.version(key), site.clock.now() + TASKS_S + 8.0
    if offset_s < 0:
        await site.advance(TASKS_S + offset_s)
    else:
        # To the millisecond: only a few requests lie between the end and its record.
        while site.running_tasks(job) or (recorded and site.state_core.version(key) == accepted):
            assert site.clock.now() < until
            await asyncio.sleep(0.001 if site.clock.now() > until - 8.5 else 0.05)
        await site.advance(offset_s)
    nodes = site.random.sample(site.nodes, 3)
    # A request sent before the job's end was reported may get an older phase in a later response.
    first, second, *others = await asyncio.gather(
        site.cancel(job, via=nodes[0]),
        site.cancel(job, via=nodes[1]),
        site.ask("GET", f"/submissions/{job}", via=nodes[1]),
        site.ask("POST", "/submissions", body, via=nodes[2]),
    )
    phase = site.phase(first)
    assert phase in ("done", "withdrawn")
    assert site.phase(second) == phase
    for reply in others:
        assert reply.status == 200
        assert site.phase(reply) in ("pending", "running", phase)
    for pause_s in (0.0, 0.3, 3.0):
        await site.advance(pause_s)
        for node in site.nodes:
            for reply in (
                await site.ask("GET", f"/submissions/{job}", via=node),
                await site.ask("POST", "/submissions", body, via=node),
                await site.ask("POST", f"/submissions/{job}/abort", b"{}", via=node),
            ):
                assert (reply.status, site.phase(reply)) == (200, phase)
    return phase


OFFSETS_S = (-1.5, -0.9, -0.5, -0.2, 0.2, 0.5, 0.9, 1.4, 2.0, 4.0)
CLOSE_S = [number * 0.0025 for number in range(18)]


@pytest.mark.parametrize("seed", [1, 2, 3])
@with_simulated_site
async def test_a_cancellation_at_the_end_of_a_job_has_one_lasting_outcome(
    site: SimulatedSite, seed: int
) -> None:
    phases = await asyncio.gather(
        *(cancel_at_end(site, job_id(n), offset_s) for n, offset_s in enumerate(OFFSETS_S))
    )
    assert set(phases) == {"done", "withdrawn"}, (
        "the test covers both orders of end and cancellation"
    )


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("recorded", [False, True])
@with_simulated_site
async def test_a_cancellation_at_the_write_that_ends_a_job_has_one_lasting_outcome(
    site: SimulatedSite, seed: int, recorded: bool
) -> None:
    await asyncio.gather(
        *(cancel_at_end(site, job_id(n), offset_s, recorded) for n, offset_s in enumerate(CLOSE_S))
    )


@with_simulated_site
async def test_no_controller_reports_done_before_the_last_task_has_ended(
    site: SimulatedSite,
) -> None:
    job = job_id(1)
    await site.submit(job, TASKS_S, owner="red", pieces=3)
    await site.until(lambda: site.running_tasks(job), 20.0)
    while True:
        await site.advance(0.1)
        busy = bool(site.running_tasks(job))
        replies = [await site.ask("GET", f"/submissions/{job}", via=n) for n in site.nodes]
        phases = {site.phase(reply) for reply in replies}
        assert not busy or "done" not in phases or not site.running_tasks(job)
        if phases == {"done"}:
            return


# ---- handover and return, then a failure of all controllers ----


@pytest.mark.parametrize("fault", ["", "state-down", "late"])
@pytest.mark.parametrize(("seed", "back_s"), [(1, 0.1), (2, 0.4), (3, 1.0)])
@with_simulated_site
async def test_jobs_complete_after_handovers_and_a_failure_of_all_controllers(
    site: SimulatedSite, seed: int, back_s: float, fault: str
) -> None:
    teams = ("blue", "red", "teal")
    for number, team in enumerate(teams):
        await site.submit(job_id(number), 12.0 + 9 * number, owner=team, pieces=3)
    await site.advance(6.0)
    if fault == "state-down":
        site.inject_fault(fault, for_s=5.0)
    elif fault:
        site.links.late_fraction = 0.4
        for node in site.nodes:
            site.inject_fault(fault, target=node, to="state", for_s=12.0)
    for node in site.random.sample(site.nodes, 2):
        controller = site.controllers[node].of
        assert controller is not None
        controller.membership.withdraw_if_replaceable()
        await site.advance(site.random.choice([0.1, 0.5, 1.0]))
        controller.membership.mark_available(UnavailableReason.NO_HEARTBEATS)
    first, *others = site.random.sample(site.nodes, 3)
    site.controllers[first].kill(back_s)
    for index, node in enumerate(others):
        await site.advance(back_s / 4)
        site.controllers[node].kill(3.0 + 4.0 * index)
    assert not any(c.pid for c in site.controllers.values()) or back_s < 0.5
    site.at_once(site.cancel(job_id(2)))
    await site.submit(job_id(3), 3.0, owner="blue", pieces=2)
    await site.advance(25.0)
    await site.until(lambda: None not in site.holders(), 20.0)
    # If claims are written 2 to 12 s late, there may be no owner for longer than a lease lasts.
    assert fault == "late" or site.leases_ended() == 0
    for number, phase in ((0, "done"), (1, "done"), (2, "withdrawn"), (3, "done")):
        for node in site.nodes:
            reply = await site.ask("GET", f"/submissions/{job_id(number)}", via=node)
            assert site.phase(reply) == phase


# ---- malformed and infeasible requests ----

NUMBERS = ("cpus", "accelerators", "memGb", "imageGb", "guessS", "snapshotS", "stashS", "dueS")
TEXTS = ("jobclass", "owner", "bundle", "sett")
FLAGS = ("oneZone", "scatter", "loaned")
OPTIONAL = ("breeds", "sett", "dueS")
WRONG: dict[str, tuple[str, ...]] = {
    **dict.fromkeys(NUMBERS, ('"2"', "true", "-1", "-0.001", "1e300", "1e999", "[]", "{}")),
    **dict.fromkeys(TEXTS, ('""', "1", "true", "[]", "{}", f'"{"x" * 201}"')),
    **dict.fromkeys(FLAGS, ("0", "1", '"true"', "[]", "{}")),
    "id": ('""', "1", '"job-"', '"job-1x"', '"JOB-1"', '"job-1/2"', '"job-1\\n"', "[]", "true"),
    "shape": ('"array"', '""', "1", "[]", "true"),
    "rank": ('"urgent"', '""', "1", "[]", "true"),
    "pieces": ("0", "-1", "100001", "1.5", '"4"', "true", "[]", f"{10**30}", "1e999"),
    "breeds": ('"c8"', "1", "[1]", '[""]', "{}", "[null]"),
}


def malformed_bodies() -> list[tuple[str, bytes]]:
    """Returns for each field: submissions without it, with null where that is not allowed, and with
    values of each wrong type."""
    bodies = []
    for field in fields():
        if field not in OPTIONAL:
            body = fields()
            del body[field]
            bodies.append((field, msgspec.json.encode(body)))
        kinds = WRONG[field] + (() if field in OPTIONAL else ("null",))
        for kind in kinds:
            template = msgspec.json.encode(fields(**{field: "@@"}))
            bodies.append((field, template.replace(b'"@@"', kind.encode())))
    return bodies


def test_the_error_names_a_field_that_is_missing_or_of_a_wrong_type() -> None:
    assert set(WRONG) == set(fields()), "`WRONG` covers every field of a submission"
    for types in (True, False):
        controller = ControllerFixture()
        if not types:
            controller.model.types = {}
        for field, body in malformed_bodies():
            status, answer = ask(controller, "POST", "/submissions", body)
            assert status == 400, body
            assert f"`{field}`" in answer["error"] or f"$.{field}" in answer["error"], answer
        assert not controller.state.core.page("bs/j/", "", 10).items


@pytest.mark.parametrize("kind", ["NaN", "Infinity", "-Infinity"])
@pytest.mark.parametrize("field", [*NUMBERS, "pieces"])
def test_numbers_that_json_does_not_have_are_refused(field: str, kind: str) -> None:
    body = msgspec.json.encode(fields(**{field: "@@"})).replace(b'"@@"', kind.encode())
    assert ask(ControllerFixture(), "POST", "/submissions", body)[0] == 400


@pytest.mark.parametrize("pieces", [1, 100_000])
def test_values_at_the_limits_are_accepted(pieces: int) -> None:
    body = msgspec.json.encode(fields(pieces=pieces, cpus=0, imageGb=0.0, guessS=0, dueS=0))
    assert ask(ControllerFixture(), "POST", "/submissions", body)[0] == 201


INFEASIBLE: tuple[dict[str, Any], ...] = (
    {"owner": "nobody"},
    {"cpus": 1e9},
    {"accelerators": 0.5},
    {"memGb": 64.5},
    {"breeds": []},
    {"breeds": ["g8"]},
    {"sett": "z"},
    {"shape": "standing", "pieces": 100_000},
)


@pytest.mark.parametrize("fault", ["", "state-down", "late", "restarts"])
@with_simulated_site
async def test_malformed_and_infeasible_requests_under_load_and_during_faults(
    site: SimulatedSite, fault: str
) -> None:
    ended, running = job_id(1), job_id(2)
    await site.submit(ended, 2.0, owner="blue", pieces=1)
    await site.submit(running, 120.0, owner="red", pieces=2)
    await site.advance(16.0)
    for number in range(10, 40):
        site.at_once(site.submit(job_id(number), 8.0, owner="teal", pieces=2))
    if fault == "state-down":
        site.inject_fault(fault, for_s=8.0)
    elif fault == "late":
        site.links.late_fraction = 0.5
        for node in site.nodes:
            site.inject_fault(fault, target=node, to="state", for_s=8.0)
    elif fault:
        for index, node in enumerate(site.nodes):
            site.controllers[node].kill(0.2 + 0.4 * index)
    resubmissions = {
        job: msgspec.json.encode(submission(job, owner=team, pieces=pieces))
        for job, team, pieces in ((ended, "blue", 1), (running, "red", 2))
    }
    requests: list[tuple[str, str, bytes, set[tuple[int, str]]]] = []
    for number, changes in enumerate(INFEASIBLE):
        body = msgspec.json.encode(fields(job_id(100 + number), **({"owner": "red"} | changes)))
        requests.append(("POST", "/submissions", body, {(422, "")}))
    for _, body in malformed_bodies()[::7]:
        requests.append(("POST", "/submissions", body, {(400, "")}))
    requests += [
        ("POST", "/submissions", resubmissions[ended], {(200, "done")}),
        ("POST", "/submissions", resubmissions[running], {(200, "running"), (200, "pending")}),
        ("POST", f"/submissions/{ended}/abort", b"{}", {(200, "done")}),
        ("GET", f"/submissions/{ended}", b"", {(200, "done")}),
        ("GET", "/submissions/job-999999", b"", {(404, "")}),
        ("POST", "/submissions/job-999999/abort", b"{}", {(404, "")}),
        ("GET", "/submissions/nonsense", b"", {(404, "")}),
    ]

    async def send_all(node: str, expect_final: bool) -> None:
        for method, path, body, expected in requests:
            reply = await site.ask(method, path, body, via=node)
            outcome = (reply.status, site.phase(reply) if reply.status in (200, 201) else "")
            is_retryable = not expect_final and reply.status in (0, 429, 503)
            assert outcome in expected or is_retryable, (node, path, body, outcome)

    for _ in range(3):
        await asyncio.gather(*(send_all(node, False) for node in site.nodes))
        await site.advance(0.4)
    await site.advance(25.0)
    await asyncio.gather(*(send_all(node, True) for node in site.nodes))


def test_an_end_that_the_replica_shows_during_a_version_comparison_is_reported() -> None:
    # The response to the comparison is delayed, and the user is told of the cancellation before it
    # arrives.
    controller = ControllerFixture()
    job = controller.job()
    compare_and_swap = controller.state.compare_and_swap

    async def delayed(*args: Any) -> int:
        revision = await compare_and_swap(*args)
        controller.set(job_key(job.id), wire.StoredJob("withdrawn", 4, 0.0, job.spec))
        return revision

    controller.state.compare_and_swap = delayed  # type: ignore[assignment, method-assign]
    assert ask(controller, "GET", f"/submissions/{job.id}")[1]["phase"] == "withdrawn"
