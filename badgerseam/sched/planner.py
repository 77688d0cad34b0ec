"""Takes the snapshot of a share, and carries out the plan."""

from __future__ import annotations

import logging
import math
from typing import Protocol

from badgerseam.batch.terms import TermsRules
from badgerseam.clock import Clock
from badgerseam.model.job import HIGH_RANK, Attempt, Job, Phase, Stage
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.model.resources import NOTHING, Resources
from badgerseam.model.state import Share
from badgerseam.sched import pts
from badgerseam.settings import Tunables

log = logging.getLogger("badgerseam.sched")

SAVE_SLACK_S = 1.5
"""Between the end of a save and the start of the next task: a report, a launch, an image."""
HOPEFUL = 0.5
"""The part of its estimate in which a task may well be done, estimates being as wrong as that."""
LATE_S = 1e7
AGES_AT = 0.5
"""Part of the time in which a job should begin after which it ages."""
FRONT_PART = 0.25
"""Part of the starts of low-priority work that the oldest job may take before others while it can
still begin in time. Measured in a long burst: with half of them, fewer large jobs began whole in
time than without any ageing, since young ones, which could have, waited as well."""
LATE_PART = 0.1
"""The same of one that cannot any more."""
FRONT_CREDIT = 64.0
"""Starts that may be saved up for it."""
GATHER_S = 60.0
"""How long room that frees is kept for an aged gang at most, before others have their turn."""
MOST_STARTS = 400
"""Tasks of a job planned at once, so that one of 100,000 does not hold the loop; more are planned
in the next round, when these are on their way to be durable."""


class ClassRules(Protocol):
    """What the plan asks of priority classes, if operators have declared any."""

    def of(self, job: Job) -> int:
        """The job's class, the first one is 0."""

    def bound(self, share: Share, snapshot: pts.Snapshot, leading: bool = False) -> None:
        """Keep room from lower classes before a share is planned for."""

    def planned(self, share: Share, snapshot: pts.Snapshot, result: pts.Plan) -> None:
        """A plan is about to be carried out."""

    def cautious(self) -> int | None:
        """The class below which the leader moves no machines now; None if it does for all."""


class RunRules(Protocol):
    """What the plan asks of reckoning runs, if operators have declared any."""

    def held(self, job: Job) -> str | None:
        """Why no more of the job's tasks start now; None if they may."""

    def begin(self, share: int, now: float) -> None:
        """A round begins: `most` is asked for jobs of that share."""

    def most(self, job: Job) -> int | None:
        """How many of the job's tasks may start in this round; None: as many as wait."""

    def order(self, job: Job) -> float | None:
        """In place of the time of day by which jobs of a rank are ordered, if a plan says so."""


class ReplicaRules(Protocol):
    """What the plan asks of replicas that span machines, if operators have declared any."""

    def requests(self, job: Job, now: float) -> list[pts.Request]:
        """What the job's replicas need now; it has a `watch`."""

    def group(self, attempt: Attempt) -> tuple[int, int]:
        """The replica of such a job's attempt."""

    def shielded(self, attempt: Attempt) -> bool:
        """Whether it is no victim of a claim, since its replica is not up as it is."""

    def held(self, machine: Machine) -> Resources:
        """Room that is kept on a machine for members that are to come."""

    def carry_out(self, share: Share, plan: pts.Plan) -> None:
        """Place what the plan has placed whole, and evict replicas whole."""


