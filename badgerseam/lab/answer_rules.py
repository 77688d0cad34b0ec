"""Rules for responses to users: no job is lost or made up, and no terminal phase changes."""

from __future__ import annotations

from badgerseam.lab.history import END_PHASES, Event
from badgerseam.lab.judged_history import JudgedHistory, JudgedJob, RuleContext
from badgerseam.lab.waiting import find_unsatisfiable_requirement

MAX_UNANSWERED_S = 75.0
"""Longest time for which no poll of a job is answered, counted while no injected fault is
active."""
OK = (200, 201)
REFUSED = (400, 422)
NOT_FOUND = 404


class AnswerRules:
    """Checks each response against the earlier ones."""

    def __init__(self, context: RuleContext, history: JudgedHistory) -> None:
        self._context = context
        self._history = history
        self._accepted_invalid: set[str] = set()
        self.stale_answers = 0
        """Number of responses that contradict an earlier response but were requested before that
        response arrived."""

    @property
    def accepted_invalid(self) -> int:
        """Number of jobs that were accepted although they can't run or lack a field."""
        return len(self._accepted_invalid)

    def on_cancel_request(self, event: Event) -> None:
        """Processes a user's cancellation request."""
        job = self._history.jobs.get(event.job)
        if job is None:
            return
        if job.cancel_requested_at is None:
            job.cancel_requested_at = event.t
        self._history.open_jobs.pop(event.job, None)

    def on_answer(self, event: Event) -> None:
        """Processes a response to a user, or the absence of one."""
        if event.about == "malformed":
            if event.status in OK:
                self._accepted_invalid.add(event.job)
            return
        job = self._history.jobs.get(event.job)
        if job is None:
            if event.status == 200:
                text = "answered with 200, but was never submitted"
                self._history.add_violation(event, "invented", event.job, text)
            return
        if event.about == "poll":
            self._check_is_answered(event, job)
        self._check_is_known(event, job)
        if event.status in OK:
            self._on_phase(event, job)

    def _check_is_known(self, event: Event, job: JudgedJob) -> None:
        """Checks that an accepted job stays known, and that submitting it again is accepted."""
        if event.about != "submit":
            if event.status == NOT_FOUND:
                self._on_unknown(event, job, f"{event.about}: 404")
        elif event.status in OK:
            self._on_accepted(event.job, job)
        elif event.status in REFUSED:
            self._on_unknown(event, job, f"submitted again: {event.status}")

    def _on_unknown(self, event: Event, job: JudgedJob, text: str) -> None:
        """Processes a response that treats a job as never accepted."""
        if job.acknowledged_at is not None and self._contradicts(event, job.acknowledged_at):
            self._history.add_violation(event, "forgotten", event.job, text)

    def _contradicts(self, event: Event, answered_at: float) -> bool:
        """Whether a response contradicts an earlier one that arrived at `answered_at`.

        It does if its request was sent at that time or later. If the request was already in flight,
        the response is counted as stale.
        """
        if (event.asked or event.t) >= answered_at:
            return True
        self.stale_answers += 1
        return False

    def _on_accepted(self, name: str, job: JudgedJob) -> None:
        if job.is_accepted:
            return
        job.is_accepted = True
        context = self._context
        if context.machine_types and find_unsatisfiable_requirement(
            job.spec, context.teams, context.machine_types
        ):
            self._accepted_invalid.add(name)
        elif (
            job.cancel_requested_at is None
            and name not in context.broken_jobs
            and job.spec.job_class not in context.replica_classes
        ):
            self._history.open_jobs[name] = job

    def _on_phase(self, event: Event, job: JudgedJob) -> None:
        """Processes a response that contains a job's phase."""
        if job.acknowledged_at is None:
            job.acknowledged_at = event.t
        self._check_end_stays(event, job)
        if event.phase == "done":
            self._check_is_done(event, job)
        if event.phase == "withdrawn":
            self._on_cancelled(event, job)
        if event.phase in END_PHASES:
            if not job.end_phase:
                job.ended_at = event.t
            job.end_phase = event.phase
            self._history.open_jobs.pop(event.job, None)

    def _check_end_stays(self, event: Event, job: JudgedJob) -> None:
        if not job.end_phase or event.phase == job.end_phase:
            return
        # Two different terminal phases contradict each other, whichever request was sent first.
        if event.phase in END_PHASES or self._contradicts(event, job.ended_at):
            text = f"{event.phase} after {job.end_phase}"
            self._history.add_violation(event, "went_back", event.job, text)

    def _check_is_done(self, event: Event, job: JudgedJob) -> None:
        done, tasks = len(job.done_tasks), job.spec.tasks
        if done < tasks:
            text = f"reported as done with {done} of {tasks} tasks done"
            self._history.add_violation(event, "not_done", event.job, text)

    def _on_cancelled(self, event: Event, job: JudgedJob) -> None:
        if job.cancel_requested_at is None:
            text = "cancelled without a request from its user"
            self._history.add_violation(event, "went_back", event.job, text)
        if job.cancelled_at is not None:
            return
        job.cancelled_at = event.t
        if self._history.running_tasks(event.job):
            self._history.cancel_deadlines[event.job] = event.t + self._context.cancel_s

    def _check_is_answered(self, event: Event, job: JudgedJob) -> None:
        """Checks that some poll of a job is answered within `MAX_UNANSWERED_S`.

        Only time without an active injected fault counts: if an outage counted, every job would be
        reported as forgotten. Each job is checked independently of the others: if the rule required
        that other jobs be answered, none would be reported when the whole service lost its jobs.
        """
        if not job.is_accepted:
            return
        if event.reached_user and event.status in (200, NOT_FOUND):
            job.unanswered_since = None
            return
        if job.unanswered_since is None:
            job.unanswered_since = event.asked or event.t
        if self._history.fault_free_since is None:
            return
        unanswered_s = event.t - max(job.unanswered_since, self._history.fault_free_since)
        if unanswered_s > MAX_UNANSWERED_S:
            text = f"no poll answered for {unanswered_s:.0f} s while no injected fault was active"
            self._history.add_violation(event, "forgotten", event.job, text)
            # Restarts the interval, so that not every further poll is reported as a violation.
            job.unanswered_since = event.t
