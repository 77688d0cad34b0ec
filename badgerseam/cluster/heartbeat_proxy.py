"""Answers heartbeats as a proxy for an owner that cannot be reached, so that its workers' leases
are still renewed.

Inside a partitioned zone workers and controllers still reach each other, and two zones that cannot
reach each other may both reach the state service. A worker there may reach a controller, but not
the one that owns its shard. A controller that cannot reach that owner either acts as its proxy: it
answers such a heartbeat with the fencing token that the worker has shown, and with no commands
except to halt cancelled tasks. This only extends the worker's lease, so the owner must still be
able to determine when the lease has ended:

- A controller that has lost the state service is a proxy only for workers in its own zone,
  which may be cut off together with it; only after its lease must have ended in the state service;
  and only for as long as an owner that is cut off would answer (`partition_bound_s`). Its own
  record is removed with that lease, and owners count the bound from the time at which they see the
  removal.
- A controller that reaches the state service first writes a proxy record, attached to its lease,
  that names the owners for which it is a proxy. It acts on that record only while its lease must be
  valid and its watch is current. As long as the record names an owner, that owner does not consider
  any of its machines' leases ended.
- The renewal keeps the worker's incarnation and token valid, and with them any delayed command of
  the owner. So the proxy does not answer a machine for which a launch of a cancelled task may be
  delayed, that is, if the task pages place a cancelled task there that the heartbeat does not show.
  The machine's lease then ends, and the launch is refused.
- Before an owner concludes from missing heartbeats that a lease has ended, it has the state service
  compare these records with the versions that it has seen, at a time at which the lease would
  already have ended.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import NamedTuple

from badgerseam.background import BackgroundTasks
from badgerseam.cluster.membership import Membership
from badgerseam.cluster.partition import PartitionedOperation
from badgerseam.model.job import Phase
from badgerseam.model.keys import node_key, proxy_key
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.model.state import MAX_STATE_AGE_S, Shard
from badgerseam.store.client import (
    ConditionFailedError,
    LeaseExpiredError,
    StateClient,
    StateUnavailableError,
)
from badgerseam.store.committer import GroupCommitter, ProposalDroppedError, Urgency
from badgerseam.wire import state as wire
from badgerseam.wire.workers import Heartbeat

log = logging.getLogger("badgerseam.cluster")

LEASE_END_SLACK_S = 0.6
"""Seconds of tolerance: a controller's lease may end 100 ms late, and a request takes some time."""
MIN_VERIFY_INTERVAL_S = 0.3
"""Minimum seconds between two comparisons of the peers' records."""
DEADLINE_S = 2.0
"""Deadline, in seconds, of a write of the proxy record and of a comparison."""


class UnconfirmedWrite(NamedTuple):
    """A write of this controller's proxy record that got no response. It may still be executed
    while the lease and the version that it replaces are current."""

    lease: int
    version: int
    owners: frozenset[str]


