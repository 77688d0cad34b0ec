"""Keeps the replicas that span machines, for the shares that this controller owns.

Only replicas of which something has changed are looked at, or whose time has come; what a plan has
placed for them is made durable with their note in one transaction (`store/task_log.py`).
"""

from __future__ import annotations

import heapq
import logging
from dataclasses import replace

from badgerseam.levels.table import Behaviour
from badgerseam.model.job import FINISHED, IDLE, Attempt, AttemptHost, Job, Phase, Stage
from badgerseam.model.model import Model
from badgerseam.model.resources import Resources
from badgerseam.model.state import Shard
from badgerseam.options.replicas import ReplicasOptions
from badgerseam.replicas.observed_state import MemberObserver
from badgerseam.replicas.phases import (
    REPLICA_PHASE_NAMES,
    Decision,
    Intent,
    ObservedMembers,
    PhaseTimeouts,
    ReplicaPhase,
    decide,
)
from badgerseam.replicas.records import ReplicaState, ReplicatedJob, from_note, to_note
from badgerseam.replicas.requests import ReplicaRequests
from badgerseam.replicas.reservations import Reservations
from badgerseam.replicas.shapes import ReplicaShape, shape_of
from badgerseam.sched.planner import MAX_STARTS, SAVE_SLACK_S, Planner
from badgerseam.sched.snapshot import GangStart, Plan, Request
from badgerseam.wire.state import StoredReplica

log = logging.getLogger("badgerseam.replicas")

IDLE_REVIEW_INTERVAL_S = 5.0
"""How long a note that changes nothing for a new owner waits for a page that is written anyway."""
MAX_REVIEWS = 200
"""Replicas whose time has come that are looked at in one go; the others have their turn next."""
REVIEW_INTERVAL_S = 1.0
"""Between looks at a replica with a machine that hangs."""
MOVE_REVIEW_INTERVAL_S = 0.1
PROMPT = frozenset({ReplicaPhase.MOVING, ReplicaPhase.STOPPING})
"""What has to be durable for a new owner to finish it."""
AFTER_MOVE = frozenset({ReplicaPhase.FORMING, ReplicaPhase.REPAIRING})
"""A replica in these is still down for its move."""


