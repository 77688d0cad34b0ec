"""Ranking of machines for a task: the paper's scores, and the estimated start time."""

from __future__ import annotations

from badgerseam.sched.snapshot import MachineSnapshot, Request

FETCH_FACTORS = (1.5, 1.0)
"""Factors on the stated duration of an image fetch: the upper bound, and the expected duration."""
GRADES = len(FETCH_FACTORS) + 1
"""Number of values of `start_grade`."""
START_S = 0.3
"""Seconds that a task takes to start, without the fetch of its image."""
MIN_FETCH_GB_PER_S = 1e-3
"""Lower bound on stated fetch rates, which avoids a division by zero."""


def machine_score(node: MachineSnapshot, request: Request) -> tuple[float, ...]:
    """Returns Scores 1 to 3 of the paper, negated: the machine with the lowest score is the
    best."""
    slots = node.slots or 1.0
    return (
        node.idle_slots / slots,
        -(node.high_slots if request.high else node.low_slots) / slots,
        float(-node.evictions if request.high else node.evictions),
        # The paper does not specify this tie-break: prefer a machine that has the image.
        0.0 if request.image in node.images else 1.0,
    )


def fetch_s(request: Request, node: MachineSnapshot) -> float:
    """Returns the stated duration of the image fetch in seconds; 0 if the machine has the image."""
    if request.image in node.images:
        return 0.0
    return request.image_gb / max(node.fetch_gb_per_s, MIN_FETCH_GB_PER_S)


def start_grade(request: Request, node: MachineSnapshot) -> int:
    """Grades whether a task would start within the request's `wait_s`: 0 certainly, 1 probably, 2
    probably not."""
    if request.wait_s is None or request.image in node.images:
        return 0
    # Fetches take up to a third more or less time than stated.
    stated_s = fetch_s(request, node)
    for grade, factor in enumerate(FETCH_FACTORS):
        if factor * stated_s + START_S <= request.wait_s:
            return grade
    return len(FETCH_FACTORS)
