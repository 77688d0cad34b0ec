"""What the planner asks of the site's classes."""

from __future__ import annotations

import logging

from badgerseam.classes import arrival_forecast
from badgerseam.classes.arrival_forecast import TaskKind
from badgerseam.classes.capacity_reservation import ReservedCapacity, reserve
from badgerseam.classes.priority_inversions import find_inversions
from badgerseam.classes.table import ClassTable
from badgerseam.model.job import Job, Phase
from badgerseam.model.model import Model
from badgerseam.model.resources import Resources
from badgerseam.model.state import Arrival, Shard
from badgerseam.sched import pts
from badgerseam.sched.planner import MAX_STARTS, Planner
from badgerseam.wire.users import Submission

log = logging.getLogger("badgerseam.classes")

REFRESH_S = 0.2
"""How long a look at the waiting work of other shares serves."""
PASS_S = 0.7
"""How long work has waited before room of another share is kept for it: till then its own share
places it, or its placement is on its way to be durable."""
MAX_HOLD_S = 5.0
"""How long a machine is kept for a job of another share at a time: the leader looks four times a
second, and passes it on with one write."""
PAUSE_S = 20.0
"""After that, before machines are kept for the same job again."""


class ClassRules:
    """Answers for the planner, and for the leader. Callers hold the model's lock."""

    def __init__(self, model: Model, planner: Planner) -> None:
        self._model = model
        self._planner = planner
        self._clock = model.clock
        self._table: ClassTable | None = None
        self._version = -1
        self._rates: dict[int, tuple[float, dict[TaskKind, float]]] = {}
        self._looked: dict[int, tuple[float, list[pts.Request]]] = {}
        self._holding: dict[str, float] = {}
        self.inversions = 0
        self.reserved_machines = 0
        self._led: tuple[int, float, int | None] = (0, -1e9, None)
        """Since when this controller leads, under which stamp, and what was coming then."""
        model.class_of = self.effective_class
        planner.classes = self

    def table(self) -> ClassTable | None:
        """The classes in force; None before the first record."""
        record = self._model.classes
        version = 0 if record is None else record[1]
        if version != self._version:
            self._version = version
            self._table = None if record is None else ClassTable(record[0])
            self._rates.clear()
            self._looked.clear()
        return self._table

    def own_class(self, job: Job) -> int:
        """The class that a job belongs to."""
        return self.class_of_submission(job.spec)

    def class_of_submission(self, spec: Submission) -> int:
        """The class that a job to be accepted belongs to."""
        table = self.table()
        return 0 if table is None else table.own_class(spec.job_class, spec.team)

    def effective_class(self, job: Job) -> int:
        """The class that a job counts as now."""
        table = self.table()
        if table is None:
            return 0
        own = table.own_class(job.spec.job_class, job.spec.team)
        if own == 0:
            return 0
        # Attempts and bits are durable, and so is when it was accepted: a new owner finds the same.
        started = max(len(job.tries), job.finished + job.live)
        return table.effective_class(own, self._clock.wall() - job.submitted, job.tasks, started)

    def class_of_arrival(self, arrival: Arrival) -> int:
        """The class that an arrival belongs to."""
        table = self.table()
        if table is None:
            return 0
        team = self._model.teams[arrival.team].name if arrival.team >= 0 else ""
        return table.own_class(arrival.job_class, team)

    def reserve_capacity(self, shard: Shard, snapshot: pts.Snapshot, leading: bool = False) -> None:
        """Keep room of a share from lower classes before it is planned for.

        `leading`: by the leader, who only looks at which machines could be passed on.
        """
        table = self.table()
        if table is None or all(request.priority_class == 0 for request in snapshot.requests):
            return
        kept = self._waiting_in_other_shards(shard, snapshot)
        if not leading:
            kept += self._truncated(snapshot)
            kept += self._forecast(shard, table)
        if not kept:
            return
        taken = reserve(snapshot, kept)
        if taken and not leading:
            self.reserved_machines += 1
            log.debug("share %d: %d machines kept from lower classes", shard.index, len(taken))

    def _truncated(self, snapshot: pts.Snapshot) -> list[ReservedCapacity]:
        """Of a job of which so many tasks wait that only some are planned at once, the rest comes
        in the next round: lower classes must not take its room in this one."""
        found = []
        for request, rest in self._remaining_tasks(snapshot):
            found.append(
                ReservedCapacity(
                    request.priority_class,
                    request.rank,
                    request.demand,
                    request.spot,
                    rest,
                    request,
                    every=True,
                )
            )
        return found

    def _remaining_tasks(self, snapshot: pts.Snapshot) -> list[tuple[pts.Request, int]]:
        found = []
        for request in snapshot.requests:
            if request.count < MAX_STARTS or request.gang:
                continue
            job = self._model.jobs[request.job]
            team = snapshot.teams[request.team]
            if job is not None:
                most = request.demand.count_in(team.headroom())
                throttle = None if job.spec.terms is None else self._planner.terms.max_starts(job)
                if throttle is not None:
                    most = min(most, throttle)
                rest = min(job.waiting(), most) - request.count
                if rest > 0:
                    found.append((request, rest))
        return found

    def _forecast(self, shard: Shard, table: ClassTable) -> list[ReservedCapacity]:
        """What higher classes are about to submit, for a while after a takeover of the share."""
        until = shard.owned_since + table.held_s
        if self._clock.now() >= until or len(table.names) < 2:
            return []
        since = shard.owned_since
        if since - shard.unowned_since < arrival_forecast.LONGEST_GAP_S:
            since = shard.unowned_since
        arrivals = self._model.arrivals
        known = self._rates.get(shard.index)
        if known is None or known[0] != shard.owned_since:
            lowest = len(table.names) - 1
            found = arrival_forecast.rates(
                arrivals, self.class_of_arrival, shard.index, since, lowest
            )
            known = self._rates[shard.index] = (shard.owned_since, found)
        coming = arrival_forecast.expected_tasks(
            known[1], reversed(arrivals), self.class_of_arrival, shard.index, since, until
        )
        return [
            ReservedCapacity(kind.priority_class, kind.rank, kind.demand, kind.spot, tasks)
            for kind, tasks in coming.items()
        ]

    def _waiting_in_other_shards(
        self, shard: Shard, snapshot: pts.Snapshot
    ) -> list[ReservedCapacity]:
        """What waits in other shares: the empty machines that it could have are kept until the
        leader has passed them on."""
        lowest = max(request.priority_class for request in snapshot.requests)
        if not any(node.free == node.total for node in snapshot.nodes):
            return []
        now = self._clock.now()
        found = []
        for other in self._model.shards:
            if other.index == shard.index:
                continue
            for request in self._waiting(other, now):
                job = self._model.jobs[request.job]
                if request.priority_class >= lowest or job is None:
                    continue
                since = self._holding.setdefault(job.id, now)
                if now - since > MAX_HOLD_S + PAUSE_S:
                    self._holding[job.id] = now
                elif now - since > MAX_HOLD_S:
                    continue
                found.append(
                    ReservedCapacity(
                        request.priority_class,
                        request.rank,
                        request.demand,
                        request.spot,
                        request.count,
                        request,
                        whole=True,
                    )
                )
        return found

    def _waiting(self, shard: Shard, now: float) -> list[pts.Request]:
        """A share's work of all classes but the lowest that has waited for a while."""
        known = self._looked.get(shard.index)
        if known is not None and now - known[0] < REFRESH_S:
            return known[1]
        found = []
        room: dict[int, Resources] = {}
        lowest = 0 if self._table is None else len(self._table.names) - 1
        for request in self._planner.requests(shard):
            job = self._model.jobs[request.job]
            if job is None or request.priority_class >= lowest or now - job.last_seen_at < PASS_S:
                continue
            left = room.get(request.team)
            if left is None:
                team = self._model.teams[request.team]
                left = room[request.team] = team.limit.minus(self._model.usage(request.team))
            request.count = min(request.count, request.demand.count_in(left))
            if request.count > 0:
                found.append(request)
        if not found and shard.index in self._looked:
            self._forget()
        self._looked[shard.index] = (now, found)
        return found

    def _forget(self) -> None:
        """Drop what is known of jobs that are over."""
        for name in [name for name in self._holding if name in self._model.ended]:
            del self._holding[name]

    def cautious_below(self) -> int | None:
        """The class below which a new leader moves no machines for a while after its first round:
        the highest one of which anything is about to come; None if there is no reason."""
        table, leader = self.table(), self._model.leader_claim
        if table is None or leader is None or len(table.names) < 2:
            return None
        now = self._clock.now()
        if self._led[0] != leader.version:
            found: list[int] = []
            for shard in self._model.shards:
                rates = arrival_forecast.rates(
                    self._model.arrivals,
                    self.class_of_arrival,
                    shard.index,
                    now,
                    len(table.names) - 1,
                )
                found += [
                    kind.priority_class
                    for kind, rate in rates.items()
                    if rate * table.held_s >= 0.5
                ]
            self._led = (leader.version, now, min(found, default=None))
        return self._led[2] if now < self._led[1] + table.held_s else None

    def on_plan(self, shard: Shard, snapshot: pts.Snapshot, result: pts.Plan) -> None:
        """Count the jumps of a plan that is being carried out."""
        if not result.starts or all(request.priority_class == 0 for request in snapshot.requests):
            return
        rest = {request.job: count for request, count in self._remaining_tasks(snapshot)}
        found = find_inversions(snapshot, result, rest)
        self.inversions += len(found)
        low = sum(1 for start in result.starts if self._klass(start.job) > 0)
        if found or low:
            log.debug(
                "share %d: %d starts, %d of lower classes, %d jumps (%d since the start)",
                shard.index,
                len(result.starts),
                low,
                len(found),
                self.inversions,
            )

    def _klass(self, index: int) -> int:
        job = self._model.jobs[index]
        return 0 if job is None else self.effective_class(job)

    def waiting(self) -> dict[str, int]:
        """Tasks that wait, by the name of the class they belong to."""
        table = self.table()
        if table is None or not table.names:
            return {}
        found = dict.fromkeys(table.names, 0)
        for jobs in self._model.open_jobs:
            for job in jobs.values():
                if job.phase == Phase.OPEN:
                    found[table.names[self.own_class(job)]] += job.waiting()
        return found
