"""Users ask at all controllers, again and again within milliseconds, right after a job was
accepted, ended or confirmed as cancelled: no answer may be older than what any controller told."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from badgerseam.api.confirmations import VersionConfirmations
from badgerseam.http.client import Response
from badgerseam.lab.services import WATCH
from badgerseam.model.keys import job_key
from badgerseam.settings import StateParams
from badgerseam.store.client import StateClient
from badgerseam.wire import state as wire
from badgerseam.wire.state import Condition
from tests.api.test_user_api import ask
from tests.batch.test_batch import BatchController
from tests.support.scripted_peers import ControllerFixture, FakeHttp, seeded, submission
from tests.support.simulated_site import SimulatedSite, run_on_site

JOB = "job-000001"
PATH = f"/submissions/{JOB}"
TASKS_S = 3.0
LONG_S = 300.0
ROUNDS = 6
RETRY_STATUSES = (0, 429, 503, 504)
"""Told by a controller that cannot be certain, or that is not there."""
OPEN = ("pending", "running")
PHASE_TIMEOUT_S = 60.0
"""For how long a controller that tells a phase is looked for."""


# ---- whole controllers ----


def schedule_faults(world: SimulatedSite, troubles: str, offset_s: float) -> None:
    """Have troubles, with `+` between them, begin so long after now."""
    nodes = world.random.sample(world.nodes, 3)

    def now() -> None:
        for trouble in troubles.split("+"):
            inject_fault(world, trouble, nodes)

    asyncio.get_running_loop().call_later(offset_s, now)


def inject_fault(world: SimulatedSite, trouble: str, nodes: list[str]) -> None:
    if trouble == "watch":
        # Two watches receive no change; the third, of any of the three controllers, goes on.
        for node in nodes[:2]:
            world.links.break_(node, WATCH, "cut")
    elif trouble == "leader ended":
        world.controllers[world.leader or nodes[0]].kill(1.0)
    elif trouble == "late writes":
        world.break_("late-writes", factor=0.3, for_s=4.0)
    elif trouble == "state-down":
        world.break_("state-down", for_s=1.0)
    elif trouble == "slow":
        world.break_("slow", target=nodes[0], to="state", for_s=4.0)
    elif trouble == "lossy":
        for node in nodes:
            world.break_("lossy", target=node, to="state", for_s=4.0)


def restore_watches(world: SimulatedSite) -> None:
    for node in world.nodes:
        world.links.heal(node, WATCH)


async def check_answers(
    world: SimulatedSite, job: str, body: bytes, phases: tuple[str, ...]
) -> int:
    """Ask about a job at every controller and repeat its submission there, at once and in some more
    rounds; how many answers there were. Each must be one of the phases, or none at all."""

    async def one(method: str, path: str, sent: bytes, node: str) -> bool:
        reply = await world.ask(method, path, sent, via=node)
        if reply.status in RETRY_STATUSES:
            return False
        assert reply.status == 200, (reply, method, node)
        assert world.phase(reply) in phases, (reply, method, node)
        return True

    asked = []
    for _ in range(ROUNDS):
        for node in world.nodes:
            asked.append(asyncio.ensure_future(one("GET", f"/submissions/{job}", b"", node)))
            asked.append(asyncio.ensure_future(one("POST", "/submissions", body, node)))
        await world.advance(world.random.choice([0.0, 0.001, 0.004, 0.02, 0.1]))
    return sum(await asyncio.gather(*asked))


async def wait_for_phase(world: SimulatedSite, job: str, phase: str) -> None:
    """Poll until any controller answers with a phase."""
    until = world.clock.now() + PHASE_TIMEOUT_S
    while world.clock.now() < until:
        for node in world.nodes:
            reply = await world.ask("GET", f"/submissions/{job}", via=node)
            if world.phase(reply) == phase:
                return
        await world.advance(0.02)
    raise AssertionError(f"nobody has told {phase} within {PHASE_TIMEOUT_S} s")


async def submit_accepted(world: SimulatedSite, job: str, run_s: float, **changes: Any) -> bytes:
    """Have a job accepted by some controller; the submission."""
    body = msgspec.json.encode(submission(job, **changes))
    via = world.random.choice(world.nodes)
    reply = await world.submit(job, run_s, via=via, **changes)
    assert reply.status in (200, 201)
    return body


async def run_to_completion(world: SimulatedSite, job: str, trouble: str, offset_s: float) -> int:
    body = await submit_accepted(world, job, TASKS_S, owner="blue", pieces=2)
    schedule_faults(world, trouble, offset_s)
    count = await check_answers(world, job, body, (*OPEN, "done"))
    restore_watches(world)
    await world.until(lambda: {f"{job}/0", f"{job}/1"} <= world.results.done, 60.0)
    schedule_faults(world, trouble, offset_s)
    await wait_for_phase(world, job, "done")
    count += await check_answers(world, job, body, ("done",))
    restore_watches(world)
    return count


async def cancel_after_acceptance(
    world: SimulatedSite, job: str, trouble: str, offset_s: float
) -> int:
    body = await submit_accepted(world, job, LONG_S, owner="red", pieces=2)
    schedule_faults(world, trouble, offset_s)
    cancelling = asyncio.ensure_future(world.cancel(job, via=world.random.choice(world.nodes)))
    # Whichever of these questions is answered first; the judge knows what was told when.
    count = await check_answers(world, job, body, (*OPEN, "withdrawn"))
    reply = await cancelling
    assert world.phase(reply) == "withdrawn"
    count += await check_answers(world, job, body, ("withdrawn",))
    restore_watches(world)
    return count


async def cancel_while_running(
    world: SimulatedSite, job: str, trouble: str, offset_s: float
) -> int:
    body = await submit_accepted(world, job, LONG_S, owner="teal", pieces=1, shape="standing")
    await world.until(lambda: world.on(job), 40.0)
    schedule_faults(world, trouble, offset_s)
    reply = await world.cancel(job, via=world.random.choice(world.nodes))
    assert world.phase(reply) == "withdrawn"
    count = await check_answers(world, job, body, ("withdrawn",))
    restore_watches(world)
    return count


MOMENTS: tuple[Callable[[SimulatedSite, str, str, float], Any], ...] = (
    run_to_completion,
    cancel_after_acceptance,
    cancel_while_running,
)
FAULTS = (
    "",
    "slow",
    "lossy",
    "watch",
    "leader ended",
    "state-down",
    "late writes",
    "watch+lossy",
    "watch+leader ended",
    "slow+state-down",
    "leader ended+late writes",
)


@pytest.mark.parametrize("trouble", FAULTS)
@pytest.mark.parametrize(("seed", "offset_s"), [(1, 0.0), (2, 0.003), (3, 0.05), (4, 0.2)])
def test_what_any_controller_has_told_none_answers_older(
    trouble: str, seed: int, offset_s: float
) -> None:
    async def story(world: SimulatedSite) -> None:
        for number, moment in enumerate(MOMENTS):
            count = await moment(world, f"job-{number:06}", trouble, offset_s)
            if trouble in ("", "watch"):
                assert count == 2 * 3 * ROUNDS * (1 if number == 2 else 2), "all are answered"
            await world.advance(6.0)
        if "leader ended" not in trouble and "late writes" not in trouble:
            statuses = [
                event.status
                for event in world.history.events
                if event.kind == "answer" and event.about == "submit"
            ]
            assert statuses.count(201) <= 3, "each job is accepted once"

    run_on_site(story, seed)


async def run_one_job(world: SimulatedSite) -> None:
    """The judge takes a site on which nothing runs for broken."""
    await world.submit("job-000009", TASKS_S, owner="red")
    await wait_for_phase(world, "job-000009", "done")


def test_followers_that_hear_of_no_change_do_not_know_what_they_answer() -> None:
    async def story(world: SimulatedSite) -> None:
        behind = world.nodes[1:]
        for node in behind:
            world.links.break_(node, WATCH, "cut")
        body = msgspec.json.encode(submission(JOB, owner="blue"))
        assert (await world.submit(JOB, TASKS_S, via=world.nodes[0], owner="blue")).status == 201
        for node in behind:
            controller = world.controllers[node].of
            assert controller is not None and controller.model.job(JOB) is None
        assert await check_answers(world, JOB, body, OPEN) == 6 * ROUNDS
        await world.cancel(JOB, via=world.nodes[0])
        for node in behind:
            controller = world.controllers[node].of
            assert controller is not None and JOB not in controller.model.ended
        assert await check_answers(world, JOB, body, ("withdrawn",)) == 6 * ROUNDS
        restore_watches(world)
        await run_one_job(world)

    run_on_site(story)


@pytest.mark.parametrize("seed", [1, 2])
def test_an_accepted_job_that_one_controller_takes_for_hopeless_is_never_refused_there(
    seed: int,
) -> None:
    async def story(world: SimulatedSite) -> None:
        busy = (world.leader, world.owner("blue"))
        name = next(node for node in world.nodes if node not in busy)
        stale = world.controllers[name].of
        assert stale is not None
        world.links.break_(name, WATCH, "cut")
        small = [msgspec.structs.replace(t, cpus=1.0) for t in stale.model.types.values()]
        stale.model.set_types(small)
        other = msgspec.json.encode(submission("job-000002", owner="blue"))
        assert (await world.ask("POST", "/submissions", other, via=name)).status == 422
        body = msgspec.json.encode(submission(JOB, owner="blue"))
        assert (await world.submit(JOB, TASKS_S, via=world.leader, owner="blue")).status == 201
        assert await check_answers(world, JOB, body, OPEN) == 6 * ROUNDS
        await world.cancel(JOB, via=name)
        assert await check_answers(world, JOB, body, ("withdrawn",)) == 6 * ROUNDS
        restore_watches(world)
        await run_one_job(world)

    run_on_site(story, seed)


# ---- one controller ----

KINDS: dict[str, tuple[str, str, dict[str, Any]]] = {
    "question": ("GET", PATH, {}),
    "submission that can never run": ("POST", "/submissions", {"cpus": 9.0}),
    "cancellation": ("POST", f"{PATH}/abort", {}),
}


def read_overtaken_by_write(
    rig: ControllerFixture, found: bool, state: str, **changes: Any
) -> None:
    """A read's answer is held up until the replica has shown the record with that state."""
    get = rig.state.get
    spec = submission(JOB, **changes)

    async def held_up(*args: Any) -> wire.Entry | None:
        entry = await get(*args)
        rig.state.get = get  # type: ignore[method-assign]
        rig.set(job_key(JOB), wire.StoredJob("open", spec.tasks, 0.0, spec))
        if state != "open":
            rig.set(job_key(JOB), wire.StoredJob(state, spec.tasks, 0.0, spec))
        return entry

    if found:
        rig.state.put(job_key(JOB), wire.StoredJob("open", spec.tasks, 0.0, spec))
    rig.state.get = held_up  # type: ignore[assignment, method-assign]


