"""Releasing machines: one call for as many as have gathered, and then their records."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from badgerseam.cluster.membership import Member
from badgerseam.fleet.cloud import Cloud, CloudTrouble
from badgerseam.model.keys import LEADER_KEY
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.store.machine_records import Roster

log = logging.getLogger("badgerseam.fleet")

EMPTY_S = 10.0
"""How long the row of an empty machine may outlast it, while changes are scarce."""
MOST_RELEASED = 100
"""The protocol's limit of names in one call."""


class Releases:
    """Gives machines back to the cloud, while this controller leads."""

    def __init__(
        self,
        model: Model,
        member: Member,
        roster: Roster,
        cloud: Cloud,
        spawn: Callable[[Awaitable[object]], None],
        changed: Callable[[], None],
    ) -> None:
        self._model = model
        self._member = member
        self._roster = roster
        self._cloud = cloud
        self._spawn = spawn
        self._changed = changed
        self.under_way: set[str] = set()
        """Machines that are being released."""
        self._to_release: list[str] = []
        self._runs = False

    def release(self, names: list[str]) -> None:
        """Release machines, as many with one call as have gathered since the last one."""
        fresh = [name for name in names if name not in self.under_way]
        if not fresh:
            return
        self.under_way.update(fresh)
        self._to_release += fresh
        if not self._runs:
            self._runs = True
            self._spawn(self._all())

    async def _all(self) -> None:
        try:
            while self._to_release:
                await self._cloud.turn()
                names = self._to_release[:MOST_RELEASED]
                del self._to_release[:MOST_RELEASED]
                await self._return(names)
        finally:
            self._runs = False

    async def _return(self, names: list[str]) -> None:
        try:
            await self._cloud.release(names)
        except CloudTrouble as error:
            log.debug("release: %s", error)
            await asyncio.sleep(0.5)
            self.under_way.difference_update(names)
            return
        log.info("released %s", " ".join(names))
        with self._model.lock:
            machines = [m for m in map(self._model.machine, names) if m is not None]
        # Tasks that were on a machine go elsewhere when its row is gone. An empty one's row is only
        # in the way.
        self._spawn(self._forget([m for m in machines if m.attempts], 0.0))
        self._spawn(self._forget([m for m in machines if not m.attempts], EMPTY_S))
        self.under_way.difference_update(set(names) - {m.name for m in machines})

    async def _forget(self, machines: list[Machine], patience_s: float) -> None:
        held = self._model.leader
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
            self.under_way.difference_update(m.name for m in machines)
