"""The owner's part of scale in and of moves: giving up machines, or passing them on."""

from __future__ import annotations

import asyncio
import logging

import msgspec

from badgerseam.fleet.consolidation import SETTLED_S
from badgerseam.model.job import HIGH_RANK, Stage
from badgerseam.model.keys import claim_key
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.model.resources import NOTHING
from badgerseam.sched.planner import Planner
from badgerseam.store.machine_records import MachineRecords
from badgerseam.wire import state as wire

log = logging.getLogger("badgerseam.fleet")

EMPTY_PATIENCE_S = 3.0
"""How long a drained and empty machine may wait to be given up, while writes are scarce."""
NO_SHARD = -1
"""The target of a machine that is to be released."""


class MachineTransfer:
    """Gives up machines of the shards that this controller owns, or passes them on."""

    def __init__(self, model: Model, machine_records: MachineRecords, planner: Planner) -> None:
        self._model = model
        self._machine_records = machine_records
        self._planner = planner

    async def reassign_records(
        self, machines: list[Machine], shard: int, patience_s: float = 0.0
    ) -> set[str]:
        """Move the records of one shard's machines to a shard, if we still own the former one.

        Returns the names for which that is durable. `patience_s`: how long it may take while writes
        are scarce.
        """
        if not machines:
            return set()
        owner = self._model.shards[machines[0].shard]
        term = owner.term
        addresses = {machine.name: machine.address for machine in machines}
        versions = {machine.name: machine.version for machine in machines}

        def edit(row: wire.StoredMachine) -> wire.StoredMachine:
            """The record in its new shard, or as it is if it has changed meanwhile."""
            machine = self._model.machine(row.name)
            if machine is None or machine.version != versions[row.name]:
                # It was moved by an unanswered write, and has come back since, perhaps with work.
                return row
            if row.shard != owner.index:
                return row
            address = addresses[row.name]
            if shard == NO_SHARD:
                return msgspec.structs.replace(row, dropped=True, address=address)
            return msgspec.structs.replace(row, shard=shard, address=address)

        return await self._machine_records.change(
            machines,
            edit,
            (claim_key(owner.index), term),
            lambda: owner.owned and owner.term == term,
            patience_s,
        )

    async def release_finished(self) -> None:
        """Give up machines that are lost, or drained and empty."""
        batches: dict[tuple[int, float], list[Machine]] = {}
        with self._model.lock:
            for machine in self.releasable():
                machine.releasing = True
                # Tasks of a machine that is lost, or does not answer, wait until it is gone.
                patience_s = 0.0 if machine.lost or machine.given_up else EMPTY_PATIENCE_S
                batches.setdefault((machine.shard, patience_s), []).append(machine)

        async def give_up(machines: list[Machine], patience_s: float) -> None:
            """Mark the records of machines of one shard to be released."""
            try:
                await self.reassign_records(machines, NO_SHARD, patience_s)
            finally:
                for machine in machines:
                    machine.releasing = False

        await asyncio.gather(*(give_up(batch, key[1]) for key, batch in batches.items()))

    async def transfer(
        self, machines: list[Machine], shard: int, evacuate: bool = False
    ) -> set[str]:
        """Pass empty machines of a shard on to another, or with `evacuate` have their work stopped.

        Returns the names for which that is done.
        """
        done: set[str] = set()
        passed_on: list[Machine] = []
        with self._model.lock:
            for machine in machines:
                if machine.shard == shard:
                    # Repeated by a leader that has not followed the move yet. Written again in its
                    # place the machine went on draining, and was released.
                    done.add(machine.name)
                elif evacuate and shard == NO_SHARD:
                    if not machine.draining and self._may_consolidate(machine):
                        log.info("machine draining machine=%s reason=consolidation", machine.name)
                        machine.draining = True
                        done.add(machine.name)
                elif evacuate and not machine.draining and self._has_only_low_priority(machine):
                    log.info(
                        "machine draining machine=%s reason=evacuation shard=%d",
                        machine.name,
                        shard,
                    )
                    machine.draining = True
                    machine.evacuate_to = shard
                    done.add(machine.name)
                elif self._may_transfer(machine) and not machine.transferring:
                    machine.evacuate_to = None
                    machine.draining = machine.transferring = True
                    passed_on.append(machine)
        written = await self.reassign_records(passed_on, shard)
        for machine in passed_on:
            machine.transferring = False
            if machine.name not in written:
                machine.draining = False
        return done | written

    def _has_only_low_priority(self, machine: Machine) -> bool:
        """Whether a machine is ours and no high-priority work is on it."""
        return self._model.shards[machine.shard].owned and all(
            attempt.job.rank < HIGH_RANK for attempt in machine.attempts.values()
        )

    def _may_consolidate(self, machine: Machine) -> bool:
        """Whether only services run on a machine, and for long enough to be moved."""
        now = self._model.clock.now()
        return (
            self._model.shards[machine.shard].owned
            and machine.untracked_use == NOTHING
            and machine.reclaim_at is None
            and all(
                attempt.job.is_service
                and attempt.stage == Stage.RUNNING
                and not attempt.stopping
                and now - attempt.started_at > SETTLED_S / 2
                for attempt in machine.attempts.values()
            )
        )

    def evacuated(self) -> list[tuple[Machine, int]]:
        """Machines that have become empty for another shard, with that shard."""
        return [
            (machine, machine.evacuate_to)
            for machine in self._model.machines.values()
            if machine.evacuate_to is not None
            and not machine.transferring
            and self._may_transfer(machine)
        ]

    def _may_transfer(self, machine: Machine) -> bool:
        """Whether a machine is ours and empty, and not to be released."""
        return (
            self._model.shards[machine.shard].owned
            and (not machine.draining or machine.evacuate_to is not None)
            and not machine.dropped
            and (machine.incarnation == 0 or machine.commands_settled)
            and self._planner.is_free_of_work(machine)
        )

    def releasable(self) -> list[Machine]:
        """Machines of owned shards that are to be given up: lost, or drained and empty."""
        model = self._model
        return [
            machine
            for machine in model.machines.values()
            if model.shards[machine.shard].owned
            and not machine.dropped
            and not machine.releasing
            and (
                machine.lost
                or machine.given_up
                or (
                    machine.draining
                    and machine.reclaim_at is None
                    and machine.incarnation > 0
                    and not machine.transferring
                    and machine.evacuate_to is None
                    and self._planner.is_free_of_work(machine)
                )
            )
        ]
