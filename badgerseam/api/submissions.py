"""The API for users' jobs: submission, polls, cancellation."""

from __future__ import annotations

import logging
import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from badgerseam.api.batch import BatchApi
from badgerseam.api.confirmations import RESERVED_FRACTION, VersionConfirmations
from badgerseam.api.explain import ExplainApi
from badgerseam.api.replies import (
    RETRY_AFTER_S,
    escaped_error_reply,
    no_such_path_reply,
    starting_reply,
    wrong_method_reply,
)
from badgerseam.http.server import Reply, error_reply
from badgerseam.model.job import Job, Phase
from badgerseam.model.keys import job_key
from badgerseam.model.model import Model
from badgerseam.model.resources import Resources
from badgerseam.options.replicas import ReplicasOptions
from badgerseam.replicas.shapes import infeasible_reason
from badgerseam.store.ledger import Ledger
from badgerseam.wire import batch as batch_wire
from badgerseam.wire import explain as explain_wire
from badgerseam.wire import users as wire

T = TypeVar("T")

log = logging.getLogger("badgerseam.api")

SUBMISSIONS = "/submissions"
ID_TAKEN = "another job has this id"
JOB_ID = re.compile(r"job-[0-9]{1,18}")
MAX_ERROR_LENGTH = 300
"""Maximum length in characters of a decoding error that is sent to a client."""
MAX_READ_ATTEMPTS = 3
"""Reads of a job that changes each time, before its user is asked to retry."""


@dataclass(frozen=True, slots=True)
class _JobAction:
    """The handler of a path below a job's, and the one method that the path allows."""

    method: str
    handler: Callable[[str, bytes], Awaitable[Reply]]
    """Called with the job's id and the request's body."""


