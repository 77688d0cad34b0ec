"""A run under three controllers that end, are suspended, hand over shards and lose the state
service, with workers that run members in simulated time."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

import msgspec
import pytest

from badgerseam.http.client import NoResponseError, Response
from badgerseam.lab.worker import Description, Identity, Results, WorkerCore
from badgerseam.levels.table import ProgramLevels
from badgerseam.model.keys import LEADER_KEY, LEVEL_KEY, claim_key, group_key, run_key
from badgerseam.model.model import Model
from badgerseam.model.resources import Resources
from badgerseam.options import runs as options
from badgerseam.runs.rules import RunStartRules
from badgerseam.runs.run_index import MemberState, RunIndex
from badgerseam.runs.run_lifecycle import STEP_INTERVAL_S, RunLifecycle
from badgerseam.wire import state as wire
from badgerseam.wire import workers as worker_wire
from tests.support.scripted_peers import settings, submission
from tests.support.three_controllers import (
    StateLink,
    SteppedController,
    ThreeControllers,
    with_controllers_made_by,
)

MAX_AT_ONCE = 8
PLAN = msgspec.convert(
    {
        "name": "night",
        "classes": ["train"],
        "teams": ["red"],
        "quiet_s": 4.0,
        "most_at_once": MAX_AT_ONCE,
        "attempts": 2,
    },
    options.Plan,
)
SHARD = 1
"""The shard of the team; its preferred owner is n-1."""
MEMBERS = 40
RUN_S = 2.5
FAILURES_BY_TASK = {5: 1, 7: 2, 11: 3}
"""How often some members fail at first: once, as often as defers them to the second round, and
more."""


class RunWorker(WorkerCore):
    """A worker that sends heartbeats at given times to a controller that it chooses."""

    def __init__(self, name: str, site: SiteWithRun) -> None:
        super().__init__(
            Identity(name, f"10.1.0.{name[2:]}:9000", "c8", "a", False),
            site.clock,
            14.0,
            Resources(8.0, 0.0, 64.0),
            site.describe,
            site.results,
            site.on_event,
        )
        self.node = "n-0"
        self.next_at = 0.0


class RunsController(SteppedController):
    """A controller that manages runs, plans, and sends commands to its workers."""

    def __init__(self, node: str, link: StateLink, site: SiteWithRun) -> None:
        super().__init__(node, link, ProgramLevels(), site)
        self.index = RunIndex(self.model, options.RunsOptions([PLAN]))
        self.model.job_observer = self.index
        self.planner.runs = RunStartRules(self.index)
        self.lifecycle = RunLifecycle(self.model, self.membership, self.committer, self.index)
        self.site = site
        self.http.request = self._request  # type: ignore[method-assign]
        self.step_task: asyncio.Future[None] | None = None
        self.next_step_at = 0.0

    async def _request(
        self, address: str, method: str, path: str, body: bytes | None, deadline_s: float
    ) -> Response:
        await asyncio.sleep(0.002)
        if self.link.frozen:
            raise NoResponseError("frozen")
        worker = self.site.machines[f"m-{address.split(':')[0].rpartition('.')[2]}"]
        if path == "/inspect":
            return Response(200, msgspec.json.encode(worker.report()))
        done = worker.execute_direct_commands(
            msgspec.json.decode(body or b"", type=worker_wire.DirectCommands)
        )
        return Response(200 if done else 409, msgspec.json.encode(worker.report()))

    def step(self) -> None:
        super().step()
        if self.link.frozen:
            return
        with self.model.lock:
            self.worker_manager.expire_leases()
            for shard in self.model.shards:
                if (
                    shard.owned
                    and not shard.releasing
                    and self.membership.lease_confirmed_within(5.0)
                ):
                    self.planner.run(shard)
        self.ledger.flush()
        with self.model.lock:
            for machine in self.model.machines.values():
                if self.model.shards[machine.shard].owned:
                    self.worker_manager.push(machine)
        if self.clock.now() >= self.next_step_at and (
            self.step_task is None or self.step_task.done()
        ):
            self.next_step_at = self.clock.now() + STEP_INTERVAL_S
            self.step_task = asyncio.ensure_future(self.lifecycle.step())


class SiteWithRun(ThreeControllers):
    """Three controllers, their workers, and a model that only observes the records."""

    def __init__(self) -> None:
        super().__init__()
        self.results = Results()
        self.running: dict[tuple[str, int], float] = {}
        self.failure_counts: Counter[str] = Counter()
        self.starts: list[float] = []
        self.lost_s = 0.0
        """Seconds of members' work that was lost, without the members' own failures."""
        self.max_running = 0
        self.started_twice: list[str] = []
        self.machines = {f"m-{n}": RunWorker(f"m-{n}", self) for n in range(1, 5)}
        self.model = Model(settings(shards=3), self.clock)
        self.index = RunIndex(self.model, options.RunsOptions([PLAN]))
        self.model.job_observer = self.index
        self.member_states: dict[int, tuple[MemberState, int]] = {}
        self.regressions: list[str] = []
        self.phases: list[str] = []

    def start(self, node: str, program: ProgramLevels) -> RunsController:
        link = StateLink(self.clock, self.params, self.core)
        self.links.append(link)
        controller = RunsController(node, link, self)
        self.running_controllers[node] = controller
        return controller

    # ---- workers ----

    def describe(self, task: str) -> Description:
        number = int(task.rpartition("/")[2])
        broken = self.failure_counts[task] < FAILURES_BY_TASK.get(number, 0)
        return Description(Resources(2.0, 0.0, 4.0), "img", 0.0, RUN_S, broken=broken)

    def on_event(self, event: str, machine: str, task: str, attempt: int) -> None:
        now = self.clock.now()
        if event == "launch":
            return
        if event == "on":
            self.starts.append(now)
            if any(name == task for name, _ in self.running):
                self.started_twice.append(task)
            self.running[task, attempt] = now
            self.max_running = max(self.max_running, len(self.running))
            return
        began = self.running.pop((task, attempt))
        broken = self.describe(task).broken
        self.failure_counts[task] += broken
        if event == "off" and not broken:
            self.lost_s += now - began

    def _report(self, worker: RunWorker) -> None:
        worker.next_at = self.clock.now() + 2.0
        worker.changed = False
        controller = self.running_controllers.get(worker.node)
        names = sorted(self.running_controllers) or ["n-0"]
        turn = (names.index(worker.node) + 1) % len(names) if worker.node in names else 0
        if controller is None or controller.link.frozen:
            worker.node, worker.next_at = names[turn], self.clock.now() + 1.0
            return
        sent, session = self.clock.now(), worker.session
        reply = controller.worker_manager.handle_heartbeat(msgspec.json.encode(worker.report()))
        if reply.status == 200:
            orders: worker_wire.HeartbeatResponse = msgspec.json.decode(
                reply.body, type=worker_wire.HeartbeatResponse
            )
            worker.handle_heartbeat_response(sent, session, orders)
            return
        named: str | None = None
        if reply.status == 421:
            named = msgspec.json.decode(reply.body).get("overseer")
        known = named is not None and named != worker.node
        worker.node = named if named is not None and known else names[turn]
        worker.next_at = self.clock.now() + (0.3 if known else 1.0)

    # ---- time ----

    async def advance_by(self, seconds: float) -> None:
        until = self.clock.now() + seconds
        while self.clock.now() < until - 1e-6:
            await asyncio.sleep(0.05)
            self.core.expire()
            for controller in list(self.running_controllers.values()):
                controller.step()
            for worker in self.machines.values():
                worker.advance()
                if self.clock.now() >= worker.next_at or worker.changed:
                    self._report(worker)
            self._observe_records()

    def _observe_records(self) -> None:
        """Observes the records, and compares each member's state with its previous state."""
        for event in self.core.changes("bs/", self.model.revision).events:
            value = event.value if event.put else None
            self.model.apply(event.put or event.delete or "", value, event.version)
            self.model.revision = event.version
        plan = self.index.plans["night"]
        if plan.record is not None and self.phases[-1:] != [plan.record.phase]:
            self.phases.append(plan.record.phase)
        job = self.model.job("job-000001")
        if job is None:
            return
        for task in range(job.tasks):
            now = self.index.member_state(plan, job, task), self.index.failures(job, task)
            previous, failed = self.member_states.get(task, now)
            if (previous == MemberState.RECKONED and now[0] != previous) or now[1] < failed:
                self.regressions.append(f"{task}: {previous} {failed}, then {now}")
            self.member_states[task] = now

    async def until(self, met: Callable[[], bool], seconds: float = 90.0) -> None:
        end = self.clock.now() + seconds
        while not met():
            assert self.clock.now() < end, (self.phases, self.member_states)
            await self.advance_by(0.05)

    async def begin(self) -> None:
        """Starts a site at the newest level with its machines and three active controllers, and
        submits the job."""
        level = wire.SiteLevel(3, "n-0", 0.0, 3)
        rows = [
            wire.StoredMachine(name, SHARD, "c8", "a", False, worker.identity.addr, 0.0)
            for name, worker in self.machines.items()
        ]
        for key, record in ((LEVEL_KEY, level), (group_key("g"), rows)):
            self.core.execute([], [wire.Write(put=key, value=wire.raw(record))])
        self.start_all(ProgramLevels())
        await self.until(lambda: all(self.actors()) and self.holder(LEADER_KEY) is not None)
        spec = submission(pieces=MEMBERS, guessS=RUN_S)
        stored = wire.StoredJob("open", MEMBERS, self.clock.wall(), spec)
        self.core.execute([], [wire.Write(put=f"bs/j/{spec.id}", value=wire.raw(stored))])

    def record(self) -> wire.StoredRun | None:
        entry = self.core.get(run_key("night", 1))
        if entry is None:
            return None
        stored: wire.StoredRun = msgspec.json.decode(entry.value, type=wire.StoredRun)
        return stored

    async def finish_and_check(self) -> None:
        """Waits until the run is closed, and checks the invariants of every run."""
        await self.until(lambda: (r := self.record()) is not None and r.phase == "closed", 120.0)
        await self.advance_by(10.0)
        record = self.record()
        assert record is not None
        assert record.counts == [MEMBERS, 0, 0], record
        assert self.core.get(run_key("night", 2)) is None
        assert self.started_twice == self.regressions == []
        assert self.lost_s == 0.0
        assert self.max_running <= MAX_AT_ONCE
        assert self.phases == ["open", "reckoning", "second", "closing", "closed"]
        # No member is started again after it has finished, and each failure is counted once.
        assert len(self.starts) == MEMBERS + sum(FAILURES_BY_TASK.values())
        counted = {task: failed for task, (_, failed) in self.member_states.items() if failed}
        assert all(counted.get(task, failed) == failed for task, failed in FAILURES_BY_TASK.items())
        await self.stop()


