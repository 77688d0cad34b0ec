"""Durable state of owned shards: their task logs, the ends of their jobs, their counts."""

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
COUNTS_DEADLINE_S = 5.0
END_S = 1.5
"""For how long placements go before a job's end: users ask for it 3 s after at the earliest."""
LOW_END_S = 40.0
"""The same for jobs of the lowest priority: hundreds of single tasks that end must not keep the
placements of others waiting."""
REJECTED_RETRY_S = 1.0
"""Pause before a final record that was called malformed is proposed again."""
READ_RETRY_S = 0.2
"""Pause after a record could not be read."""


class _Summary(NamedTuple):
    """A final record with the summary of a cancelled job, which replaces one of this version."""

    job_id: str
    version: int
    record: wire.StoredJob


class Ledger(JobStore):
    """Writes jobs and tasks; the shards' part of it only for shards that are owned."""

    def __init__(
        self,
        model: Model,
        state: StateClient,
        committer: GroupCommitter,
        changed: Callable[[], None],
        resign: Callable[[Shard], None],
    ) -> None:
        """`changed`: called after the model has changed; `resign`: gives up a shard, with the lock
        held."""
        super().__init__(model, state, committer, changed)
        self._resign = resign
        self._task_log = TaskLogWriter(model, state, committer, changed, resign)
        self._tasks = BackgroundTasks()
        self._is_writing_summaries = False

    def flush(self) -> None:
        """Start the writes that are due; called after every change and by a timer."""
        model = self._model
        now = model.clock.now()
        with model.lock:
            for index in list(model.jobs_ending):
                self._start_end(index)
            for shard in model.shards:
                # At a level that this program does not support nothing is composed any more,
                # whether or not the state watcher has shown the level yet.
                if shard.owned and not shard.committing and model.is_supported:
                    self._task_log.flush(shard, now)

    def refresh(self, shard: Shard, number: int) -> bool:
        """Write one page anew in the level's form; see `TaskLogWriter.refresh`."""
        return self._task_log.refresh(shard, number)

    # ---- ends of jobs ----

    def _start_end(self, index: int) -> None:
        """Start writing a job's final record, unless it is on its way; with the lock held."""
        model = self._model
        job = model.jobs[index] if index < len(model.jobs) else None
        if job is None or not job.ending or not model.shards[job.shard].owned:
            model.jobs_ending.discard(index)
        elif not job.end_sent:
            job.end_sent = True
            self._tasks.spawn(self._end(job))

    async def _end(self, job: Job) -> None:
        """Write the final record of a job all of whose tasks are done."""
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
                wanted=lambda: shard.owned and shard.term == term and job.phase == Phase.OPEN,
                patience_s=END_S if job.rank else LOW_END_S,
            )
        except ProposalDroppedError:
            job.end_sent = False
        except StateUnavailableError:
            # A proposal without a deadline fails so only if it was called malformed.
            await asyncio.sleep(REJECTED_RETRY_S)
            job.end_sent = False
        except ConditionFailedError as error:
            job.end_sent = False
            await self._on_end_refused(job, shard, term, error)
        else:
            with model.lock:
                model.apply(key, value, revision)
        self._changed()

    async def _on_end_refused(
        self, job: Job, shard: Shard, term: int, error: ConditionFailedError
    ) -> None:
        is_claim_lost = claim_key(shard.index) in error.failed
        if is_claim_lost and shard.owned and shard.term == term:
            # Otherwise the shard was given up, or claimed anew, after this was sent.
            self._resign(shard)
        try:
            await self.read(job.id)
        except StateUnavailableError:
            await asyncio.sleep(READ_RETRY_S)

    # ---- summaries and counts ----

    def write_summaries(self) -> None:
        """Add the summaries of cancelled jobs to their records; called now and then."""
        accounts = self._model.accounts
        if accounts is None or self._is_writing_summaries:
            return
        with self._model.lock:
            summaries = [
                _Summary(job_id, entry.version, accounts.summarized_record(entry))
                for job_id, entry in accounts.next_unsummarized()
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
            # Written before, without a response, or by an owner before this one.
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
        """Write the counts of finished and evicted tasks of an owned shard (G and F of the GFS
        paper)."""
        key = counts_key(shard.index)
        value = wire.raw(wire.StoredCounts(shard.finished, shard.evicted))
        try:
            revision = await self._committer.commit(
                Urgency.UPKEEP,
                {claim_key(shard.index): shard.term, key: shard.counts_version},
                [wire.Write(put=key, value=value)],
                COUNTS_DEADLINE_S,
                wanted=lambda: shard.owned,
            )
            with self._model.lock:
                self._model.apply(key, value, revision)
        except (ConditionFailedError, StateUnavailableError, ProposalDroppedError):
            log.debug("counts not written shard=%d", shard.index)
