"""Reckoning runs in one controller: who may start, what is counted, what is written when."""

from __future__ import annotations

import datetime
import itertools
import random
from pathlib import Path
from typing import Any
from zoneinfo import ZoneInfo

import msgspec
import pytest

from badgerseam.api.runs import RunsApi
from badgerseam.controller import Controller
from badgerseam.explain.explainer import Explainer
from badgerseam.model.job import Job, Stage
from badgerseam.model.keys import LEADER_KEY, LEVEL_KEY
from badgerseam.options import runs as options
from badgerseam.runs.rules import RunStartRules
from badgerseam.runs.run_index import MemberState, RunIndex
from badgerseam.runs.run_lifecycle import RunLifecycle
from badgerseam.runs.windows import RunWindow, due_window
from badgerseam.settings import ExplainOptions, SettingsError, Tunables, load_tunables
from badgerseam.wire import state as wire
from tests.support.scripted_peers import ControllerFixture, FakeClock, Worker, settings

ZONE = ZoneInfo("Europe/Zurich")


def plan(**changes: Any) -> options.Plan:
    fields: dict[str, Any] = {"name": "night", "classes": ["train"], "quiet_s": 30.0}
    return msgspec.convert(fields | changes, options.Plan)


class RunController(ControllerFixture):
    """A rig that keeps runs of one plan and leads."""

    def __init__(
        self, beside: ControllerFixture | None = None, node: str = "n-0", **changes: Any
    ) -> None:
        super().__init__(beside=beside, node=node)
        self.book = RunIndex(self.model, options.RunsOptions([plan(**changes)]))
        self.model.job_observer = self.book
        self.rules = self.planner.runs = RunStartRules(self.book)
        self.keeper = RunLifecycle(self.model, self.membership, self.committer, self.book)
        self.api = RunsApi(self.model, self.state, self.book, self.keeper)  # type: ignore[arg-type]
        self.api.confirm_with(self.same)
        if beside is None:
            self.set(LEVEL_KEY, wire.SiteLevel(3, "n-0", 0.0))
            self.lead()
            self.own()

    async def same(self, key: str, version: int) -> bool:
        return self.state.version(key) == version

    def lead(self) -> None:
        self.set(LEADER_KEY, wire.ClaimRecord(self.settings.node, 1))
        assert self.membership.is_leader

    def look(self, seconds: float = 0.0) -> wire.StoredRun | None:
        """The leader looks, and the replica follows; the latest run."""
        self.clock.time += seconds
        self.lease()
        self.run(self.keeper.step())
        self.sync()
        return self.book.plans["night"].record

    def opened(self, **changes: Any) -> Job:
        """A job whose run is open."""
        job = self.job(**changes)
        self.look()
        return job

    def fail(self, job: Job, task: int, machine: str = "m-1") -> None:
        """A member is placed, and its attempt ends with an error."""
        found = self.model.machine(machine) or self.machine(machine)
        number = job.tries.get(task, 0) + 1
        attempt = self.model.place(job, task, number, found, Stage.PLACED)
        attempt.error = True
        self.model.unplace(attempt)

    def starts(self) -> int:
        """Plan once; how many members were placed."""
        shard = self.model.shards[0]
        before = len(shard.planned)
        self.planner.run(shard)
        return len(shard.planned) - before

    def written(self) -> None:
        self.clock.time += 4.0
        self.lease()
        self.run(self.settle())

    def heir(self) -> RunController:
        """Another controller that takes the share and the lead over."""
        other = RunController(beside=self, node="n-1")
        other.book.plans = RunIndex(other.model, options.RunsOptions([self.plan.plan])).plans
        other.sync()
        other.lead()
        other.claim(0, "n-1")
        other.membership.review()
        return other

    @property
    def plan(self) -> Any:
        return self.book.plans["night"]

    def ask(self, path: str, method: str = "GET") -> Any:
        reply = self.run(self.api.handle(method, path))
        assert reply.status == 200, reply
        return reply.body


# ---- what is declared ----


