"""Releases machines to the cloud and deletes their records."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from badgerseam.cluster.membership import Membership
from badgerseam.fleet.cloud import CloudClient, CloudError
from badgerseam.model.keys import LEADER_KEY
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.store.machine_records import MachineRecords

log = logging.getLogger("badgerseam.fleet")

EMPTY_RECORD_MAX_DEFER_S = 10.0
"""Seconds for which deleting the record of an empty machine may be deferred while the write rate is
limited."""
RETRY_INTERVAL_S = 0.5
"""Seconds after a failed request before its machines may be released again."""
MAX_MACHINES_PER_RELEASE = 100
"""Maximum number of machines in one release request, set by the cloud's protocol."""


class ScaleIn:
    """Releases machines to the cloud while this controller is the leader."""

    def __init__(
        self,
        model: Model,
        membership: Membership,
        machine_records: MachineRecords,
        cloud: CloudClient,
        spawn: Callable[[Awaitable[object]], None],
        schedule_review: Callable[[], None],
    ) -> None:
        self._model = model
        self._membership = membership
        self._machine_records = machine_records
        self._cloud = cloud
        self._spawn = spawn
        self._schedule_review = schedule_review
        self.in_progress: set[str] = set()
        """Names of machines that are being released."""
        self._queue: list[str] = []
        self._is_running = False

    def release(self, names: list[str]) -> None:
        """Queues machines for release; one request covers those queued since the previous one."""
        new = [name for name in names if name not in self.in_progress]
        if not new:
            return
        self.in_progress.update(new)
        self._queue += new
        if not self._is_running:
            self._is_running = True
            self._spawn(self._release_queued())

    async def _release_queued(self) -> None:
        try:
            while self._queue:
                await self._cloud.wait_for_budget()
                names = self._queue[:MAX_MACHINES_PER_RELEASE]
                del self._queue[:MAX_MACHINES_PER_RELEASE]
                await self._release(names)
        finally:
            self._is_running = False

    async def _release(self, names: list[str]) -> None:
        try:
            await self._cloud.release(names)
        except CloudError as error:
            log.debug("machine release failed error=%s", error)
            await asyncio.sleep(RETRY_INTERVAL_S)
            self.in_progress.difference_update(names)
            return
        log.info("machines released machines=%s", ",".join(names))
        with self._model.lock:
            machines = [m for m in map(self._model.machine, names) if m is not None]
        # Tasks of a machine start elsewhere once its record is deleted, so that records of busy
        # machines are deleted first. The records of empty machines can wait.
        busy = [machine for machine in machines if machine.attempts]
        empty = [machine for machine in machines if not machine.attempts]
        self._spawn(self._delete_records(busy, 0.0))
        self._spawn(self._delete_records(empty, EMPTY_RECORD_MAX_DEFER_S))
        self.in_progress.difference_update(set(names) - {m.name for m in machines})

    async def _delete_records(self, machines: list[Machine], max_defer_s: float) -> None:
        claim = self._model.leader_claim
        try:
            if claim is not None and machines:
                await self._machine_records.change(
                    machines,
                    lambda _: None,
                    (LEADER_KEY, claim.version),
                    lambda: self._membership.is_leader,
                    max_defer_s,
                )
                self._schedule_review()
        finally:
            self.in_progress.difference_update(m.name for m in machines)
