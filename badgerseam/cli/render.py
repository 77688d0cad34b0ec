"""Answers as plain text for a terminal."""

from __future__ import annotations

import shutil
import textwrap

from badgerseam.explain.text import pluralize
from badgerseam.wire.explain import QueueLine, Reason, Why

STATES = {
    "waiting": ("wait for a machine", "waits for a machine"),
    "recording": ("are being recorded", "is being recorded"),
    "launching": ("are being launched", "is being launched"),
    "fetching": ("fetch their image", "fetches its image"),
    "running": ("run", "runs"),
    "stopping": ("are being stopped", "is being stopped"),
    "done": ("are done", "is done"),
}
"""Of several tasks, and of one."""


def width() -> int:
    """Columns to fill; 80 where that cannot be told."""
    return max(40, min(shutil.get_terminal_size((80, 24)).columns, 120))


def span(seconds: float) -> str:
    """A time such as 4.2 s, 3 min, 2.5 h."""
    if seconds < 60:
        return f"{seconds:.1f} s"
    return f"{seconds / 60:.0f} min" if seconds < 5400 else f"{seconds / 3600:.1f} h"


def why_text(answer: Why) -> str:
    """An answer, the binding reasons marked with a star."""
    head = f"{answer.id}: {answer.phase}"
    if answer.node is not None:
        head += f"  (says {answer.node}, {span(answer.age_s)} ago)"
    lines = [head]
    for group in answer.groups:
        alone = group.tasks == 1
        what = STATES[group.state][alone]
        lines.append(f"  {pluralize(group.tasks, 'task')} {what}")
        for reason in group.reasons:
            lines += _reason(reason)
    if answer.ahead is not None and answer.ahead.jobs:
        ahead = answer.ahead
        more = " ..." if ahead.jobs > len(ahead.first) else ""
        text = f"Before it: {pluralize(ahead.jobs, 'job')} with {pluralize(ahead.tasks, 'task')} "
        text += f"({', '.join(ahead.first)}"
        lines += textwrap.wrap(
            f"{text}{more})", width(), initial_indent="  ", subsequent_indent="    "
        )
    if len(answer.history) > 1:
        lines.append("  Seen before:")
        for spell in answer.history[:-1]:
            codes = ", ".join(spell.codes) or "nothing"
            first, last = span(spell.first_s), span(spell.last_s)
            lines.append(f"    {first} to {last} ago: {codes}")
    if answer.known_s is not None and answer.groups:
        lines.append(f"  (What was more than {span(answer.known_s)} ago is not known.)")
    return "\n".join(lines)


def _reason(reason: Reason) -> list[str]:
    facts: list[str] = [reason.code]
    if reason.since_s:
        facts.append(f"for {span(reason.since_s)} at least")
    if reason.expected_s is not None:
        ends = f"expected to end in {span(reason.expected_s)}"
        facts.append(ends if reason.expected_s > 0 else "expected to have ended by now")
    text = f"{reason.text} [{'; '.join(facts)}]"
    mark = "  * " if reason.binding else "  - "
    lines = textwrap.wrap(text, width(), initial_indent="  " + mark, subsequent_indent=" " * 6)
    for label, value in (("who", "; ".join(reason.who)), ("changes", reason.change)):
        if value:
            lines += textwrap.wrap(
                f"{label}: {value}", width(), initial_indent=" " * 6, subsequent_indent=" " * 10
            )
    return lines


def queue_table(lines: list[QueueLine], reasons: bool) -> str:
    """One line a job, cut to the terminal's width."""
    if not lines:
        return "no open jobs"
    head = (
        f"{'JOB':<16} {'TEAM':<12} {'CLASS':<14} {'RANK':<10} {'WAIT':>5} {'RUN':>5} "
        f"{'DONE':>5} {'AGE':>8}"
    )
    rows = [head + ("  REASON" if reasons else "")]
    for line in lines:
        row = (
            f"{line.id:<16} {line.team[:12]:<12} {line.job_class[:14]:<14} "
            f"{line.priority[:10]:<10} {line.waiting:>5} {line.running:>5} {line.done:>5} "
            f"{span(line.age_s):>8}"
        )
        if reasons and line.waiting:
            row += f"  {', '.join(line.reasons) or 'nobody can say now'}"
        rows.append(row)
    return "\n".join(rows)
