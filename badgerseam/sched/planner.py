"""Plans the shards that this controller owns: builds snapshots, runs PTS and applies the plans."""

from __future__ import annotations

import logging
import math

from badgerseam.batch.terms import TermsRules
from badgerseam.clock import Clock
from badgerseam.model.job import HIGH_RANK, Attempt, Job, Phase, Stage
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.model.resources import NOTHING
from badgerseam.model.state import Shard
from badgerseam.sched import pts
from badgerseam.sched.machine_snapshots import build_machine_snapshot, unusable_reason
from badgerseam.sched.oldest_job import count_starts, find_oldest_request
from badgerseam.sched.policies import ClassPolicy, ReplicaPolicy, RunPolicy
from badgerseam.tunables import Tunables

log = logging.getLogger("badgerseam.sched")

SAVE_SLACK_S = 1.5
"""Seconds from the end of a checkpoint to the start of the next task: one heartbeat, the start of
the task and the fetch of its image."""
MIN_ESTIMATE_FRACTION = 0.5
"""Minimum fraction of its run time estimate that a job is assumed to need when its deadline is
checked, since estimates are inaccurate."""
LATE_ORDER_OFFSET_S = 1e7
"""Offset that orders jobs that can no longer meet their deadline behind those that can."""
NO_DEADLINE_S = 1e6
"""Deadline, in seconds after submission, by which jobs without a deadline are ordered."""
MAX_STARTS = 400
"""Most tasks of a job planned in one round, so that a job with 100,000 tasks does not block the
event loop. The next round plans more while the placements of this one are being written."""


