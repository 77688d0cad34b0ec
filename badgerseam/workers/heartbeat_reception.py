"""Whether this controller receives heartbeats at all.

One that loses only its workers keeps its lease and with it its shards, while all leases of its
machines run out: found on a day on which a third of all tasks, replicas among them, were killed so.
It has to notice by itself, since its peers see nothing wrong with it, and to hand its shards over
while the workers' leases still run.
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

SILENCE_INTERVALS = 1.5
"""Heartbeat intervals without any heartbeat. One worker alone would have sent one within 1.25."""
TAKEOVER_GRACE_S = 5.0
"""By the protocol a worker gives a controller up after 4 s, and tries the next one 1 s later: so
long there may be no heartbeat after a takeover."""
MIN_MACHINES = 4
"""Machines that have to be silent: so many do not fall silent together by themselves."""
MAX_STEP_S = 0.5
"""Time that counts between two checks at most: a process that stood still, or that is late with
everything, has received nothing because it did not listen."""
PROBED_MACHINES = 3
"""Machines probed at a time for whether they can be reached again."""
PROBE_INTERVAL_S = 1.0
"""Interval of the probes and deadline of each."""
MIN_BACKOFF_S = 2.0
"""How long machines have to answer before shards are claimed again; doubled each time up to
MAX_BACKOFF_S."""
MAX_BACKOFF_S = 60.0


class HeartbeatReception:
    """Measures the time without a heartbeat of any worker, and informs the membership."""

    def __init__(self, model: Model, member: Membership, http: HttpClient) -> None:
        self._model = model
        self._member = member
        self._http = http
        self._clock = model.clock
        self._max_silence_s = SILENCE_INTERVALS * model.settings.params.workers.report_s
        self._checked_at = self._clock.now()
        self._silence_s = 0.0
        self._terms: list[int] = []
        """Terms of the owned shards for whose workers the silence is measured."""
        self._backoff_s = MIN_BACKOFF_S
        self._answered_since: float | None = None
        """Since when every round of probes was answered."""
        self._probed_at = -1e9
        self._tasks = BackgroundTasks()

    def on_heartbeat(self) -> None:
        """A heartbeat has come. Answers to what we send do not count: they renew no lease."""
        self._silence_s = 0.0

    def check(self) -> None:
        """Called a few times a second, with the model's lock held."""
        now = self._clock.now()
        self._silence_s += min(now - self._checked_at, MAX_STEP_S)
        self._checked_at = now
        terms = [shard.term for shard in self._model.shards if shard.owned]
        if terms != self._terms:
            self._terms = terms
            self._silence_s = -TAKEOVER_GRACE_S
        if self._member.receives_no_heartbeats:
            if now - self._probed_at >= PROBE_INTERVAL_S:
                self._probed_at = now
                self._tasks.spawn(self._probe_machines())
        elif terms and self._may_hand_over() and self._member.withdraw_if_replaceable():
            log.info("shards handed over reason=no_heartbeats silence_s=%.1f", self._silence_s)
            self._answered_since = None

    def _may_hand_over(self) -> bool:
        """Whether the silence lies with this controller, and a peer cannot claim the shards by
        itself, as it does where we lack the state service."""
        return (
            self._silence_s > self._max_silence_s
            and self._member.lease_is_current
            and self._expects_heartbeats()
        )

    def _expects_heartbeats(self) -> bool:
        """Whether at least MIN_MACHINES of the owned shards should send heartbeats."""
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
        """Inspect some machines; once they have answered for a while, claim shards again."""
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
        if now - self._answered_since >= self._backoff_s and self._member.receives_no_heartbeats:
            log.info("workers reachable again backoff_s=%.1f", self._backoff_s)
            self._backoff_s = min(2 * self._backoff_s, MAX_BACKOFF_S)
            self._silence_s = 0.0
            self._member.mark_available(UnavailableReason.NO_HEARTBEATS)

    def _next_addresses(self) -> list[str]:
        """Addresses to probe, others each time: some machines may be gone or hang."""
        with self._model.lock:
            known = [
                machine.address for machine in self._model.machines.values() if machine.address
            ]
        if not known:
            return []
        first = round(self._clock.now() / PROBE_INTERVAL_S) * PROBED_MACHINES % len(known)
        return (known + known)[first : first + min(PROBED_MACHINES, len(known))]
