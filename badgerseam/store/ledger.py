"""What is durable first of owned shares: placements, finished tasks, ends of jobs, counts."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine

from badgerseam.background import BackgroundTasks
from badgerseam.levels.table import Behaviour
from badgerseam.model.job import Job, Phase, Stage
from badgerseam.model.keys import LEVEL_KEY, claim_key, counts_key, job_key, page_key
from badgerseam.model.model import Model
from badgerseam.model.state import Page, Shard
from badgerseam.store.client import ConditionFailedError, StateClient, StateUnavailableError
from badgerseam.store.committer import (
    GroupCommitter,
    ProposalDroppedError,
    ProposalRejectedError,
    Urgency,
)
from badgerseam.store.job_records import JobStore
from badgerseam.store.task_log import Draft, compose_draft, compose_refresh
from badgerseam.wire import state as wire

log = logging.getLogger("badgerseam.store")

CLOSE_DEADLINE_S = 5.0
END_S = 1.5
"""For how long placements go before a job's end: users ask for it 3 s after at the earliest."""
LOW_END_S = 40.0
"""The same for jobs of the lowest priority: hundreds of single tasks that end must not keep the
placements of others waiting."""
REFRESH_S = 1.0
"""A refreshed page keeps the share from writing anything else: it is given up if it has to wait."""


