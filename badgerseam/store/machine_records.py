"""The roster: the records of machines, many to a key, and their only writer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from badgerseam.background import BackgroundTasks
from badgerseam.model.keys import group_key
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.store.client import (
    ConditionFailedError,
    LeaseExpiredError,
    StateClient,
    StateUnavailableError,
)
from badgerseam.store.committer import GroupCommitter, ProposalDroppedError, Urgency
from badgerseam.wire import state as wire

GATHER_S = 0.02
READ_RETRY_S = 0.3
ROW_BYTES = 128
"""What a machine's row takes at most, as long as its names are short."""
ADDRESS_BYTES = 32
"""What a row grows by when its machine's address becomes known."""
WRITE_ERRORS = (
    ConditionFailedError,
    StateUnavailableError,
    ProposalDroppedError,
    LeaseExpiredError,
)

Edit = Callable[[wire.StoredMachine], wire.StoredMachine | None]


@dataclass(slots=True, eq=False)
class _Change:
    """What is to become of some machines of a group, and on which claim that stands."""

    names: frozenset[str]
    edit: Edit
    claim: str
    version: int
    wanted: Callable[[], bool]
    future: asyncio.Future[None] = field(default_factory=asyncio.Future)


class MachineRecords:
    """Gathers the changes of a group into one write.

    Owners pass machines on and give them up, the leader adds and removes them; writes of others
    in between are met by reading the group again.
    """

    def __init__(self, model: Model, state: StateClient, committer: GroupCommitter) -> None:
        self._model = model
        self._state = state
        self._committer = committer
        self._pending: dict[str, list[_Change]] = {}
        self._patient: dict[str, list[_Change]] = {}
        """What can wait, by group."""
        self._tasks = BackgroundTasks()

    def max_rows(self, rows: list[wire.StoredMachine]) -> int:
        """How many machines like these a value holds."""
        longest = max((len(wire.encode(row)) + ADDRESS_BYTES for row in rows), default=0)
        value = int(self._model.settings.params.state.value_kb * 1024 * 0.9)
        return max(1, value // max(ROW_BYTES, longest))

    async def add(
        self,
        group: str,
        rows: list[wire.StoredMachine],
        conditions: dict[str, int],
        also: list[wire.Write],
        wanted: Callable[[], bool],
    ) -> None:
        """Write a new group, at most `most_rows`; one of NOT_WRITTEN if that did not succeed."""
        key = group_key(group)
        conditions = dict(conditions)
        writes = list(also)
        if rows:
            conditions[key] = 0
            writes.insert(0, wire.Write(put=key, value=wire.raw(rows)))
        try:
            revision = await self._committer.commit(
                Urgency.PLACE, conditions, writes, wanted=wanted
            )
        except ConditionFailedError as refusal:
            if key in refusal.failed:
                # An earlier sending was carried out, and only its answer was lost. Machines that
                # were not known before the replica showed them were recorded in a second group,
                # and which of the two counts differed between controllers.
                await self._read_when_possible(key, wanted)
            raise
        with self._model.lock:
            for write in writes:
                self._model.apply(write.put or write.delete or "", write.value, revision)

    async def change(
        self,
        machines: Iterable[Machine],
        edit: Edit,
        claim: tuple[str, int],
        wanted: Callable[[], bool],
        patience_s: float = 0.0,
    ) -> set[str]:
        """Edit the rows of machines (None removes one); the names for which that is durable.

        `patience_s`: for how long it may wait for another write of their group, or for changes to
        spare, whichever comes first.
        """
        groups: dict[str, set[str]] = {}
        for machine in machines:
            groups.setdefault(machine.group, set()).add(machine.name)
        changes = []
        for group, names in groups.items():
            change = _Change(frozenset(names), edit, *claim, wanted)
            changes.append(change)
            if patience_s > 0 and group not in self._pending:
                self._patient.setdefault(group, []).append(change)
                self._tasks.spawn(self._later(group, patience_s))
            else:
                self._begin(group, [change])
        outcomes = await asyncio.gather(*(c.future for c in changes), return_exceptions=True)
        done: set[str] = set()
        for change, outcome in zip(changes, outcomes, strict=True):
            if outcome is None:
                done |= change.names
            elif not isinstance(outcome, WRITE_ERRORS):
                raise outcome
        return done

    def _begin(self, group: str, changes: list[_Change]) -> None:
        if group in self._pending:
            self._pending[group] += changes
        else:
            self._pending[group] = changes
            self._tasks.spawn(self._run(group))

    async def _later(self, group: str, patience_s: float) -> None:
        """Write what waits for a group, unless another write of it does so before."""
        until = self._model.clock.now() + patience_s
        while group in self._patient:
            if self._model.clock.now() >= until or self._committer.wait_s(Urgency.UPKEEP) <= 0:
                self._begin(group, self._patient.pop(group))
                return
            await asyncio.sleep(min(READ_RETRY_S, patience_s))

    async def _run(self, group: str) -> None:
        try:
            while self._pending[group]:
                await asyncio.sleep(GATHER_S)
                changes = self._pending[group] + self._patient.pop(group, [])
                self._pending[group] = []
                while changes:
                    changes = await self._write(group, changes)
        finally:
            del self._pending[group]

    async def _write(self, group: str, changes: list[_Change]) -> list[_Change]:
        """Try once; the changes that are to be tried again."""
        model, key = self._model, group_key(group)
        with model.lock:
            version, rows = model.groups.get(group, (0, {}))
            rows = dict(rows)
        conditions = {key: version}
        for change in changes:
            conditions[change.claim] = change.version
            for name in change.names & rows.keys():
                row = change.edit(rows[name])
                if row is None:
                    del rows[name]
                else:
                    rows[name] = row
        value = wire.raw(list(rows.values())) if rows else None
        write = wire.Write(put=key, value=value) if rows else wire.Write(delete=key)
        try:
            if version:
                revision = await self._committer.commit(
                    Urgency.PLACE,
                    conditions,
                    [write],
                    wanted=lambda: any(change.wanted() for change in changes),
                )
                with model.lock:
                    model.apply(key, value, revision)
        except ConditionFailedError as refusal:
            again = []
            for change in changes:
                if change.claim in refusal.failed:
                    change.future.set_exception(refusal)
                elif not change.wanted():
                    change.future.set_exception(ProposalDroppedError([key]))
                else:
                    again.append(change)
            if key in refusal.failed:
                await self._read(key)
            return again
        except WRITE_ERRORS as error:
            for change in changes:
                change.future.set_exception(error)
            return []
        for change in changes:
            change.future.set_result(None)
        return []

    async def _read_when_possible(self, key: str, wanted: Callable[[], bool]) -> None:
        """Take over a group that is there, as soon as it can be read."""
        failures = 0
        while wanted():
            try:
                entry = await self._state.get(key)
            except StateUnavailableError:
                failures += 1
                await self._state.pause(failures)
                continue
            if entry is not None:
                with self._model.lock:
                    self._model.apply(entry.key, entry.value, entry.version)
            return

    async def _read(self, key: str) -> None:
        """Somebody else has written the group; or our own write, which seemed lost, was applied."""
        try:
            entry = await self._state.get(key)
        except StateUnavailableError:
            entry = None
        if entry is None:
            # Gone, or not to be had now: the replica will tell.
            await asyncio.sleep(0.2)
            return
        with self._model.lock:
            self._model.apply(entry.key, entry.value, entry.version)