@pytest.mark.parametrize(
    ("changes", "words"),
    [
        ({"teams": ["green"]}, ["teams", "unknown team green", "blue, red"]),
        ({"quiet_s": None}, ["windows", "none is given"]),
        ({"windows": [{"opens": "01:00", "closes": "02:00"}]}, ["both are given"]),
        ({"most_at_once": 1}, ["most_at_once", "raise it"]),
        ({"after": "dawn"}, ["after", "no plan dawn"]),
        ({"after": "night"}, ["after", "a cycle", "night after night"]),
        (
            {"quiet_s": None, "windows": [{"opens": "22:00", "closes": "22:00"}]},
            ["windows[0].closes", "the same as opens"],
        ),
        (
            {
                "quiet_s": None,
                "windows": [
                    {"opens": "22:00", "closes": "05:00"},
                    {"opens": "04:30", "closes": "06:00"},
                ],
            },
            ["windows[1]", "overlaps windows[0]"],
        ),
        (
            {
                "quiet_s": None,
                "windows": [{"opens": "22:00", "closes": "05:00"}],
                "zone": "Europe/Zuerich",
            },
            ["zone", "Europe/Zuerich", "name one"],
        ),
    ],
)
def test_invalid_plan_is_refused_with_field_and_remedy(
    changes: dict[str, Any], words: list[str]
) -> None:
    found = options.check(options.RunsOptions([plan(**changes)]), ["red", "blue"])
    assert len(found) == 1
    assert all(word in found[0] for word in ["plans[0].", *words]), found


def test_two_plans_must_not_share_jobs_nor_wait_for_each_other() -> None:
    both = options.RunsOptions([plan(after="day"), plan(name="day", after="night")])
    found = options.check(both, ["red", "blue"])
    assert "train belongs to night as well" in found[0]
    assert "night after day after night" in found[1]
    parted = options.RunsOptions([plan(teams=["red"]), plan(name="day", teams=["blue"])])
    assert options.check(parted, ["red", "blue"]) == []


def test_the_section_is_read_from_the_operators_file(tmp_path: Path) -> None:
    path = tmp_path / "options.json"
    path.write_text('{"runs": {"plans": [{"name": "night", "classes": ["train"], "quiet_s": 60}]}}')
    tunables = load_tunables(str(path))
    assert tunables.runs is not None
    assert tunables.runs.plans[0].attempts == 3
    node = Controller(settings(), tunables, FakeClock(), random.Random(1))
    assert node.runs is not None
    assert node.planner.runs is not None
    off = Controller(settings(), Tunables(), FakeClock(), random.Random(1))
    assert [off.runs, off.planner.runs, off.model.job_observer] == [None, None, None]
    for bad in ('"plans": []', '"plans": [{"name": "A b", "classes": ["x"]}]', '"planz": []'):
        path.write_text(f'{{"runs": {{{bad}}}}}')
        with pytest.raises(SettingsError, match="runs"):
            load_tunables(str(path))


# ---- nights ----


def _slots(first: datetime.datetime, days: int, **window: str) -> list[RunWindow]:
    """The runs of some days, looked for every ten minutes."""
    night = plan(quiet_s=None, zone="Europe/Zurich", windows=[window])
    found: list[RunWindow] = []
    for step in range(days * 144):
        slot = due_window(night, first.timestamp() + 600 * step, found[-1] if found else None)
        if slot is not None:
            found.append(slot)
    return found


@pytest.mark.parametrize(("month", "day"), [(3, 27), (10, 23)])
@pytest.mark.parametrize("opens", ["02:30", "22:00", "00:00"])
def test_a_night_has_one_run_when_the_clocks_change(month: int, day: int, opens: str) -> None:
    begin = datetime.datetime(2027, month, day, 12, tzinfo=ZONE)
    found = _slots(begin, 5, opens=opens, closes="12:00")
    days = [datetime.datetime.fromtimestamp(slot.opens, ZONE).date() for slot in found]
    # Asked within the window of the night before, at noon it has just closed.
    assert len(days) == len(set(days)) == 5
    assert all(earlier.closes <= later.opens for earlier, later in itertools.pairwise(found))


def test_missed_windows_are_due_one_after_the_other() -> None:
    night = plan(quiet_s=None, windows=[{"opens": "22:00", "closes": "05:00"}])
    noon = datetime.datetime(2026, 12, 5, 12, tzinfo=datetime.UTC).timestamp()
    day_s = 86_400.0
    assert due_window(night, noon, None) is None
    assert due_window(night, noon + 11 * 3600, None) == RunWindow(
        noon + 10 * 3600, noon + 17 * 3600
    )
    last = RunWindow(noon - 14 * 3600 - 2 * day_s, noon - 7 * 3600 - 2 * day_s)
    seen = []
    while (slot := due_window(night, noon, last)) is not None:
        seen.append(round((slot.opens - noon) / 3600))
        last = slot
    assert seen == [-38, -14]
    # The opening was put off by an hour in a night that has had its run.
    later = plan(quiet_s=None, windows=[{"opens": "23:00", "closes": "05:00"}])
    assert due_window(later, noon - 12 * 3600, last) is None


