"""How many machines are missing, and of which kind: pure functions over a snapshot."""

from __future__ import annotations

from dataclasses import dataclass, replace

from badgerseam.model.resources import Resources, least_of
from badgerseam.sched import pts
from badgerseam.wire.cloud import MachineType

SIZE_WEIGHT = 0.2
"""A machine of twice the size may cost 2**SIZE_WEIGHT as much for each slot that will be used."""


Level = tuple[int, int]
"""Rank, negated, and priority class: less goes first, across shares too."""


def level_of(request: pts.Request) -> Level:
    """What decides between shares, where classes are kept."""
    return -request.rank, request.priority_class


def _turn(request: pts.Request) -> tuple[float, ...]:
    return (*level_of(request), request.order)


def in_turn(requests: list[pts.Request]) -> list[pts.Request]:
    """Requests by level, where classes are kept; else as they are."""
    return sorted(requests, key=level_of) if any(r.priority_class for r in requests) else requests


@dataclass(frozen=True, slots=True)
class Offer:
    """What can be asked of the cloud."""

    type: str
    zone: str
    spot: bool


@dataclass(slots=True)
class Option:
    offer: Offer
    total: Resources
    price: float


def options(types: dict[str, MachineType], blocked: set[Offer]) -> list[Option]:
    """All that may be rented now, at present prices."""
    found = []
    for entry in types.values():
        total = Resources(entry.cpus, entry.gpus, entry.memory_gb)
        for zone in entry.zones:
            for spot in (True, False):
                offer = Offer(entry.name, zone, spot)
                if offer not in blocked and (not spot or entry.spot_price > 0):
                    price = entry.spot_price if spot else entry.price
                    found.append(Option(offer, total, price))
    return found


@dataclass(slots=True)
class _UnplacedTasks:
    request: pts.Request
    count: int
    zones: dict[str, int]


