"""Reasons why a plan leaves out tasks: terms, reckoning runs, failures, the end of the job."""

from __future__ import annotations

from typing import NamedTuple

from badgerseam.explain.context import Context
from badgerseam.explain.text import MAX_NAMED
from badgerseam.model.job import Job
from badgerseam.wire.explain import Code, Reason
from badgerseam.wire.users import Terms

TERM_CODES: dict[str, Code] = {
    "held": "held",
    "begin_time": "begin_time",
    "dependency": "dependency",
    "dependency_never": "dependency_never",
    "singleton": "singleton",
    "throttle": "throttle",
}
"""Reason codes, by the reason that TermsRules returns."""
RUN_TEXTS = {
    "run_not_open": ("has not been opened.", "The run opens (badgerseam runs list)."),
    "run_closing": (
        "is closing, and starts no more members.",
        "The run is closed: what is left of the job goes on as other work does.",
    ),
    "run_full": (
        "has as many members on machines as its plan allows at once, or others of it go first.",
        "Members of it end, or the plan's most_at_once is raised.",
    ),
    "run_aside": (
        "has set them aside, since they have failed as often as its plan tries them at first.",
        "The other members are through, and the second round begins.",
    ),
}
"""What the job's run does and what changes it, by the reason for which the run holds back its
members."""


class _TermStatement(NamedTuple):
    """Describes how a term holds tasks back."""

    text: str
    change: str
    """What must happen for the term to stop holding them back."""
    who: list[str]
    expected_s: float | None = None


def held_back_reason(context: Context, code: str) -> Reason:
    """Returns the reason why plans currently leave out a job's waiting tasks."""
    if code in TERM_CODES:
        return term_reason(context, code)
    if code in RUN_TEXTS:
        return _run_reason(context, code)
    if code == "backoff":
        return _backoff_reason(context)
    if code == "failing":
        return _failing_reason(context.job)
    if code == "ended":
        return Reason("ended", "The job has ended; its last tasks are being stopped.", binding=True)
    return Reason("unsettled", "Where its tasks were is being read from the records.", binding=True)


def term_reason(context: Context, code: str) -> Reason:
    """Returns the reason for tasks that a term of their job holds back."""
    text, change, who, expected_s = _term_statement(context, code)
    return Reason(
        TERM_CODES[code], text, binding=True, expected_s=expected_s, change=change, who=who
    )


def _term_statement(context: Context, code: str) -> _TermStatement:
    terms = context.job.spec.terms or Terms()
    if code == "held":
        return _TermStatement("It is held.", "It is released.", [])
    if code == "begin_time":
        left_s = max(0.0, (terms.begin_at or 0.0) - context.model.clock.wall())
        return _TermStatement(
            "Its begin time has not come.",
            "The time comes, or is changed.",
            [],
            round(left_s, 1),
        )
    if code in ("dependency", "dependency_never"):
        return _dependency_statement(context, code, terms)
    if code == "singleton":
        return _TermStatement(
            f"An earlier job of the same team, user and name ({terms.name}) has not ended.",
            "The earlier ones end.",
            [],
        )
    return _TermStatement(
        f"No more than {terms.throttle} of its tasks may run at once.",
        "One of them ends, or the throttle is raised.",
        [],
    )


def _dependency_statement(context: Context, code: str, terms: Terms) -> _TermStatement:
    unmet = context.rules.unmet(context.job)
    who = [f"{entry.kind}:{entry.job}" for entry in unmet][:MAX_NAMED]
    if code == "dependency_never":
        return _TermStatement(
            "A dependency can never be met: the job that it names has ended otherwise.",
            "The dependency is changed, or the job is cancelled.",
            who,
        )
    required = "one" if terms.any else "all"
    return _TermStatement(
        f"{len(unmet)} of its {len(terms.depends)} dependencies are not met; {required} must be.",
        "The jobs end as the dependencies want it.",
        who,
    )


def _run_reason(context: Context, code: str) -> Reason:
    """Returns the reason for tasks that their reckoning run holds back."""
    run_index = context.model.job_observer
    name = "" if run_index is None else run_index.holding_run_name(context.job)
    text, change = RUN_TEXTS[code]
    return Reason(
        "reckoning_run",
        f"Its tasks are members of the reckoning run {name}, which {text}",
        binding=True,
        change=change,
        who=[name],
    )


def _backoff_reason(context: Context) -> Reason:
    """Returns the reason for tasks that have failed and are restarted after a pause."""
    job = context.job
    machines = [context.model.machines.get(index) for index in sorted(job.avoided_machines)]
    return Reason(
        "backoff",
        f"Its tasks have failed {job.errors} times in a row"
        f"{_fault_statement(job)}; they are tried again after a pause that doubles.",
        binding=True,
        expected_s=round(max(0.0, job.retry_at - context.now), 1),
        change="The pause ends. If the job fails on every machine, look at its output and "
        "cancel it.",
        who=[machine.name for machine in machines if machine is not None][:MAX_NAMED],
    )


def _failing_reason(job: Job) -> Reason:
    """Returns the reason for tasks that wait until one of them has run without failing."""
    return Reason(
        "failing",
        f"Its tasks have failed {job.errors} times in a row{_fault_statement(job)}: one at a time "
        "is tried, and the others wait for that one.",
        binding=True,
        change="The task that is being tried runs, or the job is corrected and submitted anew.",
    )


def _fault_statement(job: Job) -> str:
    """Returns the text that attributes the failures to the job; empty if they may be caused by a
    faulty machine."""
    if not job.is_at_fault:
        return ""
    return (
        f", on {len(job.failed_on)} machines, and nothing of it was ever done: the job itself is "
        "most likely wrong, not the machines"
    )
