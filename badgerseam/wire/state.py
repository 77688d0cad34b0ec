"""The state service's protocol, and the records that are stored there.

Where the protocol's name of a field differs, the field's docstring gives it. Stored records are
arrays on the wire to stay small: the order of their fields is the format.
"""

from __future__ import annotations

import msgspec
from msgspec import Raw, Struct, field

from badgerseam.wire.accounting import Usage
from badgerseam.wire.users import Submission


class Entry(Struct, frozen=True, rename={"key": "k", "value": "data", "version": "stamp"}):
    """A key and its value."""

    key: str
    """`k`"""
    value: Raw
    """`data`"""
    version: int
    """`stamp`: the revision of the latest change of the key."""


class KeyPage(Struct, frozen=True, rename={"items": "entries", "revision": "epoch"}):
    """A part of the keys under a prefix."""

    items: list[Entry]
    """`entries`"""
    more: bool
    """Whether there are keys behind these."""
    revision: int
    """`epoch`: the revision of the store at which the page was read."""


class Change(
    Struct,
    frozen=True,
    rename={"put": "set", "delete": "remove", "value": "data", "version": "stamp"},
):
    """A change of one key: either `put` or `delete` names it."""

    version: int
    """`stamp`: the revision of the change."""
    put: str | None = None
    """`set`: the key, if a value was written."""
    delete: str | None = None
    """`remove`: the key, if it was deleted."""
    value: Raw = Raw(b"null")
    """`data`: the value that was written."""


class Changes(Struct, frozen=True, rename={"revision": "epoch", "events": "log"}):
    """The changes of the store after a revision."""

    revision: int
    """`epoch`: the revision up to which these are all the changes."""
    events: list[Change] = field(default_factory=list)
    """`log`: in the order of their revisions."""


class Condition(Struct, frozen=True, rename={"key": "k", "version": "stamp"}):
    """A condition of a transaction: a key that must still have a version."""

    key: str
    """`k`"""
    version: int
    """`stamp`: 0 if the key must not exist."""


class Write(
    Struct,
    frozen=True,
    omit_defaults=True,
    rename={"put": "set", "delete": "remove", "value": "data", "lease": "grant"},
):
    """A write of a transaction: either `put` or `delete` names the key."""

    put: str | None = None
    """`set`"""
    delete: str | None = None
    """`remove`"""
    value: Raw | None = None
    """`data`"""
    lease: int | None = None
    """`grant`: the lease whose end deletes the key; None if it stays."""


class Transaction(Struct, frozen=True, rename={"conditions": "when", "then": "writes"}):
    """A compare-and-swap: the writes happen if all conditions hold."""

    conditions: list[Condition]
    """`when`"""
    then: list[Write]
    """`writes`"""


class Committed(Struct, frozen=True, rename={"revision": "epoch"}):
    """The answer to a transaction."""

    revision: int
    """`epoch`: the revision that its writes got."""
    failed: list[str] = field(default_factory=list)
    """The keys whose conditions did not hold; nothing was written if there are any."""


class Lease(Struct, frozen=True, rename={"lease": "grant"}):
    """A lease."""

    lease: int
    """`grant`: its number."""


# ---- stored records ----


class Claim(Struct, frozen=True, array_like=True):
    """Who owns a shard, leads, or is alive, and on which lease."""

    node: str
    lease: int
    unavailable: bool = False
    """Of a controller's own record: it claims no shard, since no worker reaches it, it drains, or
    it does not support the site's level."""


class ControllerRecord(Claim, frozen=True, array_like=True):
    """A controller's own record, on its lease: that it is there, and which levels of the stored
    state its program can act at. A program from before levels says nothing of them."""

    min_level: int = 1
    max_level: int = 1
    program: str = ""
    classes_digest: str = ""
    """Digest of the priority classes in its options; empty if it keeps none."""
    suspected: list[str] = field(default_factory=list)
    """Controllers that it suspects to have ended; one that is alive writes its own record again."""


class ClaimRecord(Claim, frozen=True, array_like=True):
    """A claim on a shard or on the leadership."""

    previous_owner_until: float | None = None
    """Time of day up to which the owner before this one, cut off from the state service, may go on
    answering the shard's workers; None from a program that does not say. Later processes of the
    owner carry it over, since none of them can know it by itself."""


class ProxyRecord(Struct, frozen=True, array_like=True):
    """The owners whose workers a controller answers, since it cannot reach them."""

    node: str
    lease: int
    owners: list[str]


class StoredJob(Struct, frozen=True, array_like=True):
    """A job: open with its description, or ended with its number of tasks only."""

    state: str
    tasks: int
    accepted_at: float
    spec: Submission | None = None
    usage: Usage | None = None
    """What it used, of one that has ended and was accounted for."""
    queue_position: int = 0
    """The version of the record that accepted it, kept when that is written again; 0 in that
    record itself."""


class StoredMember(StoredJob, frozen=True, array_like=True):
    """An ended job of a plan of reckoning runs. Its queue position determines its run: it was
    accepted before the members of that one were settled, and after those of the run before."""

    plan: str = ""
    reckoned: int = 0
    """Of a cancelled job: its tasks that were known to be done."""


class TaskRow(Struct, frozen=True, array_like=True):
    """A task that was tried: its number, last attempt, and the machine it may be on."""

    task: int
    attempt: int
    machine: str | None


