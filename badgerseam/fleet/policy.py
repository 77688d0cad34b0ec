"""What the leader should do about the machines: a pure function over the shares' snapshots."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field, replace

from badgerseam.fleet.demand import Offer, Option, copy_snapshot, shortfall
from badgerseam.model.model import Arrival
from badgerseam.model.resources import NOTHING, Resources
from badgerseam.sched import pts

ENDLESS = Resources(math.inf, math.inf, math.inf)


@dataclass(slots=True)
class Reserve:
    """Room to be kept for a class whose tasks should start sooner than a machine boots."""

    tasks: int
    need: Resources
    rank: int
    spot: bool
    share: int
    """Where the class arrives, or most of it."""
    pooled: bool
    """Room in other shares will do."""


@dataclass(slots=True)
class Decisions:
    moves: list[tuple[int, int]] = field(default_factory=list)
    """Machines to be passed on, with the share that needs them."""
    rents: list[tuple[Offer, int]] = field(default_factory=list)
    surplus: list[int] = field(default_factory=list)
    """Empty machines that nothing needs."""


def reserves(
    arrivals: deque[Arrival],
    waits: dict[str, float],
    boot_s: float,
    now: float,
    window_s: float,
    spread: float,
) -> list[Reserve]:
    """How much room the arrivals of the last while call for, by class.

    Departures make up for the mean of the arrivals; what is kept is `spread` standard deviations
    of the tasks that arrive while a machine boots, as if jobs came at random. Older arrivals count
    less, so that the reserve goes when a class falls silent.
    """
    found = []
    for job_class, wait_s in waits.items():
        if wait_s >= boot_s:
            continue
        recent = [a for a in arrivals if a.job_class == job_class and now - a.at <= 4 * window_s]
        if not recent:
            continue
        by_share: dict[int, list[Arrival]] = {}
        for arrival in recent:
            by_share.setdefault(arrival.share, []).append(arrival)
        if recent[-1].spot:
            # Cheap machines stand empty and can be moved: one reserve serves all shares.
            most = max(by_share, key=lambda share: sum(a.tasks for a in by_share[share]))
            groups = [(most, True, recent)]
        else:
            groups = [(share, False, came) for share, came in by_share.items()]
        for share, pooled, came in groups:
            squares = sum(a.tasks**2 * math.exp((a.at - now) / window_s) for a in came)
            deviation = math.sqrt(squares * boot_s / window_s)
            last = came[-1]
            found.append(
                Reserve(round(spread * deviation), last.need, last.rank, last.spot, share, pooled)
            )
    return found


def decide(
    snapshots: list[pts.Snapshot],
    empty: set[int],
    idle: set[int],
    kept: list[Reserve],
    choices: list[Option],
    most: int,
    horizon_s: float = 0.0,
) -> Decisions:
    """Moves first, then rents for waiting work, then the reserve; what is left over is surplus.

    `empty`: machines with nothing on them; `idle`: those that have been so for long enough;
    `horizon_s`: how long a machine boots, so that room that is free by then is as good as a new
    one.
    """
    result = Decisions()
    trials = []
    for snapshot in snapshots:
        trial = copy_snapshot(snapshot)
        trials.append((trial, pts.plan(trial).waiting))
    spare = _spare(snapshots, trials, empty)
    order = sorted(
        range(len(snapshots)),
        key=lambda index: -max((request.rank for request in snapshots[index].requests), default=-1),
    )
    for index in order:
        snapshot = snapshots[index]
        if not trials[index][1]:
            continue
        for node, origin in list(spare.items()):
            trial, waiting = trials[index]
            if origin[0] == index or len(result.moves) >= most:
                continue
            wanted = [r for r in trial.requests if r.job in waiting and pts.allowed(r, origin[1])]
            if not wanted:
                continue
            del spare[node]
            snapshots[origin[0]].nodes.remove(origin[1])
            snapshot.nodes.append(origin[1])
            result.moves.append((node, index))
            trial = copy_snapshot(snapshot)
            trials[index] = (trial, pts.plan(trial).waiting)
            if not trials[index][1]:
                break
        if trials[index][1]:
            soon = _freed_soon(snapshot, horizon_s)
            count = len(soon.nodes)
            result.rents += [(offer, index) for offer in shortfall(soon, choices, most)]
            snapshot.nodes += soon.nodes[count:]
            trial = copy_snapshot(snapshot)
            pts.plan(trial)
            trials[index] = (trial, {})
    _reserve(result, snapshots, trials, idle, kept, choices, most)
    return result


def _freed_soon(snapshot: pts.Snapshot, horizon_s: float) -> pts.Snapshot:
    """The snapshot as it should be after the horizon, had nothing been started meanwhile."""
    nodes = []
    for node in snapshot.nodes:
        free = node.free
        for task in node.running:
            if task.ends_in_s <= horizon_s:
                free = free.plus(task.need)
        nodes.append(replace(node, free=free))
    return replace(snapshot, nodes=nodes)


Trials = list[tuple[pts.Snapshot, dict[int, int]]]


def _spare(
    snapshots: list[pts.Snapshot], trials: Trials, empty: set[int]
) -> dict[int, tuple[int, pts.Node]]:
    """Empty machines that their own share's waiting work does not take."""
    spare = {}
    for index, (trial, _) in enumerate(trials):
        for before, after in zip(snapshots[index].nodes, trial.nodes, strict=True):
            if before.index in empty and after.free == before.free:
                spare[before.index] = (index, before)
    return spare


def _reserve(
    result: Decisions,
    snapshots: list[pts.Snapshot],
    trials: Trials,
    idle: set[int],
    kept: list[Reserve],
    choices: list[Option],
    most: int,
) -> None:
    """Rent what the reserve lacks, and find the empty machines that nothing needs."""
    rooms = [trial.nodes for trial, _ in trials]
    before = {node.index: node.free for room in rooms for node in room}
    teams = {0: pts.TeamUse(NOTHING, ENDLESS, ENDLESS)}
    for position, reserve in enumerate(kept):
        where = range(len(rooms)) if reserve.pooled else [reserve.share]
        request = pts.Request(
            -1 - position,
            0,
            reserve.need,
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
        evictable = sum(
            pts.slots_of(victim.need)
            for index in where
            for node in snapshots[index].nodes
            if pts.allowed(request, node)
            for victim in node.running
            if victim.rank < reserve.rank
        )
        request.count = reserve.tasks - int(evictable / (pts.slots_of(reserve.need) or 1.0))
        if request.count <= 0:
            continue
        # Empty machines of other shares can be moved when they are needed.
        nodes = [
            node
            for index, room in enumerate(rooms)
            for node in room
            if index in where or node.free == node.total
        ]
        waiting = pts.plan(pts.Snapshot(nodes, [request], teams, 1, 0, 0.0, 1.0)).waiting
        if request.job in waiting:
            # Dear machines are not kept idle for work that may run on cheap ones.
            offers = [option for option in choices if option.offer.spot == reserve.spot]
            missing = replace(request, count=waiting[request.job], zones={})
            alone = pts.Snapshot([], [missing], teams, 1, 0, 0.0, 1.0)
            result.rents += [(offer, reserve.share) for offer in shortfall(alone, offers, most)]
    moved = {machine for machine, _ in result.moves}
    for room in rooms:
        for node in room:
            unused = node.free == before[node.index] and node.free == node.total
            if node.index in idle and unused and node.index not in moved:
                result.surplus.append(node.index)
