"""The accounts of one controller: meters of open jobs, the history of ended jobs, and the cancelled
jobs whose summary is still to be written.

The summary of a completed job is written in the transaction that marks the job as done, so that
there is exactly one summary for each job that is done. A cancelled job's record is final before its
tasks have left their machines, and any controller may have written it; the owner of its shard adds
the summary with the least urgency. Until then every controller keeps the job among its unsummarized
jobs, so that a new owner writes the summary.
"""

from __future__ import annotations

import msgspec

from badgerseam.accounting.attempt_ends import cause_of, seconds_run
from badgerseam.accounting.attempts import AttemptLog
from badgerseam.accounting.job_history import JobHistory
from badgerseam.model.accounts import UnsummarizedJob
from badgerseam.model.job import FINISHED, PHASE_NAMES, Attempt, Job, Phase
from badgerseam.model.meter import AttemptMeter
from badgerseam.model.model import Model
from badgerseam.sched.snapshot import slots_of
from badgerseam.wire.accounting import AttemptRecord, Usage, usage_of
from badgerseam.wire.state import StoredJob, StoredMember

UNOBSERVED_INTERVALS = 2.0
"""The number of heartbeat intervals without a report of an attempt after which the attempt may have
ended unobserved."""
SECONDS_DIGITS = 3
"""Decimal places of seconds in records."""
MONEY_DIGITS = 6
"""Decimal places of amounts of money in records."""


