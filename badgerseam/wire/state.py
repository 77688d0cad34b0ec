"""The state service's protocol, and the records that are stored there.

If the protocol uses a different name for a field, the field's docstring gives that name. Stored
records are encoded as arrays to keep them small, so the order of their fields is their format.
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
    """Whether more keys follow."""
    revision: int
    """`epoch`: the revision of the store at which the page was read."""


class Change(
    Struct,
    frozen=True,
    rename={"put": "set", "delete": "remove", "value": "data", "version": "stamp"},
):
    """A change of one key. The key is in `put` if a value was written, or else in `delete`."""

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
    """`epoch`: the revision up to which the changes are complete."""
    events: list[Change] = field(default_factory=list)
    """`log`: the changes, in the order of their revisions."""


class Condition(Struct, frozen=True, rename={"key": "k", "version": "stamp"}):
    """A condition of a transaction: the version that a key must have."""

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
    """A write of a transaction. The key is in `put` to store a value, or in `delete` to delete the
    key."""

    put: str | None = None
    """`set`: the key to write."""
    delete: str | None = None
    """`remove`: the key to delete."""
    value: Raw | None = None
    """`data`: the value to store."""
    lease: int | None = None
    """`grant`: the lease that the key is bound to: the key is deleted when the lease ends. None if
    the key is permanent."""


class Transaction(Struct, frozen=True, rename={"conditions": "when", "then": "writes"}):
    """A compare-and-swap: the writes are executed if all conditions hold."""

    conditions: list[Condition]
    """`when`"""
    then: list[Write]
    """`writes`"""


class Committed(Struct, frozen=True, rename={"revision": "epoch"}):
    """The response to a transaction."""

    revision: int
    """`epoch`: the revision of the transaction's writes."""
    failed: list[str] = field(default_factory=list)
    """The keys whose conditions did not hold; if there are any, nothing was written."""


class Lease(Struct, frozen=True, rename={"lease": "grant"}):
    """A lease that the state service has granted."""

    lease: int
    """`grant`: the number of the lease."""


# ---- stored records ----


class Claim(Struct, frozen=True, array_like=True):
    """The fields that claims and controllers' own records share: the controller, and the lease
    with which the record ends."""

    node: str
    lease: int
    unavailable: bool = False
    """Only set in a controller's own record: True while the controller claims no shards, because no
    worker reaches it, it is draining, or it does not support the site's level."""


class ControllerRecord(Claim, frozen=True, array_like=True):
    """A controller's own record, bound to its lease: shows that the controller is running, and
    which levels of the stored state its program supports. Programs from before the introduction of
    levels omit the fields after `unavailable`."""

    min_level: int = 1
    max_level: int = 1
    program: str = ""
    classes_digest: str = ""
    """Digest of the priority classes in the controller's options; empty if there are none."""
    suspected: list[str] = field(default_factory=list)
    """Names of the controllers that this one suspects to have ended. A suspected controller that is
    still running responds by writing its own record again."""


class ClaimRecord(Claim, frozen=True, array_like=True):
    """A claim on a shard or on the leadership."""

    previous_owner_until: float | None = None
    """Time of day until which previous owners that are cut off from the state service may still
    respond to the shard's workers; None if the program that wrote the record does not store it. A
    later process of the same owner copies the value into its own claim, since it cannot determine
    the value itself."""


class ProxyRecord(Struct, frozen=True, array_like=True):
    """A controller that acts as a proxy: it responds to heartbeats in place of owners that it
    cannot reach."""

    node: str
    lease: int
    owners: list[str]


class StoredJob(Struct, frozen=True, array_like=True):
    """A job. The record of an open job contains its description; that of an ended job may omit it
    and keep only the number of tasks."""

    state: str
    tasks: int
    accepted_at: float
    spec: Submission | None = None
    usage: Usage | None = None
    """The usage summary of an ended job, if it was accounted for."""
    queue_position: int = 0
    """The version of the record with which the job was accepted. That first record itself stores 0;
    records that replace it while the job is open store its version, as does `StoredMember`."""


class StoredMember(StoredJob, frozen=True, array_like=True):
    """An ended job of a plan of reckoning runs. Its queue position determines its run: the job was
    accepted before the cutoff of that run, and after the cutoff of the previous one."""

    plan: str = ""
    reckoned: int = 0
    """For a cancelled job: the number of tasks that were known to be done."""


class TaskRow(Struct, frozen=True, array_like=True):
    """A task that has been attempted: the numbers of the task and of its last attempt, and the
    machine on which the task may be running."""

    task: int
    attempt: int
    machine: str | None


class StoredFailures(Struct, frozen=True, array_like=True, tag="f"):
    """A note: how often a member of a reckoning run has failed."""

    number: int
    """The task."""
    step: int
    """Number of failures. If there are two notes on a task, the one with more failures is valid."""
    attempt: int = 0
    """The number of the last attempt that failed. If a heartbeat reports this failure again to the
    next owner, the owner does not count it twice."""


