"""This controller's record in the state service: that it is there, and whether it takes shards."""

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
"""Of writing on the version that is found in the record's place."""
WRITE_DEADLINE_S = 2.0
MAX_REPLICA_LAG_S = 4.0
"""Within which the replica shows a record that was written, if the changes are followed."""


class Registration:
    """Composes the record and writes it whenever what it says has changed."""

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
        """Why this controller takes no shard; empty if it does."""
        self.classes_digest = ""
        """Of the priority classes in our options, published with the record."""
        self.suspected: set[str] = set()
        """Peers that the record asks for a sign of life."""
        self.is_written = False
        """Whether the record in the state service says what it should."""
        self._written_at = -1e9
        self._tasks = BackgroundTasks()

    # ---- availability ----

    def mark_unavailable(self, reason: UnavailableReason) -> None:
        """Take no shard from now on, for one more reason."""
        self.unavailable_reasons.add(reason)
        self.is_written = False

    def mark_available(self, reason: UnavailableReason) -> None:
        """Take back one reason not to take shards."""
        self.unavailable_reasons.discard(reason)
        self.is_written = False

    # ---- the record ----

    async def write(self) -> None:
        """Write the record; `is_written` tells whether it is known to be up to date then."""
        try:
            written = await self._write_record()
        except LeaseExpiredError:
            self._on_lease_lost()
            return
        if written is not None:
            self._written_at = self._clock.now()
            self.is_written = written == self._compose()

    def write_again(self) -> None:
        """Write the record once more, now, in the background."""
        if self._lease.number is not None:
            self.is_written = False
            self._tasks.spawn(self.write())

    def check_overwritten(self, now: float) -> None:
        """Have the record written again if the replica shows another one in its place.

        An earlier process of an older program may have overwritten it late, on no condition: that
        one goes with its own lease, and peers would miss us for as long as we live.
        """
        shown = self._model.controllers.get(self._node)
        if (
            (shown is None or shown.record.lease != self._lease.number)
            and now - self._written_at > MAX_REPLICA_LAG_S
            and now - self._model.followed_at < MAX_REPLICA_LAG_S
        ):
            self.is_written = False

    def _compose(self) -> wire.ControllerRecord | None:
        """What peers are to know of us now; None without a lease."""
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
        """Write the record, composed anew for each attempt: what is known to be written, or None.

        Each write is conditional on the version of the record before: carried out late, an older
        record took the place of a newer one for good, and peers brought no shard home to a
        controller that was back, or some to one that had gone away. LeaseExpiredError if the lease
        has ended.
        """
        key = node_key(self._node)
        known = self._model.controllers.get(self._node)
        version = 0 if known is None else known.version
        for _ in range(MAX_WRITE_ATTEMPTS):
            record = self._compose()
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
                # One of an earlier process, or of ours that seemed lost. The replica may be late.
                try:
                    entry = await self._state.get(key)
                except StateUnavailableError:
                    break
                version = 0 if entry is None else entry.version
            except (StateUnavailableError, ProposalDroppedError):
                break
        log.debug("controller record not written controller=%s", self._node)
        return None
