"""Fetches the machine types and prices, and shares them by the state service."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from random import Random

from badgerseam.cluster.membership import Membership
from badgerseam.fleet.cloud import CloudClient, CloudError
from badgerseam.model.keys import LEADER_KEY, TYPES_KEY
from badgerseam.model.model import Model
from badgerseam.store.committer import GroupCommitter, Urgency
from badgerseam.store.machine_records import WRITE_ERRORS
from badgerseam.wire import cloud as cloud_wire
from badgerseam.wire import state as wire

log = logging.getLogger("badgerseam.fleet")

REFRESH_INTERVAL_S = 20.0
RETRY_INTERVAL_S = 1.0
JITTER = 0.2
"""Part by which intervals are longer or shorter at random."""
COMMIT_DEADLINE_S = 5.0


class MachineTypePublisher:
    """Publishes the machine types while this controller leads.

    Until some are known, any controller fetches them for itself.
    """

    def __init__(
        self,
        model: Model,
        membership: Membership,
        committer: GroupCommitter,
        cloud: CloudClient,
        random: Random,
        schedule_review: Callable[[], None],
    ) -> None:
        self._model = model
        self._membership = membership
        self._committer = committer
        self._cloud = cloud
        self._random = random
        self._schedule_review = schedule_review

    async def run(self) -> None:
        """Fetch and publish the types from time to time, for ever."""
        while True:
            pause_s = RETRY_INTERVAL_S
            if self._membership.is_leader or not self._model.types:
                try:
                    await self.publish(await self._cloud.types())
                    if self._membership.is_leader:
                        pause_s = REFRESH_INTERVAL_S
                except CloudError as error:
                    log.debug("machine types not fetched error=%s", error)
            jitter = 1 - JITTER + 2 * JITTER * self._random.random()
            await asyncio.sleep(pause_s * jitter)

    async def publish(self, types: list[cloud_wire.MachineType]) -> None:
        """Store types if they have changed; without leadership only use them."""
        model = self._model
        claim = model.leader_claim
        is_leader = claim is not None and self._membership.is_leader
        is_known = {entry.name: entry for entry in types} == model.types
        # Types that a leader knows from before it led are not durable yet: a controller that was
        # started again while the cloud was unreachable had none, and used no machine.
        if is_known and (model.types_version or not is_leader):
            return
        value = wire.raw(types)
        if claim is None or not is_leader:
            with model.lock:
                if not model.types:
                    model.set_types(types)
            self._schedule_review()
            return
        try:
            revision = await self._committer.commit(
                Urgency.UPKEEP if model.types else Urgency.CLAIM,
                {LEADER_KEY: claim.version, TYPES_KEY: model.types_version},
                [wire.Write(put=TYPES_KEY, value=value)],
                COMMIT_DEADLINE_S,
            )
        except WRITE_ERRORS:
            return
        with model.lock:
            model.apply(TYPES_KEY, value, revision)
        self._schedule_review()
