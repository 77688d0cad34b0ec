"""Applies changes of machine groups: added, changed, moved and removed machines."""

from __future__ import annotations

import msgspec

from badgerseam.levels.table import Behaviour
from badgerseam.model.machine import Machine
from badgerseam.model.placements import Placements
from badgerseam.model.state import MAX_STATE_AGE_S
from badgerseam.wire import state as wire

SPLIT_SEPARATOR = "~"
"""Separates the name of a group that was split from the version and number of the part."""


def apply_group(model: Placements, group: str, value: msgspec.Raw | None, version: int) -> None:
    """Applies a change of a machine group; None is a removal."""
    rows: dict[str, wire.StoredMachine] = {}
    if value is not None:
        rows = {row.name: row for row in wire.machines_decoder.decode(value)}
    _, before = model.groups.pop(group, (0, {}))
    model.group_bytes.pop(group, None)
    if value is not None and rows:
        model.groups[group] = (version, rows)
        model.group_bytes[group] = len(memoryview(value))
    for name in before.keys() - rows.keys():
        _remove_machine(model, name, group)
    for name, row in rows.items():
        if before.get(name) != row:
            _apply_machine(model, row, group, version)


def apply_shard_ownership(model: Placements, machine: Machine, others_renew_s: float) -> None:
    """Starts to act as a machine's owner if its shard is owned; otherwise resets its owner state.

    `others_renew_s`: seconds for which other controllers may continue to renew its lease.
    """
    shard = model.shards[machine.shard]
    # The claim may have passed to another controller, and the machine may have been moved after
    # that. This controller releases the shard at its next review of claims; until then it must not
    # use a term as high as the new owner's.
    if shard.owned and shard.claim is not None and shard.claim.version == shard.term:
        now = model.clock.now()
        machine.take_over(shard.term, now, now + others_renew_s)
        machine.idle_since = now
        model.shards_to_plan.add(machine.shard)
    else:
        # Without the reset, a machine that was moved would count as draining forever on its former
        # owner. If that controller is the leader, it would neither use nor release the machine.
        machine.reset_owner_state()


def _remove_machine(model: Placements, name: str, group: str) -> None:
    """Removes a machine and its attempts from the model, since its row is no longer in the group.

    The leader deletes a machine's row only after the cloud has confirmed the machine's release. The
    machine has then certainly ended, and its tasks can be placed elsewhere.
    """
    index = model.machine_index.get(name)
    if index is None or model.machines[index].group != group:
        return
    copy = _copy_of(model, name, group)
    if copy is not None:
        # The group was split. The machine itself has not changed.
        machine = model.machines[index]
        machine.group = copy
        version, rows = model.groups[copy]
        _apply_machine(model, rows[name], copy, version)
        return
    machine = model.machines.pop(index)
    del model.machine_index[name]
    del model.shard_machines[machine.shard][index]
    model.removed_machines.add(name)
    for attempt in list(machine.attempts.values()):
        if attempt.finishing:
            # The completion was seen and only its record is still to be written.
            attempt.job.detach(attempt)
        else:
            model.unplace(attempt)


def is_split_from(group: str, origin: str) -> bool:
    """Whether a group contains machines that were copied from another one to split it."""
    parent, separator, _ = group.rpartition(SPLIT_SEPARATOR)
    return bool(separator) and parent == origin


def split_name(group: str, version: int, number: int) -> str:
    """Returns the name of the group that contains one part of another group.

    `version`: that of the group which is split, so that a later split does not use the name again.
    """
    return f"{group}{SPLIT_SEPARATOR}{version}-{number}"


def _copy_of(model: Placements, name: str, group: str) -> str | None:
    """Returns the group to which a machine was copied when its group was split, or None."""
    if not model.is_active(Behaviour.SMALL_VALUES):
        return None
    copies = (
        other
        for other, (_, rows) in model.groups.items()
        if name in rows and is_split_from(other, group)
    )
    return next(copies, None)


def _apply_machine(model: Placements, stored: wire.StoredMachine, group: str, version: int) -> None:
    """Applies the row of a machine."""
    index = model.machine_index.get(stored.name)
    if index is None:
        _add_machine(model, stored, group, version)
        return
    machine = model.machines[index]
    if machine.group != group:
        # The machine is recorded in two groups: the first record takes precedence.
        return
    machine.dropped = stored.dropped
    machine.address = stored.address or machine.address
    if machine.shard != stored.shard:
        _move_machine(model, machine, stored.shard, version)


def _add_machine(model: Placements, stored: wire.StoredMachine, group: str, version: int) -> None:
    """Adds a machine that is not in the model yet."""
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
    apply_shard_ownership(model, machine, 0.0)


def _move_machine(model: Placements, machine: Machine, shard: int, version: int) -> None:
    """Moves a machine to another shard."""
    del model.shard_machines[machine.shard][machine.index]
    model.shard_machines[shard][machine.index] = machine
    machine.shard = shard
    machine.version = version
    # Machines are only moved when they are empty, so task rows that the former shard wrote for this
    # machine are obsolete. The new owner must not treat them as its own attempts and launch them.
    for attempt in list(machine.attempts.values()):
        if attempt.job.shard != machine.shard:
            model.unplace(attempt)
    # A peer that acts as a proxy for the former owner and has not seen the move yet may still
    # answer the machine's heartbeats for this long.
    apply_shard_ownership(model, machine, MAX_STATE_AGE_S)
