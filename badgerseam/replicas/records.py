"""The state of replicas: the owner's in-memory state, and the notes on the pages of the task
log."""

from __future__ import annotations

from dataclasses import dataclass, field

from badgerseam.clock import Clock
from badgerseam.model.job import Job
from badgerseam.replicas.phases import NO_MEMBERS, Intent, ReplicaPhase
from badgerseam.replicas.reservations import ReplicaKey
from badgerseam.replicas.shapes import ReplicaShape
from badgerseam.wire.state import StoredReplica

MAX_MEMBERS_LISTED = 64
"""The maximum number of members that a note lists. If more members are concerned, the note lists
none; in a move it then applies to all members."""
NOTE_TICKS_PER_S = 10
"""The resolution of times in notes: tenths of a second."""


@dataclass(slots=True)
class ReplicaState:
    """One replica of a job in an owned shard."""

    number: int
    intent: Intent = field(default_factory=Intent)
    note_step: int = 0
    """The step number of the latest note."""
    to_place: frozenset[int] = NO_MEMBERS
    """Members to be placed on machines."""
    to_reserve: frozenset[int] = NO_MEMBERS
    """Running members for which capacity is to be reserved."""
    review_at: float | None = None
    """When the replica is reviewed next even if nothing changes; None: only after a change."""


@dataclass(slots=True)
class ReplicatedJob:
    """A job in an owned shard whose replicas span machines."""

    job: Job
    shape: ReplicaShape
    term: int
    """The shard's term when the notes were read; they are read again under another term."""
    replicas: dict[int, ReplicaState]
    requesting: set[int] = field(default_factory=set)
    """Numbers of the replicas that have members to place or to reserve capacity for."""
    moving: set[int] = field(default_factory=set)
    """Numbers of the replicas that are, or soon will be, down for a move."""

    def key(self, number: int) -> ReplicaKey:
        """Returns the key of one of the job's replicas."""
        return ReplicaKey(self.job.index, number)


def to_note(clock: Clock, job: Job, replica: ReplicaState) -> StoredReplica:
    """Returns a note that records a replica's intent, with the next step number."""
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
    """Returns the state of a replica according to its note; without a note the replica is
    WAITING."""
    note = job.notes.get((StoredReplica, number))
    if not isinstance(note, StoredReplica):
        return ReplicaState(number)
    try:
        phase = ReplicaPhase(note.phase)
    except ValueError:
        # Written by a newer version of the program: the further phase follows from the observed
        # members.
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
