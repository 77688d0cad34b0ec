"""PTS of the GFS paper: a snapshot goes in, a plan comes out.

Non-preemptive placement ranks the fitting machines by fullness (Score 1), then by the share of the
task's own class (Score 2), then by recent evictions (Score 3). What is high-priority towards some
running work and fits nowhere evicts the least costly victims (Algorithm 2 and the cost of
Equation 14 of the paper).

The tasks of a request are alike, so its machines are filtered and scored once, and kept in order
while its tasks are placed; only the machine that took one is scored anew. The plan is the one that
a scan of all machines for each task would give: tests/test_pts.py compares them.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator
from dataclasses import dataclass, field

from badgerseam.model.resources import NOTHING, Resources

FETCH_FACTORS = (1.5, 1.0)
"""How much longer than stated a fetch takes, surely and likely."""
GRADES = len(FETCH_FACTORS) + 1
START_S = 0.3
"""What a start takes besides the fetch."""


@dataclass(slots=True)
class Running:
    """Work on a machine that may be a victim."""

    key: tuple[int, int]
    need: Resources
    rank: int
    team: int
    since: float | None
    """When it was seen to run; None if it was not yet."""
    checkpoint_s: float
    evictable: bool
    high: bool = False
    ends_at: float = math.inf
    """When it should have ended by its owner's estimate."""
    service: bool = False
    placed_at: float = 0.0

    def waste(self, now: float) -> float:
        """Slots times the time since the last checkpoint that the declared interval implies."""
        if self.since is None:
            return 0.0
        ran = now - self.since
        if self.checkpoint_s > 0:
            ran = math.fmod(ran, self.checkpoint_s)
        return slots_of(self.need) * ran


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

    def copy(self) -> Node:
        """The same machine, to be changed by a plan."""
        return Node(
            self.index,
            self.type,
            self.zone,
            self.spot,
            self.total,
            self.free,
            self.high,
            self.low,
            self.evictions,
            self.images,
            list(self.running),
            self.fetch_gb_per_s,
        )

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

    @property
    def plain(self) -> bool:
        """Nothing but its size and its rank decides where it may go."""
        return (
            self.types is None
            and self.zone is None
            and not self.one_zone
            and self.zone_limit is None
            and not self.shunned
        )


@dataclass(slots=True)
class TeamUse:
    used: Resources
    guarantee: Resources
    limit: Resources


@dataclass(slots=True)
class Snapshot:
    """What a plan starts from; planning changes none of it."""

    nodes: list[Node]
    requests: list[Request]
    teams: dict[int, TeamUse]
    finished: int
    evicted: int
    beta: float
    window_s: float
    now: float = 0.0


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
    nodes: list[Node] = field(default_factory=list)
    """The snapshot's machines, in its order, as they are after the plan."""
    teams: dict[int, TeamUse] = field(default_factory=dict)


def slots_of(need: Resources) -> float:
    """What a task counts in the paper's slots: accelerators if it takes any, else processors."""
    return need.gpus or need.cpus


def plan(snapshot: Snapshot, evict: bool = True) -> Plan:
    """Place what fits, and evict where the rules of priority allow it.

    Without `evict` it is only asked what finds room at all, however late it would start there.
    """
    bench = _Bench(snapshot, evict)
    ordered = sorted(
        snapshot.requests,
        key=lambda request: (
            -request.rank,
            # Towards a team that borrows, one that claims its own is of high priority: behind the
            # other, it would evict again and again what had just been placed.
            not bench.claims(request),
            request.order,
            -slots_of(request.need),
            request.job,
        ),
    )
    for request in ordered:
        placed = _place(bench, request)
        if placed < request.count and bench.within_limit(request):
            bench.result.waiting[request.job] = request.count - placed
    return bench.result


