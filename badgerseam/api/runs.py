"""The API for reckoning runs: listing runs, viewing a run and its members, and closing a run.

Any controller answers. Before it does, a comparing transaction confirms the runs' records, as it
confirms a job for a poll, and also that no later run exists. The states of members come from the
controller's replica of the stored state, which lags behind the state service by some hundredths of
a second.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from badgerseam.api.lists import BadQueryError, read_filters
from badgerseam.api.replies import (
    RETRY_AFTER_S,
    escaped_error_reply,
    no_such_path_reply,
    starting_reply,
    wrong_method_reply,
)
from badgerseam.api.run_members import MEMBER_STATES, MemberCursor, RunMembers
from badgerseam.http.server import Reply, error_reply
from badgerseam.model.keys import run_key
from badgerseam.model.model import Model
from badgerseam.runs.counting import count
from badgerseam.runs.run_index import MemberState, PlanJobs, RunIndex
from badgerseam.runs.run_lifecycle import RunLifecycle
from badgerseam.store.client import StateClient
from badgerseam.wire import runs as wire
from badgerseam.wire.state import StoredRun

RUNS = "/runs"
READ_TIMEOUT_S = 1.0
MAX_CONFIRM_ATTEMPTS = 3
"""Rounds of confirming and rereading before an operator is asked to retry."""
MAX_RUNS_LISTED = 10
"""Number of runs of each plan in the list; the latest ones are listed."""
MAX_RUN_DIGITS = 9
CLOSED_COUNT_NAMES = ("reckoned", "withdrawn", "unresolved")
"""Names of the counts in a closed run's record, in their order."""

Confirm = Callable[[str, int], Awaitable[bool]]
"""Returns whether a key currently has a version (0: the key does not exist). Raises
StateUnavailableError if the state service cannot confirm it."""


