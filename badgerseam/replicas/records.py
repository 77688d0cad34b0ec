"""The state of replicas: in memory on the owner, and in the notes on the pages of the task log."""

from __future__ import annotations

from dataclasses import dataclass, field

from badgerseam.clock import Clock
from badgerseam.model.job import Job
from badgerseam.replicas.phases import NO_MEMBERS, Intent, ReplicaPhase
from badgerseam.replicas.reservations import ReplicaKey
from badgerseam.replicas.shapes import ReplicaShape
from badgerseam.wire.state import StoredReplica

MAX_MEMBERS_LISTED = 64
"""Members that a note lists; one with more is about all of them."""
NOTE_TICKS_PER_S = 10
"""Notes count time in tenths of a second."""


@dataclass(slots=True)
class ReplicaState:
    """One replica of a job in an owned shard."""

    number: int
    intent: Intent = field(default_factory=Intent)
    note_step: int = 0
    """The step of the latest note."""
    to_place: frozenset[int] = NO_MEMBERS
    """Members that need machines."""
    to_reserve: frozenset[int] = NO_MEMBERS
    """Running members for which capacity is to be reserved."""
    review_at: float | None = None
    """When the replica is reviewed even if nothing changes."""


@dataclass(slots=True)
class ReplicatedJob:
    """A job in an owned shard whose replicas span machines."""

    job: Job
    shape: ReplicaShape
    term: int
    """The term of the shard: under another one everything is read again."""
    replicas: dict[int, ReplicaState]
    requesting: set[int] = field(default_factory=set)
    """Replicas with members to place or to reserve capacity for."""
    moving: set[int] = field(default_factory=set)
    """Replicas that are down, or soon will be, for a move."""

    def key(self, number: int) -> ReplicaKey:
        """The key of one of the job's replicas."""
        return ReplicaKey(self.job.index, number)


def to_note(clock: Clock, job: Job, replica: ReplicaState) -> StoredReplica:
    """The note that makes a replica's intent durable, with the next step."""
    intent = replica.intent
    replica.note_step += 1
    began_s = clock.wall() - (clock.now() - intent.began_at) - job.submitted
    members = sorted(intent.members)
    return StoredReplica(
        replica.number,
        replica.note_step,
        int(intent.phase),
        intent.generation,
        max(0, round(NOTE_TICKS_PER_S * began_s)) if intent.began_at else 0,
        members if len(members) <= MAX_MEMBERS_LISTED else [],
        list(intent.targets),
    )


def from_note(clock: Clock, job: Job, shape: ReplicaShape, number: int) -> ReplicaState:
    """A replica as its note says; one without a note is taken to be waiting."""
    note = job.notes.get((StoredReplica, number))
    if not isinstance(note, StoredReplica):
        return ReplicaState(number)
    try:
        phase = ReplicaPhase(note.phase)
    except ValueError:
        # Written by a newer version: what is observed of the members decides the rest.
        phase = ReplicaPhase.DEGRADED
    began_at = 0.0
    if note.at:
        began_at = clock.now() - (clock.wall() - (job.submitted + note.at / NOTE_TICKS_PER_S))
    tasks = shape.tasks(number)
    members = frozenset(task for task in note.members if task in tasks)
    if phase == ReplicaPhase.MOVING and not note.members:
        members = frozenset(tasks)
    intent = Intent(phase, note.generation, began_at, members, tuple(note.to))
    return ReplicaState(number, intent, note.step)
