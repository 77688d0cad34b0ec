"""What operators ask of reckoning runs: which there are, how their members stand, to close one.

Any controller answers. The runs' records are confirmed by a comparing transaction, as a job is for
a poll, together with the absence of a later run; members stand as its replica shows them, which
follows the state service with a delay of some hundredths of a second.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from badgerseam.api.lists import BadQueryError, read_filters
from badgerseam.http.server import Reply, error_reply
from badgerseam.model.job import Job
from badgerseam.model.keys import run_key
from badgerseam.model.model import Model
from badgerseam.runs.counting import SLICE, count
from badgerseam.runs.run_index import MemberState, PlanJobs, RunIndex
from badgerseam.runs.run_lifecycle import RunLifecycle
from badgerseam.store.client import StateClient
from badgerseam.wire import runs as wire
from badgerseam.wire.state import StoredRun

RUNS = "/runs"
RETRY_S = 1
READ_S = 1.0
MAX_ATTEMPTS = 3
MAX_RUNS_LISTED = 10
"""Runs of each plan in the list, the latest ones."""
MEMBER_STATES = [standing.value for standing in MemberState]

Confirm = Callable[[str, int], Awaitable[bool]]
"""Whether a key has a stamp (0: none) now; Unavailable if nobody can tell."""


class RunsApi:
    """Answers `/runs` and what lies below it."""

    def __init__(
        self, model: Model, state: StateClient, book: RunIndex, keeper: RunLifecycle
    ) -> None:
        self._model = model
        self._state = state
        self._book = book
        self._keeper = keeper
        self._confirm: Confirm | None = None

    def confirm_with(self, confirm: Confirm) -> None:
        """How stamps are compared."""
        self._confirm = confirm

    async def handle(self, method: str, path: str, body: bytes) -> Reply:
        """A request at or below `/runs`."""
        if not self._model.loaded:
            return error_reply(503, "starting", RETRY_S)
        path, _, query = path.partition("?")
        parts = path[len(RUNS) + 1 :].split("/") if len(path) > len(RUNS) else []
        wanted = "POST" if parts[2:] == ["close"] else "GET"
        if method != wanted:
            return error_reply(405, f"{wanted} only")
        if not parts:
            return await self._list()
        plan = self._book.plans.get(parts[0])
        if plan is None:
            known = ", ".join(self._book.plans)
            return _error(404, f"no plan {parts[0][:40]}; there are {known}")
        if len(parts) not in (2, 3) or parts[2:] not in ([], ["members"], ["close"]):
            return error_reply(404, "no such path")
        if not parts[1].isdecimal() or len(parts[1]) > 9:
            return error_reply(404, "a run is named by its plan and its number")
        number = int(parts[1])
        if not await self._current([plan]):
            return error_reply(503, "changing", RETRY_S)
        if number not in self._model.runs.get(plan.plan.name, {}):
            return _error(404, f"{plan.plan.name} has no run {number}; its latest is {plan.latest}")
        if parts[2:] == ["members"]:
            return await self._members(plan, number, query)
        if parts[2:] == ["close"]:
            return await self._close(plan, number)
        return Reply(200, wire.encode(await self._view(plan, number)))

    # ---- as new as the state service ----

    async def _current(self, plans: list[PlanJobs]) -> bool:
        """Whether the latest runs of these plans are known, and are the latest; Unavailable if
        nobody can tell."""
        assert self._confirm is not None
        for _ in range(MAX_ATTEMPTS):
            with self._model.lock:
                keys = {run_key(plan.plan.name, plan.latest + 1): 0 for plan in plans}
                keys |= {
                    run_key(plan.plan.name, plan.latest): plan.version
                    for plan in plans
                    if plan.latest
                }
            confirmed = await asyncio.gather(*(self._confirm(k, v) for k, v in keys.items()))
            changed = [key for key, same in zip(keys, confirmed, strict=True) if not same]
            if not changed:
                return True
            for key in changed:
                entry = await self._state.get(key, READ_S)
                if entry is not None:
                    with self._model.lock:
                        self._model.apply(entry.key, entry.value, entry.version)
        return False

    # ---- answers ----

    async def _list(self) -> Reply:
        plans = list(self._book.plans.values())
        if not await self._current(plans):
            return error_reply(503, "changing", RETRY_S)
        views = []
        for plan in plans:
            for number in range(plan.latest, max(0, plan.latest - MAX_RUNS_LISTED), -1):
                views.append(await self._view(plan, number))
        without = [plan.plan.name for plan in plans if not plan.latest]
        return Reply(200, wire.encode(wire.RunList(views, without)))

    async def _view(self, plan: PlanJobs, number: int) -> wire.RunView:
        with self._model.lock:
            record, _ = self._model.runs[plan.plan.name][number]
            later = 0
            if number == plan.latest:
                jobs = plan.all_jobs()
                later = sum(
                    job.tasks for job in jobs if plan.run_number(job.queue_position) > number
                )
        if record.phase == "closed":
            names = ("reckoned", "withdrawn", "unresolved")
            members = dict(zip(names, record.counts, strict=False))
        else:
            counts = await count(self._model, self._book, plan, number)
            members = {standing.value: counts.by_state[standing] for standing in MemberState}
        return wire.RunView(
            plan.plan.name,
            number,
            record.phase,
            record.opened,
            record.closes,
            record.at,
            record.by,
            members,
            record.reasons,
            later,
        )

    async def _close(self, plan: PlanJobs, number: int) -> Reply:
        """Have a run closed at an operator's word: the same write as the leader's, on the same
        stamps, so that it happens once whoever makes it."""
        with self._model.lock:
            record = plan.record if number == plan.latest else None
            asked: StoredRun | None = None
            if record is not None and record.phase not in ("closing", "closed"):
                asked = self._keeper.closing(record)
        if asked is not None:
            written = await self._keeper.write(plan, number, asked)
            if not await self._current([plan]):
                return error_reply(503, "changing", RETRY_S)
            known, _ = self._model.runs[plan.plan.name][number]
            if not written and known.phase not in ("closing", "closed"):
                return error_reply(503, "not written, ask again", RETRY_S)
        return Reply(200, wire.encode(await self._view(plan, number)))

    async def _members(self, plan: PlanJobs, number: int, query: str) -> Reply:
        try:
            filters, limit = read_filters(query, ("standing", "from", "limit"))
        except BadQueryError as bad:
            return bad.reply
        wanted = filters.get("standing")
        if wanted is not None and wanted not in MEMBER_STATES:
            return _error(400, f"standing: one of {', '.join(MEMBER_STATES)}")
        after = filters.get("from", "")
        job_id, _, task = after.partition("/")
        if after and (not job_id or (task and not task.isdecimal())):
            return _error(400, "from: a member such as job-000412/3, as `after` of an answer says")
        found = await self._page(plan, number, wanted, job_id, int(task) if task else None, limit)
        if found is None:
            return _error(400, f"from: {after[:60]} is no member of this run any more; begin anew")
        return Reply(200, wire.encode(found))

    async def _page(
        self,
        plan: PlanJobs,
        number: int,
        wanted: str | None,
        after: str,
        task: int | None,
        limit: int,
    ) -> wire.MemberPage | None:
        """Members behind one, by place of their job and number; None if that one is not known."""
        with self._model.lock:
            order: list[tuple[int, str, Job | None]] = [
                (job.queue_position, job.id, job) for job in plan.members(number)
            ]
            order += [
                (ended.queue_position, name, None)
                for name, ended in plan.ended.items()
                if plan.run_number(ended.queue_position) == number
            ]
        order.sort(key=lambda entry: entry[:2])
        begin = 0
        if after:
            names = [name for _, name, _ in order]
            if after not in names:
                return None
            begin = names.index(after) + (task is None)
        views: list[wire.MemberView] = []
        looked = 0
        for position in range(begin, len(order)):
            _, name, job = order[position]
            ended = plan.ended.get(name)
            if ended is not None or job is None:
                for standing, members in (
                    ()
                    if ended is None
                    else (
                        (MemberState.RECKONED, ended.reckoned),
                        (MemberState.CANCELLED, ended.tasks - ended.reckoned),
                    )
                ):
                    if members and wanted in (None, standing.value):
                        views.append(wire.MemberView(name, standing.value, members))
                if len(views) >= limit:
                    return wire.MemberPage(views, name)
                continue
            first = 0 if position > begin or task is None else task + 1
            while first < job.tasks:
                last = min(job.tasks, first + SLICE)
                with self._model.lock:
                    for each in range(first, last):
                        standing = self._book.member_state(plan, job, each)
                        if wanted in (None, standing.value):
                            views.append(self._member(job, each, standing))
                            if len(views) >= limit:
                                return wire.MemberPage(views, f"{name}/{each}")
                looked += last - first
                first = last
                if looked >= SLICE:
                    looked = 0
                    await asyncio.sleep(0)
        return wire.MemberPage(views)

    def _member(self, job: Job, task: int, standing: MemberState) -> wire.MemberView:
        attempt = job.attempts.get(task)
        machine: str | None = None
        running: float | None = None
        kept: float | None = None
        if attempt is not None and standing in (MemberState.PLACED, MemberState.RUNNING):
            machine = attempt.machine.name
            if standing == MemberState.RUNNING:
                running = round(self._model.clock.now() - attempt.started_at, 1)
                step = job.spec.checkpoint_s
                kept = running // step * step if step > 0 else 0.0
        return wire.MemberView(
            f"{job.id}/{task}",
            standing.value,
            1,
            job.tries.get(task, 0),
            machine,
            running,
            kept,
            self._book.failures(job, task),
        )


def _error(status: int, text: str) -> Reply:
    return Reply(status, msgspec.json.encode({"error": text}))
