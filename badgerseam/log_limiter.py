"""Limits how often log lines of the same kind are written."""

from __future__ import annotations

from badgerseam.clock import Clock


class LogLimiter:
    """Allows at most one line per kind and interval, and counts the lines left out."""

    def __init__(self, clock: Clock, interval_s: float) -> None:
        self._clock = clock
        self._interval_s = interval_s
        self._logged_at: dict[str, float] = {}
        self._left_out: dict[str, int] = {}

    def may_log(self, kind: str) -> bool:
        """Whether a line of a kind may be logged now; counts it otherwise."""
        now = self._clock.now()
        logged_at = self._logged_at.get(kind)
        if logged_at is not None and now - logged_at < self._interval_s:
            self._left_out[kind] = self._left_out.get(kind, 0) + 1
            return False
        self._logged_at[kind] = now
        return True

    def left_out(self, kind: str) -> str:
        """Returns the end of a line with the number of lines left out before it, and resets that
        number; empty if there were none."""
        count = self._left_out.pop(kind, 0)
        return f" not_logged={count}" if count else ""