class ReplicaReconciler:
    """Callers hold the model's lock."""

    def __init__(self, model: Model, planner: Planner, options: ReplicasOptions) -> None:
        self._model = model
        self._planner = planner
        self._options = options
        self._clock = model.clock
        self._reservations = Reservations(model)
        self._observer = MemberObserver(model, self._reservations)
        self._requests = ReplicaRequests(model, planner, self._reservations)
        self._entries: dict[int, ReplicatedJob] = {}
        self._terms: dict[int, int] = {}
        """The terms under which shares were last looked at."""
        self._due: list[tuple[float, int, int]] = []
        self._lazy: dict[int, tuple[Job, float]] = {}
        """Jobs with notes that wait, and until when."""
        self._drained_at: dict[int, float] = {}
        """Since when machines are drained without a notice."""
        model.spanning_classes = frozenset(options.classes)
        planner.replicas = self

    # ---- driving ----

    def reconcile(self) -> None:
        """Look at what has changed or is due; called often."""
        model = self._model
        for shard in model.shards:
            term = shard.term if shard.owned else -1
            if self._terms.get(shard.index, -1) != term:
                self._terms[shard.index] = term
                self._forget(shard)
        now = self._clock.now()
        if model.changed_tasks:
            for job_index, number in self._changed():
                job = model.jobs[job_index]
                entry = None if job is None else self._entry(job)
                if entry is not None:
                    for each in entry.replicas if number < 0 else (number,):
                        self._review(entry, entry.replicas[each])
        looks = 0
        while self._due and self._due[0][0] <= now and looks < MAX_REVIEWS:
            due, job_index, number = heapq.heappop(self._due)
            entry = self._entries.get(job_index)
            if entry is None or number not in entry.replicas:
                continue
            if entry.replicas[number].due == due and self._entry(entry.job) is entry:
                looks += 1
                entry.replicas[number].due = None
                self._review(entry, entry.replicas[number])
        for index, (job, until) in list(self._lazy.items()):
            if until <= now:
                self._write_soon(index, job)

    def _changed(self) -> list[tuple[int, int]]:
        """Jobs and replicas of which something has changed since the last look."""
        model = self._model
        found: set[tuple[int, int]] = set()
        for job_index, task in model.changed_tasks:
            job = model.jobs[job_index]
            entry = self._entries.get(job_index)
            if entry is not None and (job is not entry.job or job.phase != Phase.OPEN):
                self._drop(job_index)
            if job is None or job.phase != Phase.OPEN or not model.shards[job.shard].owned:
                continue
            shape = self._shape(job)
            if shape is not None:
                found.add((job_index, -1 if task < 0 else shape.number(task)))
        model.changed_tasks.clear()
        return sorted(found)

    def _forget(self, shard: Shard) -> None:
        """The share has changed hands: all is read anew from rows and notes."""
        for index, entry in list(self._entries.items()):
            if entry.job.shard == shard.index:
                self._drop(index)
        if shard.owned:
            for job in self._model.open_jobs[shard.index].values():
                if job.changed_tasks is not None:
                    self._model.changed_tasks.add((job.index, -1))

    def _drop(self, index: int) -> None:
        entry = self._entries.pop(index)
        for number in entry.replicas:
            self._reservations.reserve((index, number), [])
        self._reservations.drop_job(index, entry.shape.total)
        self._lazy.pop(index, None)

    def _entry(self, job: Job) -> ReplicatedJob | None:
        """A job of an owned share; None if it has ended, or its share is not ours."""
        shard = self._model.shards[job.shard]
        entry = self._entries.get(job.index)
        if entry is not None and (
            entry.job is not job
            or not shard.owned
            or entry.term != shard.term
            or job.phase != Phase.OPEN
        ):
            self._drop(job.index)
            entry = None
        if (
            entry is None
            and shard.owned
            and job.phase == Phase.OPEN
            and job.changed_tasks is not None
        ):
            shape = shape_of(self._options, job.spec)
            if shape is None:
                return None
            replicas = {
                number: from_note(self._clock, job, shape, number) for number in range(shape.count)
            }
            entry = self._entries[job.index] = ReplicatedJob(job, shape, shard.term, replicas)
            for replica in replicas.values():
                if replica.intent.phase == ReplicaPhase.MOVING:
                    self._reserve(entry, replica)
                self._review(entry, replica)
        return entry

    # ---- one replica ----

    def _review(self, entry: ReplicatedJob, replica: ReplicaState) -> None:
        """Bring a replica's intent in line with what is seen, and do what follows."""
        now = self._clock.now()
        job, tasks = entry.job, entry.shape.tasks(replica.number)
        rules = entry.shape.rules
        if self._observer.is_evacuated(job, tasks):
            # Its room is taken for other work, as by an eviction: all or none.
            self._stop_members(entry, replica.number, 0.0)
        for _ in range(3):
            moving = replica.intent.phase == ReplicaPhase.MOVING
            seen = self._observer.observe(
                job,
                tasks,
                not moving or self._durable(entry, replica),
                not moving or self._reservation_is_usable(entry, replica),
                self._may_move(entry, replica),
            )
            bounds = PhaseTimeouts(rules.form_s, rules.degraded_s)
            found = decide(replica.intent, seen, bounds, now)
            self._apply_decision(entry, replica, found, seen)
            for task in sorted(found.stop):
                self._planner.stop(job.attempts[task])
            if not found.move_into_reservation:
                break
            self._move_into_reservation(entry, replica)
        if found.launch:
            for task in seen.placed:
                if job.attempts[task].held_back:
                    job.attempts[task].held_back = False
                    self._model.machines_to_push.add(job.attempts[task].machine.index)
        self._set_due(entry, replica, found, seen, now)

    def _stop_members(self, entry: ReplicatedJob, number: int, wait_s: float | None = None) -> None:
        for task in entry.shape.tasks(number):
            attempt = entry.job.attempts.get(task)
            if attempt is not None and not attempt.stopping and not attempt.finishing:
                self._planner.stop(attempt, wait_s)

    def _apply_decision(
        self, entry: ReplicatedJob, replica: ReplicaState, found: Decision, seen: ObservedMembers
    ) -> None:
        """Make a decision's intent the replica's, with its note and the room kept for it."""
        before, intent, number = replica.intent, found.intent, replica.number
        replica.want, replica.seek = found.to_place, found.to_reserve
        if found.to_place or found.to_reserve:
            entry.wanting.add(number)
            self._model.shards_to_plan.add(entry.job.shard)
        else:
            entry.wanting.discard(number)
        if intent != before:
            replica.intent = intent
            self._mark_note_due(entry, replica)
        if intent.phase != before.phase:
            self._log_change(entry, replica, before)
            for task in seen.present:
                # What of it may be a victim depends on the phase.
                entry.job.attempts[task].machine.sched_view = None
            if intent.phase not in AFTER_MOVE and intent.phase != ReplicaPhase.MOVING:
                entry.moving.discard(number)
        if intent.phase == ReplicaPhase.DEGRADED:
            self._reservations.reserve(
                (entry.job.index, number), self._missing_members(entry, seen)
            )
        elif intent.phase != ReplicaPhase.MOVING:
            self._reservations.reserve((entry.job.index, number), [])

    def _log_change(self, entry: ReplicatedJob, replica: ReplicaState, before: Intent) -> None:
        intent = replica.intent
        members = " ".join(map(str, sorted(intent.members)[:16]))
        log.info(
            "%s replica %d: %s after %s for %.1f s, incarnation %d%s%s",
            entry.job.id,
            replica.number,
            REPLICA_PHASE_NAMES[intent.phase],
            REPLICA_PHASE_NAMES[before.phase],
            self._clock.now() - before.began_at if before.began_at else 0.0,
            intent.generation,
            f", members {members}" if members else "",
            f", to {' '.join(sorted(set(intent.targets)))}" if intent.targets else "",
        )

    def _missing_members(self, entry: ReplicatedJob, seen: ObservedMembers) -> list[int]:
        """Where members have left room that nobody else is to fill: on machines that go on."""
        now, job = self._clock.now(), entry.job
        found = []
        for task in sorted(seen.absent):
            machine = self._reservations.last_machine(job, task)
            if (
                machine is not None
                and machine.shard == job.shard
                and machine.index not in job.machines_to_avoid(now)
                and self._planner.usable(machine, now)
            ):
                found.append(machine.index)
        return found

    def _may_move(self, entry: ReplicatedJob, replica: ReplicaState) -> bool:
        others = len(entry.moving - {replica.number})
        return others < entry.shape.rules.moves and self._model.is_active(Behaviour.NOTES)

    def _durable(self, entry: ReplicatedJob, replica: ReplicaState) -> bool:
        """Whether the state service holds the replica's latest note."""
        job = entry.job
        key = (StoredReplica, replica.number)
        page = self._model.pages[job.shard].get(job.notes_page.get(key, -1))
        rows = None if page is None else page.jobs.get(job.id)
        return rows is not None and job.notes.get(key) in rows.notes

    def _set_due(
        self,
        entry: ReplicatedJob,
        replica: ReplicaState,
        found: Decision,
        seen: ObservedMembers,
        now: float,
    ) -> None:
        times = [] if found.due is None else [found.due]
        if seen.unresponsive:
            times.append(now + REVIEW_INTERVAL_S)
        if replica.intent.phase == ReplicaPhase.MOVING:
            times.append(now + MOVE_REVIEW_INTERVAL_S)
        times += [
            self._observer.unresponsive_at(entry.job.attempts[task].machine)
            for task in seen.present - seen.unresponsive
        ]
        due = max(min(times), now + MOVE_REVIEW_INTERVAL_S) if times else None
        # What is in the heap and comes sooner looks, and sets this again.
        if due is not None and (replica.due is None or due < replica.due):
            replica.due = due
            heapq.heappush(self._due, (due, entry.job.index, replica.number))

    # ---- notes ----

    def _mark_note_due(self, entry: ReplicatedJob, replica: ReplicaState) -> None:
        job = entry.job
        job.add_note(to_note(self._clock, job, replica))
        if replica.intent.phase in PROMPT:
            self._write_soon(job.index, job)
        else:
            self._lazy.setdefault(job.index, (job, self._clock.now() + IDLE_REVIEW_INTERVAL_S))

    def _write_soon(self, index: int, job: Job) -> None:
        self._lazy.pop(index, None)
        if self._model.jobs[index] is job:
            self._model.shards[job.shard].notes_due.add(index)

    # ---- moves ----

    def _reserve(self, entry: ReplicatedJob, replica: ReplicaState) -> None:
        """Keep what a move has reserved, as far as it is there."""
        found = [self._model.machine(name) for name in replica.intent.targets]
        shard = entry.job.shard
        machines = [m.index for m in found if m is not None and m.shard == shard]
        self._reservations.reserve((entry.job.index, replica.number), machines)
        entry.moving.add(replica.number)

    def _reservation_is_usable(self, entry: ReplicatedJob, replica: ReplicaState) -> bool:
        """Whether every machine that a move has reserved can still be used."""
        now = self._clock.now()
        found = [self._model.machine(name) for name in replica.intent.targets]
        kept = self._reservations.machines_for((entry.job.index, replica.number))
        # After a takeover they have not been heard yet, which is no reason to give a move up.
        return len(kept) == len(found) > 0 and all(
            machine is not None
            and self._planner.unusable_reason(machine, now) in (None, "not_heard")
            and not self._observer.is_unresponsive(machine)
            for machine in found
        )

    def _move_into_reservation(self, entry: ReplicatedJob, replica: ReplicaState) -> None:
        """All that moves goes into the room that is reserved for it."""
        intent, job = replica.intent, entry.job
        nodes = list(self._reservations.machines_for((job.index, replica.number)))
        self._reservations.reserve((job.index, replica.number), [])
        tasks = [task for task in sorted(intent.members) if job.status[task] == IDLE]
        self._place(entry, replica, tasks, nodes)

    def _place(
        self, entry: ReplicatedJob, replica: ReplicaState, tasks: list[int], nodes: list[int]
    ) -> None:
        job, model = entry.job, self._model
        for task, node in zip(tasks, nodes, strict=False):
            if task in job.idle:
                job.idle.remove(task)
            machine = model.machines[node]
            attempt = model.place(job, task, job.tries.get(task, 0) + 1, machine, Stage.PLANNED)
            attempt.replica_index = replica.number
            machine.idle_since = self._clock.now()
        # What else waits for a page goes with this one.
        for index, (other, _) in list(self._lazy.items()):
            if other.shard == job.shard:
                self._write_soon(index, other)

    # ---- for the plan ----

    def reserved_on(self, machine: AttemptHost) -> Resources:
        """Room that is kept on a machine for members that are to come."""
        return self._reservations.reserved_on(machine)

    def group(self, attempt: Attempt) -> tuple[int, int]:
        """The replica of an attempt."""
        shape = self._shape(attempt.job)
        return attempt.job.index, 0 if shape is None else shape.number(attempt.task)

    def _shape(self, job: Job) -> ReplicaShape | None:
        entry = self._entries.get(job.index)
        if entry is not None and entry.job is job:
            return entry.shape
        return shape_of(self._options, job.spec)

    def is_shielded(self, attempt: Attempt) -> bool:
        """Whether it is no victim of a claim: its replica is not up, and would wait for longer."""
        return self.step_of(attempt.job, attempt.task) not in (
            None,
            ReplicaPhase.UP,
            ReplicaPhase.STOPPING,
        )

    def step_of(self, job: Job, task: int) -> ReplicaPhase | None:
        """The phase of a task's replica, if this controller acts for it."""
        entry = self._entries.get(job.index)
        if entry is None or entry.job is not job:
            return None
        return entry.replicas[entry.shape.number(task)].intent.phase

    def requests(self, job: Job, now: float) -> list[Request]:
        """What the job's replicas need now."""
        shape = self._shape(job)
        if job.phase != Phase.OPEN or shape is None:
            return []
        if job.waiting() > 0 and self._planner.hold_reason(job, now) is not None:
            return []
        if not self._model.shards[job.shard].owned:
            return self._requests.from_records(job, shape)
        entry = self._entry(job)
        if entry is None:
            return []
        found: list[Request] = []
        tasks = 0
        for number in sorted(entry.wanting):
            replica = entry.replicas[number]
            if not replica.want and not self._may_move(entry, replica):
                continue
            needed = replica.want or replica.seek
            if found and tasks + len(needed) > MAX_STARTS:
                break
            tasks += len(needed)
            degraded = replica.intent.phase == ReplicaPhase.DEGRADED and self._may_move(
                entry, replica
            )
            found.append(
                self._requests.request(job, shape, number, needed, not replica.want, degraded)
            )
        return found

    def carry_out(self, shard: Shard, plan: Plan) -> None:
        """Place what the plan has placed whole, and evict replicas whole."""
        model = self._model
        evicted: set[tuple[int, int]] = set()
        for stop in plan.stops:
            job = model.jobs[stop.key[0]]
            if job is not None and job.changed_tasks is not None:
                evicted.add(self.group(job.attempts[stop.key[1]]))
        for index, number in sorted(evicted):
            job = model.jobs[index]
            entry = None if job is None else self._entry(job)
            if entry is not None:
                # Members on machines that take no tasks are in no plan.
                self._stop_members(entry, number)
                self._review(entry, entry.replicas[number])
        for whole in plan.gang_starts:
            job = model.jobs[whole.job]
            entry = None if job is None else self._entry(job)
            if entry is not None:
                self._carry_out(entry, whole)

    def _carry_out(self, entry: ReplicatedJob, whole: GangStart) -> None:
        replica = entry.replicas[whole.number]
        if not whole.seek:
            due = [task for task in replica.want if entry.job.status[task] == IDLE]
            if len(due) == len(whole.nodes):
                self._place(entry, replica, sorted(due), whole.nodes)
                self._review(entry, replica)
            return
        members = replica.want or replica.seek
        if whole.anew:
            tasks = entry.shape.tasks(whole.number)
            members = frozenset(task for task in tasks if entry.job.status[task] != FINISHED)
        # Another replica of the job may have been given its turn by the same plan.
        if len(members) != len(whole.nodes) or not self._may_move(entry, replica):
            return
        before = replica.intent
        names = tuple(self._model.machines[node].name for node in whole.nodes)
        replica.intent = replace(
            before,
            phase=ReplicaPhase.MOVING,
            began_at=self._clock.now(),
            members=members,
            targets=names,
        )
        self._log_change(entry, replica, before)
        self._mark_note_due(entry, replica)
        self._reserve(entry, replica)
        self._review(entry, replica)

    # ---- for machines that are given up ----

    def keeps_on_draining(self, attempt: Attempt) -> bool:
        """Whether a member stays on its draining machine for now, since its replica is to move
        whole."""
        job, machine = attempt.job, attempt.machine
        if job.changed_tasks is None or machine.given_up or machine.evacuate_to is not None:
            return False
        entry = self._entry(job)
        if entry is None or not self._model.is_active(Behaviour.NOTES):
            return False
        job.mark_changed(attempt.task)
        if self.step_of(job, attempt.task) not in (ReplicaPhase.UP, ReplicaPhase.MOVING):
            return False
        now = self._clock.now()
        if machine.reclaim_at is not None:
            # A notice shorter than the move: it saves what can be saved, and what the replica lacks
            # then is repaired.
            saves_s = job.spec.save_s if job.spec.checkpoint_s > 0 else 0.0
            return now < machine.reclaim_at - saves_s - SAVE_SLACK_S
        if len(self._drained_at) > 2 * len(self._model.machines):
            self._drained_at.clear()
        began = self._drained_at.setdefault(machine.index, now)
        return entry.shape.rules.moves > 0 and now < began + entry.shape.rules.drain_s
