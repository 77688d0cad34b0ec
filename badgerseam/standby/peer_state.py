"""What the failure detector knows of one peer."""

from __future__ import annotations

from dataclasses import dataclass, field

MIN_REST_S, MAX_REST_S = 5.0, 60.0
"""After a sign of life of a peer that refuses us, in seconds: a filter may stay for long, and each
request for a sign of life costs two changes in the state service. Doubled each time."""


@dataclass(slots=True)
class Suspicion:
    """A peer under suspicion of having ended."""

    lease: int
    """Of the peer when it came under suspicion."""
    opened_at: float
    record_version: int
    """Of the peer's own record when it came under suspicion; 0: none."""
    is_confirmed: bool = False
    """Whether another peer or the owner's workers have confirmed it."""
    is_asking: bool = False
    asked_at: float = -1e9
    request_version: int = 0
    """The version of our own record before it named the peer; 0: it is not to name it yet."""
    shown_at: float | None = None
    """When our replica showed our record with the peer's name, which the peer can have read as well
    by then."""
    is_revoking: bool = False


@dataclass(slots=True)
class PeerState:
    """What probing a peer has shown. Times are in seconds of the steady clock."""

    next_probe_at: float = 0.0
    is_probing: bool = False
    refusals: int = 0
    """Connections refused or reset in a row."""
    first_refused_at: float = 0.0
    process: str = ""
    """The name of the process that answered last; empty before the first answer."""
    number: int = 0
    """Of the latest update that has come."""
    suspicion: Suspicion | None = None
    redirected_workers: set[str] = field(default_factory=set)
    """The peer's workers that came to us since the first refusal."""
    next_rest_s: float = MIN_REST_S
    """How long the peer is left alone after its next sign of life."""
    rests_until: float = -1e9
    revoked_process: str | None = None
    """The process whose lease was revoked, until the peer answers again."""
    revocations: int = 0
    backoff_s: float = 0.0
    """How long the peer is left alone after a lease that was revoked needlessly."""
    retry_after: float = -1e9
