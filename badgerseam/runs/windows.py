"""The daily windows of a plan, and the one for which a run is due."""

from __future__ import annotations

import datetime
from collections.abc import Iterator
from typing import NamedTuple
from zoneinfo import ZoneInfo

from badgerseam.options.runs import Plan, minutes

MAX_MISSED_DAYS = 31
"""Windows that no controller was up for are recorded for so many days back."""


class RunWindow(NamedTuple):
    """A window of one day, in seconds since 1970."""

    opens: float
    closes: float


def windows(plan: Plan, first: datetime.date, last: datetime.date) -> Iterator[RunWindow]:
    """The windows that open on these days (by the plan's zone), in order.

    Each day has each window once: a time that a change to summer time skips is taken as the one
    after it, and one that occurs twice as the first of the two.
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
    """A time of day such as 22:00 in seconds since 1970."""
    time = datetime.time.fromisoformat(clock)
    return datetime.datetime.combine(day, time, zone).timestamp()


def due_window(plan: Plan, wall: float, latest: RunWindow | None) -> RunWindow | None:
    """The window for which a run is to be opened now; `latest`: that of the plan's latest run.

    After a run, every window that has opened since, the earliest first, including those that no
    controller was up for: no night is left out. Of a plan without a run only a window that is open.
    A window that opens before the latest run's window closes is not another night, even if the
    options have changed meanwhile.
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