class UnplacedDemand:
    """Tasks that found no room, to be counted into machines one after the other.

    No plan is made here: whether a machine serves is a matter of amounts and of the jobs' own
    rules, so that hundreds of machines can be looked at in one go.
    """

    def __init__(
        self,
        requests: list[pts.Request],
        waiting: dict[int, int],
        teams: dict[int, pts.TeamUse],
    ) -> None:
        found = [request for request in requests if request.job in waiting]
        found.sort(key=_turn)
        self._wants = [
            _UnplacedTasks(r, waiting[r.job], dict(r.zone_counts))
            for r in found
            if r.gang_rules is None
        ]
        if len(self._wants) < len(found):
            self._wants += _replicas(found, waiting)
            self._wants.sort(key=lambda want: _turn(want.request))
        self._left = {index: team.limit.minus(team.used) for index, team in teams.items()}
        self._least = least_of(want.request.demand for want in self._wants)

    def __bool__(self) -> bool:
        return bool(self._wants)

    def is_useful(self, node: pts.MachineSnapshot, level: Level | None) -> bool:
        """Whether anything of a level would go into an empty machine; True if none is given."""
        return level is None or any(
            level_of(want.request) == level and self._fits(want, node, node.free) > 0
            for want in self._wants
        )

    def fill(self, node: pts.MachineSnapshot, room: Resources) -> int:
        """Count tasks into the room on a machine; how many went in."""
        placed = 0
        emptied = False
        for want in self._wants:
            # With a long backlog most machines hold no room for any of it: looking at all of it
            # on each of them took a quarter of the leader's rounds.
            if not self._least.fits_in(room):
                break
            count = self._fits(want, node, room)
            if count <= 0:
                continue
            request = want.request
            taken = request.demand.times(count)
            room = room.minus(taken)
            self._left[request.team] = self._left[request.team].minus(taken)
            want.zones[node.zone] = want.zones.get(node.zone, 0) + count
            want.count -= count
            placed += count
            emptied = emptied or want.count <= 0
        if emptied:
            self._wants = [want for want in self._wants if want.count > 0]
            self._least = least_of(want.request.demand for want in self._wants)
        return placed

    def _fits(self, want: _UnplacedTasks, node: pts.MachineSnapshot, room: Resources) -> int:
        request = want.request
        if not request.demand.fits_in(room) or not pts.job_rules_allow(request, node, want.zones):
            return 0
        count = min(
            want.count,
            request.demand.count_in(room),
            request.demand.count_in(self._left[request.team]),
        )
        if request.zone_limit is not None:
            count = min(count, request.zone_limit - want.zones.get(node.zone, 0))
        return count

    def rent(self, choices: list[Option], most: int) -> list[Offer]:
        """What to rent for all that is left, by the price of a slot that will be used."""
        rented: list[Offer] = []
        while self._wants and len(rented) < most:
            head = self._wants[0]
            option = self._cheapest(head, choices)
            if option is None:
                # Nothing can be had for it now, or its team may use no more.
                self._wants.pop(0)
                continue
            node = _virtual(option, -1)
            while len(rented) < most and self.fill(node, node.free) > 0:
                rented.append(option.offer)
                if head.request.gang_rules is not None and head.request.gang_rules.same_type:
                    head.request = replace(head.request, types=frozenset({option.offer.type}))
                if head.request.zone_limit is not None or not (self and self._wants[0] is head):
                    break
        return rented

    def _alike(self, node: pts.MachineSnapshot, most: int) -> int:
        """How many of the tasks a machine may take, as far as that matters."""
        found = 0
        for want in self._wants:
            if found >= most:
                break
            if pts.job_rules_allow(want.request, node, want.zones):
                found += want.count
        return found

    def _cheapest(self, head: _UnplacedTasks, choices: list[Option]) -> Option | None:
        best: Option | None = None
        best_price = 0.0
        for option in choices:
            node = _virtual(option, -1)
            each = self._fits(head, node, option.total)
            if each <= 0:
                continue
            # What others would use of it makes a large machine worth its price.
            each = head.request.demand.count_in(option.total)
            alike = self._alike(node, each)
            crowd = head.zones.get(option.offer.zone, 0) if head.request.zone_limit else 0
            price = option.price / min(each, alike) * (1 + 0.02 * crowd)
            # A large machine holds images for more tasks, and leaves less room unused.
            price /= (option.total.gpus or option.total.cpus) ** SIZE_WEIGHT
            if best is None or price < best_price:
                best, best_price = option, price
        return best


def _replicas(found: list[pts.Request], waiting: dict[int, int]) -> list[_UnplacedTasks]:
    """The replicas that span machines and found no room, each to be rented for as a whole."""
    left = dict(waiting)
    wants = []
    # Of replicas that are alike the first ones were placed.
    for request in reversed(found):
        span = request.gang_rules
        if span is None or left[request.job] <= 0:
            continue
        left[request.job] -= request.count
        zones = dict(request.zone_counts)
        if span.staying_members and span.same_zone:
            request = replace(request, zone=span.staying_members[0].zone)
        elif span.zone is not None:
            request = replace(request, zone=span.zone)
        elif span.same_zone:
            request = replace(request, one_zone=True)
            zones = {}
        if span.staying_members and span.same_type:
            request = replace(request, types=frozenset({span.staying_members[0].type}))
        wants.append(_UnplacedTasks(request, request.count, zones))
    return wants[::-1]


def _virtual(option: Option, index: int) -> pts.MachineSnapshot:
    offer = option.offer
    return pts.MachineSnapshot(
        index,
        offer.type,
        offer.zone,
        offer.spot,
        option.total,
        option.total,
        0.0,
        0.0,
        0,
        set(),
    )


def virtual_node(
    types: dict[str, MachineType], offer: Offer, index: int
) -> pts.MachineSnapshot | None:
    """A machine that was asked for, as if it were there."""
    entry = types.get(offer.type)
    if entry is None:
        return None
    total = Resources(entry.cpus, entry.gpus, entry.memory_gb)
    return _virtual(Option(offer, total, entry.price), index)