class HeartbeatProxy:
    """Implements both sides of the protocol: acts as a proxy for other owners, and as an owner
    takes into account the peers that may act as its proxies."""

    def __init__(
        self,
        model: Model,
        membership: Membership,
        state: StateClient,
        committer: GroupCommitter,
        ttl_s: float,
        is_unreachable: Callable[[str], bool],
    ) -> None:
        self.partition = PartitionedOperation(model, membership, self.owners_assume_renewals_in)
        self._model = model
        self._membership = membership
        self._state = state
        self._committer = committer
        self._ttl_s = ttl_s
        self._is_unreachable = is_unreachable
        self._clock = model.clock
        self._zone = model.settings.zone
        self._peer_zones = {sibling.node: sibling.zone for sibling in model.settings.siblings}
        self._record_versions: dict[str, tuple[int, int]] = {}
        """The last seen versions of each peer's controller record and proxy record."""
        self._isolated_until: dict[str, float] = {}
        """Until when each peer may have renewed leases in its zone while it had lost the state
        service."""
        self._own_proxies: dict[str, tuple[int, bool]] = {}
        """For each peer, the latest version of its proxy record that names this controller, and
        whether the current one still does."""
        self._proxied_until = -1e9
        """Until when one of these proxies may have renewed leases of this controller's workers."""
        self._was_disconnected = False
        self._verified_at = -1e9
        self._verify_started_at = -1e9
        self._announced: frozenset[str] = frozenset()
        """Owners that this controller's proxy record names and for which it may act as a proxy."""
        self._announced_lease: int | None = None
        """The lease to which that record is attached."""
        self.leases_may_end_early = False
        """Whether peers' leases may be revoked before they expire, which the standby does."""
        self._load_count = 0
        self._unconfirmed_write: UnconfirmedWrite | None = None
        """The latest write of the proxy record that may still be executed, or None."""
        self._is_writing = False
        self._tasks = BackgroundTasks()

    # ---- as a proxy ----

    def is_proxy_for(self, shard: Shard, zone: str) -> bool:
        """Whether this controller answers heartbeats of the shard's workers in a zone as a proxy
        for its owner."""
        claim, membership = shard.claim, self._membership
        if claim is None or claim.record.node == membership.node:
            return False
        if not self._is_unreachable(claim.record.node):
            return False
        if not membership.may_renew_worker_leases:
            return False
        if claim.record.node in self._announced and membership.lease_is_current:
            return self._model.is_up_to_date and self._announced_lease == membership.lease
        return self.owners_assume_renewals_in(zone)

    def launch_may_be_delayed(self, machine: Machine, heartbeat: Heartbeat) -> bool:
        """Whether a delayed launch of a cancelled task may still reach a machine, so that renewing
        the machine's lease would keep the launch's token and incarnation valid for longer than the
        cancelled task may run.

        Once its owner has seen a task end, no task page contains the task (`store/stale_pages.py`).
        The incarnation cannot decide this: a delayed copy of an old heartbeat looks the same as the
        heartbeat of a machine whose lease has ended because this controller did not answer it, and
        an owner may be able to reach a machine that cannot reach the owner.
        """
        model = self._model
        # The replica may be up to MAX_STATE_AGE_S old when it is acted on.
        ended_before = self._clock.now() - (model.stale_renewal_bound_s - MAX_STATE_AGE_S)
        shown = {(item.task, item.attempt) for item in heartbeat.tasks}
        return any(
            attempt.job.phase == Phase.CANCELLED
            and attempt.job.ended_at < ended_before
            and (attempt.name, attempt.number) not in shown
            for attempt in machine.attempts.values()
        )

    def owners_assume_renewals_in(self, zone: str) -> bool:
        """Whether owners assume that this controller may renew leases in a zone although no proxy
        record names them: its controller record must have been removed with its lease, and the
        partition bound must not have passed."""
        membership = self._membership
        return (
            zone == self._zone
            and not membership.lease_confirmed_within(self._ttl_s + LEASE_END_SLACK_S)
            and membership.may_renew_worker_leases
        )

    def review(self) -> None:
        """Keeps the proxy record up to date; called a few times a second."""
        model, membership = self._model, self._membership
        if not model.loaded or self._is_writing or not membership.lease_is_current:
            return
        desired_owners = frozenset(
            name
            for name in self._peer_zones
            if name in model.controllers and self._is_unreachable(name)
        )
        known = model.proxies.get(membership.node)
        named: frozenset[str] = frozenset()
        if known is not None and known.record.lease == membership.lease:
            named = frozenset(known.record.owners)
        # From now on this controller is no longer a proxy for the owners that the record is to
        # drop, whether or not the write succeeds.
        self._announced = desired_owners & named
        self._announced_lease = membership.lease
        version = 0 if known is None else known.version
        unconfirmed = self._unconfirmed_write_for(membership.lease, version)
        if unconfirmed is not None:
            # If that write is executed late, the record names other owners: those that it drops
            # stop assuming renewals before this replica shows it.
            self._announced &= unconfirmed.owners
        if (desired_owners != named or unconfirmed is not None) and membership.lease is not None:
            self._is_writing = True
            self._tasks.spawn(self._write_record(desired_owners, membership.lease, version))

    def _unconfirmed_write_for(self, lease: int | None, version: int) -> UnconfirmedWrite | None:
        """Returns the write without a response for this lease and version, or None."""
        record = self._unconfirmed_write
        if record is None or (record.lease, record.version) != (lease, version):
            return None
        return record

    async def _write_record(self, owners: frozenset[str], lease: int, version: int) -> None:
        # A proxy record is removed only by the end of its lease. One that was written and deleted
        # between two checks would leave no trace for the owners.
        key = proxy_key(self._membership.node)
        record = wire.ProxyRecord(self._membership.node, lease, sorted(owners))
        write = wire.Write(put=key, value=wire.raw(record), lease=lease)
        try:
            revision = await self._committer.commit(
                Urgency.CLAIM,
                {key: version},
                [write],
                DEADLINE_S,
                should_send=lambda: self._membership.lease == lease,
            )
            with self._model.lock:
                self._model.apply(key, write.value, revision)
            log.info("proxy record written owners=%s", ",".join(sorted(owners)))
        except (
            ConditionFailedError,
            StateUnavailableError,
            ProposalDroppedError,
            LeaseExpiredError,
        ) as error:
            log.debug("proxy record not written key=%s error=%r", key, error)
            if isinstance(error, StateUnavailableError | ConditionFailedError):
                # Even if the write was refused, an earlier attempt of it may have been executed and
                # its response lost. Until the replica shows the record, the owners that it drops
                # may have stopped assuming renewals.
                before = self._unconfirmed_write_for(lease, version)
                if before is not None:
                    owners &= before.owners
                self._unconfirmed_write = UnconfirmedWrite(lease, version, owners)
        finally:
            self._is_writing = False

    # ---- as an owner ----

    def observe_peers(self) -> None:
        """Updates what is known of the peers' records; called a few times a second."""
        now = self._clock.now()
        self._observe_outage(now)
        # A full reload of the replica does not show records that were written and removed before.
        has_reloaded = self._load_count != self._model.load_count
        self._load_count = self._model.load_count
        for name in self._peer_zones:
            self._observe_records(name, has_reloaded, now)
            self._observe_proxy(name, has_reloaded, now)

    def _observe_outage(self, now: float) -> None:
        if not self._membership.lease_confirmed_within(self._ttl_s / 2):
            self._was_disconnected = True
        elif self._was_disconnected:
            # After an outage every lease starts again with its full time to live, including that
            # of a peer that is cut off: its record proves nothing until that time has passed.
            self._was_disconnected = False
            for name in self._peer_zones:
                self._isolated_until[name] = max(
                    self._isolated_until.get(name, now), now + self._ttl_s + LEASE_END_SLACK_S
                )

    def _observe_records(self, name: str, has_reloaded: bool, now: float) -> None:
        """Records the versions of a peer's records, and until when it may act without the state
        service."""
        model = self._model
        controller, proxy = model.controllers.get(name), model.proxies.get(name)
        versions = (
            0 if controller is None else controller.version,
            0 if proxy is None else proxy.version,
        )
        if has_reloaded or self._record_versions.get(name, (-1, 0))[0] != versions[0]:
            # A peer whose controller record is back can reach the state service again.
            isolated_s = 0.0 if controller is not None else model.partition_bound_s
            self._isolated_until[name] = now + isolated_s
        self._record_versions[name] = versions

    def _observe_proxy(self, name: str, has_reloaded: bool, now: float) -> None:
        """Records whether a peer is a proxy for this controller, or was since the last call."""
        proxy = self._model.proxies.get(name)
        node = self._membership.node
        named_at = self._model.proxy_bounds.get((name, node), 0)
        is_named = proxy is not None and node in proxy.record.owners
        before = self._own_proxies.get(name)
        if has_reloaded or is_named or before != (named_at, is_named):
            # If the record was removed with its lease, that lease may have been revoked early
            # (badgerseam/standby/failure_detector.py), and the peer acts on the record for as long
            # as the lease would have lasted. A full reload may hide such a removal.
            is_gone = proxy is None and (
                self.leases_may_end_early if has_reloaded else before is not None
            )
            remaining_s = self._ttl_s + LEASE_END_SLACK_S if is_gone else 0.0
            self._proxied_until = max(self._proxied_until, now + remaining_s)
        self._own_proxies[name] = named_at, is_named

    def leases_renewed_until(self, zone: str) -> float:
        """Returns until when a peer may have renewed leases of this controller's workers in a
        zone."""
        until = (
            self._isolated_until[name]
            for name, peer_zone in self._peer_zones.items()
            if peer_zone == zone
        )
        return max(self._proxied_until, max(until, default=-1e9))

    def confirmed_since(self, at: float) -> bool:
        """Whether the known versions of the peers' records were verified at or after the given
        time; if not, starts a comparison."""
        if not self._peer_zones:
            return True
        if self._was_disconnected or not self._record_versions:
            return False
        if self._verified_at >= at:
            return True
        now = self._clock.now()
        if now - self._verify_started_at >= MIN_VERIFY_INTERVAL_S:
            self._verify_started_at = now
            self._tasks.spawn(self._verify(dict(self._record_versions)))
        return False

    async def _verify(self, record_versions: dict[str, tuple[int, int]]) -> None:
        sent_at = self._clock.now()
        conditions = []
        for name, (controller, proxy) in record_versions.items():
            conditions.append(wire.Condition(node_key(name), controller))
            conditions.append(wire.Condition(proxy_key(name), proxy))
        try:
            await self._state.compare_and_swap(conditions, [], DEADLINE_S)
        except (ConditionFailedError, StateUnavailableError) as error:
            log.debug("peers' records not confirmed error=%r", error)
            return
        if record_versions == self._record_versions:
            self._verified_at = sent_at
