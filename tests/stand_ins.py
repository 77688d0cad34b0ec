"""A fake clock and scripted peers, written from the protocols."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any, TypeVar

import msgspec

from badgerseam.clock import Clock
from badgerseam.cluster.member import Member
from badgerseam.fleet.manager import Returns
from badgerseam.http.budget import Budget
from badgerseam.http.client import NoResponse, NotSent, Response
from badgerseam.model.job import Attempt, Job, Stage
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model, claim_key, group_key, page_key
from badgerseam.sched.planner import Planner
from badgerseam.settings import (
    CloudParams,
    Outside,
    Params,
    Settings,
    Sibling,
    StateParams,
    Team,
    Tunables,
    WorkerParams,
)
from badgerseam.store.client import LeaseLost, Refused, Unavailable, Unknown
from badgerseam.store.committer import Committer
from badgerseam.store.ledger import Ledger
from badgerseam.store.roster import Roster
from badgerseam.wire import state as wire
from badgerseam.wire.users import Submission
from badgerseam.workers.control import Control

T = TypeVar("T")

TYPES = [{"sku": "c8", "cpus": 8, "memGb": 64, "price": 1.0, "spotPrice": 0.3, "setts": ["a", "b"]}]


class FakeClock(Clock):
    def __init__(self) -> None:
        self.time = 1000.0

    def now(self) -> float:
        return self.time

    def wall(self) -> float:
        return 1_700_000_000.0 + self.time


def settings(teams: list[Team] | None = None, shares: int = 1) -> Settings:
    return Settings(
        node="n-0",
        zone="a",
        api_addr="127.0.0.1:1",
        cluster_listen="127.0.0.1:2",
        outside=Outside("127.0.0.1:3", "127.0.0.1:4"),
        siblings=[Sibling("n-1", "b", "127.0.0.1:5"), Sibling("n-2", "a", "127.0.0.1:6")],
        params=Params(
            initial_size=shares,
            teams=teams or [Team("red", 16, 24), Team("blue", 8, 24)],
            workers=WorkerParams(2.0, 14.0, 40.0),
            state=StateParams(1000.0, 1000.0, 8.0, 12),
            cloud=CloudParams(100.0, 4.0),
            zones=["a", "b"],
        ),
    )


def submission(job_id: str = "job-000001", **changes: Any) -> Submission:
    """A job of four tasks of two processors, as a user would describe it."""
    fields: dict[str, Any] = {
        "id": job_id,
        "jobclass": "train",
        "owner": "red",
        "shape": "sweep",
        "rank": "standard",
        "pieces": 4,
        "cpus": 2.0,
        "accelerators": 0.0,
        "memGb": 4.0,
        "bundle": "img-1",
        "imageGb": 1.0,
        "oneZone": False,
        "scatter": False,
        "loaned": True,
        "guessS": 20.0,
        "snapshotS": 0.0,
        "stashS": 0.0,
        "dueS": None,
    }
    fields.update(changes)
    return msgspec.convert(fields, Submission)


class FakeState:
    """The state service's promises, and its troubles on demand."""

    def __init__(self, clock: FakeClock, params: StateParams) -> None:
        self.params = params
        self.clock = clock
        self.writes = Budget(clock, params.write_rps)
        self.requests = Budget(clock, params.rps)
        self.confirmed_at = clock.now()
        self.data: dict[str, tuple[msgspec.Raw, int, int | None]] = {}
        self.revision = 0
        self.leases: set[int] = set()
        self.late: list[tuple[list[wire.Condition], list[wire.Write]]] = []
        self.script: list[str] = []
        """What becomes of the next transactions: "lost" (never executed, no response),
        "silent" (executed, no response), "late" (executed by `deliver`), "503", or "ok"."""
        self.down = False
        self.transactions = 0

    def put(self, key: str, record: object) -> int:
        self.revision += 1
        self.data[key] = (wire.raw(record), self.revision, None)
        return self.revision

    def version(self, key: str) -> int:
        return self.data[key][1] if key in self.data else 0

    async def get(self, key: str, deadline_s: float = 2.0) -> wire.Entry | None:
        if self.down:
            raise Unavailable("503")
        if key not in self.data:
            return None
        value, version, _ = self.data[key]
        return wire.Entry(key, value, version)

    async def grant(self, ttl_s: float) -> int:
        lease = 1 + len(self.leases)
        self.leases.add(lease)
        return lease

    async def pause(self, failures: int) -> None:
        await asyncio.sleep(0)

    async def transact(
        self, conditions: list[wire.Condition], then: list[wire.Write], deadline_s: float = 2.0
    ) -> int:
        self.transactions += 1
        await asyncio.sleep(0)
        if self.down:
            raise Unavailable("503")
        fate = self.script.pop(0) if self.script else "ok"
        if fate == "503":
            raise Unavailable("503")
        if fate == "lost":
            raise Unknown("lost")
        if fate == "late":
            self.late.append((conditions, then))
            raise Unknown("late")
        revision = self.execute(conditions, then)
        if fate == "silent":
            raise Unknown("silent")
        return revision

    def execute(self, conditions: list[wire.Condition], then: list[wire.Write]) -> int:
        for write in then:
            if write.lease is not None and write.lease not in self.leases:
                raise LeaseLost(str(write.lease))
        failed = [c.key for c in conditions if self.version(c.key) != c.version]
        if failed:
            raise Refused(failed)
        self.revision += 1
        for write in then:
            if write.put is not None:
                assert write.value is not None
                self.data[write.put] = (write.value, self.revision, write.lease)
            elif write.delete is not None:
                self.data.pop(write.delete, None)
        return self.revision

    def deliver(self) -> list[list[str]]:
        """Execute the transactions that were held back; the failed keys of each."""
        outcomes: list[list[str]] = []
        for conditions, then in self.late:
            try:
                self.execute(conditions, then)
                outcomes.append([])
            except Refused as refusal:
                outcomes.append(refusal.failed)
        self.late.clear()
        return outcomes


