"""The accounts of one controller: meters of open jobs, the book of ended ones, and what is still to
be written.

A job that is done gets its summary in the very transaction that makes it done: it is there once, or
the job is not done. A cancelled one is final before its tasks are gone, and whoever was asked wrote
that; the owner of its share adds the summary behind everything urgent. Until then every controller
knows that it is missing, so that whoever takes the share over writes it.
"""

from __future__ import annotations

import msgspec

from badgerseam.accounting.attempt_ends import cause_of, seconds_run
from badgerseam.accounting.attempts import AttemptLog
from badgerseam.accounting.job_history import JobHistory
from badgerseam.model.accounts import UnsummarizedJob
from badgerseam.model.job import Attempt, Job
from badgerseam.model.meter import AttemptMeter
from badgerseam.model.model import Model
from badgerseam.sched.snapshot import slots_of
from badgerseam.wire.accounting import AttemptRecord, Usage, usage_of
from badgerseam.wire.state import StoredJob, StoredMember

SEEN_INTERVALS = 2.0
"""Report intervals after which an attempt that was not shown again may have ended unseen."""
MAX_SUMMARIES_AT_ONCE = 10
"""Final records of cancelled jobs in one transaction."""


class JobAccounts:
    """Told by the model what happens; callers hold its lock."""

    def __init__(self, model: Model, most_jobs: int) -> None:
        self._model = model
        self.history = JobHistory(most_jobs)
        self.unsummarized: dict[str, UnsummarizedJob] = {}
        self.log: AttemptLog | None = None
        """Where attempts are logged one by one."""
        self.loading = False
        """A share is being read: what is placed and taken back then is no news."""

    # ---- records ----

    def on_final_record(self, job_id: str, stored: StoredJob, version: int) -> None:
        """A job's final record, from the replica or written here."""
        if stored.usage is not None:
            self.unsummarized.pop(job_id, None)
            self.history.add(job_id, stored.state, stored.tasks, stored.usage)
        elif stored.state == "withdrawn" and stored.spec is not None:
            team = self._model.team_index.get(stored.spec.team)
            shard = None if team is None else self._model.teams[team].shard
            known = self.unsummarized.get(job_id)
            if known is None or known.version < version:
                usage = None if known is None else known.usage
                self.unsummarized[job_id] = UnsummarizedJob(stored, version, shard, usage)

    def next_unsummarized(self) -> list[tuple[str, UnsummarizedJob]]:
        """Cancelled jobs of owned shares that have left all machines, a few of them."""
        found: list[tuple[str, UnsummarizedJob]] = []
        for job_id, entry in self.unsummarized.items():
            if entry.shard is None or not self._model.shards[entry.shard].owned:
                continue
            if self._model.job(job_id) is None:
                found.append((job_id, entry))
                if len(found) >= MAX_SUMMARIES_AT_ONCE:
                    break
        return found

    def summarized_record(self, entry: UnsummarizedJob) -> StoredJob:
        """The final record of a cancelled job with its summary, without its description."""
        usage = entry.usage
        spec = entry.stored.spec
        if usage is None:
            assert spec is not None
            # Its owner ended before it wrote this: what was measured is lost, and said to be.
            usage = usage_of(spec, entry.stored.accepted_at, None, self._model.clock.wall())
            usage = msgspec.structs.replace(usage, complete=False)
        stored = entry.stored
        if isinstance(stored, StoredMember) and stored.plan:
            return msgspec.structs.replace(stored, spec=None, usage=usage)
        return StoredJob("withdrawn", stored.tasks, stored.accepted_at, None, usage)

    # ---- what happens to jobs ----

    def on_job_opened(self, job: Job) -> None:
        """A job has become known, or its share is read anew by its new owner."""
        attempts = sum(job.tries.values())
        attempts += (
            sum(task not in job.tries for task in range(job.tasks) if job.status[task] == 2)
            if job.finished
            else 0
        )
        job.meter = AttemptMeter(unmeasured_before=attempts)

    def on_attempt_placed(self, attempt: Attempt) -> None:
        """An attempt has become durable."""
        if attempt.job.meter is not None:
            attempt.job.meter.placed += 1

    def on_attempt_ended(self, attempt: Attempt, done: bool) -> None:
        """An attempt is over."""
        job, machine = attempt.job, attempt.machine
        if job.meter is None or self.loading or not self._model.shards[job.shard].owned:
            return
        entry = self._model.types.get(machine.type)
        price = 0.0
        if entry is not None and slots_of(machine.total) > 0:
            hour = entry.spot_price if machine.spot else entry.price
            price = hour * slots_of(job.demand) / slots_of(machine.total)
        now, wall = self._model.clock.now(), self._model.clock.wall()
        cause = "done" if done else cause_of(attempt)
        over_at = self._charged_until(attempt, now)
        seconds = seconds_run(attempt, over_at)
        money = job.meter.end(cause, seconds, machine.spot, wall - (now - over_at), price)
        if self.log is not None:
            evicted = cause == "evicted"
            record = AttemptRecord(
                job.id,
                attempt.task,
                attempt.number,
                machine.name,
                machine.type,
                machine.zone,
                machine.spot,
                round(wall - (now - attempt.planned_at), 3),
                round(wall, 3),
                cause,
                None if seconds is None else round(seconds, 3),
                round(money, 6),
                attempt.evicted_for if evicted else None,
                attempt.cost if evicted else None,
            )
            self.log.add(job.shard, record)

    def _charged_until(self, attempt: Attempt, now: float) -> float:
        """Until when an attempt whose end is known by now is charged.

        The end of one on a machine that was not heard for a while came at some time meanwhile:
        only what was seen is charged. Charged up to now, a task that had completed, or was lost
        with its lease, cost seconds that no machine had spent.
        """
        report_s = self._model.settings.params.workers.report_s
        return (
            now if now - attempt.last_seen_at <= SEEN_INTERVALS * report_s else attempt.last_seen_at
        )

    def usage(self, job: Job) -> Usage | None:
        """The summary of a job that is done."""
        if job.meter is None:
            return None
        wall = self._model.clock.wall()
        return job.meter.usage(job.spec, job.submitted, job.eligible_at, wall)

    def on_job_settled(self, job: Job) -> None:
        """A cancelled job has left all machines."""
        entry = self.unsummarized.get(job.id)
        if entry is not None and self._model.shards[job.shard].owned:
            entry.usage = self.usage(job)
