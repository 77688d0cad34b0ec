"""The predicates that decide whether a task may be placed on a machine.

Each predicate is defined here once: planning asks whether any of them fails, an explanation
(`sched/diagnosis.py`) asks which.
"""

from __future__ import annotations

from enum import IntFlag

from badgerseam.sched.preemption import may_preempt, victims_on
from badgerseam.sched.snapshot import MachineSnapshot, Request
from badgerseam.sched.tentative_state import TentativeState


class Predicate(IntFlag):
    """A rule that keeps a task off a machine. Bits, since several may fail at once."""

    TYPE = 1
    ZONE = 2
    SPOT = 4
    """The job may not use spot instances."""
    ONE_ZONE = 8
    """All of the job's tasks have to be in the zone of the first ones."""
    SCATTER = 16
    """The zone holds as many of the job's tasks as it may."""
    AVOIDED = 32
    """Tasks of the job have failed there."""
    SIZE = 64
    """A task is larger than the whole machine."""
    FREE_CAPACITY = 128
    """Other tasks use the capacity, and none of them may be evicted for it."""
    LIMIT = 256
    """The team's limit, whatever the machine."""


# Plain numbers: a plan checks some hundred thousand times a second, and flags are slow.
_TYPE = int(Predicate.TYPE)
_ZONE = int(Predicate.ZONE)
_SPOT = int(Predicate.SPOT)
_ONE_ZONE = int(Predicate.ONE_ZONE)
_SCATTER = int(Predicate.SCATTER)
_AVOIDED = int(Predicate.AVOIDED)
_SIZE = int(Predicate.SIZE)
_FREE_CAPACITY = int(Predicate.FREE_CAPACITY)
_LIMIT = int(Predicate.LIMIT)


def failed_job_predicates(
    request: Request, node: MachineSnapshot, zones: dict[str, int] | None = None
) -> int:
    """The predicates of the job itself (bits of `Predicate`) that fail; 0 if none.

    `zones`: the job's tasks by zone, if not those that the request states.
    """
    if zones is None:
        zones = request.zone_counts
    failed = 0
    if request.types is not None and node.type not in request.types:
        failed |= _TYPE
    if request.zone is not None and node.zone != request.zone:
        failed |= _ZONE
    if node.spot and not request.spot:
        failed |= _SPOT
    if request.one_zone and zones and node.zone not in zones:
        failed |= _ONE_ZONE
    if request.zone_limit is not None and zones.get(node.zone, 0) >= request.zone_limit:
        failed |= _SCATTER
    return failed


def job_rules_allow(
    request: Request, node: MachineSnapshot, zones: dict[str, int] | None = None
) -> bool:
    """Whether the job's own rules let one of its tasks start on the machine."""
    return not failed_job_predicates(request, node, zones)


class PredicateCheck:
    """All predicates for the next task of a request, in a tentative state.

    A plan places a task on a machine exactly where none fails (tests/sched/test_diagnosis.py).
    """

    def __init__(self, state: TentativeState, request: Request, zones: dict[str, int]) -> None:
        self._state = state
        self._request = request
        self._zones = zones
        self._failed_limit = 0 if state.within_limit(request) else _LIMIT
        self._may_preempt = state.may_evict and may_preempt(state, request)

    def failed(self, node: MachineSnapshot) -> int:
        """The predicates that fail (bits of `Predicate`); 0 if the task fits."""
        request = self._request
        failed = self._failed_limit | failed_job_predicates(request, node, self._zones)
        if node.index in request.avoided_machines:
            failed |= _AVOIDED
        if request.demand.fits_in(node.free):
            return failed
        if not request.demand.fits_in(node.total):
            return failed | _SIZE
        if self._may_preempt and node.running and victims_on(self._state, node, request):
            return failed
        return failed | _FREE_CAPACITY