class SubmissionsApi:
    """Answers requests at or below `/submissions`."""

    def __init__(
        self,
        model: Model,
        ledger: Ledger,
        confirmations: VersionConfirmations,
        explain: ExplainApi | None,
        batch: BatchApi | None,
        replicas: ReplicasOptions | None,
    ) -> None:
        self._model = model
        self._ledger = ledger
        self._confirmations = confirmations
        self._batch = batch
        self._replicas = replicas
        self._actions = self._job_actions(explain, batch)

    def _job_actions(
        self, explain: ExplainApi | None, batch: BatchApi | None
    ) -> dict[str, _JobAction]:
        """Returns the actions on a job, by the part of the path after its id."""
        actions = {
            "": _JobAction("GET", self._status),
            "abort": _JobAction("POST", self._cancel),
        }
        if batch is not None:
            actions["terms"] = _JobAction("POST", batch.amend)
            actions["details"] = _JobAction("GET", lambda job_id, _: self._details(batch, job_id))
        if explain is not None:
            actions["why"] = _JobAction("GET", lambda job_id, _: self._why(explain, job_id))
        return actions

    async def handle(self, method: str, path: str, body: bytes) -> Reply:
        """Handles a request at or below `/submissions`; `path` excludes the query."""
        if path == SUBMISSIONS:
            if method != "POST":
                return error_reply(405, "POST only")
            return await self._submit(body)
        job_id, _, name = path.removeprefix(SUBMISSIONS + "/").partition("/")
        if not JOB_ID.fullmatch(job_id):
            # A job with an id of another form cannot have been accepted.
            return error_reply(404, "malformed id")
        if not self._model.loaded:
            return starting_reply()
        action = self._actions.get(name)
        if action is None:
            return no_such_path_reply()
        if method != action.method:
            return wrong_method_reply(action.method)
        return await action.handler(job_id, body)

    # ---- submissions ----

    async def _submit(self, body: bytes) -> Reply:
        try:
            spec = wire.submission_decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            log.info("submission refused reason=%s", error)
            return escaped_error_reply(400, str(error)[:MAX_ERROR_LENGTH])
        model = self._model
        with model.lock:
            is_known = spec.id in model.ended or spec.id in model.job_index
            if not is_known and not (model.loaded and model.types):
                return starting_reply()
            reason = None if is_known else self._infeasible_reason(spec)
        if is_known:
            return await self._answer_repeated(spec)
        size_problem = self._ledger.size_problem(spec)
        if size_problem is not None:
            return await self._refuse(spec, size_problem, 400)
        if spec.terms is not None:
            reason = await self._terms_refusal(spec, reason)
        if reason is not None:
            return await self._refuse(spec, reason)
        is_accepted = await self._ledger.accept(spec)
        with model.lock:
            job = None if spec.id in model.ended else model.job(spec.id)
        # 201 is returned only for the transaction that created the job. If the job existed already,
        # or some of its tasks are placed by now, its user may have been told a newer state than
        # this controller has.
        if is_accepted and job is not None and not job.attempts and not job.finished:
            return _status_reply(201, wire.JobStatus(spec.id, "pending"))
        return await self._answer_repeated(spec)

    async def _terms_refusal(self, spec: wire.Submission, reason: str | None) -> str | None:
        """Returns why a new job with terms cannot be accepted, or None. `reason` is what the
        checks before that of the terms returned."""
        if self._batch is None:
            # If the terms were ignored, the job could run despite a hold or a dependency.
            return "terms: this site does not keep them (section batch of the options)"
        return reason or await self._batch.refusal_reason(spec)

    async def _refuse(self, spec: wire.Submission, reason: str, status: int = 422) -> Reply:
        """Refuses a submission, unless it repeats an accepted one: the reply to that is the job's
        state, even if the job would be refused now."""
        if await self._ledger.read(spec.id) is not None:
            return await self._answer_repeated(spec)
        log.info("submission refused job=%s team=%s reason=%s", spec.id, spec.team, reason)
        return escaped_error_reply(status, reason)

    async def _answer_repeated(self, spec: wire.Submission) -> Reply:
        """Returns the state of an existing job, or an error if the id belongs to another job."""
        if self._batch is not None and self._batch.is_id_taken(spec):
            return error_reply(409, ID_TAKEN)
        return await self._status(spec.id)

    def _infeasible_reason(self, spec: wire.Submission) -> str | None:
        """Returns why a job can never run, or None."""
        model = self._model
        index = model.team_index.get(spec.team)
        if index is None:
            return "unknown team"
        demand = Resources(spec.cpus, spec.gpus, spec.memory_gb)
        if not self._fits_any_type(spec, demand):
            return "a task fits no allowed machine type"
        min_tasks_at_once = 1 if spec.kind == "sweep" else spec.tasks
        if not demand.times(min_tasks_at_once).fits_in(model.teams[index].limit):
            return "more than the limit of the team"
        if self._replicas is None:
            return None
        return infeasible_reason(self._replicas, model.types, spec)

    def _fits_any_type(self, spec: wire.Submission, demand: Resources) -> bool:
        """Whether a task fits an empty machine of some type that the job allows."""
        return any(
            demand.fits_in(self._model.capacity(name))
            and (spec.types is None or name in spec.types)
            and (spec.zone is None or spec.zone in machine_type.zones)
            for name, machine_type in self._model.types.items()
        )

    # ---- polls ----

    async def _status(self, job_id: str, _body: bytes = b"") -> Reply:
        found = await self._read_confirmed(
            job_id, lambda job: _status_reply(200, _open_status(job))
        )
        if isinstance(found, wire.JobStatus):
            return _status_reply(200, found)
        return found

    async def _why(self, explain: ExplainApi, job_id: str) -> Reply:
        refusal = explain.rate_limit_reply()
        if refusal is not None:
            return refusal
        found = await self._read_confirmed(job_id, lambda job: job)
        if isinstance(found, wire.JobStatus):
            return Reply(200, explain_wire.encode(explain_wire.Explanation(job_id, found.state)))
        return await explain.why(found) if isinstance(found, Job) else found

    async def _details(self, batch: BatchApi, job_id: str) -> Reply:
        found = await self._read_confirmed(job_id, lambda job: job)
        if isinstance(found, Reply):
            return found
        if isinstance(found, wire.JobStatus):
            done = found.done or 0
            return Reply(
                200, batch_wire.encode(batch_wire.Details(job_id, found.state, done, done))
            )
        return batch.details(found)

    async def _read_confirmed(
        self, job_id: str, read: Callable[[Job], T]
    ) -> T | wire.JobStatus | Reply:
        """Returns the result of `read` for an open job, confirmed not to have changed since; the
        final state of an ended job; or an error reply if neither can be confirmed.

        `read` is called with the model's lock held.
        """
        model = self._model
        for _ in range(MAX_READ_ATTEMPTS):
            with model.lock:
                ended = model.ended.get(job_id)
                if ended is not None:
                    return _ended_status(job_id, *ended)
                job = model.job(job_id)
                if job is not None:
                    version, result = job.version, read(job)
            if job is None:
                phase = await self._ledger.read(job_id, RESERVED_FRACTION)
                if phase is None:
                    return error_reply(404, "no such job")
                with model.lock:
                    if phase == Phase.OPEN and model.job(job_id) is None:
                        # The job was accepted, but its team is no longer in the settings, so
                        # that none of its tasks run. The record was read just now, which is as good
                        # as a confirmation.
                        return wire.JobStatus(job_id, "pending", 0, 0)
                continue
            # Another controller may have told the user that the job has ended before this replica
            # has received the change.
            if not await self._confirmations.unchanged(job_key(job_id), version):
                await self._ledger.read(job_id, RESERVED_FRACTION)
            elif job_id not in model.ended:
                # Otherwise the job ended while the comparison was in progress, and its user may
                # have been told.
                return result
        return error_reply(503, "changing", RETRY_AFTER_S)

    async def _cancel(self, job_id: str, _body: bytes) -> Reply:
        phase = await self._ledger.cancel(job_id)
        if phase is None:
            return error_reply(404, "no such job")
        name = "done" if phase == Phase.DONE else "withdrawn"
        return _status_reply(200, wire.JobStatus(job_id, name))


def _status_reply(code: int, status: wire.JobStatus) -> Reply:
    return Reply(code, wire.status_encoder.encode(status))


def _ended_status(job_id: str, phase: Phase, tasks: int) -> wire.JobStatus:
    """Returns the final state of an ended job."""
    if phase == Phase.DONE:
        return wire.JobStatus(job_id, "done", tasks, 0)
    return wire.JobStatus(job_id, "withdrawn")


def _open_status(job: Job) -> wire.JobStatus:
    """Returns the current state of an open job in the model."""
    running = job.running()
    return wire.JobStatus(job.id, "running" if running else "pending", job.finished, running)
