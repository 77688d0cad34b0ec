"""The `runs` section of the operators' options: plans of reckoning runs."""

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
    """The time of day at which a run opens, and the time by which it must be closed."""

    opens: Annotated[Clock, Meta(description="time of day, such as 22:00")]
    closes: Annotated[
        Clock, Meta(description="time of day; on the next day if it is not after `opens`")
    ]

    def span(self) -> tuple[int, int]:
        """Returns the opening and closing time in minutes since midnight of the opening day.

        The closing time is more than a day if it is on the next day.
        """
        begin, end = minutes(self.opens), minutes(self.closes)
        return begin, end if end > begin else end + DAY_MIN


class Plan(Struct, frozen=True, forbid_unknown_fields=True):
    """A series of runs; the members of a run are the tasks of the jobs that belong to the plan."""

    name: Annotated[PlanName, Meta(description="lower-case letters, digits and -")]
    classes: Annotated[
        list[Text], Meta(min_length=1, description="job classes that belong to the plan")
    ]
    teams: Annotated[list[Text], Meta(description="only jobs of these teams; empty: all teams")] = (
        field(default_factory=list)
    )
    windows: Annotated[
        list[Window], Meta(description="times of day at which runs open and close")
    ] = field(default_factory=list)
    zone: Annotated[str, Meta(description="time zone of the windows, such as Europe/Zurich")] = (
        "UTC"
    )
    quiet_s: Annotated[
        Annotated[float, Meta(gt=0)] | None,
        Meta(
            description="instead of windows: a run opens when the first job arrives, and closes "
            "when no other job has arrived for this time and all members have ended",
        ),
    ] = None
    longest_s: Annotated[
        float, Meta(gt=0, description="with quiet_s: maximum time from opening to closing")
    ] = 86_400.0
    after: Annotated[
        str | None,
        Meta(description="a plan whose run must be closed before a run of this plan opens"),
    ] = None
    most_at_once: Annotated[
        Annotated[int, Meta(ge=1)] | None,
        Meta(description="maximum number of members on machines, divided evenly among its shards"),
    ] = None
    attempts: Annotated[
        int,
        Meta(ge=1, le=1000, description="failures after which a member waits for the second round"),
    ] = 3
    first: Annotated[Order, Meta(description="order in which the members of jobs are started")] = (
        "deadline"
    )
    grace_s: Annotated[
        float, Meta(ge=0, description="time for running members to finish after a run has closed")
    ] = 60.0

    def has(self, job_class: str, team: str) -> bool:
        """Whether jobs of a job class and a team belong to the plan."""
        return job_class in self.classes and (not self.teams or team in self.teams)


class RunsOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """Reckoning runs; enabled if this section is present."""

    plans: Annotated[
        list[Plan], Meta(min_length=1, description="plans; no job may belong to two of them")
    ]


def minutes(clock: str) -> int:
    """Returns the minutes since midnight of a time such as 22:00."""
    time = datetime.time.fromisoformat(clock)
    return 60 * time.hour + time.minute


def check(options: RunsOptions, teams: Collection[str]) -> list[str]:
    """Returns the errors in the plans, each with its field and its remedy.

    `teams` are the teams of the settings.
    """
    errors: list[str] = []
    names = [plan.name for plan in options.plans]
    for index, plan in enumerate(options.plans):
        path = f"plans[{index}]"
        if plan.name in names[:index]:
            errors.append(f"{path}.name: {plan.name} is taken: give each plan a name of its own")
        for team in plan.teams:
            if team not in teams:
                known = ", ".join(sorted(teams))
                errors.append(f"{path}.teams: unknown team {team}: name some of {known}")
        errors += _overlap_errors(options.plans, index, path)
        errors += _time_errors(plan, path)
        if plan.after is not None and plan.after not in names:
            errors.append(f"{path}.after: no plan {plan.after}: name one of {', '.join(names)}")
        team_count = len(plan.teams or teams)
        if plan.most_at_once is not None and plan.most_at_once < team_count:
            # Each team has a shard, and a shard whose part of the limit is 0 would never start a
            # member.
            errors.append(
                f"{path}.most_at_once: {plan.most_at_once} is less than one for each of its "
                f"{team_count} teams: raise it, or name fewer teams"
            )
    return errors + _cycle_errors(options.plans)


def _overlap_errors(plans: list[Plan], index: int, path: str) -> list[str]:
    """Returns errors for job classes that also belong to an earlier plan."""
    plan = plans[index]
    errors = []
    for other in plans[:index]:
        common_classes = sorted(set(plan.classes) & set(other.classes))
        has_common_team = not plan.teams or not other.teams or set(plan.teams) & set(other.teams)
        if common_classes and has_common_team and other.name != plan.name:
            errors.append(
                f"{path}.classes: {common_classes[0]} belongs to {other.name} as well: leave it to "
                "one of the plans, or give them teams that differ"
            )
    return errors


def _time_errors(plan: Plan, path: str) -> list[str]:
    """Returns errors in the times at which a plan's runs open and close."""
    if bool(plan.windows) == (plan.quiet_s is not None):
        count = "both are" if plan.windows else "none is"
        return [f"{path}.windows, {path}.quiet_s: {count} given: give one of them"]
    errors = _zone_errors(plan, path) if plan.windows else []
    spans = [window.span() for window in plan.windows]
    for later, (begin, end) in enumerate(spans):
        if end - begin >= DAY_MIN:
            errors.append(
                f"{path}.windows[{later}].closes: the same as opens: a run has to be closed before "
                "the next one opens"
            )
        for earlier, (first, last) in enumerate(spans[:later]):
            days = (-DAY_MIN, 0, DAY_MIN)
            if any(begin + day < last and first < end + day for day in days):
                errors.append(
                    f"{path}.windows[{later}]: overlaps windows[{earlier}]: have one close before "
                    "the other opens"
                )
    return errors


def _zone_errors(plan: Plan, path: str) -> list[str]:
    try:
        ZoneInfo(plan.zone)
    except (ZoneInfoNotFoundError, ValueError, OSError):
        if plan.zone == "UTC" or not available_timezones():
            remedy = "this machine has no database of time zones: install tzdata"
        else:
            remedy = "name one such as Europe/Zurich, or UTC"
        return [f"{path}.zone: {plan.zone!r} is no time zone known here: {remedy}"]
    return []


def _cycle_errors(plans: list[Plan]) -> list[str]:
    """Returns an error if plans wait for each other's runs in a cycle."""
    after = {plan.name: plan.after for plan in plans}
    for index, plan in enumerate(plans):
        path = [plan.name]
        name = after[plan.name]
        while name is not None and name in after and name not in path:
            path.append(name)
            name = after[name]
        if name == plan.name:
            cycle = " after ".join([*path, plan.name])
            return [f"plans[{index}].after: a cycle, none would ever open: {cycle}: remove one"]
    return []
