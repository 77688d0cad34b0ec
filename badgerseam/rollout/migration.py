"""Carrying old records over to the form of the site's level, in the background.

Some levels need nothing of the kind: what was written before stays valid, and is written anew by
the work itself (`rollout/page_refresh.py`). Others have a form whose reader is to be dropped one
day. Then the leader reads the keys in question page by page and writes each record that is still
in the older form anew: on the stamps of the record and of the level, so that a step that is done
twice, or applied late, or overtaken by the record's owner, fails and changes nothing. Nothing is
kept of how far it has come but the records themselves: whoever leads next starts at the first key,
and reads past what is done, a thousand records a request.

After the raise nobody can write the older form any more (design.md, point 11). So one pass that
began after it and met none proves that there is none, and only that is written into the level's
record: `carried`. A program that has dropped the reader fits a site only when it says so.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

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
from badgerseam.wire.rollout import MigrationProgress as CarryingView

log = logging.getLogger("badgerseam.rollout")

PAUSE_S = 0.2
"""Between two steps: a few requests a second at most, whatever the budget is."""
IDLE_S = 1.0
DEADLINE_S = 30.0
MAX_TRANSACTION_BYTES = 32 * 1024
"""Of one step; a transaction may have 64 KiB."""


class RecordFormat(Protocol):
    """A change of form that a level brings."""

    level: int
    """With which the newer form is written."""
    prefix: str
    """Of the keys that may be in the older one."""

    def is_old(self, entry: wire.Entry) -> bool:
        """Whether a record is in the older form."""

    def rewrite(self, entry: wire.Entry) -> list[wire.Write]:
        """What takes its place: at least its own key, written anew or removed. Nothing that the
        record holds may be lost."""


RECORD_FORMATS: tuple[RecordFormat, ...] = ()
"""Those of this program. Level 2 has none: rows without a start stay valid."""


@dataclass(slots=True)
class PassProgress:
    """Of the pass that goes on."""

    after: str | None = None
    scanned: int = 0
    old: int = 0
    begun_at: int = 0
    """The stamp of the level's record when it began."""


class RecordMigration:
    """Done by the leader for one form after the other, in the order of their levels."""

    def __init__(
        self,
        model: Model,
        member: Membership,
        state: StateClient,
        committer: GroupCommitter,
        forms: Sequence[RecordFormat] = (),
    ) -> None:
        self._model = model
        self._member = member
        self._state = state
        self._committer = committer
        self._forms = sorted(forms, key=lambda form: form.level)
        self._pass: PassProgress | None = None
        self._form: RecordFormat | None = None
        self.rewritten = 0
        self.overtaken = 0
        """Records that their owner, or an earlier sending, had changed meanwhile."""
        self._since = model.clock.now()

    async def keep(self) -> None:
        """Carry over for ever; ends at once if this program has nothing that would need it."""
        while self._forms:
            await asyncio.sleep(PAUSE_S if await self.step() else IDLE_S)

    def due_format(self) -> RecordFormat | None:
        """The form that is to be carried over now."""
        site = self._model.level
        if not self._member.is_leader or not self._model.loaded or not self._model.is_supported:
            return None
        return next((f for f in self._forms if site.migrated < f.level <= site.level), None)

    async def step(self) -> bool:
        """Look at one page of keys, and write anew what is old on it; whether there was anything
        to do."""
        form = self.due_format()
        if form is None:
            self._pass = self._form = None
            return False
        version = self._model.level.version
        if self._pass is None or self._form is not form or self._pass.begun_at != version:
            self._pass, self._form = PassProgress(begun_at=version), form
        progress = self._pass
        try:
            page = await self._state.page(form.prefix, progress.after)
            old = [entry for entry in page.items if form.is_old(entry)]
            for part in self._parts(form, old):
                await self._write(part, version)
            progress.scanned += len(page.items)
            progress.old += len(old)
            if page.more and page.items:
                progress.after = page.items[-1].key
            elif progress.old:
                # Whether all of it was written is for the next pass to see.
                log.info(
                    "level %d: %d of %d records were in the older form",
                    form.level,
                    progress.old,
                    progress.scanned,
                )
                self._pass = None
            else:
                await self._mark_migrated(form, progress)
                self._pass = None
        except (StateUnavailableError, ProposalDroppedError, LeaseExpiredError) as error:
            log.debug("carrying over: %r", error)
        return True

    def _parts(
        self, form: RecordFormat, entries: list[wire.Entry]
    ) -> list[list[tuple[wire.Entry, list[wire.Write]]]]:
        """Rewritten records in transactions within the limits."""
        most = self._state.params.txn_ops
        parts: list[list[tuple[wire.Entry, list[wire.Write]]]] = []
        room = size = 0
        for entry in entries:
            writes = form.rewrite(entry)
            taken = sum(len(bytes(write.value or b"")) + 250 for write in writes)
            if not parts or room < len(writes) or size + taken > MAX_TRANSACTION_BYTES:
                parts.append([])
                room, size = most, 0
            parts[-1].append((entry, writes))
            room -= len(writes)
            size += taken
        return parts

    async def _write(self, part: list[tuple[wire.Entry, list[wire.Write]]], version: int) -> None:
        """Write records anew; those that were overtaken are left to the next pass."""
        while part:
            conditions = {entry.key: entry.version for entry, _ in part}
            conditions[LEVEL_KEY] = version
            writes = [write for _, entries in part for write in entries]
            try:
                await self._committer.commit(
                    Urgency.MIGRATE, conditions, writes, DEADLINE_S, wanted=self._wanted
                )
            except ConditionFailedError as refusal:
                if LEVEL_KEY in refusal.failed:
                    return
                left = [item for item in part if item[0].key not in refusal.failed]
                self.overtaken += len(part) - len(left)
                if len(left) == len(part):
                    return
                part = left
                continue
            self.rewritten += len(part)
            return

    def _wanted(self) -> bool:
        return self._member.is_leader

    async def _mark_migrated(self, form: RecordFormat, progress: PassProgress) -> None:
        """A pass has met no record of the older form: say so in the level's record."""
        model = self._model
        with model.lock:
            leader, site = model.leader_claim, model.level
        if leader is None or site.version != progress.begun_at:
            return
        wall = round(model.clock.wall(), 3)
        record = wire.SiteLevel(site.level, self._member.node, wall, form.level)
        write = wire.Write(put=LEVEL_KEY, value=wire.raw(record))
        try:
            revision = await self._committer.commit(
                Urgency.MIGRATE,
                {LEVEL_KEY: site.version, LEADER_KEY: leader.version},
                [write],
                DEADLINE_S,
                wanted=self._wanted,
            )
        except ConditionFailedError as refusal:
            log.debug("not declared: %s", refusal)
            return
        log.info("level %d: all %d records are carried over", form.level, progress.scanned)
        with model.lock:
            model.apply(LEVEL_KEY, write.value, revision)

    def view(self) -> CarryingView:
        """How far it has come on this controller."""
        site, progress = self._model.level, self._pass
        spent = max(1e-9, self._model.clock.now() - self._since)
        pending = [form.level for form in self._forms if site.migrated < form.level <= site.level]
        return CarryingView(
            site.migrated,
            pending,
            0 if progress is None else progress.scanned,
            0 if progress is None else progress.old,
            self.rewritten,
            self.overtaken,
            round(self.rewritten / spent, 3),
        )
