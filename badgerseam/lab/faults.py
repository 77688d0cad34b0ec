"""What can be broken in a lab, and how it is mended."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from badgerseam.cli.client import Front, Unreachable, refusal
from badgerseam.cli.rollout import ask_view
from badgerseam.lab.lab import Lab, LabError
from badgerseam.lab.trees import Tree
from badgerseam.rollout.choreography import Choreography, Stopped
from badgerseam.wire.rollout import View

Deed = Literal[
    "kill",
    "hang",
    "replace",
    "rollout",
    "cut",
    "refused",
    "lossy",
    "slow",
    "state-down",
    "cloud-down",
    "no-capacity",
    "take",
    "notice",
    "die",
    "hang-machine",
    "slow-machine",
    "faulty-machine",
    "burst",
]
DEEDS: tuple[str, ...] = Deed.__args__  # type: ignore[attr-defined]
LINKED = ("cut", "refused", "lossy", "slow")


class Fault(Struct, frozen=True, forbid_unknown_fields=True):
    """One deed."""

    do: Deed
    target: Annotated[
        str, Meta(description="a controller, `all`, `each` (one after the other), or `workers`")
    ] = ""
    to: Annotated[
        str, Meta(description="the other end of a link: state, cloud, or a controller")
    ] = ""
    count: Annotated[int, Meta(ge=1, description="machines, chosen by chance")] = 1
    for_s: Annotated[
        float, Meta(ge=0, description="mended after so long; 0: when it is mended by hand")
    ] = 0.0
    factor: Annotated[float, Meta(gt=0, description="of speed, or of arrivals")] = 0.3
    every_s: Annotated[float, Meta(gt=0, description="between one and the next of `each`")] = 6.0


class LabSite:
    """A lab, as a rollout is played on it."""

    def __init__(self, lab: Lab, tree: Tree) -> None:
        self._lab = lab
        self._tree = tree

    async def view(self, node: str) -> View | None:
        """How a controller sees the site; None if it does not answer."""
        return await ask_view(self._lab.addresses[node])

    async def leave(self, node: str) -> str | None:
        """Ask a controller to leave; why it refused, or None."""
        try:
            response = await Front(self._lab.addresses[node], 1.0).ask(
                "POST", "/rollout/leave", b"{}"
            )
        except Unreachable as error:
            return str(error)
        return None if response.status == 200 else refusal(response)

    async def replace(self, node: str) -> None:
        """End a controller's process, and have it start from the new program."""
        self._lab.controllers[node].replace(self._tree)


