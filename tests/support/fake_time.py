"""Time that passes only when nothing else is left to do.

A loop that goes by a fake clock waits for nothing: when everything waits for a later time, the
clock is set to it. `asyncio.sleep`, timeouts and timers thus agree with `clock.now()`, cost no
time, and come in the same order in every run.
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
"""What so many passes in a row with something to do take: a test may look again and again, without
a pause, for what a timer brings about."""
MAX_PASSES = 100_000
"""In a row, with something to do: more of them come to no end."""


class FakeClock(Clock):
    """A clock that stands still unless a test or a loop moves it."""

    def __init__(self) -> None:
        self.time = 1000.0

    def now(self) -> float:
        """Seconds of the fake clock."""
        return self.time

    def wall(self) -> float:
        """Seconds since 1970, in step with `now`."""
        return 1_700_000_000.0 + self.time


class FakeClockSelector(selectors.DefaultSelector):
    """A selector that moves a fake clock instead of waiting."""

    clock: FakeClock | None = None
    left_s = math.inf
    """By how many seconds the loop may still move the clock."""
    _busy = 0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """The ready files; moves the clock by `timeout` if there are none."""
        if self.clock is None:
            return super().select(timeout)
        ready = super().select(0)
        if ready or timeout == 0:
            self._busy += 1
            if self._busy % BUSY_PASSES == 0:
                self._move(self.clock, BUSY_S)
            if self._busy == MAX_PASSES:
                self._end("no end of what is to be done at once")
            return ready
        self._busy = 0
        if timeout is None:
            # The loop would wait for ever; a test that fails says more than one that hangs.
            self._end("all wait, and nothing is to come")
        else:
            self._move(self.clock, timeout)
        return ready

    def _move(self, clock: FakeClock, seconds: float) -> None:
        clock.time += seconds
        self.left_s -= seconds
        if self.left_s < 0:
            self._end(f"not done at {clock.time:.3f}")

    def _end(self, cause: str) -> None:
        # Tasks that are cancelled now get their turns to end.
        self.left_s, self._busy = math.inf, 0
        raise AssertionError(f"came to no end: {cause}")


class FakeLoop(asyncio.SelectorEventLoop):
    """An event loop that goes by real time until it gets a fake clock."""

    def __init__(self, clock: FakeClock | None = None, most_s: float = math.inf) -> None:
        """`most_s`: by how many seconds the loop moves the clock before it fails."""
        self._waiting = FakeClockSelector()
        self._ahead_s = 0.0
        super().__init__(self._waiting)
        self._waiting.left_s = most_s
        if clock is not None:
            self.go_by(clock)

    @property
    def clock(self) -> FakeClock | None:
        """The fake clock that the loop goes by; None for real time."""
        return self._waiting.clock

    def go_by(self, clock: FakeClock) -> None:
        """Go by a fake clock from now on; running timers keep their remaining time."""
        # Nothing is due yet: without this, what is rounded would depend on how long the machine is
        # up, and with it which of two timers at the same moment comes first.
        self._ahead_s = self.time() - clock.now() if self._scheduled else 0.0  # type: ignore[attr-defined]
        self._waiting.clock = clock

    def time(self) -> float:
        """The time by which the loop schedules."""
        clock = self._waiting.clock
        return time.monotonic() if clock is None else clock.now() + self._ahead_s


def running_clock() -> FakeClock:
    """The clock that the running loop goes by, from now on if it went by none."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, FakeLoop), "run by asyncio.run of a test, or by drive"
    if loop.clock is None:
        loop.go_by(FakeClock())
    clock = loop.clock
    assert clock is not None
    return clock


def run_until_complete(clock: FakeClock, work: Coroutine[Any, Any, T], rounds: int = 3000) -> T:
    """Run to the end by a fake clock; an error if it has to move by more than `rounds` times 3 ms.

    What the work itself adds to the clock does not count.
    """
    with asyncio.Runner(loop_factory=lambda: FakeLoop(clock, rounds * 0.003)) as runner:
        return runner.run(work)


class Policy(asyncio.DefaultEventLoopPolicy):
    """A policy by which `asyncio.run` makes loops that can go by a fake clock."""

    def new_event_loop(self) -> FakeLoop:
        """A new loop by real time."""
        return FakeLoop()
