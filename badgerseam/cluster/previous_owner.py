"""How long the owners before a claim may go on answering heartbeats of the shard's workers.

An owner that is cut off from the state service answers its workers until a bound. Each claim
carries the time of day by which all owners before it are past theirs, so that a later process of
the same controller can rely on it.
"""

from __future__ import annotations

from badgerseam.model.model import Model
from badgerseam.model.state import ObservedClaim, Shard

MAX_CLAIM_DELAY_S = 4.0
"""From composing a claim to seeing it: one that took longer was applied late."""


def previous_owner_bound_s(model: Model, shard: Shard, claim: ObservedClaim) -> float | None:
    """How many seconds owners before us may go on answering; None if our claim has been applied so
    late that it tells nothing of them."""
    bound_s = model.partition_bound_s
    until = claim.record.previous_owner_until
    left_s = None if until is None else until - model.clock.wall()
    if shard.previous_owner != model.settings.node:
        if left_s is not None and left_s < bound_s - MAX_CLAIM_DELAY_S:
            # An owner may have come and gone since it was written, which a later process of
            # ours, that relies on the time in it, would not know.
            return None
        return bound_s
    # Ours from an earlier process. It may have owned the shard for a moment only, with the one
    # before it cut off: with that one left out, tasks were placed anew that still ran.
    return bound_s if left_s is None else max(0.0, min(left_s, bound_s))


def previous_owner_until(model: Model, replaced: ObservedClaim | None) -> float:
    """What a claim of ours that replaces another, or none, says of the owners before: until which
    time of day, in seconds since the epoch."""
    if (
        replaced is not None
        and replaced.record.node == model.settings.node
        and replaced.record.previous_owner_until is not None
    ):
        return replaced.record.previous_owner_until
    params = model.settings.params
    # The time of day is read by another process later, and wanders.
    return model.clock.wall() + model.partition_bound_s + 2e-3 * params.time_bound_ms
