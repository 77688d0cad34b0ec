"""What is durable first: acceptances, cancellations, placements, finished tasks."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine

import msgspec

from badgerseam.model.job import PHASE_NAMES, Attempt, Chunk, Job, Phase, Stage
from badgerseam.model.model import (
    Model,
    Share,
    chunk_key,
    claim_key,
    counts_key,
    job_key,
    machine_key,
)
from badgerseam.store.client import Refused, StateClient, Unavailable
from badgerseam.store.committer import Committer, Dropped, Urgency
from badgerseam.wire import state as wire
from badgerseam.wire.users import Submission

log = logging.getLogger("badgerseam.store")

USER_DEADLINE_S = 1.5
"""A user who can't be served is told so soon, not when the patience is nearly over."""
READ_DEADLINE_S = 1.0


class Ledger:
    """Writes jobs and tasks; the shares' part of it only for shares that are owned."""

    def __init__(
        self,
        model: Model,
        state: StateClient,
        committer: Committer,
        changed: Callable[[], None],
        resign: Callable[[Share], None],
    ) -> None:
        self._model = model
        self._state = state
        self._committer = committer
        self._changed = changed
        self._resign = resign
        self._tasks: set[asyncio.Task[None]] = set()
        self.placed: int = 0

    # ---- for users ----

    async def accept(self, spec: Submission) -> Phase:
        """Make a job durable; its phase if it was known already."""
        model = self._model
        stored = wire.StoredJob("open", spec.tasks, round(model.clock.wall(), 3), spec)
        value = wire.raw(stored)
        key = job_key(spec.id)
        try:
            revision = await self._committer.commit(
                Urgency.USER, {key: 0}, [wire.Write(put=key, value=value)], USER_DEADLINE_S
            )
        except Refused:
            phase = await self.read(spec.id)
            if phase is None:
                raise Unavailable("refused, but not found") from None
            return phase
        with model.lock:
            model.apply(key, value, revision)
        self._changed()
        return Phase.OPEN

    async def cancel(self, job_id: str) -> Phase | None:
        """Make a cancellation durable; the final phase, or None if there is no such job."""
        model = self._model
        key = job_key(job_id)
        for _ in range(4):
            with model.lock:
                ended = model.ended.get(job_id)
                job = model.job(job_id)
            if ended is not None:
                return ended[0]
            if job is None:
                if await self.read(job_id) is None:
                    return None
                continue
            value = wire.raw(
                wire.StoredJob("withdrawn", job.tasks, round(job.submitted, 3), job.spec)
            )
            try:
                revision = await self._committer.commit(
                    Urgency.USER,
                    {key: job.version},
                    [wire.Write(put=key, value=value)],
                    USER_DEADLINE_S,
                )
            except Refused:
                await self.read(job_id)
                continue
            with model.lock:
                model.apply(key, value, revision)
            self._changed()
            return Phase.WITHDRAWN
        raise Unavailable("the job keeps changing")

    async def read(self, job_id: str) -> Phase | None:
        """A job's phase as the state service has it now; None only if it answers so."""
        entry = await self._state.get(job_key(job_id), READ_DEADLINE_S)
        if entry is None:
            return None
        with self._model.lock:
            self._model.apply(entry.key, entry.value, entry.version)
        self._changed()
        return PHASE_NAMES[msgspec.json.decode(entry.value, type=wire.StoredJob).state]

    # ---- for owned shares ----

    def flush(self) -> None:
        """Start the writes that are due; called after every change and by a timer."""
        model = self._model
        now = model.clock.now()
        with model.lock:
            for index in list(model.dirty):
                job = model.jobs[index] if index < len(model.jobs) else None
                if job is None or job.phase != Phase.OPEN or not model.shares[job.share].owned:
                    model.dirty.discard(index)
                    continue
                if job.ending:
                    if not job.end_sent and not job.writing:
                        job.end_sent = True
                        self._spawn(self._end(job))
                    continue
                for number, due in list(job.dirty.items()):
                    if due <= now and number not in job.writing:
                        job.writing.add(number)
                        del job.dirty[number]
                        self._write_chunk(job, number)
                if not job.dirty and not job.writing:
                    model.dirty.discard(index)
            if model.garbage:
                self._collect()

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _write_chunk(self, job: Job, number: int) -> None:
        model = self._model
        share = model.shares[job.share]
        chunk = job.chunks.setdefault(number, Chunk())
        stored = job.encode_chunk(number)
        conditions = {
            claim_key(share.index): share.term,
            job_key(job.id): job.version,
            chunk_key(job.id, number): chunk.version,
        }
        first = number * job.chunk_size
        planned = []
        finished = []
        for task in range(first, min(first + job.chunk_size, job.tasks)):
            attempt = job.attempts.get(task)
            if attempt is None:
                continue
            if attempt.stage == Stage.PLANNED:
                planned.append(attempt)
                conditions[machine_key(attempt.machine.name)] = attempt.machine.version
            elif attempt.finishing:
                finished.append(attempt)
        term = share.term

        async def write() -> None:
            key = chunk_key(job.id, number)
            value = wire.raw(stored)
            try:
                revision = await self._committer.commit(
                    Urgency.PLACE if planned else Urgency.DONE,
                    conditions,
                    [wire.Write(put=key, value=value)],
                    wanted=lambda: share.owned and share.term == term,
                )
            except Dropped:
                job.writing.discard(number)
                return
            except Refused as refusal:
                await self._refused(job, number, stored, planned, finished, refusal, term)
                return
            self._written(job, number, stored, planned, finished, revision, term)

        self._spawn(write())

    def _written(
        self,
        job: Job,
        number: int,
        stored: wire.StoredTasks,
        planned: list[Attempt],
        finished: list[Attempt],
        revision: int,
        term: int,
    ) -> None:
        model = self._model
        with model.lock:
            share = model.shares[job.share]
            job.writing.discard(number)
            chunk = job.chunks.setdefault(number, Chunk())
            if revision > chunk.version:
                chunk.version, chunk.stored = revision, stored
            if not share.owned or share.term != term:
                return
            for attempt in list(job.attempts.values()):
                if attempt in planned:
                    if attempt.stage == Stage.PLANNED:
                        attempt.stage = Stage.PLACED
                    model.pushes.add(attempt.machine.index)
                elif attempt in finished:
                    model.forget_finished(attempt)
            if job.phase != Phase.OPEN:
                model.settle(job)
        self._changed()

    async def _refused(
        self,
        job: Job,
        number: int,
        stored: wire.StoredTasks,
        planned: list[Attempt],
        finished: list[Attempt],
        refusal: Refused,
        term: int,
    ) -> None:
        """Find out whether an earlier sending was applied, and take the plan back if not."""
        model = self._model
        share = model.shares[job.share]
        key = chunk_key(job.id, number)
        failures = 0
        while share.owned and share.term == term:
            try:
                entry = await self._state.get(key)
                break
            except Unavailable:
                failures += 1
                await self._state.pause(failures)
        else:
            job.writing.discard(number)
            return
        version = 0 if entry is None else entry.version
        content = None if entry is None else msgspec.json.decode(entry.value, type=wire.StoredTasks)
        if content == stored:
            self._written(job, number, stored, planned, finished, version, term)
            return
        log.info("%s: not written, changed meanwhile: %s", key, refusal)
        with model.lock:
            job.writing.discard(number)
            chunk = job.chunks.get(number)
            if not share.owned or share.term != term or chunk is None:
                return
            if version != chunk.version or claim_key(share.index) in refusal.failed:
                # Somebody else wrote for our share: we are not its owner any more.
                self._resign(share)
                return
            for attempt in list(job.attempts.values()):
                if attempt in planned and attempt.stage == Stage.PLANNED:
                    model.unplace(attempt)
            if chunk.version == 0:
                del job.chunks[number]
            if finished:
                job.dirty[number] = model.clock.now() + 0.1
                model.dirty.add(job.index)
        try:
            await self.read(job.id)
        except Unavailable:
            log.debug("%s: could not be read", job.id)
        self._changed()

    async def _end(self, job: Job) -> None:
        model = self._model
        share = model.shares[job.share]
        term = share.term
        key = job_key(job.id)
        value = wire.raw(wire.StoredJob("done", job.tasks, round(job.submitted, 3)))
        try:
            revision = await self._committer.commit(
                Urgency.PLACE,
                {claim_key(share.index): term, key: job.version},
                [wire.Write(put=key, value=value)],
                wanted=lambda: share.owned and share.term == term and job.phase == Phase.OPEN,
            )
        except Dropped:
            job.end_sent = False
        except Refused as refusal:
            job.end_sent = False
            if claim_key(share.index) in refusal.failed:
                self._resign(share)
            try:
                await self.read(job.id)
            except Unavailable:
                await asyncio.sleep(0.2)
        else:
            with model.lock:
                model.apply(key, value, revision)
        self._changed()

    def _collect(self) -> None:
        """Delete a few chunks of ended jobs, when nothing more urgent needs the budget."""
        model = self._model
        if model.collecting:
            return
        mine = [key for key in model.garbage if self._is_mine(key)][: self._state.params.txn_ops]
        if not mine:
            return
        model.collecting = True
        writes = [wire.Write(delete=key) for key in mine]

        async def delete() -> None:
            try:
                await self._committer.commit(Urgency.UPKEEP, {}, writes, 20.0)
            except (Refused, Unavailable, Dropped):
                log.debug("chunks of ended jobs not deleted")
            else:
                with model.lock:
                    for key in mine:
                        model.garbage.pop(key, None)
            finally:
                model.collecting = False

        self._spawn(delete())

    def _is_mine(self, key: str) -> bool:
        # Whoever holds the first share cleans up where the share is not known any more.
        return self._model.shares[max(self._model.garbage[key], 0)].owned

    async def write_counts(self, share: Share) -> None:
        """Write G and F of an owned share."""
        key = counts_key(share.index)
        value = wire.raw(wire.StoredCounts(share.finished, share.evicted))
        try:
            await self._committer.commit(
                Urgency.UPKEEP,
                {claim_key(share.index): share.term},
                [wire.Write(put=key, value=value)],
                5.0,
                wanted=lambda: share.owned,
            )
        except (Refused, Unavailable, Dropped):
            log.debug("counts of share %d not written", share.index)
