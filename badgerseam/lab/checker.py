"""Checks a history against the rules of the protocol, independently of badgerseam's internals."""

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
    """Counts of noteworthy events that violate no rule."""

    started_cancelled: int = 0
    """Number of task starts after a confirmed cancellation."""
    accepted_invalid: int = 0
    """Number of jobs that were accepted although they can't run or lack a field."""
    stale_answers: int = 0
    """Number of responses that contradict an earlier response but were requested before that one
    arrived."""


class Verdict(NamedTuple):
    """The result of checking a whole history."""

    violations: list[RuleViolation]
    served: Served
    unanswered: list[str]
    """Accepted jobs whose latest poll was not answered, for too short a time to report them as
    forgotten."""
    counts: Counts
    below_limit_s: dict[str, float]
    """By team, the seconds for which a task waited although it fitted a machine and its team's
    limit."""


class RuleChecker:
    """Processes the events of a history in order and collects the violations.

    `trouble` and `calm` events mark the periods in which an injected fault is active; a history
    without them has no such period.
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
            "trouble": self._on_faults_begin,
            "calm": self._on_faults_end,
        }

    @property
    def violations(self) -> list[RuleViolation]:
        """The violations found up to the latest event."""
        return self._history.violations

    def on_event(self, event: Event) -> None:
        """Checks the next event."""
        self._waiting.check_until(event.t)
        self._served.on_event(event)
        self._tasks.check_cancel_deadlines(event)
        handle = self._handlers.get(event.kind)
        if handle is not None:
            handle(event)
        self._waiting.on_event(event)

    def finish(self, t: float) -> Verdict:
        """Returns the verdict on the history if it ends at time `t`."""
        jobs = self._history.jobs
        if not self._tasks.starts and any(job.is_accepted for job in jobs.values()):
            self.violations.append(
                RuleViolation(
                    t, "nothing_ran", "-", "no task was started although jobs were accepted"
                )
            )
        return Verdict(
            self.violations,
            self._served.result(t),
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

    def _on_faults_begin(self, _event: Event) -> None:
        self._history.fault_free_since = None

    def _on_faults_end(self, event: Event) -> None:
        self._history.fault_free_since = event.t


def check_history(events: Iterable[Event], context: RuleContext) -> Verdict:
    """Returns the verdict on a whole history."""
    checker = RuleChecker(context)
    t = 0.0
    for event in events:
        checker.on_event(event)
        t = event.t
    return checker.finish(t)
