"""Tests of the event loop with a fake clock: it never waits, and runs that would not end fail."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from tests.support.fake_time import FakeClock, run_until_complete, running_clock


def test_timers_agree_with_the_clock_and_take_no_real_time() -> None:
    clock = FakeClock()
    began = clock.now()
    seen: list[tuple[str, float]] = []

    async def nap(name: str, seconds: float) -> None:
        await asyncio.sleep(seconds)
        seen.append((name, round(clock.now() - began, 6)))

    async def work() -> None:
        loop = asyncio.get_running_loop()
        before = loop.time()
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(asyncio.Event().wait(), 600.0)
        await asyncio.gather(nap("late", 7200.0), nap("soon", 0.25), nap("then", 3600.0))
        assert loop.time() - before == pytest.approx(clock.now() - began)

    real = time.monotonic()
    run_until_complete(clock, work(), 10_000_000)
    assert seen == [("soon", 600.25), ("then", 4200.0), ("late", 7800.0)]
    assert time.monotonic() - real < 60.0


def test_a_timer_fires_while_a_test_polls_without_a_pause() -> None:
    async def work() -> None:
        due = asyncio.Event()
        asyncio.get_running_loop().call_later(0.5, due.set)
        while not due.is_set():
            await asyncio.sleep(0)

    run_until_complete(FakeClock(), work())


async def run_forever(pause_s: float) -> None:
    while True:
        await asyncio.sleep(pause_s)


@pytest.mark.parametrize("work", [lambda: asyncio.Event().wait(), lambda: run_forever(0.1)])
def test_a_run_that_does_not_end_fails(work: Callable[[], Coroutine[Any, Any, object]]) -> None:
    with pytest.raises(AssertionError, match="run does not end"):
        run_until_complete(FakeClock(), work())


def test_asyncio_run_switches_to_a_fake_clock_on_request() -> None:
    async def work() -> None:
        loop = asyncio.get_running_loop()
        due = asyncio.Event()
        loop.call_later(30.0, due.set)
        before = loop.time()
        clock = running_clock()
        assert clock is running_clock()
        assert 0.0 <= loop.time() - before < 20.0, "timers keep their remaining time"
        await due.wait()
        assert clock.now() == pytest.approx(1030.0, abs=10.0)

    asyncio.run(work())
