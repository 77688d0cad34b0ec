"""Reconciles the replicas that span machines with their intents, in the shards that are owned.

A replica is reviewed (`reviewer.py`) when its state has changed or its next review is due. The
placements of a plan and the replica's note become durable in one transaction (`store/task_log.py`).
"""

from __future__ import annotations

from badgerseam.levels.table import Behaviour
from badgerseam.model.job import Attempt, AttemptHost, Job, Phase
from badgerseam.model.model import Model
from badgerseam.model.resources import Resources
from badgerseam.model.state import Shard
from badgerseam.options.replicas import ReplicasOptions
from badgerseam.replicas.deferred_notes import DeferredNotes
from badgerseam.replicas.drain_delay import DrainDelay
from badgerseam.replicas.phases import ReplicaPhase
from badgerseam.replicas.records import ReplicatedJob, from_note
from badgerseam.replicas.requests import ReplicaRequests
from badgerseam.replicas.reservations import ReplicaKey, Reservations
from badgerseam.replicas.review_schedule import ReviewSchedule
from badgerseam.replicas.reviewer import ReplicaReviewer
from badgerseam.replicas.shapes import ReplicaShape, shape_of
from badgerseam.sched.planner import MAX_STARTS, Planner
from badgerseam.sched.snapshot import Plan, Request

MAX_REVIEWS = 200
"""The maximum number of due replicas reviewed in one reconciliation; the others follow in the next
one."""
ALL_REPLICAS = -1
"""Stands for all replicas of a job, in place of a replica's number."""
NOT_OWNED = -1
"""Stands for the term of a shard that is not owned."""


