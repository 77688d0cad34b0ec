"""What the leader should do about the machines: a pure function over the shards' snapshots."""

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
    """What to do about machines, which are named by their index; shards by theirs."""

    moves: list[tuple[int, int]] = field(default_factory=list)
    """Machines to be moved, with the shard that needs them."""
    rentals: list[tuple[Offer, int]] = field(default_factory=list)
    """Machines to be rented, with the shard that needs them."""
    surplus: list[int] = field(default_factory=list)
    """Empty machines that nothing needs."""
    consolidations: list[tuple[int, int]] = field(default_factory=list)
    """Machines whose replicas fit on others, with their shard."""
    waiting: list[dict[int, int]] = field(default_factory=list)
    """For each shard the unplaced tasks by job."""


def decide(
    snapshots: list[pts.Snapshot],
    empty: set[int],
    idle: set[int],
    reserves: list[CapacityReserve],
    choices: list[RentalOption],
    max_machines: int,
    boot_s: float = 0.0,
    request_of: RequestOf | None = None,
    cautious_below: int | None = None,
) -> FleetDecisions:
    """Moves first, then rentals for waiting work, then the reserve; what is left over is surplus.

    `empty`: machines without any work; `idle`: those that have been empty for long enough;
    `choices`: what may be rented; `max_machines`: bound on moves and on rentals for each shard;
    `boot_s`: duration of a boot, so that capacity that is free by then is as good as a new machine;
    `request_of`: without it no replica is moved; `cautious_below`: nothing is moved now for lower
    priority classes than this one, except for claims to a guarantee.
    """
    decision = _Decision(snapshots, empty, max_machines)
    decision.move_spare_machines(cautious_below)
    decision.rent_for_waiting_work(choices, boot_s)
    for position, reserve in enumerate(reserves):
        decision.reserve_capacity(position, reserve, choices)
    decision.find_surplus(idle)
    if request_of is not None:
        decision.consolidate(request_of)
    return decision.result


