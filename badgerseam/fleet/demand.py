"""Computes how many machines of which types are missing: pure functions of a snapshot."""

from __future__ import annotations

from dataclasses import dataclass, replace

from badgerseam.model.resources import Resources, least_of
from badgerseam.sched import pts
from badgerseam.wire.cloud import MachineType

SIZE_WEIGHT = 0.2
"""A machine of twice the size may cost 2**SIZE_WEIGHT times as much per slot that will be used."""
CROWDED_ZONE_WEIGHT = 0.02
"""Fraction by which each task of a job in a zone raises the price there, for jobs that spread over
zones."""

PriorityKey = tuple[int, int]
"""Sort key of negated rank and priority class: the lowest key goes first, also across shards."""


def priority_key(request: pts.Request) -> PriorityKey:
    """Returns the sort key that orders work across shards if priority classes are declared."""
    return -request.rank, request.priority_class


def _demand_order(request: pts.Request) -> tuple[float, ...]:
    return (*priority_key(request), request.order)


def in_priority_order(requests: list[pts.Request]) -> list[pts.Request]:
    """Returns the requests by priority if priority classes are declared, else unchanged."""
    return (
        sorted(requests, key=priority_key) if any(r.priority_class for r in requests) else requests
    )


@dataclass(frozen=True, slots=True)
class Offer:
    """A kind of machine that can be rented: type, zone, and spot or on-demand."""

    type: str
    zone: str
    spot: bool


@dataclass(slots=True)
class RentalOption:
    """An offer with the capacity and the price of one machine."""

    offer: Offer
    total: Resources
    price: float


def rental_options(types: dict[str, MachineType], blocked: set[Offer]) -> list[RentalOption]:
    """Returns the options for rentals at present prices, without the `blocked` offers."""
    found = []
    for entry in types.values():
        total = Resources(entry.cpus, entry.gpus, entry.memory_gb)
        for zone in entry.zones:
            for spot in (True, False):
                offer = Offer(entry.name, zone, spot)
                if offer not in blocked and (not spot or entry.spot_price > 0):
                    price = entry.spot_price if spot else entry.price
                    found.append(RentalOption(offer, total, price))
    return found


@dataclass(slots=True)
class _UnplacedTasks:
    """Tasks of one request that are not assigned to a machine yet."""

    request: pts.Request
    count: int
    zones: dict[str, int]
    """Number of the job's tasks by zone, including those assigned to machines here."""


