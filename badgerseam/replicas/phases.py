"""What a replica is meant to be, and what follows from what is seen of its members.

`decide` is pure and looks at levels, not at edges: a new owner that has read a replica's note and
its rows goes on from there, whatever the one before had done or had only begun.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import IntEnum

NONE: frozenset[int] = frozenset()


class Step(IntEnum):
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
    Step.WAITING: "waiting",
    Step.FORMING: "forming",
    Step.UP: "up",
    Step.DEGRADED: "degraded",
    Step.REPAIRING: "repairing",
    Step.MOVING: "moving",
    Step.STOPPING: "stopping",
}


@dataclass(frozen=True, slots=True)
class Intent:
    """What is durable of a replica, apart from the rows of its tasks."""

    phase: Step = Step.WAITING
    incarnation: int = 0
    """Rises whenever it is started anew."""
    at: float = 0.0
    """Since when, on the owner's clock; of one degraded or in repair since when it is not up, so
    that one loss after the other does not put off its end."""
    members: frozenset[int] = NONE
    """Those that the phase is about: lost, or moved."""
    to: tuple[str, ...] = ()
    """Of a move: the machine that is reserved for each member, in order of their numbers."""


@dataclass(frozen=True, slots=True)
class Seen:
    """What is known of the members now. Every member is in `absent`, `planned`, `placed` or `runs`,
    unless it is done."""

    absent: frozenset[int] = NONE
    """Certainly on no machine."""
    planned: frozenset[int] = NONE
    """Not durable yet."""
    placed: frozenset[int] = NONE
    """Durable, not seen to run."""
    runs: frozenset[int] = NONE
    unseen: frozenset[int] = NONE
    """Of `placed`: by an owner before this one, which may have seen them run."""
    stopping: frozenset[int] = NONE
    """Of those with a machine: told to stop, or to be told."""
    hung: frozenset[int] = NONE
    """Of those with a machine: it is silent, so that nothing is certain of them."""
    leaving: frozenset[int] = NONE
    """Of those with a machine: it is to be given up, and answers."""
    durable: bool = True
    """The intent is."""
    room: bool = True
    """What a move has reserved is still there."""
    since: float = 0.0
    """Since when this owner acts: bounds begin no sooner, as it has to hear the members first."""
    moves: bool = True
    """One more replica of the job may be down for a move."""

    @property
    def there(self) -> frozenset[int]:
        return self.planned | self.placed | self.runs

    @property
    def every(self) -> frozenset[int]:
        return self.absent | self.there


@dataclass(frozen=True, slots=True)
class Bounds:
    """Seconds that phases may take."""

    form_s: float
    degraded_s: float
    pause_s: float = 2.0
    """After a start that came to nothing: others have their turn with the room."""


@dataclass(frozen=True, slots=True)
class Next:
    """What to do now."""

    intent: Intent
    want: frozenset[int] = NONE
    """Members that need room, all of them or none."""
    seek: frozenset[int] = NONE
    """Members for which room is to be reserved while they run."""
    stop: frozenset[int] = NONE
    launch: bool = False
    """Members with a machine may be launched."""
    take: bool = False
    """The reserved room is to be taken by all moved members, in one write."""
    due: float | None = field(default=None)
    """When to look again if nothing changes."""


def decide(intent: Intent, seen: Seen, bounds: Bounds, now: float) -> Next:
    """The intent as it has to be now, and what follows. At rest: the same again for its own
    result."""
    for _ in range(len(Step) + 1):
        found = _AT[intent.phase](intent, seen, bounds, now)
        if found.intent.phase == intent.phase:
            return found
        intent = found.intent
    raise AssertionError("phases without rest")


def _began(intent: Intent, seen: Seen) -> float:
    # A new owner knows running members only from their reports: with the bound of the owner before
    # it, a replica that had long been up was stopped by the first look after a takeover.
    return max(intent.at, seen.since)


def _whole(seen: Seen) -> bool:
    """All members have a durable place: none of them is left alone."""
    return not seen.absent and not seen.planned


def _up(seen: Seen) -> bool:
    return _whole(seen) and not seen.placed and not seen.stopping and not seen.hung


def _waiting(intent: Intent, seen: Seen, bounds: Bounds, now: float) -> Next:
    if seen.there:
        return Next(replace(intent, phase=Step.FORMING, incarnation=intent.incarnation + 1, at=now))
    ready = intent.at + bounds.pause_s if intent.at else now
    if now < ready:
        return Next(intent, due=ready)
    return Next(intent, want=seen.absent)


def _forming(intent: Intent, seen: Seen, bounds: Bounds, now: float) -> Next:
    if _up(seen):
        return Next(replace(intent, phase=Step.UP, at=now, members=NONE))
    if not seen.there:
        # Refused by the state service, or all of it gone at once.
        return Next(replace(intent, phase=Step.WAITING, at=now, members=NONE))
    ends = _began(intent, seen) + bounds.form_s
    if now >= ends or seen.stopping >= seen.there:
        return Next(replace(intent, phase=Step.STOPPING, at=now, members=NONE))
    return Next(intent, want=seen.absent, launch=_whole(seen), due=ends)


def _running(intent: Intent, seen: Seen, bounds: Bounds, now: float) -> Next:
    if not seen.there:
        return Next(replace(intent, phase=Step.WAITING, at=0.0))
    starting = (seen.placed | seen.planned) - seen.unseen
    lacking = seen.absent | seen.stopping | seen.hung | starting
    if lacking:
        return Next(replace(intent, phase=Step.DEGRADED, at=now, members=lacking))
    return Next(intent, seek=seen.leaving if seen.moves else NONE, launch=True)


def _degraded(intent: Intent, seen: Seen, bounds: Bounds, now: float) -> Next:
    if _up(seen):
        return Next(replace(intent, phase=Step.UP, at=now, members=NONE))
    if not seen.there:
        return Next(replace(intent, phase=Step.WAITING, at=0.0, members=NONE))
    if not seen.absent and seen.planned:
        return Next(replace(intent, phase=Step.REPAIRING, members=seen.planned | seen.placed))
    ends = _began(intent, seen) + bounds.degraded_s
    if seen.stopping >= seen.there:
        return Next(replace(intent, phase=Step.STOPPING, at=now, members=NONE))
    # Of one that hangs nothing is certain: it must not be started elsewhere, so that there is
    # nothing to gain by stopping the others.
    if now >= ends and (seen.absent or seen.placed - seen.hung):
        return Next(replace(intent, phase=Step.STOPPING, at=now, members=NONE))
    lacking = seen.absent | seen.stopping | seen.hung
    if lacking and lacking != intent.members:
        intent = replace(intent, members=lacking)
    # Others that are on their way out are waited for: one plan for all that lacks.
    want = seen.absent if not seen.stopping else NONE
    return Next(intent, want=want, launch=True, due=ends if now < ends else None)


def _repairing(intent: Intent, seen: Seen, bounds: Bounds, now: float) -> Next:
    if _up(seen):
        return Next(replace(intent, phase=Step.UP, at=now, members=NONE))
    if seen.absent or not seen.there:
        return Next(replace(intent, phase=Step.DEGRADED))
    ends = _began(intent, seen) + bounds.degraded_s + bounds.form_s
    if now >= ends or seen.stopping >= seen.there:
        return Next(replace(intent, phase=Step.STOPPING, at=now, members=NONE))
    return Next(intent, launch=not seen.planned, due=ends)


def _moving(intent: Intent, seen: Seen, bounds: Bounds, now: float) -> Next:
    moved = intent.members & seen.every
    left = replace(intent, members=NONE, to=())
    gone = seen.absent & moved
    if seen.planned:
        # The reserved room has just been taken, with all that moves.
        if moved == seen.every:
            return Next(
                replace(left, phase=Step.FORMING, incarnation=intent.incarnation + 1, at=now)
            )
        return Next(replace(left, phase=Step.REPAIRING, members=moved))
    if moved and gone == moved and seen.room and not seen.absent - moved:
        return Next(intent, take=True)
    ends = _began(intent, seen) + bounds.form_s
    if not seen.room or seen.absent - moved or now >= ends or not moved:
        if not gone and not seen.stopping:
            # Nothing was stopped yet: it stays where it is, whole.
            return Next(replace(left, phase=Step.UP, at=now))
        return Next(replace(left, phase=Step.DEGRADED, members=seen.absent | seen.stopping))
    if not seen.durable:
        # A new owner would find members stopped and know of no room for them.
        return Next(intent, due=ends)
    return Next(intent, stop=(moved - seen.absent) - seen.stopping, due=ends)


def _stopping(intent: Intent, seen: Seen, bounds: Bounds, now: float) -> Next:
    if not seen.there:
        return Next(replace(intent, phase=Step.WAITING, at=now, members=NONE))
    return Next(intent, stop=seen.there - seen.stopping)


_AT = {
    Step.WAITING: _waiting,
    Step.FORMING: _forming,
    Step.UP: _running,
    Step.DEGRADED: _degraded,
    Step.REPAIRING: _repairing,
    Step.MOVING: _moving,
    Step.STOPPING: _stopping,
}


def downtime_s(fetches_s: list[float], start_s: float, stop_s: float = 0.0) -> float:
    """How long a replica is not up if members with these fetches start together, after a stop."""
    return stop_s + max(fetches_s, default=0.0) + start_s
