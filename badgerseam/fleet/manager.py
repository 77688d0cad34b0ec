"""Fleet management by the leader: renting, releasing and moving machines."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from random import Random

from badgerseam.background import BackgroundTasks
from badgerseam.cluster.membership import Membership
from badgerseam.fleet import policy
from badgerseam.fleet.boot_times import USUAL_BOOT_FACTOR, BootTimes
from badgerseam.fleet.capacity_reserve import (
    CapacityReserve,
    capacity_reserves,
    drop_old_arrivals,
    reserve_spreads,
    wait_s_by_class,
)
from badgerseam.fleet.cloud import CloudClient
from badgerseam.fleet.demand import Offer, offered_machine, rental_options
from badgerseam.fleet.evacuation import Evacuation
from badgerseam.fleet.machine_list import MIN_CHARGED_S, MachineList
from badgerseam.fleet.machine_moves import MachineMoves, TransferMachines
from badgerseam.fleet.machine_transfer import NO_SHARD
from badgerseam.fleet.machine_types import MachineTypePublisher
from badgerseam.fleet.scale_in import ScaleIn
from badgerseam.fleet.scale_out import ScaleOut
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.model.state import Arrival, Shard
from badgerseam.sched import pts
from badgerseam.sched.planner import Planner
from badgerseam.store.committer import GroupCommitter
from badgerseam.store.machine_records import MachineRecords
from badgerseam.tunables import Tunables
from badgerseam.wire import state as wire
from badgerseam.wire.explain import Blocked, CloudView

log = logging.getLogger("badgerseam.fleet")

MIN_ROUND_INTERVAL_S = 0.25
MAX_ROUND_INTERVAL_S = 1.0
ROUND_TIME_FRACTION = 0.05
"""Maximum fraction of the time spent on rounds. With a large fleet or burst, rounds run less often,
so that the leader still answers its workers."""
STATUS_INTERVAL_S = 10.0
"""Seconds between log lines on the state of the fleet."""
DEFAULT_BOOT_S = 30.0
"""Nominal boot duration while no machine types are known."""
MAX_MACHINES_PER_ROUND = 150
"""Maximum number of machines that one round moves, or rents for one shard. It bounds the duration
of a round, not the growth of the fleet: there are up to four rounds per second, and the cloud's
rate limit is the tighter bound."""
MAX_MACHINES_PER_RENTAL = 50
"""Maximum number of machines in one rental request, set by the cloud's protocol."""


