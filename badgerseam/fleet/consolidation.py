"""Which machine is emptied because others have capacity for the services on it.

As replicas leave, the rest are scattered over machines that are paid for whole.
"""

from __future__ import annotations

from collections.abc import Callable

from badgerseam.model.resources import Resources
from badgerseam.sched import pts

SETTLED_S = 60.0
"""How long replicas have run before they are moved, so that no start is undone soon."""
MAX_CANDIDATES = 4
"""Machines that are examined for each shard."""
MIN_IDLE_FRACTION = 0.5
"""Part of a machine's slots that is idle before its work is moved."""

RequestOf = Callable[[int], pts.Request | None]
"""The request for a task of a job by its index; None if the job is gone."""


def machine_to_empty(
    nodes: list[pts.MachineSnapshot],
    free: dict[int, Resources],
    now: float,
    request_of: RequestOf,
) -> pts.MachineSnapshot | None:
    """The machine with the least on it, if that is replicas only and others have capacity for them.

    `free` is what the reserve leaves over, by machine. Only machines that have the image count, so
    that a move takes a moment.
    """
    busy = [node for node in nodes if node.running and node.index in free]
    candidates = sorted(
        (node for node in busy if _is_movable(node, now)),
        key=lambda node: node.slots - node.idle_slots,
    )
    for node in candidates[:MAX_CANDIDATES]:
        used = node.slots - node.idle_slots
        targets = [
            other
            for other in busy
            if other is not node and other.slots - other.idle_slots >= used and not other.spot
        ]
        targets.sort(key=lambda other: other.idle_slots)
        if _can_move_all(node, targets, dict(free), request_of):
            return node
    return None


def _is_movable(node: pts.MachineSnapshot, now: float) -> bool:
    return (
        node.idle_slots >= MIN_IDLE_FRACTION * node.slots
        # A member of a replica that spans machines leaves with all others or not at all.
        and all(task.group is None for task in node.running)
        and all(task.is_service and now - task.placed_at > SETTLED_S for task in node.running)
    )


def _can_move_all(
    node: pts.MachineSnapshot,
    targets: list[pts.MachineSnapshot],
    free: dict[int, Resources],
    request_of: RequestOf,
) -> bool:
    """Whether all tasks on a machine fit on the targets; `free` is used up by them."""
    zones_by_job: dict[int, dict[str, int]] = {}
    for task in node.running:
        job = task.key[0]
        request = request_of(job)
        if request is None:
            return False
        zones = zones_by_job.setdefault(job, dict(request.zone_counts))
        zones[node.zone] = zones.get(node.zone, 1) - 1
        for other in targets:
            if (
                task.demand.fits_in(free[other.index])
                and request.image in other.images
                and pts.job_rules_allow(request, other, zones)
            ):
                free[other.index] = free[other.index].minus(task.demand)
                zones[other.zone] = zones.get(other.zone, 0) + 1
                break
        else:
            return False
    return True
