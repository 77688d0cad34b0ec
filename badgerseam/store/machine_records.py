"""Writes the records of machines; each key holds the records of one machine group."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from badgerseam.background import BackgroundTasks
from badgerseam.levels.table import Behaviour
from badgerseam.model.keys import group_key
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.store.client import (
    ConditionFailedError,
    LeaseExpiredError,
    StateClient,
    StateUnavailableError,
)
from badgerseam.store.committer import (
    GroupCommitter,
    ProposalDroppedError,
    ProposalRejectedError,
    Urgency,
)
from badgerseam.store.group_split import GroupSplit, incomplete_copies, max_rows
from badgerseam.wire import state as wire

log = logging.getLogger("badgerseam.store")

COALESCE_S = 0.02
"""Seconds to wait before a write, so that it includes the changes made at about the same time."""
DEFER_POLL_S = 0.3
"""Seconds between checks whether deferred changes may be written."""
READ_RETRY_S = 0.2
"""Seconds to wait after a group could not be read; the state watcher may receive it in the
meantime."""
WRITE_ERRORS = (
    ConditionFailedError,
    StateUnavailableError,
    ProposalDroppedError,
    LeaseExpiredError,
)
"""Errors of a write that was not executed, or whose outcome is not known."""

RowEdit = Callable[[wire.StoredMachine], wire.StoredMachine | None]
"""Returns a machine's new row for its current one; None removes the row."""


@dataclass(slots=True, eq=False)
class _Change:
    """An edit of some rows of a group, and the claim under which it may be made."""

    names: frozenset[str]
    edit: RowEdit
    claim_key: str
    claim_version: int
    should_send: Callable[[], bool]
    future: asyncio.Future[None] = field(default_factory=asyncio.Future)