@pytest.mark.parametrize("state", ["open", "withdrawn"])
@pytest.mark.parametrize("kind", KINDS)
def test_a_job_that_comes_to_be_known_while_it_is_read_is_not_unknown(
    kind: str, state: str
) -> None:
    rig = ControllerFixture()
    method, path, changes = KINDS[kind]
    read_overtaken_by_write(rig, False, state, **changes)
    body = msgspec.json.encode(submission(JOB, **changes))
    status, answer = ask(rig, method, path, body)
    cancelled = state == "withdrawn" or kind == "cancellation"
    assert (status, answer["phase"]) == (200, "withdrawn" if cancelled else "pending")


def test_a_job_that_ends_while_it_is_read_is_not_pending() -> None:
    rig = ControllerFixture()
    read_overtaken_by_write(rig, True, "withdrawn")
    assert ask(rig, "GET", PATH) == (200, {"id": JOB, "phase": "withdrawn"})


def test_a_job_that_another_controller_accepted_is_not_accepted_again() -> None:
    rig = ControllerFixture()
    rig.state.put(job_key(JOB), wire.StoredJob("open", 4, 0.0, submission(JOB)))
    status, answer = ask(rig, "POST", "/submissions", msgspec.json.encode(submission(JOB)))
    assert (status, answer["phase"]) == (200, "pending")


