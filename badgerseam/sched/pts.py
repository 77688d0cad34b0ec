"""PTS of the GFS paper: a snapshot goes in, a plan comes out.

Non-preemptive placement ranks the fitting machines by fullness (Score 1), then by the share of the
task's own class (Score 2), then by recent evictions (Score 3). What is high-priority towards some
running work and fits nowhere evicts the least costly victims (Algorithm 2 and the cost of
Equation 14 of the paper).
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from badgerseam.model.resources import NOTHING, Resources


@dataclass(slots=True)
class Running:
    """Work on a machine that may be a victim."""

    key: tuple[int, int]
    need: Resources
    rank: int
    team: int
    waste: float
    evictable: bool
    high: bool = False
    ends_in_s: float = math.inf
    """When it should have ended by its owner's estimate."""


@dataclass(slots=True)
class Node:
    """A machine that takes tasks."""

    index: int
    type: str
    zone: str
    spot: bool
    total: Resources
    free: Resources
    high: float
    """Slots of high-priority work."""
    low: float
    evictions: int
    images: set[str]
    running: list[Running] = field(default_factory=list)
    fetch_gb_per_s: float = 1.0

    @property
    def slots(self) -> float:
        return self.total.gpus or self.total.cpus

    @property
    def idle_slots(self) -> float:
        return self.free.gpus if self.total.gpus else self.free.cpus


@dataclass(slots=True)
class Request:
    """Tasks of one job to be placed; each is a task of one pod."""

    job: int
    count: int
    need: Resources
    rank: int
    high: bool
    team: int
    types: frozenset[str] | None
    zone: str | None
    one_zone: bool
    zone_limit: int | None
    """Most tasks of the job that may be in one zone."""
    spot: bool
    image: str
    zones: dict[str, int]
    """Where tasks of the job are, or may be."""
    shunned: set[int]
    order: float
    """Less goes first within a rank."""
    gang: bool = False
    """All of its tasks are placed, or none."""
    wait_s: float | None = None
    """How soon the operator wants its tasks started."""
    image_gb: float = 0.0


@dataclass(slots=True)
class TeamUse:
    used: Resources
    guarantee: Resources
    limit: Resources


@dataclass(slots=True)
class Snapshot:
    nodes: list[Node]
    requests: list[Request]
    teams: dict[int, TeamUse]
    finished: int
    evicted: int
    beta: float
    window_s: float


@dataclass(slots=True)
class Start:
    job: int
    node: int


@dataclass(slots=True)
class Stop:
    key: tuple[int, int]
    cost: float
    """Of the machine's victims together."""
    wait_s: float | None
    """How soon the work that needs the room should start."""


@dataclass(slots=True)
class Plan:
    starts: list[Start] = field(default_factory=list)
    stops: list[Stop] = field(default_factory=list)
    waiting: dict[int, int] = field(default_factory=dict)
    """Tasks a job that found no room (those over a team's limit are not counted)."""


def slots_of(need: Resources) -> float:
    """What a task counts in the paper's slots: accelerators if it takes any, else processors."""
    return need.gpus or need.cpus


def plan(snapshot: Snapshot) -> Plan:
    """Place what fits, and evict where the rules of priority allow it."""
    result = Plan()
    total_slots = sum(node.slots for node in snapshot.nodes) or 1.0
    ordered = sorted(
        snapshot.requests,
        key=lambda request: (
            -request.rank,
            request.order,
            -slots_of(request.need),
            request.job,
        ),
    )
    for request in ordered:
        placed = _place(snapshot, request, total_slots, result)
        if placed < request.count and _within_limit(snapshot, request):
            result.waiting[request.job] = request.count - placed
    return result


def _within_limit(snapshot: Snapshot, request: Request) -> bool:
    team = snapshot.teams[request.team]
    return team.used.plus(request.need).fits(team.limit)


@dataclass(slots=True)
class _Step:
    """One task placed, so that a gang that does not fit whole can be taken back."""

    node: Node
    victims: list[tuple[Running, float]]


def _place(snapshot: Snapshot, request: Request, total_slots: float, result: Plan) -> int:
    """Place as many tasks of a request as fit; of a gang, all or none."""
    steps: list[_Step] = []
    team = snapshot.teams[request.team]
    while len(steps) < request.count and _within_limit(snapshot, request):
        node, victims = _choose(snapshot, request, total_slots)
        if node is None:
            break
        for victim, _ in victims:
            _evict(snapshot, node, victim, 1)
        _take(node, request, 1)
        team.used = team.used.plus(request.need)
        steps.append(_Step(node, victims))
    if request.gang and len(steps) < request.count:
        # All pods are planned before any stop; one that fails leaves everything as it was.
        for step in reversed(steps):
            team.used = team.used.minus(request.need)
            _take(step.node, request, -1)
            for victim, _ in reversed(step.victims):
                _evict(snapshot, step.node, victim, -1)
        return 0
    for step in steps:
        result.stops += [Stop(victim.key, cost, request.wait_s) for victim, cost in step.victims]
        result.starts.append(Start(request.job, step.node.index))
    return len(steps)


