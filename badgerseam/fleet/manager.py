"""The leader's work: machine types, renting, returning, and moving machines between shares."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from random import Random
from statistics import NormalDist

from badgerseam.background import BackgroundTasks
from badgerseam.cluster.membership import Membership
from badgerseam.fleet import policy
from badgerseam.fleet.boot_times import SPREAD, BootTimes
from badgerseam.fleet.cloud import CloudClient, CloudError
from badgerseam.fleet.demand import Offer, options, virtual_node
from badgerseam.fleet.evacuation import EVACUATION_INTERVAL_S, Evacuation
from badgerseam.fleet.machine_transfer import NO_SHARD
from badgerseam.fleet.scale_in import ScaleIn
from badgerseam.fleet.scale_out import ScaleOut
from badgerseam.model.keys import LEADER_KEY, TYPES_KEY
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.model.state import Arrival, Shard
from badgerseam.sched import pts
from badgerseam.sched.planner import Planner
from badgerseam.settings import Tunables
from badgerseam.store.committer import GroupCommitter, Urgency
from badgerseam.store.machine_records import WRITE_ERRORS, MachineRecords
from badgerseam.wire import cloud as cloud_wire
from badgerseam.wire import state as wire
from badgerseam.wire.explain import Blocked, CloudView

log = logging.getLogger("badgerseam.fleet")

ROUND_S = 0.25
MAX_ROUND_S = 1.0
ROUND_TIME_FRACTION = 0.05
"""Part of the time that rounds may take: with a fleet or a burst of any size they get rarer, and
the leader goes on answering its workers."""
MINIMUM_S = 60.0
"""The least that a machine is charged for."""
TYPES_S = 20.0
TELL_S = 10.0
TYPICAL_QUANTILE = 0.8
"""Standard deviations of arrivals that departures make room for (measured: no reserve was needed
where four fifths are to start in time)."""
MAX_RENTALS_AT_ONCE = 150
"""Machines moved or rented in one round. A bound on the time a round takes, not on the fleet:
rounds come four times a second, and the cloud's calls, of MOST_HOSTS each, are scarcer."""
MAX_MACHINES_LISTED = 50
"""The protocol's limit of machines in one rental."""
SHOWN_S = 2.0
"""For how long a move that is done may stay unseen: another may have followed it by then."""
SHOWN_STEP_S = 0.05
ADDRESSES_S = 2.5
"""Between requests for the addresses of machines that were taken over."""

TransferMachines = Callable[[list[Machine], int, bool], Awaitable[set[str]]]
"""Passes machines on to a share, or has them vacated for it; the names for which that is done."""


