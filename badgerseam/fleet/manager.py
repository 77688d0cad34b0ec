"""The leader's work: machine types, renting, returning, and moving machines between shares."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Awaitable, Callable
from random import Random
from statistics import NormalDist

import msgspec

from badgerseam.cluster.member import Member
from badgerseam.fleet import policy
from badgerseam.fleet.cloud import Cloud, CloudTrouble, NoCapacity
from badgerseam.fleet.demand import Offer, options, virtual_node
from badgerseam.model.job import HIGH_RANK, Stage
from badgerseam.model.machine import Machine
from badgerseam.model.model import (
    LEADER_KEY,
    TYPES_KEY,
    Model,
    Share,
    claim_key,
    hire_key,
)
from badgerseam.model.resources import NOTHING
from badgerseam.sched import pts
from badgerseam.sched.planner import Planner
from badgerseam.settings import Tunables
from badgerseam.store.committer import Committer, Urgency
from badgerseam.store.roster import NOT_WRITTEN, Roster
from badgerseam.wire import cloud as cloud_wire
from badgerseam.wire import state as wire
from badgerseam.wire.explain import Blocked, CloudView

log = logging.getLogger("badgerseam.fleet")

ROUND_S = 0.25
MINIMUM_S = 60.0
"""The least that a machine is charged for."""
BOOT_SPREAD = 1.5
"""How much longer than stated a boot usually takes at most."""
DROP = -1
"""Where a machine is moved that is to be released."""
TYPES_S = 20.0
NO_CAPACITY_S = 10.0
MOST_NO_CAPACITY_S = 30.0
TELL_S = 10.0
DEPARTURES = 0.8
"""Standard deviations of arrivals that departures make room for (measured: no reserve was needed
where four fifths are to start in time)."""
MOST_AT_ONCE = 150
MOST_HOSTS = 50
MOST_RELEASED = 100
VACATE_S = 3.0
"""How long HP work waits before a machine of another share is vacated for it."""
ADDRESSES_S = 2.5
"""Between requests for the addresses of machines that were taken over."""

Mover = Callable[[list[Machine], int, bool], Awaitable[set[str]]]
"""Passes machines on to a share, or has them vacated for it; the names for which that is done."""


class Fleet:
    """Keeps the machines in line with the work, while this controller leads."""

    def __init__(
        self,
        model: Model,
        member: Member,
        committer: Committer,
        roster: Roster,
        cloud: Cloud,
        planner: Planner,
        tunables: Tunables,
        random: Random,
        mover: Mover,
        changed: Callable[[], None],
    ) -> None:
        self._model = model
        self._member = member
        self._committer = committer
        self._roster = roster
        self._cloud = cloud
        self._planner = planner
        self._tunables = tunables
        self._random = random
        self._mover = mover
        self._changed = changed
        self._clock = model.clock
        self._blocked: dict[Offer, tuple[float, float]] = {}
        """Offers without capacity: until when they are left alone, and the pause."""
        self._hiring: set[str] = set()
        self._releasing: set[str] = set()
        self._to_release: list[str] = []
        self._release_runs = False
        self._moving: set[str] = set()
        self._missing: dict[str, int] = {}
        self._recording: set[str] = set()
        """Machines whose first record is being written."""
        self._asking: dict[str, wire.StoredHire] = {}
        self._serial = 0
        self._learnt_at = -1e9
        self._vacated_at: dict[int, float] = {}
        self._told_at = -1e9
        self._consolidated_at: dict[int, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._moved_at = -1e9
        self._waits: dict[str | None, float] = {
            objective.job_class: objective.within_s
            for objective in model.settings.params.objectives
            if objective.within_s is not None
            and (
                objective.kind == "guarantee" or (objective.kind == "wait" and objective.job_class)
            )
        }
        share = max(
            (o.share or 0.0 for o in model.settings.params.objectives if o.kind == "guarantee"),
            default=0.0,
        )
        # Of a normal spread, this much is needed for the share that operators ask for; what they
        # accept to be late without further trouble, departures make up for.
        quantile = NormalDist().inv_cdf(min(max(share, 0.5), 0.999))
        self._guarantee_spread = tunables.reserve_guarantee * max(0.0, quantile - DEPARTURES)
        self._list_pause_s = 1.5

    def _spawn(self, work: Awaitable[object]) -> None:
        async def guarded() -> None:
            try:
                await work
            except Exception:
                log.exception("fleet work failed")

        task = asyncio.ensure_future(guarded())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # ---- loops ----

    async def keep_types(self) -> None:
        """Fetch the machine types and prices, and share them by the state service."""
        while True:
            pause = 1.0
            if self._member.is_leader or not self._model.types:
                try:
                    types = await self._cloud.types()
                    await self._publish(types)
                    pause = TYPES_S
                except CloudTrouble as error:
                    log.debug("machine types: %s", error)
            await asyncio.sleep(pause * (0.8 + 0.4 * self._random.random()))

    async def _publish(self, types: list[cloud_wire.MachineType]) -> None:
        model = self._model
        held = model.leader
        if {entry.name: entry for entry in types} == model.types:
            return
        value = wire.raw(types)
        if held is None or not self._member.is_leader:
            with model.lock:
                if not model.types:
                    model.set_types(types)
            self._changed()
            return
        try:
            revision = await self._committer.commit(
                Urgency.UPKEEP if model.types else Urgency.CLAIM,
                {LEADER_KEY: held.version},
                [wire.Write(put=TYPES_KEY, value=value)],
                5.0,
            )
        except NOT_WRITTEN:
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
                except CloudTrouble as error:
                    log.debug("machine list: %s", error)
                else:
                    if self._member.is_leader:
                        self._compare(listed, asked)
            await asyncio.sleep(pause)

    async def keep_fleet(self) -> None:
        """Rent, move and release, a few times a second."""
        while True:
            await asyncio.sleep(ROUND_S)
            if not self._member.is_leader or not self._model.loaded:
                continue
            try:
                self._round()
            except Exception:
                log.exception("fleet round failed")

    def view(self) -> CloudView:
        """What the leader knows of the cloud, for others to tell users."""
        now = self._clock.now()
        blocked = [
            Blocked(offer.type, offer.zone, offer.spot, round(until - now, 1))
            for offer, (until, _) in self._blocked.items()
            if until > now
        ]
        trouble = self._cloud.trouble
        if trouble is None:
            return CloudView(blocked)
        return CloudView(blocked, round(now - trouble[0], 1), trouble[1])

    # ---- the list ----

    def learn_addresses(self) -> None:
        """Ask the cloud where machines are that were taken over, at most once at a time."""
        now = self._clock.now()
        if now - self._learnt_at > ADDRESSES_S:
            self._learnt_at = now
            self._spawn(self._learn())

    async def _learn(self) -> None:
        try:
            listed = await self._cloud.machines()
        except CloudTrouble as error:
            log.debug("addresses: %s", error)
            return
        with self._model.lock:
            for entry in listed:
                machine = self._model.machine(entry.id)
                if machine is not None and not machine.addr:
                    machine.addr = entry.addr
                    self._model.pushes.add(machine.index)
        self._changed()

    def _compare(self, listed: list[cloud_wire.Listed], asked: float) -> None:
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
                machine.addr = machine.addr or entry.addr
                machine.listed_up = machine.listed_up or entry.state == "running"
                if entry.state == "failed":
                    log.info("%s has failed", entry.id)
                    release.append(entry.id)
                elif entry.state == "booting" and machine.session == 0:
                    boot = model.types.get(entry.type)
                    limit = 30.0 + 3.0 * (boot.boot_s if boot else 60.0)
                    if entry.age_s > limit and not machine.attempts:
                        log.info("%s never came up", entry.id)
                        release.append(entry.id)
            for machine in model.machines.values():
                if machine.name in present:
                    self._missing.pop(machine.name, None)
                elif asked - machine.rented > 2 * lag + 5.0:
                    missed = self._missing.get(machine.name, 0) + 1
                    self._missing[machine.name] = missed
                    # A list may be older than the one before, by up to twice the lag.
                    if missed * self._list_pause_s > 2 * lag:
                        log.info("%s is not listed any more", machine.name)
                        release.append(machine.name)
            self._adopt(adopt)
        self._release(release)

    def _adopt(self, rows: list[wire.StoredMachine]) -> None:
        """Take machines that we have no record of, each into the share with the fewest for its
        work."""
        model = self._model
        fresh = [
            row
            for row in rows
            if row.name not in model.gone
            and row.name not in model.machine_index
            and row.name not in self._recording
        ]
        if not fresh or not model.types:
            return
        counts = [
            sum(machine.total.cpus or 1.0 for machine in fleet.values()) for fleet in model.fleets
        ]
        work = [self._work(share) for share in range(len(counts))]
        adopted = []
        for row in fresh:
            share = max(
                range(len(counts)), key=lambda index: (work[index] + 1) / (counts[index] + 1)
            )
            counts[share] += model.capacity(row.type).cpus or 1.0
            adopted.append(msgspec.structs.replace(row, share=share))
            log.info("adopting %s for share %d", row.name, share)
        self._recording.update(row.name for row in adopted)
        self._serial += 1
        self._spawn(self._record(adopted, None, f"{self._prefix()}-{self._serial}"))

    def _prefix(self) -> str:
        # The lease's number makes the names ones that no other process has used.
        return f"{self._member.node}-{self._member.lease}"

    def _work(self, share: int) -> float:
        total = 0.0
        for job in self._model.open_jobs[share].values():
            total += pts.slots_of(job.need) * (job.waiting() + len(job.attempts))
        for team in self._model.teams:
            if team.share == share:
                total += 0.05 * (team.guarantee.cpus + team.guarantee.gpus)
        return total

    async def _record(self, rows: list[wire.StoredMachine], hire: str | None, group: str) -> bool:
        """Write records of machines, and delete the hire that brought them with the last."""
        model = self._model
        most = self._roster.most_rows
        try:
            for first in range(0, max(len(rows), 1), most):
                part = rows[first : first + most]
                held = model.leader
                if held is None:
                    return False
                also = []
                if hire is not None and first + most >= len(rows):
                    also.append(wire.Write(delete=hire_key(hire)))
                name = group if first == 0 else f"{group}-{first}"
                if part or also:
                    await self._roster.add(
                        name,
                        part,
                        (LEADER_KEY, held.version),
                        also,
                        lambda: self._member.is_leader,
                    )
        except NOT_WRITTEN as error:
            log.debug("machines not recorded: %r", error)
            return False
        finally:
            self._recording.difference_update(row.name for row in rows)
            self._changed()
        return True

    # ---- a round ----

    def _round(self) -> None:
        model = self._model
        now = self._clock.now()
        with model.lock:
            if not model.types:
                return
            now_s = round(self._clock.wall(), 1)
            unknown = [
                wire.StoredMachine(r.machine, 0, r.type, r.zone, r.spot, r.addr, now_s)
                for r in model.unknown.values()
            ]
            model.unknown.clear()
            self._adopt(unknown)
            for name, (hire, _) in list(model.hires.items()):
                if name not in self._hiring:
                    self._hiring.add(name)
                    self._spawn(self._hire(name, hire))
            self._release([m.name for m in model.machines.values() if m.dropped])
            self._decide(now)

    def _decide(self, now: float) -> None:
        model = self._model
        tunables = self._tunables
        snapshots = [self._snapshot(share, now) for share in model.shares]
        empty = set()
        idle = set()
        for machine in model.machines.values():
            if machine.attempts or machine.name in self._moving:
                continue
            empty.add(machine.index)
            # The first minute is paid for in any case.
            old = self._clock.wall() - machine.rented >= MINIMUM_S
            if old and now - machine.idle_since >= tunables.idle_s:
                idle.add(machine.index)
        nominal_s = max((entry.boot_s for entry in model.types.values()), default=30.0)
        boot_s = BOOT_SPREAD * nominal_s
        kept = policy.reserves(
            model.arrivals,
            self._waits,
            boot_s,
            now,
            tunables.arrivals_s,
            (self._guarantee_spread, tunables.reserve_spread),
        )
        blocked = {offer for offer, (until, _) in self._blocked.items() if until > now}
        choices = options(model.types, blocked)
        if now - self._moved_at < tunables.move_s:
            empty.clear()
        if now - self._told_at >= TELL_S:
            self._told_at = now
            log.debug("%s", self._describe(kept))
        decisions = policy.decide(
            snapshots, empty, idle, kept, choices, MOST_AT_ONCE, nominal_s, self._rules
        )
        moves: dict[int, list[Machine]] = {}
        for index, share in decisions.moves:
            self._moved_at = now
            moves.setdefault(share, []).append(model.machines[index])
        moves[DROP] = [
            machine
            for machine in (model.machines[index] for index in decisions.surplus)
            if not machine.dropped
        ]
        for share, machines in moves.items():
            self._start_move(machines, share)
        for index, share in decisions.vacate:
            if now - self._consolidated_at.get(share, -1e9) >= tunables.consolidate_s:
                self._consolidated_at[share] = now
                self._start_move([model.machines[index]], DROP, vacate=True)
        for index, share in self._vacancies(snapshots, decisions, now):
            self._vacated_at[share] = now
            self._start_move([model.machines[index]], share, vacate=True)
        asked: dict[Offer, list[int]] = {}
        for offer, share in decisions.rents:
            asked.setdefault(offer, []).append(share)
        # One request an offer for all shares, and none that would wait for its turn: the cloud
        # allows few calls, and what is asked later is asked for all that is lacking by then.
        turns = int(self._cloud.budget.available()) - len(self._hiring)
        for offer, shares in list(asked.items())[: max(0, turns)]:
            self._ask(shares[:MOST_HOSTS], offer)

    def _snapshot(self, share: Share, now: float) -> pts.Snapshot:
        """A share's machines as the records have them, those on their way included."""
        planner = self._planner
        nodes = []
        model = self._model
        for machine in model.fleets[share.index].values():
            if not planner.usable(machine, now):
                if machine.dropped or machine.lost or machine.draining:
                    continue
                # Ours, and not usable now; or not to be waited for any more.
                if (share.owned and machine.session > 0) or self._overdue(machine):
                    continue
            if machine.name not in self._moving:
                nodes.append(planner.node(machine, now))
        hires = {name: hire for name, (hire, _) in model.hires.items()} | self._asking
        for hire in hires.values():
            offer = Offer(hire.type, hire.zone, hire.spot)
            for _ in range(hire.shares.count(share.index)):
                node = virtual_node(model.types, offer, -1000 - len(nodes) - 10000 * share.index)
                if node is not None:
                    nodes.append(node)
        return planner.snapshot(share, nodes, planner.requests(share))

    def _describe(self, kept: list[policy.Reserve]) -> str:
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
                used += sum(pts.slots_of(a.job.need) for a in machine.attempts.values())
            kind = "cheap" if spot else "ordinary"
            parts.append(f"{count} {kind} ({empty} empty, {used:.0f} of {slots:.0f} slots used)")
        waiting = sum(j.waiting() for jobs in self._model.open_jobs for j in jobs.values())
        reserve = ", ".join(f"{r.tasks}x{pts.slots_of(r.need):.1f}" for r in kept)
        return f"{'; '.join(parts)}; {waiting} tasks wait; reserve {reserve or 'none'}"

    def _rules(self, index: int) -> pts.Request | None:
        job = self._model.jobs[index]
        return None if job is None else self._planner.request(job, 1)

    def _overdue(self, machine: Machine) -> bool:
        """Whether a machine should have come up by now: nobody should go on waiting for it."""
        if machine.session > 0 or machine.listed_up or machine.attempts:
            return False
        entry = self._model.types.get(machine.type)
        boot_s = entry.boot_s if entry is not None else 30.0
        lag_s = 1.5 * self._model.settings.params.cloud.list_lag_s
        return self._clock.wall() - machine.rented > BOOT_SPREAD * boot_s + lag_s

    def _vacancies(
        self, snapshots: list[pts.Snapshot], decisions: policy.Decisions, now: float
    ) -> list[tuple[int, int]]:
        """Machines to be vacated for HP work that finds no room in its share nor in the cloud.

        Low-priority work of other shares may hold all there is of the machines that it needs.
        """
        model = self._model
        found: list[tuple[int, int]] = []
        for index, snapshot in enumerate(snapshots):
            waiting = decisions.waiting[index]
            if not waiting or any(share == index for _, share in decisions.rents):
                continue
            if now - self._vacated_at.get(index, -1e9) < VACATE_S:
                continue
            for request in snapshot.requests:
                job = model.jobs[request.job]
                if request.job not in waiting or not request.high or job is None:
                    continue
                if now - job.seen_at < VACATE_S:
                    continue
                best = self._cheapest_to_vacate(index, request, now)
                if best is not None:
                    found.append((best.index, index))
                    break
        return found

    def _cheapest_to_vacate(self, share: int, request: pts.Request, now: float) -> Machine | None:
        best: Machine | None = None
        best_waste = 0.0
        for machine in self._model.machines.values():
            if machine.share == share or machine.name in self._moving or machine.dropped:
                continue
            if machine.draining or machine.lost or not machine.attempts:
                continue
            if any(attempt.job.rank >= HIGH_RANK for attempt in machine.attempts.values()):
                continue
            if not pts.allowed(request, self._planner.node(machine, now)):
                continue
            waste = sum(
                pts.slots_of(attempt.job.need) * (now - attempt.planned_at)
                for attempt in machine.attempts.values()
            )
            if best is None or waste < best_waste:
                best, best_waste = machine, waste
        return best

    def _start_move(self, machines: list[Machine], share: int, vacate: bool = False) -> None:
        by_origin: dict[int, list[Machine]] = {}
        for machine in machines:
            self._moving.add(machine.name)
            by_origin.setdefault(machine.share, []).append(machine)
        for part in by_origin.values():
            self._spawn(self._move(part, share, vacate))

    async def _move(self, machines: list[Machine], share: int, vacate: bool) -> None:
        names = {machine.name for machine in machines}
        try:
            done = await self._mover(machines, share, vacate)
            if vacate:
                # Their owner passes them on when their work has been stopped.
                await asyncio.sleep(2 * VACATE_S)
            elif share != DROP and done:
                log.info("moved to share %d: %s", share, " ".join(sorted(done)))
            self._moving -= done
            names -= done
            if names and not vacate:
                # Not empty, or their owner does not answer; seen anew after a while.
                await asyncio.sleep(2.0)
        finally:
            self._moving -= names

    # ---- renting ----

    def _ask(self, shares: list[int], offer: Offer) -> None:
        held = self._model.leader
        if self._member.lease is None or held is None:
            return
        self._serial += 1
        name = f"{self._prefix()}-{self._serial}"
        hire = wire.StoredHire(
            shares, offer.type, offer.zone, offer.spot, round(self._clock.wall(), 1)
        )
        self._asking[name] = hire
        self._hiring.add(name)
        self._spawn(self._persist(name, hire, held.version))

    async def _persist(self, name: str, hire: wire.StoredHire, version: int) -> None:
        model = self._model
        value = wire.raw(hire)
        try:
            revision = await self._committer.commit(
                Urgency.PLACE,
                {LEADER_KEY: version, hire_key(name): 0},
                [wire.Write(put=hire_key(name), value=value)],
                wanted=lambda: self._member.is_leader,
            )
        except NOT_WRITTEN as error:
            log.debug("hire %s not persisted: %r", name, error)
            self._hiring.discard(name)
            return
        finally:
            self._asking.pop(name, None)
        with model.lock:
            model.apply(hire_key(name), value, revision)
        await self._hire(name, hire)

    async def _hire(self, name: str, hire: wire.StoredHire) -> None:
        """Repeat a persisted request until it is answered."""
        offer = Offer(hire.type, hire.zone, hire.spot)
        count = len(hire.shares)
        request = cloud_wire.Rent(name, hire.type, hire.zone, hire.spot, count)
        pause = 0.5
        try:
            while self._member.is_leader:
                try:
                    names = await self._cloud.rent(request)
                    break
                except NoCapacity:
                    names = []
                    break
                except CloudTrouble as error:
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
                " ".join(f"{share}:{n}" for share, n in sorted(Counter(hire.shares).items())),
            )
            if len(names) < count:
                self._block(offer, bool(names))
            rows = [
                wire.StoredMachine(machine, share, hire.type, hire.zone, hire.spot, "", hire.at)
                for machine, share in zip(names, hire.shares, strict=False)
            ]
            while self._member.is_leader:
                # Some may have been adopted already, from a report or the list, or are just being:
                # they must not be recorded twice.
                with self._model.lock:
                    fresh = [r for r in rows if r.name not in self._model.machine_index]
                    ready = self._recording.isdisjoint(r.name for r in fresh)
                    if ready:
                        self._recording.update(r.name for r in fresh)
                if ready and await self._record(fresh, name, name):
                    break
                await asyncio.sleep(0.3)
        finally:
            self._hiring.discard(name)

    def _block(self, offer: Offer, some: bool) -> None:
        """Leave an offer alone for a while, longer if nothing was to be had again."""
        _, pause = self._blocked.get(offer, (0.0, 0.0))
        pause = NO_CAPACITY_S if some or pause == 0 else min(2 * pause, MOST_NO_CAPACITY_S)
        self._blocked[offer] = (self._clock.now() + pause, pause)

    # ---- releasing ----

    def _release(self, names: list[str]) -> None:
        """Release machines, as many with one call as have gathered since the last one."""
        fresh = [name for name in names if name not in self._releasing]
        if not fresh:
            return
        self._releasing.update(fresh)
        self._to_release += fresh
        if not self._release_runs:
            self._release_runs = True
            self._spawn(self._release_all())

    async def _release_all(self) -> None:
        try:
            while self._to_release:
                await self._cloud.turn()
                names = self._to_release[:MOST_RELEASED]
                del self._to_release[:MOST_RELEASED]
                await self._return(names)
        finally:
            self._release_runs = False

    async def _return(self, names: list[str]) -> None:
        model = self._model
        try:
            await self._cloud.release(names)
            log.info("released %s", " ".join(names))
            held = model.leader
            with model.lock:
                machines = [m for m in map(model.machine, names) if m is not None]
            if held is not None:
                await self._roster.change(
                    machines,
                    lambda row: None,
                    (LEADER_KEY, held.version),
                    lambda: self._member.is_leader,
                )
            self._changed()
        except CloudTrouble as error:
            log.debug("release: %s", error)
            await asyncio.sleep(0.5)
        finally:
            self._releasing.difference_update(names)