# ---- who may start ----


def test_jobs_wait_for_their_run_and_late_jobs_for_the_next() -> None:
    rig = RunController()
    rig.machine()
    job = rig.job()
    assert rig.planner.hold_reason(job, rig.clock.now()) == "run_not_open"
    assert rig.starts() == 0
    assert rig.look() is not None
    assert rig.planner.hold_reason(job, rig.clock.now()) is None
    rig.ask("/runs/night/1/close", "POST")
    rig.sync()
    late = rig.job(id="job-000002")
    assert rig.rules.hold_reason(job) == "run_closing"
    assert rig.rules.hold_reason(late) == "run_not_open"
    record = rig.look(1.0)
    assert record is not None
    assert (record.phase, record.counts, record.reasons) == ("closed", [0, 0, 4], {"waiting": 4})
    # What is left of a closed run goes on as other work does; the late one opens the next run.
    assert rig.rules.hold_reason(job) is None
    record = rig.look(1.0)
    assert (rig.plan.latest, record and record.phase) == (2, "open")
    assert rig.rules.hold_reason(late) is None


def test_most_at_once_holds_over_jobs_and_rounds() -> None:
    rig = RunController(most_at_once=5, first="shortest")
    worker = Worker()
    rig.machine()
    rig.report(worker)
    long = rig.job(pieces=4, cpus=0.5, guessS=900.0)
    short = rig.job(id="job-000002", pieces=3, cpus=0.5, guessS=10.0)
    rig.look()
    assert rig.starts() == 5
    assert (short.live, long.live) == (3, 2)
    assert rig.starts() == 0
    assert rig.planner.hold_reason(long, rig.clock.now()) == "run_full"
    rig.model.unplace(long.attempts[0])
    rig.model.unplace(long.attempts[1])
    assert rig.starts() == 2


def test_a_gang_starts_whole_within_the_limit_or_alone() -> None:
    rig = RunController(most_at_once=5)
    worker = Worker()
    rig.machine()
    rig.report(worker)
    gang = rig.job(pieces=4, cpus=0.5, shape="group")
    array = rig.job(id="job-000002", pieces=3, cpus=0.5, rank="high")
    large = rig.job(id="job-000003", pieces=6, cpus=0.5, shape="group")
    rig.look()
    assert rig.starts() == 3
    assert (array.live, gang.live) == (3, 0)
    for task in range(3):
        rig.model.finish(array.attempts[task], rig.clock.now())
    assert rig.starts() == 4
    assert (gang.live, large.live) == (4, 0)
    for task in range(4):
        rig.model.finish(gang.attempts[task], rig.clock.now())
    assert rig.starts() == 6


def test_why_names_the_run_that_holds_a_job_back() -> None:
    rig = RunController(most_at_once=2)
    rig.machine()
    job = rig.job()

    async def ask(*_: Any) -> None:
        return None

    explainer = Explainer(rig.model, rig.planner, rig.membership, ExplainOptions(), ask, ask)
    (why,) = rig.run(explainer.answer_locally(0, [job.id]))
    (reason,) = why.groups[0].reasons
    assert (reason.code, reason.who) == ("reckoning_run", ["night 1"])
    assert "night 1, which has not been opened" in reason.text


def test_members_that_fail_too_often_are_deferred_to_the_second_round() -> None:
    rig = RunController(attempts=2)
    worker = Worker()
    rig.machine()
    rig.report(worker)
    job = rig.opened(pieces=3)
    rig.fail(job, 2)
    rig.fail(job, 1)
    rig.fail(job, 1)
    assert job.deferred_members == {1}
    job.record_success()
    job.retry_at = 0.0
    rig.clock.time += 5
    rig.report(worker)
    assert rig.starts() == 2
    assert sorted(job.attempts) == [0, 2]
    rig.look()
    assert rig.plan.record.phase == "reckoning"
    for task in (0, 2):
        rig.model.finish(job.attempts[task], rig.clock.now())
    assert rig.rules.hold_reason(job) == "run_aside"
    rig.look()
    assert rig.plan.record.phase == "second"
    assert job.deferred_members == set()
    rig.written()
    rig.report(worker)
    assert rig.starts() == 1
    assert 1 in job.attempts


