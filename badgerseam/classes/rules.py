"""Applies the site's priority classes to plans: the class of each job, and the capacity that is
reserved for higher classes.

Capacity is reserved for tasks of large jobs that only the next plan places, for tasks expected to
arrive after a takeover, and for tasks that wait in other shards until the leader has transferred
machines to those shards.
"""

from __future__ import annotations

import logging
import math
from typing import NamedTuple

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

WAITING_CACHE_S = 0.2
"""How long the waiting requests of a shard are cached."""
MIN_WAIT_S = 0.7
"""How long a job has to wait before machines of another shard are reserved for it. Until then its
own shard may still place it, or its placement may be about to become durable."""
MAX_RESERVED_S = 5.0
"""The longest time for which machines are reserved for a job of another shard. It suffices, since
the leader plans transfers four times a second and makes each with a single write."""
RESERVATION_PAUSE_S = 20.0
"""The pause after `MAX_RESERVED_S` before machines are reserved for the same job again."""
MIN_EXPECTED_TASKS = 0.5
"""The least number of expected tasks of a kind because of which a new leader delays transfers for
lower classes."""


class _TakeoverRates(NamedTuple):
    """The arrival rates of a shard before its owner claimed it."""

    owned_since: float
    rates: dict[TaskKind, float]


class _WaitingRequests(NamedTuple):
    """The waiting requests of a shard at a time."""

    at: float
    requests: list[pts.Request]


class _TransferPause(NamedTuple):
    """The class below which a new leader pauses transfers; see
    `ClassRules.transfers_paused_below`."""

    claim_version: int
    since: float
    below: int | None


