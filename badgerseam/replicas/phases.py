"""The phases of a replica: its intent, the observed state of its members, and the next decision.

`decide` is a pure function of the current state (level-triggered, not edge-triggered): a new owner
that has read a replica's note and rows can continue from them, whatever the previous owner had
completed or only begun.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import IntEnum
from typing import NamedTuple

NO_MEMBERS: frozenset[int] = frozenset()


class ReplicaPhase(IntEnum):
    """The phase of a replica; the numeric values are stored."""

    WAITING = 0
    """No member has a machine."""
    FORMING = 1
    """Members are being placed, and start once all of them are placed."""
    UP = 2
    """All members run, on machines that send heartbeats."""
    DEGRADED = 3
    """Members are missing, or their machines send no heartbeats."""
    REPAIRING = 4
    """The members that were missing have machines again, and start."""
    MOVING = 5
    """Members leave their machines for others, on which capacity is reserved."""
    STOPPING = 6
    """All members are being stopped, to release their capacity."""


REPLICA_PHASE_NAMES = {
    ReplicaPhase.WAITING: "waiting",
    ReplicaPhase.FORMING: "forming",
    ReplicaPhase.UP: "up",
    ReplicaPhase.DEGRADED: "degraded",
    ReplicaPhase.REPAIRING: "repairing",
    ReplicaPhase.MOVING: "moving",
    ReplicaPhase.STOPPING: "stopping",
}


@dataclass(frozen=True, slots=True)
class Intent:
    """The durable state of a replica, apart from the rows of its tasks."""

    phase: ReplicaPhase = ReplicaPhase.WAITING
    generation: int = 0
    """Incremented whenever the replica as a whole is started again."""
    began_at: float = 0.0
    """When the phase began, on the owner's clock; 0 if unknown. For DEGRADED and REPAIRING: when
    the replica ceased to be up, so that repeated losses do not postpone the timeout."""
    members: frozenset[int] = NO_MEMBERS
    """The members to which the phase applies: those that are missing, or those that are moved."""
    targets: tuple[str, ...] = ()
    """The machine that a move has reserved for each member, in the order of the members'
    numbers."""


@dataclass(frozen=True, slots=True)
class ObservedMembers:
    """The current state of the members, as the owner observes it.

    Invariant: every member that is not finished is in exactly one of `absent`, `planned`, `placed`
    and `running`.
    """

    absent: frozenset[int] = NO_MEMBERS
    """Those that are certainly on no machine."""
    planned: frozenset[int] = NO_MEMBERS
    """Those whose placement is not durable yet."""
    placed: frozenset[int] = NO_MEMBERS
    """Those whose placement is durable, and which no heartbeat has reported as running."""
    running: frozenset[int] = NO_MEMBERS
    """Those that a heartbeat has reported as running."""
    unseen: frozenset[int] = NO_MEMBERS
    """Those of `placed` that an earlier owner placed, and may have observed running."""
    stopping: frozenset[int] = NO_MEMBERS
    """Those with a machine for which a stop command has been or is to be sent."""
    unresponsive: frozenset[int] = NO_MEMBERS
    """Those whose machine sends no heartbeats, so that their state is unknown."""
    draining: frozenset[int] = NO_MEMBERS
    """Those whose machine is draining and sends heartbeats."""
    durable: bool = True
    """Whether the state service holds the intent."""
    reservation_usable: bool = True
    """Whether every machine that a move has reserved can still be used."""
    since: float = 0.0
    """When this owner took over the shard. Timeouts begin no earlier, since the owner first has to
    receive heartbeats that report the members."""
    may_move: bool = True
    """Whether one more replica of the job may be down for a move."""

    @property
    def present(self) -> frozenset[int]:
        """The members with a machine."""
        return self.planned | self.placed | self.running

    @property
    def all_members(self) -> frozenset[int]:
        """The members that are not finished."""
        return self.absent | self.present

    @property
    def all_placed(self) -> bool:
        """Whether the placement of every member is durable, so that no member would start alone."""
        return not self.absent and not self.planned

    @property
    def all_running(self) -> bool:
        """Whether every member runs and is not being stopped, on a machine that sends
        heartbeats."""
        return self.all_placed and not (self.placed or self.stopping or self.unresponsive)

    @property
    def all_stopping(self) -> bool:
        """Whether every member with a machine is being stopped."""
        return self.stopping >= self.present


@dataclass(frozen=True, slots=True)
class PhaseTimeouts:
    """Timeouts of phases, in seconds."""

    form_s: float
    """How long FORMING and MOVING may take; REPAIRING may take this in addition to `degraded_s`."""
    degraded_s: float
    """How long a replica may be DEGRADED before it is stopped."""
    pause_s: float = 2.0
    """The backoff after a failed start, during which other work may use the capacity."""


@dataclass(frozen=True, slots=True)
class Decision:
    """The new intent, and the actions that follow from it."""

    intent: Intent
    to_place: frozenset[int] = NO_MEMBERS
    """Members to be placed on machines, all of them or none."""
    to_reserve: frozenset[int] = NO_MEMBERS
    """Members for which capacity is to be reserved while they run."""
    stop: frozenset[int] = NO_MEMBERS
    """Members to be stopped."""
    launch: bool = False
    """Whether members with a machine may be launched."""
    move_into_reservation: bool = False
    """Whether all moved members are to be placed on the reserved machines, in one write."""
    due: float | None = None
    """When to decide again if nothing changes."""


class _Situation(NamedTuple):
    """The inputs of a decision, apart from the intent."""

    observed: ObservedMembers
    timeouts: PhaseTimeouts
    now: float

    def deadline(self, intent: Intent, timeout_s: float) -> float:
        """Returns when the phase of the intent times out."""
        # A new owner learns only from heartbeats which members run. If the timeout began before the
        # takeover, the first review after it would stop a replica that had long been up.
        return max(intent.began_at, self.observed.since) + timeout_s


def decide(
    intent: Intent, observed: ObservedMembers, timeouts: PhaseTimeouts, now: float
) -> Decision:
    """Returns the decision at time `now`, in seconds on the owner's clock.

    Idempotent: deciding again with the decision's intent gives the same decision.
    """
    situation = _Situation(observed, timeouts, now)
    for _ in range(len(ReplicaPhase) + 1):
        decision = _DECIDE_IN_PHASE[intent.phase](intent, situation)
        if decision.intent.phase == intent.phase:
            return decision
        intent = decision.intent
    raise AssertionError("replica phases do not converge")


def _enter(intent: Intent, phase: ReplicaPhase, began_at: float) -> Decision:
    """Returns the transition to a phase that applies to no particular members."""
    return Decision(replace(intent, phase=phase, began_at=began_at, members=NO_MEMBERS))


def _start_anew(intent: Intent, now: float) -> Decision:
    """Returns the transition to FORMING as a new generation."""
    return Decision(
        replace(intent, phase=ReplicaPhase.FORMING, generation=intent.generation + 1, began_at=now)
    )


def _decide_waiting(intent: Intent, situation: _Situation) -> Decision:
    observed, timeouts, now = situation
    if observed.present:
        return _start_anew(intent, now)
    retry_at = intent.began_at + timeouts.pause_s if intent.began_at else now
    if now < retry_at:
        return Decision(intent, due=retry_at)
    return Decision(intent, to_place=observed.absent)


def _decide_forming(intent: Intent, situation: _Situation) -> Decision:
    observed, timeouts, now = situation
    if observed.all_running:
        return _enter(intent, ReplicaPhase.UP, now)
    if not observed.present:
        # The state service refused the placement, or all members were lost at once.
        return _enter(intent, ReplicaPhase.WAITING, now)
    deadline = situation.deadline(intent, timeouts.form_s)
    if now >= deadline or observed.all_stopping:
        return _enter(intent, ReplicaPhase.STOPPING, now)
    return Decision(intent, to_place=observed.absent, launch=observed.all_placed, due=deadline)


def _decide_up(intent: Intent, situation: _Situation) -> Decision:
    observed = situation.observed
    if not observed.present:
        return Decision(replace(intent, phase=ReplicaPhase.WAITING, began_at=0.0))
    starting = (observed.placed | observed.planned) - observed.unseen
    missing = observed.absent | observed.stopping | observed.unresponsive | starting
    if missing:
        return Decision(
            replace(intent, phase=ReplicaPhase.DEGRADED, began_at=situation.now, members=missing)
        )
    to_reserve = observed.draining if observed.may_move else NO_MEMBERS
    return Decision(intent, to_reserve=to_reserve, launch=True)


def _decide_degraded(intent: Intent, situation: _Situation) -> Decision:
    observed, timeouts, now = situation
    if observed.all_running:
        return _enter(intent, ReplicaPhase.UP, now)
    if not observed.present:
        return _enter(intent, ReplicaPhase.WAITING, 0.0)
    if not observed.absent and observed.planned:
        starting = observed.planned | observed.placed
        return Decision(replace(intent, phase=ReplicaPhase.REPAIRING, members=starting))
    deadline = situation.deadline(intent, timeouts.degraded_s)
    if observed.all_stopping:
        return _enter(intent, ReplicaPhase.STOPPING, now)
    # The state of an unresponsive member is unknown, so it must not be started elsewhere; stopping
    # the others would therefore gain nothing.
    if now >= deadline and (observed.absent or observed.placed - observed.unresponsive):
        return _enter(intent, ReplicaPhase.STOPPING, now)
    missing = observed.absent | observed.stopping | observed.unresponsive
    if missing and missing != intent.members:
        intent = replace(intent, members=missing)
    # Wait for members that are still stopping, so that one plan places all missing members.
    to_place = observed.absent if not observed.stopping else NO_MEMBERS
    return Decision(
        intent, to_place=to_place, launch=True, due=deadline if now < deadline else None
    )


def _decide_repairing(intent: Intent, situation: _Situation) -> Decision:
    observed, timeouts, now = situation
    if observed.all_running:
        return _enter(intent, ReplicaPhase.UP, now)
    if observed.absent or not observed.present:
        return Decision(replace(intent, phase=ReplicaPhase.DEGRADED))
    deadline = situation.deadline(intent, timeouts.degraded_s) + timeouts.form_s
    if now >= deadline or observed.all_stopping:
        return _enter(intent, ReplicaPhase.STOPPING, now)
    return Decision(intent, launch=not observed.planned, due=deadline)


def _decide_moving(intent: Intent, situation: _Situation) -> Decision:
    observed, timeouts, now = situation
    moved = intent.members & observed.all_members
    stopped = observed.absent & moved
    others_absent = observed.absent - moved
    if observed.planned:
        return _complete_move(intent, moved, situation)
    if moved and stopped == moved and observed.reservation_usable and not others_absent:
        return Decision(intent, move_into_reservation=True)
    deadline = situation.deadline(intent, timeouts.form_s)
    if not observed.reservation_usable or others_absent or now >= deadline or not moved:
        return _abandon_move(intent, is_begun=bool(stopped), situation=situation)
    if not observed.durable:
        # Otherwise a new owner would find stopped members and no reservation for them.
        return Decision(intent, due=deadline)
    return Decision(intent, stop=(moved - observed.absent) - observed.stopping, due=deadline)


def _complete_move(intent: Intent, moved: frozenset[int], situation: _Situation) -> Decision:
    """Returns the transition after the moved members were placed on the reserved machines."""
    intent = replace(intent, members=NO_MEMBERS, targets=())
    if moved == situation.observed.all_members:
        return _start_anew(intent, situation.now)
    return Decision(replace(intent, phase=ReplicaPhase.REPAIRING, members=moved))


def _abandon_move(intent: Intent, is_begun: bool, situation: _Situation) -> Decision:
    """Returns the transition when a move cannot be completed.

    `is_begun`: whether a member has already left its machine for the move.
    """
    observed = situation.observed
    intent = replace(intent, members=NO_MEMBERS, targets=())
    if not is_begun and not observed.stopping:
        # No member was stopped yet: the whole replica stays on its machines.
        return Decision(replace(intent, phase=ReplicaPhase.UP, began_at=situation.now))
    missing = observed.absent | observed.stopping
    return Decision(replace(intent, phase=ReplicaPhase.DEGRADED, members=missing))


def _decide_stopping(intent: Intent, situation: _Situation) -> Decision:
    observed = situation.observed
    if not observed.present:
        return _enter(intent, ReplicaPhase.WAITING, situation.now)
    return Decision(intent, stop=observed.present - observed.stopping)


_DECIDE_IN_PHASE: dict[ReplicaPhase, Callable[[Intent, _Situation], Decision]] = {
    ReplicaPhase.WAITING: _decide_waiting,
    ReplicaPhase.FORMING: _decide_forming,
    ReplicaPhase.UP: _decide_up,
    ReplicaPhase.DEGRADED: _decide_degraded,
    ReplicaPhase.REPAIRING: _decide_repairing,
    ReplicaPhase.MOVING: _decide_moving,
    ReplicaPhase.STOPPING: _decide_stopping,
}