class Ledger(JobStore):
    """Writes jobs and tasks; the shares' part of it only for shares that are owned."""

    def __init__(
        self,
        model: Model,
        state: StateClient,
        committer: GroupCommitter,
        changed: Callable[[], None],
        resign: Callable[[Shard], None],
    ) -> None:
        super().__init__(model, state, committer, changed)
        self._resign = resign
        self._tasks = BackgroundTasks()
        self._timer: asyncio.TimerHandle | None = None
        self._summaries_in_flight = False

    # ---- for owned shares ----

    def flush(self) -> None:
        """Start the writes that are due; called after every change and by a timer."""
        model = self._model
        now = model.clock.now()
        with model.lock:
            for index in list(model.jobs_ending):
                job = model.jobs[index] if index < len(model.jobs) else None
                if job is None or not job.ending or not model.shards[job.shard].owned:
                    model.jobs_ending.discard(index)
                elif not job.end_sent:
                    job.end_sent = True
                    self._spawn(self._end(job))
            for shard in model.shards:
                # At a level that we do not fit nothing is composed any more, known to the
                # replica or not.
                if shard.owned and not shard.committing and model.is_supported:
                    self._flush_shard(shard, now)

    def _flush_shard(self, shard: Shard, now: float) -> None:
        """Write the share's tasks, if there is anything to write and the budget allows it now.

        What has to wait is not queued: it goes with all that has gathered by then.
        """
        planned = bool(shard.planned)
        noted = self._model.is_active(Behaviour.NOTES) and (
            bool(shard.notes_due) or any(due <= now for due in shard.notes_deferred.values())
        )
        if (
            not planned
            and not noted
            and not any(due <= now for due in shard.completions_due.values())
        ):
            return
        urgency = Urgency.PLACE if planned else Urgency.DONE
        wait_s = self._committer.wait_s(urgency)
        if wait_s > 0:
            if planned and self._timer is None:
                loop = asyncio.get_running_loop()
                self._timer = loop.call_later(wait_s + 0.001, self._on_timer)
            return
        draft = compose_draft(self._model, shard)
        if draft.pages:
            shard.committing = True
            self._spawn(self._write(shard, draft, urgency))

    def refresh(self, shard: Shard, number: int) -> bool:
        """Write one page anew in the level's form, behind everything urgent; False if the share
        is busy with another write."""
        if shard.committing or not shard.owned or not self._model.is_supported:
            return False
        draft = compose_refresh(self._model, shard, number)
        if draft is None:
            return False
        shard.committing = True
        self._spawn(self._write(shard, draft, Urgency.UPKEEP, REFRESH_S))
        return True

    def _on_timer(self) -> None:
        self._timer = None
        self._changed()

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        self._tasks.spawn(work)

    async def _write(
        self, shard: Shard, draft: Draft, urgency: Urgency, deadline_s: float | None = None
    ) -> None:
        term = shard.term
        values = {key: wire.raw(value) for key, value in draft.values(shard).items()}
        writes = [wire.Write(put=key, value=value) for key, value in values.items()]
        try:
            revision = await self._committer.commit(
                urgency,
                draft.conditions,
                writes,
                deadline_s,
                wanted=lambda: shard.owned and shard.term == term,
            )
        except ProposalDroppedError:
            pass
        except ProposalRejectedError:
            self._undo_plan(shard, draft, {attempt.job.id for attempt in draft.planned}, term)
        except StateUnavailableError:
            log.debug("share %d: a page was not refreshed in time", shard.index)
        except ConditionFailedError as refusal:
            await self._refused(shard, draft, refusal, term)
        else:
            self._written(shard, draft, revision, term)
        finally:
            shard.committing = False
            self._changed()

    def _written(self, shard: Shard, draft: Draft, revision: int, term: int) -> None:
        model = self._model
        with model.lock:
            if not shard.owned or shard.term != term:
                return
            for number, entries in draft.pages.items():
                model.pages[shard.index][number] = Page(revision, entries)
                key = page_key(shard.index, number)
                model.versions[key] = max(revision, model.versions.get(key, 0))
                for entry in entries.values():
                    job = model.job(entry.job)
                    if job is not None:
                        job.done_bits_page.update((chunk, number) for chunk, _ in entry.done)
                        for note in entry.notes:
                            key_of = (type(note), note.number)
                            if job.notes.get(key_of) == note:
                                job.notes_page[key_of] = number
            for attempt in draft.planned:
                if attempt.job.attempts.get(attempt.task) is attempt:
                    if attempt.stage == Stage.PLANNED:
                        attempt.stage = Stage.PLACED
                        attempt.job.mark_changed(attempt.task)
                        if model.accounts is not None:
                            model.accounts.on_attempt_placed(attempt)
                    model.machines_to_push.add(attempt.machine.index)
            for attempt in draft.finished:
                if attempt.job.attempts.get(attempt.task) is attempt:
                    model.forget_finished(attempt)
            for job in {attempt.job.index: attempt.job for attempt in draft.planned}.values():
                if job.phase != Phase.OPEN:
                    model.settle(job)

    async def _refused(
        self, shard: Shard, draft: Draft, refusal: ConditionFailedError, term: int
    ) -> None:
        """Find out whether an earlier sending was applied; if not, take the plan back where a job
        has changed, and try again with the rest."""
        model = self._model
        if claim_key(shard.index) in refusal.failed:
            with model.lock:
                if shard.owned and shard.term == term:
                    # Somebody else acts for the share.
                    self._resign(shard)
            return
        if LEVEL_KEY in refusal.failed:
            await self._read_level()
        pages = {page_key(shard.index, number): number for number in draft.pages}
        jobs = {key for key in refusal.failed if key != LEVEL_KEY and key not in pages}
        # Jobs first: where the draft was written, tasks of one were launched that others had
        # confirmed as cancelled since.
        for key in [*sorted(jobs), *(key for key in refusal.failed if key in pages)]:
            entry = await self._read_until_answered(key, shard, term)
            if not shard.owned or shard.term != term:
                return
            if key in pages and entry is not None:
                content = wire.page_decoder.decode(entry.value)
                if content == list(draft.pages[pages[key]].values()):
                    self._written(shard, draft, entry.version, term)
                    return
            with model.lock:
                if entry is not None:
                    # Of a page: the claim held, so that nobody else wrote for the share. One that
                    # was refreshed and given up came late. It says nothing new; the share was given
                    # up for it.
                    model.apply(key, entry.value, entry.version)
                elif key in pages:
                    self._resign(shard)
        if jobs:
            log.info("share %d: jobs changed before tasks were placed: %s", shard.index, jobs)
        self._undo_plan(shard, draft, {key.rpartition("/")[2] for key in jobs}, term)

    async def _read_until_answered(self, key: str, shard: Shard, term: int) -> wire.Entry | None:
        """A key's entry, asked for until that is answered, as long as the share is ours."""
        failures = 0
        while shard.owned and shard.term == term:
            try:
                return await self._state.get(key)
            except StateUnavailableError:
                failures += 1
                await self._state.pause(failures)
        return None

    def _undo_plan(self, shard: Shard, draft: Draft, names: set[str], term: int) -> None:
        """Nothing of a draft was written: what it planned of the jobs named is given up, and the
        rest is composed again."""
        model = self._model
        with model.lock:
            if not shard.owned or shard.term != term:
                return
            for attempt in draft.planned:
                if attempt.job.attempts.get(attempt.task) is not attempt:
                    continue
                if attempt.job.id in names:
                    model.unplace(attempt)
                else:
                    shard.planned.append(attempt)
            for job, chunk in draft.bits:
                if model.jobs[job.index] is job:
                    job.done_bits_changed.add(chunk)
                    shard.completions_due[job.index] = model.clock.now()
            for job, key in draft.notes:
                if model.jobs[job.index] is job:
                    job.notes_changed.add(key)
                    shard.notes_due.add(job.index)

    async def _read_level(self) -> None:
        """The site's level has changed under a write: it is composed again in the form of now."""
        try:
            entry = await self._state.get(LEVEL_KEY)
        except StateUnavailableError:
            # The replica will tell.
            await asyncio.sleep(0.2)
            return
        if entry is None:
            await asyncio.sleep(0.2)
            return
        with self._model.lock:
            self._model.apply(entry.key, entry.value, entry.version)

    async def _end(self, job: Job) -> None:
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
            # Without a deadline only one that was called malformed comes to that.
            await asyncio.sleep(1.0)
            job.end_sent = False
        except ConditionFailedError as refusal:
            job.end_sent = False
            lost = claim_key(shard.index) in refusal.failed
            if lost and shard.owned and shard.term == term:
                # Else it has been given up, or taken anew, since this was sent.
                self._resign(shard)
            try:
                await self.read(job.id)
            except StateUnavailableError:
                await asyncio.sleep(0.2)
        else:
            with model.lock:
                model.apply(key, value, revision)
        self._changed()

    def write_summaries(self) -> None:
        """Add the summaries of cancelled jobs to their records; called now and then."""
        accounts = self._model.accounts
        if accounts is None or self._summaries_in_flight:
            return
        with self._model.lock:
            due = [
                (job_id, entry.version, accounts.summarized_record(entry))
                for job_id, entry in accounts.next_unsummarized()
            ]
        if due:
            self._summaries_in_flight = True
            self._spawn(self._write_summaries(due))

    async def _write_summaries(self, due: list[tuple[str, int, wire.StoredJob]]) -> None:
        values = {job_key(job_id): wire.raw(stored) for job_id, _, stored in due}
        try:
            revision = await self._committer.commit(
                Urgency.UPKEEP,
                {job_key(job_id): version for job_id, version, _ in due},
                [wire.Write(put=key, value=value) for key, value in values.items()],
                CLOSE_DEADLINE_S,
            )
        except ConditionFailedError as refusal:
            # Written before, without an answer, or by an owner before us.
            for key in refusal.failed:
                try:
                    await self.read(key.rpartition("/")[2])
                except StateUnavailableError:
                    log.debug("%s: could not be read", key)
        except (StateUnavailableError, ProposalDroppedError):
            log.debug("%d summaries not written yet", len(due))
        else:
            with self._model.lock:
                for key, value in values.items():
                    self._model.apply(key, value, revision)
        finally:
            self._summaries_in_flight = False

    async def write_counts(self, shard: Shard) -> None:
        """Write G and F of an owned share."""
        key = counts_key(shard.index)
        value = wire.raw(wire.StoredCounts(shard.finished, shard.evicted))
        try:
            revision = await self._committer.commit(
                Urgency.UPKEEP,
                {claim_key(shard.index): shard.term, key: shard.counts_version},
                [wire.Write(put=key, value=value)],
                5.0,
                wanted=lambda: shard.owned,
            )
            with self._model.lock:
                self._model.apply(key, value, revision)
        except (ConditionFailedError, StateUnavailableError, ProposalDroppedError):
            log.debug("counts of share %d not written", shard.index)
