"""What is kept of replicas: in memory of those acted for, and in the notes on the pages."""

from __future__ import annotations

from dataclasses import dataclass, field

from badgerseam.clock import Clock
from badgerseam.model.job import Job
from badgerseam.replicas.phases import NO_MEMBERS, Intent, ReplicaPhase
from badgerseam.replicas.shapes import ReplicaShape
from badgerseam.wire.state import StoredReplica

MAX_MEMBERS_LISTED = 64
"""Members that a note lists; one with more is about all of them."""


@dataclass(slots=True)
class ReplicaState:
    """One replica of a share that is acted for."""

    number: int
    intent: Intent = field(default_factory=Intent)
    step: int = 0
    """Of the latest note."""
    want: frozenset[int] = NO_MEMBERS
    seek: frozenset[int] = NO_MEMBERS
    due: float | None = None


@dataclass(slots=True)
class ReplicatedJob:
    """A job of a share that is acted for."""

    job: Job
    shape: ReplicaShape
    term: int
    """Of the share: under another one everything is read again."""
    replicas: dict[int, ReplicaState]
    wanting: set[int] = field(default_factory=set)
    """Replicas that need room, or seek it."""
    moving: set[int] = field(default_factory=set)
    """Replicas that are down, or soon will be, for a move."""


def to_note(clock: Clock, job: Job, replica: ReplicaState) -> StoredReplica:
    """The note that says what is intended, with the next step."""
    intent = replica.intent
    replica.step += 1
    began = clock.wall() - (clock.now() - intent.began_at) - job.submitted
    members = sorted(intent.members)
    return StoredReplica(
        replica.number,
        replica.step,
        int(intent.phase),
        intent.generation,
        max(0, round(10 * began)) if intent.began_at else 0,
        members if len(members) <= MAX_MEMBERS_LISTED else [],
        list(intent.targets),
    )


def from_note(clock: Clock, job: Job, shape: ReplicaShape, number: int) -> ReplicaState:
    """A replica as its note says; one without is taken to be waiting."""
    note = job.notes.get((StoredReplica, number))
    if not isinstance(note, StoredReplica):
        return ReplicaState(number)
    try:
        phase = ReplicaPhase(note.phase)
    except ValueError:
        # Of a program to come: what is seen of the members tells the rest.
        phase = ReplicaPhase.DEGRADED
    at = clock.now() - (clock.wall() - (job.submitted + note.at / 10)) if note.at else 0.0
    tasks = shape.tasks(number)
    members = frozenset(task for task in note.members if task in tasks)
    if phase == ReplicaPhase.MOVING and not note.members:
        members = frozenset(tasks)
    return ReplicaState(
        number,
        Intent(phase, note.generation, at, members, tuple(note.to)),
        note.step,
    )
