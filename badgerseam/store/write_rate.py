"""Allocation of the write rate: controllers with little to write leave their part to the others.

The state service has one limit for all controllers. With even parts, a burst waits at one of them
for seconds while the others leave most of theirs unused. So each controller reports its demand to
its peers once a second, with its health, and a part that is not needed is divided among those that
need more. As long as all demands are fresh, the rates add up to the limit at most; the burst of
each stays that of its even part, so that the bursts do as well. While one is not, for a second, the
state service may answer 429, after which the budget waits as for a missing allowance.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from badgerseam.http.budget import RateBudget
from badgerseam.model.model import Model

MIN_FRACTION = 0.3
"""Of an even part, never left to others: a write or two can be made at once."""
ABSENT_FRACTION = 0.1
"""Of an even part, reserved for a controller without a record of its own: it may be starting."""
HEADROOM = 1.5
"""The demand, as a multiple of what was written of late."""
AVERAGING_S = 2.0
"""Time constant of the average of what was written."""
FRESH_S = 2.5
"""How long a peer's demand counts: it is reported once a second, and one report may be missed."""


class _PeerDemand(NamedTuple):
    """A peer's demand, as a multiple of an even part, and when it was received."""

    demand: float
    received_at: float


class WriteRateAllocator:
    """Sets how many writes a second this controller may send."""

    def __init__(self, model: Model, budget: RateBudget) -> None:
        self._model = model
        self._clock = model.clock
        self._budget = budget
        self._even_rate = budget.per_s
        self._peers = [peer.node for peer in model.settings.siblings]
        self._peer_demands: dict[str, _PeerDemand] = {}
        self._average_rate = 0.0
        self._taken_before = budget.taken
        self._reviewed_at = self._clock.now()
        self.demand = MIN_FRACTION
        """Of this controller, as a multiple of an even part; infinite if its budget is used up."""

    def on_peer_demand(self, node: str, need: float | None) -> None:
        """Record a peer's demand; None: its program does not report one."""
        demand = 1.0 if need is None else need
        self._peer_demands[node] = _PeerDemand(demand, self._clock.now())

    def review(self) -> None:
        """Derive the demand from what was written, and set the rate; called a few times a
        second."""
        now = self._clock.now()
        elapsed_s = now - self._reviewed_at
        if elapsed_s <= 0:
            return
        taken = self._budget.taken - self._taken_before
        self._taken_before = self._budget.taken
        self._reviewed_at = now
        decay = math.exp(-elapsed_s / AVERAGING_S)
        self._average_rate = self._average_rate * decay + (1 - decay) * taken / elapsed_s
        if taken > 0 and self._budget.available() < 1.0:
            self.demand = math.inf
        else:
            self.demand = max(MIN_FRACTION, HEADROOM * self._average_rate / self._even_rate)
        with self._model.lock:
            peer_demands = [self._demand_of(name, now) for name in self._peers]
        self._budget.per_s = self._even_rate * fair_parts(self.demand, peer_demands)

    def _demand_of(self, name: str, now: float) -> float:
        latest = self._peer_demands.get(name)
        if latest is not None and now - latest.received_at <= FRESH_S:
            # A peer that reports is present, with a record or without: after all controllers have
            # ended at once, each would take the others for absent.
            return max(MIN_FRACTION, latest.demand)
        return 1.0 if name in self._model.controllers else ABSENT_FRACTION


def fair_parts(own: float, others: list[float]) -> float:
    """How many even parts a controller may use whose demand is `own`, beside the others' demands.

    All demands are multiples of an even part.
    """
    over_demand_count = sum(demand > 1.0 for demand in others)
    if own <= 1.0:
        # The rest is left to others only if one of them needs more than its part.
        return own if over_demand_count else 1.0
    unused = sum(1.0 - demand for demand in others if demand < 1.0)
    return 1.0 + unused / (over_demand_count + 1)
