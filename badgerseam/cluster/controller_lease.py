"""This controller's lease in the state service, which its claims and its record stand on."""

from __future__ import annotations

import logging

from badgerseam.model.model import Model
from badgerseam.model.state import ObservedClaim
from badgerseam.store.client import StateClient

log = logging.getLogger("badgerseam.cluster")


class ControllerLease:
    """The lease, when it was last confirmed, and what may be done on that."""

    def __init__(self, model: Model, state: StateClient, ttl_s: float) -> None:
        self._model = model
        self._state = state
        self._clock = model.clock
        self._node = model.settings.node
        self.ttl_s = ttl_s
        self.number: int | None = None
        """The state service's number of it; None while there is none."""
        self.confirmed_at = -1e9
        """Sending time of the last confirmed renewal, in seconds of the steady clock."""

    async def grant(self) -> None:
        """Have a new lease granted; StateUnavailableError if that fails."""
        sent_at = self._clock.now()
        number = await self._state.grant(self.ttl_s)
        self.number, self.confirmed_at = number, sent_at
        log.info("lease granted controller=%s lease=%d", self._node, number)

    async def renew(self, number: int) -> None:
        """Renew the lease; LeaseExpiredError if it has ended."""
        sent_at = self._clock.now()
        await self._state.renew(number, self.ttl_s / 3)
        self.confirmed_at = sent_at

    def confirmed_within(self, seconds: float) -> bool:
        """Whether the state service confirmed the lease that recently."""
        return self.number is not None and self._clock.now() - self.confirmed_at < seconds

    @property
    def is_current(self) -> bool:
        """Whether the state service has renewed the lease within its time to live."""
        return self.confirmed_within(self.ttl_s)

    @property
    def may_renew_worker_leases(self) -> bool:
        """Whether leases of workers may be renewed by this controller, whoever owns them.

        That the state service has confirmed our lease tells nothing of what it holds: a controller
        whose watch was stuck renewed the leases of tasks that were cancelled elsewhere without end,
        and one that renewed before it followed again after an outage launched them once more.
        """
        model = self._model
        replica_age_s = self._clock.now() - model.followed_at
        return (
            self.confirmed_within(model.partition_bound_s)
            and replica_age_s < model.stale_renewal_bound_s
        )

    def carries(self, claim: ObservedClaim | None) -> bool:
        """Whether a claim is ours and stands on this very lease."""
        return (
            claim is not None
            and claim.record.node == self._node
            and claim.record.lease == self.number
        )
