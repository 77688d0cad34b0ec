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
from badgerseam.model.state import Page, Share
from badgerseam.store.client import Refused, StateClient, Unavailable
from badgerseam.store.committer import Committer, Dropped, Rejected, Urgency
from badgerseam.store.job_records import JobRecords
from badgerseam.store.task_log import Draft, compose, refresh
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


class Ledger(JobRecords):
    """Writes jobs and tasks; the shares' part of it only for shares that are owned."""

    def __init__(
        self,
        model: Model,
        state: StateClient,
        committer: Committer,
        changed: Callable[[], None],
        resign: Callable[[Share], None],
    ) -> None:
        super().__init__(model, state, committer, changed)
        self._resign = resign
        self._tasks = BackgroundTasks()
        self._timer: asyncio.TimerHandle | None = None
        self._closing = False

    # ---- for owned shares ----

    def flush(self) -> None:
        """Start the writes that are due; called after every change and by a timer."""
        model = self._model
        now = model.clock.now()
        with model.lock:
            for index in list(model.ending):
                job = model.jobs[index] if index < len(model.jobs) else None
                if job is None or not job.ending or not model.shares[job.share].owned:
                    model.ending.discard(index)
                elif not job.end_sent:
                    job.end_sent = True
                    self._spawn(self._end(job))
            for share in model.shares:
                # At a level that we do not fit nothing is composed any more, known to the
                # replica or not.
                if share.owned and not share.committing and model.fits:
                    self._flush_share(share, now)

    def _flush_share(self, share: Share, now: float) -> None:
        """Write the share's tasks, if there is anything to write and the budget allows it now.

        What has to wait is not queued: it goes with all that has gathered by then.
        """
        planned = bool(share.planned)
        noted = self._model.active(Behaviour.NOTES) and (
            bool(share.notes_due) or any(due <= now for due in share.notes_ride.values())
        )
        if not planned and not noted and not any(due <= now for due in share.bits_due.values()):
            return
        urgency = Urgency.PLACE if planned else Urgency.DONE
        wait_s = self._committer.wait_s(urgency)
        if wait_s > 0:
            if planned and self._timer is None:
                loop = asyncio.get_running_loop()
                self._timer = loop.call_later(wait_s + 0.001, self._wake)
            return
        draft = compose(self._model, share)
        if draft.pages:
            share.committing = True
            self._spawn(self._write(share, draft, urgency))

    def refresh(self, share: Share, number: int) -> bool:
        """Write one page anew in the level's form, behind everything urgent; False if the share
        is busy with another write."""
        if share.committing or not share.owned or not self._model.fits:
            return False
        draft = refresh(self._model, share, number)
        if draft is None:
            return False
        share.committing = True
        self._spawn(self._write(share, draft, Urgency.UPKEEP, REFRESH_S))
        return True

    def _wake(self) -> None:
        self._timer = None
        self._changed()

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        self._tasks.spawn(work)

    async def _write(
        self, share: Share, draft: Draft, urgency: Urgency, deadline_s: float | None = None
    ) -> None:
        term = share.term
        values = {key: wire.raw(value) for key, value in draft.values(share).items()}
        writes = [wire.Write(put=key, value=value) for key, value in values.items()]
        try:
            revision = await self._committer.commit(
                urgency,
                draft.conditions,
                writes,
                deadline_s,
                wanted=lambda: share.owned and share.term == term,
            )
        except Dropped:
            pass
        except Rejected:
            self._take_back(share, draft, {attempt.job.id for attempt in draft.planned}, term)
        except Unavailable:
            log.debug("share %d: a page was not refreshed in time", share.index)
        except Refused as refusal:
            await self._refused(share, draft, refusal, term)
        else:
            self._written(share, draft, revision, term)
        finally:
            share.committing = False
            self._changed()

    def _written(self, share: Share, draft: Draft, revision: int, term: int) -> None:
        model = self._model
        with model.lock:
            if not share.owned or share.term != term:
                return
            for number, entries in draft.pages.items():
                model.pages[share.index][number] = Page(revision, entries)
                key = page_key(share.index, number)
                model.versions[key] = max(revision, model.versions.get(key, 0))
                for entry in entries.values():
                    job = model.job(entry.job)
                    if job is not None:
                        job.bits_page.update((chunk, number) for chunk, _ in entry.done)
                        for note in entry.notes:
                            key_of = (type(note), note.number)
                            if job.notes.get(key_of) == note:
                                job.notes_page[key_of] = number
            for attempt in draft.planned:
                if attempt.job.attempts.get(attempt.task) is attempt:
                    if attempt.stage == Stage.PLANNED:
                        attempt.stage = Stage.PLACED
                        attempt.job.touch(attempt.task)
                        if model.accounts is not None:
                            model.accounts.placed(attempt)
                    model.pushes.add(attempt.machine.index)
            for attempt in draft.finished:
                if attempt.job.attempts.get(attempt.task) is attempt:
                    model.forget_finished(attempt)
            for job in {attempt.job.index: attempt.job for attempt in draft.planned}.values():
                if job.phase != Phase.OPEN:
                    model.settle(job)

    async def _refused(self, share: Share, draft: Draft, refusal: Refused, term: int) -> None:
        """Find out whether an earlier sending was applied; if not, take the plan back where a job
        has changed, and try again with the rest."""
        model = self._model
        if claim_key(share.index) in refusal.failed:
            with model.lock:
                if share.owned and share.term == term:
                    # Somebody else acts for the share.
                    self._resign(share)
            return
        if LEVEL_KEY in refusal.failed:
            await self._read_level()
        pages = {page_key(share.index, number): number for number in draft.pages}
        jobs = {key for key in refusal.failed if key != LEVEL_KEY and key not in pages}
        # Jobs first: where the draft was written, tasks of one were launched that others had
        # confirmed as cancelled since.
        for key in [*sorted(jobs), *(key for key in refusal.failed if key in pages)]:
            entry = await self._look(key, share, term)
            if not share.owned or share.term != term:
                return
            if key in pages and entry is not None:
                content = wire.page_decoder.decode(entry.value)
                if content == list(draft.pages[pages[key]].values()):
                    self._written(share, draft, entry.version, term)
                    return
            with model.lock:
                if entry is not None:
                    # Of a page: the claim held, so that nobody else wrote for the share. One that
                    # was refreshed and given up came late. It says nothing new; the share was given
                    # up for it.
                    model.apply(key, entry.value, entry.version)
                elif key in pages:
                    self._resign(share)
        if jobs:
            log.info("share %d: jobs changed before tasks were placed: %s", share.index, jobs)
        self._take_back(share, draft, {key.rpartition("/")[2] for key in jobs}, term)

    async def _look(self, key: str, share: Share, term: int) -> wire.Entry | None:
        """A key's entry, asked for until that is answered, as long as the share is ours."""
        failures = 0
        while share.owned and share.term == term:
            try:
                return await self._state.get(key)
            except Unavailable:
                failures += 1
                await self._state.pause(failures)
        return None

    def _take_back(self, share: Share, draft: Draft, names: set[str], term: int) -> None:
        """Nothing of a draft was written: what it planned of the jobs named is given up, and the
        rest is composed again."""
        model = self._model
        with model.lock:
            if not share.owned or share.term != term:
                return
            for attempt in draft.planned:
                if attempt.job.attempts.get(attempt.task) is not attempt:
                    continue
                if attempt.job.id in names:
                    model.unplace(attempt)
                else:
                    share.planned.append(attempt)
            for job, chunk in draft.bits:
                if model.jobs[job.index] is job:
                    job.bits_changed.add(chunk)
                    share.bits_due[job.index] = model.clock.now()
            for job, key in draft.notes:
                if model.jobs[job.index] is job:
                    job.notes_changed.add(key)
                    share.notes_due.add(job.index)

    async def _read_level(self) -> None:
        """The site's level has changed under a write: it is composed again in the form of now."""
        try:
            entry = await self._state.get(LEVEL_KEY)
        except Unavailable:
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
        share = model.shares[job.share]
        term = share.term
        key = job_key(job.id)
        usage = None if model.accounts is None else model.accounts.usage(job)
        value = wire.raw(self.final(job, "done", None, usage))
        try:
            revision = await self._committer.commit(
                Urgency.DONE if job.rank else Urgency.UPKEEP,
                {claim_key(share.index): term, key: job.version},
                [wire.Write(put=key, value=value)],
                wanted=lambda: share.owned and share.term == term and job.phase == Phase.OPEN,
                patience_s=END_S if job.rank else LOW_END_S,
            )
        except Dropped:
            job.end_sent = False
        except Unavailable:
            # Without a deadline only one that was called malformed comes to that.
            await asyncio.sleep(1.0)
            job.end_sent = False
        except Refused as refusal:
            job.end_sent = False
            lost = claim_key(share.index) in refusal.failed
            if lost and share.owned and share.term == term:
                # Else it has been given up, or taken anew, since this was sent.
                self._resign(share)
            try:
                await self.read(job.id)
            except Unavailable:
                await asyncio.sleep(0.2)
        else:
            with model.lock:
                model.apply(key, value, revision)
        self._changed()

    def close(self) -> None:
        """Add the summaries of cancelled jobs to their records; called now and then."""
        accounts = self._model.accounts
        if accounts is None or self._closing:
            return
        with self._model.lock:
            due = [
                (job_id, entry.version, accounts.closing(entry)) for job_id, entry in accounts.due()
            ]
        if due:
            self._closing = True
            self._spawn(self._close(due))

    async def _close(self, due: list[tuple[str, int, wire.StoredJob]]) -> None:
        values = {job_key(job_id): wire.raw(stored) for job_id, _, stored in due}
        try:
            revision = await self._committer.commit(
                Urgency.UPKEEP,
                {job_key(job_id): version for job_id, version, _ in due},
                [wire.Write(put=key, value=value) for key, value in values.items()],
                CLOSE_DEADLINE_S,
            )
        except Refused as refusal:
            # Written before, without an answer, or by an owner before us.
            for key in refusal.failed:
                try:
                    await self.read(key.rpartition("/")[2])
                except Unavailable:
                    log.debug("%s: could not be read", key)
        except (Unavailable, Dropped):
            log.debug("%d summaries not written yet", len(due))
        else:
            with self._model.lock:
                for key, value in values.items():
                    self._model.apply(key, value, revision)
        finally:
            self._closing = False

    async def write_counts(self, share: Share) -> None:
        """Write G and F of an owned share."""
        key = counts_key(share.index)
        value = wire.raw(wire.StoredCounts(share.finished, share.evicted))
        try:
            revision = await self._committer.commit(
                Urgency.UPKEEP,
                {claim_key(share.index): share.term, key: share.counts_version},
                [wire.Write(put=key, value=value)],
                5.0,
                wanted=lambda: share.owned,
            )
            with self._model.lock:
                self._model.apply(key, value, revision)
        except (Refused, Unavailable, Dropped):
            log.debug("counts of share %d not written", share.index)
