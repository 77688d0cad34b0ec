"""The daily windows of a plan, and the window for which a run is due."""

from __future__ import annotations

import datetime
from collections.abc import Iterator
from typing import NamedTuple
from zoneinfo import ZoneInfo

from badgerseam.options.runs import Plan, minutes

MAX_MISSED_DAYS = 31
"""The number of past days for which windows are recorded that were missed because no controller was
running."""


class RunWindow(NamedTuple):
    """A window of one day, in seconds since 1970."""

    opens: float
    closes: float


def windows(plan: Plan, first: datetime.date, last: datetime.date) -> Iterator[RunWindow]:
    """Yields the windows that open on these days (in the plan's time zone), in order.

    Each day has each window once. A time that is skipped by the change to summer time is moved by
    the length of the gap; of a time that occurs twice, the first occurrence is used.
    """
    zone = ZoneInfo(plan.zone)
    ordered = sorted(plan.windows, key=lambda window: window.opens)
    day = first
    while day <= last:
        for window in ordered:
            closing_day = day
            if minutes(window.closes) <= minutes(window.opens):
                closing_day += datetime.timedelta(days=1)
            yield RunWindow(_at(day, window.opens, zone), _at(closing_day, window.closes, zone))
        day += datetime.timedelta(days=1)


def _at(day: datetime.date, clock: str, zone: ZoneInfo) -> float:
    """Returns a time of day, such as 22:00, on a day as seconds since 1970."""
    time = datetime.time.fromisoformat(clock)
    return datetime.datetime.combine(day, time, zone).timestamp()


def due_window(plan: Plan, wall: float, latest: RunWindow | None) -> RunWindow | None:
    """Returns the window for which a run is to be opened now, or None; `latest`: the window of the
    plan's latest run.

    If the plan has a run, every window that has opened since is due, the earliest first, including
    windows during which no controller was running, so that no window is skipped. If the plan has no
    run, only a window that is open now is due. A window that opens before the latest run's window
    closes is not a new one, even if the options have changed meanwhile.
    """
    today = datetime.datetime.fromtimestamp(wall, ZoneInfo(plan.zone)).date()
    days = MAX_MISSED_DAYS if latest is not None else 1
    for window in windows(plan, today - datetime.timedelta(days=days), today):
        if window.opens > wall:
            break
        if latest is None:
            if wall < window.closes:
                return window
        elif window.opens >= latest.closes and window.opens > latest.opens:
            return window
    return None
