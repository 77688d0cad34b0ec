"""Records of single jobs as users change them: acceptances, cancellations, changed terms; and reads
of them that tell what the state service has now."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from badgerseam.model.job import PHASE_NAMES, Job, Phase
from badgerseam.model.keys import job_key
from badgerseam.model.model import Model
from badgerseam.store.client import ConditionFailedError, StateClient, StateUnavailableError
from badgerseam.store.committer import GroupCommitter, Urgency
from badgerseam.wire import state as wire
from badgerseam.wire.accounting import Usage
from badgerseam.wire.users import Submission

USER_DEADLINE_S = 1.5
"""A user who can't be served is told so soon, not when the patience is nearly over."""
READ_DEADLINE_S = 1.0
MAX_READ_ATTEMPTS = 3
"""Reads of a record that is not found, and comes to be known each time until the answer arrives."""

Change = Callable[[Job], tuple[Submission, dict[str, int]]]
"""A job's description with other terms, and conditions on other keys under which it holds."""


class JobStore:
    """Writes and reads the records of jobs, whoever owns their shares."""

    def __init__(
        self,
        model: Model,
        state: StateClient,
        committer: GroupCommitter,
        changed: Callable[[], None],
    ) -> None:
        self._model = model
        self._state = state
        self._committer = committer
        self._changed = changed
        self.class_of: Callable[[Submission], int] | None = None
        """The priority class of what is submitted, where classes are kept."""

    async def accept(self, spec: Submission) -> bool:
        """Make a job durable; False if it was known already, its record is taken over then."""
        model = self._model
        stored = wire.StoredJob("open", spec.tasks, round(model.clock.wall(), 3), spec)
        value = wire.raw(stored)
        key = job_key(spec.id)
        try:
            revision = await self._committer.commit(
                Urgency.USER,
                {key: 0},
                [wire.Write(put=key, value=value)],
                USER_DEADLINE_S,
                priority_class=0 if self.class_of is None else self.class_of(spec),
            )
        except ConditionFailedError:
            if await self.read(spec.id) is None:
                raise StateUnavailableError("refused, but not found") from None
            return False
        with model.lock:
            model.apply(key, value, revision)
        self._changed()
        return True

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
            if job is not None:
                spec, version, submitted = job.spec, job.version, round(job.submitted, 3)
            else:
                found = await self._fetch(job_id)
                if found is None:
                    return None
                stored, version = found
                with model.lock:
                    if job_id in model.ended or model.job(job_id) is not None or not stored.spec:
                        continue
                # Of a team that the settings no longer name.
                spec, submitted = stored.spec, stored.accepted_at
            final = wire.StoredJob("withdrawn", spec.tasks, submitted, spec)
            value = wire.raw(
                final if job is None else self.final_record(job, "withdrawn", spec, None)
            )
            try:
                revision = await self._committer.commit(
                    Urgency.USER,
                    {key: version},
                    [wire.Write(put=key, value=value)],
                    USER_DEADLINE_S,
                )
            except ConditionFailedError:
                await self.read(job_id)
                continue
            with model.lock:
                model.apply(key, value, revision)
            self._changed()
            return Phase.CANCELLED
        raise StateUnavailableError("the job keeps changing")

    async def amend(self, job_id: str, change: Change) -> Job | Phase | None:
        """Make changed terms of an open job durable: the job as it is then, or the phase of one
        that has ended, or None if there is no such job.

        `change` is asked again whenever the record, or one of those that it named as conditions,
        has changed meanwhile; it must give the same for its own result.
        """
        model = self._model
        key = job_key(job_id)
        for _ in range(6):
            with model.lock:
                ended = model.ended.get(job_id)
                job = model.job(job_id)
                if ended is not None:
                    return ended[0]
                asked = None if job is None else change(job)
            if job is None or asked is None:
                if await self.read(job_id) is None:
                    return None
                continue
            spec, also = asked
            # A change that changes nothing is confirmed all the same: what we know may be old.
            stored = wire.StoredJob(
                "open", job.tasks, round(job.submitted, 3), spec, None, job.queue_position
            )
            value = wire.raw(stored)
            writes = [] if spec == job.spec else [wire.Write(put=key, value=value)]
            try:
                revision = await self._committer.commit(
                    Urgency.USER, also | {key: job.version}, writes, USER_DEADLINE_S
                )
            except ConditionFailedError as refusal:
                for name in refusal.failed:
                    await self.read(name.rpartition("/")[2])
                continue
            if writes:
                with model.lock:
                    model.apply(key, value, revision)
                self._changed()
            return job
        raise StateUnavailableError("the job keeps changing")

    async def read(self, job_id: str, spared: float = 0.0) -> Phase | None:
        """A job's phase as the state service has it now; None only if it answers so. `spared`: the
        part of a second's requests that is left to others."""
        found = await self._fetch(job_id, spared)
        if found is None:
            return None
        # The end may have come to be known, and users told of it, since the record was read.
        ended = self._model.ended.get(job_id)
        return PHASE_NAMES[found[0].state] if ended is None else ended[0]

    async def _fetch(self, job_id: str, spared: float = 0.0) -> tuple[wire.StoredJob, int] | None:
        """A job's record as the state service has it now, taken over, and its stamp."""
        for _ in range(MAX_READ_ATTEMPTS):
            entry = await self._state.get(job_key(job_id), READ_DEADLINE_S, spared)
            if entry is not None:
                with self._model.lock:
                    self._model.apply(entry.key, entry.value, entry.version)
                self._changed()
                return msgspec.json.decode(entry.value, type=wire.StoredJob), entry.version
            with self._model.lock:
                known = job_id in self._model.ended or job_id in self._model.job_index
            # Accepted while the answer was on its way, its user has perhaps been told: read again.
            if not known:
                return None
        raise StateUnavailableError("known, but not found")

    def final_record(
        self, job: Job, state: str, spec: Submission | None, usage: Usage | None
    ) -> wire.StoredJob:
        """A job's final record; of one that belongs to a plan of runs, with what tells its run."""
        watch, at = self._model.job_observer, round(job.submitted, 3)
        plan = None if watch is None else watch.plan_of(job)
        if plan is None:
            return wire.StoredJob(state, job.tasks, at, spec, usage)
        return wire.StoredMember(
            state, job.tasks, at, spec, usage, job.queue_position, plan, job.durably_done()
        )
