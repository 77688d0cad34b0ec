"""Clocks and random numbers, injected so that tests can control them."""

from __future__ import annotations

import random
import time


class Clock:
    """The monotonic clock and the wall clock of the process; tests inject a fake one."""

    def now(self) -> float:
        """Returns the monotonic clock in seconds, for durations and deadlines."""
        return time.monotonic()

    def wall(self) -> float:
        """Returns the wall clock in seconds since the epoch.

        Its error is at most `time_bound_ms` of the settings.
        """
        return time.time()


def make_random(seed: int | None = None) -> random.Random:
    """Returns a random number generator for jitter and request names."""
    return random.Random(seed)