class FleetManager:
    """Adjusts the fleet to the workload while this controller is the leader."""

    def __init__(
        self,
        model: Model,
        membership: Membership,
        committer: GroupCommitter,
        machine_records: MachineRecords,
        cloud: CloudClient,
        planner: Planner,
        tunables: Tunables,
        random: Random,
        transfer_machines: TransferMachines,
        schedule_review: Callable[[], None],
    ) -> None:
        self._model = model
        self._membership = membership
        self._cloud = cloud
        self._planner = planner
        self._tunables = tunables
        self._clock = model.clock
        self._tasks = BackgroundTasks()
        self.scale_out = ScaleOut(
            model, membership, committer, machine_records, cloud, self._spawn, schedule_review
        )
        self.scale_in = ScaleIn(
            model, membership, machine_records, cloud, self._spawn, schedule_review
        )
        self.boot_times = BootTimes(model)
        self.machine_types = MachineTypePublisher(
            model, membership, committer, cloud, random, schedule_review
        )
        self.machine_list = MachineList(
            model,
            membership,
            cloud,
            self.boot_times,
            self.scale_out,
            self.scale_in,
            self._spawn,
            schedule_review,
        )
        self._moves = MachineMoves(model.clock, transfer_machines, self._spawn)
        self._evacuation = Evacuation(model, planner)
        self.class_of: Callable[[Arrival], int] | None = None
        """Maps an arrival to its priority class; None if priority classes are disabled."""
        self._status_logged_at = -1e9
        self._moved_at = -1e9
        self._consolidated_at: dict[int, float] = {}
        """Time of the last consolidation, by shard."""
        objectives = model.settings.params.objectives
        self._wait_s_by_class = wait_s_by_class(objectives)
        self._spreads = reserve_spreads(objectives, tunables)

    def _spawn(self, work: Awaitable[object]) -> None:
        async def guarded() -> None:
            """Logs exceptions of the task, so that they do not stop fleet management."""
            try:
                await work
            except Exception:
                log.exception("fleet task failed")

        self._tasks.spawn(guarded())

    async def run(self) -> None:
        """Rents, moves and releases machines in rounds, a few times per second, until cancelled."""
        duration_s = 0.0
        while True:
            pause_s = max(MIN_ROUND_INTERVAL_S, duration_s / ROUND_TIME_FRACTION)
            await asyncio.sleep(min(pause_s, MAX_ROUND_INTERVAL_S))
            if not self._membership.is_leader or not self._model.loaded:
                self.boot_times.reset()
                self.machine_list.reset()
                # Machines found during an earlier leadership may have been released since.
                self._model.unregistered.clear()
                continue
            started_at = self._clock.now()
            try:
                self._round()
            except Exception:
                log.exception("fleet round failed")
            duration_s = self._clock.now() - started_at

    def cloud_view(self) -> CloudView:
        """Returns the blocked offers and the latest error of the cloud, for other controllers."""
        now = self._clock.now()
        blocked = [
            Blocked(offer.type, offer.zone, offer.spot, round(until - now, 1))
            for offer, (until, _) in self.scale_out.blocked.items()
            if until > now
        ]
        if self._cloud.last_error is None:
            return CloudView(blocked)
        since, error = self._cloud.last_error
        return CloudView(blocked, round(now - since, 1), error)

    # ---- a round ----

    def _round(self) -> None:
        model = self._model
        now = self._clock.now()
        with model.lock:
            if not model.types:
                return
            self._adopt_unregistered()
            self.scale_out.resume()
            self.boot_times.observe()
            self.scale_in.release([m.name for m in model.machines.values() if m.dropped])
            self._decide(now)

    def _adopt_unregistered(self) -> None:
        """Adopts machines that send heartbeats but have no record."""
        model = self._model
        now = round(self._clock.wall(), 1)
        unregistered = [
            wire.StoredMachine(r.machine, 0, r.type, r.zone, r.spot, r.address, now)
            for r in model.unregistered.values()
        ]
        model.unregistered.clear()
        self.scale_out.adopt_unrecorded(unregistered)

    def _decide(self, now: float) -> None:
        """Makes decisions from the present state of the fleet and starts to carry them out."""
        model, planner = self._model, self._planner
        snapshots = [self._snapshot(shard, now) for shard in model.shards]
        empty = self._empty_machines()
        boot_s = max((entry.boot_s for entry in model.types.values()), default=DEFAULT_BOOT_S)
        reserves = self._reserves(boot_s, now)
        blocked = {offer for offer, (until, _) in self.scale_out.blocked.items() if until > now}
        may_move = now - self._moved_at >= self._tunables.move_s
        self._log_status(reserves, now)
        decisions = policy.decide(
            snapshots,
            {machine.index for machine in empty} if may_move else set(),
            {machine.index for machine in empty if self._is_idle(machine, now)},
            reserves,
            rental_options(model.types, blocked),
            MAX_MACHINES_PER_ROUND,
            boot_s,
            self._request_of,
            None if planner.classes is None else planner.classes.transfers_paused_below(),
        )
        self._start_moves(decisions, now)
        self._start_consolidation(decisions, now)
        self._start_evacuation(snapshots, decisions, now)
        self._start_rentals(decisions)

    def _empty_machines(self) -> list[Machine]:
        """Returns the machines that have no work and are not being moved."""
        return [
            machine
            for machine in self._model.machines.values()
            if not machine.attempts and machine.name not in self._moves.in_progress
        ]

    def _is_idle(self, machine: Machine, now: float) -> bool:
        """Whether an empty machine has been idle for long enough to be released."""
        # The first minute is charged even if the machine is released earlier.
        is_charged = self._clock.wall() - machine.rented_at >= MIN_CHARGED_S
        return is_charged and now - machine.idle_since >= self._tunables.idle_s

    def _reserves(self, boot_s: float, now: float) -> list[CapacityReserve]:
        arrivals, window_s = self._model.arrivals, self._tunables.arrivals_s
        drop_old_arrivals(arrivals, now, window_s)
        return capacity_reserves(
            arrivals,
            self._wait_s_by_class,
            USUAL_BOOT_FACTOR * boot_s,
            now,
            window_s,
            self._spreads,
            self.class_of,
        )

    def _start_moves(self, decisions: policy.FleetDecisions, now: float) -> None:
        """Starts moves of machines to other shards, and releases of surplus machines."""
        machines = self._model.machines
        by_shard: dict[int, list[Machine]] = {}
        for index, shard in decisions.moves:
            self._moved_at = now
            by_shard.setdefault(shard, []).append(machines[index])
        surplus = [machines[index] for index in decisions.surplus]
        by_shard[NO_SHARD] = [machine for machine in surplus if not machine.dropped]
        for shard, moved in by_shard.items():
            self._moves.start(moved, shard)

    def _start_consolidation(self, decisions: policy.FleetDecisions, now: float) -> None:
        """Starts draining of machines whose replicas fit on other machines."""
        for index, shard in decisions.consolidations:
            consolidated_at = self._consolidated_at.get(shard, -1e9)
            if now - consolidated_at >= self._tunables.consolidate_s:
                self._consolidated_at[shard] = now
                self._moves.start([self._model.machines[index]], NO_SHARD, evacuate=True)

    def _start_evacuation(
        self, snapshots: list[pts.Snapshot], decisions: policy.FleetDecisions, now: float
    ) -> None:
        """Starts evacuations of machines for work that cannot be placed in its own shard."""
        selected = self._evacuation.select(snapshots, decisions, self._moves.in_progress, now)
        for shard, machines in selected.items():
            self._moves.start(machines, shard, evacuate=True)

    def _start_rentals(self, decisions: policy.FleetDecisions) -> None:
        shards_by_offer: dict[Offer, list[int]] = {}
        for offer, shard in decisions.rentals:
            shards_by_offer.setdefault(offer, []).append(shard)
        # The cloud's rate limit is low: send one request per offer for all shards, and none that
        # would have to wait, since a later request covers everything that is missing by then.
        calls = int(self._cloud.budget.available()) - len(self.scale_out.in_progress)
        for offer, shards in list(shards_by_offer.items())[: max(0, calls)]:
            self.scale_out.request_rental(shards[:MAX_MACHINES_PER_RENTAL], offer)

    def _request_of(self, index: int) -> pts.Request | None:
        job = self._model.jobs[index]
        return None if job is None else self._planner.request(job, 1)

    # ---- snapshots ----

    def _snapshot(self, shard: Shard, now: float) -> pts.Snapshot:
        """Returns a shard's snapshot from the records, including machines expected to join."""
        planner = self._planner
        nodes = [
            planner.node(machine, now)
            for machine in self._model.shard_machines[shard.index].values()
            if self._counts_as_capacity(machine, shard, now)
        ]
        # Count machines that are being moved to the shard. Otherwise, while the write of the move
        # is delayed, another machine is rented for the same demand.
        for name, target in self._moves.arriving.items():
            arriving = self._model.machine(name)
            if target == shard.index and arriving is not None:
                nodes.append(planner.node(arriving, now))
        self._add_rentals(nodes, shard)
        snapshot = planner.snapshot(shard, nodes, planner.requests(shard))
        if planner.classes is not None:
            planner.classes.reserve_capacity(shard, snapshot, leading=True)
        return snapshot

    def _counts_as_capacity(self, machine: Machine, shard: Shard, now: float) -> bool:
        """Whether a machine of a shard is usable or will be soon."""
        if machine.name in self._moves.in_progress:
            return False
        if self._planner.is_usable(machine, now):
            return True
        if machine.dropped or machine.lost or machine.draining:
            return False
        # A machine of an owned shard that has sent heartbeats and is not usable now does not count.
        if shard.owned and machine.incarnation > 0:
            return False
        # Before a new leader has seen a list, it cannot tell whether other owners' machines without
        # work have booted. If they counted as overdue, running machines would be replaced by rented
        # ones.
        return not (self.machine_list.has_listed and self.boot_times.is_overdue(machine))

    def _add_rentals(self, nodes: list[pts.MachineSnapshot], shard: Shard) -> None:
        """Adds the machines that are being rented for a shard."""
        rentals = {name: rental for name, (rental, _) in self._model.rentals.items()}
        rentals |= self.scale_out.requesting
        for rental in rentals.values():
            offer = Offer(rental.type, rental.zone, rental.spot)
            for _ in range(rental.shards.count(shard.index)):
                # An index that is unique among the machines of all shards.
                index = -1000 - len(nodes) - 10000 * shard.index
                node = offered_machine(self._model.types, offer, index)
                if node is not None:
                    nodes.append(node)

    # ---- log ----

    def _log_status(self, reserves: list[CapacityReserve], now: float) -> None:
        if now - self._status_logged_at < STATUS_INTERVAL_S:
            return
        self._status_logged_at = now
        machines = self._model.machines.values()
        waiting = sum(job.waiting() for jobs in self._model.open_jobs for job in jobs.values())
        log.debug(
            "fleet status %s %s waiting_tasks=%d reserves=%s",
            _usage_fields("on_demand", [m for m in machines if not m.spot]),
            _usage_fields("spot", [m for m in machines if m.spot]),
            waiting,
            ",".join(f"{r.tasks}x{pts.slots_of(r.demand):.1f}" for r in reserves) or "none",
        )


def _usage_fields(prefix: str, machines: list[Machine]) -> str:
    """Returns the counts of machines, empty machines, used slots and all slots as log fields."""
    empty = sum(not machine.attempts for machine in machines)
    slots = sum(pts.slots_of(machine.total) for machine in machines)
    used = sum(
        pts.slots_of(attempt.job.demand)
        for machine in machines
        for attempt in machine.attempts.values()
    )
    return (
        f"{prefix}_machines={len(machines)} {prefix}_empty={empty} "
        f"{prefix}_used_slots={used:.0f} {prefix}_slots={slots:.0f}"
    )
