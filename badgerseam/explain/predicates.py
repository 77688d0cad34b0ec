"""Reasons for the predicates that rule out machines; the rules themselves are in sched/."""

from __future__ import annotations

from typing import NamedTuple

from badgerseam.explain.context import Context
from badgerseam.explain.text import MAX_NAMED, amount, pluralize
from badgerseam.model.job import HIGH_RANK, RANKS
from badgerseam.sched.diagnosis import Finding, Infeasibility
from badgerseam.sched.predicates import Predicate
from badgerseam.sched.snapshot import slots_of
from badgerseam.wire.explain import Code, Reason

RANK_NAMES = {number: name for name, number in RANKS.items()}
CODES: dict[Predicate, Code] = {
    Predicate.TYPE: "machine_type",
    Predicate.ZONE: "zone",
    Predicate.SPOT: "ordinary_only",
    Predicate.ONE_ZONE: "one_zone",
    Predicate.SCATTER: "scatter",
    Predicate.AVOIDED: "shunned",
    Predicate.SIZE: "too_large",
    Predicate.FREE_CAPACITY: "no_room",
    Predicate.LIMIT: "team_limit",
}


class Statement(NamedTuple):
    """The text of a reason."""

    text: str
    change: str
    """What must happen for the reason to disappear."""
    who: list[str]
    """The machines, jobs or teams that the reason is about."""


def predicate_reason(
    context: Context, finding: Finding, infeasibility: Infeasibility, predicate: Predicate
) -> Reason:
    """Returns the reason for one predicate that rules out machines."""
    text, change, who = _statement(context, finding, infeasibility, predicate)
    expected_s = None
    if predicate == Predicate.FREE_CAPACITY and infeasibility.capacity_in_s != float("inf"):
        expected_s = round(infeasibility.capacity_in_s, 1)
    return Reason(
        CODES[predicate],
        text,
        binding=predicate in infeasibility.binding,
        machines=infeasibility.counts.get(predicate),
        expected_s=expected_s,
        change=change,
        who=who,
    )


def _statement(
    context: Context, finding: Finding, infeasibility: Infeasibility, predicate: Predicate
) -> Statement:
    if predicate == Predicate.LIMIT:
        return _limit_statement(context, finding)
    if predicate == Predicate.FREE_CAPACITY:
        return _capacity_statement(context, finding, infeasibility)
    count = infeasibility.counts.get(predicate, 0)
    machines = f"{count} of {infeasibility.machines} machines"
    if predicate in (Predicate.ZONE, Predicate.ONE_ZONE, Predicate.SCATTER):
        return _zone_statement(context, finding, predicate, machines)
    return _machine_statement(context, finding, predicate, machines)


def _machine_statement(
    context: Context, finding: Finding, predicate: Predicate, machines: str
) -> Statement:
    """Describes machines that do not match what the job allows or needs."""
    request = finding.request
    if predicate == Predicate.TYPE:
        allowed = ", ".join(sorted(request.types or ()))
        return Statement(
            f"{machines} are not of a type that the job allows ({allowed}).",
            "A machine of an allowed type, or a job that allows more types.",
            [],
        )
    if predicate == Predicate.SPOT:
        return Statement(
            f"{machines} are spot machines, and the job may use ordinary ones only.",
            "An ordinary machine, or a job that may use spot machines.",
            [],
        )
    if predicate == Predicate.AVOIDED:
        avoided = map(context.model.machines.get, sorted(request.avoided_machines))
        return Statement(
            f"Tasks of the job have failed on {machines}.",
            "Room on another machine.",
            [machine.name for machine in avoided if machine is not None][:MAX_NAMED],
        )
    return Statement(
        f"{machines} are smaller than one task ({amount(request.demand)}), even when empty.",
        "A larger machine.",
        [],
    )


def _zone_statement(
    context: Context, finding: Finding, predicate: Predicate, machines: str
) -> Statement:
    """Describes machines in zones where the job's tasks may not run."""
    request = finding.request
    if predicate == Predicate.ZONE:
        return Statement(
            f"{machines} are not in the zone that the job names ({request.zone}).",
            "A machine in that zone, or a job that names none.",
            [],
        )
    if predicate == Predicate.ONE_ZONE:
        zones = ", ".join(sorted(context.job.zones))
        return Statement(
            f"{machines} are outside the zone of the job's other tasks ({zones}), and all of them "
            "have to be in one.",
            "Room in that zone.",
            [],
        )
    return Statement(
        f"{machines} are in zones that hold as many of the job's tasks as may be in one "
        f"({request.zone_limit}).",
        "Room in another zone.",
        [],
    )


def _limit_statement(context: Context, finding: Finding) -> Statement:
    """Describes the team's limit, and its jobs that use most of it."""
    model, request = context.model, finding.request
    team = model.teams[request.team]
    jobs_by_use = [
        (job.live * slots_of(job.demand), job)
        for job in model.open_jobs[team.shard].values()
        if job.team == request.team and job.live
    ]
    jobs_by_use.sort(key=lambda item: (-item[0], item[1].id))
    used = finding.used.plus(finding.draining)
    return Statement(
        f"The team {team.name} uses {amount(used)} of at most {amount(team.limit)}, and a "
        f"task takes {amount(request.demand)}.",
        "Tasks of the team end, or its limit is raised.",
        [job.id for _, job in jobs_by_use[:MAX_NAMED]],
    )


def _capacity_statement(
    context: Context, finding: Finding, infeasibility: Infeasibility
) -> Statement:
    """Describes machines without enough free capacity, and the tasks that use it."""
    model, request = context.model, finding.request
    count = infeasibility.counts.get(Predicate.FREE_CAPACITY, 0)
    who = [
        f"{model.teams[holder.team].name}: {pluralize(holder.tasks, 'task')} of "
        f"{RANK_NAMES[holder.rank]}, {amount(holder.capacity)}"
        for holder in infeasibility.holders[:MAX_NAMED]
    ]
    team = model.teams[request.team]
    text = (
        f"{count} of {infeasibility.machines} machines have no room for a task "
        f"({amount(request.demand)}); "
        f"the most that is free on one of them is {amount(infeasibility.most_free)}."
    )
    is_within_guarantee = finding.used.plus(request.demand).fits_in(team.guarantee)
    if request.high:
        text += " Nothing there may be evicted for it: no work of a lower rank, or it is only"
        text += " just starting or already being stopped."
    elif is_within_guarantee:
        text += " Its team is within its guarantee, but no other team's low-priority work beyond"
        text += " the guarantee is there to be claimed."
    else:
        text += " Low-priority work evicts nothing, and its team is at or beyond its guarantee."
    has_lower_rank = any(holder.rank < HIGH_RANK for holder in infeasibility.holders)
    may_add_machines = has_lower_rank and not request.high
    change = "Tasks there end, or machines are added." if may_add_machines else "Tasks there end."
    return Statement(text, change, who)
