"""Converts the findings of a survey and the stages of attempts to reasons.

The scheduling rules themselves are in sched/.
"""

from __future__ import annotations

from badgerseam.explain.context import Context
from badgerseam.explain.held_back import held_back_reason, term_reason
from badgerseam.explain.members import replica_reason
from badgerseam.explain.predicates import predicate_reason
from badgerseam.explain.stages import stage_of, stage_reason
from badgerseam.explain.supply import supply_reasons
from badgerseam.model.job import Attempt
from badgerseam.sched.diagnosis import Finding, Infeasibility
from badgerseam.sched.predicates import Predicate
from badgerseam.wire.explain import Ahead, Code, Group, Reason, State


def group_tasks(context: Context) -> list[Group]:
    """Returns all tasks of a job, grouped by state and by what they wait for."""
    job = context.job
    found: list[Group] = []
    waiting = job.waiting()
    if waiting > 0:
        found.append(Group("waiting", waiting, waiting_reasons(context)))
    by_stage: dict[tuple[State, Code | None], list[Attempt]] = {}
    for attempt in job.attempts.values():
        if not attempt.finishing:
            by_stage.setdefault(stage_of(context, attempt), []).append(attempt)
    for (state, code), attempts in sorted(by_stage.items(), key=lambda item: str(item[0])):
        reasons = [] if code is None else [stage_reason(context, code, attempts)]
        found.append(Group(state, len(attempts), reasons))
    if job.finished:
        found.append(Group("done", job.finished))
    return found


def jobs_ahead(context: Context) -> Ahead | None:
    """Returns the jobs before this one in the plan's order, or None if it is not in it."""
    finding = context.survey.findings.get(context.job)
    if finding is None:
        return None
    jobs = [context.model.jobs[index] for index in finding.ahead]
    return Ahead(
        finding.jobs_ahead, finding.tasks_ahead, [job.id for job in jobs if job is not None]
    )


def waiting_reasons(context: Context) -> list[Reason]:
    """Returns why tasks have no machine, the binding reasons first."""
    hold_reason = context.survey.held_back.get(context.job)
    if hold_reason is not None:
        return [held_back_reason(context, hold_reason)]
    finding = context.survey.findings.get(context.job)
    if finding is not None and finding.infeasibility is None and _is_throttled(context, finding):
        return [term_reason(context, "throttle")]
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
    return _infeasibility_reasons(context, finding, finding.infeasibility)


def _infeasibility_reasons(
    context: Context, finding: Finding, infeasibility: Infeasibility
) -> list[Reason]:
    """Returns why no machine can run the next task, and whether more machines are expected."""
    reasons: list[Reason] = []
    if not infeasibility.machines:
        reasons.append(
            Reason(
                "no_machine",
                "Its share has no machine in use.",
                binding=True,
                change="A machine is rented for the share, or passed on to it.",
            )
        )
    for predicate in _binding_first(infeasibility):
        reasons.append(predicate_reason(context, finding, infeasibility, predicate))
    if finding.request.gang_rules is not None:
        if finding.placed == 0:
            reasons.append(replica_reason(context.job, finding))
    elif context.job.is_gang and finding.placed == 0:
        reasons.append(_gang_reason(finding))
    if not infeasibility.machines or Predicate.LIMIT not in infeasibility.binding:
        reasons += supply_reasons(context.model, context.supply, finding.request)
    return reasons


def _binding_first(infeasibility: Infeasibility) -> list[Predicate]:
    """Returns the predicates that rule out machines: the binding ones, then the others in
    descending order of the number of machines."""
    counts, binding = infeasibility.counts, infeasibility.binding
    others = sorted(counts, key=lambda predicate: (-counts[predicate], predicate))
    return [*binding, *(predicate for predicate in others if predicate not in binding)]


def _gang_reason(finding: Finding) -> Reason:
    return Reason(
        "gang",
        f"Its {finding.request.count} tasks run only together, and {finding.reached} of "
        "them would find room.",
        binding=True,
        change="Room for all of them at once.",
    )


def _is_throttled(context: Context, finding: Finding) -> bool:
    """Whether the job's throttle holds back all waiting tasks that the plan does not place."""
    terms = context.job.spec.terms
    return (
        terms is not None
        and terms.throttle is not None
        and context.job.waiting() > finding.request.count
    )
