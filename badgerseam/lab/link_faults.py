"""Faults of links: from controllers to services, between controllers, and to machines."""

from __future__ import annotations

from typing import NamedTuple, cast

from badgerseam.lab.active_faults import ActiveFaults, FaultHandler, fraction_of
from badgerseam.lab.errors import LabError
from badgerseam.lab.fault import LINK_FAULT_KINDS, Fault
from badgerseam.lab.lab import Lab
from badgerseam.lab.links import LinkFault
from badgerseam.lab.machines import ANSWERS, CONTROLLERS, zone_end

AT_ONCE = "at-once"
"""Value of `to` with which `late-writes` executes its transactions without a delay."""


class LinkEnds(NamedTuple):
    """One direction of a link: the sender and the receiver of requests."""

    source: str
    target: str


class LinkFaults:
    """Injects faults of a lab's links."""

    def __init__(self, lab: Lab, active: ActiveFaults) -> None:
        self._lab = lab
        self._active = active

    def handlers(self) -> dict[str, FaultHandler]:
        """Returns the handler of each kind of fault."""
        return {
            **dict.fromkeys(LINK_FAULT_KINDS, self._break_link),
            "island": self._isolate_controller,
            "deaf": self._break_machine_links,
            "mute": self._break_machine_links,
            "late-writes": self._delay_writes,
        }

    def _break(self, fault: Fault, name: str, links: list[LinkEnds], link_fault: LinkFault) -> str:
        """Breaks links until the fault is reverted."""
        self._break_all(links, link_fault)
        return self._active.add(fault, name, lambda: self._heal_all(links))

    def _break_all(self, links: list[LinkEnds], link_fault: LinkFault) -> None:
        for source, target in links:
            self._lab.links.break_(source, target, link_fault)

    def _heal_all(self, links: list[LinkEnds]) -> None:
        for source, target in links:
            self._lab.links.heal(source, target)

    def _break_link(self, fault: Fault) -> str:
        """Breaks one link; between two controllers in both directions."""
        self._check_ends(fault)
        nodes = self._lab.nodes
        links = [LinkEnds(fault.target, fault.to)]
        if fault.to in nodes and fault.target in nodes:
            links.append(LinkEnds(fault.to, fault.target))
        name = f"{fault.target} to {fault.to} {fault.do}"
        return self._break(fault, name, links, cast(LinkFault, fault.do))

    def _check_ends(self, fault: Fault) -> None:
        """Raises LabError if a link does not exist or cannot have this fault."""
        nodes = self._lab.nodes
        sources = [*nodes, "workers"]
        if fault.target not in sources:
            raise LabError(f"target: {fault.target!r}: one of {', '.join(sources)}")
        targets = [*nodes, "state", "cloud"]
        if fault.to not in targets or fault.to == fault.target:
            raise LabError(f"to: {fault.to!r}: one of {', '.join(targets)}, not the target")
        possible = ("cut",) if fault.target == "workers" else ("cut", "refused")
        if fault.to in nodes and fault.do not in possible:
            raise LabError(
                f"{fault.do}: between controllers only `cut` and `refused` are made, from workers "
                "only `cut`"
            )
        if fault.do == "late" and fault.to != "state":
            raise LabError(f"to: {fault.to!r}: only what is sent to `state` is made late")

    def _isolate_controller(self, fault: Fault) -> str:
        """Cuts a controller off from the state service and its peers, but not from its workers."""
        nodes, isolated = self._lab.nodes, fault.target
        if isolated not in nodes:
            raise LabError(f"target: {isolated!r}: one of {', '.join(nodes)}")
        if fault.to not in ("", "cut", "refused"):
            raise LabError(f"to: {fault.to!r}: cut (if nothing is said) or refused")
        links = [LinkEnds(isolated, "state")]
        for peer in nodes:
            if peer != isolated:
                links += [LinkEnds(isolated, peer), LinkEnds(peer, isolated)]
        link_fault: LinkFault = "refused" if fault.to == "refused" else "cut"
        return self._break(fault, f"{isolated} an island, {link_fault}", links, link_fault)

    def _break_machine_links(self, fault: Fault) -> str:
        """Breaks links of machines in one direction.

        `deaf`: the machine's heartbeats arrive, but it receives no answers and no commands.
        `mute`: the machine reaches no controller, but it receives commands.
        """
        lab = self._lab
        if fault.target in lab.site.zones:
            zone = zone_end(fault.target)
            name = f"zone {fault.target} {fault.do}"
            return self._break(fault, name, [_machine_link(fault, zone)], "cut")
        machines = self._machines(fault)
        for machine in machines:
            self._break(fault, f"{machine} {fault.do}", [_machine_link(fault, machine)], "cut")
        return f"{fault.do} {', '.join(machines)}"

    def _machines(self, fault: Fault) -> list[str]:
        """Returns the machine that a fault names, or `count` machines drawn at random."""
        lab = self._lab
        if fault.target and fault.target not in lab.machines:
            raise LabError(
                f"target: {fault.target!r}: a zone ({', '.join(lab.site.zones)}), a machine that "
                "is up, or empty for --count by chance"
            )
        if not lab.machines:
            raise LabError(f"{fault.do}: no machine is up")
        if fault.target:
            return [fault.target]
        up = sorted(lab.machines)
        return sorted(lab.random.sample(up, min(fault.count, len(up))))

    def _delay_writes(self, fault: Fault) -> str:
        """Leaves a fraction of all controllers' transactions without an answer.

        They are executed late, or at once if the fault says so.
        """
        if fault.to not in ("", AT_ONCE):
            raise LabError(f"to: {fault.to!r}: {AT_ONCE}, or empty for 2 to 12 s later")
        links = self._lab.links
        links.late_fraction = fraction_of(fault, "transactions")
        broken = [LinkEnds(node, "state") for node in self._lab.nodes]
        self._break_all(broken, "unanswered" if fault.to == AT_ONCE else "late")

        def revert() -> None:
            self._heal_all(broken)
            links.late_fraction = 1.0
            self._active.failure_until("late writes under way", lambda: not links.in_flight)

        # Both variants have the same name, because a link has only one fault at a time: the later
        # variant replaces the earlier one.
        return self._active.add(fault, "late writes", revert)


def _machine_link(fault: Fault, end: str) -> LinkEnds:
    """Returns the direction that is cut for a deaf or mute machine or zone."""
    return LinkEnds(ANSWERS, end) if fault.do == "deaf" else LinkEnds(end, CONTROLLERS)
