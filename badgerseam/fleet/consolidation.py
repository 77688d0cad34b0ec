"""Selects a machine to drain because others have capacity for the services on it.

When replicas end, the remaining ones are spread over partly used machines, each of which is charged
in full.
"""

from __future__ import annotations

from collections.abc import Callable

from badgerseam.model.resources import Resources
from badgerseam.sched import pts

SETTLED_S = 60.0
"""Seconds for which replicas must have run before they are moved, to avoid early restarts."""
MAX_CANDIDATES = 4
"""Maximum number of machines examined per shard."""
MIN_IDLE_FRACTION = 0.5
"""Minimum fraction of a machine's slots that must be idle for its work to be moved."""

RequestOf = Callable[[int], pts.Request | None]
"""Returns the request for one task of a job, given the job's index; None if the job is gone."""


def machine_to_empty(
    nodes: list[pts.MachineSnapshot],
    free: dict[int, Resources],
    now: float,
    request_of: RequestOf,
) -> pts.MachineSnapshot | None:
    """Returns the least used machine whose tasks are all replicas that fit on other machines.

    `free`: the capacity that the reserves leave free, by machine. Only machines that already have
    the image are targets, so that a move is quick. Returns None if there is no such machine.
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
        # The members of a replica that spans machines can only be moved together.
        and all(task.group is None for task in node.running)
        and all(task.is_service and now - task.placed_at > SETTLED_S for task in node.running)
    )


def _can_move_all(
    node: pts.MachineSnapshot,
    targets: list[pts.MachineSnapshot],
    free: dict[int, Resources],
    request_of: RequestOf,
) -> bool:
    """Whether all tasks of a machine fit on the targets. Deducts those that fit from `free`."""
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
