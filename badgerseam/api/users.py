"""What users ask: submissions, polls, cancellations, readiness."""

from __future__ import annotations

import asyncio
import logging
import re
from collections.abc import Callable
from typing import TypeVar

import msgspec

from badgerseam.api.accounting import ACCOUNTING, AccountingApi
from badgerseam.api.batch import MACHINES, NUMBERS, BatchApi
from badgerseam.api.classes import CLASSES, ClassesApi
from badgerseam.api.explain import ExplainApi
from badgerseam.api.rollout import ROLLOUT, RolloutApi
from badgerseam.api.runs import RUNS, RunsApi
from badgerseam.background import BackgroundTasks
from badgerseam.cluster.availability import UnavailableReason
from badgerseam.cluster.membership import Membership
from badgerseam.http.server import Reply, error_reply
from badgerseam.model.job import Job, Phase
from badgerseam.model.keys import job_key
from badgerseam.model.model import Model
from badgerseam.model.resources import Resources
from badgerseam.options.replicas import ReplicasOptions
from badgerseam.replicas.shapes import infeasible_reason
from badgerseam.store.client import ConditionFailedError, StateClient, StateUnavailableError
from badgerseam.store.ledger import Ledger
from badgerseam.wire import batch as batch_wire
from badgerseam.wire import explain
from badgerseam.wire import users as wire
from badgerseam.wire.state import Condition
from badgerseam.workers.worker_manager import WorkerManager

T = TypeVar("T")

log = logging.getLogger("badgerseam.api")

JOB_ID = re.compile(r"job-[0-9]{1,18}")
ROOT = "/submissions"
QUEUE = "/queue"
ID_TAKEN = "another job has this id"
GATHER_S = 0.004
RESERVED_FRACTION = 0.3
"""Part of a second's requests to the state service that polls leave alone: users that ask many
times as often wait for the next comparison, which serves all who came meanwhile, and renewals of
leases, submissions and what follows the state service do not wait for them."""
RETRY_S = 1
UNSUPPORTED_RETRY_S = 2
"""Told to users of a controller that takes no part: another one answers them."""


class VersionConfirmations:
    """Confirms by one comparing transaction that the jobs asked about have not changed."""

    def __init__(self, state: StateClient) -> None:
        self._state = state
        self._waiting: dict[str, tuple[int, list[asyncio.Future[bool]]]] = {}
        self._running = False
        self._tasks = BackgroundTasks()

    async def unchanged(self, key: str, version: int) -> bool:
        """Whether the key still has the version; Unavailable if nobody can tell."""
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        known = self._waiting.get(key)
        if known is not None and known[0] != version:
            return False
        self._waiting.setdefault(key, (version, []))[1].append(future)
        if not self._running:
            self._running = True
            self._tasks.spawn(self._run())
        return await future

    async def _run(self) -> None:
        try:
            await asyncio.sleep(GATHER_S)
            while self._waiting:
                await self._ask()
        finally:
            self._running = False

    async def _ask(self) -> None:
        """One transaction for what has gathered; everybody who waits for it gets an answer."""
        most = 4 * self._state.params.txn_ops
        batch = dict(list(self._waiting.items())[:most])
        for key in batch:
            del self._waiting[key]
        failed: set[str] = set()
        error: Exception | None = None
        try:
            conditions = [Condition(key, version) for key, (version, _) in batch.items()]
            await self._state.compare_and_swap(conditions, [], 1.2, RESERVED_FRACTION)
        except ConditionFailedError as refusal:
            failed = set(refusal.failed)
        except StateUnavailableError as unavailable:
            error = unavailable
        except Exception as unforeseen:
            # Whatever it was, the next batch is asked: no poll would ever be answered again.
            log.exception("a comparison failed")
            error = unforeseen
        for key, (_, futures) in batch.items():
            for future in futures:
                if future.done():
                    continue
                if error is not None:
                    future.set_exception(StateUnavailableError(str(error)))
                else:
                    future.set_result(key not in failed)


