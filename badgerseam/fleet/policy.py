"""What the leader should do about the machines: a pure function over the shares' snapshots."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from badgerseam.fleet.demand import Level, Offer, Option, UnplacedDemand, level_of
from badgerseam.model.job import HIGH_RANK
from badgerseam.model.resources import NOTHING, Resources
from badgerseam.model.state import Arrival
from badgerseam.sched import pts

SETTLED_S = 60.0
"""How long replicas have run before they are moved: a start that is undone soon is none."""
MAX_CANDIDATES = 4
GangRulesOf = Callable[[int], pts.Request | None]
UNLIMITED = Resources(math.inf, math.inf, math.inf)


@dataclass(slots=True)
class CapacityReserve:
    """Room to be kept for a class whose tasks should start sooner than a machine boots."""

    tasks: int
    demand: Resources
    rank: int
    spot: bool
    shard: int
    """Where the class arrives, or most of it."""
    pooled: bool
    """Room in other shares will do."""


@dataclass(slots=True)
class FleetDecisions:
    moves: list[tuple[int, int]] = field(default_factory=list)
    """Machines to be passed on, with the share that needs them."""
    rents: list[tuple[Offer, int]] = field(default_factory=list)
    surplus: list[int] = field(default_factory=list)
    """Empty machines that nothing needs."""
    evacuate: list[tuple[int, int]] = field(default_factory=list)
    """Machines whose replicas others have room for, with their share."""
    waiting: list[dict[int, int]] = field(default_factory=list)
    """Of each share, the tasks a job that found no room on its machines."""


ARRIVAL_WINDOWS = 4
"""Windows after which an arrival does not count any more."""


def drop_old_arrivals(arrivals: deque[Arrival], now: float, window_s: float) -> None:
    """Drop the arrivals that are too old to count. They are nearly in order; one that came out of
    it goes when it is the oldest."""
    while arrivals and now - arrivals[0].at > ARRIVAL_WINDOWS * window_s:
        arrivals.popleft()


def reserves(
    arrivals: deque[Arrival],
    waits: dict[str | None, float],
    boot_s: float,
    now: float,
    window_s: float,
    spreads: tuple[float, float],
    class_of: Callable[[Arrival], int] | None = None,
) -> list[CapacityReserve]:
    """How much room the arrivals of the last while call for, by class.

    `waits`: how soon work of a class should start; None: any work within its team's guarantee.

    Departures make up for the mean of the arrivals; what is kept is some standard deviations of the
    tasks that arrive while a machine boots, as if jobs came at random: `spreads` for classes that
    only the guarantee covers, and for those with an aim of their own. Older arrivals count
    less, so that the reserve goes when a class falls silent.
    """
    found = []
    by_class: dict[str, list[Arrival]] = {}
    for arrival in arrivals:
        if now - arrival.at <= ARRIVAL_WINDOWS * window_s:
            by_class.setdefault(arrival.job_class, []).append(arrival)

    def turn(item: tuple[str, list[Arrival]]) -> tuple[int, int]:
        last = item[1][-1]
        return -last.rank, 0 if class_of is None else class_of(last)

    # The classes of the highest rank choose first, of a rank the highest priority class.
    for job_class, recent in sorted(by_class.items(), key=turn):
        if min(waits.get(job_class, math.inf), waits.get(None, math.inf)) >= boot_s:
            continue
        by_shard: dict[int, list[Arrival]] = {}
        for arrival in recent:
            by_shard.setdefault(arrival.shard, []).append(arrival)
        if recent[-1].spot:
            # Cheap machines stand empty and can be moved: one reserve serves all shares.
            most = max(by_shard, key=lambda shard: sum(a.tasks for a in by_shard[shard]))
            groups = [(most, True, recent)]
        else:
            groups = [(shard, False, came) for shard, came in by_shard.items()]
        for shard, pooled, came in groups:
            squares = sum(a.tasks**2 * math.exp((a.at - now) / window_s) for a in came)
            deviation = math.sqrt(squares * boot_s / window_s)
            last = came[-1]
            spread = spreads[waits.get(job_class, math.inf) < boot_s]
            found.append(
                CapacityReserve(
                    round(spread * deviation), last.need, last.rank, last.spot, shard, pooled
                )
            )
    return found


def decide(
    snapshots: list[pts.Snapshot],
    empty: set[int],
    idle: set[int],
    kept: list[CapacityReserve],
    choices: list[Option],
    most: int,
    horizon_s: float = 0.0,
    rules: GangRulesOf | None = None,
    cautious: int | None = None,
) -> FleetDecisions:
    """Moves first, then rents for waiting work, then the reserve; what is left over is surplus.

    `empty`: machines with nothing on them; `idle`: those that have been so for long enough;
    `horizon_s`: how long a machine boots, so that room that is free by then is as good as a new
    one; `rules`: the request of a job, without which no replica is moved; `cautious`: for priority
    classes below this one nothing is moved now, what claims a guarantee aside.
    """
    result = FleetDecisions()
    plans = [pts.plan(snapshot, evict=False) for snapshot in snapshots]
    result.waiting = [plan.waiting for plan in plans]
    free = {node.index: node.free for plan in plans for node in plan.nodes}
    spare = _spare_machines(snapshots, plans, empty)
    levels = _levels(snapshots, plans, cautious)
    order = sorted(
        range(len(snapshots)), key=lambda index: _turn(snapshots[index], plans[index], levels)
    )
    wanting = {
        index: UnplacedDemand(snapshots[index].requests, plans[index].waiting, plans[index].teams)
        for index in order
        if plans[index].waiting
    }
    # What waits in one share goes before what is of a lower class in all the others.
    for level in [None] if levels is None else levels:
        for index, wants in wanting.items():
            for node, origin in list(spare.values()):
                if not wants or len(result.moves) >= most:
                    break
                if origin != index and wants.is_useful(node, level) and wants.fill(node, node.free):
                    del spare[node.index]
                    del free[node.index]
                    result.moves.append((node.index, index))
    for index, wants in wanting.items():
        plan = plans[index]
        for node in plan.nodes if wants else ():
            room = _freed_soon(node, snapshots[index].now, horizon_s)
            if room is not None:
                wants.fill(node, room)
        result.rents += [(offer, index) for offer in wants.rent(choices, most)]
    _reserve(result, plans, free, kept, choices, most)
    for plan in plans:
        for node in plan.nodes:
            if node.index in idle and node.index in spare and free[node.index] == node.total:
                result.surplus.append(node.index)
    if rules is not None and not any(not offer.spot for offer, _ in result.rents):
        for index, plan in enumerate(plans):
            if not plan.waiting:
                found = _evacuable(plan.nodes, free, snapshots[index].now, rules)
                result.evacuate += [(node.index, index) for node in found]
    return result


def _levels(
    snapshots: list[pts.Snapshot], plans: list[pts.Plan], cautious: int | None
) -> list[Level] | None:
    """The levels of what waits, the first one first; None where no classes are kept."""
    if not any(request.priority_class for snapshot in snapshots for request in snapshot.requests):
        return None
    found = set()
    for snapshot, plan in zip(snapshots, plans, strict=True):
        for request in snapshot.requests:
            if request.job not in plan.waiting:
                continue
            team = plan.teams[request.team]
            claims = team.used.plus(request.demand).fits_in(team.guarantee)
            if cautious is None or request.priority_class <= cautious or claims:
                found.add(level_of(request))
    return sorted(found)


def _turn(snapshot: pts.Snapshot, plan: pts.Plan, levels: list[Level] | None) -> Level:
    """Which share goes first: that of the highest rank, or level of what waits."""
    if levels is None:
        return -max((request.rank for request in snapshot.requests), default=-1), 0
    waiting = (level_of(r) for r in snapshot.requests if r.job in plan.waiting)
    return min(waiting, default=(1, 0))


def _evacuable(
    nodes: list[pts.MachineSnapshot], free: dict[int, Resources], now: float, rules: GangRulesOf
) -> list[pts.MachineSnapshot]:
    """The machine with the least on it, if that is replicas only and others have room for them.

    As replicas leave, the rest lie scattered over machines that are paid for whole. `free` is what
    the reserve leaves over; room counts where the image is, so that a move takes a moment.
    """
    busy = [node for node in nodes if node.running and node.index in free]
    least = sorted(
        (
            node
            for node in busy
            if node.idle_slots >= 0.5 * node.slots
            # A member of a replica that spans machines leaves with all others or not at all.
            and all(task.group is None for task in node.running)
            and all(task.is_service and now - task.placed_at > SETTLED_S for task in node.running)
        ),
        key=lambda node: node.slots - node.idle_slots,
    )
    for node in least[:MAX_CANDIDATES]:
        used = node.slots - node.idle_slots
        targets = [
            other
            for other in busy
            if other is not node and other.slots - other.idle_slots >= used and not other.spot
        ]
        targets.sort(key=lambda other: other.idle_slots)
        if _move_all(node, targets, dict(free), rules):
            return [node]
    return []


def _move_all(
    node: pts.MachineSnapshot,
    targets: list[pts.MachineSnapshot],
    free: dict[int, Resources],
    rules: GangRulesOf,
) -> bool:
    zones: dict[int, dict[str, int]] = {}
    for task in node.running:
        job = task.key[0]
        request = rules(job)
        if request is None:
            return False
        where = zones.setdefault(job, dict(request.zone_counts))
        where[node.zone] = where.get(node.zone, 1) - 1
        for other in targets:
            if (
                task.demand.fits_in(free[other.index])
                and request.image in other.images
                and pts.job_rules_allow(request, other, where)
            ):
                free[other.index] = free[other.index].minus(task.demand)
                where[other.zone] = where.get(other.zone, 0) + 1
                break
        else:
            return False
    return True


def _freed_soon(node: pts.MachineSnapshot, now: float, horizon_s: float) -> Resources | None:
    """A machine's room after the horizon, if some of its tasks should have ended by then."""
    room = node.free
    for task in node.running:
        if now < task.ends_at <= now + horizon_s:
            room = room.plus(task.demand)
    return None if room is node.free else room