with_run_site = with_controllers_made_by(SiteWithRun)


def _seconds_to_next_start(site: SiteWithRun, at: float) -> float:
    """Returns the seconds from a time to the next start of a member; 0 if there is none."""
    return min((start - at for start in site.starts if start > at), default=0.0)


@pytest.mark.parametrize("victims", [("n-1",), ("n-0",), ("n-0", "n-1"), ("n-0", "n-1", "n-2")])
@pytest.mark.parametrize("phase", ["accepted", "open", "reckoning", "half", "second", "closing"])
@with_run_site
async def test_run_continues_after_the_end_of_controllers(
    site: SiteWithRun,
    phase: str,
    victims: tuple[str, ...],
    record_property: Callable[[str, object], None],
) -> None:
    await site.begin()
    if phase == "half":
        await site.until(lambda: len(site.results.done) >= MEMBERS // 2)
    elif phase != "accepted":
        await site.until(lambda: phase in site.phases)
    at = site.clock.now()
    for node in victims:
        await site.end(node)
    await site.advance_by(6.0 if len(victims) < 3 else 1.0)
    for node in victims:
        site.start(node, ProgramLevels())
    await site.finish_and_check()
    record_property("gap_s", round(_seconds_to_next_start(site, at), 2))
    record_property("worked_twice_s", site.lost_s)


@pytest.mark.parametrize("node", ["n-1", "n-0"])
@with_run_site
async def test_suspended_controller_resumes_in_a_run_that_has_advanced(
    site: SiteWithRun, node: str
) -> None:
    await site.begin()
    await site.until(lambda: len(site.results.done) >= 10)
    suspended = site.running_controllers[node]
    # Its pending writes arrive when it resumes, or later; their conditions no longer hold by then.
    suspended.link.frozen = True
    await site.advance_by(9.0)
    assert site.holder(claim_key(SHARD)) != "n-1" or node != "n-1"
    suspended.link.frozen = False
    await site.finish_and_check()


@with_run_site
async def test_controller_suspended_over_the_close_does_not_reopen_the_run(
    site: SiteWithRun,
) -> None:
    await site.begin()
    await site.until(lambda: "second" in site.phases)
    suspended = site.running_controllers["n-0"]
    suspended.link.frozen = True
    await site.until(lambda: site.phases[-1:] == ["closed"])
    suspended.link.frozen = False
    await site.advance_by(3.0)
    await site.finish_and_check()


@with_run_site
async def test_outage_of_the_state_service_loses_no_work_of_members(site: SiteWithRun) -> None:
    await site.begin()
    await site.until(lambda: len(site.results.done) >= 10)
    for link in site.links:
        link.down = True
    for _ in range(6):
        # Leases are renewed for their full duration, as the state service does after an outage.
        await site.advance_by(1.0)
        for lease in site.core.leases.values():
            lease.expires_at = site.clock.now() + 4.0
    for link in site.links:
        link.down = False
    await site.finish_and_check()


@with_run_site
async def test_run_continues_through_a_handover(site: SiteWithRun) -> None:
    await site.begin()
    await site.until(lambda: len(site.results.done) >= 10)
    for node in ("n-1", "n-0"):
        assert site.running_controllers[node].handover.drain() is None
        await site.advance_by(2.0)
        at = site.clock.now()
        site.running_controllers[node].handover.resume()
        await site.advance_by(3.0)
        assert _seconds_to_next_start(site, at) < RUN_S + 2.0
    await site.finish_and_check()
