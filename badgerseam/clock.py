"""Time and chance, injected so that tests can script them."""

from __future__ import annotations

import random
import time


class Clock:
    """The process's clocks; tests replace it."""

    def now(self) -> float:
        """Steady seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Seconds since the epoch, within the settings' bound."""
        return time.time()


def make_random(seed: int | None = None) -> random.Random:
    """A random source for jitter and request names."""
    return random.Random(seed)
