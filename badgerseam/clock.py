"""Clocks and random numbers, injected so that tests can script them."""

from __future__ import annotations

import random
import time


class Clock:
    """The clocks of the process; tests replace it."""

    def now(self) -> float:
        """Seconds of the steady clock, for durations and deadlines."""
        return time.monotonic()

    def wall(self) -> float:
        """Seconds since the epoch, off by no more than the settings' `time_bound_ms`."""
        return time.time()


def make_random(seed: int | None = None) -> random.Random:
    """A random source for jitter and request names."""
    return random.Random(seed)
