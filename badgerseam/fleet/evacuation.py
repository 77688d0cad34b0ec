"""Which machines of other shares are vacated for work that finds no room in its own."""

from __future__ import annotations

from badgerseam.fleet import policy
from badgerseam.fleet.demand import in_level_order
from badgerseam.model.job import HIGH_RANK
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.sched import pts
from badgerseam.sched.planner import Planner

EVACUATION_INTERVAL_S = 3.0
"""How long HP work, or a claim to a guarantee, waits before machines of another share are
vacated."""
MAX_EVACUATED = 4
"""Of these at a time for one share."""


class Evacuation:
    """The paper's plan evicts within a share. For HP work, and for what a team claims of its
    guarantee, low-priority work and borrowers of other shares are in the way as well, where they
    hold all there is of the machines that it needs."""

    def __init__(self, model: Model, planner: Planner) -> None:
        self._model = model
        self._planner = planner
        self._vacated_at: dict[int, float] = {}

    def select(
        self,
        snapshots: list[pts.Snapshot],
        decisions: policy.FleetDecisions,
        moving: set[str],
        now: float,
    ) -> dict[int, list[Machine]]:
        """Machines to be vacated, by the share that is to get them; none where the cloud has any.

        `moving`: names of machines that are on their way to a share already.
        """
        model = self._model
        found: dict[int, list[Machine]] = {}
        borrowers: set[int] | None = None
        for index, snapshot in enumerate(snapshots):
            waiting = decisions.waiting[index]
            if not waiting or any(shard == index for _, shard in decisions.rents):
                continue
            if now - self._vacated_at.get(index, -1e9) < EVACUATION_INTERVAL_S:
                continue
            for request in in_level_order(snapshot.requests):
                job = model.jobs[request.job]
                if request.job not in waiting or job is None or job.is_failing:
                    continue
                if now - job.last_seen_at < EVACUATION_INTERVAL_S:
                    continue
                if not request.high:
                    team = snapshot.teams[request.team]
                    if not team.used.plus(request.demand).fits_in(team.guarantee):
                        continue
                    if borrowers is None:
                        borrowers = self._borrowers()
                count = waiting[request.job]
                chosen = self._cheapest(index, request, count, borrowers or set(), moving, now)
                if chosen:
                    self._vacated_at[index] = now
                    found[index] = chosen
                    break
        return found

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
        """The machines of other shares with the least waste on them that make room for so many
        tasks. HP work takes those of low-priority work, the rest those of borrowers only."""
        found: list[tuple[float, int]] = []
        for machine in self._model.machines.values():
            if machine.shard == shard or machine.name in moving or machine.dropped:
                continue
            if machine.draining or machine.lost or not machine.attempts:
                continue
            if any(
                attempt.job.rank >= HIGH_RANK or not (request.high or attempt.job.team in borrowers)
                for attempt in machine.attempts.values()
            ):
                continue
            if not pts.job_rules_allow(request, self._planner.node(machine, now)):
                continue
            waste = sum(
                pts.slots_of(attempt.job.demand) * (now - attempt.planned_at)
                for attempt in machine.attempts.values()
            )
            found.append((waste, machine.index))
        chosen: list[Machine] = []
        for _, index in sorted(found)[:MAX_EVACUATED]:
            if count <= 0:
                break
            machine = self._model.machines[index]
            chosen.append(machine)
            count -= request.demand.count_in(machine.total)
        return chosen
