"""Selects machines to evacuate for work that cannot be placed in its own shard."""

from __future__ import annotations

from badgerseam.fleet import policy
from badgerseam.fleet.demand import in_priority_order
from badgerseam.model.job import HIGH_RANK
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.sched import pts
from badgerseam.sched.planner import Planner

EVACUATION_INTERVAL_S = 3.0
"""Seconds that high-priority work, or demand within a guarantee, waits before machines of another
shard are evacuated; also the minimum time between evacuations for one shard."""
MAX_EVACUATED = 4
"""Maximum number of machines evacuated at a time for one shard."""


class Evacuation:
    """Selects machines to evacuate for work of other shards.

    The paper's planner evicts only within a shard. If low-priority work or borrowers of other
    shards use all suitable machines, high-priority work and demand within a team's guarantee can
    only start after machines of those shards are evacuated.
    """

    def __init__(self, model: Model, planner: Planner) -> None:
        self._model = model
        self._planner = planner
        self._evacuated_at: dict[int, float] = {}
        """Time of the last evacuation, by the shard for which machines were evacuated."""

    def select(
        self,
        snapshots: list[pts.Snapshot],
        decisions: policy.FleetDecisions,
        moving: set[str],
        now: float,
    ) -> dict[int, list[Machine]]:
        """Returns the machines to evacuate, by the shard that will get them.

        Selects none for a shard for which machines are being rented. `moving`: names of machines
        that are already being moved.
        """
        selected: dict[int, list[Machine]] = {}
        borrowers: set[int] | None = None
        for shard, snapshot in enumerate(snapshots):
            waiting = decisions.waiting[shard]
            if not waiting or any(rented_for == shard for _, rented_for in decisions.rentals):
                continue
            if now - self._evacuated_at.get(shard, -1e9) < EVACUATION_INTERVAL_S:
                continue
            for request in in_priority_order(snapshot.requests):
                if not self._may_evacuate(snapshot, request, waiting, now):
                    continue
                if borrowers is None and not request.high:
                    borrowers = self._borrowers()
                count = waiting[request.job]
                chosen = self._cheapest(shard, request, count, borrowers or set(), moving, now)
                if chosen:
                    self._evacuated_at[shard] = now
                    selected[shard] = chosen
                    break
        return selected

    def _may_evacuate(
        self, snapshot: pts.Snapshot, request: pts.Request, waiting: dict[int, int], now: float
    ) -> bool:
        """Whether a request justifies an evacuation.

        It does if it has waited for long enough and is of high priority or within its team's
        guarantee.
        """
        job = self._model.jobs[request.job]
        if request.job not in waiting or job is None or job.is_failing:
            return False
        if now - job.last_seen_at < EVACUATION_INTERVAL_S:
            return False
        if request.high:
            return True
        team = snapshot.teams[request.team]
        return team.used.plus(request.demand).fits_in(team.guarantee)

    def _borrowers(self) -> set[int]:
        """Returns the indexes of the teams that use more than their guarantee."""
        model = self._model
        return {
            index
            for index, team in enumerate(model.teams)
            if not model.usage(index).fits_in(team.guarantee)
        }

    def _cheapest(
        self,
        shard: int,
        request: pts.Request,
        count: int,
        borrowers: set[int],
        moving: set[str],
        now: float,
    ) -> list[Machine]:
        """Returns machines of other shards that fit `count` tasks and waste the least work."""
        candidates: list[tuple[float, int]] = []
        for machine in self._model.machines.values():
            if machine.shard == shard or machine.name in moving:
                continue
            if not self._may_be_evacuated(machine, request, borrowers):
                continue
            if not pts.job_rules_allow(request, self._planner.node(machine, now)):
                continue
            waste = sum(
                pts.slots_of(attempt.job.demand) * (now - attempt.planned_at)
                for attempt in machine.attempts.values()
            )
            candidates.append((waste, machine.index))
        chosen: list[Machine] = []
        for _, index in sorted(candidates)[:MAX_EVACUATED]:
            if count <= 0:
                break
            machine = self._model.machines[index]
            chosen.append(machine)
            count -= request.demand.count_in(machine.total)
        return chosen

    def _may_be_evacuated(
        self, machine: Machine, request: pts.Request, borrowers: set[int]
    ) -> bool:
        """Whether all work on a machine may be stopped for a request.

        High-priority work may displace any low-priority work; other requests may only displace
        low-priority work of borrowers.
        """
        if machine.dropped or machine.draining or machine.lost or not machine.attempts:
            return False
        return all(
            attempt.job.rank < HIGH_RANK and (request.high or attempt.job.team in borrowers)
            for attempt in machine.attempts.values()
        )
