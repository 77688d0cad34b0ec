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
from badgerseam.model.state import Shard
from badgerseam.sched import pts
from badgerseam.settings import Tunables

log = logging.getLogger("badgerseam.sched")

SAVE_SLACK_S = 1.5
"""Between the end of a save and the start of the next task: a report, a launch, an image."""
HOPEFUL_FRACTION = 0.5
"""The part of its estimate in which a task may well be done, estimates being as wrong as that."""
UNORDERED_S = 1e7
AGING_FRACTION = 0.5
"""Part of the time in which a job should begin after which it ages."""
OLDEST_JOB_FRACTION = 0.25
"""Part of the starts of low-priority work that the oldest job may take before others while it can
still begin in time. Measured in a long burst: with half of them, fewer large jobs began whole in
time than without any ageing, since young ones, which could have, waited as well."""
LATE_FRACTION = 0.1
"""The same of one that cannot any more."""
OLDEST_JOB_MAX_CREDIT = 64.0
"""Starts that may be saved up for it."""
GANG_GATHER_S = 60.0
"""How long room that frees is kept for an aged gang at most, before others have their turn."""
MAX_STARTS = 400
"""Tasks of a job planned at once, so that one of 100,000 does not hold the loop; more are planned
in the next round, when these are on their way to be durable."""


class ClassPolicy(Protocol):
    """What the plan asks of priority classes, if operators have declared any."""

    def effective_class(self, job: Job) -> int:
        """The job's class, the first one is 0."""

    def reserve_capacity(self, shard: Shard, snapshot: pts.Snapshot, leading: bool = False) -> None:
        """Keep room from lower classes before a share is planned for."""

    def on_plan(self, shard: Shard, snapshot: pts.Snapshot, result: pts.Plan) -> None:
        """A plan is about to be carried out."""

    def cautious_below(self) -> int | None:
        """The class below which the leader moves no machines now; None if it does for all."""


class RunPolicy(Protocol):
    """What the plan asks of reckoning runs, if operators have declared any."""

    def hold_reason(self, job: Job) -> str | None:
        """Why no more of the job's tasks start now; None if they may."""

    def begin_round(self, shard: int, now: float) -> None:
        """A round begins: `most` is asked for jobs of that share."""

    def max_starts(self, job: Job) -> int | None:
        """How many of the job's tasks may start in this round; None: as many as wait."""

    def order_time(self, job: Job) -> float | None:
        """In place of the time of day by which jobs of a rank are ordered, if a plan says so."""


class ReplicaPolicy(Protocol):
    """What the plan asks of replicas that span machines, if operators have declared any."""

    def requests(self, job: Job, now: float) -> list[pts.Request]:
        """What the job's replicas need now; it has a `watch`."""

    def group(self, attempt: Attempt) -> tuple[int, int]:
        """The replica of such a job's attempt."""

    def is_shielded(self, attempt: Attempt) -> bool:
        """Whether it is no victim of a claim, since its replica is not up as it is."""

    def reserved_on(self, machine: Machine) -> Resources:
        """Room that is kept on a machine for members that are to come."""

    def carry_out(self, shard: Shard, plan: pts.Plan) -> None:
        """Place what the plan has placed whole, and evict replicas whole."""


