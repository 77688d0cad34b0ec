"""The predicates that decide whether a task may be placed on a machine.

This is the only definition of each predicate: planning checks whether any of them fails, and the
diagnosis of unplaced tasks (`sched/diagnosis.py`) determines which ones do.
"""

from __future__ import annotations

from enum import IntFlag

from badgerseam.sched.preemption import may_preempt, victims_on
from badgerseam.sched.snapshot import MachineSnapshot, Request
from badgerseam.sched.tentative_state import TentativeState


class Predicate(IntFlag):
    """A condition for placing a task on a machine. A set of flags, as several may fail at once."""

    TYPE = 1
    """The job may not use machines of this type."""
    ZONE = 2
    """The job may not use machines in this zone."""
    SPOT = 4
    """The job may not use spot instances."""
    ONE_ZONE = 8
    """All tasks of the job have to be in the zone of its first tasks."""
    SCATTER = 16
    """The zone already has the maximum number of the job's tasks."""
    AVOIDED = 32
    """Tasks of the job have failed on the machine."""
    SIZE = 64
    """The task needs more than the total capacity of the machine."""
    FREE_CAPACITY = 128
    """There is not enough free capacity, and evicting the tasks that may be evicted does not
    help."""
    LIMIT = 256
    """The task would exceed its team's limit, on any machine."""


# Plain integers: planning makes several hundred thousand checks per second, and operations on
# IntFlag members are slow.
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
    """Returns the job's own constraints that fail, as bits of `Predicate`; 0 if none do.

    `zones`: the job's tasks by zone; by default those in the request.
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
    """Whether the job's own constraints allow one of its tasks on the machine."""
    return not failed_job_predicates(request, node, zones)


class PredicateCheck:
    """Checks all predicates for the next task of a request, in a tentative state.

    A plan can place a task on a machine if and only if no predicate fails there
    (tests/sched/test_diagnosis.py).
    """

    def __init__(self, state: TentativeState, request: Request, zones: dict[str, int]) -> None:
        self._state = state
        self._request = request
        self._zones = zones
        self._failed_limit = 0 if state.within_limit(request) else _LIMIT
        self._may_preempt = state.may_evict and may_preempt(state, request)

    def failed(self, node: MachineSnapshot) -> int:
        """Returns the predicates that fail, as bits of `Predicate`; 0 if the task can be placed."""
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