class ReplicaReconciler:
    """Reconciles replicas; the planner's replica policy (`sched.planner.ReplicaPolicy`).

    Callers hold the model's lock.
    """

    def __init__(self, model: Model, planner: Planner, options: ReplicasOptions) -> None:
        self._model = model
        self._planner = planner
        self._options = options
        self._clock = model.clock
        self._reservations = Reservations(model)
        self._requests = ReplicaRequests(model, planner, self._reservations)
        self._notes = DeferredNotes(model)
        self._schedule = ReviewSchedule()
        self._reviewer = ReplicaReviewer(
            model, planner, self._reservations, self._notes, self._schedule
        )
        self._drain_delay = DrainDelay(model)
        self._entries: dict[int, ReplicatedJob] = {}
        """The jobs that this controller manages, by job index."""
        self._terms: dict[int, int] = {}
        """The term of each shard at the last reconciliation, by shard index."""
        model.spanning_classes = frozenset(options.classes)
        planner.replicas = self

    # ---- reconciliation ----

    def reconcile(self) -> None:
        """Reviews the replicas that have changed or are due; called many times a second."""
        self._reload_shards_with_new_term()
        now = self._clock.now()
        self._review_changed()
        self._review_due(now)
        self._notes.write_due(now)

    def _reload_shards_with_new_term(self) -> None:
        for shard in self._model.shards:
            term = shard.term if shard.owned else NOT_OWNED
            if self._terms.get(shard.index, NOT_OWNED) != term:
                self._terms[shard.index] = term
                self._reload_shard(shard)

    def _reload_shard(self, shard: Shard) -> None:
        """Reads the replicas of a shard again from rows and notes, after its owner or term
        changed."""
        for index, entry in list(self._entries.items()):
            if entry.job.shard == shard.index:
                self._drop(index)
        if shard.owned:
            for job in self._model.open_jobs[shard.index].values():
                if job.changed_tasks is not None:
                    self._model.changed_tasks.add((job.index, ALL_REPLICAS))

    def _review_changed(self) -> None:
        if not self._model.changed_tasks:
            return
        for job_index, changed_number in self._take_changed_replicas():
            job = self._model.jobs[job_index]
            entry = None if job is None else self._entry(job)
            if entry is not None:
                is_all = changed_number == ALL_REPLICAS
                for number in entry.replicas if is_all else (changed_number,):
                    self._reviewer.review(entry, entry.replicas[number])

    def _take_changed_replicas(self) -> list[tuple[int, int]]:
        """Returns the job and number of each replica that has changed since the last
        reconciliation, and clears the changes."""
        model = self._model
        changed: set[tuple[int, int]] = set()
        for job_index, task in model.changed_tasks:
            job = model.jobs[job_index]
            entry = self._entries.get(job_index)
            if entry is not None and (job is not entry.job or job.phase != Phase.OPEN):
                self._drop(job_index)
            if job is None or job.phase != Phase.OPEN or not model.shards[job.shard].owned:
                continue
            shape = self._shape(job)
            if shape is not None:
                changed.add((job_index, ALL_REPLICAS if task < 0 else shape.number(task)))
        model.changed_tasks.clear()
        return sorted(changed)

    def _review_due(self, now: float) -> None:
        reviews = 0
        while reviews < MAX_REVIEWS and (due := self._schedule.pop_due(now)) is not None:
            review_at, key = due
            entry = self._entries.get(key.job_index)
            if entry is None or key.number not in entry.replicas:
                continue
            replica = entry.replicas[key.number]
            if replica.review_at == review_at and self._entry(entry.job) is entry:
                reviews += 1
                replica.review_at = None
                self._reviewer.review(entry, replica)

    # ---- the jobs that this controller manages ----

    def _entry(self, job: Job) -> ReplicatedJob | None:
        """Returns the entry of a job, which is loaded if necessary; None if the job has ended, its
        shard is not owned, or its replicas do not span machines."""
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
        is_spanning = job.changed_tasks is not None
        if entry is None and shard.owned and job.phase == Phase.OPEN and is_spanning:
            entry = self._load(job, shard.term)
        return entry

    def _load(self, job: Job, term: int) -> ReplicatedJob | None:
        """Reads a job's replicas from its notes, and reviews them."""
        shape = shape_of(self._options, job.spec)
        if shape is None:
            return None
        replicas = {
            number: from_note(self._clock, job, shape, number) for number in range(shape.count)
        }
        entry = self._entries[job.index] = ReplicatedJob(job, shape, term, replicas)
        for replica in replicas.values():
            if replica.intent.phase == ReplicaPhase.MOVING:
                self._reviewer.moves.reserve_targets(entry, replica)
            self._reviewer.review(entry, replica)
        return entry

    def _drop(self, index: int) -> None:
        """Drops a job that this controller no longer manages."""
        entry = self._entries.pop(index)
        for number in entry.replicas:
            self._reservations.release(ReplicaKey(index, number))
        self._reservations.drop_job(index, entry.shape.total)
        self._notes.drop(index)

    def _shape(self, job: Job) -> ReplicaShape | None:
        entry = self._entries.get(job.index)
        if entry is not None and entry.job is job:
            return entry.shape
        return shape_of(self._options, job.spec)

    # ---- for the planner ----

    def reserved_on(self, machine: AttemptHost) -> Resources:
        """Returns the capacity reserved on a machine for members that are still to be placed."""
        return self._reservations.reserved_on(machine)

    def group(self, attempt: Attempt) -> ReplicaKey:
        """Returns the replica of an attempt."""
        shape = self._shape(attempt.job)
        number = 0 if shape is None else shape.number(attempt.task)
        return ReplicaKey(attempt.job.index, number)

    def is_protected_from_claims(self, attempt: Attempt) -> bool:
        """Whether an attempt must not be evicted for another team's guarantee: its replica is not
        up, and the eviction would keep it down for longer."""
        return self.phase_of(attempt.job, attempt.task) not in (
            None,
            ReplicaPhase.UP,
            ReplicaPhase.STOPPING,
        )

    def phase_of(self, job: Job, task: int) -> ReplicaPhase | None:
        """Returns the phase of a task's replica; None if this controller does not manage the
        job."""
        entry = self._entries.get(job.index)
        if entry is None or entry.job is not job:
            return None
        return entry.replicas[entry.shape.number(task)].intent.phase

    def requests(self, job: Job, now: float) -> list[Request]:
        """Returns the requests of the job's replicas for machines."""
        shape = self._shape(job)
        if job.phase != Phase.OPEN or shape is None:
            return []
        if job.waiting() > 0 and self._planner.hold_reason(job, now) is not None:
            return []
        if not self._model.shards[job.shard].owned:
            return self._requests.from_records(job, shape)
        entry = self._entry(job)
        return [] if entry is None else self._requests_of_owned_job(entry)

    def _requests_of_owned_job(self, entry: ReplicatedJob) -> list[Request]:
        requests: list[Request] = []
        tasks = 0
        for number in sorted(entry.requesting):
            replica = entry.replicas[number]
            if not replica.to_place and not self._reviewer.moves.may_move(entry, replica):
                continue
            needed = replica.to_place or replica.to_reserve
            if requests and tasks + len(needed) > MAX_STARTS:
                break
            tasks += len(needed)
            is_degraded = replica.intent.phase == ReplicaPhase.DEGRADED
            requests.append(
                self._requests.request(
                    entry.job,
                    entry.shape,
                    number,
                    needed,
                    reserve_only=not replica.to_place,
                    may_move_whole=is_degraded and self._reviewer.moves.may_move(entry, replica),
                )
            )
        return requests

    def carry_out(self, shard: Shard, plan: Plan) -> None:
        """Stops all members of the replicas that the plan evicts, and places the members that it
        places together."""
        del shard  # Required by the planner's protocol; the plan names the jobs.
        model = self._model
        evicted: set[ReplicaKey] = set()
        for stop in plan.stops:
            job = model.jobs[stop.key[0]]
            if job is not None and job.changed_tasks is not None:
                evicted.add(self.group(job.attempts[stop.key[1]]))
        for key in sorted(evicted):
            job = model.jobs[key.job_index]
            entry = None if job is None else self._entry(job)
            if entry is not None:
                # The plan does not include members on machines that accept no tasks.
                self._reviewer.stop_members(entry, key.number)
                self._reviewer.review(entry, entry.replicas[key.number])
        for start in plan.gang_starts:
            job = model.jobs[start.job]
            entry = None if job is None else self._entry(job)
            if entry is not None and start.reserve_only:
                self._reviewer.begin_move(entry, start)
            elif entry is not None:
                self._reviewer.place_members(entry, start)

    # ---- for draining machines ----

    def may_stay_while_draining(self, attempt: Attempt) -> bool:
        """Whether a member may stay on its draining machine for now, since its whole replica is to
        be moved."""
        job, machine = attempt.job, attempt.machine
        if job.changed_tasks is None or machine.given_up or machine.evacuate_to is not None:
            return False
        entry = self._entry(job)
        if entry is None or not self._model.is_active(Behaviour.NOTES):
            return False
        job.mark_changed(attempt.task)
        if self.phase_of(job, attempt.task) not in (ReplicaPhase.UP, ReplicaPhase.MOVING):
            return False
        return self._drain_delay.may_stay(attempt, entry.shape.rules)
