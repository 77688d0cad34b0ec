"""Eviction of replicas that span machines: they are evicted as a whole.

A replica that lost a member serves nobody. The waste of an eviction is therefore that of the whole
replica, over all its machines, and victims are spared replica by replica.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from badgerseam.model.resources import NOTHING, Resources
from badgerseam.sched.snapshot import MachineSnapshot, Request, RunningTask

MayEvict = Callable[[RunningTask, Resources], bool]
"""Whether a task may be evicted after so much of its team's work has been evicted."""


class _EvictionUnit(NamedTuple):
    """Tasks that are evicted together."""

    waste: float
    freed_here: Resources
    """What they free on the machine in question."""
    members: list[RunningTask]


class EvictionGroups:
    """The replicas of a snapshot by their members.

    No replica is ever evicted in part, so that this stays true throughout a plan.
    """

    def __init__(self, nodes: list[MachineSnapshot]) -> None:
        self._members: dict[tuple[int, int], list[RunningTask]] = {}
        self._positions: dict[tuple[int, int], int] = {}
        for position, node in enumerate(nodes):
            for running in node.running:
                if running.group is not None:
                    self._members.setdefault(running.group, []).append(running)
                    self._positions[running.key] = position

    def position_of(self, member: RunningTask) -> int:
        """The position of a member's machine."""
        return self._positions[member.key]

    def members_with(self, victim: RunningTask) -> list[RunningTask]:
        """All tasks that are evicted with a victim, itself included."""
        return [victim] if victim.group is None else self._members[victim.group]

    def other_positions(self, position: int, victims: Iterable[RunningTask]) -> set[int]:
        """Positions of other machines on which victims run."""
        found = {self._positions[victim.key] for victim in victims if victim.group is not None}
        return found - {position}

    def victims_on(
        self, node: MachineSnapshot, request: Request, now: float, may_evict: MayEvict
    ) -> list[RunningTask]:
        """The victims that make a task fit on a machine, with all that are evicted with them.

        The replicas and tasks of the greatest waste are spared. Empty if the task would not fit.
        """
        units = self._units_on(node, now, may_evict)
        free = node.free
        for unit in units:
            free = free.plus(unit.freed_here)
        if not units or not request.demand.fits_in(free):
            return []
        chosen: list[_EvictionUnit] = []
        for unit in sorted(units, key=lambda unit: -unit.waste):
            free_without = free.minus(unit.freed_here)
            if request.demand.fits_in(free_without):
                free = free_without
            else:
                chosen.append(unit)
        return [member for unit in reversed(chosen) for member in unit.members]

    def _units_on(
        self, node: MachineSnapshot, now: float, may_evict: MayEvict
    ) -> list[_EvictionUnit]:
        """The tasks and replicas on a machine that may be evicted together."""
        units: list[_EvictionUnit] = []
        evicted_by_team: dict[int, Resources] = {}
        seen: set[tuple[int, int]] = set()
        for candidate in node.running:
            if candidate.group is not None:
                if candidate.group in seen:
                    continue
                seen.add(candidate.group)
            members = self.members_with(candidate)
            evicted = evicted_by_team.get(candidate.team, NOTHING)
            freed_here = NOTHING
            for member in members:
                if not may_evict(member, evicted):
                    break
                evicted = evicted.plus(member.demand)
                if member is candidate or self._is_beside(member, candidate):
                    freed_here = freed_here.plus(member.demand)
            else:
                evicted_by_team[candidate.team] = evicted
                waste = sum(member.waste(now) for member in members)
                units.append(_EvictionUnit(waste, freed_here, members))
        return units

    def _is_beside(self, member: RunningTask, other: RunningTask) -> bool:
        return self._positions[member.key] == self._positions[other.key]
