"""What is kept of replicas: in memory of those acted for, and in the notes on the pages."""

from __future__ import annotations

from dataclasses import dataclass, field

from badgerseam.clock import Clock
from badgerseam.model.job import Job
from badgerseam.replicas.phases import NONE, Intent, Step
from badgerseam.replicas.shapes import Shape
from badgerseam.wire.state import StoredReplica

MOST_LISTED = 64
"""Members that a note lists; one with more is about all of them."""


@dataclass(slots=True)
class Replica:
    """One replica of a share that is acted for."""

    number: int
    intent: Intent = field(default_factory=Intent)
    step: int = 0
    """Of the latest note."""
    want: frozenset[int] = NONE
    seek: frozenset[int] = NONE
    due: float | None = None


@dataclass(slots=True)
class Entry:
    """A job of a share that is acted for."""

    job: Job
    shape: Shape
    term: int
    """Of the share: under another one everything is read again."""
    replicas: dict[int, Replica]
    wanting: set[int] = field(default_factory=set)
    """Replicas that need room, or seek it."""
    moving: set[int] = field(default_factory=set)
    """Replicas that are down, or soon will be, for a move."""


def write(clock: Clock, job: Job, replica: Replica) -> StoredReplica:
    """The note that says what is intended, with the next step."""
    intent = replica.intent
    replica.step += 1
    began = clock.wall() - (clock.now() - intent.at) - job.submitted
    members = sorted(intent.members)
    return StoredReplica(
        replica.number,
        replica.step,
        int(intent.phase),
        intent.incarnation,
        max(0, round(10 * began)) if intent.at else 0,
        members if len(members) <= MOST_LISTED else [],
        list(intent.to),
    )


def read(clock: Clock, job: Job, shape: Shape, number: int) -> Replica:
    """A replica as its note says; one without is taken to be waiting."""
    note = job.notes.get((StoredReplica, number))
    if not isinstance(note, StoredReplica):
        return Replica(number)
    try:
        phase = Step(note.phase)
    except ValueError:
        # Of a program to come: what is seen of the members tells the rest.
        phase = Step.DEGRADED
    at = clock.now() - (clock.wall() - (job.submitted + note.at / 10)) if note.at else 0.0
    tasks = shape.tasks(number)
    members = frozenset(task for task in note.members if task in tasks)
    if phase == Step.MOVING and not note.members:
        members = frozenset(tasks)
    return Replica(
        number,
        Intent(phase, note.incarnation, at, members, tuple(note.to)),
        note.step,
    )