class Breaker:
    """Breaks and mends one lab."""

    def __init__(self, lab: Lab) -> None:
        self._lab = lab
        self._mending: dict[str, Callable[[], None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def apply(self, fault: Fault) -> str:
        """Break something; what was done. LabError if the fault names nothing there is."""
        lab = self._lab
        if fault.do in LINKED:
            text = self._link(fault)
        elif fault.do == "rollout":
            text = self._rollout(fault)
        elif fault.do in ("kill", "hang", "replace"):
            text = self._controllers(fault)
        elif fault.do == "state-down":
            lab.state.outage(True)
            text = self._until(fault, "state service down", lambda: lab.state.outage(False))
        elif fault.do == "cloud-down":
            lab.cloud.down = True
            text = self._until(fault, "cloud down", lambda: setattr(lab.cloud, "down", False))
        elif fault.do == "no-capacity":
            text = self._no_capacity(fault)
        elif fault.do == "burst":
            if lab.load is None:
                raise LabError("burst: no load runs; begin one with `lab load`")
            before, lab.load.factor = lab.load.factor, lab.load.factor * fault.factor
            load = lab.load
            text = self._until(
                fault, f"arrivals times {fault.factor:g}", lambda: setattr(load, "factor", before)
            )
        else:
            text = self._machines(fault)
        lab.history.add("fault", about=fault.do, text=text)
        return text

    def mend_all(self) -> str:
        """Mend whatever is broken and can be mended."""
        names = sorted(self._mending)
        for name in names:
            self._mend(name)
        return f"mended: {', '.join(names)}" if names else "nothing was broken"

    def _until(self, fault: Fault, name: str, mend: Callable[[], None]) -> str:
        self._mending[name] = mend
        if fault.for_s:
            self._later(fault.for_s, lambda: self._mend(name))
        return name + (f" for {fault.for_s:g} s" if fault.for_s else "")

    def _mend(self, name: str) -> None:
        mend = self._mending.pop(name, None)
        if mend is not None:
            mend()
            self._lab.history.add("fault", about="mended", text=name)

    def _later(self, seconds: float, do: Callable[[], object]) -> None:
        async def wait() -> None:
            await asyncio.sleep(seconds)
            do()

        task = asyncio.ensure_future(wait())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _named(self, fault: Fault) -> list[str]:
        nodes = self._lab.nodes
        if fault.target in ("all", "each"):
            return nodes
        if fault.target not in nodes:
            raise LabError(f"target: {fault.target!r}: one of {', '.join(nodes)}, all, each")
        return [fault.target]

    def _controllers(self, fault: Fault) -> str:
        names = self._named(fault)
        tree = self._tree(fault) if fault.do == "replace" else None
        for place, node in enumerate(names):
            controller = self._lab.controllers[node]
            if fault.do == "hang":
                controller.hang()
                self._until(fault, f"{node} hung", lambda c=controller: c.go_on())  # type: ignore[misc]
                continue
            deed = controller.kill
            if tree is not None:
                deed = partial(controller.replace, tree)
            if fault.target == "each" and place:
                self._later(fault.every_s * place, deed)
            else:
                deed()
        what = f" by {fault.to or 'these sources'}" if fault.do == "replace" else ""
        return f"{fault.do} {', '.join(names)}{what}"

    def _tree(self, fault: Fault) -> Tree:
        found = self._lab.trees.get(fault.to)
        if found is None:
            known = ", ".join(filter(None, self._lab.trees)) or "none"
            raise LabError(f"to: {fault.to!r}: one of the experiment's sources ({known}), or empty")
        return found

    def _rollout(self, fault: Fault) -> str:
        """Replace all controllers one after the other as operators would."""
        lab = self._lab
        site = LabSite(lab, self._tree(fault))

        def told(text: str) -> None:
            lab.history.add("fault", about="rollout", text=text)

        async def play() -> None:
            try:
                await Choreography(site, lab.clock, told).run(lab.nodes)
                lab.rollouts.append("")
            except Stopped as stopped:
                lab.rollouts.append(str(stopped))
                told(f"stopped: {stopped}")

        task = asyncio.ensure_future(play())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return f"rollout of {fault.to or 'these sources'}"

    def _link(self, fault: Fault) -> str:
        lab = self._lab
        ends = [*lab.nodes, "workers"]
        if fault.target not in ends:
            raise LabError(f"target: {fault.target!r}: one of {', '.join(ends)}")
        others = [*lab.nodes, "state", "cloud"]
        if fault.to not in others or fault.to == fault.target:
            raise LabError(f"to: {fault.to!r}: one of {', '.join(others)}, not the target")
        pairs = [(fault.target, fault.to)]
        if fault.to in lab.nodes and fault.target in lab.nodes:
            pairs.append((fault.to, fault.target))
        if fault.to in lab.nodes and fault.do != "cut":
            raise LabError(f"{fault.do}: between controllers and from workers only `cut` is made")
        for source, target in pairs:
            lab.links.break_(source, target, fault.do)  # type: ignore[arg-type]

        def heal() -> None:
            for source, target in pairs:
                lab.links.heal(source, target)

        return self._until(fault, f"{fault.target} to {fault.to} {fault.do}", heal)

    def _no_capacity(self, fault: Fault) -> str:
        core = self._lab.cloud_core
        offers = {
            (entry.name, zone, spot)
            for entry in core.types
            for zone in entry.zones
            for spot in (True, False)
        }
        core.taken_offers |= offers
        return self._until(fault, "cloud without capacity", core.taken_offers.clear)

    def _machines(self, fault: Fault) -> str:
        lab = self._lab
        spot_only = fault.do in ("take", "notice")
        names = sorted(
            name for name in lab.machines if not spot_only or lab.cloud_core.machines[name].spot
        )
        if not names:
            raise LabError(f"{fault.do}: no {'spot ' * spot_only}machine is up")
        chosen = lab.random.sample(names, min(fault.count, len(names)))
        for name in chosen:
            machine, rented = lab.machines[name], lab.cloud_core.machines[name]
            core = machine.core
            if fault.do == "take":
                lab.cloud_core.take(name)
            elif fault.do == "die":
                lab.cloud_core.die(name)
            elif fault.do == "notice":
                left = (fault.for_s or 10.0) * lab.random.uniform(0.5, 1.5)
                rented.notice_at = core.notice_at = lab.clock.now() + left
                core.changed = True
            elif fault.do == "hang-machine":
                machine.hang()
                self._until(fault, f"{name} hung", machine.go_on)
            elif fault.do == "slow-machine":
                before, core.speed = core.speed, core.speed * fault.factor
                self._until(fault, f"{name} slow", lambda c=core, b=before: setattr(c, "speed", b))  # type: ignore[misc]
            else:
                core.faulty = True
                self._until(fault, f"{name} faulty", lambda c=core: setattr(c, "faulty", False))  # type: ignore[misc]
        return f"{fault.do} {', '.join(sorted(chosen))}"


fault_decoder: msgspec.json.Decoder[Fault] = msgspec.json.Decoder(Fault)
