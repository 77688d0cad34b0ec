"""An owner's part: giving up machines of its shares, or passing them on."""

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

EMPTY_S = 3.0
"""How long a drained and empty machine may wait to be given up, while changes are scarce."""
NO_SHARD = -1
"""Where a machine is moved that is to be released."""


class MachineTransfer:
    """An owner's part: giving up machines of its shares, or passing them on."""

    def __init__(self, model: Model, roster: MachineRecords, planner: Planner) -> None:
        self._model = model
        self._roster = roster
        self._planner = planner

    async def rewrite(
        self, machines: list[Machine], shard: int, patience_s: float = 0.0
    ) -> set[str]:
        """Write machines of one share anew, on condition that we still own it; those written."""
        if not machines:
            return set()
        owner = self._model.shards[machines[0].shard]
        term = owner.term
        addresses = {machine.name: machine.address for machine in machines}
        versions = {machine.name: machine.version for machine in machines}

        def edit(row: wire.StoredMachine) -> wire.StoredMachine:
            machine = self._model.machine(row.name)
            if machine is None or machine.version != versions[row.name]:
                # It was moved without an answer, and has come back since, perhaps with work on it.
                return row
            if row.shard != owner.index:
                return row
            address = addresses[row.name]
            if shard == NO_SHARD:
                return msgspec.structs.replace(row, dropped=True, address=address)
            return msgspec.structs.replace(row, shard=shard, address=address)

        return await self._roster.change(
            machines,
            edit,
            (claim_key(owner.index), term),
            lambda: owner.owned and owner.term == term,
            patience_s,
        )

    async def release_finished(self) -> None:
        """Have machines released that are lost, or drained and empty."""
        parts: dict[tuple[int, float], list[Machine]] = {}
        with self._model.lock:
            for machine in self.releasable():
                machine.releasing = True
                # Tasks of one that is lost, or does not answer, wait for it to be gone.
                patience_s = 0.0 if machine.lost or machine.given_up else EMPTY_S
                parts.setdefault((machine.shard, patience_s), []).append(machine)

        async def give_up(machines: list[Machine], patience_s: float) -> None:
            try:
                await self.rewrite(machines, NO_SHARD, patience_s)
            finally:
                for machine in machines:
                    machine.releasing = False

        await asyncio.gather(*(give_up(part, key[1]) for key, part in parts.items()))

    async def transfer(self, machines: list[Machine], shard: int, vacate: bool = False) -> set[str]:
        """Pass empty machines of a share on to another, or, to vacate them, have their work
        stopped; the names for which that is done."""
        done: set[str] = set()
        giving = []
        with self._model.lock:
            for machine in machines:
                if machine.shard == shard:
                    # Asked once more by a leader that does not see the move yet. Written anew in
                    # its place it went on draining, and was released.
                    done.add(machine.name)
                elif vacate and shard == NO_SHARD:
                    if not machine.draining and self._movable(machine):
                        log.info("%s is emptied: others have room", machine.name)
                        machine.draining = True
                        done.add(machine.name)
                elif vacate and not machine.draining and self._low_only(machine):
                    log.info("vacating %s for share %d", machine.name, shard)
                    machine.draining = True
                    machine.evacuate_to = shard
                    done.add(machine.name)
                elif self._empty(machine) and not machine.transferring:
                    machine.evacuate_to = None
                    machine.draining = machine.transferring = True
                    giving.append(machine)
        written = await self.rewrite(giving, shard)
        for machine in giving:
            machine.transferring = False
            if machine.name not in written:
                machine.draining = False
        return done | written

    def _low_only(self, machine: Machine) -> bool:
        return self._model.shards[machine.shard].owned and all(
            attempt.job.rank < HIGH_RANK for attempt in machine.attempts.values()
        )

    def _movable(self, machine: Machine) -> bool:
        """Whether only replicas are on it, that have run for long enough to be moved."""
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
        """Machines that have become empty for another share."""
        return [
            (machine, machine.evacuate_to)
            for machine in self._model.machines.values()
            if machine.evacuate_to is not None and not machine.transferring and self._empty(machine)
        ]

    def _empty(self, machine: Machine) -> bool:
        return (
            self._model.shards[machine.shard].owned
            and (not machine.draining or machine.evacuate_to is not None)
            and not machine.dropped
            and (machine.incarnation == 0 or machine.commands_settled)
            and self._planner.is_free_of_work(machine)
        )

    def releasable(self) -> list[Machine]:
        """Machines of owned shares that are to be released: lost, or drained and empty."""
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
