"""Conditions that could leave polls for jobs unanswered long after a fault is over."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
import pytest

from badgerseam.api.confirmations import VersionConfirmations
from badgerseam.http.client import HttpClient, NoResponseError, Response
from badgerseam.settings import StateParams
from badgerseam.store.client import StateClient, StateUnavailableError
from badgerseam.store.state_watcher import StateWatcher
from badgerseam.wire import state as wire
from tests.api.test_user_api import ask, encoded
from tests.support.scripted_peers import (
    ControllerFixture,
    FakeHttp,
    FakeStateService,
    run_until_complete,
    seeded_random,
    submission,
)


def test_unexpected_error_in_version_check_does_not_delay_later_polls() -> None:
    fixture = ControllerFixture()
    fixture.job()
    confirm = VersionConfirmations(fixture.state)  # type: ignore[arg-type]
    version = fixture.state.version("bs/j/job-000001")
    transact, calls = fixture.state.compare_and_swap, 0

    async def fail_once(*args: Any) -> int:
        nonlocal calls
        calls += 1
        if calls == 1:
            raise OverflowError("unforeseen")
        return await transact(*args)

    fixture.state.compare_and_swap = fail_once  # type: ignore[assignment, method-assign]

    async def scenario() -> bool:
        async with asyncio.timeout(1.0):
            with pytest.raises(StateUnavailableError):
                await confirm.unchanged("bs/j/job-000001", version)
            return await confirm.unchanged("bs/j/job-000001", version)

    assert asyncio.run(scenario())


def test_job_of_removed_team_can_still_be_polled_and_cancelled() -> None:
    # Guards against answering each poll and each cancellation of such a job with 503 "changing".
    fixture = ControllerFixture()
    fixture.set(
        "bs/j/job-000007", wire.StoredJob("open", 4, 1.0, submission("job-000007", owner="x"))
    )
    status, body = ask(fixture, "GET", "/submissions/job-000007")
    assert (status, body["phase"]) == (200, "pending")
    again = encoded(submission("job-000007", owner="x"))
    assert ask(fixture, "POST", "/submissions", again)[0] == 200
    assert ask(fixture, "POST", "/submissions/job-000007/abort")[1]["phase"] == "withdrawn"
    assert ask(fixture, "GET", "/submissions/job-000007")[1]["phase"] == "withdrawn"


class UnreliableStateService(FakeStateService):
    """Refuses every fourth request for a page."""

    pages = 0

    async def page(self, prefix: str, after: str | None) -> wire.KeyPage:
        self.pages += 1
        if self.pages % 4 == 0:
            raise StateUnavailableError("503")
        return self.core.page(prefix, after or "", 10)


def test_initial_read_completes_although_some_requests_are_refused() -> None:
    # If the read starts again at each refusal, a state with many keys is never read completely and
    # the controller never answers its users.
    first = ControllerFixture()
    for number in range(200):
        first.state.put(f"bs/j/job-{number:06}", wire.StoredJob("done", 1, 0.0))
    fixture = ControllerFixture(
        state=UnreliableStateService(first.clock, first.state.params, first.state.core)
    )

    async def scenario() -> None:
        replica = StateWatcher(fixture.model, fixture.state, fixture.changed)  # type: ignore[arg-type]
        following = asyncio.ensure_future(replica.run())
        while not fixture.model.loaded:
            await asyncio.sleep(0)
        following.cancel()

    run_until_complete(fixture.clock, scenario(), 400)
    assert len(fixture.model.ended) == 200


def client(fixture: ControllerFixture, http: FakeHttp, rps: float) -> StateClient:
    params = StateParams(rps, 50.0, 8.0, 12)
    return StateClient(fixture.clock, http, "state:1", params, 1, seeded_random())  # type: ignore[arg-type]


def test_polls_for_unknown_jobs_leave_request_budget_for_others() -> None:
    # If reads for unknown jobs may use the whole request budget, they still wait for it long after
    # their users have timed out, and renewals and version checks queue behind hundreds of them.
    fixture, http = ControllerFixture(), FakeHttp()
    state = client(fixture, http, 20.0)
    http.script = [lambda _: Response(404, b'{"epoch":1}')] * 500
    fixture.ledger._state = state

    async def poll_unknown_jobs() -> None:
        reads = [asyncio.ensure_future(fixture.ledger.read(f"job-{n}", 0.3)) for n in range(200)]
        await asyncio.sleep(0.01)
        assert state.request_budget.available() >= 5.0, (
            "the rest of the budget is left to other requests"
        )
        fixture.clock.time += 1.2
        outcomes = await asyncio.gather(*reads, return_exceptions=True)
        assert sum(isinstance(outcome, StateUnavailableError) for outcome in outcomes) > 100

    run_until_complete(fixture.clock, poll_unknown_jobs(), 2000)


def test_following_a_burst_of_changes_leaves_request_budget_for_polls() -> None:
    fixture, http = ControllerFixture(), FakeHttp()
    state = client(fixture, http, 100.0)
    changes = msgspec.json.encode({"epoch": 5, "log": []})
    http.script = [lambda _: Response(200, changes)] * 5000

    async def scenario() -> int:
        until, count = fixture.clock.now() + 2.0, 0
        while fixture.clock.now() < until:
            await state.follow("bs/", 1, 2.0)
            count += 1
            fixture.clock.time += 0.004
        return count

    assert run_until_complete(fixture.clock, scenario()) <= 100
    assert state.request_budget.available() > 40.0


def test_idle_connections_are_dropped_when_one_of_them_times_out() -> None:
    # After a network fault that dropped all idle connections, each request tried one of them and
    # lost a whole request deadline on it.
    is_silent = False

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while await reader.readuntil(b"\r\n\r\n"):
            await asyncio.sleep(0.01)
            if not is_silent:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")

    async def scenario() -> None:
        nonlocal is_silent
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        http = HttpClient()
        await asyncio.gather(*(http.request(address, "GET", "/", None, 1.0) for _ in range(3)))
        assert len(http._idle) == 3
        is_silent = True
        with pytest.raises(NoResponseError):
            await http.request(address, "GET", "/", None, 0.05)
        assert not http._idle
        server.close()

    asyncio.run(scenario())
