"""Simulated time that passes only when no task is ready to run.

An event loop with a fake clock never waits: when all tasks wait for timers, it sets the clock to
the next timer. So `asyncio.sleep`, timeouts and timers agree with `clock.now()`, take no real time,
and fire in the same order in every run.
"""

from __future__ import annotations

import asyncio
import math
import selectors
import time
from collections.abc import Coroutine
from typing import Any, TypeVar

from badgerseam.clock import Clock

T = TypeVar("T")

BUSY_PASSES = 20
BUSY_S = 0.003
"""Seconds by which the clock moves after `BUSY_PASSES` passes in a row in which a task was ready.
Without this, a test that polls without a pause for the effect of a timer would never see it."""
MAX_PASSES = 100_000
"""Passes in a row in which a task was ready, after which the run counts as an endless loop."""


class FakeClock(Clock):
    """A clock that moves only when a test or an event loop moves it."""

    def __init__(self) -> None:
        self.time = 1000.0

    def now(self) -> float:
        """Returns the seconds of the fake clock."""
        return self.time

    def wall(self) -> float:
        """Returns the seconds since 1970; advances together with `now`."""
        return 1_700_000_000.0 + self.time


class FakeClockSelector(selectors.DefaultSelector):
    """A selector that moves a fake clock instead of waiting."""

    clock: FakeClock | None = None
    left_s = math.inf
    """Seconds by which the loop may still move the clock."""
    _busy_passes = 0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Returns the ready files; moves the clock by `timeout` if there are none."""
        if self.clock is None:
            return super().select(timeout)
        ready = super().select(0)
        if ready or timeout == 0:
            self._busy_passes += 1
            if self._busy_passes % BUSY_PASSES == 0:
                self._move(self.clock, BUSY_S)
            if self._busy_passes == MAX_PASSES:
                self._fail(f"tasks were ready in {MAX_PASSES} passes in a row")
            return ready
        self._busy_passes = 0
        if timeout is None:
            # The loop would wait forever. A failure shows the cause better than a test that hangs.
            self._fail("all tasks wait and no timer is set")
        else:
            self._move(self.clock, timeout)
        return ready

    def _move(self, clock: FakeClock, seconds: float) -> None:
        clock.time += seconds
        self.left_s -= seconds
        if self.left_s < 0:
            self._fail(f"not complete at {clock.time:.3f} s of the fake clock")

    def _fail(self, cause: str) -> None:
        # No limits from here on, so that the tasks that the error cancels can complete.
        self.left_s, self._busy_passes = math.inf, 0
        raise AssertionError(f"run does not end: {cause}")


class FakeLoop(asyncio.SelectorEventLoop):
    """An event loop that uses real time until it gets a fake clock."""

    def __init__(self, clock: FakeClock | None = None, max_s: float = math.inf) -> None:
        """`max_s`: seconds by which the loop may move the clock; beyond them it fails."""
        self._clock_selector = FakeClockSelector()
        self._offset_s = 0.0
        super().__init__(self._clock_selector)
        self._clock_selector.left_s = max_s
        if clock is not None:
            self.use_clock(clock)

    @property
    def clock(self) -> FakeClock | None:
        """The fake clock that the loop uses; None for real time."""
        return self._clock_selector.clock

    def use_clock(self, clock: FakeClock) -> None:
        """Switches to a fake clock; timers that are already set keep their remaining time."""
        # Without timers, no offset is needed. An offset taken from the real clock would make
        # rounding errors depend on the uptime of the machine, and with them the order of two timers
        # that are due at the same time.
        self._offset_s = self.time() - clock.now() if self._scheduled else 0.0  # type: ignore[attr-defined]
        self._clock_selector.clock = clock

    def time(self) -> float:
        """Returns the time by which the loop schedules timers."""
        clock = self._clock_selector.clock
        return time.monotonic() if clock is None else clock.now() + self._offset_s


def running_clock() -> FakeClock:
    """Returns the fake clock of the running loop; a loop without one gets a new one."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, FakeLoop), (
        "call this from asyncio.run in a test, or from run_until_complete"
    )
    if loop.clock is None:
        loop.use_clock(FakeClock())
    clock = loop.clock
    assert clock is not None
    return clock


def run_until_complete(clock: FakeClock, work: Coroutine[Any, Any, T], rounds: int = 3000) -> T:
    """Runs a coroutine to its end with a fake clock.

    AssertionError if the loop has to move the clock by more than `rounds` times 3 ms. Time that the
    coroutine itself adds to the clock does not count.
    """
    with asyncio.Runner(loop_factory=lambda: FakeLoop(clock, rounds * 0.003)) as runner:
        return runner.run(work)


class Policy(asyncio.DefaultEventLoopPolicy):
    """An event loop policy with which `asyncio.run` creates loops that can use a fake clock."""

    def new_event_loop(self) -> FakeLoop:
        """Returns a new loop that uses real time."""
        return FakeLoop()
