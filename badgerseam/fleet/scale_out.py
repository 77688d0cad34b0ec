"""Renting machines, and writing the first record of those that came, asked for or not."""

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

NO_CAPACITY_S = 10.0
MAX_NO_CAPACITY_S = 30.0
SHOWN_S = 0.1
"""Between looks whether the replica shows a request that is known to be durable."""


class ScaleOut:
    """Requests to the cloud that are persisted under unique names before they are sent."""

    def __init__(
        self,
        model: Model,
        member: Membership,
        committer: GroupCommitter,
        roster: MachineRecords,
        cloud: CloudClient,
        spawn: Callable[[Awaitable[object]], None],
        changed: Callable[[], None],
    ) -> None:
        self._model = model
        self._member = member
        self._committer = committer
        self._roster = roster
        self._cloud = cloud
        self._spawn = spawn
        self._changed = changed
        self._clock = model.clock
        self.blocked: dict[Offer, tuple[float, float]] = {}
        """Offers without capacity: until when they are left alone, and the pause."""
        self.in_progress: set[str] = set()
        """Names of the requests that somebody here is seeing to."""
        self.requesting: dict[str, wire.StoredRental] = {}
        """Requests that are not durable yet."""
        self.recording: set[str] = set()
        """Machines whose first record is being written."""
        self._completed: set[str] = set()
        """Requests that were seen to under this leadership."""
        self._serial = 0

    def resume(self) -> None:
        """See to the requests that are durable and that nobody here is seeing to."""
        for name, (hire, _) in list(self._model.rentals.items()):
            if name not in self.in_progress:
                self.in_progress.add(name)
                self._spawn(self.complete_rental(name, hire))

    def _still_leader(self, version: int) -> bool:
        """Whether the leadership is ours under the claim that something was composed on."""
        held = self._model.leader_claim
        return held is not None and held.version == version and self._member.lease is not None

    def request_rental(self, shards: list[int], offer: Offer) -> None:
        held = self._model.leader_claim
        if self._member.lease is None or held is None:
            return
        self._serial += 1
        name = f"{self._prefix()}-{self._serial}"
        hire = wire.StoredRental(
            shards, offer.type, offer.zone, offer.spot, round(self._clock.wall(), 1)
        )
        self.requesting[name] = hire
        self.in_progress.add(name)
        self._spawn(self._persist(name, hire, held.version))

    async def _persist(self, name: str, hire: wire.StoredRental, version: int) -> None:
        model = self._model
        key, value = rental_key(name), wire.raw(hire)
        try:
            revision = await self._committer.commit(
                Urgency.PLACE,
                {LEADER_KEY: version, key: 0},
                [wire.Write(put=key, value=value)],
                # Given up only with the claim, and then it fails: after a spell without the state
                # service the same need was asked for under a second name, and rented twice.
                wanted=lambda: self._still_leader(version),
            )
            with model.lock:
                model.apply(key, value, revision)
        except WRITE_ERRORS as error:
            if isinstance(error, ConditionFailedError) and key in error.failed:
                # Nobody else uses the name, so that an earlier sending was carried out. Not counted
                # until the replica shows it, the same need was asked for under a second name.
                await self._wait_until_followed(name, version)
            if name not in model.rentals:
                log.debug("hire %s not persisted: %r", name, error)
                self.in_progress.discard(name)
                return
        finally:
            self.requesting.pop(name, None)
        await self.complete_rental(name, hire)

    async def _wait_until_followed(self, name: str, version: int) -> None:
        """Return when the replica shows a request that is known to be durable."""
        while name not in self._model.rentals and self._still_leader(version):
            await asyncio.sleep(SHOWN_S)

    async def complete_rental(self, name: str, hire: wire.StoredRental) -> None:
        """Repeat a persisted request until it is answered."""
        offer = Offer(hire.type, hire.zone, hire.spot)
        count = len(hire.shards)
        request = cloud_wire.RentalRequest(name, hire.type, hire.zone, hire.spot, count)
        pause = 0.5
        try:
            while self._member.is_leader:
                if name in self._completed:
                    # Its record was carried out once more, behind its end.
                    names, count = [], 0
                    break
                try:
                    names = await self._cloud.rent(request)
                    break
                except NoCapacityError:
                    names = []
                    break
                except CloudError as error:
                    log.debug("hire %s: %s", name, error)
                    await asyncio.sleep(pause)
                    pause = min(pause * 2, 4.0)
            else:
                return
            log.info(
                "hire %s: %d of %d %s in %s%s for shares %s",
                name,
                len(names),
                count,
                hire.type,
                hire.zone,
                " (spot)" if hire.spot else "",
                " ".join(f"{shard}:{n}" for shard, n in sorted(Counter(hire.shards).items())),
            )
            if len(names) < count:
                self._block(offer, bool(names))
            # Rented at the latest now. By the time of an order that had waited for its write, new
            # machines counted as overdue, and others were rented in their place.
            rented = round(self._clock.wall(), 1)
            rows = [
                wire.StoredMachine(machine, shard, hire.type, hire.zone, hire.spot, "", rented)
                for machine, shard in zip(names, hire.shards, strict=False)
            ]
            while self._member.is_leader:
                # Some may have been adopted already, from a report or the list, or are just being:
                # they must not be recorded twice.
                with self._model.lock:
                    fresh = [r for r in rows if r.name not in self._model.machine_index]
                    ready = self.recording.isdisjoint(r.name for r in fresh)
                    if ready:
                        self.recording.update(r.name for r in fresh)
                if ready and await self._record(fresh, name, name):
                    self._completed.add(name)
                    break
                await asyncio.sleep(0.3)
        finally:
            self.in_progress.discard(name)

    def _block(self, offer: Offer, some: bool) -> None:
        """Leave an offer alone for a while, longer if nothing was to be had again."""
        _, pause = self.blocked.get(offer, (0.0, 0.0))
        pause = NO_CAPACITY_S if some or pause == 0 else min(2 * pause, MAX_NO_CAPACITY_S)
        self.blocked[offer] = (self._clock.now() + pause, pause)

    # ---- records ----

    def adopt_unrecorded(self, rows: list[wire.StoredMachine]) -> None:
        """Take machines that we have no record of, each into the share with the fewest for its
        work."""
        model = self._model
        fresh = [
            row
            for row in rows
            if row.name not in model.removed_machines
            and row.name not in model.machine_index
            and row.name not in self.recording
        ]
        if not fresh or not model.types:
            return
        counts = [
            sum(machine.total.cpus or 1.0 for machine in fleet.values())
            for fleet in model.shard_machines
        ]
        work = [self._work(shard) for shard in range(len(counts))]
        adopted = []
        for row in fresh:
            shard = max(
                range(len(counts)), key=lambda index: (work[index] + 1) / (counts[index] + 1)
            )
            counts[shard] += model.capacity(row.type).cpus or 1.0
            adopted.append(msgspec.structs.replace(row, shard=shard))
            log.info("adopting %s for share %d", row.name, shard)
        self.recording.update(row.name for row in adopted)
        self._serial += 1
        self._spawn(self._record(adopted, None, f"{self._prefix()}-{self._serial}"))

    def _prefix(self) -> str:
        # The lease's number makes the names ones that no other process has used.
        return f"{self._member.node}-{self._member.lease}"

    def _work(self, shard: int) -> float:
        total = 0.0
        for job in self._model.open_jobs[shard].values():
            total += pts.slots_of(job.demand) * (job.waiting() + len(job.attempts))
        for team in self._model.teams:
            if team.shard == shard:
                total += 0.05 * (team.guarantee.cpus + team.guarantee.gpus)
        return total

    async def _record(self, rows: list[wire.StoredMachine], hire: str | None, group: str) -> bool:
        """Write records of machines, and delete the hire that brought them with the last."""
        model = self._model
        most = self._roster.max_rows(rows)
        try:
            for first in range(0, max(len(rows), 1), most):
                part = rows[first : first + most]
                held = model.leader_claim
                if held is None:
                    return False
                conditions, also = {LEADER_KEY: held.version}, []
                if hire is not None:
                    known = model.rentals.get(hire)
                    if known is None:
                        # An earlier sending was carried out.
                        return True
                    # Carried out late, when the machines are gone again, it brought back the
                    # records of machines that are not there: a group that is gone looks as one
                    # that was never written.
                    conditions[rental_key(hire)] = known[1]
                    if first + most >= len(rows):
                        also.append(wire.Write(delete=rental_key(hire)))
                name = group if first == 0 else f"{group}-{first}"
                if part or also:
                    await self._roster.add(
                        name,
                        part,
                        conditions,
                        also,
                        lambda: self._member.is_leader,
                    )
        except WRITE_ERRORS as error:
            log.debug("machines not recorded: %r", error)
            return False
        finally:
            self.recording.difference_update(row.name for row in rows)
            self._changed()
        return True
