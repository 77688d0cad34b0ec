"""Eviction of replicas that span several machines; a replica is only ever evicted as a whole.

A replica that has lost a member cannot serve requests. The waste of an eviction is therefore the
waste of the whole replica over all its machines, and the victims are chosen per replica.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from badgerseam.model.resources import NOTHING, Resources
from badgerseam.sched.snapshot import MachineSnapshot, Request, RunningTask

MayEvict = Callable[[RunningTask, Resources], bool]
"""Returns whether a task may be evicted, given the resources of its team already evicted."""


class _EvictionUnit(NamedTuple):
    """Tasks that can only be evicted together."""

    waste: float
    freed_on_machine: Resources
    """Resources that they free on the machine where the new task is to be placed."""
    members: list[RunningTask]


class EvictionGroups:
    """Index of the replicas of a snapshot and their members.

    Replicas are never evicted in part, so the index stays valid throughout a plan.
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
        """Returns the position of a member's machine."""
        return self._positions[member.key]

    def members_with(self, victim: RunningTask) -> list[RunningTask]:
        """Returns all tasks that are evicted together with a victim, including the victim."""
        return [victim] if victim.group is None else self._members[victim.group]

    def other_positions(self, position: int, victims: Iterable[RunningTask]) -> set[int]:
        """Returns the positions of all machines other than `position` on which victims run."""
        found = {self._positions[victim.key] for victim in victims if victim.group is not None}
        return found - {position}

    def victims_on(
        self, node: MachineSnapshot, request: Request, now: float, may_evict: MayEvict
    ) -> list[RunningTask]:
        """Returns the tasks to evict so that a new task fits on a machine; empty if it would not
        fit.

        The list includes the members on other machines. Replicas and tasks with the greatest waste
        are spared first.
        """
        units = self._units_on(node, now, may_evict)
        free = node.free
        for unit in units:
            free = free.plus(unit.freed_on_machine)
        if not units or not request.demand.fits_in(free):
            return []
        chosen: list[_EvictionUnit] = []
        for unit in sorted(units, key=lambda unit: -unit.waste):
            free_without = free.minus(unit.freed_on_machine)
            if request.demand.fits_in(free_without):
                free = free_without
            else:
                chosen.append(unit)
        return [member for unit in reversed(chosen) for member in unit.members]

    def _units_on(
        self, node: MachineSnapshot, now: float, may_evict: MayEvict
    ) -> list[_EvictionUnit]:
        """Returns the evictable units, single tasks or whole replicas, with tasks on a machine."""
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
            freed_on_machine = NOTHING
            for member in members:
                if not may_evict(member, evicted):
                    break
                evicted = evicted.plus(member.demand)
                if member is candidate or self._is_on_same_machine(member, candidate):
                    freed_on_machine = freed_on_machine.plus(member.demand)
            else:
                evicted_by_team[candidate.team] = evicted
                waste = sum(member.waste(now) for member in members)
                units.append(_EvictionUnit(waste, freed_on_machine, members))
        return units

    def _is_on_same_machine(self, member: RunningTask, other: RunningTask) -> bool:
        return self._positions[member.key] == self._positions[other.key]