class _Bench:
    """The machines and teams as a plan changes them."""

    def __init__(self, snapshot: Snapshot, evict: bool) -> None:
        self.evict = evict
        self.now = snapshot.now
        self.finished = snapshot.finished
        self.evicted = snapshot.evicted
        self.beta = snapshot.beta
        self.window_s = snapshot.window_s
        self.total_slots = sum(node.slots for node in snapshot.nodes) or 1.0
        self.nodes = list(snapshot.nodes)
        self.teams = {
            index: TeamUse(team.used, team.guarantee, team.limit)
            for index, team in snapshot.teams.items()
        }
        self.result = Plan(nodes=self.nodes, teams=self.teams)
        self._own: set[int] = set()
        needs = [request.need for request in snapshot.requests] or [NOTHING]
        self._least = Resources(*(min(amounts) for amounts in zip(*needs, strict=True)))
        self.roomy = {
            position: None
            for position, node in enumerate(self.nodes)
            if self._least.fits(node.free)
        }
        """Positions of the machines with room for the smallest request."""
        self.full: list[Request] = []
        """Requests that found no room: what takes no less finds none either."""

    def node(self, position: int) -> Node:
        """A machine that may be changed: the snapshot's own is left alone."""
        if position not in self._own:
            self._own.add(position)
            self.nodes[position] = self.nodes[position].copy()
        return self.nodes[position]

    def changed(self, position: int) -> None:
        """A machine's room has changed."""
        if self._least.fits(self.nodes[position].free):
            if position not in self.roomy:
                self.roomy[position] = None
        else:
            self.roomy.pop(position, None)

    def within_limit(self, request: Request) -> bool:
        team = self.teams[request.team]
        return team.used.plus(request.need).fits(team.limit)

    def claims(self, request: Request) -> bool:
        """Whether a task of the request is within its team's guarantee."""
        own = self.teams[request.team]
        return own.used.plus(request.need).fits(own.guarantee)

    def lends(self, request: Request) -> bool:
        """Whether another team has anything that the request's team may claim."""
        return self.claims(request) and any(
            index != request.team and not team.used.fits(team.guarantee)
            for index, team in self.teams.items()
        )

    def hopeless(self, request: Request) -> bool:
        """Whether a request like this one, and no larger, has found no room."""
        return any(
            other.need.fits(request.need)
            and other.rank >= request.rank
            and other.high >= request.high
            and other.team == request.team
            and (other.spot or not request.spot)
            for other in self.full
        )


@dataclass(slots=True)
class _Step:
    """One task placed, so that a gang that does not fit whole can be taken back."""

    position: int
    victims: list[tuple[Running, float]]


def _place(bench: _Bench, request: Request) -> int:
    """Place as many tasks of a request as fit; of a gang, all or none."""
    if request.count <= 0 or bench.hopeless(request):
        return 0
    steps: list[_Step] = []
    zones = dict(request.zones)
    team = bench.teams[request.team]
    candidates = _Candidates(bench, request, zones)
    while len(steps) < request.count and bench.within_limit(request):
        position, victims = candidates.choose()
        if position is None:
            if request.plain and not request.gang:
                bench.full.append(request)
            break
        for victim, _ in victims:
            _evict(bench, position, victim, 1)
        _take(bench, position, request, zones, 1)
        team.used = team.used.plus(request.need)
        candidates.update(position)
        steps.append(_Step(position, victims))
    if request.gang and len(steps) < request.count:
        # All pods are planned before any stop; one that fails leaves everything as it was.
        for step in reversed(steps):
            team.used = team.used.minus(request.need)
            _take(bench, step.position, request, zones, -1)
            for victim, _ in reversed(step.victims):
                _evict(bench, step.position, victim, -1)
        return 0
    if steps:
        # What a team has beyond its guarantee has grown: another may claim it now.
        bench.full = [other for other in bench.full if other.team == request.team]
    for step in steps:
        if step.victims:
            # Their room may serve requests that found none before.
            bench.full.clear()
        bench.result.stops += [
            Stop(victim.key, cost, request.wait_s) for victim, cost in step.victims
        ]
        bench.result.starts.append(Start(request.job, bench.nodes[step.position].index))
    return len(steps)


