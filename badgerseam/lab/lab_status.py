"""The status of a running lab, as returned by its control endpoint."""

from __future__ import annotations

from collections import Counter

from badgerseam.lab.lab import Lab

SHOWN_NOTES = 5
"""Number of the latest notes that the status contains."""


def lab_status(lab: Lab) -> dict[str, object]:
    """Returns the status as plain data."""
    return {
        "seconds": round(lab.history.now(), 1),
        "controllers": {node: _controller_status(lab, node) for node in lab.controllers},
        "machines": {
            "rented": len(lab.cloud_core.machines),
            "up": len(lab.machines),
            "spent": round(lab.cloud_core.cost(), 4),
        },
        "tasks": _task_counts(lab),
        "users": _load_status(lab),
        "broken": _active_failures(lab),
        "notes": lab.notes[-SHOWN_NOTES:],
    }


def _controller_status(lab: Lab, node: str) -> dict[str, object]:
    controller = lab.controllers[node]
    return {
        "state": controller.state,
        "address": lab.addresses[node],
        "healthy": node in lab.load_balancer.healthy,
        "starts": controller.starts,
        "endedByItself": controller.crashes,
    }


def _task_counts(lab: Lab) -> dict[str, int]:
    """Returns the number of tasks on machines, by the phase that the machine reports."""
    counts: Counter[str] = Counter()
    for machine in lab.machines.values():
        counts.update(machine.core.inspect())
    return dict(counts)


def _load_status(lab: Lab) -> dict[str, object] | None:
    load = lab.load
    if load is None:
        return None
    return {
        "factor": load.factor,
        "submitted": load.submitted,
        "accepted": load.accepted,
        "ended": load.ended,
        "open": load.open,
    }


def _active_failures(lab: Lab) -> list[str]:
    """Returns the broken links and the services that are down."""
    failures = [" ".join(link) for link in lab.links.broken_links()]
    if lab.state_service.down:
        failures.append("state service down")
    if lab.cloud_service.down:
        failures.append("cloud down")
    return failures