class Returns:
    """An owner's part: giving up machines of its shares, or passing them on."""

    def __init__(self, model: Model, roster: Roster, planner: Planner) -> None:
        self._model = model
        self._roster = roster
        self._planner = planner

    async def rewrite(self, machines: list[Machine], share: int) -> set[str]:
        """Write machines of one share anew, on condition that we still own it; those written."""
        if not machines:
            return set()
        owner = self._model.shares[machines[0].share]
        term = owner.term
        addresses = {machine.name: machine.addr for machine in machines}

        def edit(row: wire.StoredMachine) -> wire.StoredMachine:
            if row.share != owner.index:
                return row
            addr = addresses[row.name]
            if share == DROP:
                return msgspec.structs.replace(row, dropped=True, addr=addr)
            return msgspec.structs.replace(row, share=share, addr=addr)

        return await self._roster.change(
            machines,
            edit,
            (claim_key(owner.index), term),
            lambda: owner.owned and owner.term == term,
        )

    async def drop(self) -> None:
        """Have machines released that are lost, or drained and empty."""
        by_share: dict[int, list[Machine]] = {}
        with self._model.lock:
            for machine in self.finished():
                machine.returning = True
                by_share.setdefault(machine.share, []).append(machine)
        for machines in by_share.values():
            try:
                await self.rewrite(machines, DROP)
            finally:
                for machine in machines:
                    machine.returning = False

    async def give(self, machines: list[Machine], share: int, vacate: bool = False) -> set[str]:
        """Pass empty machines of a share on to another, or, to vacate them, have their work
        stopped; the names for which that is done."""
        done: set[str] = set()
        giving = []
        with self._model.lock:
            for machine in machines:
                if vacate and share == DROP:
                    if not machine.draining and self._movable(machine):
                        log.info("%s is emptied: others have room", machine.name)
                        machine.draining = True
                        done.add(machine.name)
                elif vacate and not machine.draining and self._low_only(machine):
                    log.info("vacating %s for share %d", machine.name, share)
                    machine.draining = True
                    machine.vacate_to = share
                    done.add(machine.name)
                elif self._empty(machine) and not machine.giving:
                    machine.vacate_to = None
                    machine.draining = machine.giving = True
                    giving.append(machine)
        written = await self.rewrite(giving, share)
        for machine in giving:
            machine.giving = False
            if machine.name not in written:
                machine.draining = False
        return done | written

    def _low_only(self, machine: Machine) -> bool:
        return self._model.shares[machine.share].owned and all(
            attempt.job.rank < HIGH_RANK for attempt in machine.attempts.values()
        )

    def _movable(self, machine: Machine) -> bool:
        """Whether only replicas are on it, that have run for long enough to be moved."""
        now = self._model.clock.now()
        return (
            self._model.shares[machine.share].owned
            and machine.strays == NOTHING
            and machine.recall_at is None
            and all(
                attempt.job.service
                and attempt.stage == Stage.RUNNING
                and not attempt.stopping
                and now - attempt.started_at > policy.SETTLED_S / 2
                for attempt in machine.attempts.values()
            )
        )

    def vacated(self) -> list[tuple[Machine, int]]:
        """Machines that have become empty for another share."""
        return [
            (machine, machine.vacate_to)
            for machine in self._model.machines.values()
            if machine.vacate_to is not None and not machine.giving and self._empty(machine)
        ]

    def _empty(self, machine: Machine) -> bool:
        return (
            self._model.shares[machine.share].owned
            and (not machine.draining or machine.vacate_to is not None)
            and not machine.dropped
            and (machine.session == 0 or machine.clear)
            and self._planner.free_of_work(machine)
        )

    def finished(self) -> list[Machine]:
        """Machines of owned shares that are to be released: lost, or drained and empty."""
        model = self._model
        return [
            machine
            for machine in model.machines.values()
            if model.shares[machine.share].owned
            and not machine.dropped
            and not machine.returning
            and (
                machine.lost
                or machine.given_up
                or (
                    machine.draining
                    and machine.recall_at is None
                    and machine.session > 0
                    and not machine.giving
                    and machine.vacate_to is None
                    and self._planner.free_of_work(machine)
                )
            )
        ]