class ClassRules:
    """The class policy of the planner and the leader (`sched.planner.ClassPolicy`).

    Callers hold the model's lock.
    """

    def __init__(self, model: Model, planner: Planner) -> None:
        self._model = model
        self._planner = planner
        self._clock = model.clock
        self._table: ClassTable | None = None
        self._version = -1
        self._rates: dict[int, _TakeoverRates] = {}
        """Arrival rates before the latest takeover, by shard."""
        self._waiting_requests: dict[int, _WaitingRequests] = {}
        """Cached waiting requests, by shard."""
        self._reserved_since: dict[str, float] = {}
        """When the reservation for a job of another shard began, by job id."""
        self.inversions = 0
        """The number of priority inversions in the plans of this controller."""
        self.plans_with_reservations = 0
        """The number of plans in which work of a lower class avoided a reserved machine."""
        self._transfer_pause = _TransferPause(0, -math.inf, None)
        model.class_of = self.effective_class
        planner.classes = self

    def table(self) -> ClassTable | None:
        """Returns the classes in force; None before the first record."""
        record = self._model.classes
        version = 0 if record is None else record[1]
        if version != self._version:
            self._version = version
            self._table = None if record is None else ClassTable(record[0])
            self._rates.clear()
            self._waiting_requests.clear()
        return self._table

    def own_class(self, job: Job) -> int:
        """Returns the class that a job belongs to, without ageing."""
        return self.class_of_submission(job.spec)

    def class_of_submission(self, spec: Submission) -> int:
        """Returns the class that a submitted job belongs to before it is accepted."""
        table = self.table()
        return 0 if table is None else table.own_class(spec.job_class, spec.team)

    def effective_class(self, job: Job) -> int:
        """Returns the current class of a job, with ageing."""
        table = self.table()
        if table is None:
            return 0
        own = table.own_class(job.spec.job_class, job.spec.team)
        if own == 0:
            return 0
        # Attempts, finished tasks and the time of acceptance are durable, so that a new owner
        # computes the same class.
        started = max(len(job.tries), job.finished + job.live)
        return table.effective_class(own, self._clock.wall() - job.submitted, job.tasks, started)

    def class_of_arrival(self, arrival: Arrival) -> int:
        """Returns the class that an arrival belongs to."""
        table = self.table()
        if table is None:
            return 0
        team = self._model.teams[arrival.team].name if arrival.team >= 0 else ""
        return table.own_class(arrival.job_class, team)

    def reserve_capacity(self, shard: Shard, snapshot: pts.Snapshot, leading: bool = False) -> None:
        """Reserves machines of a shard for higher classes before the shard is planned.

        `leading`: whether the leader asks, which only decides which machines could be transferred.
        """
        table = self.table()
        if table is None or all(request.priority_class == 0 for request in snapshot.requests):
            return
        reservations = self._for_other_shards(shard, snapshot)
        if not leading:
            reservations += self._for_truncated_requests(snapshot)
            reservations += self._for_expected_arrivals(shard, table)
        if not reservations:
            return
        machines = reserve(snapshot, reservations)
        if machines and not leading:
            self.plans_with_reservations += 1
            log.debug("capacity reserved shard=%d machines=%d", shard.index, len(machines))

    def _for_truncated_requests(self, snapshot: pts.Snapshot) -> list[ReservedCapacity]:
        """Returns reservations for jobs with so many waiting tasks that one plan places only some.

        The next plan places the others, so lower classes must not take their capacity in this plan.
        """
        return [
            ReservedCapacity(
                request.priority_class,
                request.rank,
                request.demand,
                request.spot,
                remaining,
                request,
                all_feasible=True,
            )
            for request, remaining in self._remaining_tasks(snapshot)
        ]

    def _remaining_tasks(self, snapshot: pts.Snapshot) -> list[tuple[pts.Request, int]]:
        """Returns the truncated requests, each with the number of further tasks that may start."""
        truncated = []
        for request in snapshot.requests:
            if request.count < MAX_STARTS or request.gang:
                continue
            job = self._model.jobs[request.job]
            team = snapshot.teams[request.team]
            if job is not None:
                max_starts = request.demand.count_in(team.headroom())
                throttle = None if job.spec.terms is None else self._planner.terms.max_starts(job)
                if throttle is not None:
                    max_starts = min(max_starts, throttle)
                remaining = min(job.waiting(), max_starts) - request.count
                if remaining > 0:
                    truncated.append((request, remaining))
        return truncated

    def _for_expected_arrivals(self, shard: Shard, table: ClassTable) -> list[ReservedCapacity]:
        """Returns reservations for tasks expected in higher classes, for `max_hold_s` after a
        takeover."""
        until = shard.owned_since + table.max_hold_s
        if self._clock.now() >= until or len(table.names) < 2:
            return []
        since = shard.owned_since
        if since - shard.unowned_since < arrival_forecast.MAX_UNOWNED_S:
            since = shard.unowned_since
        expected = arrival_forecast.expected_tasks(
            self._rates_before_takeover(shard, table, since),
            reversed(self._model.arrivals),
            self.class_of_arrival,
            shard.index,
            since,
            until,
        )
        return [
            ReservedCapacity(kind.priority_class, kind.rank, kind.demand, kind.spot, tasks)
            for kind, tasks in expected.items()
        ]

    def _rates_before_takeover(
        self, shard: Shard, table: ClassTable, before: float
    ) -> dict[TaskKind, float]:
        """Returns the arrival rates of a shard before a time, computed once after each takeover."""
        cached = self._rates.get(shard.index)
        if cached is None or cached.owned_since != shard.owned_since:
            rates = self._arrival_rates(shard, table, before)
            cached = self._rates[shard.index] = _TakeoverRates(shard.owned_since, rates)
        return cached.rates

    def _arrival_rates(
        self, shard: Shard, table: ClassTable, before: float
    ) -> dict[TaskKind, float]:
        lowest_class = len(table.names) - 1
        return arrival_forecast.arrival_rates(
            self._model.arrivals, self.class_of_arrival, shard.index, before, lowest_class
        )

    def _for_other_shards(self, shard: Shard, snapshot: pts.Snapshot) -> list[ReservedCapacity]:
        """Returns reservations of empty machines for requests that wait in other shards, until the
        leader has transferred machines to those."""
        lowest_class = max(request.priority_class for request in snapshot.requests)
        if not any(node.free == node.total for node in snapshot.nodes):
            return []
        now = self._clock.now()
        reservations = []
        for other in self._model.shards:
            if other.index == shard.index:
                continue
            for request in self._waiting(other, now):
                job = self._model.jobs[request.job]
                if request.priority_class >= lowest_class or job is None:
                    continue
                if not self._may_reserve_for(job, now):
                    continue
                reservations.append(
                    ReservedCapacity(
                        request.priority_class,
                        request.rank,
                        request.demand,
                        request.spot,
                        request.count,
                        request,
                        empty_only=True,
                    )
                )
        return reservations

    def _may_reserve_for(self, job: Job, now: float) -> bool:
        """Whether machines may be reserved for a job of another shard now; False during a pause."""
        since = self._reserved_since.setdefault(job.id, now)
        if now - since > MAX_RESERVED_S + RESERVATION_PAUSE_S:
            self._reserved_since[job.id] = now
            return True
        return now - since <= MAX_RESERVED_S

    def _waiting(self, shard: Shard, now: float) -> list[pts.Request]:
        """Returns a shard's requests, of all classes but the lowest, that have waited for
        `MIN_WAIT_S` and are within their team's limit."""
        cached = self._waiting_requests.get(shard.index)
        if cached is not None and now - cached.at < WAITING_CACHE_S:
            return cached.requests
        waiting = []
        headroom: dict[int, Resources] = {}
        lowest_class = 0 if self._table is None else len(self._table.names) - 1
        for request in self._planner.requests(shard):
            job = self._model.jobs[request.job]
            if (
                job is None
                or request.priority_class >= lowest_class
                or now - job.last_seen_at < MIN_WAIT_S
            ):
                continue
            if request.team not in headroom:
                limit = self._model.teams[request.team].limit
                headroom[request.team] = limit.minus(self._model.usage(request.team))
            request.count = min(request.count, request.demand.count_in(headroom[request.team]))
            if request.count > 0:
                waiting.append(request)
        if not waiting and shard.index in self._waiting_requests:
            self._forget_ended_jobs()
        self._waiting_requests[shard.index] = _WaitingRequests(now, waiting)
        return waiting

    def _forget_ended_jobs(self) -> None:
        for job_id in [job_id for job_id in self._reserved_since if job_id in self._model.ended]:
            del self._reserved_since[job_id]

    def transfers_paused_below(self) -> int | None:
        """Returns the class below which a new leader transfers no machines for `max_hold_s` after
        its first round: the highest class of which arrivals are expected, or None if there is
        none."""
        table, leader = self.table(), self._model.leader_claim
        if table is None or leader is None or len(table.names) < 2:
            return None
        now = self._clock.now()
        if self._transfer_pause.claim_version != leader.version:
            expected = [
                kind.priority_class
                for shard in self._model.shards
                for kind, rate in self._arrival_rates(shard, table, now).items()
                if rate * table.max_hold_s >= MIN_EXPECTED_TASKS
            ]
            self._transfer_pause = _TransferPause(leader.version, now, min(expected, default=None))
        return (
            self._transfer_pause.below
            if now < self._transfer_pause.since + table.max_hold_s
            else None
        )

    def on_plan(self, shard: Shard, snapshot: pts.Snapshot, result: pts.Plan) -> None:
        """Counts the priority inversions of a plan that is about to be carried out."""
        if not result.starts or all(request.priority_class == 0 for request in snapshot.requests):
            return
        remaining = {request.job: count for request, count in self._remaining_tasks(snapshot)}
        inversions = find_inversions(snapshot, result, remaining)
        self.inversions += len(inversions)
        lower = sum(1 for start in result.starts if self._class_of_index(start.job) > 0)
        if inversions or lower:
            log.debug(
                "plan checked for priority inversions shard=%d starts=%d lower_class_starts=%d "
                "inversions=%d inversions_total=%d",
                shard.index,
                len(result.starts),
                lower,
                len(inversions),
                self.inversions,
            )

    def _class_of_index(self, index: int) -> int:
        job = self._model.jobs[index]
        return 0 if job is None else self.effective_class(job)

    def waiting(self) -> dict[str, int]:
        """Returns the number of waiting tasks, by the name of the class that they belong to."""
        table = self.table()
        if table is None or not table.names:
            return {}
        waiting = dict.fromkeys(table.names, 0)
        for jobs in self._model.open_jobs:
            for job in jobs.values():
                if job.phase == Phase.OPEN:
                    waiting[table.names[self.own_class(job)]] += job.waiting()
        return waiting
