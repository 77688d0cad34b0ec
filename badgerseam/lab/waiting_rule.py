"""The rule that no job is left waiting while resources for it are free."""

from __future__ import annotations

from badgerseam.lab.history import Event
from badgerseam.lab.job_terms import find_unmet_term
from badgerseam.lab.judged_history import (
    JudgedHistory,
    JudgedJob,
    RuleContext,
    RuleViolation,
    job_of,
)
from badgerseam.lab.waiting import CHECK_PERIOD_S, MAX_WAIT_S, StartableTasks, WaitingDetector


class WaitingRule:
    """Checks once a second which jobs wait although a plan would start some of their tasks."""

    def __init__(self, context: RuleContext, history: JudgedHistory) -> None:
        self._context = context
        self._history = history
        self._detector = WaitingDetector(context.teams, context.machine_types)
        self._next_check = 0.0

    @property
    def below_limit_s(self) -> dict[str, float]:
        """By team, the seconds for which a task waited although it fitted a machine and its team's
        limit."""
        return dict(sorted(self._detector.below_limit_s.items()))

    def on_event(self, event: Event) -> None:
        """Tracks machines and tasks; called after the history has processed the event."""
        job = self._history.jobs.get(job_of(event.job))
        self._detector.on_event(event, None if job is None else job.spec)

    def check_until(self, t: float) -> None:
        """Makes all checks that are due before time t."""
        while self._next_check < t:
            check_at = self._next_check
            self._next_check += CHECK_PERIOD_S
            startable = {}
            if self._history.fault_free_since is not None:
                startable = self._startable_tasks(check_at)
            for name in self._detector.check(check_at, startable):
                text = (
                    f"left waiting for {MAX_WAIT_S:.0f} s with free resources and no injected fault"
                )
                violation = RuleViolation(check_at, "left_waiting", name, text)
                self._history.violations.append(violation)

    def _startable_tasks(self, t: float) -> dict[str, StartableTasks]:
        """Returns the jobs with waiting tasks that their terms allow to start at time t."""
        found: dict[str, StartableTasks] = {}
        for name, job in self._history.open_jobs.items():
            count = self._startable_count(name, job, t)
            if count > 0:
                found[name] = StartableTasks(job.spec, job.position, count)
        return found

    def _startable_count(self, name: str, job: JudgedJob, t: float) -> int:
        launched = self._detector.launched_tasks(name)
        count = job.spec.tasks - len(job.done_tasks) - launched
        terms = job.spec.terms
        if terms is None:
            return count
        if find_unmet_term(self._history, job, self._context.began_at + t):
            return 0
        return count if terms.throttle is None else min(count, terms.throttle - launched)