class StoredFailures(Struct, frozen=True, array_like=True, tag="f"):
    """A note: how often a member of a reckoning run has failed."""

    number: int
    """The task."""
    step: int
    """Its failures. Of two notes on the same task the one with more counts."""
    attempt: int = 0
    """The last attempt that has failed: seen again in a report by the next owner, it is not
    counted twice."""


class StoredReplica(Struct, frozen=True, array_like=True, tag="r"):
    """A note: what is intended with a replica that spans machines."""

    number: int
    """Of the replica within its job."""
    step: int
    """Rises with each change of what follows: the note with the highest counts."""
    phase: int
    generation: int
    """Rises whenever it is started anew."""
    at: int
    """When the phase began, in tenths of a second after the job's acceptance."""
    members: list[int] = field(default_factory=list)
    """The tasks that the phase is about: those lost, or those being moved; none: all of them."""
    to: list[str] = field(default_factory=list)
    """Of a move: the machine reserved for each of these, in order of their numbers."""


Note = StoredFailures | StoredReplica


class JobRows(Struct, frozen=True, array_like=True):
    """One job in a page of the task log: finished tasks as hexadecimal bit sets, each of one chunk
    of the job's tasks, and tasks that were tried."""

    job: str
    done: list[tuple[int, str]]
    rows: list[TaskRow]
    starts: list[tuple[int, int]] = field(default_factory=list)
    """When attempts of these rows began to run, where the site's level has it: the task, and
    tenths of a second after the job's acceptance. Programs of the level before leave it out."""
    notes: list[Note] = field(default_factory=list)
    """Where the site's level has them."""


class StoredMachine(Struct, frozen=True, array_like=True):
    """A machine and the shard it serves; dropped ones wait for their release."""

    name: str
    shard: int
    type: str
    zone: str
    spot: bool
    address: str
    rented_at: float
    dropped: bool = False


class StoredRental(Struct, frozen=True, array_like=True):
    """A rental request under its unique name, persisted before it is sent."""

    shards: list[int]
    """The shard each machine is meant for, the most urgent first."""
    type: str
    zone: str
    spot: bool
    requested_at: float


class SiteLevel(Struct, frozen=True, array_like=True):
    """The level of the stored state that a site is at."""

    level: int
    by: str
    """The leader that wrote it."""
    at: float
    migrated: int = 1
    """No record is left in a form that a later level up to this one has replaced."""


class TargetLevel(Struct, frozen=True, array_like=True):
    """The level that operators ask for; without such a record it rises when it can."""

    level: int
    """To be raised or lowered to, one step at a time, and to stay at."""
    by: str
    at: float


class StoredRun(Struct, frozen=True, array_like=True):
    """A reckoning run of a plan; it is never removed. Each phase is written on the version of
    the one before."""

    phase: str
    """open, reckoning, second (round), closing, closed."""
    opened: float
    """Time of day."""
    slot: float
    """Time of day at which it was to open."""
    closes: float
    """Time of day by which it must be closing."""
    by: str
    """Who wrote it."""
    at: float
    """When the phase began."""
    cutoff_version: int = 0
    """Of a closed run, the version of its closing record: members are those accepted before it. Of
    one that is closing it is the record's own version."""
    seen: int = 0
    """Of a closed one, the revision at which its members were counted."""
    counts: list[int] = field(default_factory=list)
    """Of a closed one: members reckoned, withdrawn and unresolved."""
    reasons: dict[str, int] = field(default_factory=dict)
    """Why members are unresolved, and how many."""


class StoredClass(Struct, frozen=True, array_like=True):
    """A priority class: what belongs to it."""

    name: str
    jobs: list[str]
    """Classes of jobs."""
    teams: list[str]


class StoredClasses(Struct, frozen=True, array_like=True):
    """The priority classes of a site, the first one first."""

    classes: list[StoredClass]
    default: str
    by: str
    at: float
    age_s: float = 0.0
    """A job counts as one class higher for each of these times that it has waited; 0: never."""
    max_hold_s: float = 0.0
    """How long after a takeover capacity is reserved for what is coming."""
    options: str = ""
    """Digest of the options that were in force when it was written: only others replace it."""


class StoredCounts(Struct, frozen=True, array_like=True):
    """A shard's counts of finished and evicted tasks (the paper's G and F)."""

    finished: int
    evicted: int


encode = msgspec.json.Encoder().encode
key_page_decoder: msgspec.json.Decoder[KeyPage] = msgspec.json.Decoder(KeyPage)
changes_decoder: msgspec.json.Decoder[Changes] = msgspec.json.Decoder(Changes)
committed_decoder: msgspec.json.Decoder[Committed] = msgspec.json.Decoder(Committed)
entry_decoder: msgspec.json.Decoder[Entry] = msgspec.json.Decoder(Entry)
machines_decoder: msgspec.json.Decoder[list[StoredMachine]] = msgspec.json.Decoder(
    list[StoredMachine]
)
page_decoder: msgspec.json.Decoder[list[JobRows]] = msgspec.json.Decoder(list[JobRows])
lease_decoder: msgspec.json.Decoder[Lease] = msgspec.json.Decoder(Lease)


def raw(record: object) -> Raw:
    """A record encoded once, for use as a value in a transaction."""
    return Raw(encode(record))
