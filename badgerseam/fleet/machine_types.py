"""Fetches the machine types with their prices and publishes them in the state service."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from random import Random

from badgerseam.cluster.membership import Membership
from badgerseam.fleet.cloud import CloudClient, CloudError
from badgerseam.model.keys import LEADER_KEY, TYPES_KEY
from badgerseam.model.model import Model
from badgerseam.store.committer import GroupCommitter, ProposalTooLargeError, Urgency
from badgerseam.store.machine_records import WRITE_ERRORS
from badgerseam.wire import cloud as cloud_wire
from badgerseam.wire import state as wire

log = logging.getLogger("badgerseam.fleet")

REFRESH_INTERVAL_S = 20.0
RETRY_INTERVAL_S = 1.0
JITTER = 0.2
"""Maximum random deviation of intervals, as a fraction."""
COMMIT_DEADLINE_S = 5.0


class MachineTypePublisher:
    """Publishes the machine types while this controller is the leader.

    Until any are known, every controller fetches them for its own use.
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
        """Fetches and publishes the types at an interval, until cancelled."""
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
        """Stores the types if they have changed; without leadership, only uses them locally."""
        model = self._model
        claim = model.leader_claim
        is_leader = claim is not None and self._membership.is_leader
        is_unchanged = {entry.name: entry for entry in types} == model.types
        # Types that a leader fetched before it became the leader are not durable yet. They have to
        # be stored: otherwise a controller that restarts while the cloud is unreachable has no
        # types and can use no machine.
        if is_unchanged and (model.types_version or not is_leader):
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
        except ProposalTooLargeError as error:
            # Each controller uses the types that it fetches itself.
            log.warning("machine types not stored error=%s", error)
            with model.lock:
                model.set_types(types)
            self._schedule_review()
            return
        except WRITE_ERRORS:
            return
        with model.lock:
            model.apply(TYPES_KEY, value, revision)
        self._schedule_review()
