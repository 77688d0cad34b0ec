"""Whether this controller hears its workers at all.

One that loses only its workers keeps its lease and with it its shares, while all leases of its
machines run out: found on a day on which a third of all tasks, replicas among them, were killed so.
It has to notice by itself, since to everybody else it looks well, and to hand its shares on while
the workers' leases still run.
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
"""Report intervals without any report. One worker alone would have sent one within 1.25."""
ARRIVE_S = 5.0
"""By the protocol a worker gives a controller up after 4 s, and asks the next one 1 s later: so
long nobody may come after a share was taken over."""
MIN_MACHINES = 4
"""Machines that have to be missed: so many do not fall silent together by themselves."""
MAX_STEP_S = 0.5
"""Between two looks at most so much time counts as lived through: a process that stood still, or
that is late with everything, has heard nothing because it did not listen."""
MACHINES_ASKED = 3
"""Machines asked at a time whether they can be reached again."""
ASK_S = 1.0
STEADY_S = 2.0
"""How long they have to answer before shares are taken again; doubled each time up to MOST_S."""
MAX_BACKOFF_S = 60.0


class HeartbeatReception:
    """Counts the time without a report of any worker, and tells the membership."""

    def __init__(self, model: Model, member: Membership, http: HttpClient) -> None:
        self._model = model
        self._member = member
        self._http = http
        self._clock = model.clock
        self._limit_s = SILENCE_INTERVALS * model.settings.params.workers.report_s
        self._looked_at = self._clock.now()
        self._unheard_s = 0.0
        self._terms: list[int] = []
        """Under which the shares are owned that we listen for."""
        self._steady_s = STEADY_S
        self._answered_since: float | None = None
        self._asked_at = -1e9
        self._tasks = BackgroundTasks()

    def on_heartbeat(self) -> None:
        """A report has come. Answers to what we send do not count: they renew no lease."""
        self._unheard_s = 0.0

    def check(self) -> None:
        """Called a few times a second, with the model's lock held."""
        now = self._clock.now()
        self._unheard_s += min(now - self._looked_at, MAX_STEP_S)
        self._looked_at = now
        terms = [shard.term for shard in self._model.shards if shard.owned]
        if terms != self._terms:
            self._terms = terms
            self._unheard_s = -ARRIVE_S
        if self._member.hears_no_workers:
            if now - self._asked_at >= ASK_S:
                self._asked_at = now
                self._tasks.spawn(self._ask())
        elif (
            terms
            and self._unheard_s > self._limit_s
            # Without the state service others take the shares by themselves.
            and self._member.lease_is_current
            and self._missed()
            and self._member.withdraw_if_replaceable()
        ):
            log.info("no worker was heard for %.1f s: shares are handed on", self._unheard_s)
            self._answered_since = None

    def _missed(self) -> bool:
        model = self._model
        found = (
            machine
            for shard in model.shards
            if shard.owned
            for machine in model.shard_machines[shard.index].values()
            if machine.incarnation > 0 and not machine.lost
        )
        return len(list(islice(found, MIN_MACHINES))) == MIN_MACHINES

    async def _ask(self) -> None:
        with self._model.lock:
            known = [
                machine.address for machine in self._model.machines.values() if machine.address
            ]
        # Other ones each time: some may be gone or hang.
        first = round(self._clock.now() / ASK_S) * MACHINES_ASKED % len(known) if known else 0
        asked = (known + known)[first : first + min(MACHINES_ASKED, len(known))]
        answers = await asyncio.gather(*(inspect(self._http, at, ASK_S) for at in asked))
        now = self._clock.now()
        if known and not any(answers):
            self._answered_since = None
            return
        if self._answered_since is None:
            self._answered_since = now
        if now - self._answered_since >= self._steady_s and self._member.hears_no_workers:
            log.info("workers are heard again")
            self._steady_s = min(2 * self._steady_s, MAX_BACKOFF_S)
            self._unheard_s = 0.0
            self._member.mark_available(UnavailableReason.NO_HEARTBEATS)