class UserApi:
    """The handler of the address that users, workers and health checks use."""

    def __init__(
        self,
        model: Model,
        state: StateClient,
        ledger: Ledger,
        member: Membership,
        control: WorkerManager,
        alone: Callable[[], str | None],
        questions: ExplainApi | None = None,
        batch: BatchApi | None = None,
        accounting: AccountingApi | None = None,
        rollout: RolloutApi | None = None,
        classes: ClassesApi | None = None,
        runs: RunsApi | None = None,
        replicas: ReplicasOptions | None = None,
    ) -> None:
        self._model = model
        self._replicas = replicas
        self._rollout = rollout
        self._classes = classes
        self._questions = questions
        self._batch = batch
        self._accounting = accounting
        self._alone = alone
        self._ledger = ledger
        self._member = member
        self._control = control
        self._confirm = VersionConfirmations(state)
        self._runs = runs
        if runs is not None:
            runs.confirm_with(self._confirm.unchanged)

    async def handle(self, method: str, path: str, body: bytes) -> Reply:
        """One request of a user or a health check."""
        misfit = self._model.unsupported_reason
        if misfit is not None:
            # What it knows is as old as its standing aside, and in a form that may be past.
            return error_reply(503, misfit, UNSUPPORTED_RETRY_S)
        try:
            if self._rollout is not None and path.startswith(ROLLOUT + "/"):
                return await self._rollout.handle(method, path, body)
            if self._classes is not None and path == CLASSES:
                return await self._classes.handle(method, body)
            if self._runs is not None and path.partition("?")[0].split("/")[1:2] == [RUNS[1:]]:
                return await self._runs.handle(method, path, body)
            return await self._route(method, path, body)
        except StateUnavailableError:
            return error_reply(503, "the state service cannot be asked", RETRY_S)

    def dispatch(self, method: str, path: str, body: bytes) -> Reply | object:
        """Workers' reports are answered at once; the rest may wait for the state service."""
        if path == "/checkin":
            if method != "POST":
                return error_reply(405, "POST only")
            return self._control.handle_heartbeat(body)
        if path.partition("?")[0] == "/ready":
            return self._ready()
        if path == ROLLOUT and method == "GET" and self._rollout is not None:
            # Answered at once: it must not count among the requests that a leaver waits for.
            return self._rollout.view()
        return self.handle(method, path, body)

    def _ready(self) -> Reply:
        # In an outage that all share, no node is better than this one, and a removal from the
        # load balancer would outlast it.
        misfit = self._model.unsupported_reason
        if misfit is not None:
            return error_reply(503, misfit, UNSUPPORTED_RETRY_S)
        if self._member.is_unavailable(UnavailableReason.DRAINING):
            return error_reply(503, "leaving", UNSUPPORTED_RETRY_S)
        if self._model.loaded and self._model.types and self._alone() is None:
            return Reply(200, b'{"ready":true}')
        return error_reply(503, "not ready", RETRY_S)

    async def _route(self, method: str, path: str, body: bytes) -> Reply:
        path, _, query = path.partition("?")
        if path == QUEUE and self._questions is not None:
            if method != "GET":
                return error_reply(405, "GET only")
            if not self._model.loaded:
                return error_reply(503, "starting", RETRY_S)
            return await self._questions.queue(query)
        if self._accounting is not None and path.startswith(ACCOUNTING):
            if method != "GET":
                return error_reply(405, "GET only")
            if not self._model.loaded:
                return error_reply(503, "starting", RETRY_S)
            if path == ACCOUNTING:
                return self._accounting.jobs(query)
            if path == f"{ACCOUNTING}/attempts":
                return await self._accounting.attempts(query)
            if path == f"{ACCOUNTING}/totals":
                return self._accounting.totals()
            return error_reply(404, "no such path")
        if self._batch is not None and path.startswith((NUMBERS, MACHINES)):
            return await self._batch_path(self._batch, method, path, body)
        if path == ROOT:
            if method != "POST":
                return error_reply(405, "POST only")
            return await self._submit(body)
        if not path.startswith(ROOT + "/"):
            return error_reply(404, "no such path")
        job_id, _, action = path[len(ROOT) + 1 :].partition("/")
        if not JOB_ID.fullmatch(job_id):
            # No such id can ever have been accepted.
            return error_reply(404, "malformed id")
        if not self._model.loaded:
            return error_reply(503, "starting", RETRY_S)
        if not action:
            return await self._show(job_id) if method == "GET" else error_reply(405, "GET only")
        if action == "abort":
            return await self._abort(job_id) if method == "POST" else error_reply(405, "POST only")
        if action in ("terms", "details") and self._batch is not None:
            return await self._batch_job(self._batch, method, job_id, action, body)
        if action == "why" and self._questions is not None:
            return await self._why(job_id) if method == "GET" else error_reply(405, "GET only")
        return error_reply(404, "no such path")

    # ---- batch clients ----

    async def _batch_path(self, batch: BatchApi, method: str, path: str, body: bytes) -> Reply:
        if not self._model.loaded:
            return error_reply(503, "starting", RETRY_S)
        if path == NUMBERS and method == "POST":
            return await batch.allocate_numbers(body)
        if path.startswith(NUMBERS + "/") and method == "GET":
            return batch.find_number(path[len(NUMBERS) + 1 :])
        if path == MACHINES and method == "GET":
            return batch.machines()
        return error_reply(404, "no such path, or another method")

    async def _batch_job(
        self, batch: BatchApi, method: str, job_id: str, action: str, body: bytes
    ) -> Reply:
        if action == "terms":
            if method != "POST":
                return error_reply(405, "POST only")
            return await batch.amend(job_id, body)
        if method != "GET":
            return error_reply(405, "GET only")
        found = await self._confirmed(job_id, lambda job: job)
        if isinstance(found, Reply):
            return found
        if isinstance(found, wire.JobStatus):
            ended = batch_wire.Details(job_id, found.state, found.done or 0, found.done or 0)
            return Reply(200, batch_wire.encode(ended))
        return batch.details(found)

    # ---- submissions ----

    async def _submit(self, body: bytes) -> Reply:
        try:
            spec = wire.submission_decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            log.info("refused a submission: %s", error)
            return Reply(400, wire.status_encoder.encode({"error": str(error)[:300]}))
        model = self._model
        with model.lock:
            known = spec.id in model.ended or spec.id in model.job_index
            if not known and not (model.loaded and model.types):
                return error_reply(503, "starting", RETRY_S)
            reason = None if known else self._infeasible_reason(spec)
        if known:
            return await self._answer_repeated(spec)
        if spec.terms is not None:
            if self._batch is None:
                # Left unheeded, a hold or a dependency would be broken.
                reason = "terms: this site does not keep them (section batch of the options)"
            else:
                reason = reason or await self._batch.refusal(spec)
        if reason is not None:
            # A retry of a job that was accepted gets its state, whatever we think of it now.
            if await self._ledger.read(spec.id) is not None:
                return await self._answer_repeated(spec)
            log.info("refused %s of %s: %s", spec.id, spec.team, reason)
            return Reply(422, wire.status_encoder.encode({"error": reason}))
        accepted = await self._ledger.accept(spec)
        with model.lock:
            job = None if spec.id in model.ended else model.job(spec.id)
        # 201 once, by the transaction that made the job: of a job that was known already, or whose
        # tasks are placed by now, this node may know less than its user has been told.
        if accepted and job is not None and not job.attempts and not job.finished:
            return _status(201, wire.JobStatus(spec.id, "pending"))
        return await self._answer_repeated(spec)

    async def _answer_repeated(self, spec: wire.Submission) -> Reply:
        """The state of a job that is known, unless another one has its id."""
        if self._batch is not None and self._batch.collides(spec):
            return error_reply(409, ID_TAKEN)
        return await self._show(spec.id)

    def _infeasible_reason(self, spec: wire.Submission) -> str | None:
        """Why a job can never run, or None."""
        model = self._model
        index = model.team_index.get(spec.team)
        if index is None:
            return "unknown team"
        need = Resources(spec.cpus, spec.gpus, spec.memory_gb)
        zones = {spec.zone} if spec.zone is not None else None
        fits = any(
            need.fits_in(model.capacity(name))
            and (spec.types is None or name in spec.types)
            and (zones is None or zones & set(entry.zones))
            for name, entry in model.types.items()
        )
        if not fits:
            return "a task fits no allowed machine type"
        count = 1 if spec.kind == "sweep" else spec.tasks
        if not need.times(count).fits_in(model.teams[index].limit):
            return "more than the limit of the team"
        return (
            None if self._replicas is None else infeasible_reason(self._replicas, model.types, spec)
        )

    # ---- polls ----

    async def _show(self, job_id: str) -> Reply:
        found = await self._confirmed(job_id, lambda job: _status(200, _open(job)))
        if isinstance(found, wire.JobStatus):
            return _status(200, found)
        return found

    async def _why(self, job_id: str) -> Reply:
        assert self._questions is not None
        refusal = self._questions.rate_limit_reply()
        if refusal is not None:
            return refusal
        found = await self._confirmed(job_id, lambda job: job)
        if isinstance(found, wire.JobStatus):
            return Reply(200, explain.encode(explain.Why(job_id, found.state)))
        return await self._questions.why(found) if isinstance(found, Job) else found

    async def _confirmed(self, job_id: str, view: Callable[[Job], T]) -> T | wire.JobStatus | Reply:
        """What is seen of an open job, confirmed not to have changed since; the final state of an
        ended one; or why neither can be told."""
        model = self._model
        for _ in range(3):
            with model.lock:
                ended = model.ended.get(job_id)
                job = model.job(job_id)
                if ended is not None:
                    return _ended(job_id, *ended)
                seen = None if job is None else (job.version, view(job))
            if seen is None:
                phase = await self._ledger.read(job_id, RESERVED_FRACTION)
                if phase is None:
                    return error_reply(404, "no such job")
                with model.lock:
                    if phase == Phase.OPEN and model.job(job_id) is None:
                        # Of a team that the settings no longer name: nothing runs for it, but it
                        # was accepted. What was read just now is as good as confirmed.
                        return wire.JobStatus(job_id, "pending", 0, 0)
                continue
            # Another node may have told the user of an end that has not reached us.
            if not await self._confirm.unchanged(job_key(job_id), seen[0]):
                await self._ledger.read(job_id, RESERVED_FRACTION)
            elif job_id not in model.ended:
                # Else it ended while the comparison's answer was on its way, and its user may have
                # been told.
                return seen[1]
        return error_reply(503, "changing", RETRY_S)

    async def _abort(self, job_id: str) -> Reply:
        phase = await self._ledger.cancel(job_id)
        if phase is None:
            return error_reply(404, "no such job")
        name = "done" if phase == Phase.DONE else "withdrawn"
        return _status(200, wire.JobStatus(job_id, name))


def _status(code: int, status: wire.JobStatus) -> Reply:
    return Reply(code, wire.status_encoder.encode(status))


def _ended(job_id: str, phase: Phase, tasks: int) -> wire.JobStatus:
    if phase == Phase.DONE:
        return wire.JobStatus(job_id, "done", tasks, 0)
    return wire.JobStatus(job_id, "withdrawn")


def _open(job: Job) -> wire.JobStatus:
    running = job.running()
    return wire.JobStatus(job.id, "running" if running else "pending", job.finished, running)
