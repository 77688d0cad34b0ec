"""Slurm's names of job states, reasons and node states."""

from __future__ import annotations

from badgerseam.wire.explain import Code, QueueLine

STATE_ABBREVIATIONS = {
    "PENDING": "PD",
    "RUNNING": "R",
    "COMPLETED": "CD",
    "CANCELLED": "CA",
    "SUSPENDED": "S",
    "COMPLETING": "CG",
    "FAILED": "F",
    "TIMEOUT": "TO",
    "NODE_FAIL": "NF",
    "PREEMPTED": "PR",
    "OUT_OF_MEMORY": "OOM",
}
"""Job states and their abbreviations, as documented in Slurm's squeue manual. Jobs of the service
use only the first four: a task that fails is retried until its user cancels the job."""

PHASE_STATES = {
    "pending": "PENDING",
    "running": "RUNNING",
    "done": "COMPLETED",
    "withdrawn": "CANCELLED",
}
"""Slurm's job states by the service's job phase."""

REASON_NAMES: dict[Code, str] = {
    "held": "JobHeldUser",
    "begin_time": "BeginTime",
    "dependency": "Dependency",
    "dependency_never": "DependencyNeverSatisfied",
    "singleton": "Dependency",
    "throttle": "JobArrayTaskLimit",
    "team_limit": "AssocGrpCpuLimit",
    "no_machine": "Resources",
    "no_room": "Resources",
    "gang": "Resources",
    "too_large": "Resources",
    "one_zone": "Resources",
    "scatter": "Resources",
    "machine_type": "ReqNodeNotAvail",
    "zone": "ReqNodeNotAvail",
    "ordinary_only": "ReqNodeNotAvail",
    "shunned": "ReqNodeNotAvail",
    "backoff": "JobLaunchFailure",
    "failing": "JobLaunchFailure",
    "recording": "Prolog",
    "launching": "Prolog",
    "fetching": "Prolog",
    "victims_leaving": "Prolog",
    "worker_silent": "Prolog",
    "worker_unconfirmed": "Prolog",
    "next_plan": "None",
    "no_owner": "SystemFailure",
}
"""Slurm's reason names by the reason code of an explanation."""

NODE_STATES = {
    "allocated": "alloc",
    "mixed": "mix",
    "idle": "idle",
    "booting": "boot",
    "drained": "drain",
}
"""Slurm's abbreviated node states by the service's machine state."""


def parse_states(text: str) -> set[str]:
    """Parses a list such as PD,running into full names; ValueError names an unknown state."""
    names = {short: name for name, short in STATE_ABBREVIATIONS.items()}
    states: set[str] = set()
    for part in text.split(","):
        name = part.strip().upper()
        if name == "ALL":
            return set(STATE_ABBREVIATIONS)
        name = names.get(name, name)
        if name not in STATE_ABBREVIATIONS:
            raise ValueError(f"{part!r} is no state; there are {', '.join(STATE_ABBREVIATIONS)}")
        states.add(name)
    return states


def reason_name(line: QueueLine) -> str:
    """Returns Slurm's reason why a job's tasks wait: that of the first code which has one."""
    for code in line.reasons:
        if code in REASON_NAMES:
            return REASON_NAMES[code]
    return "Priority" if line.waiting else "None"
