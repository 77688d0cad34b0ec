"""This controller's record in the state service: it registers the controller and tells whether it
is available to own shards."""

from __future__ import annotations

import logging
from collections.abc import Callable

from badgerseam import __version__
from badgerseam.background import BackgroundTasks
from badgerseam.cluster.availability import UnavailableReason
from badgerseam.cluster.controller_lease import ControllerLease
from badgerseam.model.keys import node_key
from badgerseam.model.model import Model
from badgerseam.store.client import (
    ConditionFailedError,
    LeaseExpiredError,
    StateClient,
    StateUnavailableError,
)
from badgerseam.store.committer import GroupCommitter, ProposalDroppedError, Urgency
from badgerseam.wire import state as wire

log = logging.getLogger("badgerseam.cluster")

MAX_WRITE_ATTEMPTS = 3
"""Attempts to write the record, each on the version that was read after the previous conflict."""
WRITE_DEADLINE_S = 2.0
MAX_REPLICA_LAG_S = 4.0
"""Seconds within which the replica shows a written record, provided that the watch is not
stalled."""


class Registration:
    """Builds the record and writes it whenever its contents have changed."""

    def __init__(
        self,
        model: Model,
        state: StateClient,
        committer: GroupCommitter,
        lease: ControllerLease,
        on_lease_lost: Callable[[], None],
    ) -> None:
        self._model = model
        self._state = state
        self._committer = committer
        self._lease = lease
        self._on_lease_lost = on_lease_lost
        self._clock = model.clock
        self._node = model.settings.node
        self.unavailable_reasons: set[UnavailableReason] = set()
        """Why this controller takes no shards; empty if it is available."""
        self.classes_digest = ""
        """Digest of the priority classes in this controller's options, published with the
        record."""
        self.suspected: set[str] = set()
        """Peers that this controller suspects to have ended; its record asks them to prove that
        they are running."""
        self.is_written = False
        """Whether the record in the state service is known to be up to date."""
        self._written_at = -1e9
        self._tasks = BackgroundTasks()

    # ---- availability ----

    def mark_unavailable(self, reason: UnavailableReason) -> None:
        """Adds a reason not to take shards."""
        self.unavailable_reasons.add(reason)
        self.is_written = False

    def mark_available(self, reason: UnavailableReason) -> None:
        """Removes a reason not to take shards."""
        self.unavailable_reasons.discard(reason)
        self.is_written = False

    # ---- the record ----

    async def write(self) -> None:
        """Writes the record; afterwards `is_written` tells whether it is known to be up to date."""
        try:
            written = await self._write_record()
        except LeaseExpiredError:
            self._on_lease_lost()
            return
        if written is not None:
            self._written_at = self._clock.now()
            self.is_written = written == self._build_record()

    def write_again(self) -> None:
        """Writes the record again immediately, in the background."""
        if self._lease.number is not None:
            self.is_written = False
            self._tasks.spawn(self.write())

    def check_overwritten(self, now: float) -> None:
        """Schedules another write if the replica shows no record or that of another lease.

        A delayed, unconditional write by an earlier process of an older program version may have
        overwritten the record. What it wrote is removed when that process's lease ends, and without
        another write peers would not see the current process for its whole lifetime.
        """
        shown = self._model.controllers.get(self._node)
        if (
            (shown is None or shown.record.lease != self._lease.number)
            and now - self._written_at > MAX_REPLICA_LAG_S
            and now - self._model.followed_at < MAX_REPLICA_LAG_S
        ):
            self.is_written = False

    def _build_record(self) -> wire.ControllerRecord | None:
        """Returns the record with the current values; None without a lease."""
        if self._lease.number is None:
            return None
        program = self._model.program
        return wire.ControllerRecord(
            self._node,
            self._lease.number,
            bool(self.unavailable_reasons),
            program.min_level,
            program.max_level,
            __version__,
            self.classes_digest,
            sorted(self.suspected),
        )

    async def _write_record(self) -> wire.ControllerRecord | None:
        """Writes the record, rebuilt for each attempt, and returns it; None if it is not known to
        be written.

        Each write is conditional on the version of the previous record. A delayed unconditional
        write would permanently replace a newer record by an older one: peers would then return no
        shard to a controller that is available again, or would return shards to one that has become
        unavailable. Raises LeaseExpiredError if the lease has ended.
        """
        key = node_key(self._node)
        known = self._model.controllers.get(self._node)
        version = 0 if known is None else known.version
        for _ in range(MAX_WRITE_ATTEMPTS):
            record = self._build_record()
            if record is None:
                break
            write = wire.Write(put=key, value=wire.raw(record), lease=record.lease)
            try:
                revision = await self._committer.commit(
                    Urgency.CLAIM, {key: version}, [write], WRITE_DEADLINE_S
                )
                with self._model.lock:
                    self._model.apply(key, write.value, revision)
                return record
            except ConditionFailedError:
                # The record was written by an earlier process, or by an earlier attempt whose
                # response was lost. The replica may lag, so the version is read from the service.
                try:
                    entry = await self._state.get(key)
                except StateUnavailableError:
                    break
                version = 0 if entry is None else entry.version
            except (StateUnavailableError, ProposalDroppedError):
                break
        log.debug("controller record not written controller=%s", self._node)
        return None
