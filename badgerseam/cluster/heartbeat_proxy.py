"""Answering heartbeats for an owner that cannot be reached, so that its workers' leases go on.

A zone that is partitioned goes on working inside, and two zones that lose each other still reach
the state service: a worker there may find a controller, but not the one that owns its shard. A
controller that cannot reach that owner either is a proxy for it: it answers such a heartbeat with
the fencing token that the worker has shown, and no command but to halt what was cancelled. That
changes nothing but the time at which the lease ends, so that end has to stay certain:

- A controller that has lost the state service is a proxy only for workers of its own zone, which
  may be cut off with it, only after its lease must have ended there, and for as long as an owner
  that was cut off would answer (`partition_bound_s`). Its own record goes with that lease, and
  owners count the bound from when they see it go.
- One that has not lost it names first the owners that it is a proxy for, in a record on its lease,
  and acts on that no longer than the lease must last, and than it follows the state service. As
  long as the record names an owner, none of its machines' leases is known to have ended.
- Incarnation and token stay valid by that, and with them whatever the owner has sent that is
  delayed. So a machine is not answered where a launch of a cancelled task may be among it: where
  the pages place one that the machine does not show. Its lease ends, and the launch is refused.
- Before an owner concludes from silence that a lease has ended, it has the state service compare
  these records with what it knows, at a time at which the lease would have ended already.
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

SLACK_S = 0.6
"""A controller's lease may end 100 ms late, and a request takes its time."""
MIN_VERIFY_INTERVAL_S = 0.3
"""Between two comparisons of the peers' records."""
DEADLINE_S = 2.0
"""Of a write of our record, and of a comparison."""


class UnansweredRecord(NamedTuple):
    """A proxy record of ours that was written without an answer: as long as its lease and the
    version that it replaces are what is known, the write may still be executed."""

    lease: int
    version: int
    owners: frozenset[str]


