"""The rules for answers to users: no job is forgotten or invented, and none changes its end."""

from __future__ import annotations

from badgerseam.lab.history import END_PHASES, Event
from badgerseam.lab.judged_history import JudgedHistory, JudgedJob, RuleContext
from badgerseam.lab.waiting import never_runs

MAX_UNANSWERED_S = 75.0
"""How long every question about a job may go unanswered once all failures are over."""
OK = (200, 201)
REFUSED = (400, 422)
NOT_FOUND = 404


class AnswerRules:
    """Checks each answer against those that came before it."""

    def __init__(self, context: RuleContext, history: JudgedHistory) -> None:
        self._context = context
        self._history = history
        self._accepted_invalid: set[str] = set()
        self.stale_answers = 0
        """Answers older than one that came before them, to questions sent before that one came."""

    @property
    def accepted_invalid(self) -> int:
        """How many jobs were accepted though they can't run or lack a field."""
        return len(self._accepted_invalid)

    def on_cancel_request(self, event: Event) -> None:
        """A user has asked for a cancellation."""
        job = self._history.jobs.get(event.job)
        if job is None:
            return
        if job.cancel_requested_at is None:
            job.cancel_requested_at = event.t
        self._history.open_jobs.pop(event.job, None)

    def on_answer(self, event: Event) -> None:
        """A user has got an answer, or none in time."""
        if event.about == "malformed":
            if event.status in OK:
                self._accepted_invalid.add(event.job)
            return
        job = self._history.jobs.get(event.job)
        if job is None:
            if event.status == 200:
                text = "answered 200, and nobody submitted it"
                self._history.add_violation(event, "invented", event.job, text)
            return
        if event.about == "poll":
            self._check_is_answered(event, job)
        self._check_is_known(event, job)
        if event.status in OK:
            self._on_phase(event, job)

    def _check_is_known(self, event: Event, job: JudgedJob) -> None:
        """A job that was accepted stays known, and a repeated submission of it is accepted."""
        if event.about != "submit":
            if event.status == NOT_FOUND:
                self._on_unknown(event, job, f"{event.about}: 404")
        elif event.status in OK:
            self._on_accepted(event.job, job)
        elif event.status in REFUSED:
            self._on_unknown(event, job, f"submitted again: {event.status}")

    def _on_unknown(self, event: Event, job: JudgedJob, text: str) -> None:
        """An answer as of a job that was never accepted."""
        if job.acknowledged_at is not None and self._contradicts(event, job.acknowledged_at):
            self._history.add_violation(event, "forgotten", event.job, text)

    def _contradicts(self, event: Event, answered_at: float) -> bool:
        """Whether an answer contradicts one that came before it, at `answered_at`.

        It does if its question was sent then or later. An answer to a question that was on its way
        already is counted as stale.
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
        if context.machine_types and never_runs(job.spec, context.teams, context.machine_types):
            self._accepted_invalid.add(name)
        elif (
            job.cancel_requested_at is None
            and name not in context.broken_jobs
            and job.spec.job_class not in context.replica_classes
        ):
            self._history.open_jobs[name] = job

    def _on_phase(self, event: Event, job: JudgedJob) -> None:
        """An answer that names a job's phase."""
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
        # Two different ends contradict each other, whichever question was sent first.
        if event.phase in END_PHASES or self._contradicts(event, job.ended_at):
            text = f"{event.phase} after {job.end_phase}"
            self._history.add_violation(event, "went_back", event.job, text)

    def _check_is_done(self, event: Event, job: JudgedJob) -> None:
        done, tasks = len(job.done_tasks), job.spec.tasks
        if done < tasks:
            text = f"called done with {done} of {tasks} tasks done"
            self._history.add_violation(event, "not_done", event.job, text)

    def _on_cancelled(self, event: Event, job: JudgedJob) -> None:
        if job.cancel_requested_at is None:
            text = "cancelled, and its user did not ask"
            self._history.add_violation(event, "went_back", event.job, text)
        if job.cancelled_at is not None:
            return
        job.cancelled_at = event.t
        if self._history.running_tasks(event.job):
            self._history.cancel_deadlines[event.job] = event.t + self._context.cancel_s

    def _check_is_answered(self, event: Event, job: JudgedJob) -> None:
        """Some question about a job is answered within a time, however others fare.

        Time counts while nothing is broken on purpose: a rule that counted an outage too would
        call every job forgotten, and one that asked for answers about others would call none so if
        the whole service forgot its jobs.
        """
        if not job.is_accepted:
            return
        if event.reached_user and event.status in (200, NOT_FOUND):
            job.unanswered_since = None
            return
        if job.unanswered_since is None:
            job.unanswered_since = event.asked or event.t
        if self._history.no_failure_since is None:
            return
        unanswered_s = event.t - max(job.unanswered_since, self._history.no_failure_since)
        if unanswered_s > MAX_UNANSWERED_S:
            text = f"no question answered for {unanswered_s:.0f} s, and nothing was broken"
            self._history.add_violation(event, "forgotten", event.job, text)
            # One violation for each time that it is too long, not for every poll from now on.
            job.unanswered_since = event.t