class FakeHttp:
    """Direct commands end here; each is answered by the next function of the script."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, str, dict[str, Any]]] = []
        self.script: list[Callable[[dict[str, Any]], Response]] = []

    async def request(
        self, address: str, method: str, path: str, body: bytes | None, deadline_s: float
    ) -> Response:
        message = msgspec.json.decode(body) if body else {}
        self.sent.append((address, path, message))
        await asyncio.sleep(0)
        if not self.script:
            raise NoResponse("not scripted")
        return self.script.pop(0)(message)


def drive(clock: FakeClock, work: Coroutine[Any, Any, T], rounds: int = 3000) -> T:
    """Run to the end while the fake clock goes on; an error if that takes too many rounds."""

    async def run() -> T:
        task = asyncio.ensure_future(work)
        for _ in range(rounds):
            for _ in range(5):
                await asyncio.sleep(0)
            if task.done():
                return task.result()
            await asyncio.sleep(0.001)
            clock.time += 0.003
        task.cancel()
        raise AssertionError("came to no end")

    return asyncio.run(run())


def silent(message: dict[str, Any]) -> Response:
    raise NoResponse("silent")


def refused(message: dict[str, Any]) -> Response:
    raise NotSent("refused")


@dataclass
class Worker:
    """A worker's side of the protocol, as far as the tests need it."""

    name: str = "m-1"
    session: int = 1
    seq: int = 0
    token: int = 0
    recall: float | None = None
    tasks: dict[str, dict[str, Any]] = field(default_factory=dict)

    def report(self) -> dict[str, Any]:
        self.seq += 1
        return {
            "host": self.name,
            "address": "10.1.0.1:9000",
            "breed": "c8",
            "sett": "a",
            "loaned": False,
            "tenure": self.session,
            "tick": self.seq,
            "warrant": self.token,
            "recallS": self.recall,
            "pieces": list(self.tasks.values()),
        }

    def body(self) -> bytes:
        return msgspec.json.encode(self.report())

    def obey(self, message: dict[str, Any]) -> bool:
        """Execute commands if their token is not too low."""
        if message["warrant"] < self.token:
            return False
        self.token = message["warrant"]
        for order in message["orders"]:
            name, held = order["piece"], self.tasks.get(order["piece"])
            if order["verb"] == "launch" and held is None:
                self.tasks[name] = {"piece": name, "try": order["try"], "phase": "running"}
            elif order["verb"] == "halt" and held is not None and held["try"] == order["try"]:
                held.update(phase="exited", cause="halted")
            elif order["verb"] == "reap" and held is not None and held["phase"] == "exited":
                del self.tasks[name]
        return True

    def do(self, message: dict[str, Any]) -> Response:
        ok = message["tenure"] == self.session and self.obey(message)
        return Response(200 if ok else 409, self.body())

    def finish(self, task: str) -> None:
        self.tasks[task].update(phase="exited", cause="done")


