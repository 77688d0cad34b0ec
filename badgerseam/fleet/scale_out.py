"""Rents machines, and creates the records of rented machines and of machines without a record."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Awaitable, Callable

import msgspec

from badgerseam.cluster.membership import Membership
from badgerseam.fleet.cloud import CloudClient, CloudError, NoCapacityError
from badgerseam.fleet.demand import Offer
from badgerseam.model.keys import LEADER_KEY, rental_key
from badgerseam.model.model import Model
from badgerseam.sched import pts
from badgerseam.store.client import ConditionFailedError
from badgerseam.store.committer import GroupCommitter, Urgency
from badgerseam.store.machine_records import WRITE_ERRORS, MachineRecords
from badgerseam.wire import cloud as cloud_wire
from badgerseam.wire import state as wire

log = logging.getLogger("badgerseam.fleet")

BLOCK_S = 10.0
"""Seconds for which an offer without capacity is first blocked."""
MAX_BLOCK_S = 30.0
"""Maximum block; each repeated lack of capacity doubles the block up to this."""
REPLICA_POLL_INTERVAL_S = 0.1
"""Seconds between checks for whether the local replica of the state shows a durable rental."""
MIN_RETRY_INTERVAL_S = 0.5
MAX_RETRY_INTERVAL_S = 4.0
RECORD_RETRY_INTERVAL_S = 0.3
GUARANTEE_WEIGHT = 0.05
"""Weight of a team's guarantee in the load of its shard, relative to waiting and running tasks."""


