"""What is on its way for a job: machines that boot, rentals, and what the cloud refuses."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from badgerseam.clock import Clock
from badgerseam.explain.text import pluralize
from badgerseam.fleet.boot_times import SPREAD
from badgerseam.fleet.demand import Offer, options, virtual_node
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.model.state import Shard
from badgerseam.sched.planner import Planner
from badgerseam.sched.predicates import failed_job_predicates
from badgerseam.sched.snapshot import MachineSnapshot, Request
from badgerseam.wire.explain import CloudView, Reason

VIEW_S = 1.0
"""How long the leader's word about the cloud is used."""

AskLeader = Callable[[], Awaitable[CloudView | None]]
"""The leader's view of the cloud, or None if it cannot be asked."""

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


class LeaderCloudView:
    """The leader's view of the cloud, asked for at most once in VIEW_S however many want it."""

    def __init__(self, clock: Clock, ask: AskLeader) -> None:
        self._clock = clock
        self._ask = ask
        self._view: CloudView | None = None
        self._at = -1e9
        self._asking: asyncio.Task[None] | None = None

    async def get(self) -> CloudView | None:
        """The view, or None if the leader cannot be asked now."""
        if self._clock.now() - self._at > VIEW_S:
            if self._asking is None:
                self._asking = asyncio.ensure_future(self._renew())
            await asyncio.shield(self._asking)
        return self._view

    async def _renew(self) -> None:
        try:
            self._view = await self._ask()
            self._at = self._clock.now()
        finally:
            self._asking = None


@dataclass(slots=True)
class Supply:
    """A share's machines that take no tasks now, and what is on its way to it."""

    out_of_use: dict[str, list[Machine]] = field(default_factory=dict)
    booting: list[tuple[MachineSnapshot, float]] = field(default_factory=list)
    """Machines that are not up, as PTS would see them, and in how many seconds they should be."""
    hires: list[MachineSnapshot] = field(default_factory=list)
    """Machines that were asked for, without an answer yet."""
    cloud: CloudView | None = None


def supply_of(model: Model, planner: Planner, shard: Shard, cloud: CloudView | None) -> Supply:
    """Look at a share's machines once; callers hold the lock."""
    result = Supply(cloud=cloud)
    now, wall = model.clock.now(), model.clock.wall()
    for machine in model.shard_machines[shard.index].values():
        why = planner.unusable_reason(machine, now)
        if why is None:
            continue
        entry = model.types.get(machine.type)
        if why == "not_heard" and not machine.attempts and entry is not None:
            left = machine.rented_at + SPREAD * entry.boot_s - wall
            if left > 0:
                offer = Offer(machine.type, machine.zone, machine.spot)
                node = virtual_node(model.types, offer, machine.index)
                if node is not None:
                    result.booting.append((node, left))
                    continue
        result.out_of_use.setdefault(why, []).append(machine)
    for hire, _ in model.rentals.values():
        offer = Offer(hire.type, hire.zone, hire.spot)
        for _ in range(hire.shards.count(shard.index)):
            node = virtual_node(model.types, offer, -1)
            if node is not None:
                result.hires.append(node)
    return result


def supply_reasons(model: Model, supply: Supply, request: Request) -> list[Reason]:
    """What is said of machines that could serve a request and are not there, or not in use."""
    found: list[Reason] = []
    useful = [left for node, left in supply.booting if _serves(request, node)]
    if useful:
        found.append(
            Reason(
                "booting",
                f"{pluralize(len(useful), 'machine')} that could take its tasks "
                f"{'is' if len(useful) == 1 else 'are'} starting.",
                machines=len(useful),
                expected_s=round(min(useful), 1),
            )
        )
    asked = sum(_serves(request, node) for node in supply.hires)
    if asked:
        found.append(
            Reason(
                "renting",
                f"{pluralize(asked, 'machine')} that could take its tasks "
                f"{'has' if asked == 1 else 'have'} been asked of the cloud, without an answer "
                "yet.",
                machines=asked,
            )
        )
    found += _cloud_reasons(model, supply.cloud, request)
    down = {why: ms for why, ms in supply.out_of_use.items() if why != "released"}
    if down:
        names = [m.name for ms in down.values() for m in ms][:5]
        parts = [f"{len(ms)} {OUT_OF_USE[why]}" for why, ms in sorted(down.items())]
        found.append(
            Reason(
                "out_of_use",
                f"{pluralize(sum(map(len, down.values())), 'machine')} of its share "
                f"take no tasks now: {', '.join(parts)}.",
                machines=sum(map(len, down.values())),
                who=names,
            )
        )
    return found


def _serves(request: Request, node: MachineSnapshot) -> bool:
    return request.demand.fits_in(node.total) and not failed_job_predicates(request, node)


def _cloud_reasons(model: Model, view: CloudView | None, request: Request) -> list[Reason]:
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
    blocked = {Offer(b.type, b.zone, b.spot): b.again_s for b in view.blocked}
    offers = [option.offer for option in options(model.types, set())]
    useful = []
    for offer in offers:
        node = virtual_node(model.types, offer, -1)
        if node is not None and _serves(request, node):
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
            )[:8],
        )
    ]
