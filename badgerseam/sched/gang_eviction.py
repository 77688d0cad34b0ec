"""Victims that are members of replicas: whoever takes one takes the whole replica.

One that lost a member serves nobody, so that what is wasted by a victim is all that its replica
did, over all its machines, and sparing counts replicas.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from badgerseam.model.resources import NOTHING, Resources
from badgerseam.sched.snapshot import MachineSnapshot, Request, RunningTask

MayEvict = Callable[[RunningTask, Resources], bool]
"""Whether a victim may be evicted when so much of its team's is evicted already."""


class EvictionGroups:
    """The replicas of a snapshot by their members. None of them is ever evicted in part, so that
    this holds throughout a plan."""

    def __init__(self, nodes: list[MachineSnapshot]) -> None:
        self._members: dict[tuple[int, int], list[RunningTask]] = {}
        self._at: dict[tuple[int, int], int] = {}
        for position, node in enumerate(nodes):
            for running in node.running:
                if running.group is not None:
                    self._members.setdefault(running.group, []).append(running)
                    self._at[running.key] = position

    def at(self, member: RunningTask) -> int:
        """The position of a member's machine."""
        return self._at[member.key]

    def members_with(self, victim: RunningTask) -> list[RunningTask]:
        """All that goes with a victim, itself included."""
        return [victim] if victim.group is None else self._members[victim.group]

    def other_positions(
        self, position: int, victims: Iterable[tuple[RunningTask, float]]
    ) -> set[int]:
        """Positions of other machines that victims leave."""
        found = {self._at[v.key] for v, _ in victims if v.group is not None}
        return found - {position}

    def victims_on(
        self, node: MachineSnapshot, request: Request, now: float, may_evict: MayEvict
    ) -> list[RunningTask]:
        """Whose room on a machine would do for a task, with all that goes with them; the replicas
        and tasks of the greatest waste are spared; empty if there is not enough."""
        units: list[tuple[float, Resources, list[RunningTask]]] = []
        freed: dict[int, Resources] = {}
        seen: set[tuple[int, int]] = set()
        room = node.free
        for candidate in node.running:
            if candidate.group is not None:
                if candidate.group in seen:
                    continue
                seen.add(candidate.group)
            unit = self.members_with(candidate)
            gone = freed.get(candidate.team, NOTHING)
            here = NOTHING
            for member in unit:
                if not may_evict(member, gone):
                    break
                gone = gone.plus(member.demand)
                if member is candidate or self._at[member.key] == self._at[candidate.key]:
                    here = here.plus(member.demand)
            else:
                freed[candidate.team] = gone
                units.append((sum(member.waste(now) for member in unit), here, unit))
                room = room.plus(here)
        if not units or not request.demand.fits_in(room):
            return []
        taken = []
        for waste, here, unit in sorted(units, key=lambda item: -item[0]):
            if request.demand.fits_in(room.minus(here)):
                room = room.minus(here)
            else:
                taken.append((waste, unit))
        return [member for _, unit in reversed(taken) for member in unit]
