"""How many machines are missing, and of which kind: pure functions over a snapshot."""

from __future__ import annotations

from dataclasses import dataclass, replace

from badgerseam.model.resources import Resources
from badgerseam.sched import pts
from badgerseam.wire.cloud import MachineType


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


def shortfall(snapshot: pts.Snapshot, choices: list[Option], most: int) -> list[Offer]:
    """What to rent for the requests of a snapshot that find no room; it is added to the snapshot.

    The snapshot's machines include those that are on their way. New ones are chosen by the price
    of a slot that will be used.
    """
    rented: list[Offer] = []
    added = 0
    for _ in range(most):
        trial = copy_snapshot(snapshot)
        result = pts.plan(trial)
        if not result.waiting:
            break
        by_job = {request.job: request for request in trial.requests}
        wanted = [(by_job[job], count) for job, count in result.waiting.items()]
        wanted.sort(key=lambda item: (-item[0].rank, item[0].order))
        best: tuple[float, int, Option] | None = None
        for request, _count in wanted:
            for position, option in enumerate(choices):
                node = _virtual(option, -1)
                if not pts.allowed(request, node):
                    continue
                each = request.need.times_in(option.total)
                same = sum(count for other, count in wanted if pts.allowed(other, node))
                used = min(each, same)
                if used <= 0:
                    continue
                crowd = request.zones.get(option.offer.zone, 0) if request.zone_limit else 0
                key = (option.price / used * (1 + 0.02 * crowd), position, option)
                if best is None or key[:2] < best[:2]:
                    best = key
            if best is not None:
                break
        if best is None:
            break
        added += 1
        node = _virtual(best[2], -1 - added)
        snapshot.nodes.append(node)
        rented.append(best[2].offer)
    return rented


def _virtual(option: Option, index: int) -> pts.Node:
    offer = option.offer
    return pts.Node(
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


def virtual_node(types: dict[str, MachineType], offer: Offer, index: int) -> pts.Node | None:
    """A machine that was asked for, as if it were there."""
    entry = types.get(offer.type)
    if entry is None:
        return None
    total = Resources(entry.cpus, entry.gpus, entry.memory_gb)
    return _virtual(Option(offer, total, entry.price), index)


def copy_snapshot(snapshot: pts.Snapshot) -> pts.Snapshot:
    """A snapshot to plan on without changing the original; nobody is evicted on it."""
    return replace(
        snapshot,
        nodes=[replace(node, running=[]) for node in snapshot.nodes],
        requests=[
            replace(request, zones=dict(request.zones), wait_s=None)
            for request in snapshot.requests
        ],
        teams={index: replace(team) for index, team in snapshot.teams.items()},
    )
