"""The API for batch clients on any controller: job numbers, terms, details, machines."""

from __future__ import annotations

import math

import msgspec

from badgerseam.api.replies import escaped_error_reply, starting_reply
from badgerseam.batch.numbers import JobNumbers
from badgerseam.batch.terms import TermsError, TermsRules
from badgerseam.http.budget import RateBudget
from badgerseam.http.server import Reply, error_reply
from badgerseam.model.job import Job, Phase
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.model.resources import SLACK
from badgerseam.store.job_records import TermsChange
from badgerseam.store.ledger import Ledger
from badgerseam.tunables import BatchOptions
from badgerseam.wire import batch as wire
from badgerseam.wire.users import Dependency, Submission, Terms

NUMBERS = "/numbers"
MACHINES = "/machines"
MAX_NAMES = 20
"""Maximum number of machine names in one row."""
MAX_NUMBER_DIGITS = 18
MAX_ERROR_LENGTH = 300
"""Maximum length in characters of a decoding error that is sent to a client."""
NUMBERS_BURST_S = 2.0
"""Seconds of the rate of job numbers that can be used at once."""
NUMBERS_MIN_BURST = 100.0
"""Numbers that can be allocated at once even if the rate is low."""
PHASE_NAMES = {Phase.OPEN: "open", Phase.DONE: "done", Phase.CANCELLED: "withdrawn"}