class Planner:
    """Plans for the shares that this controller owns."""

    def __init__(self, model: Model, tunables: Tunables) -> None:
        self._model = model
        self.terms = TermsRules(model)
        self._clock: Clock = model.clock
        self._tunables = tunables
        self.classes: ClassRules | None = None
        self.runs: RunRules | None = None
        self.replicas: ReplicaRules | None = None
        self._waits: dict[str | None, float] = {}
        for objective in model.settings.params.objectives:
            if objective.kind in ("wait", "guarantee") and objective.within_s is not None:
                self._waits[objective.job_class] = objective.within_s

    def wait_s(self, job: Job) -> float | None:
        """How soon the operator wants tasks of the job started, if that was said."""
        stated = [self._waits[key] for key in (job.spec.job_class, None) if key in self._waits]
        return min(stated, default=None)

    def snapshot(
        self, share: Share, nodes: list[pts.Node], requests: list[pts.Request]
    ) -> pts.Snapshot:
        """What PTS needs to know; pure data."""
        model = self._model
        teams = {
            index: pts.TeamUse(model.usage(index), team.guarantee, team.limit)
            for index, team in enumerate(model.teams)
            if team.share == share.index
        }
        return pts.Snapshot(
            nodes,
            requests,
            teams,
            share.finished,
            share.evicted,
            self._tunables.beta,
            self._tunables.window_s,
            self._clock.now(),
            self.replicas is not None,
        )

    def requests(self, share: Share) -> list[pts.Request]:
        """The share's waiting work."""
        now = self._clock.now()
        if self.runs is not None:
            self.runs.begin(share.index, now)
        requests: list[pts.Request] = []
        for job in self._model.open_jobs[share.index].values():
            if job.watch is not None and self.replicas is not None:
                requests += self.replicas.requests(job, now)
            elif (request := self._request(job, now)) is not None:
                requests.append(request)
        front = self._front(share, requests)
        if front is not None:
            front.front = True
        return requests

    def _front(self, share: Share, requests: list[pts.Request]) -> pts.Request | None:
        """The low-priority work that goes first because it has waited for longest, if any has for
        too long and others have had their turn.

        By deadline alone what is late goes last, and in a long burst a large array, which is late
        before its turn comes, waited for six minutes beside small ones that came and went. One job
        at a time, and for a part of the starts only: were all that is late to go first, nothing
        would be in time any more.
        """
        if share.front_credit <= 0:
            return None
        model = self._model
        wall = model.clock.wall()
        latest = wall - AGES_AT * self._tunables.begin_s
        hopeless = wall - self._tunables.begin_s
        found: tuple[bool, int, pts.Request] | None = None
        for request in requests:
            job = model.jobs[request.job]
            if request.rank >= HIGH_RANK or job is None or job.failing or job.submitted > latest:
                continue
            # What has been tried has begun: it was stopped, or lost, since.
            if len(job.tries) < job.tasks:
                order = (job.submitted <= hopeless, job.place, request)
                if found is None or order[:2] < found[:2]:
                    found = order
        if found is None:
            return None
        share.front_part = LATE_PART if found[0] else FRONT_PART
        return found[2]

    def nodes(self, share: Share) -> list[pts.Node]:
        """The share's machines that take tasks now."""
        now = self._clock.now()
        return [
            self.node(machine, now)
            for machine in self._model.fleets[share.index].values()
            if self.usable(machine, now)
        ]

    def usable(self, machine: Machine, now: float) -> bool:
        """Whether tasks may be placed on the machine now."""
        return self.out_of_use(machine, now) is None

    def out_of_use(self, machine: Machine, now: float) -> str | None:
        """Why no tasks may be placed on the machine now; None if they may."""
        if machine.dropped:
            return "released"
        if machine.lost:
            return "lost"
        if machine.session == 0:
            return "not_heard"
        if machine.draining:
            return "draining"
        if machine.hard_of_hearing:
            return "deaf"
        report_s = self._model.settings.params.workers.report_s
        if machine.mute or now - machine.heard_at >= 3 * report_s + 0.5:
            return "silent"
        if machine.failures >= 3:
            return "unreachable"
        if machine.total.cpus <= 0:
            return "unknown_type"
        return None

    def node(self, machine: Machine, now: float) -> pts.Node:
        """A machine as PTS sees it, made anew only when it has changed."""
        while machine.evictions and now - machine.evictions[0] > self._tunables.window_s:
            machine.evictions.popleft()
        node = machine.node
        if node is None:
            node = machine.node = self._build(machine)
        node.evictions = len(machine.evictions)
        return node

    def _build(self, machine: Machine) -> pts.Node:
        entry = self._model.types.get(machine.type)
        high = low = 0.0
        running = []
        used = machine.strays
        for key, attempt in machine.attempts.items():
            if attempt.finishing or attempt.stopping:
                continue
            job = attempt.job
            used = used.plus(job.need)
            important = job.rank >= HIGH_RANK
            if important:
                high += pts.slots_of(job.need)
            else:
                low += pts.slots_of(job.need)
            running.append(
                pts.Running(
                    key,
                    job.need,
                    job.rank,
                    job.team,
                    attempt.started_at if attempt.stage >= Stage.RUNNING else None,
                    job.spec.checkpoint_s,
                    attempt.stage >= Stage.FETCHING and attempt.stage != Stage.SAVING,
                    important,
                    self.ends_at(attempt),
                    job.service,
                    attempt.planned_at,
                )
            )
            if job.watch is not None and self.replicas is not None:
                running[-1].group = self.replicas.group(attempt)
                running[-1].high = important or self.replicas.shielded(attempt)
        if self.replicas is not None:
            used = used.plus(self.replicas.held(machine))
        return pts.Node(
            machine.index,
            machine.type,
            machine.zone,
            machine.spot,
            machine.total,
            machine.total.minus(used),
            high,
            low,
            len(machine.evictions),
            machine.images,
            running,
            entry.fetch_gb_per_s if entry is not None else 1.0,
        )

    def ends_at(self, attempt: Attempt) -> float:
        """When the task should end, by its owner's estimate."""
        if attempt.job.service:
            return math.inf
        return (attempt.started_at or attempt.planned_at) + attempt.job.spec.estimate_s

    def _request(self, job: Job, now: float) -> pts.Request | None:
        if job.waiting() <= 0 or self.held_back(job, now) is not None:
            return None
        # One that fails wherever it runs: one task at a time tells when that changes.
        count = 1 if job.failing and not job.gang else job.waiting()
        if job.spec.terms is not None:
            most = self.terms.most(job)
            count = count if most is None else min(count, most)
        if self.runs is not None:
            most = self.runs.most(job)
            count = count if most is None else min(count, most)
            if count <= 0:
                return None
        return self.request(job, count)

    def held_back(self, job: Job, now: float) -> str | None:
        """Why no task of a job with waiting tasks is planned now; None if they are."""
        if job.phase != Phase.OPEN:
            return "ended"
        if job.spec.terms is not None:
            held = self.terms.held(job)
            if held is not None:
                return held
        if self.runs is not None:
            held = self.runs.held(job)
            if held is not None:
                return held
        if now < job.retry_at:
            return "backoff"
        if job.failing and job.attempts:
            return "failing"
        if job.next_idle() is None:
            return "unsettled"
        return None

    def request(self, job: Job, count: int) -> pts.Request:
        """So many tasks of a job, with the rules that hold for them."""
        spec = job.spec
        deadline = math.inf if spec.deadline_s is None else job.submitted + spec.deadline_s
        order = job.submitted if job.rank >= HIGH_RANK else min(deadline, job.submitted + 1e6)
        stated = None if self.runs is None else self.runs.order(job)
        order = order if stated is None else stated
        if deadline < self._clock.wall() + HOPEFUL * spec.estimate_s:
            # Too late whatever is done: it goes behind what can still be in time.
            order += LATE_S
        return pts.Request(
            job.index,
            count if job.gang else min(count, MOST_STARTS),
            job.need,
            job.rank,
            # One that fails everywhere is tried where there is room: nobody is stopped for that.
            job.rank >= HIGH_RANK and not job.failing,
            job.team,
            job.types,
            spec.zone,
            spec.one_zone,
            (spec.tasks + 1) // 2 if spec.spread else None,
            spec.spot,
            spec.image,
            job.zones,
            job.shuns(self._clock.now()),
            order,
            job.gang,
            self.wait_s(job),
            spec.image_gb,
            0 if self.classes is None else self.classes.of(job),
            job.place,
        )

    def run(self, share: Share) -> dict[int, int]:
        """Plan for a share and mark what is planned; the tasks that found no room, by job."""
        model = self._model
        requests = self.requests(share)
        if not requests:
            return {}
        now = self._clock.now()
        snapshot = self.snapshot(share, self.nodes(share), requests)
        if self.classes is not None:
            self.classes.bound(share, snapshot)
        result = pts.plan(snapshot)
        if self.classes is not None:
            self.classes.planned(share, snapshot, result)
        self._count_front(share, requests, result, now)
        for stop in result.stops:
            job = model.jobs[stop.key[0]]
            assert job is not None
            attempt = job.attempts[stop.key[1]]
            self.stop(attempt, stop.wait_s)
            attempt.cost = stop.cost
            claimant = model.jobs[stop.by]
            attempt.evicted_for = None if claimant is None else claimant.id
            attempt.machine.evictions.append(now)
            log.debug("evicting %s at cost %.4f", attempt.name, stop.cost)
            share.evicted += 1
        if result.stops:
            log.info(
                "share %d: evicting %d tasks, at a cost of %.4f at most",
                share.index,
                len(result.stops),
                max(stop.cost for stop in result.stops),
            )
        if self.replicas is not None:
            self.replicas.carry_out(share, result)
        for start in result.starts:
            job = model.jobs[start.job]
            assert job is not None
            task = job.next_idle()
            if task is None:
                continue
            job.idle.pop()
            machine = model.machines[start.node]
            model.place(job, task, job.tries.get(task, 0) + 1, machine, Stage.PLANNED)
            machine.idle_since = now
        return result.waiting

    def _count_front(
        self, share: Share, requests: list[pts.Request], result: pts.Plan, now: float
    ) -> None:
        """Share the starts of low-priority work between the oldest job and the others."""
        front = next((request for request in requests if request.front), None)
        low = {request.job for request in requests if request.rank < HIGH_RANK}
        for start in result.starts:
            if front is not None and start.job == front.job:
                share.front_credit -= 1.0 / share.front_part - 1.0
            elif start.job in low:
                share.front_credit = min(share.front_credit + 1.0, FRONT_CREDIT)
        if front is None or front.job != share.front:
            share.front = None if front is None else front.job
            share.front_since = now
        elif front.gathers and now - share.front_since > GATHER_S:
            # It may never fit: others go on until as many of them have started.
            share.front_credit = -FRONT_CREDIT
            share.front = None

    def stop(self, attempt: Attempt, wait_s: float | None = None) -> None:
        """Have an attempt stopped, with time to save if its task can and nobody is kept waiting.

        `wait_s`: how soon the work that needs the room should start.
        """
        spec = attempt.job.spec
        attempt.stopping = True
        attempt.job.touch(attempt.task)
        attempt.machine.node = None
        attempt.stop_sent = False
        saves = spec.checkpoint_s > 0 and (wait_s is None or spec.save_s + SAVE_SLACK_S < wait_s)
        attempt.grace_s = spec.save_s + 1.0 if saves else 0.0
        self._model.pushes.add(attempt.machine.index)

    def free_of_work(self, machine: Machine) -> bool:
        """Whether nothing can be on the machine and nothing is meant for it."""
        return (
            not machine.attempts
            and machine.strays == NOTHING
            and not machine.busy
            # An empty machine that a move has reserved was passed on before it was taken.
            and (self.replicas is None or self.replicas.held(machine) == NOTHING)
        )
