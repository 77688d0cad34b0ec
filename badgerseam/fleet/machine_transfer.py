"""The shard owner's part of scale-in and of moves: releasing or transferring machines."""

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

EMPTY_MAX_DEFER_S = 3.0
"""Seconds for which the release of a drained, empty machine may be deferred while the write rate is
limited."""
NO_SHARD = -1
"""Target of machines that are to be released instead of moved to a shard."""


class MachineTransfer:
    """Releases or transfers machines of the shards that this controller owns."""

    def __init__(self, model: Model, machine_records: MachineRecords, planner: Planner) -> None:
        self._model = model
        self._machine_records = machine_records
        self._planner = planner

    async def reassign_records(
        self, machines: list[Machine], shard: int, max_defer_s: float = 0.0
    ) -> set[str]:
        """Assigns the records of one shard's machines to a shard if this controller still owns the
        former shard.

        With NO_SHARD, marks the records for release. Returns the names whose change is durable.
        `max_defer_s`: seconds for which the write may be deferred while the write rate is limited.
        """
        if not machines:
            return set()
        origin = self._model.shards[machines[0].shard]
        term = origin.term
        addresses = {machine.name: machine.address for machine in machines}
        versions = {machine.name: machine.version for machine in machines}

        def edit(row: wire.StoredMachine) -> wire.StoredMachine:
            """Returns the record in its new shard, or unchanged if it was modified since."""
            machine = self._model.machine(row.name)
            if machine is None or machine.version != versions[row.name]:
                # A write without a response moved the machine, and it has been moved back since,
                # perhaps with work on it.
                return row
            if row.shard != origin.index:
                return row
            address = addresses[row.name]
            if shard == NO_SHARD:
                return msgspec.structs.replace(row, dropped=True, address=address)
            return msgspec.structs.replace(row, shard=shard, address=address)

        return await self._machine_records.change(
            machines,
            edit,
            (claim_key(origin.index), term),
            lambda: origin.owned and origin.term == term,
            max_defer_s,
        )

    async def release_finished(self) -> None:
        """Marks machines for release that are lost, unresponsive, or drained and empty."""
        batches: dict[tuple[int, float], list[Machine]] = {}
        with self._model.lock:
            for machine in self.releasable():
                machine.releasing = True
                # Tasks of a lost or unresponsive machine cannot restart until it is released.
                max_defer_s = 0.0 if machine.lost or machine.given_up else EMPTY_MAX_DEFER_S
                batches.setdefault((machine.shard, max_defer_s), []).append(machine)

        async def mark_for_release(machines: list[Machine], max_defer_s: float) -> None:
            """Marks the records of machines of one shard for release."""
            try:
                await self.reassign_records(machines, NO_SHARD, max_defer_s)
            finally:
                for machine in machines:
                    machine.releasing = False

        await asyncio.gather(*(mark_for_release(batch, key[1]) for key, batch in batches.items()))

    async def transfer(
        self, machines: list[Machine], shard: int, evacuate: bool = False
    ) -> set[str]:
        """Transfers empty machines to another shard; with `evacuate`, first drains them.

        Returns the names of the machines that were transferred or are now draining.
        """
        done: set[str] = set()
        to_transfer: list[Machine] = []
        with self._model.lock:
            for machine in machines:
                if machine.shard == shard:
                    # A leader whose replica does not show the move yet repeats the request. If the
                    # record were written again, the machine would stay draining and be released.
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
                    to_transfer.append(machine)
        written = await self.reassign_records(to_transfer, shard)
        for machine in to_transfer:
            machine.transferring = False
            if machine.name not in written:
                machine.draining = False
        return done | written

    def _has_only_low_priority(self, machine: Machine) -> bool:
        """Whether a machine of an owned shard has no high-priority work."""
        return self._model.shards[machine.shard].owned and all(
            attempt.job.rank < HIGH_RANK for attempt in machine.attempts.values()
        )

    def _may_consolidate(self, machine: Machine) -> bool:
        """Whether only services run on a machine, for long enough to be moved."""
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
        """Returns the machines whose evacuation for another shard is complete, with that shard."""
        return [
            (machine, machine.evacuate_to)
            for machine in self._model.machines.values()
            if machine.evacuate_to is not None
            and not machine.transferring
            and self._may_transfer(machine)
        ]

    def _may_transfer(self, machine: Machine) -> bool:
        """Whether a machine of an owned shard is empty and not to be released."""
        return (
            self._model.shards[machine.shard].owned
            and (not machine.draining or machine.evacuate_to is not None)
            and not machine.dropped
            and (machine.incarnation == 0 or machine.commands_settled)
            and self._planner.is_free_of_work(machine)
        )

    def releasable(self) -> list[Machine]:
        """Returns machines of owned shards to release: lost, unresponsive, or drained and empty."""
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
