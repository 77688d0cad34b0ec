"""Ranks the controllers that may take over. All controllers compute the same ranking, from the
records that all of them replicate."""

from __future__ import annotations

from badgerseam.model.model import Model


def candidates_by_load(model: Model, controller_names: list[str]) -> list[str]:
    """Returns the available controllers, the one that owns the fewest shards first, ties in the
    order of `controller_names`."""
    load = {name: 0 for name, seen in model.controllers.items() if not seen.record.unavailable}
    for shard in model.shards:
        if shard.claim is not None and shard.claim.record.node in load:
            load[shard.claim.record.node] += 1
    return sorted(load, key=lambda name: (load[name], controller_names.index(name)))


def candidates_besides(model: Model, controller_names: list[str], node: str) -> list[str]:
    """Returns the available controllers except `node`, the one that owns the fewest shards
    first."""
    return [name for name in candidates_by_load(model, controller_names) if name != node]
