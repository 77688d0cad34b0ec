"""Who takes over first: the same answer on each controller, from the records that all follow."""

from __future__ import annotations

from badgerseam.model.model import Model


def candidates_by_load(model: Model, order: list[str]) -> list[str]:
    """The controllers that take shards, the one that owns the fewest first, then by `order`."""
    load = {name: 0 for name, seen in model.controllers.items() if not seen.record.unavailable}
    for shard in model.shards:
        if shard.claim is not None and shard.claim.record.node in load:
            load[shard.claim.record.node] += 1
    return sorted(load, key=lambda name: (load[name], order.index(name)))


def candidates_besides(model: Model, order: list[str], node: str) -> list[str]:
    """The controllers that take shards, least loaded first, without `node`."""
    return [name for name in candidates_by_load(model, order) if name != node]
