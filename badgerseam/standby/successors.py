"""Determines which controllers take over from a controller, and to which lease its claims are
attached."""

from __future__ import annotations

from badgerseam.cluster.candidates import candidates_besides
from badgerseam.model.model import Model


def successors(model: Model, controller_names: list[str], node: str) -> list[str]:
    """Returns the controllers that may take over everything that a controller owns, the first
    candidate first.

    The ranking depends only on the controllers' records, the claims and the order of the names,
    so that all controllers agree on it without exchanging messages. The available
    controllers that own the fewest shards come first; they are also the first to claim once the
    controller's claims end.
    """
    return candidates_besides(model, controller_names, node)


def lease_of(model: Model, node: str) -> int | None:
    """Returns the lease of a controller that owns a shard or leads; None if it does neither.

    The lease number is taken from the claims, so that it is the lease of the process that took
    them.
    """
    claims = [shard.claim for shard in model.shards] + [model.leader_claim]
    leases = {
        claim.record.lease for claim in claims if claim is not None and claim.record.node == node
    }
    return max(leases, default=None)