class _Pool:
    """Machines with room for a task of a request, best first."""

    def __init__(self, request: Request) -> None:
        self._request = request
        self._heap: list[tuple[tuple[float, ...], int]] = []
        self._score: dict[int, tuple[float, ...]] = {}

    def put(self, position: int, node: Node) -> None:
        """Add a machine, or score it anew; one without room is dropped."""
        if not self._request.need.fits(node.free):
            self._score.pop(position, None)
            return
        score = _score(node, self._request)
        if self._score.get(position) != score:
            self._score[position] = score
            heapq.heappush(self._heap, (score, position))

    def _best(self) -> Iterator[int]:
        """Positions that share the best score; they are taken off the heap."""
        best: tuple[float, ...] | None = None
        while self._heap and (best is None or self._heap[0][0] == best):
            score, position = heapq.heappop(self._heap)
            if self._score.get(position) == score:
                best = score
                yield position

    def choose(self, nodes: list[Node], zones: dict[str, int]) -> int | None:
        """The best machine that the job's own rules allow, or None."""
        while True:
            ties = sorted(set(self._best()))
            chosen: int | None = None
            count = 0
            for position in ties:
                node = nodes[position]
                if not allowed(self._request, node, zones):
                    # Where a zone is full, or not the job's, that does not change any more.
                    del self._score[position]
                    continue
                heapq.heappush(self._heap, (self._score[position], position))
                # Left open by the design: spread over zones.
                used = zones.get(node.zone, 0)
                if chosen is None or used < count:
                    chosen, count = position, used
            if chosen is not None or not self._heap:
                return chosen


class _Candidates:
    """The machines for the tasks of one request.

    The paper's filter drops machines that do not meet the task's requirements; we count a start in
    time among these where an operator has stated one, as long as some machine can meet it, surely
    or else likely.
    """

    def __init__(self, bench: _Bench, request: Request, zones: dict[str, int]) -> None:
        self._bench = bench
        self._request = request
        self._zones = zones
        # By how surely the start will be in time; the last takes any machine.
        graded = bench.evict and request.wait_s is not None
        self._pools = [_Pool(request) for _ in range(GRADES if graded else 1)]
        self._may_evict = bench.evict
        self._victims: dict[int, tuple[list[Running], float]] | None = None
        """What may be evicted, by position: the victims and their waste."""
        for position in bench.roomy:
            node = bench.nodes[position]
            if node.index in request.shunned or not allowed(request, node, zones):
                continue
            self._put(position, node)

    def _put(self, position: int, node: Node) -> None:
        grade = self._grade(node)
        for pool in self._pools[grade:]:
            pool.put(position, node)

    def _grade(self, node: Node) -> int:
        return start_grade(self._request, node) if len(self._pools) > 1 else 0

    def update(self, position: int) -> None:
        """A task was placed on the machine, and victims may have left it."""
        node = self._bench.nodes[position]
        self._put(position, node)
        if self._victims is not None:
            self._victims.pop(position, None)
            self._consider(position, node)

    def choose(self) -> tuple[int | None, list[tuple[Running, float]]]:
        """A machine for one task, and the victims it takes."""
        nodes = self._bench.nodes
        for grade, pool in enumerate(self._pools):
            position = pool.choose(nodes, self._zones)
            if position is not None:
                return position, []
            if self._may_evict:
                position, victims = self._cheapest(grade)
                if position is not None:
                    return position, victims
        return None, []

    def _consider(self, position: int, node: Node) -> None:
        assert self._victims is not None
        found = _victims(self._bench, node, self._request)
        if found:
            now = self._bench.now
            self._victims[position] = found, sum(victim.waste(now) for victim in found)

    def _cheapest(self, grade: int) -> tuple[int | None, list[tuple[Running, float]]]:
        """The machine on which room costs least, and the victims there."""
        bench, request = self._bench, self._request
        if not request.high and not bench.lends(request):
            self._may_evict = False
            return None, []
        if self._victims is None or not request.high:
            # What another team has beyond its guarantee changes with every step.
            self._victims = {}
            for position, node in enumerate(bench.nodes):
                if (
                    node.running
                    and node.index not in request.shunned
                    and allowed(request, node, self._zones)
                ):
                    self._consider(position, node)
        best: int | None = None
        best_cost = 0.0
        for position, (victims, waste) in self._victims.items():
            node = bench.nodes[position]
            if self._grade(node) > grade:
                continue
            if not allowed(request, node, self._zones):
                continue
            cost = _cost(bench, len(victims), waste)
            if best is None or (cost, position) < (best_cost, best):
                best, best_cost = position, cost
        if best is None:
            return None, []
        return best, [(victim, best_cost) for victim in self._victims[best][0]]