class ScaleOut:
    """Rents machines; persists each rental under a unique name before sending it to the cloud."""

    def __init__(
        self,
        model: Model,
        membership: Membership,
        committer: GroupCommitter,
        machine_records: MachineRecords,
        cloud: CloudClient,
        spawn: Callable[[Awaitable[object]], None],
        schedule_review: Callable[[], None],
    ) -> None:
        self._model = model
        self._membership = membership
        self._committer = committer
        self._machine_records = machine_records
        self._cloud = cloud
        self._spawn = spawn
        self._schedule_review = schedule_review
        self._clock = model.clock
        self.blocked: dict[Offer, tuple[float, float]] = {}
        """Offers without capacity, with the end and the duration of the block."""
        self.in_progress: set[str] = set()
        """Names of the rentals that this controller is executing."""
        self.requesting: dict[str, wire.StoredRental] = {}
        """Rentals that are not durable yet, by name."""
        self.recording: set[str] = set()
        """Names of machines whose first record is being written."""
        self._completed: set[str] = set()
        """Names of the rentals that this controller has completed."""
        self._sequence_number = 0

    def resume(self) -> None:
        """Starts the durable rentals that are not in progress."""
        for name, (rental, _) in list(self._model.rentals.items()):
            if name not in self.in_progress:
                self.in_progress.add(name)
                self._spawn(self.complete_rental(name, rental))

    def request_rental(self, shards: list[int], offer: Offer) -> None:
        """Starts to rent one machine of an offer for each entry of `shards`."""
        claim = self._model.leader_claim
        if self._membership.lease is None or claim is None:
            return
        name = self._next_name()
        rental = wire.StoredRental(
            shards, offer.type, offer.zone, offer.spot, round(self._clock.wall(), 1)
        )
        self.requesting[name] = rental
        self.in_progress.add(name)
        self._spawn(self._persist(name, rental, claim.version))

    def _next_name(self) -> str:
        self._sequence_number += 1
        # The number of the lease makes the names unique among all processes.
        return f"{self._membership.node}-{self._membership.lease}-{self._sequence_number}"

    def _is_still_leader(self, version: int) -> bool:
        """Whether this controller is still the leader under the claim of that version."""
        claim = self._model.leader_claim
        return claim is not None and claim.version == version and self._membership.lease is not None

    # ---- rentals ----

    async def _persist(self, name: str, rental: wire.StoredRental, version: int) -> None:
        model = self._model
        key, value = rental_key(name), wire.raw(rental)
        try:
            revision = await self._committer.commit(
                Urgency.PLACE,
                {LEADER_KEY: version, key: 0},
                [wire.Write(put=key, value=value)],
                # The write is abandoned only once the claim is lost, and then it cannot succeed. If
                # it were abandoned earlier, for example after an outage of the state service, the
                # demand would be requested again under a second name, and both rentals executed.
                should_send=lambda: self._is_still_leader(version),
            )
            with model.lock:
                model.apply(key, value, revision)
        except WRITE_ERRORS as error:
            if isinstance(error, ConditionFailedError) and key in error.failed:
                # No other process uses the name, so that an earlier attempt of this write was
                # executed. The rental has to count until the replica shows it: otherwise the same
                # demand is requested under a second name.
                await self._wait_until_replicated(name, version)
            if name not in model.rentals:
                log.debug("rental not persisted rental=%s error=%r", name, error)
                self.in_progress.discard(name)
                return
        finally:
            self.requesting.pop(name, None)
        await self.complete_rental(name, rental)

    async def _wait_until_replicated(self, name: str, version: int) -> None:
        """Waits until the local replica of the state shows a durable rental."""
        while name not in self._model.rentals and self._is_still_leader(version):
            await asyncio.sleep(REPLICA_POLL_INTERVAL_S)

    async def complete_rental(self, name: str, rental: wire.StoredRental) -> None:
        """Retries a persisted rental until the cloud responds, and records its machines."""
        try:
            machines = await self._rent(name, rental)
            if machines is None:
                return
            await self._record_rented(name, rental, machines)
        finally:
            self.in_progress.discard(name)

    async def _rent(self, name: str, rental: wire.StoredRental) -> list[str] | None:
        """Returns the names of the rented machines; None if leadership was lost."""
        count = len(rental.shards)
        request = cloud_wire.RentalRequest(name, rental.type, rental.zone, rental.spot, count)
        pause_s = MIN_RETRY_INTERVAL_S
        while self._membership.is_leader:
            if name in self._completed:
                # A delayed write created its record again after the rental was completed.
                self._on_rented(name, rental, [], 0)
                return []
            try:
                machines = await self._cloud.rent(request)
            except NoCapacityError:
                machines = []
            except CloudError as error:
                log.debug("rental request failed rental=%s error=%s", name, error)
                await asyncio.sleep(pause_s)
                pause_s = min(pause_s * 2, MAX_RETRY_INTERVAL_S)
                continue
            self._on_rented(name, rental, machines, count)
            return machines
        return None

    def _on_rented(
        self, name: str, rental: wire.StoredRental, machines: list[str], count: int
    ) -> None:
        """Logs a completed rental request; blocks its offer if the cloud has too few machines."""
        shards = sorted(Counter(rental.shards).items())
        log.info(
            "machines rented rental=%s machines=%d requested=%d type=%s zone=%s spot=%s shards=%s",
            name,
            len(machines),
            count,
            rental.type,
            rental.zone,
            rental.spot,
            ",".join(f"{shard}:{number}" for shard, number in shards),
        )
        if len(machines) < count:
            offer = Offer(rental.type, rental.zone, rental.spot)
            self._block(offer, has_some=bool(machines))

    async def _record_rented(
        self, name: str, rental: wire.StoredRental, machines: list[str]
    ) -> None:
        # The time of the cloud's response, not of the rental record: if the write of the record had
        # been delayed, new machines would count as overdue and replacements would be rented.
        rented_at = round(self._clock.wall(), 1)
        rows = [
            wire.StoredMachine(machine, shard, rental.type, rental.zone, rental.spot, "", rented_at)
            for machine, shard in zip(machines, rental.shards, strict=False)
        ]
        while self._membership.is_leader:
            # Machines that were adopted from a heartbeat or the list, or are being adopted, must
            # not be recorded twice.
            with self._model.lock:
                new = [row for row in rows if row.name not in self._model.machine_index]
                may_record = self.recording.isdisjoint(row.name for row in new)
                if may_record:
                    self.recording.update(row.name for row in new)
            if may_record and await self._record(new, name, name):
                self._completed.add(name)
                return
            await asyncio.sleep(RECORD_RETRY_INTERVAL_S)

    def _block(self, offer: Offer, has_some: bool) -> None:
        """Blocks an offer temporarily; the block doubles while no machine at all is available."""
        _, block_s = self.blocked.get(offer, (0.0, 0.0))
        is_first = has_some or block_s == 0
        block_s = BLOCK_S if is_first else min(2 * block_s, MAX_BLOCK_S)
        self.blocked[offer] = (self._clock.now() + block_s, block_s)

    # ---- records ----

    def adopt_unrecorded(self, rows: list[wire.StoredMachine]) -> None:
        """Creates records for machines without one, in the shards with the highest load per CPU."""
        model = self._model
        new = [
            row
            for row in rows
            if row.name not in model.removed_machines
            and row.name not in model.machine_index
            and row.name not in self.recording
        ]
        if not new or not model.types:
            return
        cpus = [
            sum(machine.total.cpus or 1.0 for machine in machines.values())
            for machines in model.shard_machines
        ]
        loads = [self._shard_load(shard) for shard in range(len(cpus))]
        adopted = []
        for row in new:
            shard = max(range(len(cpus)), key=lambda index: (loads[index] + 1) / (cpus[index] + 1))
            cpus[shard] += model.capacity(row.type).cpus or 1.0
            adopted.append(msgspec.structs.replace(row, shard=shard))
            log.info("adopting machine machine=%s shard=%d", row.name, shard)
        self.recording.update(row.name for row in adopted)
        self._spawn(self._record(adopted, None, self._next_name()))

    def _shard_load(self, shard: int) -> float:
        """Returns the slots of a shard's open tasks plus the weighted guarantees of its teams."""
        total = 0.0
        for job in self._model.open_jobs[shard].values():
            total += pts.slots_of(job.demand) * (job.waiting() + len(job.attempts))
        for team in self._model.teams:
            if team.shard == shard:
                total += GUARANTEE_WEIGHT * (team.guarantee.cpus + team.guarantee.gpus)
        return total

    async def _record(self, rows: list[wire.StoredMachine], rental: str | None, group: str) -> bool:
        """Writes the records of machines, and deletes their rental in the last transaction.

        Returns False if the result is not known to be durable, so that the call must be retried.
        """
        model = self._model
        max_rows = self._machine_records.max_rows(rows)
        try:
            for first in range(0, max(len(rows), 1), max_rows):
                claim = model.leader_claim
                if claim is None:
                    return False
                conditions = {LEADER_KEY: claim.version}
                deletions: list[wire.Write] = []
                if rental is not None:
                    stored = model.rentals.get(rental)
                    if stored is None:
                        # The rental was deleted by an earlier attempt, which was executed.
                        return True
                    # Without this condition, a delayed write could recreate the records of machines
                    # that have been removed since: a deleted group cannot be told from one that was
                    # never written.
                    conditions[rental_key(rental)] = stored[1]
                    if first + max_rows >= len(rows):
                        deletions.append(wire.Write(delete=rental_key(rental)))
                part = rows[first : first + max_rows]
                if part or deletions:
                    await self._machine_records.add(
                        group if first == 0 else f"{group}-{first}",
                        part,
                        conditions,
                        deletions,
                        lambda: self._membership.is_leader,
                    )
        except WRITE_ERRORS as error:
            log.debug("machine records not written rental=%s error=%r", rental, error)
            return False
        finally:
            self.recording.difference_update(row.name for row in rows)
            self._schedule_review()
        return True