class Rig:
    """One controller's parts around scripted peers, with nothing that runs by itself."""

    def __init__(self, teams: list[Team] | None = None, shares: int = 1) -> None:
        self.clock = FakeClock()
        self.settings = settings(teams, shares)
        self.model = Model(self.settings, self.clock)
        self.state = FakeState(self.clock, self.settings.params.state)
        self.http = FakeHttp()
        self.tunables = Tunables()
        self.committer = Committer(self.clock, self.state)  # type: ignore[arg-type]
        self.member = Member(
            self.model,
            self.state,  # type: ignore[arg-type]
            self.committer,
            self.tunables,
            self.changed,
        )
        self.planner = Planner(self.model, self.tunables)
        self.roster = Roster(
            self.model,
            self.state,  # type: ignore[arg-type]
            self.committer,
        )
        self.returns = Returns(self.model, self.roster, self.planner)
        self.ledger = Ledger(
            self.model,
            self.state,  # type: ignore[arg-type]
            self.committer,
            self.changed,
            self.member.resign,
        )
        self.control = Control(
            self.model,
            self.member,
            self.http,  # type: ignore[arg-type]
            self.tunables,
            self.changed,
            lambda: self.served_sibling,
        )
        self.served_sibling: str | None = None
        self.model.loaded = True
        self.set("bs/f", msgspec.json.decode(msgspec.json.encode(TYPES)))
        self.lease()

    def changed(self) -> None:
        """The node's loops would look at what to do now; the tests do so themselves."""

    def lease(self) -> None:
        self.member.lease = 1
        self.state.leases.add(1)
        self.member.confirmed_at = self.clock.now()

    def set(self, key: str, record: object) -> int:
        version = self.state.put(key, record)
        self.model.apply(key, wire.raw(record), version)
        return version

    def claim(self, share: int = 0, node: str = "n-0", lease: int = 1) -> int:
        return self.set(claim_key(share), wire.Claim(node, lease))

    def own(self, share: int = 0) -> int:
        """Claim a share, and act for it."""
        term = self.claim(share)
        self.member.review()
        assert self.model.shares[share].owned
        return term

    def machine(self, name: str = "m-1", zone: str = "a", share: int = 0) -> Machine:
        self.set(group_key(f"g-{name}"), [self.row(name, zone, share)])
        machine = self.model.machine(name)
        assert machine is not None
        return machine

    def row(self, name: str = "m-1", zone: str = "a", share: int = 0) -> wire.StoredMachine:
        return wire.StoredMachine(name, share, "c8", zone, False, "10.1.0.1:9000", 0.0)

    def job(self, **changes: Any) -> Job:
        spec = submission(**changes)
        stored = wire.StoredJob("open", spec.tasks, self.clock.wall(), spec)
        self.set(f"bs/j/{spec.id}", stored)
        job = self.model.job(spec.id)
        assert job is not None
        return job

    def rows(self, job: str, *rows: tuple[int, int, str | None], done: int = 0) -> wire.JobRows:
        """What a page holds of a job: the attempts given, and the bits of what is done."""
        bits = [(0, f"{done:x}")] if done else []
        return wire.JobRows(job, bits, [wire.TaskRow(*row) for row in rows])

    def page(self, number: int, *entries: wire.JobRows, share: int = 0) -> int:
        return self.set(page_key(share, number), list(entries))

    def running(self, job: Job, task: int, machine: Machine, worker: Worker) -> Attempt:
        """A task that is durably placed and runs."""
        attempt = self.model.place(job, task, 1, machine, Stage.PLACED)
        job.idle.remove(task)
        name = f"{job.id}/{task}"
        worker.tasks[name] = {"piece": name, "try": 1, "phase": "running"}
        return attempt

    def report(self, worker: Worker) -> dict[str, Any]:
        """Send a report and have the worker obey the response."""
        response = self.checkin(worker.body())
        worker.obey(response)
        return response

    def checkin(self, body: bytes) -> dict[str, Any]:
        reply = self.control.checkin(body)
        assert reply.status == 200, reply
        decoded: dict[str, Any] = msgspec.json.decode(reply.body)
        return decoded

    def plan(self, share: int = 0) -> dict[int, int]:
        return self.planner.run(self.model.shares[share])

    def run(self, work: Coroutine[Any, Any, T]) -> T:
        return drive(self.clock, work)

    async def settle(self, rounds: int = 12) -> None:
        """Let the writes that are due come to their end."""
        for _ in range(rounds):
            self.ledger.flush()
            await asyncio.sleep(0)

    async def push(self, machine: Machine) -> None:
        self.control.push(machine)
        for _ in range(6):
            await asyncio.sleep(0)


def verbs(message: dict[str, Any]) -> list[tuple[str, str]]:
    return [(order["verb"], order["piece"]) for order in message["orders"]]


def seeded() -> random.Random:
    return random.Random(7)
