"""The report of an experiment as text for a terminal."""

from __future__ import annotations

from rich.console import Console
from rich.table import Table

from badgerseam.lab.report import Report
from badgerseam.lab.report_files import largest_cells

MAX_INVERSIONS_SHOWN = 5
"""Number of priority inversions that are printed; the report file contains all of them."""

CLASS_COLUMNS = ("class", "jobs", "ended", "starts", "first start 50/90/99/100 %", "in time")
LARGEST_COLUMNS = ("class", "jobs", "served", "least tasks x CPUs", "first s", "all s", "too late")


def print_report(report: Report, console: Console) -> None:
    """Prints a report section by section; some sections are omitted if they are empty."""
    _print_classes(report, console)
    _print_served(report, console)
    _print_largest_jobs(report, console)
    _print_requests_and_machines(report, console)
    _print_explanations(report, console)
    _print_ownership_gaps(report, console)
    _print_rollouts(report, console)
    _print_accounting(report, console)
    _print_waiting_below_quota(report, console)
    _print_unanswered_jobs(report, console)
    _print_priority_inversions(report, console)
    _print_failures(report, console)
    _print_violations(report, console)


def _new_table(title: str, columns: tuple[str, ...]) -> Table:
    table = Table(title=title)
    for column in columns:
        table.add_column(column, justify="left" if column == "class" else "right")
    return table


def _print_classes(report: Report, console: Console) -> None:
    table = _new_table("simulated machines, real controllers", CLASS_COLUMNS)
    for name, figures in report.classes.items():
        table.add_row(
            name,
            str(figures.jobs),
            str(figures.ended),
            f"{figures.tasks_started}+{figures.restarts}",
            " / ".join(f"{value:.2f}" for value in figures.first_start_s),
            "" if figures.on_time_fraction is None else f"{figures.on_time_fraction:.3f}",
        )
    console.print(table)


def _print_served(report: Report, console: Console) -> None:
    served = report.served
    for label, rows in (("classes", served.classes), ("teams", served.teams)):
        parts = ", ".join(f"{name} {row.served:.3f} of {row.jobs}" for name, row in rows.items())
        console.print(f"served, {label}: {parts or 'none'}")


def _print_largest_jobs(report: Report, console: Console) -> None:
    table = _new_table("largest jobs of each class and shape", LARGEST_COLUMNS)
    for name, largest in report.served.largest.items():
        table.add_row(name, *largest_cells(largest))
    console.print(table)


def _print_requests_and_machines(report: Report, console: Console) -> None:
    console.print(
        f"accepted within {' / '.join(f'{v:.3f}' for v in report.acceptance_s)} s; "
        f"{report.failed_polls} of {report.polls} polls failed; {report.machines_rented} machines, "
        f"{report.cost:.3f} spent; {report.controllers_started} controller starts, "
        f"{report.crashes} ends by themselves"
    )


def _print_explanations(report: Report, console: Console) -> None:
    if not report.explain_statuses:
        return
    console.print(
        f"questions by status {report.explain_statuses}; answered within "
        f"{' / '.join(f'{v:.3f}' for v in report.explain_latency_s)} s; reasons {report.reasons}"
    )


def _print_ownership_gaps(report: Report, console: Console) -> None:
    gaps = sorted(report.ownership_gaps_s)
    median_s = gaps[len(gaps) // 2] if gaps else 0
    longest_s = gaps[-1] if gaps else 0
    console.print(
        f"level {report.level}; shares or leadership without an actor {len(gaps)} times, for "
        f"{median_s:.2f} s (median), {longest_s:.2f} s (most)"
    )


def _print_rollouts(report: Report, console: Console) -> None:
    for outcome in report.rollouts:
        console.print(f"rollout: {outcome or 'all controllers replaced'}")


def _print_accounting(report: Report, console: Console) -> None:
    accounts = report.accounts
    if accounts is None:
        return
    console.print(
        f"accounts: {accounts.accounted} of {accounts.ended} ended jobs, "
        f"{accounts.attempts} attempts ({accounts.unmeasured} not measured) of "
        f"{accounts.starts} starts ({accounts.started_again} again where they were placed); "
        f"useful {accounts.useful_s} of "
        f"{accounts.useful_really_s} s, wasted {accounts.wasted_s} of "
        f"{accounts.wasted_really_s} s; faults {accounts.faults or 'none'}"
    )


def _print_waiting_below_quota(report: Report, console: Console) -> None:
    if not report.below_limit_s:
        return
    teams = ", ".join(f"{team} {s:.0f} s" for team, s in report.below_limit_s.items())
    console.print(f"work waited beside room that its team was allowed: {teams}")


def _print_unanswered_jobs(report: Report, console: Console) -> None:
    if report.unanswered:
        console.print(f"unanswered at the end, not judged: {', '.join(report.unanswered)}")


def _print_priority_inversions(report: Report, console: Console) -> None:
    if not report.inversions:
        return
    console.print(
        f"jumps: {len(report.inversions)}, past work that had waited for at most "
        f"{report.longest_inversion_s:.1f} s; the first ones:"
    )
    for text in report.inversions[:MAX_INVERSIONS_SHOWN]:
        console.print(text)


def _print_failures(report: Report, console: Console) -> None:
    failures = report.served.failures
    console.print(f"failures by what was served: {len(failures)}")
    for text in failures:
        console.print(text)


def _print_violations(report: Report, console: Console) -> None:
    console.print(f"starts after a confirmed cancellation: {report.started_cancelled}")
    console.print(f"jobs accepted that can't run or lack a field: {report.accepted_invalid}")
    console.print(f"older answers to questions that were on their way: {report.stale_answers}")
    console.print(f"broken rules: {len(report.violations)}")
    for violation in report.violations:
        console.print(violation)
