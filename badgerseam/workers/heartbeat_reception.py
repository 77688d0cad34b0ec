"""Detects that no worker's heartbeats reach this controller, and hands its shards over.

A controller that is cut off only from its workers keeps its own lease, and with it its shards,
while the leases of all its machines expire and their tasks are killed, which can be a third of all
tasks, including service replicas. The controller has to detect this itself, because its peers see
nothing wrong with it, and has to hand its shards over before the workers' leases expire.
"""

from __future__ import annotations

import asyncio
import logging
from itertools import islice

from badgerseam.background import BackgroundTasks
from badgerseam.cluster.availability import UnavailableReason
from badgerseam.cluster.membership import Membership
from badgerseam.http.client import HttpClient
from badgerseam.model.model import Model
from badgerseam.workers.inspection import inspect

log = logging.getLogger("badgerseam.workers")

MAX_GAP_INTERVALS = 1.5
"""Heartbeat intervals without any heartbeat after which shards are handed over. Even a single
worker sends a heartbeat within 1.25 intervals."""
TAKEOVER_GRACE_S = 5.0
"""Seconds after a takeover in which no heartbeat may arrive: by the protocol, a worker waits 4 s
for an answer and tries the next controller 1 s later."""
MIN_MACHINES = 4
"""Minimum number of machines that should be sending heartbeats: it is unlikely that so many stop at
once by themselves."""
MAX_STEP_S = 0.5
"""Maximum seconds counted between two checks: a process that was paused or runs late has received
nothing because it did not read its sockets."""
PROBED_MACHINES = 3
"""Machines probed per round to find out whether workers can be reached again."""
PROBE_INTERVAL_S = 1.0
"""Seconds between two rounds of probes, and deadline of each probe."""
MIN_BACKOFF_S = 2.0
"""Seconds for which probes have to be answered before shards are claimed again; doubled after each
recovery, up to MAX_BACKOFF_S."""
MAX_BACKOFF_S = 60.0


class HeartbeatReception:
    """Hands shards over if no heartbeats arrive, and allows claims again once workers answer."""

    def __init__(self, model: Model, membership: Membership, http: HttpClient) -> None:
        self._model = model
        self._membership = membership
        self._http = http
        self._clock = model.clock
        self._max_heartbeat_gap_s = MAX_GAP_INTERVALS * model.settings.params.workers.report_s
        self._checked_at = self._clock.now()
        self._heartbeat_gap_s = 0.0
        self._terms: list[int] = []
        """Terms of the owned shards for whose workers the time is measured."""
        self._backoff_s = MIN_BACKOFF_S
        self._answered_since: float | None = None
        """Time since which every round of probes has been answered; None if the last was not."""
        self._probed_at = -1e9
        self._tasks = BackgroundTasks()

    def on_heartbeat(self) -> None:
        """Records that a heartbeat has arrived.

        Answers to inspections and direct commands do not count, since they renew no lease.
        """
        self._heartbeat_gap_s = 0.0

    def check(self) -> None:
        """Hands shards over or probes machines as needed.

        Called a few times a second with the model's lock held.
        """
        now = self._clock.now()
        self._heartbeat_gap_s += min(now - self._checked_at, MAX_STEP_S)
        self._checked_at = now
        terms = [shard.term for shard in self._model.shards if shard.owned]
        if terms != self._terms:
            self._terms = terms
            self._heartbeat_gap_s = -TAKEOVER_GRACE_S
        if self._membership.receives_no_heartbeats:
            if now - self._probed_at >= PROBE_INTERVAL_S:
                self._probed_at = now
                self._tasks.spawn(self._probe_machines())
        elif terms and self._may_hand_over() and self._membership.withdraw_if_replaceable():
            log.info(
                "shards handed over reason=no_heartbeats silence_s=%.1f", self._heartbeat_gap_s
            )
            self._answered_since = None

    def _may_hand_over(self) -> bool:
        """Whether the missing heartbeats are this controller's fault and its lease is current.

        Without a current lease, that is if this controller cannot reach the state service, a peer
        claims the shards anyway.
        """
        return (
            self._heartbeat_gap_s > self._max_heartbeat_gap_s
            and self._membership.lease_is_current
            and self._expects_heartbeats()
        )

    def _expects_heartbeats(self) -> bool:
        """Whether at least MIN_MACHINES of the owned shards should be sending heartbeats."""
        model = self._model
        expected = (
            machine
            for shard in model.shards
            if shard.owned
            for machine in model.shard_machines[shard.index].values()
            if machine.incarnation > 0 and not machine.lost
        )
        return len(list(islice(expected, MIN_MACHINES))) == MIN_MACHINES

    async def _probe_machines(self) -> None:
        """Inspects a few machines, and allows claims again once they have answered long enough."""
        addresses = self._next_addresses()
        answers = await asyncio.gather(
            *(inspect(self._http, address, PROBE_INTERVAL_S) for address in addresses)
        )
        now = self._clock.now()
        if addresses and not any(answers):
            self._answered_since = None
            return
        if self._answered_since is None:
            self._answered_since = now
        if (
            now - self._answered_since >= self._backoff_s
            and self._membership.receives_no_heartbeats
        ):
            log.info("workers reachable again backoff_s=%.1f", self._backoff_s)
            self._backoff_s = min(2 * self._backoff_s, MAX_BACKOFF_S)
            self._heartbeat_gap_s = 0.0
            self._membership.mark_available(UnavailableReason.NO_HEARTBEATS)

    def _next_addresses(self) -> list[str]:
        """Returns the addresses to probe.

        They differ from round to round, since some machines may have been released or may hang.
        """
        with self._model.lock:
            addresses = [
                machine.address for machine in self._model.machines.values() if machine.address
            ]
        if not addresses:
            return []
        first = round(self._clock.now() / PROBE_INTERVAL_S) * PROBED_MACHINES % len(addresses)
        return (addresses + addresses)[first : first + min(PROBED_MACHINES, len(addresses))]
