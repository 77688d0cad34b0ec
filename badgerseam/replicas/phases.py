"""The phases of a replica: its intent, what is observed of its members, and the next decision.

`decide` is a pure function of the current state (level-triggered, not edge-triggered): a new owner
that has read a replica's note and its rows continues from there, whatever the owner before it had
done or had only begun.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import IntEnum
from typing import NamedTuple

NO_MEMBERS: frozenset[int] = frozenset()


class ReplicaPhase(IntEnum):
    """The phase of a replica; the numbers are stored."""

    WAITING = 0
    """None of its members has a machine."""
    FORMING = 1
    """All members have a machine, and start."""
    UP = 2
    """All members run, on machines that send heartbeats."""
    DEGRADED = 3
    """Members are missing, or cannot be reached."""
    REPAIRING = 4
    """The missing members have a machine, and start."""
    MOVING = 5
    """Capacity is reserved for members that leave their machines."""
    STOPPING = 6
    """All members are stopped, and their capacity is released."""


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
    """Rises whenever the replica is started anew."""
    began_at: float = 0.0
    """When the phase began, on the owner's clock; 0 if unknown. For DEGRADED and REPAIRING: since
    when the replica is not up, so that repeated losses do not postpone its end."""
    members: frozenset[int] = NO_MEMBERS
    """The members that the phase is about: missing, or moved."""
    targets: tuple[str, ...] = ()
    """Of a move: the machine that is reserved for each member, in order of their numbers."""


@dataclass(frozen=True, slots=True)
class ObservedMembers:
    """What is known of the members now.

    Invariant: every member that is not finished is in exactly one of `absent`, `planned`, `placed`
    and `running`.
    """

    absent: frozenset[int] = NO_MEMBERS
    """Certainly on no machine."""
    planned: frozenset[int] = NO_MEMBERS
    """Their placement is not durable yet."""
    placed: frozenset[int] = NO_MEMBERS
    """Their placement is durable; no heartbeat has shown them running."""
    running: frozenset[int] = NO_MEMBERS
    """A heartbeat has shown them running."""
    unseen: frozenset[int] = NO_MEMBERS
    """Of `placed`: placed by an earlier owner, which may have observed them running."""
    stopping: frozenset[int] = NO_MEMBERS
    """Of those with a machine: a stop is sent, or is to be sent."""
    unresponsive: frozenset[int] = NO_MEMBERS
    """Of those with a machine: it sends no heartbeats, so that nothing is certain of them."""
    draining: frozenset[int] = NO_MEMBERS
    """Of those with a machine: it is draining, and sends heartbeats."""
    durable: bool = True
    """The state service holds the intent."""
    reservation_usable: bool = True
    """Every machine that a move has reserved can still be used."""
    since: float = 0.0
    """When this owner took over the shard: timeouts begin no sooner, as the owner has to receive
    heartbeats of the members first."""
    may_move: bool = True
    """One more replica of the job may be down for a move."""

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
        """Whether the placement of every member is durable: none of them would start alone."""
        return not self.absent and not self.planned

    @property
    def all_running(self) -> bool:
        """Whether every member runs undisturbed, on a machine that sends heartbeats."""
        return self.all_placed and not (self.placed or self.stopping or self.unresponsive)

    @property
    def all_stopping(self) -> bool:
        """Whether every member with a machine is being stopped."""
        return self.stopping >= self.present


@dataclass(frozen=True, slots=True)
class PhaseTimeouts:
    """Seconds that phases may take."""

    form_s: float
    degraded_s: float
    pause_s: float = 2.0
    """Backoff after a start that failed: other work may use the capacity meanwhile."""


@dataclass(frozen=True, slots=True)
class Decision:
    """The intent as it has to be now, and the actions that follow from it."""

    intent: Intent
    to_place: frozenset[int] = NO_MEMBERS
    """Members that need machines, all of them or none."""
    to_reserve: frozenset[int] = NO_MEMBERS
    """Members for which capacity is to be reserved while they run."""
    stop: frozenset[int] = NO_MEMBERS
    """Members that are to be stopped."""
    launch: bool = False
    """Members with a machine may be launched."""
    move_into_reservation: bool = False
    """All moved members are to be placed on the reserved machines, in one write."""
    due: float | None = None
    """When to decide again if nothing changes."""


class _Situation(NamedTuple):
    """What a decision is made on, apart from the intent."""

    observed: ObservedMembers
    timeouts: PhaseTimeouts
    now: float

    def deadline(self, intent: Intent, timeout_s: float) -> float:
        """When a phase of the intent times out."""
        # A new owner knows running members only from their heartbeats: with the timeout of the
        # owner before it, a replica that had long been up was stopped by the first review after a
        # takeover.
        return max(intent.began_at, self.observed.since) + timeout_s


def decide(
    intent: Intent, observed: ObservedMembers, timeouts: PhaseTimeouts, now: float
) -> Decision:
    """The decision at a time (seconds on the owner's clock).

    Idempotent: the decision's own intent gives the same decision again.
    """
    situation = _Situation(observed, timeouts, now)
    for _ in range(len(ReplicaPhase) + 1):
        decision = _DECIDE_IN_PHASE[intent.phase](intent, situation)
        if decision.intent.phase == intent.phase:
            return decision
        intent = decision.intent
    raise AssertionError("replica phases do not converge")


def _enter(intent: Intent, phase: ReplicaPhase, began_at: float) -> Decision:
    """The transition to a phase that is about no particular members."""
    return Decision(replace(intent, phase=phase, began_at=began_at, members=NO_MEMBERS))


def _start_anew(intent: Intent, now: float) -> Decision:
    """The transition to FORMING, as a new generation."""
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
        # Refused by the state service, or all members lost at once.
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
    # Nothing is certain of an unresponsive member: it must not be started elsewhere, so that
    # stopping the others would gain nothing.
    if now >= deadline and (observed.absent or observed.placed - observed.unresponsive):
        return _enter(intent, ReplicaPhase.STOPPING, now)
    missing = observed.absent | observed.stopping | observed.unresponsive
    if missing and missing != intent.members:
        intent = replace(intent, members=missing)
    # Wait for members that are still stopping: one plan then places all that are missing.
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
        return _moved(intent, moved, situation)
    if moved and stopped == moved and observed.reservation_usable and not others_absent:
        return Decision(intent, move_into_reservation=True)
    deadline = situation.deadline(intent, timeouts.form_s)
    if not observed.reservation_usable or others_absent or now >= deadline or not moved:
        return _abandon_move(intent, is_begun=bool(stopped), situation=situation)
    if not observed.durable:
        # A new owner would find members stopped and know of no reservation for them.
        return Decision(intent, due=deadline)
    return Decision(intent, stop=(moved - observed.absent) - observed.stopping, due=deadline)


def _moved(intent: Intent, moved: frozenset[int], situation: _Situation) -> Decision:
    """The moved members have just been placed on the reserved machines."""
    intent = replace(intent, members=NO_MEMBERS, targets=())
    if moved == situation.observed.all_members:
        return _start_anew(intent, situation.now)
    return Decision(replace(intent, phase=ReplicaPhase.REPAIRING, members=moved))


def _abandon_move(intent: Intent, is_begun: bool, situation: _Situation) -> Decision:
    """The move cannot be completed; `is_begun`: a member has left its machine for it."""
    observed = situation.observed
    intent = replace(intent, members=NO_MEMBERS, targets=())
    if not is_begun and not observed.stopping:
        # Nothing was stopped yet: the whole replica stays where it is.
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
