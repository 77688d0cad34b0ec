"""Hand-written histories for the lab's rule checker.

Each step of a history is a time, the kind of an event and its fields.
"""

from __future__ import annotations

from typing import Any

import msgspec

from badgerseam.lab.checker import Verdict, check_history
from badgerseam.lab.history import Event
from badgerseam.lab.judged_history import RuleContext
from badgerseam.settings import Team
from badgerseam.wire.cloud import MachineType
from tests.support.scripted_peers import submission

CANCEL_S = 30.0


def history(*steps: tuple[float, str, dict[str, Any]]) -> list[str]:
    """Returns the rules that a history violates."""
    events = [msgspec.convert({"t": t, "kind": kind, **fields}, Event) for t, kind, fields in steps]
    verdict = check_history(events, RuleContext([Team("red", 16, 4)], CANCEL_S))
    return [violation.rule for violation in verdict.violations]


def submit(t: float, job: str = "job-000001", **changes: Any) -> tuple[float, str, dict[str, Any]]:
    """Returns the step of a user submitting a job."""
    return t, "submit", {"job": job, "spec": msgspec.to_builtins(submission(job, **changes))}


def answer(
    t: float, about: str = "submit", status: int = 201, phase: str = "pending", **fields: Any
) -> tuple[float, str, dict[str, Any]]:
    """Returns the step of a user receiving a response."""
    given = {"job": "job-000001", "about": about, "status": status, "phase": phase, **fields}
    return t, "answer", given


def machine(name: str = "m-1", **fields: Any) -> tuple[float, str, dict[str, Any]]:
    """Returns the step of a machine being rented."""
    return 0.0, "machine", {"machine": name, "type": "c8", "zone": "a", **fields}


def on(t: float, task: int = 0, where: str = "m-1") -> tuple[float, str, dict[str, Any]]:
    """Returns the step of a task starting on a machine."""
    return t, "on", {"job": f"job-000001/{task}", "machine": where, "attempt": 1}


def off(
    t: float, task: int = 0, where: str = "m-1", text: str = "done"
) -> tuple[float, str, dict[str, Any]]:
    """Returns the step of a task ending on a machine."""
    return t, "off", {"job": f"job-000001/{task}", "machine": where, "text": text}


BEGIN = (machine(), machine("m-2", zone="b"), submit(1), answer(1.1))

TYPES = [
    MachineType("c8", 8, 64, 1.0, ["a", "b"], 0, 0.3, 2.0),
    MachineType("d8", 8, 64, 1.0, ["a", "b"], 0, 0.3, 2.0),
]
TEAMS = [Team("red", 16, 16), Team("blue", 4, 4)]


def judged(*steps: tuple[float, str, dict[str, Any]], grouped: tuple[str, ...] = ()) -> Verdict:
    """Returns the verdict on a history of a site with machine types and teams."""
    events = [msgspec.convert({"t": t, "kind": kind, **fields}, Event) for t, kind, fields in steps]
    context = RuleContext(TEAMS, CANCEL_S, machine_types=TYPES, replica_classes=grouped)
    return check_history(events, context)


def waiting(*steps: tuple[float, str, dict[str, Any]], **changes: Any) -> list[str]:
    """Returns the jobs that the checker reports as left waiting, after one job is submitted and two
    machines are up."""
    begin = (machine(), up(), machine("m-2", zone="b"), up("m-2"))
    rest = sorted((submit(1, **changes), answer(1.1), *steps, (110, "note", {})), key=time_of)
    violations = judged(*begin, *rest).violations
    return [violation.subject for violation in violations if violation.rule == "left_waiting"]


def time_of(step: tuple[float, str, dict[str, Any]]) -> float:
    """Returns the time of a step."""
    return step[0]


def up(name: str = "m-1", t: float = 0.0) -> tuple[float, str, dict[str, Any]]:
    """Returns the step of a machine being up."""
    return t, "up", {"machine": name}


def full(t: float, until: float = 0.0, where: str = "m-1") -> list[Any]:
    """Returns the steps of another job's task on a whole machine, up to `until` or to the end."""
    job = f"job-0000{where[-1]}0"
    spec = msgspec.to_builtins(submission(job, pieces=1, cpus=8.0))
    on_it = {"job": f"{job}/0", "machine": where}
    steps = [(t, "submit", {"job": job, "spec": spec}), (t, "launch", on_it)]
    return [*steps, (until, "off", on_it)] if until else steps
