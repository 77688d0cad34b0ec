"""How well a machine suits a task: the paper's scores, and how soon the task would start there."""

from __future__ import annotations

from badgerseam.sched.snapshot import MachineSnapshot, Request

FETCH_FACTORS = (1.5, 1.0)
"""How many times the stated duration a fetch takes: surely at most, and likely."""
GRADES = len(FETCH_FACTORS) + 1
"""Number of values of `start_grade`."""
START_S = 0.3
"""Duration of a start besides the fetch of its image."""
MIN_FETCH_GB_PER_S = 1e-3


def machine_score(node: MachineSnapshot, request: Request) -> tuple[float, ...]:
    """Scores 1 to 3 of the paper, negated: the machine of the least score is the best."""
    slots = node.slots or 1.0
    return (
        node.idle_slots / slots,
        -(node.high_slots if request.high else node.low_slots) / slots,
        float(-node.evictions if request.high else node.evictions),
        # Left open by the paper: prefer a machine that has the image.
        0.0 if request.image in node.images else 1.0,
    )


def fetch_s(request: Request, node: MachineSnapshot) -> float:
    """The stated duration of the image's fetch to a machine; 0 if it is there."""
    if request.image in node.images:
        return 0.0
    return request.image_gb / max(node.fetch_gb_per_s, MIN_FETCH_GB_PER_S)


def start_grade(request: Request, node: MachineSnapshot) -> int:
    """How surely a task would start within the request's `wait_s`: 0 surely, 1 likely, 2 not."""
    if request.wait_s is None or request.image in node.images:
        return 0
    # Fetches are up to a third slower or faster than stated.
    stated_s = fetch_s(request, node)
    for grade, factor in enumerate(FETCH_FACTORS):
        if factor * stated_s + START_S <= request.wait_s:
            return grade
    return len(FETCH_FACTORS)
