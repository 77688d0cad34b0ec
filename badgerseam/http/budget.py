"""Rate budgets, such as the part of one controller in a limit for all controllers together."""

from __future__ import annotations

from badgerseam.clock import Clock


class RateBudget:
    """A token bucket; callers that are not urgent can leave a reserve for urgent ones."""

    def __init__(
        self, clock: Clock, per_s: float, burst_s: float = 1.0, min_burst: float = 1.0
    ) -> None:
        self._clock = clock
        self._per_s = per_s
        self.burst = max(min_burst, per_s * burst_s)
        """The largest amount that can be used at once."""
        self.taken = 0.0
        """The total amount that `take` has used."""
        self._tokens = self.burst
        self._refilled_at = clock.now()

    @property
    def per_s(self) -> float:
        """The amount added to the budget per second."""
        return self._per_s

    @per_s.setter
    def per_s(self, per_s: float) -> None:
        # Refill at the old rate up to now; the burst stays the same.
        self.available()
        self._per_s = per_s

    def available(self) -> float:
        """Returns the amount that can be used now."""
        now = self._clock.now()
        self._tokens = min(self.burst, self._tokens + (now - self._refilled_at) * self.per_s)
        self._refilled_at = now
        return self._tokens

    def take(self, amount: float = 1.0, reserve: float = 0.0) -> bool:
        """Uses an amount if that leaves at least the reserve; returns whether the amount was used.

        A full budget allows any amount, so that nothing waits for a level that is never reached:
        one above the burst overdraws the budget, and a smaller one may use up the reserve.
        """
        if self.available() < self._required(amount, reserve):
            return False
        self._tokens -= amount
        self.taken += amount
        return True

    def wait_s(self, amount: float = 1.0, reserve: float = 0.0) -> float:
        """Returns the seconds until `take` would succeed."""
        missing = self._required(amount, reserve) - self.available()
        return max(0.0, missing / self.per_s)

    def _required(self, amount: float, reserve: float) -> float:
        """Returns how much must be available for `take` to succeed."""
        return min(amount + reserve, self.burst)

    def charge(self, amount: float) -> None:
        """Uses an amount that is known only after the fact. The budget can be used again when an
        overdraft has been refilled."""
        self.available()
        self._tokens -= amount

    def penalize(self, seconds: float) -> None:
        """Allows no use for `seconds`, after the other side has rejected a request for its rate."""
        self.available()
        self._tokens = min(self._tokens, 0.0) - seconds * self.per_s
