"""Rate budgets: a share of a limit that several controllers have to keep together."""

from __future__ import annotations

from badgerseam.clock import Clock


class Budget:
    """A token bucket; urgent use may draw on a reserve that other use leaves alone."""

    def __init__(
        self, clock: Clock, per_s: float, burst_s: float = 1.0, least_burst: float = 1.0
    ) -> None:
        self._clock = clock
        self.per_s = per_s
        self._burst = max(least_burst, per_s * burst_s)
        self._level = self._burst
        self._at = clock.now()

    def available(self) -> float:
        """What may be used now."""
        now = self._clock.now()
        self._level = min(self._burst, self._level + (now - self._at) * self.per_s)
        self._at = now
        return self._level

    def take(self, amount: float = 1.0, reserve: float = 0.0) -> bool:
        """Use amount if that leaves the reserve; may overdraw never."""
        if self.available() < min(amount, self._burst) + reserve:
            return False
        self._level -= amount
        return True

    def wait_s(self, amount: float = 1.0, reserve: float = 0.0) -> float:
        """How long until take would succeed."""
        missing = min(amount, self._burst) + reserve - self.available()
        return max(0.0, missing / self.per_s)

    def charge(self, amount: float) -> None:
        """Use an amount that is known only afterwards; what is overdrawn has to come back."""
        self.available()
        self._level -= amount

    def penalize(self, seconds: float) -> None:
        """After a refusal for rate: act as if that much had been used."""
        self.available()
        self._level = min(self._level, 0.0) - seconds * self.per_s
