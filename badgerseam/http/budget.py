"""Rate budgets: a part of a limit that several controllers must not exceed together."""

from __future__ import annotations

from badgerseam.clock import Clock


class RateBudget:
    """A token bucket; urgent use may draw on a reserve that other use leaves alone."""

    def __init__(
        self, clock: Clock, per_s: float, burst_s: float = 1.0, least_burst: float = 1.0
    ) -> None:
        self._clock = clock
        self._per_s = per_s
        self.burst = max(least_burst, per_s * burst_s)
        """The most that may be used at once."""
        self.taken = 0.0
        """What `take` has used since the beginning."""
        self._level = self.burst
        self._refilled_at = clock.now()

    @property
    def per_s(self) -> float:
        """The rate at which the budget is refilled."""
        return self._per_s

    @per_s.setter
    def per_s(self, per_s: float) -> None:
        # The new rate holds from now on; the burst stays.
        self.available()
        self._per_s = per_s

    def available(self) -> float:
        """What may be used now."""
        now = self._clock.now()
        self._level = min(self.burst, self._level + (now - self._refilled_at) * self.per_s)
        self._refilled_at = now
        return self._level

    def take(self, amount: float = 1.0, reserve: float = 0.0) -> bool:
        """Use an amount if that leaves the reserve; whether it was used.

        Only an amount above the burst overdraws: it may be used as soon as the burst is there.
        """
        if self.available() < min(amount, self.burst) + reserve:
            return False
        self._level -= amount
        self.taken += amount
        return True

    def wait_s(self, amount: float = 1.0, reserve: float = 0.0) -> float:
        """Seconds until `take` would succeed."""
        missing = min(amount, self.burst) + reserve - self.available()
        return max(0.0, missing / self.per_s)

    def charge(self, amount: float) -> None:
        """Use an amount that is known only afterwards; an overdraft has to be refilled first."""
        self.available()
        self._level -= amount

    def penalize(self, seconds: float) -> None:
        """After a refusal for rate by the other side: allow nothing for so many seconds."""
        self.available()
        self._level = min(self._level, 0.0) - seconds * self.per_s