class RunsApi:
    """Answers requests at or below `/runs`."""

    def __init__(
        self, model: Model, state: StateClient, index: RunIndex, lifecycle: RunLifecycle
    ) -> None:
        self._model = model
        self._state = state
        self._index = index
        self._lifecycle = lifecycle
        self._run_members = RunMembers(model, index)
        self._confirm: Confirm | None = None

    def confirm_with(self, confirm: Confirm) -> None:
        """Sets the function that confirms versions; required before the first request."""
        self._confirm = confirm

    async def handle(self, method: str, target: str) -> Reply:
        """Handles a request for the list `/runs`, for `/runs/PLAN/NUMBER`, or below it."""
        if not self._model.loaded:
            return starting_reply()
        path, _, query = target.partition("?")
        segments = path[len(RUNS) + 1 :].split("/") if len(path) > len(RUNS) else []
        allowed_method = "POST" if segments[2:] == ["close"] else "GET"
        if method != allowed_method:
            return wrong_method_reply(allowed_method)
        if not segments:
            return await self._list()
        return await self._handle_run(segments, query)

    async def _handle_run(self, segments: list[str], query: str) -> Reply:
        """Handles a request for one run; `segments` is the path after `/runs`."""
        plan = self._index.plans.get(segments[0])
        if plan is None:
            known = ", ".join(self._index.plans)
            return escaped_error_reply(404, f"no plan {segments[0][:40]}; there are {known}")
        action = segments[2:]
        if len(segments) < 2 or action not in ([], ["members"], ["close"]):
            return no_such_path_reply()
        if not segments[1].isdecimal() or len(segments[1]) > MAX_RUN_DIGITS:
            return error_reply(404, "a run is named by its plan and its number")
        number, name = int(segments[1]), plan.plan.name
        if not await self._confirm_latest([plan]):
            return error_reply(503, "changing", RETRY_AFTER_S)
        if number not in self._model.runs.get(name, {}):
            return escaped_error_reply(
                404, f"{name} has no run {number}; its latest is {plan.latest}"
            )
        if action == ["members"]:
            return await self._members(plan, number, query)
        if action == ["close"]:
            return await self._close(plan, number)
        return await self._run_reply(plan, number)

    # ---- confirming ----

    async def _confirm_latest(self, plans: list[PlanJobs]) -> bool:
        """Whether the model has the latest run of each of these plans as it is now in the state
        service. Records that have changed are read again and confirmed in the next round.

        Raises StateUnavailableError if the state service cannot confirm it.
        """
        assert self._confirm is not None
        for _ in range(MAX_CONFIRM_ATTEMPTS):
            versions = self._expected_versions(plans)
            confirmed = await asyncio.gather(
                *(self._confirm(key, version) for key, version in versions.items())
            )
            changed = [key for key, same in zip(versions, confirmed, strict=True) if not same]
            if not changed:
                return True
            for key in changed:
                entry = await self._state.get(key, READ_TIMEOUT_S)
                if entry is not None:
                    with self._model.lock:
                        self._model.apply(entry.key, entry.value, entry.version)
        return False

    def _expected_versions(self, plans: list[PlanJobs]) -> dict[str, int]:
        """Returns the versions of the plans' latest runs, and 0 for the runs that would follow."""
        with self._model.lock:
            versions = {run_key(plan.plan.name, plan.latest + 1): 0 for plan in plans}
            versions |= {
                run_key(plan.plan.name, plan.latest): plan.version for plan in plans if plan.latest
            }
        return versions

    # ---- answers ----

    async def _list(self) -> Reply:
        plans = list(self._index.plans.values())
        if not await self._confirm_latest(plans):
            return error_reply(503, "changing", RETRY_AFTER_S)
        views = []
        for plan in plans:
            for number in range(plan.latest, max(0, plan.latest - MAX_RUNS_LISTED), -1):
                views.append(await self._view(plan, number))
        without_runs = [plan.plan.name for plan in plans if not plan.latest]
        return Reply(200, wire.encode(wire.RunList(views, without_runs)))

    async def _run_reply(self, plan: PlanJobs, number: int) -> Reply:
        return Reply(200, wire.encode(await self._view(plan, number)))

    async def _view(self, plan: PlanJobs, number: int) -> wire.RunView:
        """Returns the view of one run."""
        with self._model.lock:
            record, _ = self._model.runs[plan.plan.name][number]
            later_tasks = _tasks_after(plan, number) if number == plan.latest else 0
        if record.phase == "closed":
            members = dict(zip(CLOSED_COUNT_NAMES, record.counts, strict=False))
        else:
            counts = await count(self._model, self._index, plan, number)
            members = {state.value: counts.by_state[state] for state in MemberState}
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
            later_tasks,
        )

    async def _close(self, plan: PlanJobs, number: int) -> Reply:
        """Closes a run at an operator's request. The write is the same as the leader's and
        conditional on the same versions, so only one of the two can succeed."""
        with self._model.lock:
            record = plan.record if number == plan.latest else None
            closing: StoredRun | None = None
            if record is not None and not _is_closing(record):
                closing = self._lifecycle.closing(record)
        if closing is not None:
            is_written = await self._lifecycle.write(plan, number, closing)
            if not await self._confirm_latest([plan]):
                return error_reply(503, "changing", RETRY_AFTER_S)
            latest, _ = self._model.runs[plan.plan.name][number]
            if not is_written and not _is_closing(latest):
                return error_reply(503, "not written, ask again", RETRY_AFTER_S)
        return await self._run_reply(plan, number)

    async def _members(self, plan: PlanJobs, number: int, query: str) -> Reply:
        try:
            filters, limit = read_filters(query, ("standing", "from", "limit"))
        except BadQueryError as refusal:
            return refusal.reply
        state = filters.get("standing")
        if state is not None and state not in MEMBER_STATES:
            return escaped_error_reply(400, f"standing: one of {', '.join(MEMBER_STATES)}")
        start = filters.get("from", "")
        cursor = MemberCursor.parse(start)
        if start and cursor is None:
            return escaped_error_reply(
                400, "from: a member such as job-000412/3, as `after` of an answer says"
            )
        page = await self._run_members.page(plan, number, state, cursor, limit)
        if page is None:
            return escaped_error_reply(
                400, f"from: {start[:60]} is no member of this run any more; begin anew"
            )
        return Reply(200, wire.encode(page))


def _is_closing(record: StoredRun) -> bool:
    """Whether a run is closing or closed."""
    return record.phase in ("closing", "closed")


def _tasks_after(plan: PlanJobs, number: int) -> int:
    """Returns the number of tasks of the plan's open jobs that belong to later runs."""
    return sum(job.tasks for job in plan.all_jobs() if plan.run_number(job.queue_position) > number)
