"""Schedules reviews of replicas for times at which a review is needed even if nothing changes."""

from __future__ import annotations

import heapq

from badgerseam.model.job import Job
from badgerseam.replicas.observed_state import MemberObserver
from badgerseam.replicas.phases import Decision, ObservedMembers, ReplicaPhase
from badgerseam.replicas.records import ReplicaState, ReplicatedJob
from badgerseam.replicas.reservations import ReplicaKey

UNRESPONSIVE_REVIEW_INTERVAL_S = 1.0
"""Seconds between reviews of a replica with an unresponsive machine."""
MOVE_REVIEW_INTERVAL_S = 0.1
"""Seconds between reviews of a replica that is being moved; also the shortest delay of any
review."""


class ReviewSchedule:
    """A heap of review times and replicas. An entry is stale if its time is no longer the replica's
    `review_at`."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, ReplicaKey]] = []

    def schedule(self, entry: ReplicatedJob, replica: ReplicaState, review_at: float) -> None:
        """Schedules a review of a replica, unless an earlier one is scheduled."""
        # An earlier review schedules the next one itself.
        if replica.review_at is None or review_at < replica.review_at:
            replica.review_at = review_at
            heapq.heappush(self._heap, (review_at, entry.key(replica.number)))

    def pop_due(self, now: float) -> tuple[float, ReplicaKey] | None:
        """Removes and returns the earliest entry that is due, with its time; None if none is
        due."""
        if not self._heap or self._heap[0][0] > now:
            return None
        return heapq.heappop(self._heap)


def next_review_at(
    job: Job, decision: Decision, observed: ObservedMembers, observer: MemberObserver, now: float
) -> float | None:
    """Returns when to review a replica again after a decision if nothing changes; None: only after
    a change."""
    times = [] if decision.due is None else [decision.due]
    if observed.unresponsive:
        times.append(now + UNRESPONSIVE_REVIEW_INTERVAL_S)
    if decision.intent.phase == ReplicaPhase.MOVING:
        times.append(now + MOVE_REVIEW_INTERVAL_S)
    times += [
        observer.unresponsive_at(job.attempts[task].machine)
        for task in observed.present - observed.unresponsive
    ]
    return max(min(times), now + MOVE_REVIEW_INTERVAL_S) if times else None