# ---- what outlives an owner ----


def test_new_owner_continues_with_counters_rounds_and_member_states() -> None:
    rig = RunController(attempts=2)
    rig.machine()
    job = rig.opened(pieces=4)
    rig.fail(job, 3)
    rig.fail(job, 3)
    rig.fail(job, 0)
    rig.model.finish(rig.model.place(job, 1, 1, rig.machine("m-2"), Stage.PLACED), 0.0)
    rig.written()
    before = {task: rig.book.member_state(rig.plan, job, task) for task in range(4)}
    heir = rig.heir()
    there = heir.model.job(job.id)
    assert there is not None
    assert there.deferred_members == {3}
    assert heir.book.failures(there, 0) == 1
    assert {t: heir.book.member_state(heir.plan, there, t) for t in range(4)} == before
    assert before[1] == MemberState.RECKONED
    # The leader, if it is another one, rents nothing for those set aside.
    leader = RunController(beside=rig, node="n-2")
    leader.book.plans = RunIndex(leader.model, options.RunsOptions([rig.plan.plan])).plans
    leader.sync()
    seen = leader.model.job(job.id)
    assert seen is not None
    assert leader.book.startable(leader.plan, seen) == 2
    assert before[3] == MemberState.DEFERRED


def test_failure_observed_again_by_the_next_owner_counts_once() -> None:
    """The worker still shows an attempt that the owner before has counted."""
    rig = RunController(attempts=3)
    worker = Worker()
    rig.machine()
    rig.report(worker)
    job = rig.opened(pieces=1)
    assert rig.starts() == 1
    rig.written()
    rig.report(worker)
    worker.finish(f"{job.id}/0", "error")
    # Nothing is reaped before the failure is durable: the heir may have to count it.
    assert not any(o["verb"] == "reap" for o in rig.report(worker)["orders"])
    early = rig.heir()
    first = early.model.job(job.id)
    early.report(worker)
    assert first is not None
    assert early.book.failures(first, 0) == 1
    early.written()
    heir = early.heir()
    there = heir.model.job(job.id)
    assert there is not None
    heir.report(worker)
    heir.report(worker)
    assert heir.book.failures(there, 0) == 1
    assert not worker.tasks, "and now it is reaped"


def test_a_row_of_an_attempt_that_has_failed_is_neither_placed_nor_counted_again() -> None:
    """Its page was not written again since; the worker shows it as it ended."""
    rig = RunController(attempts=2)
    worker = Worker()
    rig.machine()
    job = rig.opened(pieces=1)
    rig.page(0, rig.rows(job.id, (0, 1, "m-1")))
    rig.page(1, wire.JobRows(job.id, [], [], [], [wire.StoredFailures(0, 1, 1)]))
    heir = rig.heir()
    there = heir.model.job(job.id)
    assert there is not None
    assert heir.book.member_state(heir.plan, there, 0) == MemberState.WAITING
    worker.hold(f"{job.id}/0")
    worker.finish(f"{job.id}/0", "error")
    heir.report(worker)
    assert heir.book.failures(there, 0) == 1
    assert not there.attempts


def test_run_is_counted_when_all_before_its_cut_is_applied() -> None:
    rig = RunController()
    rig.opened()
    heir = rig.heir()
    rig.sync()
    late = rig.job(id="job-000002")
    rig.ask("/runs/night/1/close", "POST")
    # Read ahead of the replica, as an operator's question has it.
    heir.ask("/runs/night/1")
    assert heir.plan.record.phase == "closing"
    assert heir.keeper._due_transition(heir.plan) is None
    assert heir.model.job(late.id) is None
    record = heir.look(1.0) and heir.look(1.0)
    assert record is not None and record.counts == [0, 0, 8]


def test_note_of_a_failure_waits_for_other_writes_for_a_limited_time() -> None:
    rig = RunController()
    rig.machine()
    job = rig.opened()
    before = rig.state.transactions
    rig.fail(job, 0)
    rig.run(rig.settle())
    assert rig.state.transactions == before
    rig.written()
    assert rig.state.transactions == before + 1