class _Decision:
    """The steps of one decision, each of which leaves less for the next one."""

    def __init__(self, snapshots: list[pts.Snapshot], empty: set[int], max_machines: int) -> None:
        self._snapshots = snapshots
        self._max_machines = max_machines
        self._plans = [pts.plan(snapshot, evict=False) for snapshot in snapshots]
        self.result = FleetDecisions(waiting=[plan.waiting for plan in self._plans])
        self._free = {node.index: node.free for plan in self._plans for node in plan.nodes}
        """Free capacity by machine after the plans and the reserves so far, without moved ones."""
        self._spare = _spare_machines(snapshots, self._plans, empty)
        """Empty machines that are not needed in their shard, with that shard."""
        self._unplaced: dict[int, UnplacedDemand] = {}
        """By shard, in the order in which shards get machines."""

    def move_spare_machines(self, cautious_below: int | None) -> None:
        """Move empty machines to the shards in which work waits."""
        levels = _waiting_priorities(self._snapshots, self._plans, cautious_below)
        order = sorted(
            range(len(self._snapshots)),
            key=lambda shard: _shard_order(self._snapshots[shard], self._plans[shard], levels),
        )
        for shard in order:
            plan = self._plans[shard]
            if plan.waiting:
                requests = self._snapshots[shard].requests
                self._unplaced[shard] = UnplacedDemand(requests, plan.waiting, plan.teams)
        # What waits in one shard goes before what is of a lower class in all the others.
        for level in [None] if levels is None else levels:
            for shard, unplaced in self._unplaced.items():
                self._move_to(shard, unplaced, level)

    def _move_to(self, shard: int, unplaced: UnplacedDemand, level: PriorityKey | None) -> None:
        for node, origin in list(self._spare.values()):
            if not unplaced or len(self.result.moves) >= self._max_machines:
                break
            if origin == shard or not unplaced.is_useful(node, level):
                continue
            if unplaced.fill(node, node.free):
                del self._spare[node.index]
                del self._free[node.index]
                self.result.moves.append((node.index, shard))

    def rent_for_waiting_work(self, choices: list[RentalOption], boot_s: float) -> None:
        """Rent for what does not fit into the capacity that is free before a machine has booted."""
        for shard, unplaced in self._unplaced.items():
            now = self._snapshots[shard].now
            for node in self._plans[shard].nodes if unplaced else ():
                free = _free_after(node, now, boot_s)
                if free is not None:
                    unplaced.fill(node, free)
            offers = unplaced.rent(choices, self._max_machines)
            self.result.rentals += [(offer, shard) for offer in offers]

    def reserve_capacity(
        self, position: int, reserve: CapacityReserve, choices: list[RentalOption]
    ) -> None:
        """Reserve free capacity, and rent what is missing."""
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
            # On-demand machines are not kept idle for work that may run on spot instances.
            offers = [option for option in choices if option.offer.spot == reserve.spot]
            request = _reserve_request(position, reserve)
            unlimited = {0: pts.TeamUse(NOTHING, UNLIMITED, UNLIMITED)}
            unplaced = UnplacedDemand([request], {request.job: missing}, unlimited)
            rented = unplaced.rent(offers, self._max_machines)
            self.result.rentals += [(offer, reserve.shard) for offer in rented]

    def _evictable_slots(self, reserve: CapacityReserve) -> float:
        """Slots of low-priority work that high-priority work of the reserve may evict."""
        slots = 0.0
        for shard, plan in enumerate(self._plans):
            if not reserve.pooled and shard != reserve.shard:
                continue
            for node in plan.nodes:
                if node.index in self._free and (reserve.spot or not node.spot):
                    slots += node.low_slots
        return slots

    def _machines_for(self, reserve: CapacityReserve) -> list[pts.MachineSnapshot]:
        """The machines with free capacity for a reserve, the fullest first."""
        found: list[pts.MachineSnapshot] = []
        for shard, plan in enumerate(self._plans):
            in_shard = reserve.pooled or shard == reserve.shard
            for node in plan.nodes:
                free = self._free.get(node.index)
                if free is None or (node.spot and not reserve.spot):
                    continue
                # Empty machines of other shards can be moved when they are needed.
                if (in_shard or free == node.total) and reserve.demand.fits_in(free):
                    found.append(node)
        # Of the empty ones, those with the most images start work the soonest: the others are
        # released.
        found.sort(key=lambda node: (node.idle_slots / (node.slots or 1.0), -len(node.images)))
        return found

    def find_surplus(self, idle: set[int]) -> None:
        """Release idle machines that neither waiting work nor a reserve needs."""
        for plan in self._plans:
            for node in plan.nodes:
                is_spare = node.index in idle and node.index in self._spare
                if is_spare and self._free[node.index] == node.total:
                    self.result.surplus.append(node.index)

    def consolidate(self, request_of: RequestOf) -> None:
        """Empty a machine of each shard without waiting work, unless on-demand ones are rented."""
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
    snapshots: list[pts.Snapshot], plans: list[pts.Plan], cautious_below: int | None
) -> list[PriorityKey] | None:
    """The levels of waiting work, the first one first; None where no classes are declared."""
    if not any(request.priority_class for snapshot in snapshots for request in snapshot.requests):
        return None
    levels = set()
    for snapshot, plan in zip(snapshots, plans, strict=True):
        for request in snapshot.requests:
            if request.job not in plan.waiting:
                continue
            team = plan.teams[request.team]
            claims_guarantee = team.used.plus(request.demand).fits_in(team.guarantee)
            is_cautious = cautious_below is not None and request.priority_class > cautious_below
            if claims_guarantee or not is_cautious:
                levels.add(priority_key(request))
    return sorted(levels)


def _shard_order(
    snapshot: pts.Snapshot, plan: pts.Plan, levels: list[PriorityKey] | None
) -> PriorityKey:
    """Which shard gets machines first: that of the highest rank, or level of waiting work."""
    if levels is None:
        return -max((request.rank for request in snapshot.requests), default=-1), 0
    waiting = (priority_key(r) for r in snapshot.requests if r.job in plan.waiting)
    return min(waiting, default=(1, 0))


def _free_after(node: pts.MachineSnapshot, now: float, delay_s: float) -> Resources | None:
    """A machine's free capacity after a delay; None if none of its tasks should end by then."""
    free = node.free
    for task in node.running:
        if now < task.ends_at <= now + delay_s:
            free = free.plus(task.demand)
    return None if free is node.free else free


def _spare_machines(
    snapshots: list[pts.Snapshot], plans: list[pts.Plan], empty: set[int]
) -> dict[int, tuple[pts.MachineSnapshot, int]]:
    """Empty machines that their own shard's waiting work does not use, with that shard."""
    return {
        before.index: (before, shard)
        for shard, plan in enumerate(plans)
        for before, after in zip(snapshots[shard].nodes, plan.nodes, strict=True)
        if before.index in empty and after.free == before.free
    }


def _reserve_request(position: int, reserve: CapacityReserve) -> pts.Request:
    """A request for a reserve's demand that stands for no job."""
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
