"""Takes the snapshot of a share, and carries out the plan."""

from __future__ import annotations

import logging
import math

from badgerseam.clock import Clock
from badgerseam.model.job import HIGH_RANK, Attempt, Job, Phase, Stage
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model, Share
from badgerseam.model.resources import NOTHING
from badgerseam.sched import pts
from badgerseam.settings import Tunables

log = logging.getLogger("badgerseam.sched")

SAVE_SLACK_S = 1.5
"""Between the end of a save and the start of the next task: a report, a launch, an image."""
HOPEFUL = 0.5
"""The part of its estimate in which a task may well be done, estimates being as wrong as that."""
LATE_S = 1e7
MOST_STARTS = 400
"""Tasks planned at once; more are planned in the next round."""


class Planner:
    """Plans for the shares that this controller owns."""

    def __init__(self, model: Model, tunables: Tunables) -> None:
        self._model = model
        self._clock: Clock = model.clock
        self._tunables = tunables
        self._waits: dict[str | None, float] = {}
        for objective in model.settings.params.objectives:
            if objective.kind in ("wait", "guarantee") and objective.within_s is not None:
                self._waits[objective.job_class] = objective.within_s

    def wait_s(self, job: Job) -> float | None:
        """How soon the operator wants tasks of the job started, if that was said."""
        stated = [self._waits[key] for key in (job.spec.job_class, None) if key in self._waits]
        return min(stated, default=None)

    def snapshot(self, share: Share) -> pts.Snapshot:
        """What PTS needs to know; pure data."""
        now = self._clock.now()
        model = self._model
        window = self._tunables.window_s
        nodes = []
        for machine in model.machines.values():
            if machine.share == share.index and self.usable(machine, now):
                nodes.append(self.node(machine, now))
        requests = []
        teams = {
            index: pts.TeamUse(model.usage(index), team.guarantee, team.limit)
            for index, team in enumerate(model.teams)
            if team.share == share.index
        }
        for job in model.open_jobs[share.index].values():
            request = self._request(job, now)
            if request is not None:
                requests.append(request)
        return pts.Snapshot(
            nodes,
            requests,
            teams,
            share.finished,
            share.evicted,
            self._tunables.beta,
            window,
        )

    def usable(self, machine: Machine, now: float) -> bool:
        """Whether tasks may be placed on the machine now."""
        return (
            machine.session > 0
            and not machine.draining
            and not machine.dropped
            and not machine.lost
            and machine.total.cpus > 0
            and now - machine.heard_at < 3 * self._model.settings.params.workers.report_s + 0.5
            and machine.failures < 3
        )

    def node(self, machine: Machine, now: float) -> pts.Node:
        """A machine as PTS sees it."""
        while machine.evictions and now - machine.evictions[0] > self._tunables.window_s:
            machine.evictions.popleft()
        entry = self._model.types.get(machine.type)
        high = low = 0.0
        running = []
        used = machine.strays
        for key, attempt in machine.attempts.items():
            if attempt.finishing or attempt.stopping:
                continue
            need = attempt.job.need
            used = used.plus(need)
            if attempt.job.rank >= HIGH_RANK:
                high += pts.slots_of(need)
            else:
                low += pts.slots_of(need)
            running.append(
                pts.Running(
                    key,
                    need,
                    attempt.job.rank,
                    attempt.job.team,
                    self.waste(attempt, now),
                    attempt.stage >= Stage.FETCHING and attempt.stage != Stage.SAVING,
                    attempt.job.rank >= HIGH_RANK,
                    self.ends_in_s(attempt, now),
                )
            )
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

    def waste(self, attempt: Attempt, now: float) -> float:
        """Slots times the time since the last checkpoint that the declared interval implies."""
        if attempt.stage < Stage.RUNNING:
            return 0.0
        ran = now - attempt.started_at
        interval = attempt.job.spec.checkpoint_s
        since = math.fmod(ran, interval) if interval > 0 else ran
        return pts.slots_of(attempt.job.need) * since

    def ends_in_s(self, attempt: Attempt, now: float) -> float:
        """How long the task should go on, by its owner's estimate; endless once that is over."""
        if attempt.job.service:
            return math.inf
        since = attempt.started_at or attempt.planned_at
        left = since + attempt.job.spec.estimate_s - now
        return left if left > 0 else math.inf

    def _request(self, job: Job, now: float) -> pts.Request | None:
        if job.phase != Phase.OPEN or job.next_idle() is None or now < job.retry_at:
            return None
        count = job.waiting()
        if job.errors >= 6:
            # Fails wherever it runs: one task at a time tells when that changes.
            count = min(count, count if job.gang else 1) if not job.attempts else 0
        if count <= 0:
            return None
        spec = job.spec
        zones: dict[str, int] = {}
        for attempt in job.attempts.values():
            if not attempt.finishing:
                zone = attempt.machine.zone
                zones[zone] = zones.get(zone, 0) + 1
        # A finished task of an array is in no zone any more.
        deadline = math.inf if spec.deadline_s is None else job.submitted + spec.deadline_s
        order = job.submitted if job.rank >= HIGH_RANK else min(deadline, job.submitted + 1e6)
        if deadline < self._clock.wall() + HOPEFUL * spec.estimate_s:
            # Too late whatever is done: it goes behind what can still be in time.
            order += LATE_S
        return pts.Request(
            job.index,
            count if job.gang else min(count, MOST_STARTS),
            job.need,
            job.rank,
            job.rank >= HIGH_RANK,
            job.team,
            job.types,
            spec.zone,
            spec.one_zone,
            (spec.tasks + 1) // 2 if spec.spread else None,
            spec.spot,
            spec.image,
            zones,
            job.shunned if len(job.shunned) < 4 else set(),
            order,
            job.gang,
            self.wait_s(job),
            spec.image_gb,
        )

    def run(self, share: Share) -> dict[int, int]:
        """Plan for a share and mark what is planned; the tasks that found no room, by job."""
        model = self._model
        snapshot = self.snapshot(share)
        if not snapshot.requests:
            return {}
        result = pts.plan(snapshot)
        now = self._clock.now()
        for stop in result.stops:
            job = model.jobs[stop.key[0]]
            assert job is not None
            attempt = job.attempts[stop.key[1]]
            self.stop(attempt, stop.wait_s)
            attempt.machine.evictions.append(now)
            log.info("evicting %s at cost %.4f", attempt.name, stop.cost)
            share.evicted += 1
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

    def stop(self, attempt: Attempt, wait_s: float | None = None) -> None:
        """Have an attempt stopped, with time to save if its task can and nobody is kept waiting.

        `wait_s`: how soon the work that needs the room should start.
        """
        spec = attempt.job.spec
        attempt.stopping = True
        attempt.stop_sent = False
        saves = spec.checkpoint_s > 0 and (wait_s is None or spec.save_s + SAVE_SLACK_S < wait_s)
        attempt.grace_s = spec.save_s + 1.0 if saves else 0.0
        self._model.pushes.add(attempt.machine.index)

    def free_of_work(self, machine: Machine) -> bool:
        """Whether nothing can be on the machine and nothing is meant for it."""
        return not machine.attempts and machine.strays == NOTHING and not machine.busy