class StoredReplica(Struct, frozen=True, array_like=True, tag="r"):
    """A note: the target state of a replica that spans machines."""

    number: int
    """The number of the replica within its job."""
    step: int
    """Increases with each change of the fields below; the note with the highest step is valid."""
    phase: int
    generation: int
    """Increases each time the replica is restarted."""
    at: int
    """Start of the phase, in tenths of a second after the job's acceptance."""
    members: list[int] = field(default_factory=list)
    """The tasks that the phase applies to: those lost, or those being moved; empty: all tasks."""
    to: list[str] = field(default_factory=list)
    """For a move: the machine reserved for each of `members`, in the order of their numbers."""


Note = StoredFailures | StoredReplica


class JobRows(Struct, frozen=True, array_like=True):
    """The entry of a job in a page of the task log: its finished tasks, and rows of the tasks that
    have been attempted."""

    job: str
    done: list[tuple[int, str]]
    """Finished tasks: a number and a bit set in hexadecimal digits (`model/done_bits.py`)."""
    rows: list[TaskRow]
    starts: list[tuple[int, int]] = field(default_factory=list)
    """When attempts of these rows started to run, if the site's level includes these times: the
    task, and tenths of a second after the job's acceptance. Programs of the previous level omit
    this field."""
    notes: list[Note] = field(default_factory=list)
    """Notes on single tasks and replicas, if the site's level includes them."""


class StoredMachine(Struct, frozen=True, array_like=True):
    """A machine, and the shard whose tasks it runs. If `dropped` is set, the machine waits to be
    released."""

    name: str
    shard: int
    type: str
    zone: str
    spot: bool
    address: str
    rented_at: float
    dropped: bool = False


class StoredRental(Struct, frozen=True, array_like=True):
    """A rental request, stored under its unique name before it is sent."""

    shards: list[int]
    """The shard that each machine is intended for, the most urgent first."""
    type: str
    zone: str
    spot: bool
    requested_at: float


class SiteLevel(Struct, frozen=True, array_like=True):
    """The level of a site's stored state."""

    level: int
    by: str
    """The leader that wrote the record."""
    at: float
    migrated: int = 1
    """The level to which all records have been migrated: no record is left in a format that this
    level or an earlier one replaced."""


class StoredFormat(Struct, frozen=True, array_like=True):
    """Facts about records of the original form that cannot be told from these records."""

    chunk_tasks: int
    """Number of tasks per chunk in sets of finished tasks (`model/done_bits.py`)."""


class TargetLevel(Struct, frozen=True, array_like=True):
    """The level requested by operators. Without this record, the site's level is raised whenever
    possible."""

    level: int
    """The site's level is changed to this one, one level at a time, and then stays there."""
    by: str
    at: float


class StoredRun(Struct, frozen=True, array_like=True):
    """A reckoning run of a plan. The record is never deleted. Each phase is written on the
    condition that the record still has the version of the previous phase."""

    phase: str
    """`open`, `reckoning`, `second` (the second round), `closing` or `closed`."""
    opened: float
    """Time of day at which the run was opened."""
    slot: float
    """Time of day at which the run was scheduled to open."""
    closes: float
    """Time of day by which the run must enter the phase `closing`."""
    by: str
    """The controller that wrote the record."""
    at: float
    """Time of day at which the phase began."""
    cutoff_version: int = 0
    """For a closed run: the version that the record had in the phase `closing`. Jobs accepted
    before this version are members of the run, unless an earlier run includes them. While the run
    is closing, the cutoff is the version of the record itself."""
    seen: int = 0
    """For a closed run: the revision at which its members were counted."""
    counts: list[int] = field(default_factory=list)
    """For a closed run: the numbers of reckoned, cancelled and unresolved members, in this order.
    The API names the cancelled ones `withdrawn`."""
    reasons: dict[str, int] = field(default_factory=dict)
    """Number of unresolved members by reason."""


class StoredClass(Struct, frozen=True, array_like=True):
    """A priority class, and the job classes and teams that belong to it."""

    name: str
    jobs: list[str]
    """Job classes."""
    teams: list[str]


class StoredClasses(Struct, frozen=True, array_like=True):
    """The priority classes of a site, the highest priority first."""

    classes: list[StoredClass]
    default: str
    by: str
    at: float
    age_s: float = 0.0
    """Seconds of waiting after which a job is treated as one class higher, and again after each
    further period of this length; 0: jobs stay in their classes."""
    max_hold_s: float = 0.0
    """Seconds after a takeover for which capacity is reserved for expected arrivals."""
    options: str = ""
    """Digest of the options from which the record was made. The record is replaced only if the
    options have changed."""


class StoredCounts(Struct, frozen=True, array_like=True):
    """A shard's counts of finished and evicted tasks (G and F of the GFS paper)."""

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
    """Encodes a record for use as a value in a transaction."""
    return Raw(encode(record))