def test_a_question_never_joins_a_comparison_that_was_sent_before_it() -> None:
    rig = ControllerFixture()
    version = rig.job().version
    confirmations = VersionConfirmations(rig.state)  # type: ignore[arg-type]
    transact, sent = rig.state.compare_and_swap, asyncio.Event()
    answered = asyncio.Event()

    async def held_up(conditions: list[Condition], *rest: Any) -> int:
        try:
            return await transact(conditions, *rest)
        finally:
            sent.set()
            await answered.wait()

    async def work() -> None:
        rig.state.compare_and_swap = held_up  # type: ignore[assignment, method-assign]
        first = asyncio.ensure_future(confirmations.unchanged(job_key(JOB), version))
        await sent.wait()
        # Confirmed elsewhere, and then asked here, while the first one's answer is on its way.
        rig.state.put(job_key(JOB), wire.StoredJob("withdrawn", 4, 0.0, submission(JOB)))
        second = asyncio.ensure_future(confirmations.unchanged(job_key(JOB), version))
        await asyncio.sleep(0.05)
        answered.set()
        assert await first and not await second

    rig.run(work())


def test_polls_that_come_together_cost_one_request_to_the_state_service() -> None:
    rig, http = ControllerFixture(), FakeHttp()
    params = StateParams(100.0, 50.0, 8.0, 12)
    state = StateClient(rig.clock, http, "state:1", params, 1, seeded())  # type: ignore[arg-type]
    http.script = [lambda _: Response(200, b'{"epoch":1}')] * 9

    async def polls(jobs: int) -> int:
        confirm, before = VersionConfirmations(state), len(http.sent)
        asked = [confirm.unchanged(f"bs/j/job-{number % jobs:06}", 1) for number in range(90)]
        assert all(await asyncio.gather(*asked))
        return len(http.sent) - before

    # 48 conditions fit into a transaction of 12 writes.
    assert [rig.run(polls(jobs)) for jobs in (1, 48, 49)] == [1, 1, 2]


