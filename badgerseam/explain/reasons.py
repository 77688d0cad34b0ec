"""Findings and stages put into plain statements. No rule is decided here."""

from __future__ import annotations

from dataclasses import dataclass

from badgerseam.batch.terms import TermsRules
from badgerseam.explain.members import replica_reason
from badgerseam.explain.supply import Supply, supply_reasons
from badgerseam.explain.surveys import Survey
from badgerseam.explain.text import pluralize
from badgerseam.model.job import HIGH_RANK, RANKS, Attempt, Job, Stage
from badgerseam.model.model import Model
from badgerseam.model.resources import Resources
from badgerseam.sched.diagnosis import Finding, Infeasibility
from badgerseam.sched.predicates import Predicate
from badgerseam.sched.snapshot import slots_of
from badgerseam.wire.explain import Ahead, Code, Group, Reason, State
from badgerseam.wire.users import Terms

RANK_NAMES = {number: name for name, number in RANKS.items()}
TERMS: dict[str, Code] = {
    "held": "held",
    "begin_time": "begin_time",
    "dependency": "dependency",
    "dependency_never": "dependency_never",
    "singleton": "singleton",
    "throttle": "throttle",
}
"""What the terms' rules answer, as codes."""
RUNS = {
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
"""What the rules of reckoning runs answer: what a job's run does, and what changes it."""
MAX_NAMED = 5
SLOW_S = 2.0
"""The state service is asked several times a second."""

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


@dataclass(slots=True)
class Context:
    """What statements about one job are made from."""

    model: Model
    job: Job
    survey: Survey
    supply: Supply
    now: float
    state_age_s: float
    """Since the state service last confirmed our lease."""
    rules: TermsRules


def amount(room: Resources) -> str:
    """Such as '4 CPUs, 14 GB'."""
    parts = [f"{room.cpus:g} CPUs"]
    if room.gpus:
        parts.append(f"{room.gpus:g} GPUs")
    if room.memory_gb not in (0.0, float("inf")):
        parts.append(f"{room.memory_gb:g} GB")
    return ", ".join(parts)


def groups(context: Context) -> list[Group]:
    """All tasks of a job, those that are alike together."""
    job = context.job
    found: list[Group] = []
    waiting = job.waiting()
    if waiting > 0:
        found.append(Group("waiting", waiting, waiting_reasons(context)))
    by_kind: dict[tuple[State, Code | None], list[Attempt]] = {}
    for attempt in job.attempts.values():
        if not attempt.finishing:
            by_kind.setdefault(_kind(context, attempt), []).append(attempt)
    for (state, code), attempts in sorted(by_kind.items(), key=lambda item: str(item[0])):
        reasons = [] if code is None else [_stage_reason(context, code, attempts)]
        found.append(Group(state, len(attempts), reasons))
    if job.finished:
        found.append(Group("done", job.finished))
    return found


def ahead(context: Context) -> Ahead | None:
    """What waits before the job; None if it is not in the plan's order now."""
    finding = context.survey.findings.get(context.job)
    if finding is None:
        return None
    jobs = [context.model.jobs[index] for index in finding.ahead]
    return Ahead(
        finding.jobs_ahead, finding.tasks_ahead, [job.id for job in jobs if job is not None]
    )


# ---- tasks that have no machine ----


def waiting_reasons(context: Context) -> list[Reason]:
    """What holds the unplaced tasks back, the binding things first."""
    held = context.survey.held_back.get(context.job)
    if held is not None:
        return [_held_back(context, held)]
    finding = context.survey.findings.get(context.job)
    if finding is not None and finding.infeasibility is None and _throttled(context, finding):
        return [_term(context, "throttle")]
    if finding is None and context.job.changed_tasks is not None:
        return [replica_reason(context.job, None)]
    if finding is None or finding.infeasibility is None:
        return [
            Reason(
                "next_plan",
                "Room was found; the tasks are placed with the next plan.",
                binding=True,
                expected_s=0.2,
            )
        ]
    barred = finding.infeasibility
    found: list[Reason] = []
    if not barred.machines:
        found.append(
            Reason(
                "no_machine",
                "Its share has no machine in use.",
                binding=True,
                change="A machine is rented for the share, or passed on to it.",
            )
        )
    others = sorted(barred.counts, key=lambda bar: (-barred.counts[bar], bar))
    for bar in [*barred.binding, *(bar for bar in others if bar not in barred.binding)]:
        found.append(_predicate_reason(context, finding, barred, bar))
    if finding.request.gang_rules is not None:
        if finding.placed == 0:
            found.append(replica_reason(context.job, finding))
    elif context.job.is_gang and finding.placed == 0:
        found.append(
            Reason(
                "gang",
                f"Its {finding.request.count} tasks run only together, and {finding.reached} of "
                "them would find room.",
                binding=True,
                change="Room for all of them at once.",
            )
        )
    if not barred.machines or Predicate.LIMIT not in barred.binding:
        found += supply_reasons(context.model, context.supply, finding.request)
    return found


def _everywhere(job: Job) -> str:
    """What tells a job with a mistake in it from one that met a faulty machine."""
    if not job.is_at_fault:
        return ""
    return (
        f", on {len(job.failed_on)} machines, and nothing of it was ever done: the job itself is "
        "most likely wrong, not the machines"
    )


def _held_back(context: Context, why: str) -> Reason:
    job = context.job
    if why in TERMS:
        return _term(context, why)
    if why in RUNS:
        watch = context.model.job_observer
        name = "" if watch is None else watch.holding_run_name(job)
        text, change = RUNS[why]
        return Reason(
            "reckoning_run",
            f"Its tasks are members of the reckoning run {name}, which {text}",
            binding=True,
            change=change,
            who=[name],
        )
    if why == "backoff":
        machines = [context.model.machines.get(index) for index in sorted(job.avoided_machines)]
        return Reason(
            "backoff",
            f"Its tasks have failed {job.errors} times in a row"
            f"{_everywhere(job)}; they are tried again after a pause that doubles.",
            binding=True,
            expected_s=round(max(0.0, job.retry_at - context.now), 1),
            change="The pause ends. If the job fails on every machine, look at its output and "
            "cancel it.",
            who=[machine.name for machine in machines if machine is not None][:MAX_NAMED],
        )
    if why == "failing":
        return Reason(
            "failing",
            f"Its tasks have failed {job.errors} times in a row{_everywhere(job)}: one at a time "
            "is tried, and the others wait for that one.",
            binding=True,
            change="The task that is being tried runs, or the job is corrected and submitted anew.",
        )
    if why == "ended":
        return Reason("ended", "The job has ended; its last tasks are being stopped.", binding=True)
    return Reason("unsettled", "Where its tasks were is being read from the records.", binding=True)


def _throttled(context: Context, finding: Finding) -> bool:
    """Whether the rest of the tasks waits for the first ones that the plan places."""
    terms = context.job.spec.terms
    return (
        terms is not None
        and terms.throttle is not None
        and context.job.waiting() > finding.request.count
    )


def _term(context: Context, why: str) -> Reason:
    """A term of the job that holds its tasks back."""
    job = context.job
    terms = job.spec.terms or Terms()
    who: list[str] = []
    expected: float | None = None
    if why == "held":
        text, change = "It is held.", "It is released."
    elif why == "begin_time":
        left = max(0.0, (terms.begin_at or 0.0) - context.model.clock.wall())
        expected = round(left, 1)
        text, change = "Its begin time has not come.", "The time comes, or is changed."
    elif why in ("dependency", "dependency_never"):
        unmet = context.rules.unmet(job)
        who = [f"{entry.kind}:{entry.job}" for entry in unmet][:MAX_NAMED]
        some = "one" if terms.any else "all"
        text = f"{len(unmet)} of its {len(terms.depends)} dependencies are not met; {some} must be."
        change = "The jobs end as the dependencies want it."
        if why == "dependency_never":
            text = "A dependency can never be met: the job that it names has ended otherwise."
            change = "The dependency is changed, or the job is cancelled."
    elif why == "singleton":
        text = f"An earlier job of the same team, user and name ({terms.name}) has not ended."
        change = "The earlier ones end."
    else:
        text = f"No more than {terms.throttle} of its tasks may run at once."
        change = "One of them ends, or the throttle is raised."
    return Reason(TERMS[why], text, binding=True, expected_s=expected, change=change, who=who)


def _predicate_reason(
    context: Context, finding: Finding, barred: Infeasibility, bar: Predicate
) -> Reason:
    text, change, who = _statement(context, finding, barred, bar)
    expected = None
    if bar == Predicate.FREE_CAPACITY and barred.capacity_in_s != float("inf"):
        expected = round(barred.capacity_in_s, 1)
    return Reason(
        CODES[bar],
        text,
        binding=bar in barred.binding,
        machines=barred.counts.get(bar),
        expected_s=expected,
        change=change,
        who=who,
    )


def _statement(
    context: Context, finding: Finding, barred: Infeasibility, bar: Predicate
) -> tuple[str, str, list[str]]:
    """The sentence, what would change it, and who it is about."""
    request, job, model = finding.request, context.job, context.model
    count = barred.counts.get(bar, 0)
    machines = f"{count} of {barred.machines} machines"
    if bar == Predicate.LIMIT:
        return _limit_statement(context, finding)
    if bar == Predicate.TYPE:
        allowed = ", ".join(sorted(request.types or ()))
        return (
            f"{machines} are not of a type that the job allows ({allowed}).",
            "A machine of an allowed type, or a job that allows more types.",
            [],
        )
    if bar == Predicate.ZONE:
        return (
            f"{machines} are not in the zone that the job names ({request.zone}).",
            "A machine in that zone, or a job that names none.",
            [],
        )
    if bar == Predicate.SPOT:
        return (
            f"{machines} are spot machines, and the job may use ordinary ones only.",
            "An ordinary machine, or a job that may use spot machines.",
            [],
        )
    if bar == Predicate.ONE_ZONE:
        zones = ", ".join(sorted(job.zones))
        return (
            f"{machines} are outside the zone of the job's other tasks ({zones}), and all of them "
            "have to be in one.",
            "Room in that zone.",
            [],
        )
    if bar == Predicate.SCATTER:
        return (
            f"{machines} are in zones that hold as many of the job's tasks as may be in one "
            f"({request.zone_limit}).",
            "Room in another zone.",
            [],
        )
    if bar == Predicate.AVOIDED:
        names = [m.name for i in sorted(request.avoided_machines) if (m := model.machines.get(i))]
        return (
            f"Tasks of the job have failed on {machines}.",
            "Room on another machine.",
            names[:MAX_NAMED],
        )
    if bar == Predicate.SIZE:
        return (
            f"{machines} are smaller than one task ({amount(request.demand)}), even when empty.",
            "A larger machine.",
            [],
        )
    return _capacity_statement(context, finding, barred, count)


def _limit_statement(context: Context, finding: Finding) -> tuple[str, str, list[str]]:
    model, request = context.model, finding.request
    team = model.teams[request.team]
    own = [
        (job.live * slots_of(job.demand), job)
        for job in model.open_jobs[team.shard].values()
        if job.team == request.team and job.live
    ]
    own.sort(key=lambda item: (-item[0], item[1].id))
    held = finding.used.plus(finding.draining)
    return (
        f"The team {team.name} uses {amount(held)} of at most {amount(team.limit)}, and a "
        f"task takes {amount(request.demand)}.",
        "Tasks of the team end, or its limit is raised.",
        [job.id for _, job in own[:MAX_NAMED]],
    )


def _capacity_statement(
    context: Context, finding: Finding, barred: Infeasibility, count: int
) -> tuple[str, str, list[str]]:
    model, request = context.model, finding.request
    who = [
        f"{model.teams[h.team].name}: {pluralize(h.tasks, 'task')} of {RANK_NAMES[h.rank]}, "
        f"{amount(h.capacity)}"
        for h in barred.holders[:MAX_NAMED]
    ]
    team = model.teams[request.team]
    text = (
        f"{count} of {barred.machines} machines have no room for a task "
        f"({amount(request.demand)}); "
        f"the most that is free on one of them is {amount(barred.most_free)}."
    )
    within = finding.used.plus(request.demand).fits_in(team.guarantee)
    if request.high:
        text += " Nothing there may be evicted for it: no work of a lower rank, or it is only"
        text += " just starting or already being stopped."
    elif within:
        text += " Its team is within its guarantee, but no other team's low-priority work beyond"
        text += " the guarantee is there to be claimed."
    else:
        text += " Low-priority work evicts nothing, and its team is at or beyond its guarantee."
    lower = any(holder.rank < HIGH_RANK for holder in barred.holders)
    change = "Tasks there end" + ("" if request.high or not lower else ", or machines are added")
    return text, change + ".", who


# ---- tasks that have one ----


def _kind(context: Context, attempt: Attempt) -> tuple[State, Code | None]:
    """How far an attempt has come, and what it waits for."""
    machine = attempt.machine
    if attempt.stopping:
        return "stopping", "stopping"
    if attempt.stage == Stage.PLANNED:
        return "recording", "recording"
    if attempt.stage == Stage.FETCHING:
        return "fetching", "fetching"
    if attempt.stage == Stage.CHECKPOINTING:
        return "stopping", "stopping"
    if attempt.stage == Stage.RUNNING:
        return "running", None
    if any(other.stopping for other in machine.attempts.values()) and not attempt.sent:
        return "launching", "victims_leaving"
    report_s = context.model.settings.params.workers.report_s
    if context.now - max(machine.last_heartbeat_at, machine.owned_since) > 3 * report_s:
        return "launching", "worker_silent"
    if machine.push_failures > 0 or machine.missed_answers > 0:
        return "launching", "worker_unconfirmed"
    return "launching", "launching"


def _stage_reason(context: Context, code: Code, attempts: list[Attempt]) -> Reason:
    now, job = context.now, context.job
    names = sorted({attempt.machine.name for attempt in attempts})
    since = round(now - min(attempt.planned_at for attempt in attempts), 2)
    expected: float | None = None
    who = names[:MAX_NAMED]
    where = f"on {', '.join(who)}{' and others' if len(names) > MAX_NAMED else ''}"
    if code == "recording":
        text = f"Placed {where}; launched as soon as that is durable in the state service"
        text += (
            f", which has not answered for {context.state_age_s:.1f} s."
            if context.state_age_s > SLOW_S
            else "."
        )
        change = "The state service takes the write; it is slow, or its changes a second are used."
    elif code == "fetching":
        spec = job.spec
        rates = [
            entry.fetch_gb_per_s
            for attempt in attempts
            if (entry := context.model.types.get(attempt.machine.type)) is not None
        ]
        if rates:
            expected = max(0.0, round(spec.image_gb / max(max(rates), 1e-3) - since, 1))
        text = f"Fetching the image {spec.image} ({spec.image_gb:g} GB) {where}."
        change = "The fetch ends; several on one machine share its rate."
    elif code == "victims_leaving":
        leaving = [o for a in attempts for o in a.machine.attempts.values() if o.stopping]
        who = sorted({other.name for other in leaving})[:MAX_NAMED]
        grace = max((other.grace_s for other in leaving), default=0.0)
        text = (
            f"Its room {where} is being left by {pluralize(len(leaving), 'task')} that were stopped"
        )
        costs = [other.cost for other in leaving if other.cost is not None]
        if costs:
            spared = sum(
                other.job.rank < job.rank and not other.stopping
                for attempt in attempts
                for other in attempt.machine.attempts.values()
            )
            text += f" for it at a cost of {max(costs):.3f}"
            text += f"; {pluralize(spared, 'task')} of lower rank spared"
        text += "."
        change = "They have saved and exited."
        expected = round(grace, 1)
    elif code == "worker_silent":
        text = f"Placed {where}, where the worker has not been heard for a while."
        change = "The worker reports, or its lease ends and the tasks go elsewhere."
    elif code == "worker_unconfirmed":
        text = (
            f"Placed {where}; the latest command to the worker got no answer. It is repeated under "
            "a higher warrant, since it may still be executed."
        )
        change = "The worker answers, or reports by itself."
    elif code == "stopping":
        saving = sum(attempt.stage == Stage.CHECKPOINTING for attempt in attempts)
        text = f"Being stopped {where} ({saving} of {len(attempts)} saving); placed anew after it."
        change = "The worker shows that they have exited."
    else:
        text = f"Placed {where}; the launch is on its way to the worker."
        change = "The worker's next report shows it."
    return Reason(
        code,
        text,
        binding=True,
        since_s=since,
        expected_s=expected,
        change=change,
        who=who,
    )