def _choose(
    snapshot: Snapshot, request: Request, total_slots: float
) -> tuple[Node | None, list[tuple[Running, float]]]:
    """A machine for one task, and the victims it takes.

    The paper's filter drops machines that do not meet the task's requirements; we count a start in
    time among these where an operator has stated one, as long as some machine can meet it.
    """
    passes = (True, False) if request.wait_s is not None else (False,)
    for prompt in passes:
        nodes = [
            node
            for node in snapshot.nodes
            if node.index not in request.shunned
            and allowed(request, node)
            and (not prompt or starts_in_time(request, node))
        ]
        node = _best(nodes, request)
        if node is not None:
            return node, []
        node, victims = _cheapest(snapshot, nodes, request, total_slots)
        if node is not None:
            return node, victims
    return None, []


def starts_in_time(request: Request, node: Node) -> bool:
    """Whether the image is there, or comes soon enough for the wait that is asked for."""
    if request.wait_s is None or request.image in node.images:
        return True
    # Fetches are up to a third slower than stated, and something is left for the rest.
    return 1.5 * request.image_gb / max(node.fetch_gb_per_s, 1e-3) + 0.3 <= request.wait_s


def _evict(snapshot: Snapshot, node: Node, victim: Running, sign: int) -> None:
    """Pretend that a victim has left its machine, or (-1) that it came back."""
    other = snapshot.teams[victim.team]
    if sign > 0:
        node.running.remove(victim)
        node.free = node.free.plus(victim.need)
        other.used = other.used.minus(victim.need)
    else:
        node.running.append(victim)
        node.free = node.free.minus(victim.need)
        other.used = other.used.plus(victim.need)
    node.low -= sign * slots_of(victim.need)
    node.evictions += sign
    snapshot.evicted += sign


def _take(node: Node, request: Request, sign: int) -> None:
    """Pretend that a task of the request is on a machine, or (-1) that it is not."""
    if sign > 0:
        node.free = node.free.minus(request.need)
    else:
        node.free = node.free.plus(request.need)
    if request.high:
        node.high += sign * slots_of(request.need)
    else:
        node.low += sign * slots_of(request.need)
    count = request.zones.get(node.zone, 0) + sign
    if count:
        request.zones[node.zone] = count
    else:
        del request.zones[node.zone]


def allowed(request: Request, node: Node) -> bool:
    """Whether the job's own rules let a task of it start on the machine."""
    if request.types is not None and node.type not in request.types:
        return False
    if request.zone is not None and node.zone != request.zone:
        return False
    if node.spot and not request.spot:
        return False
    if request.one_zone and request.zones and node.zone not in request.zones:
        return False
    return request.zone_limit is None or request.zones.get(node.zone, 0) < request.zone_limit


def _best(nodes: list[Node], request: Request) -> Node | None:
    best: Node | None = None
    best_score: tuple[float, ...] = ()
    for node in nodes:
        if not request.need.fits(node.free):
            continue
        slots = node.slots or 1.0
        score = (
            1.0 - node.idle_slots / slots,
            (node.high if request.high else node.low) / slots,
            float(node.evictions if request.high else -node.evictions),
            # Left open by the design: the image is there, then spread over zones.
            1.0 if request.image in node.images else 0.0,
            float(-request.zones.get(node.zone, 0)),
        )
        if best is None or score > best_score:
            best, best_score = node, score
    return best


def may_evict(snapshot: Snapshot, request: Request, victim: Running, freed: Resources) -> bool:
    """HP and LP are relative: a lower rank, or borrowed room when a team claims its own."""
    if not victim.evictable:
        return False
    if victim.rank < request.rank and request.high:
        return True
    if victim.team == request.team or victim.high or victim.rank > request.rank:
        # The protocol would let borrowed room of any rank be claimed. The paper never evicts HP
        # work: a replica stopped for another task waited for a minute where that one would have
        # waited for a boot.
        return False
    own, other = snapshot.teams[request.team], snapshot.teams[victim.team]
    if not own.used.plus(request.need).fits(own.guarantee):
        return False
    # The other team has to stay beyond its guarantee up to this victim.
    return not other.used.minus(freed).fits(other.guarantee)


def _cheapest(
    snapshot: Snapshot, nodes: list[Node], request: Request, total_slots: float
) -> tuple[Node | None, list[tuple[Running, float]]]:
    """The machine on which room costs least, and the victims there."""
    best: Node | None = None
    best_cost = 0.0
    best_victims: list[Running] = []
    for node in nodes:
        victims: list[Running] = []
        freed: dict[int, Resources] = {}
        room = node.free
        for candidate in node.running:
            gone = freed.get(candidate.team, NOTHING)
            if may_evict(snapshot, request, candidate, gone):
                freed[candidate.team] = gone.plus(candidate.need)
                victims.append(candidate)
                room = room.plus(candidate.need)
        if not victims or not request.need.fits(room):
            continue
        # Spare victims, the greatest waste first, while the room suffices.
        for candidate in sorted(victims, key=lambda victim: -victim.waste):
            if request.need.fits(room.minus(candidate.need)):
                room = room.minus(candidate.need)
                victims.remove(candidate)
        cost = _cost(snapshot, victims, total_slots)
        if best is None or cost < best_cost:
            best, best_cost, best_victims = node, cost, victims
    return best, [(victim, best_cost) for victim in best_victims]


def _cost(snapshot: Snapshot, victims: list[Running], total_slots: float) -> float:
    evicted = snapshot.evicted + len(victims)
    rate = evicted / (snapshot.finished + evicted)
    waste = sum(victim.waste for victim in victims)
    return rate + snapshot.beta * waste / (total_slots * snapshot.window_s)
