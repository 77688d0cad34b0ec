"""Operation of a controller that cannot reach the state service or its peers, but whose workers
still reach it.

Once the lease of such a controller has ended, a peer acts for its shards, while its workers still
send their heartbeats to it. The controller cannot tell this by itself from an outage of the state
service, in which redirecting its workers would end all their leases. Only a worker can prove the
difference: a term is the version of a write that the state service has executed, so a fencing token
above any that this controller could have issued was issued by a later owner, which has reached that
worker in the meantime.

- As soon as one worker shows such a token, the workers of its shard in its zone are redirected.
  Workers in other zones are not: an owner that reaches one zone need not reach another.
- Each worker is redirected once for each token. A worker that comes back with the same token has
  found no other controller: the later owner may have ended as well. This controller then renews the
  worker's lease as a proxy, with no commands except to halt cancelled tasks, for as long as owners
  assume such renewals, which is until the partition bound. If the worker shows a token of the later
  owner, it does so only in its own zone, and only once its own record must have been removed with
  its lease.
- A machine that this controller may have transferred to another shard, in a write without a
  response, proves nothing: the token may come from the other shard's owner, while this controller
  still owns its own shard.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from enum import Enum

from badgerseam.cluster.membership import Membership
from badgerseam.model.machine import BUMP_BITS, Machine
from badgerseam.model.model import Model
from badgerseam.model.state import Shard

log = logging.getLogger("badgerseam.cluster")


class HeartbeatVerdict(Enum):
    """How a heartbeat of an owned shard's worker is answered; each value gives the reason."""

    ANSWER = "goes on as ever"
    REDIRECT = "the share has a later owner"
    PROXY = "that one was not found"


class PartitionedOperation:
    """Decides, from the fencing tokens that workers show, how a controller that has lost the state
    service answers their heartbeats."""

    def __init__(
        self, model: Model, membership: Membership, owners_assume_renewals_in: Callable[[str], bool]
    ) -> None:
        """`owners_assume_renewals_in`: whether owners assume that this controller may renew leases
        of their workers in a zone."""
        self._model = model
        self._membership = membership
        self._owners_assume_renewals_in = owners_assume_renewals_in
        self._superseded_terms: dict[tuple[int, str], int] = {}
        """This controller's term that a worker's token has proved to be superseded, by shard and
        zone."""
        self._redirected_tokens: dict[str, int] = {}
        """The highest token with which each machine was redirected, by name."""

    @property
    def is_partitioned(self) -> bool:
        """Whether the state service certainly serves other controllers, but not this one."""
        return not self._membership.lease_is_current and any(
            self._model.shards[index].owned and self._model.shards[index].term == term
            for (index, _), term in self._superseded_terms.items()
        )

    def verdict(self, shard: Shard, machine: Machine, token: int) -> HeartbeatVerdict:
        """Returns how to answer a worker of an owned shard that shows the given token."""
        if self._reset_if_connected():
            # The replica shows which controller owns the shard, but a worker with a newer token is
            # redirected all the same.
            return (
                HeartbeatVerdict.REDIRECT
                if token > machine.fencing_token
                else HeartbeatVerdict.ANSWER
            )
        shard_zone = shard.index, machine.zone
        if token >> BUMP_BITS > machine.term and not machine.transferring:
            if self._superseded_terms.get(shard_zone) != shard.term:
                log.info(
                    "later owner detected shard=%d term=%d machine=%s zone=%s",
                    shard.index,
                    shard.term,
                    machine.name,
                    machine.zone,
                )
            self._superseded_terms[shard_zone] = shard.term
        is_newer = token > machine.fencing_token
        if not is_newer and self._superseded_terms.get(shard_zone) != shard.term:
            return HeartbeatVerdict.ANSWER
        if self._is_first_redirect(machine, token) or (
            is_newer and not self._owners_assume_renewals_in(machine.zone)
        ):
            return HeartbeatVerdict.REDIRECT
        return HeartbeatVerdict.PROXY

    def should_redirect_proxied(self, shard: Shard, machine: Machine, token: int) -> bool:
        """Whether to redirect a worker whose heartbeats this controller would answer as a proxy:
        its token proves a later owner than the replica shows, and was not redirected before."""
        if self._reset_if_connected() or shard.claim is None:
            return False
        if token >> BUMP_BITS <= max(shard.claim.version, machine.version):
            return False
        return self._is_first_redirect(machine, token)

    def _reset_if_connected(self) -> bool:
        """Whether the state service has renewed the lease recently; if so, clears the tokens
        recorded before."""
        if not self._membership.lease_is_current:
            return False
        self._superseded_terms.clear()
        self._redirected_tokens.clear()
        return True

    def _is_first_redirect(self, machine: Machine, token: int) -> bool:
        latest = self._redirected_tokens.get(machine.name, -1)
        # A delayed copy of an older heartbeat must not lower the token: the worker would be
        # redirected once more.
        self._redirected_tokens[machine.name] = max(latest, token)
        return token > latest
