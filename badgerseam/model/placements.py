"""Placement and end of attempts, and removal of ended jobs from the model."""

from __future__ import annotations

from dataclasses import dataclass

from badgerseam.levels.table import Behaviour
from badgerseam.model.job import FINISHED, PLACED, Attempt, Job, Phase, Stage
from badgerseam.model.machine import Machine
from badgerseam.model.records import ReplicatedState, name_key
from badgerseam.wire import state as wire


@dataclass(slots=True)
class Placements(ReplicatedState):
    """Changes attempts and ended jobs, and keeps all indices and accounts consistent."""

    def place(self, job: Job, task: int, number: int, machine: Machine, stage: Stage) -> Attempt:
        """Places a task on a machine; it counts against its team's quota from now on."""
        attempt = Attempt(job, task, number, machine, stage)
        attempt.planned_at = self.clock.now()
        if stage == Stage.PLANNED:
            self.shards[job.shard].planned.append(attempt)
        job.attach(attempt)
        job.tries[task] = number
        job.status[task] = PLACED
        # Every controller applies placements, so a new owner already knows which machines have
        # which images.
        machine.images.add(job.spec.image)
        return attempt

    def unplace(self, attempt: Attempt) -> None:
        """Removes an attempt that has certainly ended."""
        machine = attempt.machine
        if self.accounts is not None and attempt.stage != Stage.PLANNED and not attempt.finishing:
            self.accounts.on_attempt_ended(attempt, done=False)
        attempt.job.return_task(attempt)
        if self.job_observer is not None:
            self.job_observer.on_attempt_ended(attempt)
        self.shards_to_plan.add(attempt.job.shard)
        if not machine.attempts:
            machine.idle_since = self.clock.now()
        if attempt.job.phase != Phase.OPEN:
            self.settle(attempt.job)

    def finish(self, attempt: Attempt, write_by: float) -> None:
        """Records that an attempt's task has completed, which frees its resources.

        `write_by`: the time by which the completion has to be made durable.
        """
        job, task = attempt.job, attempt.task
        if job.status[task] == FINISHED:
            return
        if self.accounts is not None:
            self.accounts.on_attempt_ended(attempt, done=True)
        job.on_completed(attempt)
        job.status[task] = FINISHED
        job.finished += 1
        if job.finished == job.tasks and not job.is_service and job.phase == Phase.OPEN:
            job.ending = True
            self.jobs_ending.add(job.index)
        job.done_bits_changed.add(job.mark_done(task))
        self.shards[job.shard].completions_due.setdefault(job.index, write_by)
        self.shards_to_plan.add(job.shard)
        if len(attempt.machine.attempts) == 1:
            attempt.machine.idle_since = self.clock.now()

    def failure_is_recorded(self, job: Job, task: int, attempt: int) -> bool:
        """Whether a failed attempt may be reaped without losing the record of its failure.

        If it were reaped before the failure is durable, the next owner would miss one failure.
        """
        key = (wire.StoredFailures, task)
        note = job.notes.get(key)
        if (
            not isinstance(note, wire.StoredFailures)
            or note.attempt != attempt
            or job.phase != Phase.OPEN
            or not self.is_active(Behaviour.NOTES)
        ):
            return True
        page = self.pages[job.shard].get(job.notes_page.get(key, -1))
        entry = None if page is None else page.jobs.get(job.id)
        return entry is not None and note in entry.notes

    def forget_finished(self, attempt: Attempt) -> None:
        """Removes a finished attempt whose completion is durable, so that its machine may reap
        it."""
        attempt.job.detach(attempt)
        self.machines_to_push.add(attempt.machine.index)

    def settle(self, job: Job) -> None:
        """Removes an ended job if none of its tasks can be on a machine.

        Otherwise the owner of its shard stops the remaining attempts, and the job lingers.
        """
        if job.phase == Phase.OPEN:
            return
        job.ending = False
        if job.changed_tasks is not None:
            self.changed_tasks.add((job.index, -1))
        is_owned = self.shards[job.shard].owned
        for attempt in list(job.attempts.values()):
            if attempt.finishing or job.phase == Phase.DONE:
                job.detach(attempt)
            elif is_owned:
                self._stop_immediately(attempt)
        self.shards_to_plan.add(job.shard)
        if job.attempts or self.jobs[job.index] is not job:
            return
        if job.phase == Phase.CANCELLED and job.version > self.revision and not is_owned:
            # The cancellation is known from a user's request, ahead of the revision that has been
            # followed, so placements written before it are still to be read. If the job were
            # removed now and this controller came to own the shard, these placements would count
            # neither for their machines nor for their team's limit.
            self.cancelled_unfollowed.add(job.index)
            return
        self._forget(job)

    def _stop_immediately(self, attempt: Attempt) -> None:
        """Marks an attempt of a cancelled job to be stopped without a grace period."""
        attempt.stopping = True
        attempt.machine.cached_snapshot = None
        attempt.grace_s = 0.0
        attempt.stop_sent = False
        self.machines_to_push.add(attempt.machine.index)

    def _forget(self, job: Job) -> None:
        """Removes an ended job without attempts on machines from every index."""
        if self.accounts is not None:
            self.accounts.on_job_settled(job)
        if self.job_observer is not None:
            self.job_observer.on_job_settled(job)
        self.shards[job.shard].completions_due.pop(job.index, None)
        key = name_key(job)
        if key is not None and key in self.jobs_by_name:
            self.jobs_by_name[key].discard(job.index)
            if not self.jobs_by_name[key]:
                del self.jobs_by_name[key]
        self.jobs[job.index] = None
        self.free_jobs.append(job.index)
        del self.job_index[job.id]
        del self.open_jobs[job.shard][job.index]

    def advance(self, revision: int) -> None:
        """Called when all changes up to a revision have been applied."""
        self.revision = max(self.revision, revision)
        for index in list(self.cancelled_unfollowed):
            job = self.jobs[index]
            if job is None or job.version <= self.revision:
                self.cancelled_unfollowed.discard(index)
                if job is not None:
                    self.settle(job)
