"""The supply of machines: unusable, booting, requested from the cloud, or refused by it."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from badgerseam.clock import Clock
from badgerseam.explain.text import pluralize
from badgerseam.fleet.boot_times import USUAL_BOOT_FACTOR
from badgerseam.fleet.demand import Offer, offered_machine, rental_options
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.model.state import Shard
from badgerseam.sched.planner import Planner
from badgerseam.sched.predicates import failed_job_predicates
from badgerseam.sched.snapshot import MachineSnapshot, Request
from badgerseam.wire.explain import CloudView, Reason

VIEW_TTL_S = 1.0
"""Seconds for which the leader's view of the cloud is used before it is requested again."""
MAX_MACHINES_NAMED = 5
MAX_OFFERS_NAMED = 8

AskLeader = Callable[[], Awaitable[CloudView | None]]
"""Requests the leader's view of the cloud; returns None if the leader cannot be asked."""

OUT_OF_USE = {
    "released": "given back",
    "lost": "lost",
    "not_heard": "not heard from yet",
    "draining": "being emptied",
    "silent": "silent",
    "unreachable": "not to be reached",
    "deaf": "hearing no answer to its reports",
    "unknown_type": "of a type that the cloud does not list",
}
"""Texts for users, by the reason that `Planner.unusable_reason` returns."""


class LeaderCloudView:
    """Caches the leader's view of the cloud, so that all questions together request it at most once
    per VIEW_TTL_S."""

    def __init__(self, clock: Clock, ask: AskLeader) -> None:
        self._clock = clock
        self._ask = ask
        self._view: CloudView | None = None
        self._refreshed_at = -math.inf
        self._refresh_task: asyncio.Task[None] | None = None

    async def get(self) -> CloudView | None:
        """Returns the view, or None if the leader cannot be asked now."""
        if self._clock.now() - self._refreshed_at > VIEW_TTL_S:
            if self._refresh_task is None:
                self._refresh_task = asyncio.ensure_future(self._refresh())
            await asyncio.shield(self._refresh_task)
        return self._view

    async def _refresh(self) -> None:
        try:
            self._view = await self._ask()
            self._refreshed_at = self._clock.now()
        finally:
            self._refresh_task = None


@dataclass(slots=True)
class Supply:
    """A shard's machines that currently accept no tasks, and those expected to join it."""

    out_of_use: dict[str, list[Machine]] = field(default_factory=dict)
    """By the reason, a key of OUT_OF_USE."""
    booting: list[tuple[MachineSnapshot, float]] = field(default_factory=list)
    """Machines that are still booting, as snapshots for a plan, and the seconds until they should
    be up."""
    rentals: list[MachineSnapshot] = field(default_factory=list)
    """Machines requested from the cloud, without an answer yet."""
    cloud: CloudView | None = None


def supply_of(model: Model, planner: Planner, shard: Shard, cloud: CloudView | None) -> Supply:
    """Returns the supply of a shard; callers hold the model's lock."""
    result = Supply(cloud=cloud)
    now, wall = model.clock.now(), model.clock.wall()
    for machine in model.shard_machines[shard.index].values():
        reason = planner.unusable_reason(machine, now)
        if reason is None:
            continue
        booting = _booting(model, machine, wall) if reason == "not_heard" else None
        if booting is not None:
            result.booting.append(booting)
        else:
            result.out_of_use.setdefault(reason, []).append(machine)
    for rental, _ in model.rentals.values():
        offer = Offer(rental.type, rental.zone, rental.spot)
        for _ in range(rental.shards.count(shard.index)):
            snapshot = offered_machine(model.types, offer, -1)
            if snapshot is not None:
                result.rentals.append(snapshot)
    return result


def _booting(model: Model, machine: Machine, wall: float) -> tuple[MachineSnapshot, float] | None:
    """Returns a machine within its boot time, as a snapshot for a plan, and the seconds until it
    should be up; None if the machine is not booting."""
    machine_type = model.types.get(machine.type)
    if machine.attempts or machine_type is None:
        return None
    left_s = machine.rented_at + USUAL_BOOT_FACTOR * machine_type.boot_s - wall
    if left_s <= 0:
        return None
    offer = Offer(machine.type, machine.zone, machine.spot)
    snapshot = offered_machine(model.types, offer, machine.index)
    return None if snapshot is None else (snapshot, left_s)


