"""This controller's lease in the state service, to which its claims and its records are
attached."""

from __future__ import annotations

import logging

from badgerseam.model.model import Model
from badgerseam.model.state import ObservedClaim
from badgerseam.store.client import StateClient

log = logging.getLogger("badgerseam.cluster")


class ControllerLease:
    """Requests and renews the lease, and determines what its last confirmation permits."""

    def __init__(self, model: Model, state: StateClient, ttl_s: float) -> None:
        self._model = model
        self._state = state
        self._clock = model.clock
        self._node = model.settings.node
        self.ttl_s = ttl_s
        self.number: int | None = None
        """The number that the state service gave the lease; None without a lease."""
        self.confirmed_at = -1e9
        """When the last confirmed renewal was sent, in seconds of the monotonic clock."""

    async def grant(self) -> None:
        """Requests a new lease; raises StateUnavailableError if that fails."""
        sent_at = self._clock.now()
        number = await self._state.grant(self.ttl_s)
        self.number, self.confirmed_at = number, sent_at
        log.info("lease granted controller=%s lease=%d", self._node, number)

    async def renew(self, number: int) -> None:
        """Renews the lease; raises LeaseExpiredError if it has ended."""
        sent_at = self._clock.now()
        await self._state.renew(number, self.ttl_s / 3)
        self.confirmed_at = sent_at

    def confirmed_within(self, seconds: float) -> bool:
        """Whether the last confirmed renewal was sent less than `seconds` ago."""
        return self.number is not None and self._clock.now() - self.confirmed_at < seconds

    @property
    def is_current(self) -> bool:
        """Whether the last confirmed renewal is more recent than the lease's time to live."""
        return self.confirmed_within(self.ttl_s)

    @property
    def may_renew_worker_leases(self) -> bool:
        """Whether this controller may renew workers' leases, whichever controller owns them.

        A confirmed lease does not make the replica current. A controller with a stalled watch would
        otherwise renew forever the leases of tasks that were cancelled at another controller, and
        one whose lease is renewed before its watch recovers from an outage would launch them again.
        """
        model = self._model
        replica_age_s = self._clock.now() - model.followed_at
        return (
            self.confirmed_within(model.partition_bound_s)
            and replica_age_s < model.stale_renewal_bound_s
        )

    def is_lease_of(self, claim: ObservedClaim | None) -> bool:
        """Whether a claim names this controller and is attached to this lease."""
        return (
            claim is not None
            and claim.record.node == self._node
            and claim.record.lease == self.number
        )
