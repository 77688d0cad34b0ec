"""One task's life on one machine, explored exhaustively up to a bounded number of steps: a real
owner, a real worker, and direct commands that may be lost, delayed or delivered again at any step.

No order of steps may start an attempt while its task is elsewhere, or after its job has ended.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Iterator
from typing import Any, NamedTuple, NoReturn

import msgspec
import pytest

from badgerseam.http.client import NoResponseError, Response
from badgerseam.lab.worker import Description
from badgerseam.model.job import IDLE, Attempt, Phase, Stage
from badgerseam.model.machine import BUMP_BITS, Machine
from badgerseam.model.resources import NOTHING, Resources
from tests.support.scripted_peers import ControllerFixture, Worker

JOB, TASK = "job-000001", "job-000001/0"
HERE, ELSEWHERE = "m-1", "m-2"
TOO_LARGE = Description(Resources(1.0, 0.0, 0.0))
"""A job that the worker refuses, since its machine has no resources."""
FITTING = Description(NOTHING)
ALWAYS = frozenset({"push", "heartbeat", "copy_first", "copy_second", "copy_last"})
FAMILIES = {
    "failure": (7, {"fail", "retry_elsewhere", "retry_here", "push_without_answer"}),
    "delay": (6, {"fail", "retry_elsewhere", "push_delayed", "heartbeat_without_answer"}),
    "refusal": (8, {"refuse", "accept", "retry_elsewhere", "retry_here"}),
    "eviction": (7, {"evict", "retry_elsewhere", "push_delayed"}),
    "cancellation": (6, {"cancel", "fail", "push_delayed", "heartbeat_without_answer"}),
    "completion": (7, {"complete", "wait", "push_without_answer"}),
    "takeover": (8, {"take_over", "fail", "retry_elsewhere", "heartbeat_without_answer"}),
    "session": (6, {"end_session", "fail", "retry_elsewhere", "push_delayed"}),
}
"""Steps that are explored together, besides those of `ALWAYS`, and how many in a row."""
ALL_STEPS = 4
"""How many steps in a row are explored if any may follow any."""
MAX_ATTEMPTS = 2
MAX_TERMS = 2
MAX_SESSIONS = 2
RETRY_PAUSE_S = 1.1


class Violation(NamedTuple):
    """A forbidden start, and the steps that led to it."""

    text: str
    steps: tuple[str, ...]


class Story:
    """The machine, its owner and the task. Steps are methods; `enabled` names those that apply."""

    def __init__(self) -> None:
        self.fixture = ControllerFixture()
        self.fixture.own()
        self.machine = self.fixture.machine(HERE)
        self.elsewhere = self.fixture.machine(ELSEWHERE)
        self.worker = Worker(HERE)
        self.worker._observer = self._on_task_event
        self.broken = ""
        """Which rule an attempt has broken by its start; empty if none has."""
        self.fixture.report(self.worker)
        self.fixture.report(self.worker)
        self.job = self.fixture.job(pieces=1)
        self.terms = 1
        self.sent: list[dict[str, Any]] = []
        """The direct messages with commands so far, executed or not."""
        self._place(1, self.machine)

    # ---- steps ----

    def push(self) -> None:
        self._push(self.worker.do)

    def push_without_answer(self) -> None:
        def execute(message: dict[str, Any]) -> NoReturn:
            self.worker.do(message)
            raise NoResponseError("the answer is lost")

        self._push(execute)

    def push_delayed(self) -> None:
        def delay(_message: dict[str, Any]) -> NoReturn:
            raise NoResponseError("the command is delayed")

        self._push(delay)

    def heartbeat(self) -> None:
        reply = self._check_in()
        if reply is not None:
            self.worker.process_response(reply)

    def heartbeat_without_answer(self) -> None:
        self._check_in()

    def fail(self) -> None:
        self.worker.finish(TASK, "error")

    def complete(self) -> None:
        self.worker.finish(TASK, "done")

    def refuse(self) -> None:
        self.worker.job = TOO_LARGE

    def accept(self) -> None:
        self.worker.job = FITTING

    def evict(self) -> None:
        self.job.attempts[0].stopping = True

    def cancel(self) -> None:
        assert asyncio.run(self.fixture.ledger.cancel(JOB)) == Phase.CANCELLED

    def retry_here(self) -> None:
        self._place(self._next_number(), self.machine)

    def retry_elsewhere(self) -> None:
        self._place(self._next_number(), self.elsewhere)

    def take_over(self) -> None:
        self.terms += 1
        self.fixture.claim(node="n-1", lease=9)
        self.fixture.own()

    def end_session(self) -> None:
        self.worker.end_session()

    def wait(self) -> None:
        """Lets as much time pass as an owner collects completions for."""
        self.fixture.clock.time += self.fixture.tunables.done_delay_s + RETRY_PAUSE_S
        self.fixture.lease()
        asyncio.run(self.fixture.settle(6))

    def copy_first(self) -> None:
        self.worker.do(self.sent[0])

    def copy_second(self) -> None:
        self.worker.do(self.sent[1])

    def copy_last(self) -> None:
        self.worker.do(self.sent[-1])

    # ---- what applies, and what must hold ----

    def enabled(self) -> Iterator[str]:
        """Yields the names of the steps that apply now."""
        yield from ("push", "push_without_answer", "push_delayed", "heartbeat")
        yield from ("heartbeat_without_answer", "wait")
        if self.is_active:
            yield from ("fail", "complete")
        yield "accept" if self.worker.job is TOO_LARGE else "refuse"
        attempt = self.attempt
        if attempt is not None and attempt.machine is self.machine and not attempt.stopping:
            yield "evict"
        if self.fixture.model.job(JOB) is not None and self.job.phase == Phase.OPEN:
            yield "cancel"
            if self.job.status[0] == IDLE and self._next_number() <= MAX_ATTEMPTS:
                yield from ("retry_here", "retry_elsewhere")
        if self.terms < MAX_TERMS:
            yield "take_over"
        if self.worker.session < MAX_SESSIONS:
            yield "end_session"
        if self.sent:
            yield "copy_last"
        if len(self.sent) > 1:
            yield "copy_first"
        if len(self.sent) > 2:
            yield "copy_second"

    def violation(self) -> str:
        """Returns which rule is broken; empty if none is."""
        return self.broken or (self._forbidden_now() if self.is_active else "")

    def _on_task_event(self, event: str, _machine: str, _task: str, _attempt: int) -> None:
        if event == "on":
            # A task that has completed before exits again as soon as it is on.
            self.broken = self.broken or self._forbidden_now()

    def _forbidden_now(self) -> str:
        """Returns why no attempt may be active on the machine now; empty if one may."""
        if self.fixture.model.job(JOB) is None:
            return "the task is active after the end of its job"
        attempt = self.attempt
        if attempt is not None and attempt.machine is self.elsewhere:
            return "the task is active although it was started elsewhere"
        return ""

    def fingerprint(self) -> tuple[object, ...]:
        """Returns what decides which commands are sent and executed later.

        Times are left out, and versions and tokens are numbered in their order.
        """
        machine, worker = self.machine, self.worker
        terms = sorted({token >> BUMP_BITS for token in self._tokens()})

        def relative(token: int) -> tuple[int, int]:
            return terms.index(token >> BUMP_BITS), token & ((1 << BUMP_BITS) - 1)

        return (
            tuple(relative(token) for token in self._tokens()),
            machine.incarnation,
            machine.launch_incarnation,
            machine.unsettled_incarnation,
            machine.response_open,
            machine.contacted,
            machine.push_failures,
            machine.missed_answers,
            repr(sorted(machine.reported_tasks.items())),
            worker.session,
            worker.job is TOO_LARGE,
            repr(worker.tasks),
            self.terms,
            self.job.phase,
            self.fixture.model.job(JOB) is None,
            self._attempt_state(),
            repr([(m["tenure"], m["orders"]) for m in self.sent]),
        )

    @property
    def is_active(self) -> bool:
        """Whether an attempt of the task is active on the machine."""
        held = self.worker.tasks.get(TASK)
        return held is not None and held.phase != "exited"

    @property
    def attempt(self) -> Attempt | None:
        """The task's attempt on record; None without one."""
        return self.job.attempts.get(0)

    def _tokens(self) -> list[int]:
        machine = self.machine
        tokens = [
            machine.fencing_token,
            machine.acknowledged_token,
            machine.highest_launch_token,
            machine.highest_unsettled_token,
            machine.last_answer_token,
            machine.highest_direct_token,
            self.worker.token,
        ]
        return tokens + [message["warrant"] for message in self.sent]

    def _attempt_state(self) -> tuple[object, ...]:
        attempt = self.attempt
        if attempt is None:
            return (self.job.status[0], self.job.tries.get(0))
        return (
            attempt.number,
            attempt.machine.name,
            attempt.stage,
            attempt.sent,
            attempt.launched,
            attempt.stopping,
            attempt.stop_sent,
            attempt.finishing,
            self.machine.heartbeat_position <= attempt.sent_at_heartbeat,
        )

    def _next_number(self) -> int:
        return self.job.tries.get(0, 0) + 1

    def _place(self, number: int, machine: Machine) -> None:
        """Places the task durably."""
        self.job.idle.clear()
        self.fixture.model.place(self.job, 0, number, machine, Stage.PLACED)
        self.fixture.page(0, self.fixture.rows(JOB, (0, number, machine.name)))

    def _push(self, worker: Callable[[dict[str, Any]], Response]) -> None:
        requests = self.fixture.http.sent
        requests.clear()
        self.fixture.clock.time += RETRY_PAUSE_S
        self.fixture.lease()

        def respond(message: dict[str, Any]) -> Response:
            if not message:
                return Response(200, self.worker.body())
            return worker(message)

        self.fixture.http.script = [respond]
        asyncio.run(self.fixture.push(self.machine))
        for _, _, message in requests:
            if message.get("orders") and message not in self.sent:
                self.sent.append(message)

    def _check_in(self) -> dict[str, Any] | None:
        reply = self.fixture.worker_manager.handle_heartbeat(self.worker.body())
        asyncio.run(self.fixture.settle(3))
        return None if reply.status != 200 else dict(msgspec.json.decode(reply.body))