def supply_reasons(model: Model, supply: Supply, request: Request) -> list[Reason]:
    """Returns the reasons about machines that could run a request's tasks but are not available."""
    reasons: list[Reason] = []
    useful = [left_s for snapshot, left_s in supply.booting if _serves(request, snapshot)]
    if useful:
        reasons.append(
            Reason(
                "booting",
                f"{pluralize(len(useful), 'machine')} that could take its tasks "
                f"{'is' if len(useful) == 1 else 'are'} starting.",
                machines=len(useful),
                expected_s=round(min(useful), 1),
            )
        )
    requested = sum(_serves(request, snapshot) for snapshot in supply.rentals)
    if requested:
        reasons.append(
            Reason(
                "renting",
                f"{pluralize(requested, 'machine')} that could take its tasks "
                f"{'has' if requested == 1 else 'have'} been asked of the cloud, without an answer "
                "yet.",
                machines=requested,
            )
        )
    reasons += _cloud_reasons(model, supply.cloud, request)
    reasons += _out_of_use_reasons(supply)
    return reasons


def _out_of_use_reasons(supply: Supply) -> list[Reason]:
    by_reason = {
        reason: machines for reason, machines in supply.out_of_use.items() if reason != "released"
    }
    names = [machine.name for machines in by_reason.values() for machine in machines]
    if not names:
        return []
    parts = [
        f"{len(machines)} {OUT_OF_USE[reason]}" for reason, machines in sorted(by_reason.items())
    ]
    return [
        Reason(
            "out_of_use",
            f"{pluralize(len(names), 'machine')} of its share "
            f"take no tasks now: {', '.join(parts)}.",
            machines=len(names),
            who=names[:MAX_MACHINES_NAMED],
        )
    ]


def _serves(request: Request, snapshot: MachineSnapshot) -> bool:
    """Whether a task of the request can run on the machine when it is empty."""
    return request.demand.fits_in(snapshot.total) and not failed_job_predicates(request, snapshot)


def _cloud_reasons(model: Model, view: CloudView | None, request: Request) -> list[Reason]:
    """Returns why no more machines can be rented, or the reason that this is not known."""
    if view is None:
        return [
            Reason(
                "cloud_unknown",
                "Whether more machines can be rented is not known: the leader cannot be asked.",
            )
        ]
    if view.unreachable_s is not None:
        return [
            Reason(
                "cloud_unreachable",
                f"No machine can be rented: the cloud has not answered for "
                f"{view.unreachable_s:.0f} s ({view.error}).",
                since_s=round(view.unreachable_s, 1),
                change="The cloud's interface answers again.",
            )
        ]
    return _capacity_reasons(model, view, request)


def _capacity_reasons(model: Model, view: CloudView, request: Request) -> list[Reason]:
    """Returns a reason if the cloud refuses all machine offers that could run the tasks."""
    blocked = {Offer(entry.type, entry.zone, entry.spot): entry.again_s for entry in view.blocked}
    offers = [option.offer for option in rental_options(model.types, set())]
    useful = []
    for offer in offers:
        snapshot = offered_machine(model.types, offer, -1)
        if snapshot is not None and _serves(request, snapshot):
            useful.append(offer)
    refused = [offer for offer in useful if offer in blocked]
    if not useful or len(refused) < len(useful):
        return []
    return [
        Reason(
            "no_capacity",
            f"The cloud has none of the {len(refused)} kinds of machine that could take its tasks.",
            expected_s=round(min(blocked[offer] for offer in refused), 1),
            change="The cloud is asked again; other types, zones or spot machines, if the job "
            "allowed them, might be had.",
            who=sorted(
                f"{offer.type} in {offer.zone}{' (spot)' if offer.spot else ''}"
                for offer in refused
            )[:MAX_OFFERS_NAMED],
        )
    ]
