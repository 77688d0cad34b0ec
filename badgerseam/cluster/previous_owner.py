"""Bounds how long previous owners of a shard may still answer heartbeats of its workers.

An owner that is cut off from the state service answers its workers until the partition bound. Each
claim stores the wall-clock time by which all previous owners are past their bounds, so that a later
process of the same controller can rely on it.
"""

from __future__ import annotations

from badgerseam.model.model import Model
from badgerseam.model.state import ObservedClaim, Shard

MAX_CLAIM_DELAY_S = 4.0
"""Maximum seconds from building a claim until the replica shows it; a claim that took longer was
applied late."""


def previous_owner_bound_s(model: Model, shard: Shard, claim: ObservedClaim) -> float | None:
    """Returns for how many seconds previous owners may still answer heartbeats; None if the claim
    was applied so late that its bound cannot be relied on."""
    bound_s = model.partition_bound_s
    until = claim.record.previous_owner_until
    left_s = None if until is None else until - model.clock.wall()
    if shard.previous_owner != model.settings.node:
        if left_s is not None and left_s < bound_s - MAX_CLAIM_DELAY_S:
            # Another owner may have claimed and lost the shard since this claim was written. A
            # later process of this controller, which relies on the stored time, would not allow for
            # it.
            return None
        return bound_s
    # The previous owner is an earlier process of this controller. It may have owned the shard only
    # briefly, while the owner before it was cut off. Without the stored bound that owner would be
    # ignored, and tasks that its workers still run would be placed again.
    return bound_s if left_s is None else max(0.0, min(left_s, bound_s))


def previous_owner_until(model: Model, replaced: ObservedClaim | None) -> float:
    """Returns the wall-clock time, in seconds since the epoch, that this controller's next claim
    stores as the bound on previous owners; `replaced` is the claim that it replaces, or None."""
    if (
        replaced is not None
        and replaced.record.node == model.settings.node
        and replaced.record.previous_owner_until is not None
    ):
        return replaced.record.previous_owner_until
    params = model.settings.params
    # Another process compares this with its wall clock later, and wall clocks drift.
    return model.clock.wall() + model.partition_bound_s + 2e-3 * params.time_bound_ms
