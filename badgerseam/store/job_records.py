"""Job records: acceptance, cancellation and amendment by users, and reads of the current record."""

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
from badgerseam.store.limits import TransactionLimits
from badgerseam.wire import state as wire
from badgerseam.wire.accounting import Usage
from badgerseam.wire.users import Submission

USER_DEADLINE_S = 1.5
"""A request that cannot be served fails after this time, well before a client's usual timeout."""
READ_DEADLINE_S = 1.0
MAX_READ_ATTEMPTS = 3
"""How often a record that is not found is read, if its job becomes known during each read."""
RECORD_BYTES = 256
"""Upper bound on what a job's record contains besides the job's description."""
MAX_CANCEL_ATTEMPTS = 4
MAX_AMEND_ATTEMPTS = 6

TermsChange = Callable[[Job], tuple[Submission, dict[str, int]]]
"""Returns a job's description with changed terms, and the versions that other keys must have for
the change to be valid."""


class _StoredVersion(NamedTuple):
    """A job's record and its version."""

    record: wire.StoredJob
    version: int


class JobStore:
    """Writes and reads the records of jobs, regardless of which controller owns their shards."""

    def __init__(
        self,
        model: Model,
        state: StateClient,
        committer: GroupCommitter,
        on_change: Callable[[], None],
    ) -> None:
        """`on_change`: called after the model has changed."""
        self._model = model
        self._state = state
        self._committer = committer
        self._on_change = on_change
        self._max_spec_bytes = TransactionLimits.of(state.params).value_bytes - RECORD_BYTES
        self.class_of: Callable[[Submission], int] | None = None
        """Returns the priority class of a submission; None if the site has no classes."""

    def size_problem(self, spec: Submission) -> str | None:
        """Returns why a job's description is too large to be stored, naming its largest field; None
        if it can be stored."""
        size = len(wire.encode(spec))
        if size <= self._max_spec_bytes:
            return None
        sizes = {name: len(wire.encode(v)) for name, v in msgspec.to_builtins(spec).items()}
        largest = max(sizes, key=lambda name: sizes[name])
        return (
            f"{largest}: the description takes {size} bytes, of which {largest} takes "
            f"{sizes[largest]}, and at most {self._max_spec_bytes} can be stored: shorten {largest}"
        )

    async def accept(self, spec: Submission) -> bool:
        """Writes a new job's record; False if there already is one, which is then read."""
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
                raise StateUnavailableError(
                    f"job {spec.id} not accepted: its record exists but could not be read"
                ) from None
            return False
        self._apply(key, value, revision)
        return True

    async def cancel(self, job_id: str) -> Phase | None:
        """Writes a cancellation; returns the final phase, or None if there is no such job."""
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
            value = wire.raw(self._storable(final))
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
        raise StateUnavailableError(f"job {job_id} not cancelled: its record kept changing")

    def _storable(self, record: wire.StoredJob) -> wire.StoredJob:
        """Returns a cancelled job's record, without parts of the description if it is too large.

        The description may have been stored under a higher limit. What is left out only matters to
        tasks that are yet to be started.
        """
        if record.spec is None or len(wire.encode(record)) <= self._committer.limits.value_bytes:
            return record
        spec = msgspec.structs.replace(
            record.spec, types=None, zone=None, terms=None, image=record.spec.image[:1]
        )
        return msgspec.structs.replace(record, spec=spec)

    def _cancelled_record(self, job_id: str, stored: wire.StoredJob) -> wire.StoredJob | None:
        """Returns the final record of a cancelled job that is not in the model, because its team is
        no longer in the settings.

        None if the job is in the model by now, or the record has no description of it.
        """
        model = self._model
        with model.lock:
            is_known = job_id in model.ended or model.job(job_id) is not None
        if is_known or not stored.spec:
            return None
        return wire.StoredJob("withdrawn", stored.spec.tasks, stored.accepted_at, stored.spec)

    async def amend(self, job_id: str, change: TermsChange) -> Job | Phase | None:
        """Writes changed terms of an open job.

        Returns the changed job, the phase of a job that has ended, or None if there is no such job.
        `change` is called again if the record, or a record that it named as a condition, has
        changed in the meantime; it must be idempotent.
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
            # The conditions are checked even if nothing changes, since the model may be outdated.
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
        raise StateUnavailableError(f"job {job_id} not amended: its record kept changing")

    def _apply(self, key: str, value: Raw, version: int) -> None:
        """Applies a record that was written or read to the model."""
        with self._model.lock:
            self._model.apply(key, value, version)
        self._on_change()

    async def read(self, job_id: str, reserve_fraction: float = 0.0) -> Phase | None:
        """Reads a job's current phase; None only if the state service has no record of the job.

        `reserve_fraction`: the fraction of a second's requests that is left to other callers.
        """
        found = await self._fetch(job_id, reserve_fraction)
        if found is None:
            return None
        # The job's end may have reached the model, and users, after the record was read.
        ended = self._model.ended.get(job_id)
        return PHASE_NAMES[found.record.state] if ended is None else ended[0]

    async def _fetch(self, job_id: str, reserve_fraction: float = 0.0) -> _StoredVersion | None:
        """Reads a job's current record, applies it to the model and returns it."""
        for _ in range(MAX_READ_ATTEMPTS):
            entry = await self._state.get(job_key(job_id), READ_DEADLINE_S, reserve_fraction)
            if entry is not None:
                self._apply(entry.key, entry.value, entry.version)
                return _StoredVersion(
                    msgspec.json.decode(entry.value, type=wire.StoredJob), entry.version
                )
            with self._model.lock:
                is_known = job_id in self._model.ended or job_id in self._model.job_index
            # If the job was accepted during the read, its user may already know this, so it must
            # not be reported as missing: read again.
            if not is_known:
                return None
        raise StateUnavailableError(f"job {job_id} is in the model but its record was not found")

    def final_record(
        self, job: Job, state: str, spec: Submission | None, usage: Usage | None
    ) -> wire.StoredJob:
        """Returns a job's final record, which for a member of a plan's run identifies the run."""
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
