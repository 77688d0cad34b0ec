"""What operators see of a group commit: waits by urgency, and proposals that wait too long."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from dataclasses import dataclass

from badgerseam.clock import Clock
from badgerseam.store.proposal import Proposal, Urgency

log = logging.getLogger("badgerseam.store")

OVERDUE_S = 10.0
"""Time after which a queued proposal is logged."""
MAX_KEYS_LOGGED = 5


@dataclass(slots=True)
class WaitStats:
    """Counts of committed proposals and their times from proposal to response."""

    count: int = 0
    writes: int = 0
    total_s: float = 0.0
    max_s: float = 0.0

    def add(self, writes: int, wait_s: float) -> None:
        """Counts one committed proposal."""
        self.count += 1
        self.writes += writes
        self.total_s += wait_s
        self.max_s = max(self.max_s, wait_s)


class CommitStatistics:
    """Collects the waits since the previous report."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._waits = {urgency: WaitStats() for urgency in Urgency}

    def add(self, proposal: Proposal) -> None:
        """Counts a proposal that has just been committed."""
        wait_s = self._clock.now() - proposal.proposed_at
        self._waits[proposal.urgency].add(len(proposal.writes), wait_s)

    def report(self, queued: int, oldest: Proposal | None) -> str:
        """Formats the writes and wait times of each urgency since the previous report, and the age
        of the oldest queued proposal."""
        parts = [
            f"{(name := urgency.name.lower())}_writes={stats.writes} "
            f"{name}_mean_wait_s={stats.total_s / stats.count:.2f} "
            f"{name}_max_wait_s={stats.max_s:.2f}"
            for urgency, stats in self._waits.items()
            if stats.count
        ]
        self._waits = {urgency: WaitStats() for urgency in Urgency}
        age_s = 0.0 if oldest is None else self._clock.now() - oldest.proposed_at
        return " ".join([*parts, f"queued={queued}", f"oldest_s={age_s:.1f}"])

    def log_overdue(self, oldest: Proposal, obstacle: str) -> None:
        """Logs the oldest queued proposal if it waits longer than expected.

        `obstacle`: what it waits for.
        """
        age_s = self._clock.now() - oldest.proposed_at
        if age_s >= OVERDUE_S:
            log.warning(
                "proposal overdue urgency=%s age_s=%.1f keys=%s waits_for=%s",
                oldest.urgency.name.lower(),
                age_s,
                ",".join(sorted(oldest.keys)[:MAX_KEYS_LOGGED]),
                obstacle,
            )


def oldest_of(proposals: Iterable[Proposal]) -> Proposal | None:
    """Returns the proposal that was made first of those that are neither sent nor done, or None."""
    waiting = (p for p in proposals if not p.is_sent and not p.future.done())
    return min(waiting, key=lambda proposal: proposal.proposed_at, default=None)
