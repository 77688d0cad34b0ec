"""Which run is due by the time of day."""

from __future__ import annotations

import datetime
from collections.abc import Iterator
from typing import NamedTuple
from zoneinfo import ZoneInfo

from badgerseam.options.runs import Plan, minutes

MAX_MISSED_DAYS = 31
"""Days that are looked back on for windows that nobody was there for."""


class RunWindow(NamedTuple):
    """A window of one day, as times of day in seconds since 1970."""

    opens: float
    closes: float


def windows(plan: Plan, first: datetime.date, last: datetime.date) -> Iterator[RunWindow]:
    """The windows that open on these days (by the plan's zone), in order.

    A time that a change of the clocks leaves out is the one after the gap; one that comes twice is
    the first of the two: a day has each window once.
    """
    zone = ZoneInfo(plan.zone)
    ordered = sorted(plan.windows, key=lambda window: window.opens)
    day = first
    while day <= last:
        for window in ordered:
            closing = day
            if minutes(window.closes) <= minutes(window.opens):
                closing += datetime.timedelta(days=1)
            yield RunWindow(_at(day, window.opens, zone), _at(closing, window.closes, zone))
        day += datetime.timedelta(days=1)


def _at(day: datetime.date, clock: str, zone: ZoneInfo) -> float:
    time = datetime.time.fromisoformat(clock)
    return datetime.datetime.combine(day, time, zone).timestamp()


def due_window(plan: Plan, wall: float, before: RunWindow | None) -> RunWindow | None:
    """The window for which a run is to be opened now, `before` being that of the latest run.

    After a run, every window that has opened since, the earliest first, those that nobody was
    there for included: no night is left out. Of a plan without a run yet only one that is open.
    A window that opens before the one of the latest run must have closed is no other night, even
    if the options have changed meanwhile.
    """
    today = datetime.datetime.fromtimestamp(wall, ZoneInfo(plan.zone)).date()
    days = MAX_MISSED_DAYS if before is not None else 1
    for slot in windows(plan, today - datetime.timedelta(days=days), today):
        if slot.opens > wall:
            break
        if before is None:
            if wall < slot.closes:
                return slot
        elif slot.opens >= before.closes and slot.opens > before.opens:
            return slot
    return None
