"""Pages of the members of a reckoning run."""

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
    """The last member of a page; the next page starts after it."""

    job_id: str
    task: int | None
    """None if all tasks of the job have been listed."""

    @classmethod
    def parse(cls, text: str) -> MemberCursor | None:
        """Returns the cursor for a text such as `job-000412/3` or `job-000412`, or None."""
        job_id, _, task = text.partition("/")
        if not job_id or (task and not task.isdecimal()):
            return None
        return cls(job_id, int(task) if task else None)


class _MemberJob(NamedTuple):
    """A job of the run; pages list the jobs by queue position and id."""

    queue_position: int
    job_id: str
    job: Job | None
    """None if the job had ended when the page was started."""


class RunMembers:
    """Lists members from the replica of the stored state, and yields to the event loop after each
    slice of tasks."""

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
        """Returns the members after the cursor, ordered by the queue position of their job and
        their task number; None if the cursor's job is not in the run. `state` filters the members;
        None lists all."""
        jobs = self._jobs_in_order(plan, number)
        begin = _first_position(jobs, cursor)
        if begin is None:
            return None
        views: list[wire.MemberView] = []
        tasks_in_slice = 0
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
                tasks_in_slice += len(tasks)
                first = tasks.stop
                if tasks_in_slice >= SLICE:
                    # Let the event loop handle heartbeats and plans.
                    tasks_in_slice = 0
                    await asyncio.sleep(0)
        return wire.MemberPage(views)

    def _jobs_in_order(self, plan: PlanJobs, number: int) -> list[_MemberJob]:
        """Returns the run's open and ended jobs, ordered by queue position."""
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
        """Appends the views of an open job's tasks; returns the task that filled the page, or
        None."""
        with self._model.lock:
            for task in tasks:
                member_state = self._index.member_state(plan, job, task)
                if state in (None, member_state.value):
                    views.append(self._member_view(job, task, member_state))
                    if len(views) >= limit:
                        return task
        return None

    def _member_view(self, job: Job, task: int, state: MemberState) -> wire.MemberView:
        """Returns the view of one member of an open job."""
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
    """Returns the index of the page's first job; None if the cursor's job is not in the list."""
    if cursor is None:
        return 0
    job_ids = [entry.job_id for entry in jobs]
    if cursor.job_id not in job_ids:
        return None
    return job_ids.index(cursor.job_id) + (cursor.task is None)


def _ended_views(job_id: str, ended: EndedJob | None, state: str | None) -> list[wire.MemberView]:
    """Returns the members of an ended job, one entry for all members in the same state."""
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
