"""The members of a reckoning run, in pages."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from badgerseam.model.job import Job
from badgerseam.model.model import Model
from badgerseam.runs.counting import SLICE
from badgerseam.runs.run_index import EndedJob, MemberState, PlanJobs, RunIndex
from badgerseam.wire import runs as wire

MEMBER_STATES = [state.value for state in MemberState]


class MemberCursor(NamedTuple):
    """The last member of a page, behind which the next one begins."""

    job_id: str
    task: int | None
    """None: all tasks of the job have been listed."""

    @classmethod
    def parse(cls, text: str) -> MemberCursor | None:
        """The cursor of a text such as `job-000412/3` or `job-000412`; None if it is neither."""
        job_id, _, task = text.partition("/")
        if not job_id or (task and not task.isdecimal()):
            return None
        return cls(job_id, int(task) if task else None)


class _MemberJob(NamedTuple):
    """A job of the run, in the order of the pages."""

    queue_position: int
    job_id: str
    job: Job | None
    """None if it had ended when the page was begun."""


class RunMembers:
    """Lists members as the replica of the stored state has them, in slices."""

    def __init__(self, model: Model, index: RunIndex) -> None:
        self._model = model
        self._index = index

    async def page(
        self,
        plan: PlanJobs,
        number: int,
        state: str | None,
        cursor: MemberCursor | None,
        limit: int,
    ) -> wire.MemberPage | None:
        """Members behind the cursor, by their job's queue position and their task's number; None
        if the cursor's job is not in the run. `state` filters them; None: all."""
        jobs = self._jobs_in_order(plan, number)
        begin = _first_position(jobs, cursor)
        if begin is None:
            return None
        views: list[wire.MemberView] = []
        slice_size = 0
        for position in range(begin, len(jobs)):
            _, job_id, job = jobs[position]
            ended = plan.ended.get(job_id)
            if ended is not None or job is None:
                views += _ended_views(job_id, ended, state)
                if len(views) >= limit:
                    return wire.MemberPage(views, job_id)
                continue
            first = 0
            if position == begin and cursor is not None and cursor.task is not None:
                first = cursor.task + 1
            while first < job.tasks:
                tasks = range(first, min(job.tasks, first + SLICE))
                last_task = self._append_views(views, limit, plan, job, tasks, state)
                if last_task is not None:
                    return wire.MemberPage(views, f"{job_id}/{last_task}")
                slice_size += len(tasks)
                first = tasks.stop
                if slice_size >= SLICE:
                    # Heartbeats and plans have their turn.
                    slice_size = 0
                    await asyncio.sleep(0)
        return wire.MemberPage(views)

    def _jobs_in_order(self, plan: PlanJobs, number: int) -> list[_MemberJob]:
        """The run's jobs by queue position, open and ended ones."""
        with self._model.lock:
            jobs = [_MemberJob(job.queue_position, job.id, job) for job in plan.members(number)]
            jobs += [
                _MemberJob(ended.queue_position, job_id, None)
                for job_id, ended in plan.ended.items()
                if plan.run_number(ended.queue_position) == number
            ]
        jobs.sort(key=lambda entry: entry[:2])
        return jobs

    def _append_views(
        self,
        views: list[wire.MemberView],
        limit: int,
        plan: PlanJobs,
        job: Job,
        tasks: range,
        state: str | None,
    ) -> int | None:
        """Append the views of an open job's tasks; the task that filled the page, or None."""
        with self._model.lock:
            for task in tasks:
                member_state = self._index.member_state(plan, job, task)
                if state in (None, member_state.value):
                    views.append(self._view(job, task, member_state))
                    if len(views) >= limit:
                        return task
        return None

    def _view(self, job: Job, task: int, state: MemberState) -> wire.MemberView:
        """One member of an open job."""
        attempt = job.attempts.get(task)
        machine: str | None = None
        running_s: float | None = None
        checkpointed_s: float | None = None
        if attempt is not None and state in (MemberState.PLACED, MemberState.RUNNING):
            machine = attempt.machine.name
            if state == MemberState.RUNNING:
                running_s = round(self._model.clock.now() - attempt.started_at, 1)
                interval_s = job.spec.checkpoint_s
                checkpointed_s = running_s // interval_s * interval_s if interval_s > 0 else 0.0
        return wire.MemberView(
            f"{job.id}/{task}",
            state.value,
            1,
            job.tries.get(task, 0),
            machine,
            running_s,
            checkpointed_s,
            self._index.failures(job, task),
        )


def _first_position(jobs: list[_MemberJob], cursor: MemberCursor | None) -> int | None:
    """Where the page begins among the jobs; None if the cursor's job is not one of them."""
    if cursor is None:
        return 0
    job_ids = [entry.job_id for entry in jobs]
    if cursor.job_id not in job_ids:
        return None
    return job_ids.index(cursor.job_id) + (cursor.task is None)


def _ended_views(job_id: str, ended: EndedJob | None, state: str | None) -> list[wire.MemberView]:
    """The members of an ended job, one entry for all in the same state."""
    if ended is None:
        return []
    counts = (
        (MemberState.RECKONED, ended.reckoned),
        (MemberState.CANCELLED, ended.tasks - ended.reckoned),
    )
    return [
        wire.MemberView(job_id, member_state.value, members)
        for member_state, members in counts
        if members and state in (None, member_state.value)
    ]
