"""Applying machine groups: machines that come, change, move between shards, and go."""

from __future__ import annotations

import msgspec

from badgerseam.model.machine import Machine
from badgerseam.model.placements import Placements
from badgerseam.model.state import MAX_STATE_AGE_S
from badgerseam.wire import state as wire


def apply_group(model: Placements, group: str, value: msgspec.Raw | None, version: int) -> None:
    """Apply a change of a machine group; None is a removal."""
    rows: dict[str, wire.StoredMachine] = {}
    if value is not None:
        rows = {row.name: row for row in wire.machines_decoder.decode(value)}
    _, before = model.groups.pop(group, (0, {}))
    if rows:
        model.groups[group] = (version, rows)
    for name in before.keys() - rows.keys():
        _remove_machine(model, name, group)
    for name, row in rows.items():
        if before.get(name) != row:
            _apply_machine(model, row, group, version)


def adopt(model: Placements, machine: Machine, others_s: float) -> None:
    """Start to act for a machine if its shard is owned; forget what its owner knew if not.

    `others_s`: how long other controllers may go on renewing its lease.
    """
    shard = model.shards[machine.shard]
    # The claim may have passed to another controller, and this machine may have been moved after
    # that: the shard is given up at the next review, and must not use a term as high as the new
    # owner's until then.
    if shard.owned and shard.claim is not None and shard.claim.version == shard.term:
        now = model.clock.now()
        machine.take_over(shard.term, now, now + others_s)
        machine.idle_since = now
        model.shards_to_plan.add(machine.shard)
    else:
        # Otherwise a machine that was passed on would count as draining for ever with its former
        # owner: a leader neither used nor returned such machines.
        machine.reset_owner_state()


def _remove_machine(model: Placements, name: str, group: str) -> None:
    """A machine's row is removed only when it is certainly gone."""
    index = model.machine_index.get(name)
    if index is None or model.machines[index].group != group:
        return
    machine = model.machines.pop(index)
    del model.machine_index[name]
    del model.shard_machines[machine.shard][index]
    model.removed_machines.add(name)
    for attempt in list(machine.attempts.values()):
        if attempt.finishing:
            # The completion was seen; only its record is still to be written.
            attempt.job.detach(attempt)
        else:
            model.unplace(attempt)


def _apply_machine(model: Placements, stored: wire.StoredMachine, group: str, version: int) -> None:
    """Apply a machine's row."""
    index = model.machine_index.get(stored.name)
    if index is None:
        _add_machine(model, stored, group, version)
        return
    machine = model.machines[index]
    if machine.group != group:
        # Recorded twice: the record that came first counts.
        return
    machine.dropped = stored.dropped
    machine.address = stored.address or machine.address
    if machine.shard != stored.shard:
        _move_machine(model, machine, stored.shard, version)


def _add_machine(model: Placements, stored: wire.StoredMachine, group: str, version: int) -> None:
    """Add a machine that was not known."""
    index = model.next_machine
    model.next_machine += 1
    model.machine_index[stored.name] = index
    machine = Machine(
        stored.name,
        index,
        stored.shard,
        group,
        version,
        stored.type,
        stored.zone,
        stored.spot,
        stored.address,
        stored.rented_at,
        model.capacity(stored.type),
    )
    model.machines[index] = machine
    model.shard_machines[machine.shard][index] = machine
    machine.dropped = stored.dropped
    adopt(model, machine, 0.0)


def _move_machine(model: Placements, machine: Machine, shard: int, version: int) -> None:
    """Move a machine to another shard."""
    del model.shard_machines[machine.shard][machine.index]
    model.shard_machines[shard][machine.index] = machine
    machine.shard = shard
    machine.version = version
    # Moved with nothing on it: rows of the shard it left, written before, mean nothing any more.
    # Its new owner must not take them for its own work and launch them.
    for attempt in list(machine.attempts.values()):
        if attempt.job.shard != machine.shard:
            model.unplace(attempt)
    # It may be answered for a moment in place of its former owner, by a peer that has not seen the
    # move.
    adopt(model, machine, MAX_STATE_AGE_S)