# ---- terms ----


def two_desks() -> tuple[BatchController, BatchController]:
    """Two controllers; what the first changes from now on the second has not heard of."""
    one = BatchController()
    two = BatchController(beside=one)
    one.job(job_id="job-1")
    one.job(job_id="job-2")
    two.sync()
    return one, two


def test_terms_are_refused_for_what_is_so_now_and_not_for_what_was() -> None:
    one, two = two_desks()
    depends = [{"kind": "afterany", "job": "job-2"}]
    assert one.ask("POST", "/submissions/job-1/terms", {"depends": depends})[0] == 200
    assert two.ask("POST", "/submissions/job-1/terms", {"any": True})[0] == 200
    # Taken back at the first; the second still takes the other way round for a cycle.
    assert one.ask("POST", "/submissions/job-1/terms", {"depends": [], "any": False})[0] == 200
    back = [{"kind": "afterany", "job": "job-1"}]
    assert two.ask("POST", "/submissions/job-2/terms", {"depends": back})[0] == 200
    stored = one.state.core.get(job_key("job-2"))
    assert stored is not None
    record: wire.StoredJob = msgspec.json.decode(stored.value, type=wire.StoredJob)
    assert record.spec is not None and record.spec.terms is not None and record.spec.terms.depends
    # What is a cycle still is refused.
    status, answer = one.ask("POST", "/submissions/job-1/terms", {"depends": depends})
    assert status == 422 and "wait for itself" in answer["error"]


def test_a_refused_submission_is_not_told_of_another_job_that_has_its_id() -> None:
    one, two = two_desks()
    first = {"terms": {"nonce": "a"}, "owner": "red"}
    second = {"terms": {"nonce": "b"}, "owner": "nobody"}
    for rig, changes, status in ((one, first, 201), (two, second, 409), (two, first, 200)):
        body = msgspec.Raw(msgspec.json.encode(submission("job-3", **changes)))
        assert rig.ask("POST", "/submissions", body)[0] == status
