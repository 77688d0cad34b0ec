"""Plans of reckoning runs, as operators declare them."""

from __future__ import annotations

import datetime
from collections.abc import Collection
from typing import Annotated, Literal
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError, available_timezones

from msgspec import Meta, Struct, field

Text = Annotated[str, Meta(min_length=1, max_length=200)]
PlanName = Annotated[str, Meta(pattern=r"\A[a-z0-9][a-z0-9-]{0,39}\Z")]
Clock = Annotated[str, Meta(pattern=r"\A([01][0-9]|2[0-3]):[0-5][0-9]\Z")]
Order = Literal["deadline", "accepted", "shortest", "longest"]
DAY_MIN = 24 * 60


class Window(Struct, frozen=True, forbid_unknown_fields=True):
    """When a run opens each day, and when it must be closed."""

    opens: Annotated[Clock, Meta(description="time of day, such as 22:00")]
    closes: Annotated[
        Clock, Meta(description="time of day; of the next one if it is not after `opens`")
    ]

    def span(self) -> tuple[int, int]:
        """Minutes of a day from the opening to the closing, the latter beyond a day if it is on
        the next one."""
        begin, end = minutes(self.opens), minutes(self.closes)
        return begin, end if end > begin else end + DAY_MIN


class Plan(Struct, frozen=True, forbid_unknown_fields=True):
    """What is reckoned night by night; its members are the tasks of the jobs that belong to it."""

    name: Annotated[PlanName, Meta(description="small letters, digits, -")]
    classes: Annotated[
        list[Text], Meta(min_length=1, description="classes of jobs that belong to it")
    ]
    teams: Annotated[
        list[Text], Meta(description="only jobs of these teams; of all, if none is named")
    ] = field(default_factory=list)
    windows: Annotated[
        list[Window], Meta(description="when its runs open and close, by time of day")
    ] = field(default_factory=list)
    zone: Annotated[str, Meta(description="time zone of the windows, such as Europe/Zurich")] = (
        "UTC"
    )
    quiet_s: Annotated[
        Annotated[float, Meta(gt=0)] | None,
        Meta(
            description="instead of windows: a run opens with the first job that arrives, and "
            "closes when no other has come for so long and all its members are through",
        ),
    ] = None
    longest_s: Annotated[
        float, Meta(gt=0, description="with quiet_s: closed at the latest so long after opening")
    ] = 86_400.0
    after: Annotated[
        str | None, Meta(description="a plan whose run must be closed before this one opens")
    ] = None
    most_at_once: Annotated[
        Annotated[int, Meta(ge=1)] | None,
        Meta(description="members on machines at a time; in even parts by share of teams"),
    ] = None
    attempts: Annotated[
        int,
        Meta(ge=1, le=1000, description="failures after which a member waits for the second round"),
    ] = 3
    first: Annotated[Order, Meta(description="which jobs' members go first")] = "deadline"
    grace_s: Annotated[
        float, Meta(ge=0, description="how long running members may finish when a run closes")
    ] = 60.0

    def has(self, job_class: str, team: str) -> bool:
        """Whether jobs of that class and team belong to it."""
        return job_class in self.classes and (not self.teams or team in self.teams)


class RunsOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """Reckoning runs, kept if this section is there."""

    plans: Annotated[list[Plan], Meta(min_length=1, description="no job may belong to two of them")]


def minutes(clock: str) -> int:
    """Minutes since midnight of a time such as 22:00."""
    time = datetime.time.fromisoformat(clock)
    return 60 * time.hour + time.minute


def check(options: RunsOptions, teams: Collection[str]) -> list[str]:
    """What cannot be used, each with its field and its remedy; `teams`: those of the settings."""
    found: list[str] = []
    names = [plan.name for plan in options.plans]
    for index, plan in enumerate(options.plans):
        at = f"plans[{index}]"
        if plan.name in names[:index]:
            found.append(f"{at}.name: {plan.name} is taken: give each plan a name of its own")
        for team in plan.teams:
            if team not in teams:
                known = ", ".join(sorted(teams))
                found.append(f"{at}.teams: unknown team {team}: name some of {known}")
        found += _shared(options.plans, index, at)
        found += _times(plan, at)
        if plan.after is not None and plan.after not in names:
            found.append(f"{at}.after: no plan {plan.after}: name one of {', '.join(names)}")
        least = len(plan.teams or teams)
        if plan.most_at_once is not None and plan.most_at_once < least:
            # A share whose part is none would never start a member.
            found.append(
                f"{at}.most_at_once: {plan.most_at_once} is less than one for each of its {least} "
                "teams: raise it, or name fewer teams"
            )
    return found + _cycles(options.plans)


def _shared(plans: list[Plan], index: int, at: str) -> list[str]:
    plan = plans[index]
    found = []
    for other in plans[:index]:
        both = sorted(set(plan.classes) & set(other.classes))
        alike = not plan.teams or not other.teams or set(plan.teams) & set(other.teams)
        if both and alike and other.name != plan.name:
            found.append(
                f"{at}.classes: {both[0]} belongs to {other.name} as well: leave it to one of the "
                "plans, or give them teams that differ"
            )
    return found


def _times(plan: Plan, at: str) -> list[str]:
    """What is wrong with when its runs open and close."""
    if bool(plan.windows) == (plan.quiet_s is not None):
        what = "both are" if plan.windows else "none is"
        return [f"{at}.windows, {at}.quiet_s: {what} given: give one of them"]
    found = _zone(plan, at) if plan.windows else []
    spans = [window.span() for window in plan.windows]
    for later, (begin, end) in enumerate(spans):
        if end - begin >= DAY_MIN:
            found.append(
                f"{at}.windows[{later}].closes: the same as opens: a run has to be closed before "
                "the next one opens"
            )
        for earlier, (first, last) in enumerate(spans[:later]):
            days = (-DAY_MIN, 0, DAY_MIN)
            if any(begin + day < last and first < end + day for day in days):
                found.append(
                    f"{at}.windows[{later}]: overlaps windows[{earlier}]: have one close before "
                    "the other opens"
                )
    return found


def _zone(plan: Plan, at: str) -> list[str]:
    try:
        ZoneInfo(plan.zone)
    except (ZoneInfoNotFoundError, ValueError, OSError):
        if plan.zone == "UTC" or not available_timezones():
            remedy = "this machine has no database of time zones: install tzdata"
        else:
            remedy = "name one such as Europe/Zurich, or UTC"
        return [f"{at}.zone: {plan.zone!r} is no time zone known here: {remedy}"]
    return []


def _cycles(plans: list[Plan]) -> list[str]:
    """Plans that wait for each other's runs."""
    after = {plan.name: plan.after for plan in plans}
    for index, plan in enumerate(plans):
        way = [plan.name]
        step = after[plan.name]
        while step is not None and step in after and step not in way:
            way.append(step)
            step = after[step]
        if step == plan.name:
            circle = " after ".join([*way, plan.name])
            return [f"plans[{index}].after: a cycle, none would ever open: {circle}: remove one"]
    return []
