"""What a replica is meant to be, and what follows from what is seen of its members.

`decide` is pure and looks at levels, not at edges: a new owner that has read a replica's note and
its rows goes on from there, whatever the one before had done or had only begun.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import IntEnum

NONE: frozenset[int] = frozenset()


class ReplicaPhase(IntEnum):
    """The phase of a replica; the numbers are stored."""

    WAITING = 0
    """None of its members has a machine."""
    FORMING = 1
    """All have one, and start."""
    UP = 2
    DEGRADED = 3
    """Members are lacking, or cannot be reached."""
    REPAIRING = 4
    """What lacked has a machine, and starts."""
    MOVING = 5
    """Room is reserved for members that leave their machines."""
    STOPPING = 6
    """All members are stopped, and their room is returned."""


NAMES = {
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
    """What is durable of a replica, apart from the rows of its tasks."""

    phase: ReplicaPhase = ReplicaPhase.WAITING
    generation: int = 0
    """Rises whenever it is started anew."""
    began_at: float = 0.0
    """Since when, on the owner's clock; of one degraded or in repair since when it is not up, so
    that one loss after the other does not put off its end."""
    members: frozenset[int] = NONE
    """Those that the phase is about: lost, or moved."""
    targets: tuple[str, ...] = ()
    """Of a move: the machine that is reserved for each member, in order of their numbers."""


@dataclass(frozen=True, slots=True)
class ObservedMembers:
    """What is known of the members now. Every member is in `absent`, `planned`, `placed` or `runs`,
    unless it is done."""

    absent: frozenset[int] = NONE
    """Certainly on no machine."""
    planned: frozenset[int] = NONE
    """Not durable yet."""
    placed: frozenset[int] = NONE
    """Durable, not seen to run."""
    running: frozenset[int] = NONE
    unseen: frozenset[int] = NONE
    """Of `placed`: by an owner before this one, which may have seen them run."""
    stopping: frozenset[int] = NONE
    """Of those with a machine: told to stop, or to be told."""
    unresponsive: frozenset[int] = NONE
    """Of those with a machine: it is silent, so that nothing is certain of them."""
    draining: frozenset[int] = NONE
    """Of those with a machine: it is to be given up, and answers."""
    durable: bool = True
    """The intent is."""
    reservation_usable: bool = True
    """What a move has reserved is still there."""
    since: float = 0.0
    """Since when this owner acts: bounds begin no sooner, as it has to hear the members first."""
    may_move: bool = True
    """One more replica of the job may be down for a move."""

    @property
    def present(self) -> frozenset[int]:
        return self.planned | self.placed | self.running

    @property
    def all_members(self) -> frozenset[int]:
        return self.absent | self.present


@dataclass(frozen=True, slots=True)
class PhaseTimeouts:
    """Seconds that phases may take."""

    form_s: float
    degraded_s: float
    pause_s: float = 2.0
    """After a start that came to nothing: others have their turn with the room."""


@dataclass(frozen=True, slots=True)
class Decision:
    """What to do now."""

    intent: Intent
    wanted: frozenset[int] = NONE
    """Members that need room, all of them or none."""
    seek: frozenset[int] = NONE
    """Members for which room is to be reserved while they run."""
    stop: frozenset[int] = NONE
    launch: bool = False
    """Members with a machine may be launched."""
    move_into_reservation: bool = False
    """The reserved room is to be taken by all moved members, in one write."""
    due: float | None = field(default=None)
    """When to look again if nothing changes."""


def decide(intent: Intent, seen: ObservedMembers, bounds: PhaseTimeouts, now: float) -> Decision:
    """The intent as it has to be now, and what follows. At rest: the same again for its own
    result."""
    for _ in range(len(ReplicaPhase) + 1):
        found = _AT[intent.phase](intent, seen, bounds, now)
        if found.intent.phase == intent.phase:
            return found
        intent = found.intent
    raise AssertionError("phases without rest")


def _began(intent: Intent, seen: ObservedMembers) -> float:
    # A new owner knows running members only from their reports: with the bound of the owner before
    # it, a replica that had long been up was stopped by the first look after a takeover.
    return max(intent.began_at, seen.since)


def _whole(seen: ObservedMembers) -> bool:
    """All members have a durable place: none of them is left alone."""
    return not seen.absent and not seen.planned


def _up(seen: ObservedMembers) -> bool:
    return _whole(seen) and not seen.placed and not seen.stopping and not seen.unresponsive


def _waiting(intent: Intent, seen: ObservedMembers, bounds: PhaseTimeouts, now: float) -> Decision:
    if seen.present:
        return Decision(
            replace(
                intent, phase=ReplicaPhase.FORMING, generation=intent.generation + 1, began_at=now
            )
        )
    ready = intent.began_at + bounds.pause_s if intent.began_at else now
    if now < ready:
        return Decision(intent, due=ready)
    return Decision(intent, wanted=seen.absent)


def _forming(intent: Intent, seen: ObservedMembers, bounds: PhaseTimeouts, now: float) -> Decision:
    if _up(seen):
        return Decision(replace(intent, phase=ReplicaPhase.UP, began_at=now, members=NONE))
    if not seen.present:
        # Refused by the state service, or all of it gone at once.
        return Decision(replace(intent, phase=ReplicaPhase.WAITING, began_at=now, members=NONE))
    ends = _began(intent, seen) + bounds.form_s
    if now >= ends or seen.stopping >= seen.present:
        return Decision(replace(intent, phase=ReplicaPhase.STOPPING, began_at=now, members=NONE))
    return Decision(intent, wanted=seen.absent, launch=_whole(seen), due=ends)


def _running(intent: Intent, seen: ObservedMembers, bounds: PhaseTimeouts, now: float) -> Decision:
    if not seen.present:
        return Decision(replace(intent, phase=ReplicaPhase.WAITING, began_at=0.0))
    starting = (seen.placed | seen.planned) - seen.unseen
    lacking = seen.absent | seen.stopping | seen.unresponsive | starting
    if lacking:
        return Decision(replace(intent, phase=ReplicaPhase.DEGRADED, began_at=now, members=lacking))
    return Decision(intent, seek=seen.draining if seen.may_move else NONE, launch=True)


def _degraded(intent: Intent, seen: ObservedMembers, bounds: PhaseTimeouts, now: float) -> Decision:
    if _up(seen):
        return Decision(replace(intent, phase=ReplicaPhase.UP, began_at=now, members=NONE))
    if not seen.present:
        return Decision(replace(intent, phase=ReplicaPhase.WAITING, began_at=0.0, members=NONE))
    if not seen.absent and seen.planned:
        return Decision(
            replace(intent, phase=ReplicaPhase.REPAIRING, members=seen.planned | seen.placed)
        )
    ends = _began(intent, seen) + bounds.degraded_s
    if seen.stopping >= seen.present:
        return Decision(replace(intent, phase=ReplicaPhase.STOPPING, began_at=now, members=NONE))
    # Of one that hangs nothing is certain: it must not be started elsewhere, so that there is
    # nothing to gain by stopping the others.
    if now >= ends and (seen.absent or seen.placed - seen.unresponsive):
        return Decision(replace(intent, phase=ReplicaPhase.STOPPING, began_at=now, members=NONE))
    lacking = seen.absent | seen.stopping | seen.unresponsive
    if lacking and lacking != intent.members:
        intent = replace(intent, members=lacking)
    # Others that are on their way out are waited for: one plan for all that lacks.
    want = seen.absent if not seen.stopping else NONE
    return Decision(intent, wanted=want, launch=True, due=ends if now < ends else None)


def _repairing(
    intent: Intent, seen: ObservedMembers, bounds: PhaseTimeouts, now: float
) -> Decision:
    if _up(seen):
        return Decision(replace(intent, phase=ReplicaPhase.UP, began_at=now, members=NONE))
    if seen.absent or not seen.present:
        return Decision(replace(intent, phase=ReplicaPhase.DEGRADED))
    ends = _began(intent, seen) + bounds.degraded_s + bounds.form_s
    if now >= ends or seen.stopping >= seen.present:
        return Decision(replace(intent, phase=ReplicaPhase.STOPPING, began_at=now, members=NONE))
    return Decision(intent, launch=not seen.planned, due=ends)


def _moving(intent: Intent, seen: ObservedMembers, bounds: PhaseTimeouts, now: float) -> Decision:
    moved = intent.members & seen.all_members
    left = replace(intent, members=NONE, targets=())
    gone = seen.absent & moved
    if seen.planned:
        # The reserved room has just been taken, with all that moves.
        if moved == seen.all_members:
            return Decision(
                replace(
                    left, phase=ReplicaPhase.FORMING, generation=intent.generation + 1, began_at=now
                )
            )
        return Decision(replace(left, phase=ReplicaPhase.REPAIRING, members=moved))
    if moved and gone == moved and seen.reservation_usable and not seen.absent - moved:
        return Decision(intent, move_into_reservation=True)
    ends = _began(intent, seen) + bounds.form_s
    if not seen.reservation_usable or seen.absent - moved or now >= ends or not moved:
        if not gone and not seen.stopping:
            # Nothing was stopped yet: it stays where it is, whole.
            return Decision(replace(left, phase=ReplicaPhase.UP, began_at=now))
        return Decision(
            replace(left, phase=ReplicaPhase.DEGRADED, members=seen.absent | seen.stopping)
        )
    if not seen.durable:
        # A new owner would find members stopped and know of no room for them.
        return Decision(intent, due=ends)
    return Decision(intent, stop=(moved - seen.absent) - seen.stopping, due=ends)


def _stopping(intent: Intent, seen: ObservedMembers, bounds: PhaseTimeouts, now: float) -> Decision:
    if not seen.present:
        return Decision(replace(intent, phase=ReplicaPhase.WAITING, began_at=now, members=NONE))
    return Decision(intent, stop=seen.present - seen.stopping)


_AT = {
    ReplicaPhase.WAITING: _waiting,
    ReplicaPhase.FORMING: _forming,
    ReplicaPhase.UP: _running,
    ReplicaPhase.DEGRADED: _degraded,
    ReplicaPhase.REPAIRING: _repairing,
    ReplicaPhase.MOVING: _moving,
    ReplicaPhase.STOPPING: _stopping,
}


def downtime_s(fetches_s: list[float], start_s: float, stop_s: float = 0.0) -> float:
    """How long a replica is not up if members with these fetches start together, after a stop."""
    return stop_s + max(fetches_s, default=0.0) + start_s
