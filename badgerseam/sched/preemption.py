"""Selection and cost of preemption victims (Algorithm 2 and Equation 14 of the paper)."""

from __future__ import annotations

from functools import partial
from typing import NamedTuple

from badgerseam.model.resources import NOTHING, Resources
from badgerseam.sched.snapshot import MachineSnapshot, Request, RunningTask
from badgerseam.sched.tentative_state import TentativeState


class PossibleEviction(NamedTuple):
    """A set of victims whose eviction makes a task fit on a machine."""

    victims: list[RunningTask]
    waste: float
    """Slot-seconds of work lost by all victims together."""

    def cost(self, state: TentativeState) -> float:
        """Returns the cost of the eviction by Equation 14 in the current state."""
        return eviction_cost(state, len(self.victims), self.waste)


def may_preempt(state: TentativeState, request: Request) -> bool:
    """Whether a request may evict any task at all."""
    return request.high or state.others_exceed_guarantee(request)


def may_evict(
    state: TentativeState, request: Request, victim: RunningTask, evicted: Resources
) -> bool:
    """Whether a request may evict a task.

    High and low priority are relative: a victim either has a lower rank, or uses borrowed capacity
    that the request's team claims as part of its guarantee. `evicted`: resources of the victim's
    team that have already been chosen for eviction.
    """
    if not victim.is_evictable:
        return False
    if victim.rank < request.rank and request.high:
        return True
    if victim.team == request.team or victim.high or victim.rank > request.rank:
        # The protocol would allow claims on borrowed capacity of any rank, but the paper never
        # evicts high-priority (HP) work. A replica stopped for another task may wait a minute,
        # whereas that task would only have to wait for a machine to boot.
        return False
    if not state.within_guarantee(request):
        return False
    team = state.teams[victim.team]
    # The other team must still exceed its guarantee after the evictions chosen so far.
    return not team.used.minus(evicted).fits_in(team.guarantee)


def victims_on(state: TentativeState, node: MachineSnapshot, request: Request) -> list[RunningTask]:
    """Returns the victims whose eviction makes a task fit on a machine; empty if there are none.

    Tasks with the greatest waste are spared first.
    """
    if state.eviction_groups is not None:
        allowed = partial(may_evict, state, request)
        return state.eviction_groups.victims_on(node, request, state.now, allowed)
    victims: list[RunningTask] = []
    evicted_by_team: dict[int, Resources] = {}
    free = node.free
    for candidate in node.running:
        evicted = evicted_by_team.get(candidate.team, NOTHING)
        if may_evict(state, request, candidate, evicted):
            evicted_by_team[candidate.team] = evicted.plus(candidate.demand)
            victims.append(candidate)
            free = free.plus(candidate.demand)
    if not victims or not request.demand.fits_in(free):
        return []
    for candidate in sorted(victims, key=lambda victim: -victim.waste(state.now)):
        free_without = free.minus(candidate.demand)
        if request.demand.fits_in(free_without):
            free = free_without
            victims.remove(candidate)
    return victims


def possible_eviction(
    state: TentativeState, node: MachineSnapshot, request: Request
) -> PossibleEviction | None:
    """Returns the eviction that makes a task fit on a machine, or None if there is none."""
    victims = victims_on(state, node, request)
    if not victims:
        return None
    return PossibleEviction(victims, sum(victim.waste(state.now) for victim in victims))


def eviction_cost(state: TentativeState, count: int, waste: float) -> float:
    """Returns the cost of Equation 14: the eviction rate after `count` more evictions, plus the
    weighted waste."""
    evicted = state.evicted + count
    rate = evicted / (state.finished + evicted)
    return rate + state.beta * waste / (state.total_slots * state.window_s)
