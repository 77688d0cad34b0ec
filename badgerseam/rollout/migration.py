"""Background migration of old records to the format of the site's level.

Some levels need no migration: records in the older format stay valid and are rewritten in normal
operation (`rollout/page_refresh.py`). Other levels replace a format whose reader is to be removed
from the program later. For these, the leader reads the keys concerned page by page and rewrites
each record that is still in the older format. A rewrite is conditional on the versions of the
record and of the level, so one that is repeated, applied late, or preceded by a write of the
record's owner fails and changes nothing. Progress is not stored: the next leader starts at the
first key and reads past the migrated records, a thousand per request.

After the raise of the level, no controller can write the older format any more (design.md, point
11). Hence a pass that began after the raise and found no old record proves that none is left; only
this result is written into the level's record (stored as `carried`). A program without the old
reader supports a site only if the record says so.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from badgerseam.cluster.membership import Membership
from badgerseam.model.keys import LEADER_KEY, LEVEL_KEY
from badgerseam.model.model import Model
from badgerseam.store.client import (
    ConditionFailedError,
    LeaseExpiredError,
    StateClient,
    StateUnavailableError,
)
from badgerseam.store.committer import GroupCommitter, ProposalDroppedError, Urgency
from badgerseam.wire import state as wire
from badgerseam.wire.rollout import MigrationProgress

log = logging.getLogger("badgerseam.rollout")

PAUSE_S = 0.2
"""Seconds between two steps, so that a migration makes only a few requests per second whatever the
write budget is."""
IDLE_INTERVAL_S = 1.0
"""Seconds between two checks whether a migration is due."""
DEADLINE_S = 30.0
MAX_TRANSACTION_BYTES = 32 * 1024
"""Size limit of a migration's transactions; the state service accepts up to 64 KiB."""
WRITE_OVERHEAD_BYTES = 250
"""Approximate size of a write and its condition in a transaction, without the value."""


class RecordFormat(Protocol):
    """A change of a record's format that a level introduces."""

    level: int
    """The level from which on the newer format is written."""
    prefix: str
    """Prefix of the keys whose records may be in the older format."""

    def is_old(self, entry: wire.Entry) -> bool:
        """Whether a record is in the older format."""

    def rewrite(self, entry: wire.Entry) -> list[wire.Write]:
        """Returns the writes that replace a record: at least one put or delete of its own key.

        They must preserve all information in the record.
        """


RECORD_FORMATS: tuple[RecordFormat, ...] = ()
"""The formats of this program. Level 2 needs none: rows without a start time stay valid."""


@dataclass(slots=True)
class PassProgress:
    """Progress of the current pass over the keys of a format."""

    format: RecordFormat
    level_version: int
    """The version of the level's record when the pass began."""
    after: str | None = None
    """The last key that was read."""
    scanned: int = 0
    old: int = 0
    """Number of records that were in the older format."""


class _Rewrite(NamedTuple):
    """An old record and the writes that replace it."""

    entry: wire.Entry
    writes: list[wire.Write]


