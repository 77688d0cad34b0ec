"""Writes the task logs of owned shards: placements, finished tasks and notes."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import NamedTuple

from badgerseam.background import BackgroundTasks
from badgerseam.levels.table import Behaviour
from badgerseam.model import done_bits
from badgerseam.model.job import Attempt, NoteKey, Phase, Stage
from badgerseam.model.keys import LEVEL_KEY, claim_key, page_key
from badgerseam.model.model import Model
from badgerseam.model.state import Page, Shard
from badgerseam.store.client import ConditionFailedError, StateClient, StateUnavailableError
from badgerseam.store.committer import (
    GroupCommitter,
    ProposalDroppedError,
    ProposalRejectedError,
    Urgency,
)
from badgerseam.store.page_transaction import PageTransaction
from badgerseam.store.task_log import compose_refresh, compose_transaction
from badgerseam.wire import state as wire

log = logging.getLogger("badgerseam.store")

REFRESH_DEADLINE_S = 1.0
"""A page refresh is abandoned after this time, since it blocks all other writes of the shard."""
MIN_REJECTED_PAUSE_S = 1.0
MAX_REJECTED_PAUSE_S = 30.0
"""Bounds of the pause of a shard's writes after a transaction was rejected that cannot be composed
any smaller."""
READ_RETRY_S = 0.2
"""Seconds to wait after the site's level could not be read; the state watcher may receive it in the
meantime."""


class _Pause(NamedTuple):
    """A pause in the writes of a shard."""

    until: float
    seconds: float


class TaskLogWriter:
    """Writes the pages of owned shards, one transaction per shard at a time."""

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
        self._model = model
        self._state = state
        self._committer = committer
        self._on_change = on_change
        self._resign = resign
        self._tasks = BackgroundTasks()
        self._timer: asyncio.TimerHandle | None = None
        self._pauses: dict[int, _Pause] = {}
        """By shard index: the pause after the last rejection, until a transaction is written."""

    def flush(self, shard: Shard, now: float) -> None:
        """Writes the shard's changes if there are any and the write budget allows it now.

        If the budget does not allow it, nothing is queued: a later transaction contains all changes
        up to then. Called with the lock held.
        """
        pause = self._pauses.get(shard.index)
        if not self._has_writes_due(shard, now) or (pause is not None and now < pause.until):
            return
        urgency = Urgency.PLACE if shard.planned else Urgency.DONE
        wait_s = self._committer.wait_s(urgency)
        if wait_s > 0:
            if shard.planned and self._timer is None:
                loop = asyncio.get_running_loop()
                self._timer = loop.call_later(wait_s + 0.001, self._on_timer)
            return
        transaction = compose_transaction(self._model, shard, self._committer.limits)
        if transaction.pages:
            self._start(shard, transaction, urgency)

    def refresh(self, shard: Shard, number: int) -> bool:
        """Rewrites one page in the format of the site's level, with a low urgency. A page whose
        content exceeds the limit is split.

        False if the shard has another write in progress, or the new content does not fit the page.
        """
        if shard.committing or not shard.owned or not self._model.is_supported:
            return False
        limits = self._committer.limits
        max_writes = self._committer.max_writes(Urgency.UPKEEP)
        transaction = compose_refresh(self._model, shard, number, limits, max_writes)
        if transaction is None:
            return False
        self._start(shard, transaction, Urgency.UPKEEP, REFRESH_DEADLINE_S)
        return True

    def _has_writes_due(self, shard: Shard, now: float) -> bool:
        if shard.planned or any(due <= now for due in shard.completions_due.values()):
            return True
        return self._model.is_active(Behaviour.NOTES) and (
            bool(shard.notes_due) or any(due <= now for due in shard.notes_deferred.values())
        )

    def _on_timer(self) -> None:
        self._timer = None
        self._on_change()

    def _start(
        self,
        shard: Shard,
        transaction: PageTransaction,
        urgency: Urgency,
        deadline_s: float | None = None,
    ) -> None:
        shard.committing = True
        self._tasks.spawn(self._write(shard, transaction, urgency, deadline_s))

    async def _write(
        self,
        shard: Shard,
        transaction: PageTransaction,
        urgency: Urgency,
        deadline_s: float | None,
    ) -> None:
        term = shard.term
        limits = self._committer.limits
        writes = [
            wire.Write(put=key, value=wire.raw(entries))
            for key, entries in transaction.values().items()
        ]
        try:
            revision = await self._committer.commit(
                urgency,
                transaction.conditions,
                writes,
                deadline_s,
                should_send=lambda: _is_owned(shard, term),
            )
        except ProposalDroppedError:
            pass
        except ProposalRejectedError:
            planned_jobs = {attempt.job.id for attempt in transaction.planned}
            self._undo(shard, transaction, planned_jobs, term)
            if self._committer.limits == limits:
                self._pause(shard)
        except StateUnavailableError:
            log.debug("page refresh timed out shard=%d", shard.index)
        except ConditionFailedError as error:
            await self._on_condition_failed(shard, transaction, error, term)
        else:
            self._pauses.pop(shard.index, None)
            self._on_written(shard, transaction, revision, term)
        finally:
            shard.committing = False
            self._on_change()

    def _pause(self, shard: Shard) -> None:
        """Pauses the shard's writes: what is due is the same again, and is rejected again."""
        before = self._pauses.get(shard.index)
        pause_s = MIN_REJECTED_PAUSE_S if before is None else 2 * before.seconds
        pause_s = min(pause_s, MAX_REJECTED_PAUSE_S)
        self._pauses[shard.index] = _Pause(self._model.clock.now() + pause_s, pause_s)

    # ---- after a commit ----

    def _on_written(
        self, shard: Shard, transaction: PageTransaction, revision: int, term: int
    ) -> None:
        model = self._model
        with model.lock:
            if not _is_owned(shard, term):
                return
            for number, entries in transaction.pages.items():
                page = Page(revision, entries, transaction.page_bytes[number])
                self._record_page(shard, number, page)
            for attempt in transaction.planned:
                self._record_placement(attempt)
            for attempt in transaction.finished:
                if _is_current(attempt):
                    model.forget_finished(attempt)
            for job in {attempt.job.index: attempt.job for attempt in transaction.planned}.values():
                if job.phase != Phase.OPEN:
                    model.settle(job)

    def _record_page(self, shard: Shard, number: int, page: Page) -> None:
        """Updates the model with a page that was written."""
        model = self._model
        model.pages[shard.index][number] = page
        key = page_key(shard.index, number)
        model.versions[key] = max(page.version, model.versions.get(key, 0))
        for entry in page.jobs.values():
            job = model.job(entry.job)
            if job is None:
                continue
            for part in entry.done:
                first, bits = done_bits.decode(part, model.original_chunk_tasks)
                chunks = done_bits.split(first, bits, job.chunk_size)
                job.done_bits_page.update((chunk, number) for chunk, _ in chunks)
            for note in entry.notes:
                note_key: NoteKey = (type(note), note.number)
                if job.notes.get(note_key) == note:
                    job.notes_page[note_key] = number

    def _record_placement(self, attempt: Attempt) -> None:
        """Marks an attempt as placed: it is durable now and may be launched."""
        if not _is_current(attempt):
            return
        model = self._model
        if attempt.stage == Stage.PLANNED:
            attempt.stage = Stage.PLACED
            attempt.job.mark_changed(attempt.task)
            if model.accounts is not None:
                model.accounts.on_attempt_placed(attempt)
        model.machines_to_push.add(attempt.machine.index)

    # ---- after a refusal ----

    async def _on_condition_failed(
        self,
        shard: Shard,
        transaction: PageTransaction,
        error: ConditionFailedError,
        term: int,
    ) -> None:
        """Handles a refused transaction.

        If an earlier attempt to send it was applied, it is recorded as written. Otherwise the
        planned attempts of jobs whose records have changed are undone, and the rest is due again.
        """
        if claim_key(shard.index) in error.failed:
            with self._model.lock:
                if _is_owned(shard, term):
                    # Another controller owns the shard.
                    self._resign(shard)
            return
        if LEVEL_KEY in error.failed:
            await self._read_level()
        numbers = {page_key(shard.index, number): number for number in transaction.pages}
        job_keys = {key for key in error.failed if key != LEVEL_KEY and key not in numbers}
        # Jobs are read before pages: if the transaction turns out to be written, its tasks are
        # launched, which must not happen for a job whose cancellation another controller has
        # confirmed since.
        for key in [*sorted(job_keys), *(key for key in error.failed if key in numbers)]:
            entry = await self._read_until_answered(key, shard, term)
            if not _is_owned(shard, term):
                return
            if key in numbers and entry is not None:
                content = wire.page_decoder.decode(entry.value)
                if content == list(transaction.pages[numbers[key]].values()):
                    self._on_written(shard, transaction, entry.version, term)
                    return
            self._apply_failed_key(shard, key, entry, is_page=key in numbers)
        job_ids = {key.rpartition("/")[2] for key in job_keys}
        if job_ids:
            log.info("placements refused shard=%d jobs=%s", shard.index, ",".join(sorted(job_ids)))
        self._undo(shard, transaction, job_ids, term)

    def _apply_failed_key(
        self, shard: Shard, key: str, entry: wire.Entry | None, is_page: bool
    ) -> None:
        with self._model.lock:
            if entry is not None:
                # If the key is a page, it was written by a refresh that timed out and was applied
                # late, and it contains nothing new: the condition on the claim held, so no other
                # controller has written it. The shard must not be given up in this case.
                self._model.apply(key, entry.value, entry.version)
            elif is_page:
                self._resign(shard)

    async def _read_until_answered(self, key: str, shard: Shard, term: int) -> wire.Entry | None:
        """Reads a key, and retries until there is a response or the shard is no longer owned."""
        failures = 0
        while _is_owned(shard, term):
            try:
                return await self._state.get(key)
            except StateUnavailableError:
                failures += 1
                await self._state.back_off(failures)
        return None

    async def _read_level(self) -> None:
        """Reads the level after a write failed on it, so that the retry uses the current format."""
        try:
            entry = await self._state.get(LEVEL_KEY)
        except StateUnavailableError:
            entry = None
        if entry is None:
            await asyncio.sleep(READ_RETRY_S)
            return
        with self._model.lock:
            self._model.apply(entry.key, entry.value, entry.version)

    def _undo(
        self, shard: Shard, transaction: PageTransaction, job_ids: set[str], term: int
    ) -> None:
        """Reverts a transaction that was not written: undoes the planned attempts of these jobs,
        and makes the rest due again."""
        model = self._model
        with model.lock:
            if not _is_owned(shard, term):
                return
            for attempt in transaction.planned:
                if not _is_current(attempt):
                    continue
                if attempt.job.id in job_ids:
                    model.unplace(attempt)
                else:
                    shard.planned.append(attempt)
            for job, chunk in transaction.done_chunks:
                if model.jobs[job.index] is job:
                    job.done_bits_changed.add(chunk)
                    shard.completions_due[job.index] = model.clock.now()
            for job, key in transaction.notes:
                if model.jobs[job.index] is job:
                    job.notes_changed.add(key)
                    shard.notes_due.add(job.index)


def _is_owned(shard: Shard, term: int) -> bool:
    """Whether the shard is still owned under the claim with this term."""
    return shard.owned and shard.term == term


def _is_current(attempt: Attempt) -> bool:
    return attempt.job.attempts.get(attempt.task) is attempt