class Planner:
    """Plans for the shares that this controller owns."""

    def __init__(self, model: Model, tunables: Tunables) -> None:
        self._model = model
        self.terms = TermsRules(model)
        self._clock: Clock = model.clock
        self._tunables = tunables
        self.classes: ClassPolicy | None = None
        self.runs: RunPolicy | None = None
        self.replicas: ReplicaPolicy | None = None
        self._waits: dict[str | None, float] = {}
        for objective in model.settings.params.objectives:
            if objective.kind in ("wait", "guarantee") and objective.within_s is not None:
                self._waits[objective.job_class] = objective.within_s

    def wait_s(self, job: Job) -> float | None:
        """How soon the operator wants tasks of the job started, if that was said."""
        stated = [self._waits[key] for key in (job.spec.job_class, None) if key in self._waits]
        return min(stated, default=None)

    def snapshot(
        self, shard: Shard, nodes: list[pts.MachineSnapshot], requests: list[pts.Request]
    ) -> pts.Snapshot:
        """What PTS needs to know; pure data."""
        model = self._model
        teams = {
            index: pts.TeamUse(model.usage(index), team.guarantee, team.limit)
            for index, team in enumerate(model.teams)
            if team.shard == shard.index
        }
        return pts.Snapshot(
            nodes,
            requests,
            teams,
            shard.finished,
            shard.evicted,
            self._tunables.beta,
            self._tunables.window_s,
            self._clock.now(),
            self.replicas is not None,
        )

    def requests(self, shard: Shard) -> list[pts.Request]:
        """The share's waiting work."""
        now = self._clock.now()
        if self.runs is not None:
            self.runs.begin_round(shard.index, now)
        requests: list[pts.Request] = []
        for job in self._model.open_jobs[shard.index].values():
            if job.changed_tasks is not None and self.replicas is not None:
                requests += self.replicas.requests(job, now)
            elif (request := self._request(job, now)) is not None:
                requests.append(request)
        front = self._oldest_request(shard, requests)
        if front is not None:
            front.oldest_waiting = True
        return requests

    def _oldest_request(self, shard: Shard, requests: list[pts.Request]) -> pts.Request | None:
        """The low-priority work that goes first because it has waited for longest, if any has for
        too long and others have had their turn.

        By deadline alone what is late goes last, and in a long burst a large array, which is late
        before its turn comes, waited for six minutes beside small ones that came and went. One job
        at a time, and for a part of the starts only: were all that is late to go first, nothing
        would be in time any more.
        """
        if shard.oldest_job_credit <= 0:
            return None
        model = self._model
        wall = model.clock.wall()
        latest = wall - AGING_FRACTION * self._tunables.begin_s
        hopeless = wall - self._tunables.begin_s
        found: tuple[bool, int, pts.Request] | None = None
        for request in requests:
            job = model.jobs[request.job]
            if request.rank >= HIGH_RANK or job is None or job.is_failing or job.submitted > latest:
                continue
            # What has been tried has begun: it was stopped, or lost, since.
            if len(job.tries) < job.tasks:
                order = (job.submitted <= hopeless, job.queue_position, request)
                if found is None or order[:2] < found[:2]:
                    found = order
        if found is None:
            return None
        shard.oldest_job_fraction = LATE_FRACTION if found[0] else OLDEST_JOB_FRACTION
        return found[2]

    def nodes(self, shard: Shard) -> list[pts.MachineSnapshot]:
        """The share's machines that take tasks now."""
        now = self._clock.now()
        return [
            self.node(machine, now)
            for machine in self._model.shard_machines[shard.index].values()
            if self.usable(machine, now)
        ]

    def usable(self, machine: Machine, now: float) -> bool:
        """Whether tasks may be placed on the machine now."""
        return self.unusable_reason(machine, now) is None

    def unusable_reason(self, machine: Machine, now: float) -> str | None:
        """Why no tasks may be placed on the machine now; None if they may."""
        if machine.dropped:
            return "released"
        if machine.lost:
            return "lost"
        if machine.incarnation == 0:
            return "not_heard"
        if machine.draining:
            return "draining"
        if machine.is_probably_unreachable:
            return "deaf"
        report_s = self._model.settings.params.workers.report_s
        if machine.mute_incarnation or now - machine.last_heartbeat_at >= 3 * report_s + 0.5:
            return "silent"
        if machine.push_failures >= 3:
            return "unreachable"
        if machine.total.cpus <= 0:
            return "unknown_type"
        return None

    def node(self, machine: Machine, now: float) -> pts.MachineSnapshot:
        """A machine as PTS sees it, made anew only when it has changed."""
        while machine.evictions and now - machine.evictions[0] > self._tunables.window_s:
            machine.evictions.popleft()
        node = machine.sched_view
        if node is None:
            node = machine.sched_view = self._build(machine)
        node.evictions = len(machine.evictions)
        return node

    def _build(self, machine: Machine) -> pts.MachineSnapshot:
        entry = self._model.types.get(machine.type)
        high = low = 0.0
        running = []
        used = machine.untracked_use
        for key, attempt in machine.attempts.items():
            if attempt.finishing or attempt.stopping:
                continue
            job = attempt.job
            used = used.plus(job.demand)
            important = job.rank >= HIGH_RANK
            if important:
                high += pts.slots_of(job.demand)
            else:
                low += pts.slots_of(job.demand)
            running.append(
                pts.RunningTask(
                    key,
                    job.demand,
                    job.rank,
                    job.team,
                    attempt.started_at if attempt.stage >= Stage.RUNNING else None,
                    job.spec.checkpoint_s,
                    attempt.stage >= Stage.FETCHING and attempt.stage != Stage.CHECKPOINTING,
                    important,
                    self.ends_at(attempt),
                    job.is_service,
                    attempt.planned_at,
                )
            )
            if job.changed_tasks is not None and self.replicas is not None:
                running[-1].group = self.replicas.group(attempt)
                running[-1].high = important or self.replicas.is_shielded(attempt)
        if self.replicas is not None:
            used = used.plus(self.replicas.reserved_on(machine))
        return pts.MachineSnapshot(
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
        if attempt.job.is_service:
            return math.inf
        return (attempt.started_at or attempt.planned_at) + attempt.job.spec.estimate_s

    def _request(self, job: Job, now: float) -> pts.Request | None:
        if job.waiting() <= 0 or self.hold_reason(job, now) is not None:
            return None
        # One that fails wherever it runs: one task at a time tells when that changes.
        count = 1 if job.is_failing and not job.is_gang else job.waiting()
        if job.spec.terms is not None:
            most = self.terms.max_starts(job)
            count = count if most is None else min(count, most)
        if self.runs is not None:
            most = self.runs.max_starts(job)
            count = count if most is None else min(count, most)
            if count <= 0:
                return None
        return self.request(job, count)

    def hold_reason(self, job: Job, now: float) -> str | None:
        """Why no task of a job with waiting tasks is planned now; None if they are."""
        if job.phase != Phase.OPEN:
            return "ended"
        if job.spec.terms is not None:
            held = self.terms.hold_reason(job)
            if held is not None:
                return held
        if self.runs is not None:
            held = self.runs.hold_reason(job)
            if held is not None:
                return held
        if now < job.retry_at:
            return "backoff"
        if job.is_failing and job.attempts:
            return "failing"
        if job.next_idle() is None:
            return "unsettled"
        return None

    def request(self, job: Job, count: int) -> pts.Request:
        """So many tasks of a job, with the rules that hold for them."""
        spec = job.spec
        deadline = math.inf if spec.deadline_s is None else job.submitted + spec.deadline_s
        order = job.submitted if job.rank >= HIGH_RANK else min(deadline, job.submitted + 1e6)
        stated = None if self.runs is None else self.runs.order_time(job)
        order = order if stated is None else stated
        if deadline < self._clock.wall() + HOPEFUL_FRACTION * spec.estimate_s:
            # Too late whatever is done: it goes behind what can still be in time.
            order += UNORDERED_S
        return pts.Request(
            job.index,
            count if job.is_gang else min(count, MAX_STARTS),
            job.demand,
            job.rank,
            # One that fails everywhere is tried where there is room: nobody is stopped for that.
            job.rank >= HIGH_RANK and not job.is_failing,
            job.team,
            job.types,
            spec.zone,
            spec.one_zone,
            (spec.tasks + 1) // 2 if spec.spread else None,
            spec.spot,
            spec.image,
            job.zones,
            job.machines_to_avoid(self._clock.now()),
            order,
            job.is_gang,
            self.wait_s(job),
            spec.image_gb,
            0 if self.classes is None else self.classes.effective_class(job),
            job.queue_position,
        )

    def run(self, shard: Shard) -> dict[int, int]:
        """Plan for a share and mark what is planned; the tasks that found no room, by job."""
        model = self._model
        requests = self.requests(shard)
        if not requests:
            return {}
        now = self._clock.now()
        snapshot = self.snapshot(shard, self.nodes(shard), requests)
        if self.classes is not None:
            self.classes.reserve_capacity(shard, snapshot)
        result = pts.plan(snapshot)
        if self.classes is not None:
            self.classes.on_plan(shard, snapshot, result)
        self._count_oldest(shard, requests, result, now)
        for stop in result.stops:
            job = model.jobs[stop.key[0]]
            assert job is not None
            attempt = job.attempts[stop.key[1]]
            self.stop(attempt, stop.wait_s)
            attempt.cost = stop.cost
            claimant = model.jobs[stop.preempted_by]
            attempt.evicted_for = None if claimant is None else claimant.id
            attempt.machine.evictions.append(now)
            log.debug("evicting %s at cost %.4f", attempt.name, stop.cost)
            shard.evicted += 1
        if result.stops:
            log.info(
                "share %d: evicting %d tasks, at a cost of %.4f at most",
                shard.index,
                len(result.stops),
                max(stop.cost for stop in result.stops),
            )
        if self.replicas is not None:
            self.replicas.carry_out(shard, result)
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

    def _count_oldest(
        self, shard: Shard, requests: list[pts.Request], result: pts.Plan, now: float
    ) -> None:
        """Share the starts of low-priority work between the oldest job and the others."""
        front = next((request for request in requests if request.oldest_waiting), None)
        low = {request.job for request in requests if request.rank < HIGH_RANK}
        for start in result.starts:
            if front is not None and start.job == front.job:
                shard.oldest_job_credit -= 1.0 / shard.oldest_job_fraction - 1.0
            elif start.job in low:
                shard.oldest_job_credit = min(shard.oldest_job_credit + 1.0, OLDEST_JOB_MAX_CREDIT)
        if front is None or front.job != shard.oldest_job:
            shard.oldest_job = None if front is None else front.job
            shard.oldest_job_since = now
        elif front.gathers_capacity and now - shard.oldest_job_since > GANG_GATHER_S:
            # It may never fit: others go on until as many of them have started.
            shard.oldest_job_credit = -OLDEST_JOB_MAX_CREDIT
            shard.oldest_job = None

    def stop(self, attempt: Attempt, wait_s: float | None = None) -> None:
        """Have an attempt stopped, with time to save if its task can and nobody is kept waiting.

        `wait_s`: how soon the work that needs the room should start.
        """
        spec = attempt.job.spec
        attempt.stopping = True
        attempt.job.mark_changed(attempt.task)
        attempt.machine.sched_view = None
        attempt.stop_sent = False
        saves = spec.checkpoint_s > 0 and (wait_s is None or spec.save_s + SAVE_SLACK_S < wait_s)
        attempt.grace_s = spec.save_s + 1.0 if saves else 0.0
        self._model.machines_to_push.add(attempt.machine.index)

    def is_free_of_work(self, machine: Machine) -> bool:
        """Whether nothing can be on the machine and nothing is meant for it."""
        return (
            not machine.attempts
            and machine.untracked_use == NOTHING
            and not machine.command_in_flight
            # An empty machine that a move has reserved was passed on before it was taken.
            and (self.replicas is None or self.replicas.reserved_on(machine) == NOTHING)
        )