class Planner:
    """Plans the shards that this controller owns.

    `classes`, `runs` and `replicas` are set by the components that implement them, if in use.
    """

    def __init__(self, model: Model, tunables: Tunables) -> None:
        self._model = model
        self.terms = TermsRules(model)
        self._clock: Clock = model.clock
        self._tunables = tunables
        self.classes: ClassPolicy | None = None
        self.runs: RunPolicy | None = None
        self.replicas: ReplicaPolicy | None = None
        self._wait_s_by_class: dict[str | None, float] = {}
        for objective in model.settings.params.objectives:
            if objective.kind in ("wait", "guarantee") and objective.within_s is not None:
                self._wait_s_by_class[objective.job_class] = objective.within_s

    def wait_s(self, job: Job) -> float | None:
        """Returns within how many seconds the objectives want the job's tasks to start, or None."""
        stated = [
            self._wait_s_by_class[job_class]
            for job_class in (job.spec.job_class, None)
            if job_class in self._wait_s_by_class
        ]
        return min(stated, default=None)

    # ---- snapshots ----

    def snapshot(
        self, shard: Shard, nodes: list[pts.MachineSnapshot], requests: list[pts.Request]
    ) -> pts.Snapshot:
        """Returns the input of PTS for a shard."""
        model = self._model
        teams = {
            index: pts.TeamUse(model.usage(index), team.guarantee, team.limit)
            for index, team in enumerate(model.teams)
            if team.shard == shard.index
        }
        return pts.Snapshot(
            nodes=nodes,
            requests=requests,
            teams=teams,
            finished=shard.finished,
            evicted=shard.evicted,
            beta=self._tunables.beta,
            window_s=self._tunables.window_s,
            now=self._clock.now(),
            has_gangs=self.replicas is not None,
        )

    def nodes(self, shard: Shard) -> list[pts.MachineSnapshot]:
        """Returns snapshots of the shard's machines on which tasks may be placed now."""
        now = self._clock.now()
        return [
            self.node(machine, now)
            for machine in self._model.shard_machines[shard.index].values()
            if self.is_usable(machine, now)
        ]

    def is_usable(self, machine: Machine, now: float) -> bool:
        """Whether tasks may be placed on the machine now."""
        return self.unusable_reason(machine, now) is None

    def unusable_reason(self, machine: Machine, now: float) -> str | None:
        """Returns why no tasks may be placed on the machine now; None if they may."""
        return unusable_reason(machine, now, self._model.settings.params.workers.report_s)

    def node(self, machine: Machine, now: float) -> pts.MachineSnapshot:
        """Returns a snapshot of a machine, which is rebuilt only after the machine has changed."""
        while machine.evictions and now - machine.evictions[0] > self._tunables.window_s:
            machine.evictions.popleft()
        node = machine.cached_snapshot
        if node is None:
            node = build_machine_snapshot(machine, self._model.types, self.replicas)
            machine.cached_snapshot = node
        node.evictions = len(machine.evictions)
        return node

    # ---- requests ----

    def requests(self, shard: Shard) -> list[pts.Request]:
        """Returns requests for all waiting tasks of the shard."""
        now = self._clock.now()
        if self.runs is not None:
            self.runs.begin_round(shard.index, now)
        requests: list[pts.Request] = []
        for job in self._model.open_jobs[shard.index].values():
            if job.changed_tasks is not None and self.replicas is not None:
                requests += self.replicas.requests(job, now)
            elif (request := self._waiting_request(job, now)) is not None:
                requests.append(request)
        oldest = find_oldest_request(self._model, shard, requests, self._tunables.begin_s)
        if oldest is not None:
            oldest.oldest_waiting = True
        return requests

    def _waiting_request(self, job: Job, now: float) -> pts.Request | None:
        """Returns a request for a job's waiting tasks, or None if none of them may start now."""
        if job.waiting() <= 0 or self.hold_reason(job, now) is not None:
            return None
        # For a job that fails on every machine, a single task at a time is enough to find out
        # whether it still does.
        count = 1 if job.is_failing and not job.is_gang else job.waiting()
        if job.spec.terms is not None:
            max_starts = self.terms.max_starts(job)
            count = count if max_starts is None else min(count, max_starts)
        if self.runs is not None:
            max_starts = self.runs.max_starts(job)
            count = count if max_starts is None else min(count, max_starts)
            if count <= 0:
                return None
        return self.request(job, count)

    def hold_reason(self, job: Job, now: float) -> str | None:
        """Returns why none of a job's waiting tasks may be planned now; None if they may."""
        if job.phase != Phase.OPEN:
            return "ended"
        if job.spec.terms is not None:
            reason = self.terms.hold_reason(job)
            if reason is not None:
                return reason
        if self.runs is not None:
            reason = self.runs.hold_reason(job)
            if reason is not None:
                return reason
        if now < job.retry_at:
            return "backoff"
        if job.is_failing and job.attempts:
            return "failing"
        if job.next_idle() is None:
            return "unsettled"
        return None

    def request(self, job: Job, count: int) -> pts.Request:
        """Returns a request for `count` tasks of a job, with the constraints that apply to them."""
        spec = job.spec
        return pts.Request(
            job=job.index,
            count=count if job.is_gang else min(count, MAX_STARTS),
            demand=job.demand,
            rank=job.rank,
            # A job that fails on every machine may only use free capacity and evicts nothing.
            high=job.rank >= HIGH_RANK and not job.is_failing,
            team=job.team,
            types=job.types,
            zone=spec.zone,
            one_zone=spec.one_zone,
            zone_limit=(spec.tasks + 1) // 2 if spec.spread else None,
            spot=spec.spot,
            image=spec.image,
            zone_counts=job.zones,
            avoided_machines=job.machines_to_avoid(self._clock.now()),
            order=self._order(job),
            gang=job.is_gang,
            wait_s=self.wait_s(job),
            image_gb=spec.image_gb,
            priority_class=0 if self.classes is None else self.classes.effective_class(job),
            queue_position=job.queue_position,
        )

    def _order(self, job: Job) -> float:
        """Returns the sort key of a job within its rank: a time of day, earliest first."""
        spec = job.spec
        deadline = math.inf if spec.deadline_s is None else job.submitted + spec.deadline_s
        if job.rank >= HIGH_RANK:
            order = job.submitted
        else:
            order = min(deadline, job.submitted + NO_DEADLINE_S)
        stated = None if self.runs is None else self.runs.order_time(job)
        if stated is not None:
            order = stated
        if deadline < self._clock.wall() + MIN_ESTIMATE_FRACTION * spec.estimate_s:
            # The deadline can no longer be met: order the job behind those that can meet theirs.
            order += LATE_ORDER_OFFSET_S
        return order

    # ---- plans ----

    def run(self, shard: Shard) -> dict[int, int]:
        """Plans a shard and applies the plan; returns the number of unplaced tasks by job."""
        requests = self.requests(shard)
        if not requests:
            return {}
        now = self._clock.now()
        snapshot = self.snapshot(shard, self.nodes(shard), requests)
        if self.classes is not None:
            self.classes.reserve_capacity(shard, snapshot)
        plan = pts.plan(snapshot)
        if self.classes is not None:
            self.classes.on_plan(shard, snapshot, plan)
        count_starts(shard, requests, plan, now)
        self._evict_victims(shard, plan, now)
        if self.replicas is not None:
            self.replicas.carry_out(shard, plan)
        self._place_tasks(plan, now)
        return plan.waiting

    def _evict_victims(self, shard: Shard, plan: pts.Plan, now: float) -> None:
        model = self._model
        for stop in plan.stops:
            job = model.jobs[stop.key[0]]
            assert job is not None
            attempt = job.attempts[stop.key[1]]
            self.stop(attempt, stop.wait_s)
            attempt.cost = stop.cost
            preempting = model.jobs[stop.preempted_by]
            attempt.evicted_for = None if preempting is None else preempting.id
            attempt.machine.evictions.append(now)
            log.debug("task preempted attempt=%s cost=%.4f", attempt.name, stop.cost)
            shard.evicted += 1
        if plan.stops:
            log.info(
                "tasks preempted shard=%d tasks=%d max_cost=%.4f",
                shard.index,
                len(plan.stops),
                max(stop.cost for stop in plan.stops),
            )

    def _place_tasks(self, plan: pts.Plan, now: float) -> None:
        model = self._model
        for start in plan.starts:
            job = model.jobs[start.job]
            assert job is not None
            task = job.next_idle()
            if task is None:
                continue
            job.idle.pop()
            machine = model.machines[start.node]
            model.place(job, task, job.tries.get(task, 0) + 1, machine, Stage.PLANNED)
            machine.idle_since = now

    def stop(self, attempt: Attempt, wait_s: float | None = None) -> None:
        """Stops an attempt, with a grace period for a checkpoint if the preempting task can wait.

        `wait_s`: seconds within which the preempting task should start; None if there is no such
        objective.
        """
        spec = attempt.job.spec
        attempt.stopping = True
        attempt.job.mark_changed(attempt.task)
        attempt.machine.cached_snapshot = None
        attempt.stop_sent = False
        may_checkpoint = spec.checkpoint_s > 0 and (
            wait_s is None or spec.save_s + SAVE_SLACK_S < wait_s
        )
        attempt.grace_s = spec.save_s + 1.0 if may_checkpoint else 0.0
        self._model.machines_to_push.add(attempt.machine.index)

    def is_free_of_work(self, machine: Machine) -> bool:
        """Whether nothing can be running on the machine and no work is destined for it."""
        return (
            not machine.attempts
            and machine.untracked_use == NOTHING
            and not machine.command_in_flight
            # Without this check, an empty machine reserved for a replica move could be transferred
            # to another shard before the replica uses it.
            and (self.replicas is None or self.replicas.reserved_on(machine) == NOTHING)
        )