def _spare_machines(
    snapshots: list[pts.Snapshot], plans: list[pts.Plan], empty: set[int]
) -> dict[int, tuple[pts.MachineSnapshot, int]]:
    """Empty machines that their own share's waiting work does not take, with that share."""
    return {
        before.index: (before, index)
        for index, plan in enumerate(plans)
        for before, after in zip(snapshots[index].nodes, plan.nodes, strict=True)
        if before.index in empty and after.free == before.free
    }


def _reserve(
    result: FleetDecisions,
    plans: list[pts.Plan],
    free: dict[int, Resources],
    kept: list[CapacityReserve],
    choices: list[Option],
    most: int,
) -> None:
    """Set room aside for the reserve, in `free`, and rent what it lacks."""
    for position, reserve in enumerate(kept):
        where = range(len(plans)) if reserve.pooled else [reserve.shard]
        request = pts.Request(
            -1 - position,
            0,
            reserve.demand,
            -1,
            False,
            0,
            None,
            None,
            False,
            None,
            reserve.spot,
            "",
            {},
            set(),
            float(position),
        )
        missing = reserve.tasks
        rooms: list[tuple[float, pts.MachineSnapshot]] = []
        evictable = 0.0
        for index, plan in enumerate(plans):
            for node in plan.nodes:
                room = free.get(node.index)
                if room is None or (node.spot and not reserve.spot):
                    continue
                if index in where:
                    evictable += node.low_slots
                # Empty machines of other shares can be moved when they are needed.
                if (index in where or room == node.total) and reserve.demand.fits_in(room):
                    rooms.append((node.idle_slots / (node.slots or 1.0), node))
        if reserve.rank >= HIGH_RANK:
            missing -= int(evictable / (pts.slots_of(reserve.demand) or 1.0))
        # Of the empty ones, those that hold the most images start work the soonest: the others are
        # returned.
        rooms.sort(key=lambda item: (item[0], -len(item[1].images)))
        for _, node in rooms:
            if missing <= 0:
                break
            count = min(missing, reserve.demand.count_in(free[node.index]))
            free[node.index] = free[node.index].minus(reserve.demand.times(count))
            missing -= count
        if missing > 0:
            # Dear machines are not kept idle for work that may run on cheap ones.
            offers = [option for option in choices if option.offer.spot == reserve.spot]
            lacking = UnplacedDemand(
                [request], {request.job: missing}, {0: pts.TeamUse(NOTHING, UNLIMITED, UNLIMITED)}
            )
            result.rents += [(offer, reserve.shard) for offer in lacking.rent(offers, most)]
