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
from badgerseam.cluster.availability import Away
from badgerseam.cluster.membership import Member
from badgerseam.http.client import Client
from badgerseam.model.model import Model
from badgerseam.workers.inspection import inspect

log = logging.getLogger("badgerseam.workers")

SILENCE_REPORTS = 1.5
"""Report intervals without any report. One worker alone would have sent one within 1.25."""
ARRIVE_S = 5.0
"""By the protocol a worker gives a controller up after 4 s, and asks the next one 1 s later: so
long nobody may come after a share was taken over."""
FEWEST = 4
"""Machines that have to be missed: so many do not fall silent together by themselves."""
MOST_STEP_S = 0.5
"""Between two looks at most so much time counts as lived through: a process that stood still, or
that is late with everything, has heard nothing because it did not listen."""
ASKED = 3
"""Machines asked at a time whether they can be reached again."""
ASK_S = 1.0
STEADY_S = 2.0
"""How long they have to answer before shares are taken again; doubled each time up to MOST_S."""
MOST_S = 60.0


class Hearing:
    """Counts the time without a report of any worker, and tells the membership."""

    def __init__(self, model: Model, member: Member, http: Client) -> None:
        self._model = model
        self._member = member
        self._http = http
        self._clock = model.clock
        self._limit_s = SILENCE_REPORTS * model.settings.params.workers.report_s
        self._looked_at = self._clock.now()
        self._silent_s = 0.0
        self._terms: list[int] = []
        """Under which the shares are owned that we listen for."""
        self._steady_s = STEADY_S
        self._answered_since: float | None = None
        self._asked_at = -1e9
        self._tasks = BackgroundTasks()

    def heard(self) -> None:
        """A report has come. Answers to what we send do not count: they renew no lease."""
        self._silent_s = 0.0

    def look(self) -> None:
        """Called a few times a second, with the model's lock held."""
        now = self._clock.now()
        self._silent_s += min(now - self._looked_at, MOST_STEP_S)
        self._looked_at = now
        terms = [share.term for share in self._model.shares if share.owned]
        if terms != self._terms:
            self._terms = terms
            self._silent_s = -ARRIVE_S
        if self._member.deaf:
            if now - self._asked_at >= ASK_S:
                self._asked_at = now
                self._tasks.spawn(self._ask())
        elif (
            terms
            and self._silent_s > self._limit_s
            # Without the state service others take the shares by themselves.
            and self._member.connected
            and self._missed()
            and self._member.hand_on()
        ):
            log.info("no worker was heard for %.1f s: shares are handed on", self._silent_s)
            self._answered_since = None

    def _missed(self) -> bool:
        model = self._model
        found = (
            machine
            for share in model.shares
            if share.owned
            for machine in model.fleets[share.index].values()
            if machine.session > 0 and not machine.lost
        )
        return len(list(islice(found, FEWEST))) == FEWEST

    async def _ask(self) -> None:
        with self._model.lock:
            known = [machine.addr for machine in self._model.machines.values() if machine.addr]
        # Other ones each time: some may be gone or hang.
        first = round(self._clock.now() / ASK_S) * ASKED % len(known) if known else 0
        asked = (known + known)[first : first + min(ASKED, len(known))]
        answers = await asyncio.gather(*(inspect(self._http, at, ASK_S) for at in asked))
        now = self._clock.now()
        if known and not any(answers):
            self._answered_since = None
            return
        if self._answered_since is None:
            self._answered_since = now
        if now - self._answered_since >= self._steady_s and self._member.deaf:
            log.info("workers are heard again")
            self._steady_s = min(2 * self._steady_s, MOST_S)
            self._silent_s = 0.0
            self._member.come_back(Away.DEAF)
