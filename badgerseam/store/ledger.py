"""The durable state of owned shards: task logs, final records of jobs, and counts."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import NamedTuple

from badgerseam.background import BackgroundTasks
from badgerseam.model.job import Job, Phase
from badgerseam.model.keys import claim_key, counts_key, job_key
from badgerseam.model.model import Model
from badgerseam.model.state import Shard
from badgerseam.store.client import ConditionFailedError, StateClient, StateUnavailableError
from badgerseam.store.committer import GroupCommitter, ProposalDroppedError, Urgency
from badgerseam.store.job_records import JobStore
from badgerseam.store.task_log_writer import TaskLogWriter
from badgerseam.wire import state as wire

log = logging.getLogger("badgerseam.store")

SUMMARY_DEADLINE_S = 5.0
MAX_SUMMARIES_AT_ONCE = 10
"""The maximum number of final records of cancelled jobs in one transaction."""
COUNTS_DEADLINE_S = 5.0
END_PROMOTION_S = 1.5
"""Time after which a job's final record is promoted to the urgency of a placement. Users ask for it
no earlier than 3 s after the job's end."""
LOW_PRIORITY_END_PROMOTION_S = 40.0
"""The same for jobs of the lowest priority: the ends of hundreds of single-task jobs must not delay
the placements of other jobs."""
REJECTED_RETRY_S = 1.0
"""Seconds before a final record that was rejected as malformed is proposed again."""
READ_RETRY_S = 0.2
"""Seconds to wait after a record could not be read."""


class _Summary(NamedTuple):
    """A cancelled job's final record with a summary, and the version of the record it replaces."""

    job_id: str
    version: int
    record: wire.StoredJob


class Ledger(JobStore):
    """Writes job records, and for owned shards also task logs, final records and counts."""

    def __init__(
        self,
        model: Model,
        state: StateClient,
        committer: GroupCommitter,
        on_change: Callable[[], None],
        resign: Callable[[Shard], None],
    ) -> None:
        """`on_change`: called after the model has changed; `resign`: gives up a shard, called with
        the lock held."""
        super().__init__(model, state, committer, on_change)
        self._resign = resign
        self._task_log = TaskLogWriter(model, state, committer, on_change, resign)
        self._tasks = BackgroundTasks()
        self._is_writing_summaries = False

    def flush(self) -> None:
        """Starts the writes that are due; called after every change and by a timer."""
        model = self._model
        now = model.clock.now()
        with model.lock:
            for index in list(model.jobs_ending):
                self._start_final_record(index)
            for shard in model.shards:
                # If the program does not support the site's level, nothing is written, even before
                # the state watcher has received the level.
                if shard.owned and not shard.committing and model.is_supported:
                    self._task_log.flush(shard, now)

    def refresh(self, shard: Shard, number: int) -> bool:
        """Rewrites one page in the level's format; see `TaskLogWriter.refresh`."""
        return self._task_log.refresh(shard, number)

    # ---- final records of jobs ----

    def _start_final_record(self, index: int) -> None:
        """Starts writing a job's final record unless a write is in progress; with the lock held."""
        model = self._model
        job = model.jobs[index] if index < len(model.jobs) else None
        if job is None or not job.ending or not model.shards[job.shard].owned:
            model.jobs_ending.discard(index)
        elif not job.end_sent:
            job.end_sent = True
            self._tasks.spawn(self._write_final_record(job))

    async def _write_final_record(self, job: Job) -> None:
        """Writes the final record of a job whose tasks are all done."""
        model = self._model
        shard = model.shards[job.shard]
        term = shard.term
        key = job_key(job.id)
        usage = None if model.accounts is None else model.accounts.usage(job)
        value = wire.raw(self.final_record(job, "done", None, usage))
        try:
            revision = await self._committer.commit(
                Urgency.DONE if job.rank else Urgency.UPKEEP,
                {claim_key(shard.index): term, key: job.version},
                [wire.Write(put=key, value=value)],
                should_send=lambda: shard.owned and shard.term == term and job.phase == Phase.OPEN,
                promote_after_s=END_PROMOTION_S if job.rank else LOW_PRIORITY_END_PROMOTION_S,
            )
        except ProposalDroppedError:
            job.end_sent = False
        except StateUnavailableError:
            # Without a deadline, a proposal fails with this only if it was rejected as malformed.
            await asyncio.sleep(REJECTED_RETRY_S)
            job.end_sent = False
        except ConditionFailedError as error:
            job.end_sent = False
            await self._on_final_record_refused(job, shard, term, error)
        else:
            with model.lock:
                model.apply(key, value, revision)
        self._on_change()

    async def _on_final_record_refused(
        self, job: Job, shard: Shard, term: int, error: ConditionFailedError
    ) -> None:
        is_claim_lost = claim_key(shard.index) in error.failed
        if is_claim_lost and shard.owned and shard.term == term:
            # Otherwise the shard was given up or claimed again after the proposal was sent.
            self._resign(shard)
        try:
            await self.read(job.id)
        except StateUnavailableError:
            await asyncio.sleep(READ_RETRY_S)

    # ---- summaries and counts ----

    def write_summaries(self) -> None:
        """Adds the summaries of cancelled jobs to their records; called periodically."""
        accounts = self._model.accounts
        if accounts is None or self._is_writing_summaries:
            return
        max_jobs = min(MAX_SUMMARIES_AT_ONCE, self._committer.limits.writes)
        with self._model.lock:
            summaries = [
                _Summary(job_id, entry.version, accounts.summarized_record(entry))
                for job_id, entry in accounts.next_unsummarized(max_jobs)
            ]
        if summaries:
            self._is_writing_summaries = True
            self._tasks.spawn(self._write_summaries(summaries))

    async def _write_summaries(self, summaries: list[_Summary]) -> None:
        values = {job_key(summary.job_id): wire.raw(summary.record) for summary in summaries}
        try:
            revision = await self._committer.commit(
                Urgency.UPKEEP,
                {job_key(summary.job_id): summary.version for summary in summaries},
                [wire.Write(put=key, value=value) for key, value in values.items()],
                SUMMARY_DEADLINE_S,
            )
        except ConditionFailedError as error:
            # Already written: by an attempt without a response, or by a previous owner.
            await self._read_jobs(error.failed)
        except (StateUnavailableError, ProposalDroppedError):
            log.debug("summaries not written jobs=%d", len(summaries))
        else:
            with self._model.lock:
                for key, value in values.items():
                    self._model.apply(key, value, revision)
        finally:
            self._is_writing_summaries = False

    async def _read_jobs(self, keys: list[str]) -> None:
        for key in keys:
            job_id = key.rpartition("/")[2]
            try:
                await self.read(job_id)
            except StateUnavailableError:
                log.debug("job record not read job=%s", job_id)

    async def write_counts(self, shard: Shard) -> None:
        """Writes a shard's counts of finished and evicted tasks (G and F of the GFS paper)."""
        key = counts_key(shard.index)
        value = wire.raw(wire.StoredCounts(shard.finished, shard.evicted))
        try:
            revision = await self._committer.commit(
                Urgency.UPKEEP,
                {claim_key(shard.index): shard.term, key: shard.counts_version},
                [wire.Write(put=key, value=value)],
                COUNTS_DEADLINE_S,
                should_send=lambda: shard.owned,
            )
            with self._model.lock:
                self._model.apply(key, value, revision)
        except (ConditionFailedError, StateUnavailableError, ProposalDroppedError):
            log.debug("counts not written shard=%d", shard.index)
