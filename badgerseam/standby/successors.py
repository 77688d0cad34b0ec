"""Who stands by for whom: the same answer everywhere, from the records that everybody follows."""

from __future__ import annotations

from badgerseam.model.model import Model


def successors(model: Model, order: list[str], node: str) -> list[str]:
    """The controllers that stand by for a controller, for all that it holds, the first one first.

    Pure in the controllers' own records, the claims and the order of names: the least busy of those
    that take shares, which are also the first whose turn it is once the claims fall.
    """
    load = {
        name: 0
        for name, held in model.controllers.items()
        if name != node and not held.record.unavailable
    }
    for shard in model.shards:
        if shard.claim is not None and shard.claim.record.node in load:
            load[shard.claim.record.node] += 1
    return sorted(load, key=lambda name: (load[name], order.index(name)))


def lease_of(model: Model, node: str) -> int | None:
    """The state lease of a controller that holds a share or the leadership; None if it holds none.

    The lease's number is in the claim: it is that of the very process that took it.
    """
    claims = [shard.claim for shard in model.shards] + [model.leader_claim]
    leases = {held.record.lease for held in claims if held is not None and held.record.node == node}
    return max(leases, default=None)
