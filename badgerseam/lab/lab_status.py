"""The state of a running lab in figures, for people and programs."""

from __future__ import annotations

from collections import Counter

from badgerseam.lab.lab import Lab

SHOWN_NOTES = 5


def lab_status(lab: Lab) -> dict[str, object]:
    """The status as plain data, as the control endpoint answers it."""
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
        "broken": _broken(lab),
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
    """How many tasks are on machines, by the phase that their machine reports."""
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


def _broken(lab: Lab) -> list[str]:
    """Links that are broken, and services that are down."""
    broken = [" ".join(link) for link in lab.links.broken_links()]
    if lab.state_service.down:
        broken.append("state service down")
    if lab.cloud_service.down:
        broken.append("cloud down")
    return broken