class UnplacedDemand:
    """Unplaced tasks, which are assigned to machines one machine at a time to count those needed.

    This does not run the planner: only capacity and the jobs' own rules decide whether a task fits,
    so that hundreds of machines can be examined in one round.
    """

    def __init__(
        self,
        requests: list[pts.Request],
        waiting: dict[int, int],
        teams: dict[int, pts.TeamUse],
    ) -> None:
        found = [request for request in requests if request.job in waiting]
        found.sort(key=_demand_order)
        self._unplaced = [
            _UnplacedTasks(r, waiting[r.job], dict(r.zone_counts))
            for r in found
            if r.gang_rules is None
        ]
        if len(self._unplaced) < len(found):
            self._unplaced += _unplaced_replicas(found, waiting)
            self._unplaced.sort(key=lambda tasks: _demand_order(tasks.request))
        self._quota_left = {index: team.limit.minus(team.used) for index, team in teams.items()}
        self._min_demand = least_of(tasks.request.demand for tasks in self._unplaced)

    def __bool__(self) -> bool:
        return bool(self._unplaced)

    def can_use(self, node: pts.MachineSnapshot, priority: PriorityKey | None) -> bool:
        """Whether any task of a priority fits on an empty machine.

        Always True without a priority: nothing is checked then.
        """
        return priority is None or any(
            priority_key(tasks.request) == priority
            and self._count_fitting(tasks, node, node.free) > 0
            for tasks in self._unplaced
        )

    def fill(self, node: pts.MachineSnapshot, free: Resources) -> int:
        """Assigns tasks to the free capacity of a machine and returns how many fit."""
        placed = 0
        has_completed = False
        for tasks in self._unplaced:
            # With a long backlog, most machines cannot take any task of it. Checking every request
            # against every machine would take a quarter of the time of the leader's rounds.
            if not self._min_demand.fits_in(free):
                break
            count = self._count_fitting(tasks, node, free)
            if count <= 0:
                continue
            request = tasks.request
            used = request.demand.times(count)
            free = free.minus(used)
            self._quota_left[request.team] = self._quota_left[request.team].minus(used)
            tasks.zones[node.zone] = tasks.zones.get(node.zone, 0) + count
            tasks.count -= count
            placed += count
            has_completed = has_completed or tasks.count <= 0
        if has_completed:
            self._unplaced = [tasks for tasks in self._unplaced if tasks.count > 0]
            self._min_demand = least_of(tasks.request.demand for tasks in self._unplaced)
        return placed

    def _count_fitting(
        self, tasks: _UnplacedTasks, node: pts.MachineSnapshot, free: Resources
    ) -> int:
        """Returns how many of the tasks fit into a machine's free capacity and the team's limit."""
        request = tasks.request
        if not request.demand.fits_in(free) or not pts.job_rules_allow(request, node, tasks.zones):
            return 0
        count = min(
            tasks.count,
            request.demand.count_in(free),
            request.demand.count_in(self._quota_left[request.team]),
        )
        if request.zone_limit is not None:
            count = min(count, request.zone_limit - tasks.zones.get(node.zone, 0))
        return count

    def rent(self, options: list[RentalOption], max_machines: int) -> list[Offer]:
        """Returns the offers to rent for the remaining tasks, by price per used slot."""
        rented: list[Offer] = []
        while self._unplaced and len(rented) < max_machines:
            first = self._unplaced[0]
            option = self._cheapest(first, options)
            if option is None:
                # No option fits the tasks now, or their team has reached its limit.
                self._unplaced.pop(0)
                continue
            node = _empty_machine(option, -1)
            while len(rented) < max_machines and self.fill(node, node.free) > 0:
                rented.append(option.offer)
                if first.request.gang_rules is not None and first.request.gang_rules.same_type:
                    first.request = replace(first.request, types=frozenset({option.offer.type}))
                is_first = bool(self) and self._unplaced[0] is first
                if first.request.zone_limit is not None or not is_first:
                    break
        return rented

    def _count_allowed(self, node: pts.MachineSnapshot, max_count: int) -> int:
        """Returns how many tasks the jobs' rules allow on a machine; stops at `max_count`."""
        count = 0
        for tasks in self._unplaced:
            if count >= max_count:
                break
            if pts.job_rules_allow(tasks.request, node, tasks.zones):
                count += tasks.count
        return count

    def _cheapest(self, first: _UnplacedTasks, options: list[RentalOption]) -> RentalOption | None:
        """Returns the option with the lowest weighted price per task; None if no option fits."""
        best: RentalOption | None = None
        best_price = 0.0
        for option in options:
            node = _empty_machine(option, -1)
            if self._count_fitting(first, node, option.total) <= 0:
                continue
            # A large machine is worth its price if other tasks use the rest of it.
            per_machine = first.request.demand.count_in(option.total)
            task_count = min(per_machine, self._count_allowed(node, per_machine))
            price = option.price / task_count
            if first.request.zone_limit:
                tasks_in_zone = first.zones.get(option.offer.zone, 0)
                price *= 1 + CROWDED_ZONE_WEIGHT * tasks_in_zone
            # On a large machine, more tasks share cached images and less capacity stays unused.
            price /= (option.total.gpus or option.total.cpus) ** SIZE_WEIGHT
            if best is None or price < best_price:
                best, best_price = option, price
        return best


def _unplaced_replicas(
    requests: list[pts.Request], waiting: dict[int, int]
) -> list[_UnplacedTasks]:
    """Returns the unplaced replicas that span machines; each is rented for as a whole."""
    remaining = dict(waiting)
    found = []
    # Of identical replicas, the first ones were placed, so that the last ones are unplaced.
    for request in reversed(requests):
        rules = request.gang_rules
        if rules is None or remaining[request.job] <= 0:
            continue
        remaining[request.job] -= request.count
        zones = dict(request.zone_counts)
        if rules.staying_members and rules.same_zone:
            request = replace(request, zone=rules.staying_members[0].zone)
        elif rules.zone is not None:
            request = replace(request, zone=rules.zone)
        elif rules.same_zone:
            request = replace(request, one_zone=True)
            zones = {}
        if rules.staying_members and rules.same_type:
            request = replace(request, types=frozenset({rules.staying_members[0].type}))
        found.append(_UnplacedTasks(request, request.count, zones))
    return found[::-1]


def _empty_machine(option: RentalOption, index: int) -> pts.MachineSnapshot:
    offer = option.offer
    return pts.MachineSnapshot(
        index,
        offer.type,
        offer.zone,
        offer.spot,
        total=option.total,
        free=option.total,
        high_slots=0.0,
        low_slots=0.0,
        evictions=0,
        images=set(),
    )


def offered_machine(
    types: dict[str, MachineType], offer: Offer, index: int
) -> pts.MachineSnapshot | None:
    """Returns the snapshot of an empty machine of an offer; None if its type is unknown."""
    entry = types.get(offer.type)
    if entry is None:
        return None
    total = Resources(entry.cpus, entry.gpus, entry.memory_gb)
    return _empty_machine(RentalOption(offer, total, entry.price), index)