class JobAccounts:
    """Accounts for the changes of the model (`model.accounts.JobAccounting`).

    Callers hold the model's lock.
    """

    def __init__(self, model: Model, max_jobs: int) -> None:
        self._model = model
        self.history = JobHistory(max_jobs)
        self.unsummarized: dict[str, UnsummarizedJob] = {}
        """Cancelled jobs without a summary, by id."""
        self.log: AttemptLog | None = None
        """The log of attempts; None if it is switched off."""
        self.loading = False
        """Whether the records of a shard are being read; attempts that end meanwhile do not
        count."""

    # ---- final records ----

    def on_final_record(self, job_id: str, stored: StoredJob, version: int) -> None:
        """Processes a job's final record that was observed, or written by this controller."""
        if stored.usage is not None:
            self.unsummarized.pop(job_id, None)
            self.history.add(job_id, stored.state, stored.tasks, stored.usage)
        elif PHASE_NAMES.get(stored.state) == Phase.CANCELLED and stored.spec is not None:
            team = self._model.team_index.get(stored.spec.team)
            shard = None if team is None else self._model.teams[team].shard
            known = self.unsummarized.get(job_id)
            if known is None or known.version < version:
                usage = None if known is None else known.usage
                self.unsummarized[job_id] = UnsummarizedJob(stored, version, shard, usage)

    def next_unsummarized(self, max_jobs: int) -> list[tuple[str, UnsummarizedJob]]:
        """Returns up to `max_jobs` unsummarized jobs of owned shards that have left all machines,
        with their ids."""
        ready: list[tuple[str, UnsummarizedJob]] = []
        for job_id, entry in self.unsummarized.items():
            if entry.shard is None or not self._model.shards[entry.shard].owned:
                continue
            if self._model.job(job_id) is None:
                ready.append((job_id, entry))
                if len(ready) >= max_jobs:
                    break
        return ready

    def summarized_record(self, entry: UnsummarizedJob) -> StoredJob:
        """Returns the final record of a cancelled job with its summary and without its
        submission."""
        usage = entry.usage
        spec = entry.stored.spec
        if usage is None:
            assert spec is not None
            # The owner ended before it wrote the summary; its measurements are lost.
            usage = usage_of(spec, entry.stored.accepted_at, None, self._model.clock.wall())
            usage = msgspec.structs.replace(usage, complete=False)
        stored = entry.stored
        if isinstance(stored, StoredMember) and stored.plan:
            return msgspec.structs.replace(stored, spec=None, usage=usage)
        return StoredJob("withdrawn", stored.tasks, stored.accepted_at, None, usage)

    # ---- jobs and attempts ----

    def on_job_opened(self, job: Job) -> None:
        """Creates the meter of a job that was first observed, or whose shard's new owner reads
        it."""
        attempts = sum(job.tries.values())
        if job.finished:
            # A finished task without a row counts as one attempt.
            attempts += sum(
                task not in job.tries for task in range(job.tasks) if job.status[task] == FINISHED
            )
        job.meter = AttemptMeter(unmeasured_before=attempts)

    def on_attempt_placed(self, attempt: Attempt) -> None:
        """Counts an attempt whose placement has become durable."""
        if attempt.job.meter is not None:
            attempt.job.meter.placed += 1

    def on_attempt_ended(self, attempt: Attempt, done: bool) -> None:
        """Charges and logs an attempt that has ended; `done`: whether its task completed."""
        job, machine = attempt.job, attempt.machine
        if job.meter is None or self.loading or not self._model.shards[job.shard].owned:
            return
        price = self._price_per_hour(attempt)
        now, wall = self._model.clock.now(), self._model.clock.wall()
        cause = "done" if done else cause_of(attempt)
        charged_until = self._charged_until(attempt, now)
        seconds = seconds_run(attempt, charged_until)
        ended_at = wall - (now - charged_until)
        money = job.meter.end(cause, seconds, machine.spot, ended_at, price)
        if self.log is not None:
            placed_at = wall - (now - attempt.planned_at)
            record = _attempt_record(attempt, cause, seconds, money, placed_at, wall)
            self.log.add(job.shard, record)

    def _price_per_hour(self, attempt: Attempt) -> float:
        """Returns the hourly price of the part of its machine that an attempt uses; 0 if
        unknown."""
        machine = attempt.machine
        machine_type = self._model.types.get(machine.type)
        if machine_type is None or slots_of(machine.total) <= 0:
            return 0.0
        price = machine_type.spot_price if machine.spot else machine_type.price
        return price * slots_of(attempt.job.demand) / slots_of(machine.total)

    def _charged_until(self, attempt: Attempt, now: float) -> float:
        """Returns the time until which an attempt that has ended is charged.

        An attempt that no heartbeat has reported for a while may have ended at any time since then,
        so it is charged only until it was last observed. If it were charged until now, a task that
        had completed earlier, or was lost with its lease, would be charged for time that it did not
        run.
        """
        max_gap_s = UNOBSERVED_INTERVALS * self._model.settings.params.workers.report_s
        is_observed = now - attempt.last_seen_at <= max_gap_s
        return now if is_observed else attempt.last_seen_at

    def usage(self, job: Job) -> Usage | None:
        """Returns the summary of a job that has ended; None if the job has no meter."""
        if job.meter is None:
            return None
        wall = self._model.clock.wall()
        return job.meter.usage(job.spec, job.submitted, job.eligible_at, wall)

    def on_job_settled(self, job: Job) -> None:
        """Records the summary of a cancelled job that has left all machines."""
        entry = self.unsummarized.get(job.id)
        if entry is not None and self._model.shards[job.shard].owned:
            entry.usage = self.usage(job)


def _attempt_record(
    attempt: Attempt,
    cause: str,
    seconds: float | None,
    money: float,
    placed_at: float,
    ended_at: float,
) -> AttemptRecord:
    """Returns the log record of an ended attempt; `placed_at` and `ended_at` are times of day."""
    machine = attempt.machine
    is_evicted = cause == "evicted"
    return AttemptRecord(
        job=attempt.job.id,
        task=attempt.task,
        attempt=attempt.number,
        machine=machine.name,
        type=machine.type,
        zone=machine.zone,
        spot=machine.spot,
        placed=round(placed_at, SECONDS_DIGITS),
        ended=round(ended_at, SECONDS_DIGITS),
        cause=cause,
        seconds=None if seconds is None else round(seconds, SECONDS_DIGITS),
        money=round(money, MONEY_DIGITS),
        by=attempt.evicted_for if is_evicted else None,
        cost=attempt.cost if is_evicted else None,
    )
