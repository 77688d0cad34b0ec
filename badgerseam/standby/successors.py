"""Who takes over from a controller, and on which lease that controller's claims stand."""

from __future__ import annotations

from badgerseam.cluster.candidates import candidates_besides
from badgerseam.model.model import Model


def successors(model: Model, order: list[str], node: str) -> list[str]:
    """The controllers that take over all that a controller owns, the first in line first.

    It depends on the controllers' own records, the claims and the order of names alone, so that all
    agree without a message: the least busy of those that take shards, which are also the first
    whose turn it is to claim once the controller's claims end.
    """
    return candidates_besides(model, order, node)


def lease_of(model: Model, node: str) -> int | None:
    """The lease of a controller that owns a shard or leads; None if it does neither.

    The lease's number is in the claim: it is that of the very process that took it.
    """
    claims = [shard.claim for shard in model.shards] + [model.leader_claim]
    leases = {
        claim.record.lease for claim in claims if claim is not None and claim.record.node == node
    }
    return max(leases, default=None)