class RecordMigration:
    """Migrates records on the leader, one format after the other, in the order of levels."""

    def __init__(
        self,
        model: Model,
        membership: Membership,
        state: StateClient,
        committer: GroupCommitter,
        formats: Sequence[RecordFormat] = (),
    ) -> None:
        self._model = model
        self._membership = membership
        self._state = state
        self._committer = committer
        self._formats = sorted(formats, key=lambda record_format: record_format.level)
        self._pass: PassProgress | None = None
        self.rewritten = 0
        self.overtaken = 0
        """Number of rewrites that failed because the record's owner, or an earlier attempt of the
        same rewrite, had changed the record in the meantime."""
        self._started_at = model.clock.now()

    async def run(self) -> None:
        """Migrates records until cancelled; returns at once if this program has no formats."""
        while self._formats:
            is_due = await self.step()
            await asyncio.sleep(PAUSE_S if is_due else IDLE_INTERVAL_S)

    def due_format(self) -> RecordFormat | None:
        """Returns the format to which records are to be migrated now, or None.

        None if no migration is due or this controller is not the leader.
        """
        model = self._model
        if not self._membership.is_leader or not model.loaded or not model.is_supported:
            return None
        return next(iter(self._pending_formats()), None)

    def _pending_formats(self) -> list[RecordFormat]:
        site = self._model.level
        return [f for f in self._formats if site.migrated < f.level <= site.level]

    async def step(self) -> bool:
        """Reads one page of keys and rewrites its old records; returns whether a format is due."""
        due = self.due_format()
        if due is None:
            self._pass = None
            return False
        progress = self._current_pass(due)
        try:
            page = await self._state.page(due.prefix, progress.after)
            await self._rewrite_page(progress, page)
            if page.more and page.items:
                progress.after = page.items[-1].key
            else:
                await self._end_pass(progress)
        except (StateUnavailableError, ProposalDroppedError, LeaseExpiredError) as error:
            log.debug("migration step failed level=%d error=%r", due.level, error)
        return True

    def _current_pass(self, due: RecordFormat) -> PassProgress:
        """Returns the current pass, or a new one if the format or the site's level has changed."""
        version = self._model.level.version
        progress = self._pass
        if progress is None or progress.format is not due or progress.level_version != version:
            progress = self._pass = PassProgress(due, version)
        return progress

    async def _rewrite_page(self, progress: PassProgress, page: wire.KeyPage) -> None:
        record_format = progress.format
        old = [entry for entry in page.items if record_format.is_old(entry)]
        for batch in self._batches(record_format, old):
            await self._write(batch, progress.level_version)
        progress.scanned += len(page.items)
        progress.old += len(old)

    async def _end_pass(self, progress: PassProgress) -> None:
        if progress.old:
            # Only the next pass shows whether all of these records were rewritten.
            log.info(
                "migration pass ended level=%d old=%d scanned=%d",
                progress.format.level,
                progress.old,
                progress.scanned,
            )
        else:
            await self._mark_migrated(progress)
        self._pass = None

    def _batches(
        self, record_format: RecordFormat, entries: list[wire.Entry]
    ) -> list[list[_Rewrite]]:
        """Splits the rewrites of records into batches that fit into one transaction each."""
        max_writes = self._committer.limits.writes
        batches: list[list[_Rewrite]] = []
        free_writes = size = 0
        for entry in entries:
            writes = record_format.rewrite(entry)
            added = sum(len(bytes(write.value or b"")) + WRITE_OVERHEAD_BYTES for write in writes)
            if not batches or free_writes < len(writes) or size + added > MAX_TRANSACTION_BYTES:
                batches.append([])
                free_writes, size = max_writes, 0
            batches[-1].append(_Rewrite(entry, writes))
            free_writes -= len(writes)
            size += added
        return batches

    async def _write(self, batch: list[_Rewrite], level_version: int) -> None:
        """Rewrites a batch of records; those changed in the meantime are left to the next pass."""
        while batch:
            conditions = {rewrite.entry.key: rewrite.entry.version for rewrite in batch}
            conditions[LEVEL_KEY] = level_version
            writes = [write for rewrite in batch for write in rewrite.writes]
            try:
                await self._committer.commit(
                    Urgency.MIGRATE, conditions, writes, DEADLINE_S, should_send=self._is_leader
                )
            except ConditionFailedError as error:
                if LEVEL_KEY in error.failed:
                    return
                remaining = [item for item in batch if item.entry.key not in error.failed]
                self.overtaken += len(batch) - len(remaining)
                if len(remaining) == len(batch):
                    return
                batch = remaining
            else:
                self.rewritten += len(batch)
                return

    def _is_leader(self) -> bool:
        return self._membership.is_leader

    async def _mark_migrated(self, progress: PassProgress) -> None:
        """Writes into the level's record that a pass found no record in the older format."""
        model = self._model
        level = progress.format.level
        with model.lock:
            leader, site = model.leader_claim, model.level
        if leader is None or site.version != progress.level_version:
            return
        marked_at = round(model.clock.wall(), 3)
        record = wire.SiteLevel(site.level, self._membership.node, marked_at, level)
        write = wire.Write(put=LEVEL_KEY, value=wire.raw(record))
        try:
            revision = await self._committer.commit(
                Urgency.MIGRATE,
                {LEVEL_KEY: site.version, LEADER_KEY: leader.version},
                [write],
                DEADLINE_S,
                should_send=self._is_leader,
            )
        except ConditionFailedError as error:
            log.debug("migration not marked complete level=%d failed=%s", level, error)
            return
        log.info("migration complete level=%d scanned=%d", level, progress.scanned)
        with model.lock:
            model.apply(LEVEL_KEY, write.value, revision)

    def view(self) -> MigrationProgress:
        """Returns the progress of the migration on this controller."""
        progress = self._pass
        elapsed_s = max(1e-9, self._model.clock.now() - self._started_at)
        return MigrationProgress(
            self._model.level.migrated,
            [record_format.level for record_format in self._pending_formats()],
            0 if progress is None else progress.scanned,
            0 if progress is None else progress.old,
            self.rewritten,
            self.overtaken,
            round(self.rewritten / elapsed_s, 3),
        )
