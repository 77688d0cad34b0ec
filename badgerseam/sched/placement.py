"""Tentative placement of the tasks of a request, which can be rolled back as a whole."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from badgerseam.sched.snapshot import Request, RunningTask, TaskStop
from badgerseam.sched.tentative_state import TentativeState

OnUnplaced = Callable[[dict[str, int], int], None]
"""Callback for when the next task of a request cannot be placed, called before a gang is rolled
back. Arguments: the job's tasks by zone, and the number of tasks that were placed."""


class Victim(NamedTuple):
    """A running task that is evicted for a placement."""

    task: RunningTask
    cost: float
    """Cost of evicting all victims of the placement together."""


@dataclass(slots=True)
class TaskPlacement:
    """A task placed on the machine at a position, and the victims evicted for it."""

    position: int
    victims: list[Victim]


class RequestPlacement:
    """The tasks of one request placed so far in a tentative state.

    `uses_quota`: whether the tasks count as usage of their team. Capacity that is only reserved for
    tasks that are already running does not.
    """

    def __init__(self, state: TentativeState, request: Request, uses_quota: bool = True) -> None:
        self._state = state
        self._request = request
        self._uses_quota = uses_quota
        self._team = state.teams[request.team]
        self.zones = dict(request.zone_counts)
        """The job's tasks by zone, including those placed here."""
        self.tasks: list[TaskPlacement] = []

    def add(self, task: TaskPlacement) -> None:
        """Evicts a task's victims, then places the task."""
        state, request = self._state, self._request
        for victim in task.victims:
            state.evict(state.position_of(victim.task, task.position), victim.task)
        state.place(task.position, request, self.zones)
        if self._uses_quota:
            self._team.used = self._team.used.plus(request.demand)
        self.tasks.append(task)

    def undo(self) -> None:
        """Restores the state from before the first task was placed."""
        state, request = self._state, self._request
        for task in reversed(self.tasks):
            if self._uses_quota:
                self._team.used = self._team.used.minus(request.demand)
            state.undo_placement(task.position, request, self.zones)
            for victim in reversed(task.victims):
                state.undo_eviction(state.position_of(victim.task, task.position), victim.task)
        self.tasks.clear()

    def commit(self) -> None:
        """Adds the evictions to the plan, and drops requests from `unplaced` that may fit now."""
        if not self.tasks:
            return
        state, request = self._state, self._request
        # The team's usage has grown and may exceed its guarantee by more; another team may now
        # claim that excess, so its unplaced requests have to be tried again.
        state.unplaced = [other for other in state.unplaced if other.team == request.team]
        for task in self.tasks:
            if task.victims:
                # Capacity freed by victims may fit requests that could not be placed before.
                state.unplaced.clear()
            state.result.stops += [
                TaskStop(victim.task.key, victim.cost, request.wait_s, request.job)
                for victim in task.victims
            ]
