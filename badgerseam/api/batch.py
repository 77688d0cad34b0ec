"""What batch clients ask of any controller, on the same jobs as every other client."""

from __future__ import annotations

import math

import msgspec

from badgerseam.batch.numbers import JobNumbers
from badgerseam.batch.terms import TermsError, TermsRules
from badgerseam.http.budget import RateBudget
from badgerseam.http.server import Reply, error_reply
from badgerseam.model.job import Job, Phase
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.model.resources import SLACK
from badgerseam.settings import BatchOptions
from badgerseam.store.job_records import Change
from badgerseam.store.ledger import Ledger
from badgerseam.wire import batch as wire
from badgerseam.wire.users import Submission, Terms

NUMBERS = "/numbers"
MACHINES = "/machines"
MAX_NAMES = 20
PHASES = {Phase.OPEN: "open", Phase.DONE: "done", Phase.CANCELLED: "withdrawn"}


class BatchApi:
    """Numbers, terms, details, machines."""

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
        self._door = RateBudget(model.clock, options.numbers_per_s, 2.0, least_burst=100.0)

    # ---- submissions ----

    async def refusal(self, spec: Submission) -> str | None:
        """Why a new job's terms cannot be taken, or None."""

        async def known(job_id: str) -> bool:
            return await self._ledger.read(job_id) is not None

        try:
            await self._rules.check(spec, known)
        except TermsError as error:
            return str(error)
        return None

    def collides(self, spec: Submission) -> bool:
        """Whether the id belongs to another job: a repeated submission has the same nonce."""
        if spec.terms is None or spec.terms.nonce is None:
            return False
        with self._model.lock:
            job = self._model.job(spec.id)
            if job is None:
                return False
            held = job.spec.terms
        return held is None or held.nonce != spec.terms.nonce

    # ---- numbers ----

    async def allocate_numbers(self, body: bytes) -> Reply:
        """Hand out numbers."""
        try:
            count = wire.numbers_request_decoder.decode(body or b"{}").count
        except msgspec.DecodeError as error:
            return _bad_request(error)
        if not self._door.take(count):
            return error_reply(429, "too many numbers", max(1, math.ceil(self._door.wait_s(count))))
        return Reply(200, wire.encode(wire.NumbersResponse(await self._numbers.allocate(count))))

    def find_number(self, text: str) -> Reply:
        """The jobs that a number stands for."""
        if not text.isdecimal() or not 1 <= len(text) <= 18:
            return error_reply(400, "a job number has 1 to 18 digits")
        return Reply(200, wire.encode(wire.NumberLookup(self._numbers.ids_of(int(text)))))

    # ---- terms ----

    async def amend(self, job_id: str, body: bytes) -> Reply:
        """Change an open job's terms."""
        try:
            wanted = wire.amendment_decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return _bad_request(error)
        fields = _given_fields(wanted)
        if wanted.depends is not msgspec.UNSET:
            for place, entry in enumerate(wanted.depends):
                with self._model.lock:
                    seen = entry.job in self._model.ended or entry.job in self._model.job_index
                if not seen and await self._ledger.read(entry.job) is None:
                    text = f"depends[{place}].job: {entry.job} was never submitted"
                    return Reply(422, wire.encode({"error": text}))

        def change(job: Job) -> tuple[Submission, dict[str, int]]:
            before = job.spec.terms or Terms()
            after = msgspec.structs.replace(before, **fields)
            if after.throttle is not None and job.is_gang:
                raise TermsError("throttle: a gang's tasks run together or not at all")
            if after.any and not after.depends:
                raise TermsError("any: there are no dependencies")
            conditions: dict[str, int] = {}
            if after.depends != before.depends:
                conditions = self._rules.cycle_free(job_id, after.depends)
            terms = None if after == Terms() else after
            return msgspec.structs.replace(job.spec, terms=terms), conditions

        try:
            found = await self._amended(job_id, change)
        except TermsError as error:
            return Reply(422, wire.encode({"error": str(error)}))
        if found is None:
            return error_reply(404, "no such job")
        if isinstance(found, Phase):
            return error_reply(409, f"the job has ended: {PHASES[found]}")
        with self._model.lock:
            return Reply(200, wire.encode(found.spec.terms or Terms()))

    async def _amended(self, job_id: str, change: Change) -> Job | Phase | None:
        """As `Ledger.amend`; a refusal rests on records that were read after the question came,
        since another node may have told of newer terms."""
        read: set[str] = set()
        while True:
            try:
                return await self._ledger.amend(job_id, change)
            except TermsError as error:
                unread = sorted({job_id, *error.jobs} - read)
                if not unread:
                    raise
            for name in unread:
                await self._ledger.read(name)
            read.update(unread)

    # ---- reading ----

    def details(self, job: Job) -> Reply:
        """An open job whole."""
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
        """Machines by type, zone, kind and state, as the records show them to any controller."""
        rows: dict[tuple[str, str, bool, str], list[Machine]] = {}
        with self._model.lock:
            for machine in self._model.machines.values():
                key = (machine.type, machine.zone, machine.spot, _state(machine))
                rows.setdefault(key, []).append(machine)
            found = [
                wire.MachineRow(
                    *key,
                    len(machines),
                    machines[0].total.cpus,
                    machines[0].total.memory_gb,
                    sorted(machine.name for machine in machines)[:MAX_NAMES],
                )
                for key, machines in sorted(rows.items())
            ]
        return Reply(200, wire.encode(found))


def _state(machine: Machine) -> str:
    if machine.dropped or machine.draining or machine.lost:
        return "drained"
    used = machine.planned_use()
    if not machine.attempts:
        # Only the owner of its share hears it.
        return "idle" if machine.incarnation or machine.listed_up or machine.address else "booting"
    return "allocated" if used.cpus >= machine.total.cpus - SLACK else "mixed"


def _given_fields(wanted: wire.Amendment) -> dict[str, object]:
    values = {name: getattr(wanted, name) for name in wanted.__struct_fields__}
    return {name: value for name, value in values.items() if value is not msgspec.UNSET}


def _bad_request(error: Exception) -> Reply:
    return Reply(400, wire.encode({"error": str(error)[:300]}))
