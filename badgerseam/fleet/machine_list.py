"""Compares the cloud's list of machines with the machine records."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from badgerseam.cluster.membership import Membership
from badgerseam.fleet.boot_times import BootTimes
from badgerseam.fleet.cloud import CloudClient, CloudError
from badgerseam.fleet.scale_in import ScaleIn
from badgerseam.fleet.scale_out import ScaleOut
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.wire import cloud as cloud_wire
from badgerseam.wire import state as wire

log = logging.getLogger("badgerseam.fleet")

MIN_CHARGED_S = 60.0
"""The minimum time for which a machine is charged."""
MIN_LIST_INTERVAL_S = 1.5
REQUESTS_PER_LIST = 4.0
"""Requests that the rate limit must allow between two requests for the list."""
MISSING_SLACK_S = 5.0
"""Seconds beyond twice the lag of the list for which a new machine may be missing from it."""
ADDRESSES_INTERVAL_S = 2.5
"""Seconds between requests for the addresses of machines that were taken over."""


class MachineList:
    """Reconciles the machine records with the cloud's list while this controller is the leader.

    Machines without a record are adopted; machines that failed, never boot or are missing from the
    list are released.
    """

    def __init__(
        self,
        model: Model,
        membership: Membership,
        cloud: CloudClient,
        boot_times: BootTimes,
        scale_out: ScaleOut,
        scale_in: ScaleIn,
        spawn: Callable[[Awaitable[object]], None],
        schedule_review: Callable[[], None],
    ) -> None:
        self._model = model
        self._membership = membership
        self._cloud = cloud
        self._boot_times = boot_times
        self._scale_out = scale_out
        self._scale_in = scale_in
        self._spawn = spawn
        self._schedule_review = schedule_review
        self._clock = model.clock
        self.has_listed = False
        """Whether a list has been compared during this leadership."""
        self._missing_counts: dict[str, int] = {}
        """Number of consecutive lists from which a machine was missing, by name."""
        self._interval_s = MIN_LIST_INTERVAL_S
        self._addresses_requested_at = -1e9

    def reset(self) -> None:
        """Discards the state of a leadership; called while this controller is not the leader."""
        self.has_listed = False

    async def run(self) -> None:
        """Compares the cloud's list with the records at an interval, until cancelled."""
        params = self._model.settings.params.cloud
        # Rentals take precedence for the rate limit, since the list is out of date anyway.
        self._interval_s = max(
            MIN_LIST_INTERVAL_S, params.list_lag_s, REQUESTS_PER_LIST / params.rps
        )
        while True:
            if self._membership.is_leader and self._model.loaded:
                requested_at = self._clock.wall()
                try:
                    listed = await self._cloud.machines()
                except CloudError as error:
                    log.debug("machine list not fetched error=%s", error)
                else:
                    if self._membership.is_leader:
                        self.compare(listed, requested_at)
                        self.has_listed = True
            await asyncio.sleep(self._interval_s)

    def compare(self, listed: list[cloud_wire.ListedMachine], requested_at: float) -> None:
        """Adopts, updates and releases machines according to a list.

        `requested_at`: wall-clock time at which the list was requested.
        """
        model = self._model
        unrecorded: list[wire.StoredMachine] = []
        to_release: list[str] = []
        with model.lock:
            for entry in listed:
                machine = model.machine(entry.id)
                if machine is None:
                    unrecorded.append(self._new_record(entry))
                elif self._update_listed(machine, entry):
                    to_release.append(entry.id)
            listed_names = {entry.id for entry in listed}
            for machine in model.machines.values():
                if self._count_missing(machine, listed_names, requested_at):
                    log.info("machine missing from cloud list machine=%s", machine.name)
                    to_release.append(machine.name)
            self._scale_out.adopt_unrecorded(unrecorded)
        self._scale_in.release(to_release)

    def _new_record(self, entry: cloud_wire.ListedMachine) -> wire.StoredMachine:
        rented_at = round(self._clock.wall() - entry.age_s, 1)
        return wire.StoredMachine(
            entry.id, 0, entry.type, entry.zone, entry.spot, entry.addr, rented_at
        )

    def _update_listed(self, machine: Machine, entry: cloud_wire.ListedMachine) -> bool:
        """Records a listed machine's address and boot; returns whether it failed or never boots."""
        machine.address = machine.address or entry.addr
        if entry.state == "running" and not machine.listed_running:
            machine.listed_running = True
            self._boot_times.record_listed_boot(machine, entry.age_s, self._interval_s)
        if entry.state == "failed":
            log.info("machine failed machine=%s", entry.id)
            return True
        if entry.state != "booting" or machine.incarnation > 0:
            return False
        # The first minute is charged even if the machine is released earlier.
        never_boots = entry.age_s > MIN_CHARGED_S and self._boot_times.never_boots(
            machine, entry.age_s
        )
        if never_boots and not machine.attempts:
            log.info("machine never booted machine=%s", entry.id)
            return True
        return False

    def _count_missing(self, machine: Machine, listed_names: set[str], requested_at: float) -> bool:
        """Counts the lists from which a machine is missing; returns whether it counts as gone."""
        lag_s = self._model.settings.params.cloud.list_lag_s
        if machine.name in listed_names:
            self._missing_counts.pop(machine.name, None)
            return False
        if requested_at - machine.rented_at <= 2 * lag_s + MISSING_SLACK_S:
            return False
        count = self._missing_counts.get(machine.name, 0) + 1
        self._missing_counts[machine.name] = count
        # A list may be older than the previous one, by up to twice the lag.
        return count * self._interval_s > 2 * lag_s

    def learn_addresses(self) -> None:
        """Requests the addresses of machines that were taken over, at a limited rate."""
        now = self._clock.now()
        if now - self._addresses_requested_at > ADDRESSES_INTERVAL_S:
            self._addresses_requested_at = now
            self._spawn(self._learn_addresses())

    async def _learn_addresses(self) -> None:
        try:
            listed = await self._cloud.machines()
        except CloudError as error:
            log.debug("machine addresses not fetched error=%s", error)
            return
        with self._model.lock:
            for entry in listed:
                machine = self._model.machine(entry.id)
                if machine is not None and not machine.address:
                    machine.address = entry.addr
                    self._model.machines_to_push.add(machine.index)
        self._schedule_review()