class MachineRecords:
    """Combines the concurrent changes of a group into one write.

    Owners transfer and drop machines; the leader adds and removes them. If another controller has
    written the group in the meantime, it is read again before the next attempt.
    """

    def __init__(self, model: Model, state: StateClient, committer: GroupCommitter) -> None:
        self._model = model
        self._state = state
        self._committer = committer
        self._pending: dict[str, list[_Change]] = {}
        """Changes to be written, by group; a group is present as long as a task writes it."""
        self._deferred: dict[str, list[_Change]] = {}
        """Changes that wait for another write of their group or for spare budget, by group."""
        self._split_lock = asyncio.Lock()
        self._have_limits_fallen = False
        """Whether the state service has rejected a group that cannot be split yet."""
        self._tasks = BackgroundTasks()

    def max_rows(self, rows: list[wire.StoredMachine]) -> int:
        """Returns how many machines with rows like these fit into one group."""
        return max_rows(rows, self._committer.limits.value_bytes)

    async def add(
        self,
        group: str,
        rows: list[wire.StoredMachine],
        conditions: dict[str, int],
        more_writes: list[wire.Write],
        should_send: Callable[[], bool],
    ) -> None:
        """Writes a new group of at most `max_rows` machines and other writes in one transaction, or
        in one after the other if it may have too few writes.

        Raises one of `WRITE_ERRORS` on failure.
        """
        if rows and more_writes and 1 + len(more_writes) > self._committer.limits.writes:
            await self.add(group, rows, conditions, [], should_send)
            rows = []
        key = group_key(group)
        conditions = dict(conditions)
        writes = list(more_writes)
        if rows:
            conditions[key] = 0
            writes.insert(0, wire.Write(put=key, value=wire.raw(rows)))
        try:
            revision = await self._committer.commit(
                Urgency.PLACE, conditions, writes, should_send=should_send
            )
        except ConditionFailedError as error:
            if key in error.failed:
                # An earlier attempt was executed and only its response was lost. The group is read
                # at once: if the machines stayed unknown until the state watcher receives them,
                # they would be recorded in a second group, and controllers would differ in which
                # of the two records they use.
                await self._read_until_answered(key, should_send)
            raise
        with self._model.lock:
            for write in writes:
                self._model.apply(write.put or write.delete or "", write.value, revision)

    async def change(
        self,
        machines: Iterable[Machine],
        edit: RowEdit,
        claim: tuple[str, int],
        should_send: Callable[[], bool],
        max_defer_s: float = 0.0,
    ) -> set[str]:
        """Edits the rows of machines; returns the names of those whose edit is durable.

        `claim`: the key and version of the claim under which the edit may be made.
        `should_send`: called before each attempt to send; the edit is dropped if it returns False.
        `max_defer_s`: how long the edit may wait for another write of the group or for spare write
        budget, whichever comes first.
        """
        machines = list(machines)
        await self._split_oversized({machine.group for machine in machines}, claim)
        names_by_group: dict[str, set[str]] = {}
        for machine in machines:
            names_by_group.setdefault(machine.group, set()).add(machine.name)
        changes: list[_Change] = []
        for group, names in names_by_group.items():
            change = _Change(frozenset(names), edit, *claim, should_send)
            changes.append(change)
            if max_defer_s > 0 and group not in self._pending:
                self._defer(group, change, max_defer_s)
            else:
                self._enqueue(group, [change])
        outcomes = await asyncio.gather(
            *(change.future for change in changes), return_exceptions=True
        )
        durable: set[str] = set()
        for change, outcome in zip(changes, outcomes, strict=True):
            if outcome is None:
                durable |= change.names
            elif not isinstance(outcome, WRITE_ERRORS):
                raise outcome
        return durable

    async def _split_oversized(self, groups: set[str], claim: tuple[str, int]) -> None:
        """Splits those of the groups that are too large to be written, and removes the copies of an
        earlier attempt that was not completed: an edit of the group would leave them outdated.

        If that fails, the group stays as it is, and the change of its machines fails as well.
        """
        if not self._model.is_active(Behaviour.SMALL_VALUES):
            return
        for group in sorted(groups):
            async with self._split_lock:
                if not self._is_oversized(group) and not incomplete_copies(self._model, group):
                    continue
                try:
                    await GroupSplit(self._model, self._committer, group).run(claim)
                except ConditionFailedError as error:
                    await self._read_failed(error)
                except WRITE_ERRORS as error:
                    log.debug("machine group not split group=%s error=%r", group, error)

    def _is_oversized(self, group: str) -> bool:
        return self._model.group_bytes.get(group, 0) > self._committer.limits.value_bytes

    async def _read_failed(self, error: ConditionFailedError) -> None:
        """Reads the groups again whose versions were not those of the model."""
        prefix = group_key("")
        for key in error.failed:
            if key.startswith(prefix):
                await self._read(key)

    def _enqueue(self, group: str, changes: list[_Change]) -> None:
        if group in self._pending:
            self._pending[group] += changes
        else:
            self._pending[group] = changes
            self._tasks.spawn(self._write_pending(group))

    def _defer(self, group: str, change: _Change, max_defer_s: float) -> None:
        self._deferred.setdefault(group, []).append(change)
        self._tasks.spawn(self._enqueue_deferred(group, max_defer_s))

    async def _enqueue_deferred(self, group: str, max_defer_s: float) -> None:
        """Enqueues a group's deferred changes in time, unless another write includes them."""
        until = self._model.clock.now() + max_defer_s
        while group in self._deferred:
            if self._model.clock.now() >= until or self._committer.wait_s(Urgency.UPKEEP) <= 0:
                self._enqueue(group, self._deferred.pop(group))
                return
            await asyncio.sleep(min(DEFER_POLL_S, max_defer_s))

    async def _write_pending(self, group: str) -> None:
        """Writes a group until it has no pending changes."""
        try:
            while self._pending[group]:
                await asyncio.sleep(COALESCE_S)
                changes = self._pending[group] + self._deferred.pop(group, [])
                self._pending[group] = []
                while changes:
                    changes = await self._write(group, changes)
        finally:
            del self._pending[group]

    async def _write(self, group: str, changes: list[_Change]) -> list[_Change]:
        """Tries to write the changes once; returns those that have to be retried."""
        changes, deferred = self._split_by_claims(changes)
        return deferred + await self._write_once(group, changes)

    def _split_by_claims(self, changes: list[_Change]) -> tuple[list[_Change], list[_Change]]:
        """Splits changes into those whose claims fit into the conditions of one transaction,
        beside the group's, and the others."""
        max_claims = self._committer.limits.conditions - 1
        claims = list(dict.fromkeys(change.claim_key for change in changes))[:max_claims]
        admitted = [change for change in changes if change.claim_key in claims]
        return admitted, [change for change in changes if change.claim_key not in claims]

    async def _write_once(self, group: str, changes: list[_Change]) -> list[_Change]:
        key = group_key(group)
        with self._model.lock:
            version, stored = self._model.groups.get(group, (0, {}))
            rows = dict(stored)
        conditions = {key: version}
        for change in changes:
            conditions[change.claim_key] = change.claim_version
            _edit_rows(rows, change)
        try:
            if version:
                await self._commit(group, rows, conditions, changes)
        except ConditionFailedError as error:
            return await self._on_condition_failed(key, changes, error)
        except WRITE_ERRORS as error:
            if isinstance(error, ProposalRejectedError):
                self._have_limits_fallen = True
            for change in changes:
                change.future.set_exception(error)
            return []
        for change in changes:
            change.future.set_result(None)
        return []

    def _stored_value_bytes(self, group: str) -> int:
        """Returns the limit for a group's value if the group cannot be split at the site's level:
        that of now, as the limits fall only after the level's programs run everywhere."""
        is_writable = not self._have_limits_fallen and self._is_oversized(group)
        if self._model.is_active(Behaviour.SMALL_VALUES) or not is_writable:
            return 0
        return int(self._state.params.value_kb * 1024)

    async def _commit(
        self,
        group: str,
        rows: dict[str, wire.StoredMachine],
        conditions: dict[str, int],
        changes: list[_Change],
    ) -> None:
        """Writes a group's rows, or deletes the group if there are none."""
        key = group_key(group)
        value = wire.raw(list(rows.values())) if rows else None
        write = wire.Write(put=key, value=value) if rows else wire.Write(delete=key)
        revision = await self._committer.commit(
            Urgency.PLACE,
            conditions,
            [write],
            should_send=lambda: any(change.should_send() for change in changes),
            stored_value_bytes=self._stored_value_bytes(group),
        )
        with self._model.lock:
            self._model.apply(key, value, revision)

    async def _on_condition_failed(
        self, key: str, changes: list[_Change], error: ConditionFailedError
    ) -> list[_Change]:
        """Fails the changes that may no longer be made; returns the others, to be retried."""
        remaining: list[_Change] = []
        for change in changes:
            if change.claim_key in error.failed:
                change.future.set_exception(error)
            elif not change.should_send():
                change.future.set_exception(ProposalDroppedError([key]))
            else:
                remaining.append(change)
        if key in error.failed:
            await self._read(key)
        return remaining

    async def _read_until_answered(self, key: str, should_send: Callable[[], bool]) -> None:
        """Reads a group, retrying while `should_send` returns True, and applies it to the model if
        it exists."""
        failures = 0
        while should_send():
            try:
                entry = await self._state.get(key)
            except StateUnavailableError:
                failures += 1
                await self._state.back_off(failures)
                continue
            if entry is not None:
                with self._model.lock:
                    self._model.apply(entry.key, entry.value, entry.version)
            return

    async def _read(self, key: str) -> None:
        """Reads a group again that was changed by another controller, or by a write of this one
        whose response was lost."""
        try:
            entry = await self._state.get(key)
        except StateUnavailableError:
            entry = None
        if entry is None:
            # Deleted, or not available now: the state watcher will receive the change.
            await asyncio.sleep(READ_RETRY_S)
            return
        with self._model.lock:
            self._model.apply(entry.key, entry.value, entry.version)


def _edit_rows(rows: dict[str, wire.StoredMachine], change: _Change) -> None:
    """Applies a change to those of its machines that are still in the group."""
    for name in change.names & rows.keys():
        row = change.edit(rows[name])
        if row is None:
            del rows[name]
        else:
            rows[name] = row
