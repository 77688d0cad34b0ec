"""Records of single jobs: acceptance, cancellation and amendment by users, and current reads."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import msgspec
from msgspec import Raw

from badgerseam.model.job import PHASE_NAMES, Job, Phase
from badgerseam.model.keys import job_key
from badgerseam.model.model import Model
from badgerseam.store.client import ConditionFailedError, StateClient, StateUnavailableError
from badgerseam.store.committer import GroupCommitter, Urgency
from badgerseam.wire import state as wire
from badgerseam.wire.accounting import Usage
from badgerseam.wire.users import Submission

USER_DEADLINE_S = 1.5
"""A user whose request cannot be served is told so soon, well before a client's usual timeout."""
READ_DEADLINE_S = 1.0
MAX_READ_ATTEMPTS = 3
"""Reads of a record that is not found, although it becomes known before each response."""
MAX_CANCEL_ATTEMPTS = 4
MAX_AMEND_ATTEMPTS = 6

TermsChange = Callable[[Job], tuple[Submission, dict[str, int]]]
"""A job's description with changed terms, and the versions of other keys under which it holds."""


class _StoredVersion(NamedTuple):
    """A job's record and its version."""

    record: wire.StoredJob
    version: int


class JobStore:
    """Writes and reads the records of jobs, whoever owns their shards."""

    def __init__(
        self,
        model: Model,
        state: StateClient,
        committer: GroupCommitter,
        changed: Callable[[], None],
    ) -> None:
        """`changed`: called after the model has changed."""
        self._model = model
        self._state = state
        self._committer = committer
        self._changed = changed
        self.class_of: Callable[[Submission], int] | None = None
        """The priority class of a submission, where there are classes."""

    async def accept(self, spec: Submission) -> bool:
        """Make a job durable; False if it was known already, and its record was read instead."""
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
        self._apply(key, value, revision)
        return True

    async def cancel(self, job_id: str) -> Phase | None:
        """Make a cancellation durable; the final phase, or None if there is no such job."""
        model = self._model
        key = job_key(job_id)
        for _ in range(MAX_CANCEL_ATTEMPTS):
            with model.lock:
                ended = model.ended.get(job_id)
                job = model.job(job_id)
            if ended is not None:
                return ended[0]
            if job is not None:
                final = self.final_record(job, "withdrawn", job.spec, None)
                version = job.version
            else:
                found = await self._fetch(job_id)
                if found is None:
                    return None
                cancelled = self._cancelled_record(job_id, found.record)
                if cancelled is None:
                    continue
                final, version = cancelled, found.version
            value = wire.raw(final)
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
            self._apply(key, value, revision)
            return Phase.CANCELLED
        raise StateUnavailableError("the job keeps changing")

    def _cancelled_record(self, job_id: str, stored: wire.StoredJob) -> wire.StoredJob | None:
        """The final record of a job that the model does not hold, since the settings no longer name
        its team; None if the model knows it by now, or the record has no terms."""
        model = self._model
        with model.lock:
            is_known = job_id in model.ended or model.job(job_id) is not None
        if is_known or not stored.spec:
            return None
        return wire.StoredJob("withdrawn", stored.spec.tasks, stored.accepted_at, stored.spec)

    async def amend(self, job_id: str, change: TermsChange) -> Job | Phase | None:
        """Make changed terms of an open job durable: the job as it is then, or the phase of one
        that has ended, or None if there is no such job.

        `change` is called again whenever the record, or one of those that it named as conditions,
        has changed meanwhile; applied to its own result it must give the same.
        """
        model = self._model
        key = job_key(job_id)
        for _ in range(MAX_AMEND_ATTEMPTS):
            with model.lock:
                ended = model.ended.get(job_id)
                job = model.job(job_id)
                if ended is not None:
                    return ended[0]
                changed = None if job is None else change(job)
            if job is None or changed is None:
                if await self.read(job_id) is None:
                    return None
                continue
            spec, conditions = changed
            value = wire.raw(_amended_record(job, spec))
            # A change that changes nothing is confirmed all the same: the model may be outdated.
            writes = [] if spec == job.spec else [wire.Write(put=key, value=value)]
            try:
                revision = await self._committer.commit(
                    Urgency.USER, conditions | {key: job.version}, writes, USER_DEADLINE_S
                )
            except ConditionFailedError as error:
                for failed_key in error.failed:
                    await self.read(failed_key.rpartition("/")[2])
                continue
            if writes:
                self._apply(key, value, revision)
            return job
        raise StateUnavailableError("the job keeps changing")

    def _apply(self, key: str, value: Raw, version: int) -> None:
        """Take a record over that was written or read."""
        with self._model.lock:
            self._model.apply(key, value, version)
        self._changed()

    async def read(self, job_id: str, reserve_fraction: float = 0.0) -> Phase | None:
        """A job's phase as the state service has it now; None only if it has no record of it.

        `reserve_fraction`: the part of a second's requests that is left to other callers.
        """
        found = await self._fetch(job_id, reserve_fraction)
        if found is None:
            return None
        # The end may have become known, and users may have seen it, since the record was read.
        ended = self._model.ended.get(job_id)
        return PHASE_NAMES[found.record.state] if ended is None else ended[0]

    async def _fetch(self, job_id: str, reserve_fraction: float = 0.0) -> _StoredVersion | None:
        """Apply a job's record as the state service has it now to the model, and return it."""
        for _ in range(MAX_READ_ATTEMPTS):
            entry = await self._state.get(job_key(job_id), READ_DEADLINE_S, reserve_fraction)
            if entry is not None:
                self._apply(entry.key, entry.value, entry.version)
                return _StoredVersion(
                    msgspec.json.decode(entry.value, type=wire.StoredJob), entry.version
                )
            with self._model.lock:
                is_known = job_id in self._model.ended or job_id in self._model.job_index
            # If the job was accepted while the response was on its way, its user may have seen
            # that: read again.
            if not is_known:
                return None
        raise StateUnavailableError("known, but not found")

    def final_record(
        self, job: Job, state: str, spec: Submission | None, usage: Usage | None
    ) -> wire.StoredJob:
        """A job's final record; for a member of a plan's run, with what identifies the run."""
        observer = self._model.job_observer
        accepted_at = round(job.submitted, 3)
        plan = None if observer is None else observer.plan_of(job)
        if plan is None:
            return wire.StoredJob(state, job.tasks, accepted_at, spec, usage)
        return wire.StoredMember(
            state, job.tasks, accepted_at, spec, usage, job.queue_position, plan, job.durably_done()
        )


def _amended_record(job: Job, spec: Submission) -> wire.StoredJob:
    accepted_at = round(job.submitted, 3)
    return wire.StoredJob("open", job.tasks, accepted_at, spec, None, job.queue_position)
