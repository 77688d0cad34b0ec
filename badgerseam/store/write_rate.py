"""Allocation of the write rate: controllers with little to write yield capacity to the others.

The state service has one write limit for all controllers. With equal shares, a burst at one
controller waits for seconds while the others leave most of their shares unused. Each controller
therefore reports its demand to its peers once a second, along with its health, and unused capacity
is divided among the controllers that need more than their equal share.

While all reported demands are up to date, the rates add up to at most the limit. The burst size of
each controller stays that of its equal share, so the bursts stay within the limit as well. If a
demand is out of date, for up to about a second, the state service may respond with 429; the budget
then waits as it does when it is used up.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from badgerseam.http.budget import RateBudget
from badgerseam.model.model import Model

MIN_FRACTION = 0.3
"""Fraction of its equal share that a controller always keeps, so that one or two writes can be made
at once."""
ABSENT_FRACTION = 0.1
"""Fraction of an equal share reserved for a controller without a record, as it may be starting."""
HEADROOM = 1.5
"""Ratio of the reported demand to the recent write rate."""
AVERAGING_S = 2.0
"""Time constant of the moving average of the write rate."""
FRESH_S = 2.5
"""How long a peer's reported demand stays valid: it is sent once a second, and one report may be
lost."""


class _PeerDemand(NamedTuple):
    """A peer's demand, as a multiple of an equal share, and when it was received."""

    demand: float
    received_at: float


class WriteRateAllocator:
    """Sets the rate at which this controller may send writes."""

    def __init__(self, model: Model, budget: RateBudget) -> None:
        self._model = model
        self._clock = model.clock
        self._budget = budget
        self._equal_share = budget.per_s
        self._peers = [peer.node for peer in model.settings.siblings]
        self._peer_demands: dict[str, _PeerDemand] = {}
        self._average_rate = 0.0
        self._taken_before = budget.taken
        self._reviewed_at = self._clock.now()
        self.demand = MIN_FRACTION
        """This controller's demand as a multiple of its equal share; infinite if its budget is used
        up."""

    def on_peer_demand(self, node: str, reported: float | None) -> None:
        """Records a peer's demand; None if the peer's program version does not report it."""
        demand = 1.0 if reported is None else reported
        self._peer_demands[node] = _PeerDemand(demand, self._clock.now())

    def review(self) -> None:
        """Computes the demand from the recent writes, and sets the rate.

        Called a few times a second.
        """
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
            self.demand = max(MIN_FRACTION, HEADROOM * self._average_rate / self._equal_share)
        with self._model.lock:
            peer_demands = [self._demand_of(name, now) for name in self._peers]
        self._budget.per_s = self._equal_share * rate_multiple(self.demand, peer_demands)

    def _demand_of(self, name: str, now: float) -> float:
        latest = self._peer_demands.get(name)
        if latest is not None and now - latest.received_at <= FRESH_S:
            # A peer that reports its demand is running, even without a record. When all controllers
            # restart at once, none has a record yet, and each would treat the others as absent.
            return max(MIN_FRACTION, latest.demand)
        return 1.0 if name in self._model.controllers else ABSENT_FRACTION


def rate_multiple(own_demand: float, peer_demands: list[float]) -> float:
    """Returns the rate that a controller may use, as a multiple of its equal share.

    The demands are multiples of an equal share as well.
    """
    over_demand_count = sum(demand > 1.0 for demand in peer_demands)
    if own_demand <= 1.0:
        # Unused capacity is yielded only if a peer needs more than its equal share.
        return own_demand if over_demand_count else 1.0
    unused = sum(1.0 - demand for demand in peer_demands if demand < 1.0)
    return 1.0 + unused / (over_demand_count + 1)