def replay(steps: tuple[str, ...]) -> Story:
    """Returns the story after these steps."""
    story = Story()
    for step in steps:
        getattr(story, step)()
    return story


def explore(max_steps: int, family: Collection[str] = ()) -> tuple[int, Violation | None]:
    """Returns the number of different states, and the first violation found.

    `family`: the steps to explore besides those of `ALWAYS`; all if empty.
    """
    allowed = ALWAYS.union(family)
    seen = {Story().fingerprint()}
    frontier: list[tuple[str, ...]] = [()]
    for _ in range(max_steps):
        found: list[tuple[str, ...]] = []
        for steps in frontier:
            for step in replay(steps).enabled():
                if family and step not in allowed:
                    continue
                story = replay((*steps, step))
                text = story.violation()
                if text:
                    return len(seen), Violation(text, (*steps, step))
                fingerprint = story.fingerprint()
                if fingerprint not in seen:
                    seen.add(fingerprint)
                    found.append((*steps, step))
        frontier = found
    return len(seen), None


@pytest.mark.parametrize("name", FAMILIES)
def test_no_order_of_steps_starts_a_task_that_is_elsewhere_or_whose_job_has_ended(
    name: str,
) -> None:
    states, violation = explore(*FAMILIES[name])
    assert violation is None
    assert states > 100


def test_no_order_of_all_steps_starts_a_task_that_is_elsewhere_or_whose_job_has_ended() -> None:
    states, violation = explore(ALL_STEPS)
    assert violation is None
    assert states > 1000


@pytest.mark.parametrize(
    ("name", "text"),
    [
        ("failure", "elsewhere"),
        ("delay", "elsewhere"),
        ("session", "elsewhere"),
        ("refusal", "elsewhere"),
        ("eviction", "elsewhere"),
        ("takeover", "elsewhere"),
        ("cancellation", "end of its job"),
        ("completion", "end of its job"),
    ],
)
def test_the_exploration_finds_a_second_start_if_reaps_do_not_fence_launches(
    monkeypatch: pytest.MonkeyPatch, name: str, text: str
) -> None:
    monkeypatch.setattr(Machine, "fence_launches", lambda _machine: None)
    _, violation = explore(*FAMILIES[name])
    assert violation is not None
    assert text in violation.text
