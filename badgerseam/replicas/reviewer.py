"""Reviews single replicas: observes the members, decides, and carries out the decision.

It also carries out what a plan has decided for a replica: the placement of its members, or a move.
"""

from __future__ import annotations

import logging
from dataclasses import replace

from badgerseam.model.job import FINISHED, IDLE, Job, Stage
from badgerseam.model.model import Model
from badgerseam.replicas.deferred_notes import DeferredNotes
from badgerseam.replicas.moves import ReplicaMoves
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
from badgerseam.replicas.records import ReplicaState, ReplicatedJob, to_note
from badgerseam.replicas.reservations import Reservations
from badgerseam.replicas.review_schedule import ReviewSchedule, next_review_at
from badgerseam.sched.planner import Planner
from badgerseam.sched.snapshot import GangStart

log = logging.getLogger("badgerseam.replicas")

MAX_DECISIONS_PER_REVIEW = 3
"""The maximum number of decisions in one review. A decision that places members changes the
observed state, so that another decision follows."""
MAX_MEMBERS_LOGGED = 16
URGENT_PHASES = frozenset({ReplicaPhase.MOVING, ReplicaPhase.STOPPING})
"""Phases whose note is written at once, so that a new owner can complete them."""
PHASES_AFTER_MOVE = frozenset({ReplicaPhase.FORMING, ReplicaPhase.REPAIRING})
"""Phases after a move in which the replica is still down."""