class FleetManager:
    """Keeps the machines in line with the work, while this controller leads."""

    def __init__(
        self,
        model: Model,
        member: Membership,
        committer: GroupCommitter,
        roster: MachineRecords,
        cloud: CloudClient,
        planner: Planner,
        tunables: Tunables,
        random: Random,
        mover: TransferMachines,
        changed: Callable[[], None],
    ) -> None:
        self._model = model
        self._member = member
        self._committer = committer
        self._cloud = cloud
        self._planner = planner
        self._tunables = tunables
        self._random = random
        self._mover = mover
        self._changed = changed
        self._clock = model.clock
        self.scale_out = ScaleOut(model, member, committer, roster, cloud, self._spawn, changed)
        self.boot_times = BootTimes(model)
        self._evacuation = Evacuation(model, planner)
        self.scale_in = ScaleIn(model, member, roster, cloud, self._spawn, changed)
        self.class_of: Callable[[Arrival], int] | None = None
        """The priority class of an arrival, where classes are kept."""
        self._moving: set[str] = set()
        self._arriving: dict[str, int] = {}
        """Machines whose owner is asked to pass them on now, and the share that gets them."""
        self._missing: dict[str, int] = {}
        self._listed = False
        """Whether the cloud's list was seen since we lead."""
        self._learnt_at = -1e9
        self._told_at = -1e9
        self._consolidated_at: dict[int, float] = {}
        self._tasks = BackgroundTasks()
        self._moved_at = -1e9
        self._waits: dict[str | None, float] = {
            objective.job_class: objective.within_s
            for objective in model.settings.params.objectives
            if objective.within_s is not None
            and (
                objective.kind == "guarantee" or (objective.kind == "wait" and objective.job_class)
            )
        }
        shard = max(
            (
                o.required_fraction or 0.0
                for o in model.settings.params.objectives
                if o.kind == "guarantee"
            ),
            default=0.0,
        )
        # Of a normal spread, this much is needed for the share that operators ask for; what they
        # accept to be late without further trouble, departures make up for.
        quantile = NormalDist().inv_cdf(min(max(shard, 0.5), 0.999))
        self._guarantee_spread = tunables.reserve_guarantee * max(0.0, quantile - TYPICAL_QUANTILE)
        self._list_pause_s = 1.5

    def _spawn(self, work: Awaitable[object]) -> None:
        async def guarded() -> None:
            try:
                await work
            except Exception:
                log.exception("fleet work failed")

        self._tasks.spawn(guarded())

    # ---- loops ----

    async def keep_types(self) -> None:
        """Fetch the machine types and prices, and share them by the state service."""
        while True:
            pause = 1.0
            if self._member.is_leader or not self._model.types:
                try:
                    types = await self._cloud.types()
                    await self._publish(types)
                    if self._member.is_leader:
                        pause = TYPES_S
                except CloudError as error:
                    log.debug("machine types: %s", error)
            await asyncio.sleep(pause * (0.8 + 0.4 * self._random.random()))

    async def _publish(self, types: list[cloud_wire.MachineType]) -> None:
        model = self._model
        held = model.leader_claim
        leads = held is not None and self._member.is_leader
        known = {entry.name: entry for entry in types} == model.types
        # Known to a leader from before it led they are not durable yet: a controller that was
        # started again while the cloud was out had none, and used no machine.
        if known and (model.types_version or not leads):
            return
        value = wire.raw(types)
        if held is None or not leads:
            with model.lock:
                if not model.types:
                    model.set_types(types)
            self._changed()
            return
        try:
            revision = await self._committer.commit(
                Urgency.UPKEEP if model.types else Urgency.CLAIM,
                {LEADER_KEY: held.version, TYPES_KEY: model.types_version},
                [wire.Write(put=TYPES_KEY, value=value)],
                5.0,
            )
        except WRITE_ERRORS:
            return
        with model.lock:
            model.apply(TYPES_KEY, value, revision)
        self._changed()

    async def keep_list(self) -> None:
        """Compare the cloud's list with our records."""
        params = self._model.settings.params.cloud
        # Renting needs the calls more than a list that lags behind anyway.
        pause = max(1.5, params.list_lag_s, 4.0 / params.rps)
        self._list_pause_s = pause
        while True:
            if self._member.is_leader and self._model.loaded:
                asked = self._clock.wall()
                try:
                    listed = await self._cloud.machines()
                except CloudError as error:
                    log.debug("machine list: %s", error)
                else:
                    if self._member.is_leader:
                        self._compare(listed, asked)
                        self._listed = True
            await asyncio.sleep(pause)

    async def keep_fleet(self) -> None:
        """Rent, move and release, a few times a second."""
        took_s = 0.0
        while True:
            await asyncio.sleep(min(max(ROUND_S, took_s / ROUND_TIME_FRACTION), MAX_ROUND_S))
            if not self._member.is_leader or not self._model.loaded:
                self.boot_times.forget()
                self._listed = False
                # What answered a former leadership of ours may have been released since.
                self._model.unregistered.clear()
                continue
            began = self._clock.now()
            try:
                self._round()
            except Exception:
                log.exception("fleet round failed")
            took_s = self._clock.now() - began

    def view(self) -> CloudView:
        """What the leader knows of the cloud, for others to tell users."""
        now = self._clock.now()
        blocked = [
            Blocked(offer.type, offer.zone, offer.spot, round(until - now, 1))
            for offer, (until, _) in self.scale_out.blocked.items()
            if until > now
        ]
        trouble = self._cloud.last_error
        if trouble is None:
            return CloudView(blocked)
        return CloudView(blocked, round(now - trouble[0], 1), trouble[1])

    # ---- the list ----

    def learn_addresses(self) -> None:
        """Ask the cloud where machines are that were taken over, at most once at a time."""
        now = self._clock.now()
        if now - self._learnt_at > ADDRESSES_S:
            self._learnt_at = now
            self._spawn(self._learn_addresses())

    async def _learn_addresses(self) -> None:
        try:
            listed = await self._cloud.machines()
        except CloudError as error:
            log.debug("addresses: %s", error)
            return
        with self._model.lock:
            for entry in listed:
                machine = self._model.machine(entry.id)
                if machine is not None and not machine.address:
                    machine.address = entry.addr
                    self._model.machines_to_push.add(machine.index)
        self._changed()

    def _compare(self, listed: list[cloud_wire.ListedMachine], asked: float) -> None:
        model = self._model
        lag = model.settings.params.cloud.list_lag_s
        release: list[str] = []
        adopt: list[wire.StoredMachine] = []
        present = set()
        with model.lock:
            for entry in listed:
                present.add(entry.id)
                machine = model.machine(entry.id)
                if machine is None:
                    rented = round(self._clock.wall() - entry.age_s, 1)
                    adopt.append(
                        wire.StoredMachine(
                            entry.id, 0, entry.type, entry.zone, entry.spot, entry.addr, rented
                        )
                    )
                    continue
                machine.address = machine.address or entry.addr
                if entry.state == "running" and not machine.listed_up:
                    machine.listed_up = True
                    self.boot_times.listed_up(machine, entry.age_s, self._list_pause_s)
                if entry.state == "failed":
                    log.info("%s has failed", entry.id)
                    release.append(entry.id)
                elif entry.state == "booting" and machine.incarnation == 0:
                    # Its first minute is paid for in any case.
                    late = entry.age_s > MINIMUM_S and self.boot_times.never_boots(
                        machine, entry.age_s
                    )
                    if late and not machine.attempts:
                        log.info("%s never came up", entry.id)
                        release.append(entry.id)
            for machine in model.machines.values():
                if machine.name in present:
                    self._missing.pop(machine.name, None)
                elif asked - machine.rented_at > 2 * lag + 5.0:
                    missed = self._missing.get(machine.name, 0) + 1
                    self._missing[machine.name] = missed
                    # A list may be older than the one before, by up to twice the lag.
                    if missed * self._list_pause_s > 2 * lag:
                        log.info("%s is not listed any more", machine.name)
                        release.append(machine.name)
            self.scale_out.adopt_unrecorded(adopt)
        self.scale_in.release(release)

    # ---- a round ----

    def _round(self) -> None:
        model = self._model
        now = self._clock.now()
        with model.lock:
            if not model.types:
                return
            now_s = round(self._clock.wall(), 1)
            unknown = [
                wire.StoredMachine(r.machine, 0, r.type, r.zone, r.spot, r.address, now_s)
                for r in model.unregistered.values()
            ]
            model.unregistered.clear()
            self.scale_out.adopt_unrecorded(unknown)
            self.scale_out.resume()
            self.boot_times.observe()
            self.scale_in.release([m.name for m in model.machines.values() if m.dropped])
            self._decide(now)

    def _decide(self, now: float) -> None:
        model = self._model
        tunables, planner = self._tunables, self._planner
        snapshots = [self._snapshot(shard, now) for shard in model.shards]
        empty = set()
        idle = set()
        for machine in model.machines.values():
            if machine.attempts or machine.name in self._moving:
                continue
            empty.add(machine.index)
            # The first minute is paid for in any case.
            old = self._clock.wall() - machine.rented_at >= MINIMUM_S
            if old and now - machine.idle_since >= tunables.idle_s:
                idle.add(machine.index)
        nominal_s = max((entry.boot_s for entry in model.types.values()), default=30.0)
        boot_s = SPREAD * nominal_s
        policy.drop_old_arrivals(model.arrivals, now, tunables.arrivals_s)
        kept = policy.reserves(
            model.arrivals,
            self._waits,
            boot_s,
            now,
            tunables.arrivals_s,
            (self._guarantee_spread, tunables.reserve_spread),
            self.class_of,
        )
        blocked = {offer for offer, (until, _) in self.scale_out.blocked.items() if until > now}
        choices = options(model.types, blocked)
        if now - self._moved_at < tunables.move_s:
            empty.clear()
        if now - self._told_at >= TELL_S:
            self._told_at = now
            log.debug("%s", self._describe(kept))
        decisions = policy.decide(
            snapshots,
            empty,
            idle,
            kept,
            choices,
            MAX_RENTALS_AT_ONCE,
            nominal_s,
            self._rules,
            None if planner.classes is None else planner.classes.cautious_below(),
        )
        moves: dict[int, list[Machine]] = {}
        for index, shard in decisions.moves:
            self._moved_at = now
            moves.setdefault(shard, []).append(model.machines[index])
        moves[NO_SHARD] = [
            machine
            for machine in (model.machines[index] for index in decisions.surplus)
            if not machine.dropped
        ]
        for shard, machines in moves.items():
            self._start_move(machines, shard)
        for index, shard in decisions.evacuate:
            if now - self._consolidated_at.get(shard, -1e9) >= tunables.consolidate_s:
                self._consolidated_at[shard] = now
                self._start_move([model.machines[index]], NO_SHARD, vacate=True)
        found = self._evacuation.select(snapshots, decisions, self._moving, now)
        for shard, machines in found.items():
            self._start_move(machines, shard, vacate=True)
        asked: dict[Offer, list[int]] = {}
        for offer, shard in decisions.rents:
            asked.setdefault(offer, []).append(shard)
        # One request an offer for all shares, and none that would wait for its turn: the cloud
        # allows few calls, and what is asked later is asked for all that is lacking by then.
        turns = int(self._cloud.budget.available()) - len(self.scale_out.in_progress)
        for offer, shards in list(asked.items())[: max(0, turns)]:
            self.scale_out.request_rental(shards[:MAX_MACHINES_LISTED], offer)

    def _snapshot(self, shard: Shard, now: float) -> pts.Snapshot:
        """A share's machines as the records have them, those on their way included."""
        planner = self._planner
        nodes = []
        model = self._model
        for machine in model.shard_machines[shard.index].values():
            if not planner.usable(machine, now):
                if machine.dropped or machine.lost or machine.draining:
                    continue
                # Ours, and not usable now; or not to be waited for any more.
                if shard.owned and machine.incarnation > 0:
                    continue
                # Before it has seen a list, a new leader rented others for machines that were up
                # and had no work yet.
                if self._listed and self.boot_times.is_overdue(machine):
                    continue
            if machine.name not in self._moving:
                nodes.append(planner.node(machine, now))
        # While the write of a move lagged, a machine was rented for the same need.
        for name, target in self._arriving.items():
            arriving = model.machine(name)
            if target == shard.index and arriving is not None:
                nodes.append(planner.node(arriving, now))
        hires = {
            name: hire for name, (hire, _) in model.rentals.items()
        } | self.scale_out.requesting
        for hire in hires.values():
            offer = Offer(hire.type, hire.zone, hire.spot)
            for _ in range(hire.shards.count(shard.index)):
                node = virtual_node(model.types, offer, -1000 - len(nodes) - 10000 * shard.index)
                if node is not None:
                    nodes.append(node)
        snapshot = planner.snapshot(shard, nodes, planner.requests(shard))
        if planner.classes is not None:
            planner.classes.reserve_capacity(shard, snapshot, leading=True)
        return snapshot

    def _describe(self, kept: list[policy.CapacityReserve]) -> str:
        """The fleet in a line: machines, the empty ones, and the slots that are used."""
        parts = []
        for spot in (False, True):
            count = empty = 0
            used = slots = 0.0
            for machine in self._model.machines.values():
                if machine.spot != spot:
                    continue
                count += 1
                empty += not machine.attempts
                slots += pts.slots_of(machine.total)
                used += sum(pts.slots_of(a.job.demand) for a in machine.attempts.values())
            kind = "cheap" if spot else "ordinary"
            parts.append(f"{count} {kind} ({empty} empty, {used:.0f} of {slots:.0f} slots used)")
        waiting = sum(j.waiting() for jobs in self._model.open_jobs for j in jobs.values())
        reserve = ", ".join(f"{r.tasks}x{pts.slots_of(r.demand):.1f}" for r in kept)
        return f"{'; '.join(parts)}; {waiting} tasks wait; reserve {reserve or 'none'}"

    def _rules(self, index: int) -> pts.Request | None:
        job = self._model.jobs[index]
        return None if job is None else self._planner.request(job, 1)

    def _start_move(self, machines: list[Machine], shard: int, vacate: bool = False) -> None:
        by_origin: dict[int, list[Machine]] = {}
        for machine in machines:
            self._moving.add(machine.name)
            by_origin.setdefault(machine.shard, []).append(machine)
        for part in by_origin.values():
            self._spawn(self._move(part, shard, vacate))

    async def _move(self, machines: list[Machine], shard: int, vacate: bool) -> None:
        names = {machine.name for machine in machines}
        if not vacate and shard != NO_SHARD:
            self._arriving.update(dict.fromkeys(names, shard))
        try:
            done = await self._mover(machines, shard, vacate)
            if not vacate and shard != NO_SHARD:
                await self._wait_until_followed(machines, done, shard)
            self._arrived(names)
            if vacate:
                # Their owner passes them on when their work has been stopped.
                await asyncio.sleep(2 * EVACUATION_INTERVAL_S)
            elif shard != NO_SHARD and done:
                log.info("moved to share %d: %s", shard, " ".join(sorted(done)))
            self._moving -= done
            names -= done
            if names and not vacate:
                # Not empty, or their owner does not answer; seen anew after a while.
                await asyncio.sleep(2.0)
        finally:
            self._moving -= names
            self._arrived(names)

    async def _wait_until_followed(
        self, machines: list[Machine], names: set[str], shard: int
    ) -> None:
        """Return when the replica shows that machines have been moved: seen where they were before,
        they were moved once more, or others were rented for the same need."""
        until = self._clock.now() + SHOWN_S
        while self._clock.now() < until and any(
            machine.name in names and machine.shard != shard for machine in machines
        ):
            await asyncio.sleep(SHOWN_STEP_S)

    def _arrived(self, names: set[str]) -> None:
        for name in names:
            self._arriving.pop(name, None)
