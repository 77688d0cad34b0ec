"""Logging of proposals that exceed a limit, or that the state service has rejected."""

from __future__ import annotations

import logging

from badgerseam.clock import Clock
from badgerseam.log_limiter import LogLimiter
from badgerseam.store.limits import LimitViolation, TransactionLimits, TransactionSize

log = logging.getLogger("badgerseam.store")

LOG_INTERVAL_S = 10.0
"""Minimum time between two lines about keys of the same kind."""
KIND_PARTS = 2
"""Number of leading parts of a key that name its kind, as in `bs/p` of `bs/p/0/3`."""


class RejectionLog:
    """Logs at most one line per kind of key and interval, with the number of lines left out."""

    def __init__(self, clock: Clock) -> None:
        self._limiter = LogLimiter(clock, LOG_INTERVAL_S)

    def add_violation(self, violation: LimitViolation) -> None:
        """Logs a proposal that was not sent."""
        kind = _kind(violation.key)
        if self._limiter.may_log(kind):
            log.error("proposal too large %s%s", violation, self._limiter.left_out(kind))

    def add_rejection(self, size: TransactionSize, limits: TransactionLimits, reason: str) -> None:
        """Logs a proposal that the state service has rejected under these limits."""
        key = size.largest_key
        kind = _kind(key)
        if not self._limiter.may_log(kind):
            return
        log.error(
            "proposal rejected as malformed key=%s value_bytes=%d limit=%d writes=%d limit=%d "
            "conditions=%d transaction_bytes=%d reason=%r%s",
            key,
            size.value_bytes,
            limits.value_bytes,
            size.writes,
            limits.writes,
            size.conditions,
            size.transaction_bytes,
            reason,
            self._limiter.left_out(kind),
        )


def _kind(key: str) -> str:
    return "/".join(key.split("/")[:KIND_PARTS])
