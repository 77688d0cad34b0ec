"""Decides which machines to move, rent and release: a pure function of the shards' snapshots."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from badgerseam.fleet.capacity_reserve import CapacityReserve
from badgerseam.fleet.consolidation import RequestOf, machine_to_empty
from badgerseam.fleet.demand import Offer, PriorityKey, RentalOption, UnplacedDemand, priority_key
from badgerseam.model.job import HIGH_RANK
from badgerseam.model.resources import NOTHING, Resources
from badgerseam.sched import pts

UNLIMITED = Resources(math.inf, math.inf, math.inf)


@dataclass(slots=True)
class FleetDecisions:
    """Decisions about machines. Machines and shards are identified by their indexes."""

    moves: list[tuple[int, int]] = field(default_factory=list)
    """Machines to move, with the shard that needs them."""
    rentals: list[tuple[Offer, int]] = field(default_factory=list)
    """Machines to rent, with the shard that needs them."""
    surplus: list[int] = field(default_factory=list)
    """Empty machines that are not needed."""
    consolidations: list[tuple[int, int]] = field(default_factory=list)
    """Machines to drain because their replicas fit on other machines, with their shard."""
    waiting: list[dict[int, int]] = field(default_factory=list)
    """The number of unplaced tasks by job, for each shard."""


def decide(
    snapshots: list[pts.Snapshot],
    empty: set[int],
    idle: set[int],
    reserves: list[CapacityReserve],
    options: list[RentalOption],
    max_machines: int,
    boot_s: float = 0.0,
    request_of: RequestOf | None = None,
    transfers_paused_below: int | None = None,
) -> FleetDecisions:
    """Returns the decisions: moves, then rentals for waiting work, then the reserves, then surplus.

    `empty`: machines without any work; `idle`: the empty ones that may be released;
    `options`: the options for rentals; `max_machines`: the maximum number of moves in total, and of
    rentals per shard and purpose; `boot_s`: the boot duration, since capacity that becomes free
    within it makes a new machine unnecessary; `request_of`: if None, no machine is consolidated;
    `transfers_paused_below`: no machine is moved for priority classes lower than this one, except
    for demand within a team's guarantee.
    """
    decision = _Decision(snapshots, empty, max_machines)
    decision.move_spare_machines(transfers_paused_below)
    decision.rent_for_waiting_work(options, boot_s)
    for position, reserve in enumerate(reserves):
        decision.reserve_capacity(position, reserve, options)
    decision.find_surplus(idle)
    if request_of is not None:
        decision.consolidate(request_of)
    return decision.result


class _Decision:
    """The steps of one decision; each step reduces the machines and capacity left for the next."""

    def __init__(self, snapshots: list[pts.Snapshot], empty: set[int], max_machines: int) -> None:
        self._snapshots = snapshots
        self._max_machines = max_machines
        self._plans = [pts.plan(snapshot, evict=False) for snapshot in snapshots]
        self.result = FleetDecisions(waiting=[plan.waiting for plan in self._plans])
        self._free = {node.index: node.free for plan in self._plans for node in plan.nodes}
        """Free capacity by machine after the plans and the reserves so far; no moved machines."""
        self._spare = _spare_machines(snapshots, self._plans, empty)
        """Empty machines that are not needed in their shard, by index, with that shard."""
        self._unplaced: dict[int, UnplacedDemand] = {}
        """Unplaced demand by shard, in the order in which shards get machines."""

    def move_spare_machines(self, transfers_paused_below: int | None) -> None:
        """Moves empty machines to the shards in which work waits."""
        priorities = _waiting_priorities(self._snapshots, self._plans, transfers_paused_below)
        order = sorted(
            range(len(self._snapshots)),
            key=lambda shard: _shard_order(self._snapshots[shard], self._plans[shard], priorities),
        )
        for shard in order:
            plan = self._plans[shard]
            if plan.waiting:
                requests = self._snapshots[shard].requests
                self._unplaced[shard] = UnplacedDemand(requests, plan.waiting, plan.teams)
        # Waiting work of one shard precedes lower-priority work of all other shards.
        for priority in [None] if priorities is None else priorities:
            for shard, unplaced in self._unplaced.items():
                self._move_to(shard, unplaced, priority)

    def _move_to(self, shard: int, unplaced: UnplacedDemand, priority: PriorityKey | None) -> None:
        for node, origin in list(self._spare.values()):
            if not unplaced or len(self.result.moves) >= self._max_machines:
                break
            if origin == shard or not unplaced.can_use(node, priority):
                continue
            if unplaced.fill(node, node.free):
                del self._spare[node.index]
                del self._free[node.index]
                self.result.moves.append((node.index, shard))

    def rent_for_waiting_work(self, options: list[RentalOption], boot_s: float) -> None:
        """Rents machines for work that does not fit into capacity that is free within `boot_s`."""
        for shard, unplaced in self._unplaced.items():
            now = self._snapshots[shard].now
            for node in self._plans[shard].nodes if unplaced else ():
                free = _free_after(node, now, boot_s)
                if free is not None:
                    unplaced.fill(node, free)
            offers = unplaced.rent(options, self._max_machines)
            self.result.rentals += [(offer, shard) for offer in offers]

    def reserve_capacity(
        self, position: int, reserve: CapacityReserve, options: list[RentalOption]
    ) -> None:
        """Reserves free capacity, and rents machines for the part that is missing."""
        missing = reserve.tasks
        if reserve.rank >= HIGH_RANK:
            slots = pts.slots_of(reserve.demand) or 1.0
            missing -= int(self._evictable_slots(reserve) / slots)
        for node in self._machines_for(reserve):
            if missing <= 0:
                return
            count = min(missing, reserve.demand.count_in(self._free[node.index]))
            self._free[node.index] = self._free[node.index].minus(reserve.demand.times(count))
            missing -= count
        if missing > 0:
            # For work that may run on spot instances, no idle on-demand machines are rented.
            offers = [option for option in options if option.offer.spot == reserve.spot]
            request = _reserve_request(position, reserve)
            unlimited = {0: pts.TeamUse(NOTHING, UNLIMITED, UNLIMITED)}
            unplaced = UnplacedDemand([request], {request.job: missing}, unlimited)
            rented = unplaced.rent(offers, self._max_machines)
            self.result.rentals += [(offer, reserve.shard) for offer in rented]

    def _evictable_slots(self, reserve: CapacityReserve) -> float:
        """Returns the slots of low-priority work that work of the reserve may evict."""
        slots = 0.0
        for shard, plan in enumerate(self._plans):
            if not reserve.pooled and shard != reserve.shard:
                continue
            for node in plan.nodes:
                if node.index in self._free and (reserve.spot or not node.spot):
                    slots += node.low_slots
        return slots

    def _machines_for(self, reserve: CapacityReserve) -> list[pts.MachineSnapshot]:
        """Returns the machines with free capacity for a reserve, the fullest first."""
        found: list[pts.MachineSnapshot] = []
        for shard, plan in enumerate(self._plans):
            in_shard = reserve.pooled or shard == reserve.shard
            for node in plan.nodes:
                free = self._free.get(node.index)
                if free is None or (node.spot and not reserve.spot):
                    continue
                # Empty machines of other shards count as well: they can be moved when needed.
                if (in_shard or free == node.total) and reserve.demand.fits_in(free):
                    found.append(node)
        # Among empty machines, those with the most images start work soonest, so that the others
        # are released first.
        found.sort(key=lambda node: (node.idle_slots / (node.slots or 1.0), -len(node.images)))
        return found

    def find_surplus(self, idle: set[int]) -> None:
        """Adds the idle machines that neither waiting work nor a reserve needs to the surplus."""
        for plan in self._plans:
            for node in plan.nodes:
                is_spare = node.index in idle and node.index in self._spare
                if is_spare and self._free[node.index] == node.total:
                    self.result.surplus.append(node.index)

    def consolidate(self, request_of: RequestOf) -> None:
        """Selects a machine to drain in each shard without waiting work.

        Selects none while on-demand machines are being rented.
        """
        if any(not offer.spot for offer, _ in self.result.rentals):
            return
        for shard, plan in enumerate(self._plans):
            if plan.waiting:
                continue
            now = self._snapshots[shard].now
            node = machine_to_empty(plan.nodes, self._free, now, request_of)
            if node is not None:
                self.result.consolidations.append((node.index, shard))


def _waiting_priorities(
    snapshots: list[pts.Snapshot], plans: list[pts.Plan], transfers_paused_below: int | None
) -> list[PriorityKey] | None:
    """Returns the priorities of the waiting work, highest first; None without priority classes."""
    if not any(request.priority_class for snapshot in snapshots for request in snapshot.requests):
        return None
    priorities = set()
    for snapshot, plan in zip(snapshots, plans, strict=True):
        for request in snapshot.requests:
            if request.job not in plan.waiting:
                continue
            team = plan.teams[request.team]
            claims_guarantee = team.used.plus(request.demand).fits_in(team.guarantee)
            is_paused = (
                transfers_paused_below is not None
                and request.priority_class > transfers_paused_below
            )
            if claims_guarantee or not is_paused:
                priorities.add(priority_key(request))
    return sorted(priorities)


def _shard_order(
    snapshot: pts.Snapshot, plan: pts.Plan, priorities: list[PriorityKey] | None
) -> PriorityKey:
    """Returns the sort key of a shard: shards with a lower key get machines first.

    Without priority classes, the highest rank of all requests decides; otherwise the highest
    priority of the waiting ones.
    """
    if priorities is None:
        return -max((request.rank for request in snapshot.requests), default=-1), 0
    waiting = (priority_key(r) for r in snapshot.requests if r.job in plan.waiting)
    return min(waiting, default=(1, 0))


def _free_after(node: pts.MachineSnapshot, now: float, delay_s: float) -> Resources | None:
    """Returns a machine's free capacity after a delay; None if no task should end by then."""
    free = node.free
    for task in node.running:
        if now < task.ends_at <= now + delay_s:
            free = free.plus(task.demand)
    return None if free is node.free else free


def _spare_machines(
    snapshots: list[pts.Snapshot], plans: list[pts.Plan], empty: set[int]
) -> dict[int, tuple[pts.MachineSnapshot, int]]:
    """Returns the empty machines that their own shard's plan does not use, with that shard."""
    return {
        before.index: (before, shard)
        for shard, plan in enumerate(plans)
        for before, after in zip(snapshots[shard].nodes, plan.nodes, strict=True)
        if before.index in empty and after.free == before.free
    }


def _reserve_request(position: int, reserve: CapacityReserve) -> pts.Request:
    """Returns a request for a reserve's demand that belongs to no job."""
    return pts.Request(
        job=-1 - position,
        count=0,
        demand=reserve.demand,
        rank=-1,
        high=False,
        team=0,
        types=None,
        zone=None,
        one_zone=False,
        zone_limit=None,
        spot=reserve.spot,
        image="",
        zone_counts={},
        avoided_machines=set(),
        order=float(position),
    )
