"""The failure detector's state for one peer."""

from __future__ import annotations

from dataclasses import dataclass, field

MIN_COOLDOWN_S, MAX_COOLDOWN_S = 5.0, 60.0
"""Minimum and maximum seconds for which a peer that refuses connections, but has proved that it is
running, is not suspected again: a packet filter may stay in place for long, and each liveness
request costs two changes in the state service. The cooldown doubles each time."""


@dataclass(slots=True)
class Suspicion:
    """The suspicion that a peer has ended."""

    lease: int
    """The peer's lease when it was first suspected."""
    suspected_at: float
    record_version: int
    """The version of the peer's controller record when it was first suspected; 0: it had none."""
    is_confirmed: bool = False
    """Whether another peer or the suspected peer's workers have confirmed the suspicion."""
    is_asking: bool = False
    asked_at: float = -1e9
    request_version: int = 0
    """The version of this controller's record before it named the peer; 0: it need not name the
    peer yet."""
    request_shown_at: float | None = None
    """When this controller's replica showed its own record with the peer's name; from then on the
    peer can have read it as well."""
    is_revoking: bool = False


@dataclass(slots=True)
class PeerState:
    """The results of probing a peer. Times are in seconds of the monotonic clock."""

    next_probe_at: float = 0.0
    is_probing: bool = False
    refusals: int = 0
    """Connections refused or reset in a row."""
    first_refused_at: float = 0.0
    process: str = ""
    """The name of the process that responded last; empty before the first response."""
    update_number: int = 0
    """The number of the latest update received."""
    suspicion: Suspicion | None = None
    redirected_workers: set[str] = field(default_factory=set)
    """The peer's workers that have sent heartbeats to this controller since the first refusal."""
    next_cooldown_s: float = MIN_COOLDOWN_S
    """Seconds for which the peer is not suspected after its next proof that it is running."""
    cooldown_until: float = -1e9
    revoked_process: str | None = None
    """The process whose lease was revoked, until the peer responds again."""
    revocations: int = 0
    backoff_s: float = 0.0
    """Seconds for which the peer is not suspected after its lease was revoked needlessly."""
    retry_after: float = -1e9
