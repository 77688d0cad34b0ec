"""Releasing machines: one call for as many as have gathered, and then their records."""

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

EMPTY_S = 10.0
"""How long the row of an empty machine may outlast it, while changes are scarce."""
MAX_RELEASED = 100
"""The protocol's limit of names in one call."""


class ScaleIn:
    """Gives machines back to the cloud, while this controller leads."""

    def __init__(
        self,
        model: Model,
        member: Membership,
        roster: MachineRecords,
        cloud: CloudClient,
        spawn: Callable[[Awaitable[object]], None],
        changed: Callable[[], None],
    ) -> None:
        self._model = model
        self._member = member
        self._roster = roster
        self._cloud = cloud
        self._spawn = spawn
        self._changed = changed
        self.in_progress: set[str] = set()
        """Machines that are being released."""
        self._to_release: list[str] = []
        self._runs = False

    def release(self, names: list[str]) -> None:
        """Release machines, as many with one call as have gathered since the last one."""
        fresh = [name for name in names if name not in self.in_progress]
        if not fresh:
            return
        self.in_progress.update(fresh)
        self._to_release += fresh
        if not self._runs:
            self._runs = True
            self._spawn(self._release_gathered())

    async def _release_gathered(self) -> None:
        try:
            while self._to_release:
                await self._cloud.wait_for_budget()
                names = self._to_release[:MAX_RELEASED]
                del self._to_release[:MAX_RELEASED]
                await self._delete_machines(names)
        finally:
            self._runs = False

    async def _delete_machines(self, names: list[str]) -> None:
        try:
            await self._cloud.release(names)
        except CloudError as error:
            log.debug("release: %s", error)
            await asyncio.sleep(0.5)
            self.in_progress.difference_update(names)
            return
        log.info("released %s", " ".join(names))
        with self._model.lock:
            machines = [m for m in map(self._model.machine, names) if m is not None]
        # Tasks that were on a machine go elsewhere when its row is gone. An empty one's row is only
        # in the way.
        self._spawn(self._remove_records([m for m in machines if m.attempts], 0.0))
        self._spawn(self._remove_records([m for m in machines if not m.attempts], EMPTY_S))
        self.in_progress.difference_update(set(names) - {m.name for m in machines})

    async def _remove_records(self, machines: list[Machine], patience_s: float) -> None:
        held = self._model.leader_claim
        try:
            if held is not None and machines:
                await self._roster.change(
                    machines,
                    lambda row: None,
                    (LEADER_KEY, held.version),
                    lambda: self._member.is_leader,
                    patience_s,
                )
                self._changed()
        finally:
            self.in_progress.difference_update(m.name for m in machines)
