"""Whom a request may evict, and what that costs (Algorithm 2 and Equation 14 of the paper)."""

from __future__ import annotations

from functools import partial
from typing import NamedTuple

from badgerseam.model.resources import NOTHING, Resources
from badgerseam.sched.snapshot import MachineSnapshot, Request, RunningTask
from badgerseam.sched.tentative_state import TentativeState


class PossibleEviction(NamedTuple):
    """Victims whose eviction makes a task fit on a machine."""

    victims: list[RunningTask]
    waste: float
    """Slot seconds lost by all of them together."""

    def cost(self, state: TentativeState) -> float:
        """The cost by Equation 14, as the state is now."""
        return eviction_cost(state, len(self.victims), self.waste)


def may_preempt(state: TentativeState, request: Request) -> bool:
    """Whether a request may have any victims."""
    return request.high or state.others_exceed_guarantee(request)


def may_evict(
    state: TentativeState, request: Request, victim: RunningTask, evicted: Resources
) -> bool:
    """Whether a request may evict a task, after so much of the victim's team has been evicted.

    High and low priority are relative: a victim has a lower rank, or borrows what the request's
    team claims of its guarantee.
    """
    if not victim.is_evictable:
        return False
    if victim.rank < request.rank and request.high:
        return True
    if victim.team == request.team or victim.high or victim.rank > request.rank:
        # The protocol would let borrowed capacity of any rank be claimed. The paper never evicts HP
        # work: a replica stopped for another task waited for a minute where that one would have
        # waited for a boot.
        return False
    if not state.within_guarantee(request):
        return False
    team = state.teams[victim.team]
    # The other team has to exceed its guarantee up to this victim.
    return not team.used.minus(evicted).fits_in(team.guarantee)


def victims_on(state: TentativeState, node: MachineSnapshot, request: Request) -> list[RunningTask]:
    """The victims that make a task fit on a machine; empty if it would not fit.

    Tasks of the greatest waste are spared first.
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
    """The eviction that makes a task fit on a machine; None if there is none."""
    victims = victims_on(state, node, request)
    if not victims:
        return None
    return PossibleEviction(victims, sum(victim.waste(state.now) for victim in victims))


def eviction_cost(state: TentativeState, count: int, waste: float) -> float:
    """Equation 14: the eviction rate after so many more evictions, plus the weighted waste."""
    evicted = state.evicted + count
    rate = evicted / (state.finished + evicted)
    return rate + state.beta * waste / (state.total_slots * state.window_s)
