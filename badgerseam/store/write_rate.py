"""Changes a second, shared by need: who has little to write leaves its part to who has much.

The state service's limit is one for all controllers. Parted evenly, a burst waits at one of them
for seconds while the others leave most of theirs unused. Each tells its siblings once a second,
with its health, what it needs; a part that is not needed is divided among those that need more. As
long as everybody's knowledge is fresh the rates add up to the limit at most, and what each may have
saved up stays its even part, so that the bursts do as well. Where it is not, for a second, the
state service may answer 429, which is waited for like a missing allowance.
"""

from __future__ import annotations

import math

from badgerseam.http.budget import RateBudget
from badgerseam.model.model import Model

MIN_FRACTION = 0.3
"""The part of an even part that is never left to others: a change or two can be made at once."""
ABSENT_FRACTION = 0.1
"""What is kept for a controller without a record of its own: it may be starting."""
HEADROOM = 1.5
"""How much more than was written of late is taken to be needed."""
MEMORY_S = 2.0
FRESH_S = 2.5
"""How long a sibling's word counts: told once a second, one may be missed."""


class WriteRateAllocator:
    """What this controller may change a second."""

    def __init__(self, model: Model, budget: RateBudget) -> None:
        self._model = model
        self._clock = model.clock
        self._budget = budget
        self._even = budget.per_s
        self._siblings = [sibling.node for sibling in model.settings.siblings]
        self._told: dict[str, tuple[float, float]] = {}
        """Of each sibling what it needs, as parts of an even part, and when it said so."""
        self._rate = 0.0
        self._taken = budget.taken
        self._looked_at = self._clock.now()
        self.demand = MIN_FRACTION
        """What we need, as parts of an even part; infinite if whatever there is."""

    def on_peer_demand(self, node: str, need: float | None) -> None:
        """A sibling has said what it needs; None: its program does not say."""
        self._told[node] = (1.0 if need is None else need, self._clock.now())

    def review(self) -> None:
        """Look at what was written, and set our rate; called a few times a second."""
        now = self._clock.now()
        passed_s = now - self._looked_at
        if passed_s <= 0:
            return
        taken, self._taken = self._budget.taken - self._taken, self._budget.taken
        self._looked_at = now
        kept = math.exp(-passed_s / MEMORY_S)
        self._rate = self._rate * kept + (1 - kept) * taken / passed_s
        used_up = taken > 0 and self._budget.available() < 1.0
        self.demand = math.inf if used_up else max(MIN_FRACTION, HEADROOM * self._rate / self._even)
        with self._model.lock:
            needs = [self._demand_of(name, now) for name in self._siblings]
        self._budget.per_s = self._even * fair_parts(self.demand, needs)

    def _demand_of(self, name: str, now: float) -> float:
        need, at = self._told.get(name, (1.0, -math.inf))
        if now - at <= FRESH_S:
            return max(MIN_FRACTION, need)
        # One that we have heard is there, record or not: after all have ended at once, each would
        # take the others for absent.
        return 1.0 if name in self._model.controllers else ABSENT_FRACTION


def fair_parts(own: float, others: list[float]) -> float:
    """How many even parts one may use that needs `own` of them, beside others with their needs."""
    hungry = sum(need > 1.0 for need in others)
    if own <= 1.0:
        # Left to others only if somebody asks for it.
        return own if hungry else 1.0
    left = sum(1.0 - need for need in others if need < 1.0)
    return 1.0 + left / (hungry + 1)