def start_grade(request: Request, node: Node) -> int:
    """How surely a task would start in the time that is asked for: 0 surely, 1 likely, 2 not."""
    if request.wait_s is None or request.image in node.images:
        return 0
    # Fetches are up to a third slower or faster than stated, and something is left for the rest.
    stated = request.image_gb / max(node.fetch_gb_per_s, 1e-3)
    for grade, factor in enumerate(FETCH_FACTORS):
        if factor * stated + START_S <= request.wait_s:
            return grade
    return len(FETCH_FACTORS)


def _evict(bench: _Bench, position: int, victim: Running, sign: int) -> None:
    """Pretend that a victim has left its machine, or (-1) that it came back."""
    node = bench.node(position)
    other = bench.teams[victim.team]
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
    bench.evicted += sign
    bench.changed(position)


def _take(bench: _Bench, position: int, request: Request, zones: dict[str, int], sign: int) -> None:
    """Pretend that a task of the request is on a machine, or (-1) that it is not."""
    node = bench.node(position)
    if sign > 0:
        node.free = node.free.minus(request.need)
    else:
        node.free = node.free.plus(request.need)
    if request.high:
        node.high += sign * slots_of(request.need)
    else:
        node.low += sign * slots_of(request.need)
    count = zones.get(node.zone, 0) + sign
    if count:
        zones[node.zone] = count
    else:
        del zones[node.zone]
    bench.changed(position)


def allowed(request: Request, node: Node, zones: dict[str, int] | None = None) -> bool:
    """Whether the job's own rules let a task of it start on the machine.

    `zones`: where its tasks are meanwhile, if not where the request says.
    """
    if zones is None:
        zones = request.zones
    if request.types is not None and node.type not in request.types:
        return False
    if request.zone is not None and node.zone != request.zone:
        return False
    if node.spot and not request.spot:
        return False
    if request.one_zone and zones and node.zone not in zones:
        return False
    return request.zone_limit is None or zones.get(node.zone, 0) < request.zone_limit


def _score(node: Node, request: Request) -> tuple[float, ...]:
    """The paper's three scores, negated, since heaps give the least first."""
    slots = node.slots or 1.0
    return (
        node.idle_slots / slots,
        -(node.high if request.high else node.low) / slots,
        float(-node.evictions if request.high else node.evictions),
        # Left open by the design: the image is there.
        0.0 if request.image in node.images else 1.0,
    )


def may_evict(bench: _Bench, request: Request, victim: Running, freed: Resources) -> bool:
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
    if not bench.claims(request):
        return False
    other = bench.teams[victim.team]
    # The other team has to stay beyond its guarantee up to this victim.
    return not other.used.minus(freed).fits(other.guarantee)


def _victims(bench: _Bench, node: Node, request: Request) -> list[Running]:
    """Whose room on a machine would do for a task, the greatest waste spared; empty if none."""
    victims: list[Running] = []
    freed: dict[int, Resources] = {}
    room = node.free
    for candidate in node.running:
        gone = freed.get(candidate.team, NOTHING)
        if may_evict(bench, request, candidate, gone):
            freed[candidate.team] = gone.plus(candidate.need)
            victims.append(candidate)
            room = room.plus(candidate.need)
    if not victims or not request.need.fits(room):
        return []
    for candidate in sorted(victims, key=lambda victim: -victim.waste(bench.now)):
        if request.need.fits(room.minus(candidate.need)):
            room = room.minus(candidate.need)
            victims.remove(candidate)
    return victims


def _cost(bench: _Bench, count: int, waste: float) -> float:
    evicted = bench.evicted + count
    rate = evicted / (bench.finished + evicted)
    return rate + bench.beta * waste / (bench.total_slots * bench.window_s)
