"""Explanations and the queue as plain text for a terminal."""

from __future__ import annotations

import shutil
import textwrap
from collections.abc import Sequence

from badgerseam.explain.text import pluralize
from badgerseam.wire.explain import Ahead, Explanation, QueueLine, Reason, Transition

STATE_PHRASES = {
    "waiting": ("wait for a machine", "waits for a machine"),
    "recording": ("are being recorded", "is being recorded"),
    "launching": ("are being launched", "is being launched"),
    "fetching": ("fetch their image", "fetches its image"),
    "running": ("run", "runs"),
    "stopping": ("are being stopped", "is being stopped"),
    "done": ("are done", "is done"),
}
"""By the state of a group of tasks: the phrase for several tasks and the phrase for one."""


def terminal_width() -> int:
    """Returns the terminal's width in columns, between 40 and 120; 80 without a terminal."""
    return max(40, min(shutil.get_terminal_size((80, 24)).columns, 120))


def duration_text(seconds: float) -> str:
    """Returns a duration as text such as 4.2 s, 3 min or 2.5 h."""
    if seconds < 60:
        return f"{seconds:.1f} s"
    return f"{seconds / 60:.0f} min" if seconds < 5400 else f"{seconds / 3600:.1f} h"


def why_text(answer: Explanation) -> str:
    """Returns an explanation as text; its binding reasons are marked with an asterisk."""
    title = f"{answer.id}: {answer.phase}"
    if answer.node is not None:
        title += f"  (says {answer.node}, {duration_text(answer.age_s)} ago)"
    lines = [title]
    for group in answer.groups:
        several, one = STATE_PHRASES[group.state]
        lines.append(f"  {pluralize(group.tasks, 'task')} {one if group.tasks == 1 else several}")
        for reason in group.reasons:
            lines += _reason_lines(reason)
    if answer.ahead is not None and answer.ahead.jobs:
        lines += _ahead_lines(answer.ahead)
    if len(answer.history) > 1:
        lines += _history_lines(answer.history[:-1])
    if answer.known_s is not None and answer.groups:
        lines.append(f"  (What was more than {duration_text(answer.known_s)} ago is not known.)")
    return "\n".join(lines)


def _ahead_lines(ahead: Ahead) -> list[str]:
    more = " ..." if ahead.jobs > len(ahead.first) else ""
    text = (
        f"Before it: {pluralize(ahead.jobs, 'job')} with {pluralize(ahead.tasks, 'task')} "
        f"({', '.join(ahead.first)}{more})"
    )
    return textwrap.wrap(text, terminal_width(), initial_indent="  ", subsequent_indent="    ")


def _history_lines(intervals: Sequence[Transition]) -> list[str]:
    lines = ["  Seen before:"]
    for interval in intervals:
        codes = ", ".join(interval.codes) or "nothing"
        first, last = duration_text(interval.first_s), duration_text(interval.last_s)
        lines.append(f"    {first} to {last} ago: {codes}")
    return lines


def _reason_lines(reason: Reason) -> list[str]:
    facts: list[str] = [reason.code]
    if reason.since_s:
        facts.append(f"for {duration_text(reason.since_s)} at least")
    if reason.expected_s is not None:
        ends = f"expected to end in {duration_text(reason.expected_s)}"
        facts.append(ends if reason.expected_s > 0 else "expected to have ended by now")
    text = f"{reason.text} [{'; '.join(facts)}]"
    mark = "  * " if reason.binding else "  - "
    lines = textwrap.wrap(
        text, terminal_width(), initial_indent="  " + mark, subsequent_indent=" " * 6
    )
    for label, value in (("who", "; ".join(reason.who)), ("changes", reason.change)):
        if value:
            lines += textwrap.wrap(
                f"{label}: {value}",
                terminal_width(),
                initial_indent=" " * 6,
                subsequent_indent=" " * 10,
            )
    return lines


def queue_table(lines: list[QueueLine], reasons: bool) -> str:
    """Returns a table with one line per job; long names are cut to the column width."""
    if not lines:
        return "no open jobs"
    header = (
        f"{'JOB':<16} {'TEAM':<12} {'CLASS':<14} {'RANK':<10} {'WAIT':>5} {'RUN':>5} "
        f"{'DONE':>5} {'AGE':>8}"
    )
    rows = [header + ("  REASON" if reasons else "")]
    for line in lines:
        row = (
            f"{line.id:<16} {line.team[:12]:<12} {line.job_class[:14]:<14} "
            f"{line.priority[:10]:<10} {line.waiting:>5} {line.running:>5} {line.done:>5} "
            f"{duration_text(line.age_s):>8}"
        )
        if reasons and line.waiting:
            row += f"  {', '.join(line.reasons) or 'nobody can say now'}"
        rows.append(row)
    return "\n".join(rows)