class ReplicaReviewer:
    """Reconciles replicas with their intents, one at a time.

    Callers hold the model's lock.
    """

    def __init__(
        self,
        model: Model,
        planner: Planner,
        reservations: Reservations,
        notes: DeferredNotes,
        schedule: ReviewSchedule,
    ) -> None:
        self._model = model
        self._planner = planner
        self._clock = model.clock
        self._reservations = reservations
        self._notes = notes
        self._schedule = schedule
        self._observer = MemberObserver(model, reservations)
        self.moves = ReplicaMoves(model, planner, reservations, self._observer)

    def review(self, entry: ReplicatedJob, replica: ReplicaState) -> None:
        """Updates a replica's intent from the observed members, and carries out the decision."""
        now = self._clock.now()
        job, rules = entry.job, entry.shape.rules
        if self._observer.is_evacuated(job, entry.shape.tasks(replica.number)):
            # An evacuation takes the capacity for other work, as an eviction does: all members of
            # the replica are stopped, not only those on the machine.
            self.stop_members(entry, replica.number, 0.0)
        timeouts = PhaseTimeouts(rules.form_s, rules.degraded_s)
        for _ in range(MAX_DECISIONS_PER_REVIEW):
            observed = self._observe(entry, replica)
            decision = decide(replica.intent, observed, timeouts, now)
            self._apply_decision(entry, replica, decision, observed)
            for task in sorted(decision.stop):
                self._planner.stop(job.attempts[task])
            if not decision.move_into_reservation:
                break
            self._move_into_reservation(entry, replica)
        if decision.launch:
            self._launch(job, observed.placed)
        review_at = next_review_at(job, decision, observed, self._observer, now)
        if review_at is not None:
            self._schedule.schedule(entry, replica, review_at)

    def place_members(self, entry: ReplicatedJob, start: GangStart) -> None:
        """Places the members that a plan places together, unless they have changed since the
        plan."""
        replica = entry.replicas[start.number]
        tasks = [task for task in replica.to_place if entry.job.status[task] == IDLE]
        if len(tasks) == len(start.nodes):
            self._place(entry, replica, sorted(tasks), start.nodes)
            self.review(entry, replica)

    def begin_move(self, entry: ReplicatedJob, start: GangStart) -> None:
        """Begins a move, and reserves the machines that the plan has chosen for it."""
        replica = entry.replicas[start.number]
        members = replica.to_place or replica.to_reserve
        if start.moves_whole:
            tasks = entry.shape.tasks(start.number)
            members = frozenset(task for task in tasks if entry.job.status[task] != FINISHED)
        # The same plan may have begun a move of another replica of the job.
        if len(members) != len(start.nodes) or not self.moves.may_move(entry, replica):
            return
        before = replica.intent
        replica.intent = replace(
            before,
            phase=ReplicaPhase.MOVING,
            began_at=self._clock.now(),
            members=members,
            targets=tuple(self._model.machines[node].name for node in start.nodes),
        )
        self._log_phase_change(entry, replica, before)
        self._update_note(entry, replica)
        self.moves.reserve_targets(entry, replica)
        self.review(entry, replica)

    def _observe(self, entry: ReplicatedJob, replica: ReplicaState) -> ObservedMembers:
        is_moving = replica.intent.phase == ReplicaPhase.MOVING
        return self._observer.observe(
            entry.job,
            entry.shape.tasks(replica.number),
            durable=not is_moving or self.moves.is_note_durable(entry, replica),
            reservation_usable=(not is_moving or self.moves.is_reservation_usable(entry, replica)),
            may_move=self.moves.may_move(entry, replica),
        )

    def _launch(self, job: Job, tasks: frozenset[int]) -> None:
        for task in tasks:
            attempt = job.attempts[task]
            if attempt.held_back:
                attempt.held_back = False
                self._model.machines_to_push.add(attempt.machine.index)

    def stop_members(self, entry: ReplicatedJob, number: int, grace_s: float | None = None) -> None:
        """Stops all members of a replica; `grace_s` as in `Planner.stop`."""
        for task in entry.shape.tasks(number):
            attempt = entry.job.attempts.get(task)
            if attempt is not None and not attempt.stopping and not attempt.finishing:
                self._planner.stop(attempt, grace_s)

    def _apply_decision(
        self,
        entry: ReplicatedJob,
        replica: ReplicaState,
        decision: Decision,
        observed: ObservedMembers,
    ) -> None:
        """Applies a decision: updates the replica's intent, its note and its reservations."""
        before, intent, number = replica.intent, decision.intent, replica.number
        replica.to_place, replica.to_reserve = decision.to_place, decision.to_reserve
        if decision.to_place or decision.to_reserve:
            entry.requesting.add(number)
            self._model.shards_to_plan.add(entry.job.shard)
        else:
            entry.requesting.discard(number)
        if intent != before:
            replica.intent = intent
            self._update_note(entry, replica)
        if intent.phase != before.phase:
            self._log_phase_change(entry, replica, before)
            for task in observed.present:
                # Whether members may be evicted depends on the phase, so the cached view is stale.
                entry.job.attempts[task].machine.cached_snapshot = None
            if intent.phase not in PHASES_AFTER_MOVE and intent.phase != ReplicaPhase.MOVING:
                entry.moving.discard(number)
        if intent.phase == ReplicaPhase.DEGRADED:
            machines = self._machines_of_missing_members(entry, observed)
            self._reservations.reserve(entry.key(number), machines)
        elif intent.phase != ReplicaPhase.MOVING:
            self._reservations.release(entry.key(number))

    def _log_phase_change(
        self, entry: ReplicatedJob, replica: ReplicaState, before: Intent
    ) -> None:
        intent = replica.intent
        members = ",".join(map(str, sorted(intent.members)[:MAX_MEMBERS_LOGGED]))
        log.info(
            "replica phase changed job=%s replica=%d phase=%s previous_phase=%s duration_s=%.1f "
            "generation=%d members=%s machines=%s",
            entry.job.id,
            replica.number,
            REPLICA_PHASE_NAMES[intent.phase],
            REPLICA_PHASE_NAMES[before.phase],
            self._clock.now() - before.began_at if before.began_at else 0.0,
            intent.generation,
            members,
            ",".join(sorted(set(intent.targets))),
        )

    def _machines_of_missing_members(
        self, entry: ReplicatedJob, observed: ObservedMembers
    ) -> list[int]:
        """Returns the machines that absent members were on and that can be used again. Their
        capacity is reserved, so that no other job uses it meanwhile."""
        now, job = self._clock.now(), entry.job
        machines = []
        for task in sorted(observed.absent):
            machine = self._reservations.last_machine(job, task)
            if (
                machine is not None
                and machine.shard == job.shard
                and machine.index not in job.machines_to_avoid(now)
                and self._planner.is_usable(machine, now)
            ):
                machines.append(machine.index)
        return machines

    def _update_note(self, entry: ReplicatedJob, replica: ReplicaState) -> None:
        job = entry.job
        job.add_note(to_note(self._clock, job, replica))
        if replica.intent.phase in URGENT_PHASES:
            self._notes.write_now(job)
        else:
            self._notes.defer(job)

    def _move_into_reservation(self, entry: ReplicatedJob, replica: ReplicaState) -> None:
        """Places all moved members on the machines that are reserved for them."""
        job, key = entry.job, entry.key(replica.number)
        machines = list(self._reservations.machines_for(key))
        self._reservations.release(key)
        tasks = [task for task in sorted(replica.intent.members) if job.status[task] == IDLE]
        self._place(entry, replica, tasks, machines)

    def _place(
        self, entry: ReplicatedJob, replica: ReplicaState, tasks: list[int], machines: list[int]
    ) -> None:
        job, model = entry.job, self._model
        for task, machine_index in zip(tasks, machines, strict=False):
            if task in job.idle:
                job.idle.remove(task)
            machine = model.machines[machine_index]
            attempt_number = job.tries.get(task, 0) + 1
            attempt = model.place(job, task, attempt_number, machine, Stage.PLANNED)
            attempt.replica_index = replica.number
            machine.idle_since = self._clock.now()
        self._notes.write_with_shard(job.shard)
