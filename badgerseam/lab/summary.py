"""Summarizes the history of a lab in a report."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from badgerseam.lab.explain_load import ExplainLoad
from badgerseam.lab.history import END_PHASES, Event
from badgerseam.lab.judged_history import job_of
from badgerseam.lab.lab import Lab
from badgerseam.lab.priority_inversions import PriorityInversion, find_inversions
from badgerseam.lab.reconcile import AccountingComparison
from badgerseam.lab.report import QUANTILES, ClassFigures, Report, Sample
from badgerseam.model.resources import Resources

MAX_TIME_US = 3_600_000_000
"""The longest time that the histograms can record, in microseconds."""
SIGNIFICANT_DIGITS = 3
NEVER_S = 1e9
"""The completion time of a job that is not done: later than any deadline, in seconds."""


@dataclass(slots=True)
class UserRequests:
    """Statistics of the requests of users and their responses."""

    first_submit: dict[str, float] = field(default_factory=dict)
    accepted: set[str] = field(default_factory=set)
    acceptance_s: list[float] = field(default_factory=list)
    """Seconds from the first submission of each accepted job until it was accepted."""
    polls: int = 0
    failed_polls: int = 0

    def on_event(self, event: Event) -> None:
        """Count the next event of a history."""
        if event.kind == "submit":
            self.first_submit.setdefault(event.job, event.t)
        elif event.kind == "answer" and event.about == "submit" and event.status in (200, 201):
            if event.job not in self.accepted:
                self.acceptance_s.append(event.t - self.first_submit[event.job])
            self.accepted.add(event.job)
        elif event.kind == "answer" and event.about == "poll":
            self.polls += 1
            self.failed_polls += event.status not in (200, 404)


@dataclass(slots=True)
class JobRuns:
    """Statistics of jobs and of the starts of their tasks."""

    specs: dict[str, dict[str, Any]] = field(default_factory=dict)
    """Submissions as plain data, by job."""
    first_start: dict[str, float] = field(default_factory=dict)
    """The time of the first start, by task."""
    starts: Counter[str] = field(default_factory=Counter)
    """The number of starts, by task."""
    done_at: dict[str, float] = field(default_factory=dict)
    """The time at which the last task was done, by job."""
    ended: set[str] = field(default_factory=set)
    """Jobs that a response reported as done or cancelled."""
    _done_tasks: dict[str, set[str]] = field(default_factory=dict)

    def on_event(self, event: Event) -> None:
        """Count the next event of a history."""
        job = job_of(event.job)
        if event.kind == "submit" and event.spec is not None:
            self.specs.setdefault(job, event.spec)
        elif event.kind == "on":
            self.first_start.setdefault(event.job, event.t)
            self.starts[event.job] += 1
        elif event.kind == "off" and event.text == "done":
            self._on_task_done(job, event)
        elif event.kind == "answer" and event.phase in END_PHASES:
            self.ended.add(job)

    def _on_task_done(self, job: str, event: Event) -> None:
        done = self._done_tasks.setdefault(job, set())
        done.add(event.job)
        if len(done) == self.specs[job]["pieces"]:
            self.done_at.setdefault(job, event.t)

    def figures(self, requests: UserRequests) -> dict[str, ClassFigures]:
        """Returns the figures of each class of jobs."""
        classes = sorted({str(spec["jobclass"]) for spec in self.specs.values()})
        return {job_class: self._class_figures(job_class, requests) for job_class in classes}

    def _class_figures(self, job_class: str, requests: UserRequests) -> ClassFigures:
        jobs = {job for job, spec in self.specs.items() if spec["jobclass"] == job_class}
        tasks = [task for task in self.first_start if job_of(task) in jobs]
        first_start_s = [
            self.first_start[task] - requests.first_submit[job_of(task)] for task in tasks
        ]
        return ClassFigures(
            jobs=len(jobs),
            accepted=len(jobs & requests.accepted),
            ended=len(jobs & self.ended),
            tasks_started=len(tasks),
            first_start_s=quantiles(first_start_s),
            on_time_fraction=self._on_time_fraction(jobs & requests.accepted, requests),
            restarts=sum(self.starts[task] - 1 for task in tasks),
        )

    def _on_time_fraction(self, jobs: set[str], requests: UserRequests) -> float | None:
        """Returns the fraction of the jobs with a deadline that met it, without cancelled jobs."""
        due = [
            job
            for job in jobs
            if self.specs[job].get("dueS") is not None
            and (job in self.done_at or job not in self.ended)
        ]
        if not due:
            return None
        late = sum(self._is_late(job, requests.first_submit[job]) for job in due)
        return round(1 - late / len(due), 4)

    def _is_late(self, job: str, submitted_at: float) -> bool:
        done_at = self.done_at.get(job, NEVER_S)
        return done_at - submitted_at > float(self.specs[job]["dueS"])


def summarize(
    lab: Lab,
    samples: list[Sample],
    explain_load: ExplainLoad,
    accounts: AccountingComparison | None = None,
    order: Sequence[str] = (),
) -> Report:
    """Returns the report on a lab's history; `order` has the job classes, the highest first."""
    events = lab.history.events
    requests, runs = UserRequests(), JobRuns()
    for event in events:
        requests.on_event(event)
        runs.on_event(event)
    verdict = lab.judge()
    inversions = _inversions(lab, order)
    controllers = lab.controllers.values()
    return Report(
        seconds=round(lab.history.now(), 1),
        classes=runs.figures(requests),
        acceptance_s=quantiles(requests.acceptance_s),
        polls=requests.polls,
        failed_polls=requests.failed_polls,
        machines_rented=sum(event.kind == "machine" for event in events),
        cost=round(lab.cloud_core.cost(), 4),
        controllers_started=sum(controller.starts for controller in controllers),
        crashes=sum(controller.crashes for controller in controllers),
        violations=[str(violation) for violation in verdict.violations],
        served=verdict.served,
        unanswered=verdict.unanswered,
        started_cancelled=verdict.counts.started_cancelled,
        accepted_invalid=verdict.counts.accepted_invalid,
        stale_answers=verdict.counts.stale_answers,
        below_limit_s=verdict.below_limit_s,
        inversions=[str(inversion) for inversion in inversions],
        longest_inversion_s=max((inversion.waited_s for inversion in inversions), default=0.0),
        explain_statuses={
            str(status): count for status, count in sorted(explain_load.statuses.items())
        },
        explain_latency_s=_histogram_quantiles(explain_load.latencies),
        reasons=dict(explain_load.codes.most_common()),
        accounts=accounts,
        ownership_gaps_s=[round(gap, 3) for gap in lab.ownership_gaps.gaps],
        rollouts=lab.rollouts,
        level=lab.ownership_gaps.level(),
        samples=[msgspec.to_builtins(sample) for sample in samples],
    )


def quantiles(values: Iterable[float]) -> list[float]:
    """Returns the times at the `QUANTILES`, in seconds; empty without values."""
    histogram = HdrHistogram(1, MAX_TIME_US, SIGNIFICANT_DIGITS)
    for value in values:
        histogram.record_value(max(1, round(value * 1e6)))
    return _histogram_quantiles(histogram)


def _histogram_quantiles(histogram: HdrHistogram) -> list[float]:
    """Returns the times at the `QUANTILES`, in seconds, of a histogram in microseconds."""
    if not histogram.get_total_count():
        return []
    return [round(histogram.get_value_at_percentile(q) / 1e6, 4) for q in QUANTILES]


def _inversions(lab: Lab, order: Sequence[str]) -> list[PriorityInversion]:
    site = lab.site
    return find_inversions(
        lab.history.events,
        order,
        site.teams,
        {entry.name: Resources(entry.cpus, entry.gpus, entry.memory_gb) for entry in site.types},
        2 * site.workers.lease_s + site.workers.cancel_s,
    )
