"""The tentative placement of a request's tasks, which can be undone as a whole."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from badgerseam.sched.snapshot import Request, RunningTask, TaskStop
from badgerseam.sched.tentative_state import TentativeState

OnUnplaced = Callable[[dict[str, int], int], None]
"""Called when the next task of a request cannot be placed, before a gang is undone, with the job's
tasks by zone and the number of tasks that were placed."""


class Victim(NamedTuple):
    """A running task that is evicted for a placement."""

    task: RunningTask
    cost: float
    """Of all victims for the placement together."""


@dataclass(slots=True)
class TaskPlacement:
    """One task on the machine at a position, and the victims it evicts."""

    position: int
    victims: list[Victim]


class RequestPlacement:
    """The tasks of one request that have been placed in a tentative state.

    `uses_quota`: whether they count as used by their team. Capacity that is only reserved for
    running tasks does not.
    """

    def __init__(self, state: TentativeState, request: Request, uses_quota: bool = True) -> None:
        self._state = state
        self._request = request
        self._uses_quota = uses_quota
        self._team = state.teams[request.team]
        self.zones = dict(request.zone_counts)
        """The job's tasks by zone, those placed here included."""
        self.tasks: list[TaskPlacement] = []

    def add(self, task: TaskPlacement) -> None:
        """Place a task after its victims have been evicted."""
        state, request = self._state, self._request
        for victim in task.victims:
            state.evict(state.position_of(victim.task, task.position), victim.task)
        state.place(task.position, request, self.zones)
        if self._uses_quota:
            self._team.used = self._team.used.plus(request.demand)
        self.tasks.append(task)

    def undo(self) -> None:
        """Leave the state as it was before the first task."""
        state, request = self._state, self._request
        for task in reversed(self.tasks):
            if self._uses_quota:
                self._team.used = self._team.used.minus(request.demand)
            state.undo_placement(task.position, request, self.zones)
            for victim in reversed(task.victims):
                state.undo_eviction(state.position_of(victim.task, task.position), victim.task)
        self.tasks.clear()

    def commit(self) -> None:
        """Add the evictions to the plan, and note what may be placeable now."""
        if not self.tasks:
            return
        state, request = self._state, self._request
        # The team may exceed its guarantee by more: another may claim that now.
        state.unplaced = [other for other in state.unplaced if other.team == request.team]
        for task in self.tasks:
            if task.victims:
                # The capacity they free may serve requests that could not be placed before.
                state.unplaced.clear()
            state.result.stops += [
                TaskStop(victim.task.key, victim.cost, request.wait_s, request.job)
                for victim in task.victims
            ]
