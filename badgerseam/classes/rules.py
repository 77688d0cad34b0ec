"""What the planner asks of the site's classes."""

from __future__ import annotations

import logging

from badgerseam.classes import arrival_forecast
from badgerseam.classes.arrival_forecast import Kind
from badgerseam.classes.capacity_reservation import Kept, keep
from badgerseam.classes.priority_inversions import jumps
from badgerseam.classes.table import Table
from badgerseam.model.job import Job, Phase
from badgerseam.model.model import Model
from badgerseam.model.resources import Resources
from badgerseam.model.state import Arrival, Share
from badgerseam.sched import pts
from badgerseam.sched.planner import MOST_STARTS, Planner
from badgerseam.wire.users import Submission

log = logging.getLogger("badgerseam.classes")

LOOK_S = 0.2
"""How long a look at the waiting work of other shares serves."""
PASS_S = 0.7
"""How long work has waited before room of another share is kept for it: till then its own share
places it, or its placement is on its way to be durable."""
MOST_HELD_S = 5.0
"""How long a machine is kept for a job of another share at a time: the leader looks four times a
second, and passes it on with one write."""
PAUSE_S = 20.0
"""After that, before machines are kept for the same job again."""


class Rules:
    """Answers for the planner, and for the leader. Callers hold the model's lock."""

    def __init__(self, model: Model, planner: Planner) -> None:
        self._model = model
        self._planner = planner
        self._clock = model.clock
        self._table: Table | None = None
        self._version = -1
        self._rates: dict[int, tuple[float, dict[Kind, float]]] = {}
        self._looked: dict[int, tuple[float, list[pts.Request]]] = {}
        self._holding: dict[str, float] = {}
        self.jumps = 0
        self.held = 0
        self._led: tuple[int, float, int | None] = (0, -1e9, None)
        """Since when this controller leads, under which stamp, and what was coming then."""
        model.class_of = self.of
        planner.classes = self

    def table(self) -> Table | None:
        """The classes in force; None before the first record."""
        record = self._model.classes
        version = 0 if record is None else record[1]
        if version != self._version:
            self._version = version
            self._table = None if record is None else Table(record[0])
            self._rates.clear()
            self._looked.clear()
        return self._table

    def own(self, job: Job) -> int:
        """The class that a job belongs to."""
        return self.of_submission(job.spec)

    def of_submission(self, spec: Submission) -> int:
        """The class that a job to be accepted belongs to."""
        table = self.table()
        return 0 if table is None else table.own(spec.job_class, spec.team)

    def of(self, job: Job) -> int:
        """The class that a job counts as now."""
        table = self.table()
        if table is None:
            return 0
        own = table.own(job.spec.job_class, job.spec.team)
        if own == 0:
            return 0
        # Attempts and bits are durable, and so is when it was accepted: a new owner finds the same.
        started = max(len(job.tries), job.finished + job.live)
        return table.counts_as(own, self._clock.wall() - job.submitted, job.tasks, started)

    def of_arrival(self, arrival: Arrival) -> int:
        """The class that an arrival belongs to."""
        table = self.table()
        if table is None:
            return 0
        team = self._model.teams[arrival.team].name if arrival.team >= 0 else ""
        return table.own(arrival.job_class, team)

    def bound(self, share: Share, snapshot: pts.Snapshot, leading: bool = False) -> None:
        """Keep room of a share from lower classes before it is planned for.

        `leading`: by the leader, who only looks at which machines could be passed on.
        """
        table = self.table()
        if table is None or all(request.klass == 0 for request in snapshot.requests):
            return
        kept = self._elsewhere(share, snapshot)
        if not leading:
            kept += self._truncated(snapshot)
            kept += self._coming(share, table)
        if not kept:
            return
        taken = keep(snapshot, kept)
        if taken and not leading:
            self.held += 1
            log.debug("share %d: %d machines kept from lower classes", share.index, len(taken))

    def _truncated(self, snapshot: pts.Snapshot) -> list[Kept]:
        """Of a job of which so many tasks wait that only some are planned at once, the rest comes
        in the next round: lower classes must not take its room in this one."""
        found = []
        for request, rest in self._rests(snapshot):
            found.append(
                Kept(
                    request.klass,
                    request.rank,
                    request.need,
                    request.spot,
                    rest,
                    request,
                    every=True,
                )
            )
        return found

    def _rests(self, snapshot: pts.Snapshot) -> list[tuple[pts.Request, int]]:
        found = []
        for request in snapshot.requests:
            if request.count < MOST_STARTS or request.gang:
                continue
            job = self._model.jobs[request.job]
            team = snapshot.teams[request.team]
            if job is not None:
                most = request.need.times_in(team.room())
                throttle = None if job.spec.terms is None else self._planner.terms.most(job)
                if throttle is not None:
                    most = min(most, throttle)
                rest = min(job.waiting(), most) - request.count
                if rest > 0:
                    found.append((request, rest))
        return found

    def _coming(self, share: Share, table: Table) -> list[Kept]:
        """What higher classes are about to submit, for a while after a takeover of the share."""
        until = share.owned_since + table.held_s
        if self._clock.now() >= until or len(table.names) < 2:
            return []
        since = share.owned_since
        if since - share.vacant_since < arrival_forecast.LONGEST_GAP_S:
            since = share.vacant_since
        arrivals = self._model.arrivals
        known = self._rates.get(share.index)
        if known is None or known[0] != share.owned_since:
            lowest = len(table.names) - 1
            found = arrival_forecast.rates(arrivals, self.of_arrival, share.index, since, lowest)
            known = self._rates[share.index] = (share.owned_since, found)
        coming = arrival_forecast.missing(
            known[1], reversed(arrivals), self.of_arrival, share.index, since, until
        )
        return [
            Kept(kind.klass, kind.rank, kind.need, kind.spot, tasks)
            for kind, tasks in coming.items()
        ]

    def _elsewhere(self, share: Share, snapshot: pts.Snapshot) -> list[Kept]:
        """What waits in other shares: the empty machines that it could have are kept until the
        leader has passed them on."""
        lowest = max(request.klass for request in snapshot.requests)
        if not any(node.free == node.total for node in snapshot.nodes):
            return []
        now = self._clock.now()
        found = []
        for other in self._model.shares:
            if other.index == share.index:
                continue
            for request in self._waiting(other, now):
                job = self._model.jobs[request.job]
                if request.klass >= lowest or job is None:
                    continue
                since = self._holding.setdefault(job.id, now)
                if now - since > MOST_HELD_S + PAUSE_S:
                    self._holding[job.id] = now
                elif now - since > MOST_HELD_S:
                    continue
                found.append(
                    Kept(
                        request.klass,
                        request.rank,
                        request.need,
                        request.spot,
                        request.count,
                        request,
                        whole=True,
                    )
                )
        return found

    def _waiting(self, share: Share, now: float) -> list[pts.Request]:
        """A share's work of all classes but the lowest that has waited for a while."""
        known = self._looked.get(share.index)
        if known is not None and now - known[0] < LOOK_S:
            return known[1]
        found = []
        room: dict[int, Resources] = {}
        lowest = 0 if self._table is None else len(self._table.names) - 1
        for request in self._planner.requests(share):
            job = self._model.jobs[request.job]
            if job is None or request.klass >= lowest or now - job.seen_at < PASS_S:
                continue
            left = room.get(request.team)
            if left is None:
                team = self._model.teams[request.team]
                left = room[request.team] = team.limit.minus(self._model.usage(request.team))
            request.count = min(request.count, request.need.times_in(left))
            if request.count > 0:
                found.append(request)
        if not found and share.index in self._looked:
            self._forget()
        self._looked[share.index] = (now, found)
        return found

    def _forget(self) -> None:
        """Drop what is known of jobs that are over."""
        for name in [name for name in self._holding if name in self._model.ended]:
            del self._holding[name]

    def cautious(self) -> int | None:
        """The class below which a new leader moves no machines for a while after its first round:
        the highest one of which anything is about to come; None if there is no reason."""
        table, leader = self.table(), self._model.leader
        if table is None or leader is None or len(table.names) < 2:
            return None
        now = self._clock.now()
        if self._led[0] != leader.version:
            found: list[int] = []
            for share in self._model.shares:
                rates = arrival_forecast.rates(
                    self._model.arrivals,
                    self.of_arrival,
                    share.index,
                    now,
                    len(table.names) - 1,
                )
                found += [kind.klass for kind, rate in rates.items() if rate * table.held_s >= 0.5]
            self._led = (leader.version, now, min(found, default=None))
        return self._led[2] if now < self._led[1] + table.held_s else None

    def planned(self, share: Share, snapshot: pts.Snapshot, result: pts.Plan) -> None:
        """Count the jumps of a plan that is being carried out."""
        if not result.starts or all(request.klass == 0 for request in snapshot.requests):
            return
        rest = {request.job: count for request, count in self._rests(snapshot)}
        found = jumps(snapshot, result, rest)
        self.jumps += len(found)
        low = sum(1 for start in result.starts if self._klass(start.job) > 0)
        if found or low:
            log.debug(
                "share %d: %d starts, %d of lower classes, %d jumps (%d since the start)",
                share.index,
                len(result.starts),
                low,
                len(found),
                self.jumps,
            )

    def _klass(self, index: int) -> int:
        job = self._model.jobs[index]
        return 0 if job is None else self.of(job)

    def waiting(self) -> dict[str, int]:
        """Tasks that wait, by the name of the class they belong to."""
        table = self.table()
        if table is None or not table.names:
            return {}
        found = dict.fromkeys(table.names, 0)
        for jobs in self._model.open_jobs:
            for job in jobs.values():
                if job.phase == Phase.OPEN:
                    found[table.names[self.own(job)]] += job.waiting()
        return found
