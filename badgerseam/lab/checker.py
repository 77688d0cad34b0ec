"""Checks a history against the rules of the protocol. It knows nothing of how badgerseam works."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from badgerseam.lab.answer_rules import AnswerRules
from badgerseam.lab.history import Event, Kind
from badgerseam.lab.judged_history import JudgedHistory, RuleContext, RuleViolation
from badgerseam.lab.served import Served, ServedCounter
from badgerseam.lab.task_rules import TaskRules
from badgerseam.lab.waiting_rule import WaitingRule


class Counts(NamedTuple):
    """What breaks no rule and is counted."""

    started_cancelled: int = 0
    """Starts after a confirmed cancellation."""
    accepted_invalid: int = 0
    """Jobs accepted though they can't run or lack a field."""
    stale_answers: int = 0
    """Answers older than one that came before them, to questions sent before that one came."""


class Verdict(NamedTuple):
    """The result of checking a whole history."""

    violations: list[RuleViolation]
    served: Served
    unanswered: list[str]
    """Jobs whose latest question was not answered; the history is too short to call them
    forgotten."""
    counts: Counts
    below_limit_s: dict[str, float]
    """By team, the seconds for which it had work that waited, a limit not reached and room."""


class RuleChecker:
    """Takes the events of a history in order, and collects the violations.

    `trouble` and `calm` events say when something is broken on purpose; in a history without them
    nothing ever is.
    """

    def __init__(self, context: RuleContext) -> None:
        self._history = history = JudgedHistory()
        self._waiting = WaitingRule(context, history)
        self._tasks = TaskRules(context, history)
        self._answers = AnswerRules(context, history)
        self._served = ServedCounter(context.teams, context.broken_jobs)
        self._handlers: dict[Kind, Callable[[Event], None]] = {
            "submit": history.add_job,
            "release": self._on_release,
            "abort": self._answers.on_cancel_request,
            "answer": self._answers.on_answer,
            "machine": self._tasks.on_machine,
            "on": self._tasks.on_start,
            "off": self._tasks.on_stop,
            "trouble": self._on_failure,
            "calm": self._on_all_failures_over,
        }

    @property
    def violations(self) -> list[RuleViolation]:
        """The violations found so far."""
        return self._history.violations

    def on_event(self, event: Event) -> None:
        """Check the next event."""
        self._waiting.check_until(event.t)
        self._served.on_event(event)
        self._tasks.check_cancel_deadlines(event)
        handle = self._handlers.get(event.kind)
        if handle is not None:
            handle(event)
        self._waiting.on_event(event)

    def finish(self, t: float) -> Verdict:
        """The history ends at t; the result."""
        jobs = self._history.jobs
        if not self._tasks.starts and any(job.is_accepted for job in jobs.values()):
            self.violations.append(RuleViolation(t, "nothing_ran", "-", "no task was started"))
        return Verdict(
            self.violations,
            self._served.table(t),
            sorted(name for name, job in jobs.items() if job.unanswered_since is not None),
            Counts(
                self._tasks.starts_after_cancellation,
                self._answers.accepted_invalid,
                self._answers.stale_answers,
            ),
            self._waiting.below_limit_s,
        )

    def _on_release(self, event: Event) -> None:
        job = self._history.jobs.get(event.job)
        if job is not None:
            job.is_released = True

    def _on_failure(self, _event: Event) -> None:
        self._history.no_failure_since = None

    def _on_all_failures_over(self, event: Event) -> None:
        self._history.no_failure_since = event.t


def check_history(events: Iterable[Event], context: RuleContext) -> Verdict:
    """Check a whole history."""
    checker = RuleChecker(context)
    t = 0.0
    for event in events:
        checker.on_event(event)
        t = event.t
    return checker.finish(t)
