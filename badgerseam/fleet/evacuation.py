"""Which machines of other shards are evacuated for work that cannot be placed in its own."""

from __future__ import annotations

from badgerseam.fleet import policy
from badgerseam.fleet.demand import in_priority_order
from badgerseam.model.job import HIGH_RANK
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.sched import pts
from badgerseam.sched.planner import Planner

EVACUATION_INTERVAL_S = 3.0
"""How long HP work, or a claim to a guarantee, waits before machines of another shard are
evacuated, and the time between evacuations for one shard."""
MAX_EVACUATED = 4
"""Machines evacuated at a time for one shard."""


class Evacuation:
    """Selects machines to be evacuated for work of other shards.

    The paper's plan evicts within a shard. For HP work, and for what a team claims of its
    guarantee, low-priority work and borrowers of other shards are in the way as well, where they
    use all machines that would serve.
    """

    def __init__(self, model: Model, planner: Planner) -> None:
        self._model = model
        self._planner = planner
        self._evacuated_at: dict[int, float] = {}
        """By the shard for which machines were evacuated."""

    def select(
        self,
        snapshots: list[pts.Snapshot],
        decisions: policy.FleetDecisions,
        moving: set[str],
        now: float,
    ) -> dict[int, list[Machine]]:
        """Machines to be evacuated, by the shard that is to get them.

        None for a shard for which machines are rented. `moving`: names of machines that are on
        their way to a shard already.
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
        """Whether machines may be evacuated for a request: HP work or a claim that has waited."""
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
        """Teams that use more than they are guaranteed."""
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
        """The machines of other shards with the least waste that make `count` tasks fit."""
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
        """Whether a request may have all work on a machine stopped.

        HP work may that of low priority, any other request that of borrowers only.
        """
        if machine.dropped or machine.draining or machine.lost or not machine.attempts:
            return False
        return all(
            attempt.job.rank < HIGH_RANK and (request.high or attempt.job.team in borrowers)
            for attempt in machine.attempts.values()
        )