class BatchApi:
    """Answers `/numbers` and `/machines`, and requests of batch clients about jobs."""

    def __init__(
        self,
        model: Model,
        ledger: Ledger,
        numbers: JobNumbers,
        rules: TermsRules,
        options: BatchOptions,
    ) -> None:
        self._model = model
        self._ledger = ledger
        self._numbers = numbers
        self._rules = rules
        self._number_rate = RateBudget(
            model.clock, options.numbers_per_s, NUMBERS_BURST_S, min_burst=NUMBERS_MIN_BURST
        )

    async def handle(self, method: str, path: str, body: bytes) -> Reply:
        """Handles a request for numbers or machines; `path` excludes the query."""
        if not self._model.loaded:
            return starting_reply()
        if path == NUMBERS and method == "POST":
            return await self.allocate_numbers(body)
        if path.startswith(NUMBERS + "/") and method == "GET":
            return self.find_number(path[len(NUMBERS) + 1 :])
        if path == MACHINES and method == "GET":
            return self.machines()
        return error_reply(404, "no such path, or another method")

    # ---- submissions ----

    async def refusal_reason(self, spec: Submission) -> str | None:
        """Returns why a new job's terms cannot be accepted, or None."""

        async def is_known(job_id: str) -> bool:
            return await self._ledger.read(job_id) is not None

        try:
            await self._rules.check(spec, is_known)
        except TermsError as error:
            return str(error)
        return None

    def is_id_taken(self, spec: Submission) -> bool:
        """Whether another job has the id. A repeated submission has the same nonce."""
        if spec.terms is None or spec.terms.nonce is None:
            return False
        with self._model.lock:
            job = self._model.job(spec.id)
            if job is None:
                return False
            known_terms = job.spec.terms
        return known_terms is None or known_terms.nonce != spec.terms.nonce

    # ---- numbers ----

    async def allocate_numbers(self, body: bytes) -> Reply:
        """Allocates job numbers."""
        try:
            count = wire.numbers_request_decoder.decode(body or b"{}").count
        except msgspec.DecodeError as error:
            return _bad_request(error)
        if not self._number_rate.take(count):
            wait_s = max(1, math.ceil(self._number_rate.wait_s(count)))
            return error_reply(429, "too many numbers", wait_s)
        return Reply(200, wire.encode(wire.NumbersResponse(await self._numbers.allocate(count))))

    def find_number(self, text: str) -> Reply:
        """Returns the jobs that a number refers to."""
        if not text.isdecimal() or not 1 <= len(text) <= MAX_NUMBER_DIGITS:
            return error_reply(400, "a job number has 1 to 18 digits")
        return Reply(200, wire.encode(wire.NumberLookup(self._numbers.ids_of(int(text)))))

    # ---- terms ----

    async def amend(self, job_id: str, body: bytes) -> Reply:
        """Changes an open job's terms."""
        try:
            amendment = wire.amendment_decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return _bad_request(error)
        fields = _given_fields(amendment)
        if amendment.depends is not msgspec.UNSET:
            error_text = await self._unknown_dependency(amendment.depends)
            if error_text is not None:
                return escaped_error_reply(422, error_text)

        def change(job: Job) -> tuple[Submission, dict[str, int]]:
            return self._changed_spec(job, fields)

        try:
            amended = await self._amend_with_fresh_records(job_id, change)
        except TermsError as error:
            return escaped_error_reply(422, str(error))
        if amended is None:
            return error_reply(404, "no such job")
        if isinstance(amended, Phase):
            return error_reply(409, f"the job has ended: {PHASE_NAMES[amended]}")
        with self._model.lock:
            return Reply(200, wire.encode(amended.spec.terms or Terms()))

    async def _unknown_dependency(self, depends: list[Dependency]) -> str | None:
        """Returns the error text for the first dependency on a job that was never submitted, or
        None."""
        for position, dependency in enumerate(depends):
            job_id = dependency.job
            with self._model.lock:
                is_known = job_id in self._model.ended or job_id in self._model.job_index
            if not is_known and await self._ledger.read(job_id) is None:
                return f"depends[{position}].job: {job_id} was never submitted"
        return None

    def _changed_spec(
        self, job: Job, fields: dict[str, object]
    ) -> tuple[Submission, dict[str, int]]:
        """Returns the job's spec with changed terms, and the versions that the change depends on.

        Raises TermsError if the terms contradict each other or the job.
        """
        before = job.spec.terms or Terms()
        after = msgspec.structs.replace(before, **fields)
        if after.throttle is not None and job.is_gang:
            raise TermsError("throttle: a gang's tasks run together or not at all")
        if after.any and not after.depends:
            raise TermsError("any: there are no dependencies")
        conditions: dict[str, int] = {}
        if after.depends != before.depends:
            conditions = self._rules.cycle_free(job.id, after.depends)
        terms = None if after == Terms() else after
        return msgspec.structs.replace(job.spec, terms=terms), conditions

    async def _amend_with_fresh_records(
        self, job_id: str, change: TermsChange
    ) -> Job | Phase | None:
        """Calls `Ledger.amend`. A request is refused only on the basis of records that were read
        after it arrived, since another controller may have told the client of newer terms."""
        read: set[str] = set()
        while True:
            try:
                return await self._ledger.amend(job_id, change)
            except TermsError as error:
                unread = sorted({job_id, *error.jobs} - read)
                if not unread:
                    raise
            for unread_id in unread:
                await self._ledger.read(unread_id)
            read.update(unread)

    # ---- reading ----

    def details(self, job: Job) -> Reply:
        """Returns the details of an open job."""
        with self._model.lock:
            running = job.running()
            answer = wire.Details(
                job.id,
                "running" if running else "pending",
                job.tasks,
                job.finished,
                running,
                max(0, job.waiting()),
                job.submitted,
                self._rules.hold_reason(job),
                job.spec,
            )
        return Reply(200, wire.encode(answer))

    def machines(self) -> Reply:
        """Returns the machines by type, zone, spot and state, according to the stored records."""
        rows: dict[tuple[str, str, bool, str], list[Machine]] = {}
        with self._model.lock:
            for machine in self._model.machines.values():
                key = (machine.type, machine.zone, machine.spot, _state(machine))
                rows.setdefault(key, []).append(machine)
            answer = [
                wire.MachineRow(
                    *key,
                    len(machines),
                    machines[0].total.cpus,
                    machines[0].total.memory_gb,
                    sorted(machine.name for machine in machines)[:MAX_NAMES],
                )
                for key, machines in sorted(rows.items())
            ]
        return Reply(200, wire.encode(answer))


def _state(machine: Machine) -> str:
    """Returns a machine's state as batch clients name it."""
    if machine.dropped or machine.draining or machine.lost:
        return "drained"
    used = machine.planned_use()
    if not machine.attempts:
        # Only the owner of its shard receives its heartbeats, so that the incarnation alone does
        # not show whether the machine is up.
        return (
            "idle"
            if machine.incarnation or machine.listed_running or machine.address
            else "booting"
        )
    return "allocated" if used.cpus >= machine.total.cpus - SLACK else "mixed"


def _given_fields(amendment: wire.Amendment) -> dict[str, object]:
    """Returns the terms that an amendment contains, including those set to null."""
    values = {name: getattr(amendment, name) for name in amendment.__struct_fields__}
    return {name: value for name, value in values.items() if value is not msgspec.UNSET}


def _bad_request(error: Exception) -> Reply:
    return escaped_error_reply(400, str(error)[:MAX_ERROR_LENGTH])