class HeartbeatProxy:
    """Both sides: being a proxy for owners, and taking into account the peers that are ours."""

    def __init__(
        self,
        model: Model,
        member: Membership,
        state: StateClient,
        committer: GroupCommitter,
        ttl_s: float,
        is_unreachable: Callable[[str], bool],
    ) -> None:
        self.partition = PartitionedOperation(model, member, self.is_counted_on_in)
        self._model = model
        self._member = member
        self._state = state
        self._committer = committer
        self._ttl_s = ttl_s
        self._is_unreachable = is_unreachable
        self._clock = model.clock
        self._zone = model.settings.zone
        self._peer_zones = {sibling.node: sibling.zone for sibling in model.settings.siblings}
        self._record_versions: dict[str, tuple[int, int]] = {}
        """Of each peer, the versions of its two records as last seen."""
        self._isolated_until: dict[str, float] = {}
        """Until when each peer may have renewed leases in its zone, without the state service."""
        self._proxies_of_ours: dict[str, tuple[int, bool]] = {}
        """Of each peer the latest version of a record that names us, and whether it still does."""
        self._proxied_until = -1e9
        """Until when one of these proxies may have renewed leases of ours."""
        self._was_disconnected = False
        self._verified_at = -1e9
        self._verify_started_at = -1e9
        self._announced: frozenset[str] = frozenset()
        """Owners that our record names, while we may act on it."""
        self._announced_lease: int | None = None
        """The lease that this record stands on."""
        self.leases_may_end_early = False
        """Whether peers' leases may be revoked before their time here."""
        self._loads = 0
        self._unanswered: UnansweredRecord | None = None
        """The latest write of our record that may still be executed."""
        self._writing = False
        self._tasks = BackgroundTasks()

    # ---- as a proxy ----

    def is_proxy_for(self, shard: Shard, zone: str) -> bool:
        """Whether we answer heartbeats of the shard's workers in a zone in its owner's place."""
        claim, member = shard.claim, self._member
        if claim is None or claim.record.node == member.node:
            return False
        if not self._is_unreachable(claim.record.node):
            return False
        if not member.may_renew_worker_leases:
            return False
        if claim.record.node in self._announced and member.lease_is_current:
            return self._model.is_up_to_date and self._announced_lease == member.lease
        return self.is_counted_on_in(zone)

    def launch_may_be_delayed(self, machine: Machine, heartbeat: Heartbeat) -> bool:
        """Whether a launch of a cancelled task may be delayed on its way to a machine, and a lease
        that we renew would keep its token and incarnation valid beyond the time for that task.

        One that its owner saw end is in no page any more (`store/stale_pages.py`). Incarnations
        tell nothing: a copy of an old heartbeat cannot be told from that of a machine whose lease
        has ended for lack of our answer, and an owner may reach a machine that does not reach it.
        """
        model = self._model
        # What we follow is up to MAX_STATE_AGE_S old when we act on it.
        ended_before = self._clock.now() - (model.stale_renewal_bound_s - MAX_STATE_AGE_S)
        shown = {(item.task, item.attempt) for item in heartbeat.tasks}
        return any(
            attempt.job.phase == Phase.CANCELLED
            and attempt.job.ended_at < ended_before
            and (attempt.name, attempt.number) not in shown
            for attempt in machine.attempts.values()
        )

    def is_counted_on_in(self, zone: str) -> bool:
        """Whether owners count with our answers in a zone though no record of ours says so: it must
        have ended with its lease, and the bound must not have."""
        member = self._member
        return (
            zone == self._zone
            and not member.lease_confirmed_within(self._ttl_s + SLACK_S)
            and member.may_renew_worker_leases
        )

    def review(self) -> None:
        """Keep our record up to date: whose proxy we are; called a few times a second."""
        model, member = self._model, self._member
        if not model.loaded or self._writing or not member.lease_is_current:
            return
        wanted = frozenset(
            name
            for name in self._peer_zones
            if name in model.controllers and self._is_unreachable(name)
        )
        known = model.proxies.get(member.node)
        named: frozenset[str] = frozenset()
        if known is not None and known.record.lease == member.lease:
            named = frozenset(known.record.owners)
        # From here on nothing is answered for one that is to be named no more, whatever becomes of
        # the write.
        self._announced = wanted & named
        self._announced_lease = member.lease
        version = 0 if known is None else known.version
        lost = self._unanswered_on(member.lease, version)
        if lost is not None:
            # Executed late, it names others; owners would count without us before we see it.
            self._announced &= lost.owners
        if (wanted != named or lost is not None) and member.lease is not None:
            self._writing = True
            self._tasks.spawn(self._write_record(wanted, member.lease, version))

    def _unanswered_on(self, lease: int | None, version: int) -> UnansweredRecord | None:
        """The unanswered write on this lease and version, if there is one."""
        record = self._unanswered
        if record is None or (record.lease, record.version) != (lease, version):
            return None
        return record

    async def _write_record(self, owners: frozenset[str], lease: int, version: int) -> None:
        # A record is never taken away, except by the end of its lease: one that came and went
        # between two looks would leave no trace.
        key = proxy_key(self._member.node)
        record = wire.ProxyRecord(self._member.node, lease, sorted(owners))
        write = wire.Write(put=key, value=wire.raw(record), lease=lease)
        try:
            revision = await self._committer.commit(
                Urgency.CLAIM,
                {key: version},
                [write],
                DEADLINE_S,
                wanted=lambda: self._member.lease == lease,
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
                # Refused, it may have been executed without an answer: until the replica shows
                # it, owners may count without us as well.
                before = self._unanswered_on(lease, version)
                if before is not None:
                    owners &= before.owners
                self._unanswered = UnansweredRecord(lease, version, owners)
        finally:
            self._writing = False

    # ---- as an owner ----

    def observe_peers(self) -> None:
        """Take note of the peers' records; called a few times a second."""
        now = self._clock.now()
        self._observe_outage(now)
        # A replica that was read anew does not tell what came and went before.
        has_reloaded = self._loads != self._model.load_count
        self._loads = self._model.load_count
        for name in self._peer_zones:
            self._observe_records(name, has_reloaded, now)
            self._observe_proxy(name, has_reloaded, now)

    def _observe_outage(self, now: float) -> None:
        if not self._member.lease_confirmed_within(self._ttl_s / 2):
            self._was_disconnected = True
        elif self._was_disconnected:
            # If it was an outage, every lease has had its full time again, a peer's that is cut
            # off among them: its record tells nothing before that has ended.
            self._was_disconnected = False
            for name in self._peer_zones:
                self._isolated_until[name] = max(
                    self._isolated_until.get(name, now), now + self._ttl_s + SLACK_S
                )

    def _observe_records(self, name: str, has_reloaded: bool, now: float) -> None:
        """Note the versions of a peer's records, and whether it may lack the state service."""
        model = self._model
        controller, proxy = model.controllers.get(name), model.proxies.get(name)
        versions = (
            0 if controller is None else controller.version,
            0 if proxy is None else proxy.version,
        )
        if has_reloaded or self._record_versions.get(name, (-1, 0))[0] != versions[0]:
            # Back with a record of its own, it has the state service again.
            isolated_s = 0.0 if controller is not None else model.partition_bound_s
            self._isolated_until[name] = now + isolated_s
        self._record_versions[name] = versions

    def _observe_proxy(self, name: str, has_reloaded: bool, now: float) -> None:
        """Note whether a peer is a proxy for us, or has been since the last call."""
        proxy = self._model.proxies.get(name)
        node = self._member.node
        named_at = self._model.proxy_bounds.get((name, node), 0)
        is_named = proxy is not None and node in proxy.record.owners
        before = self._proxies_of_ours.get(name)
        if has_reloaded or is_named or before != (named_at, is_named):
            # Where its record went with its lease, that may have been revoked early
            # (badgerseam/standby/failure_detector.py), and it acts on the record for as long as
            # the lease would have lasted. Read anew, that may go unseen.
            is_gone = proxy is None and (
                self.leases_may_end_early if has_reloaded else before is not None
            )
            rest_s = self._ttl_s + SLACK_S if is_gone else 0.0
            self._proxied_until = max(self._proxied_until, now + rest_s)
        self._proxies_of_ours[name] = named_at, is_named

    def leases_renewed_until(self, zone: str) -> float:
        """Until when a peer may have renewed leases of ours in a zone."""
        until = (
            self._isolated_until[name]
            for name, peer_zone in self._peer_zones.items()
            if peer_zone == zone
        )
        return max(self._proxied_until, max(until, default=-1e9))

    def confirmed_since(self, at: float) -> bool:
        """Whether what is known of the peers was true at that time; asks if not."""
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
