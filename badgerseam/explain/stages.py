"""Reasons why tasks that have a machine do not run yet, by the stage of their attempt."""

from __future__ import annotations

from typing import NamedTuple

from badgerseam.explain.context import Context
from badgerseam.explain.text import MAX_NAMED, pluralize
from badgerseam.model.job import Attempt, Stage
from badgerseam.wire.explain import Code, Reason, State

SLOW_STATE_S = 2.0
"""Seconds without confirmation of the lease after which the state service is reported not to
answer: requests are sent to it several times per second."""
MAX_MISSED_HEARTBEATS = 3
"""Number of heartbeat intervals without a heartbeat after which the reason is `worker_silent`."""


class _StageStatement(NamedTuple):
    """Describes what attempts at one stage wait for."""

    text: str
    change: str
    """What must happen for the stage to end."""
    who: list[str]
    """The machines or tasks that the reason is about."""
    expected_s: float | None = None


def stage_of(context: Context, attempt: Attempt) -> tuple[State, Code | None]:
    """Returns the state of an attempt and the code of what it waits for, or None if it runs."""
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
    silent_after_s = MAX_MISSED_HEARTBEATS * context.model.settings.params.workers.report_s
    if context.now - max(machine.last_heartbeat_at, machine.owned_since) > silent_after_s:
        return "launching", "worker_silent"
    if machine.push_failures > 0 or machine.missed_answers > 0:
        return "launching", "worker_unconfirmed"
    return "launching", "launching"


def stage_reason(context: Context, code: Code, attempts: list[Attempt]) -> Reason:
    """Returns what attempts of one job that are at the same stage wait for."""
    names = sorted({attempt.machine.name for attempt in attempts})
    who = names[:MAX_NAMED]
    where = f"on {', '.join(who)}{' and others' if len(names) > MAX_NAMED else ''}"
    since_s = round(context.now - min(attempt.planned_at for attempt in attempts), 2)
    if code == "recording":
        statement = _recording_statement(context, where, who)
    elif code == "fetching":
        statement = _fetching_statement(context, attempts, where, who, since_s)
    elif code == "victims_leaving":
        statement = _victims_statement(context, attempts, where)
    elif code == "stopping":
        statement = _stopping_statement(attempts, where, who)
    else:
        statement = _launch_statement(code, where, who)
    return Reason(
        code,
        statement.text,
        binding=True,
        since_s=since_s,
        expected_s=statement.expected_s,
        change=statement.change,
        who=statement.who,
    )


def _recording_statement(context: Context, where: str, who: list[str]) -> _StageStatement:
    text = f"Placed {where}; launched as soon as that is durable in the state service"
    if context.state_age_s > SLOW_STATE_S:
        text += f", which has not answered for {context.state_age_s:.1f} s."
    else:
        text += "."
    change = "The state service takes the write; it is slow, or its changes a second are used."
    return _StageStatement(text, change, who)


def _fetching_statement(
    context: Context, attempts: list[Attempt], where: str, who: list[str], since_s: float
) -> _StageStatement:
    spec = context.job.spec
    machine_types = (context.model.types.get(attempt.machine.type) for attempt in attempts)
    rates = [entry.fetch_gb_per_s for entry in machine_types if entry is not None]
    expected_s: float | None = None
    if rates:
        expected_s = max(0.0, round(spec.image_gb / max(max(rates), 1e-3) - since_s, 1))
    return _StageStatement(
        f"Fetching the image {spec.image} ({spec.image_gb:g} GB) {where}.",
        "The fetch ends; several on one machine share its rate.",
        who,
        expected_s,
    )


def _victims_statement(context: Context, attempts: list[Attempt], where: str) -> _StageStatement:
    """Describes attempts that wait until the tasks stopped for them have left their machines."""
    others = [other for attempt in attempts for other in attempt.machine.attempts.values()]
    victims = [other for other in others if other.stopping]
    text = f"Its room {where} is being left by {pluralize(len(victims), 'task')} that were stopped"
    costs = [victim.cost for victim in victims if victim.cost is not None]
    if costs:
        rank = context.job.rank
        spared = sum(other.job.rank < rank and not other.stopping for other in others)
        text += f" for it at a cost of {max(costs):.3f}"
        text += f"; {pluralize(spared, 'task')} of lower rank spared"
    return _StageStatement(
        text + ".",
        "They have saved and exited.",
        sorted({victim.name for victim in victims})[:MAX_NAMED],
        round(max((victim.grace_s for victim in victims), default=0.0), 1),
    )


def _stopping_statement(attempts: list[Attempt], where: str, who: list[str]) -> _StageStatement:
    checkpointing = sum(attempt.stage == Stage.CHECKPOINTING for attempt in attempts)
    return _StageStatement(
        f"Being stopped {where} ({checkpointing} of {len(attempts)} saving); placed anew after it.",
        "The worker shows that they have exited.",
        who,
    )


def _launch_statement(code: Code, where: str, who: list[str]) -> _StageStatement:
    """Describes attempts whose launch the worker has not confirmed."""
    if code == "worker_silent":
        return _StageStatement(
            f"Placed {where}, where the worker has not been heard for a while.",
            "The worker reports, or its lease ends and the tasks go elsewhere.",
            who,
        )
    if code == "worker_unconfirmed":
        return _StageStatement(
            f"Placed {where}; the latest command to the worker got no answer. It is repeated under "
            "a higher warrant, since it may still be executed.",
            "The worker answers, or reports by itself.",
            who,
        )
    return _StageStatement(
        f"Placed {where}; the launch is on its way to the worker.",
        "The worker's next report shows it.",
        who,
    )
