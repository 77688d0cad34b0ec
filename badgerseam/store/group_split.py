"""Splitting of machine groups that are too large to be written, since they were stored under a
higher limit.

A group may need more groups than one transaction can write. The machines are therefore first copied
to further groups, whose names follow from that of the group. The group itself stays as it is, and
its rows take precedence over the copies. It is then rewritten with its first machines alone, under
the condition that the copies are unchanged; the others pass to the groups of their copies. Programs
without this behaviour would take them for removed, so that it needs a level of its own.
"""

from __future__ import annotations

from collections.abc import Mapping

from badgerseam.model.keys import group_key
from badgerseam.model.machine_groups import is_split_from, split_name
from badgerseam.model.model import Model
from badgerseam.store.committer import GroupCommitter, Urgency
from badgerseam.wire import state as wire

FILL_FRACTION = 0.9
"""Fraction of a value's maximum size that a group uses."""
ROW_BYTES = 128
"""Maximum size of a machine's row if its names are short."""
ADDRESS_BYTES = 32
"""Maximum growth of a row when its machine's address becomes known."""

Rows = list[wire.StoredMachine]


def max_rows(rows: Rows, value_bytes: int) -> int:
    """Returns how many machines with rows like these fit into one group."""
    longest = max((len(wire.encode(row)) + ADDRESS_BYTES for row in rows), default=0)
    return max(1, int(value_bytes * FILL_FRACTION) // max(ROW_BYTES, longest))


def incomplete_copies(model: Model, group: str) -> list[str]:
    """Returns the groups to which machines of a group were copied that still belong to it.

    The machines of an earlier, complete split are no longer in the group.
    """
    _, own_rows = model.groups.get(group, (0, {}))
    return [
        name
        for name, (_, rows) in model.groups.items()
        if is_split_from(name, group) and rows.keys() <= own_rows.keys()
    ]


class GroupSplit:
    """Splits one group at the version that the model shows now."""

    def __init__(self, model: Model, committer: GroupCommitter, group: str) -> None:
        self._model = model
        self._committer = committer
        self._group = group
        limits = committer.limits
        self._version, rows = model.groups[group]
        size = max_rows(list(rows.values()), limits.value_bytes)
        all_rows = list(rows.values())
        self._first = all_rows[:size]
        self._copies = {
            split_name(group, self._version, number): all_rows[first : first + size]
            for number, first in enumerate(range(size, len(all_rows), size), 1)
        }
        """The machines to be copied, by group."""
        self._next_name = split_name(group, self._version, len(self._copies) + 1)

    async def run(self, claim: tuple[str, int]) -> None:
        """Splits the group under a claim.

        Raises one of the errors of `GroupCommitter.commit`; what was copied until then is found by
        the next attempt.
        """
        while missing := self._missing_copies():
            await self._write(dict(missing[: self._max_copies()]), claim)
        while obsolete := self._obsolete_copies():
            await self._write(dict.fromkeys(obsolete[: self._max_copies()]), claim)
        if not self._copies:
            return
        # A controller with lower limits, which splits the group into more parts, would have written
        # the next one as well.
        conditions = {group_key(self._next_name): 0}
        max_copies = max(0, self._committer.limits.conditions - 3)
        for name in list(self._copies)[:max_copies]:
            conditions[group_key(name)] = self._model.groups[name][0]
        await self._write({self._group: self._first}, claim, conditions)

    def _max_copies(self) -> int:
        """Returns how many copies one transaction can write: each has a condition, beside those on
        the group and the claim."""
        limits = self._committer.limits
        return max(1, min(limits.writes, limits.conditions - 2))

    def _missing_copies(self) -> list[tuple[str, Rows]]:
        """Returns the copies that are not stored as they should be."""
        groups = self._model.groups
        return [
            (name, rows)
            for name, rows in self._copies.items()
            if name not in groups or list(groups[name][1].values()) != rows
        ]

    def _obsolete_copies(self) -> list[str]:
        """Returns the groups that an earlier attempt wrote for another version or other limits."""
        copies = incomplete_copies(self._model, self._group)
        return [name for name in copies if name not in self._copies]

    async def _write(
        self,
        groups: Mapping[str, Rows | None],
        claim: tuple[str, int],
        conditions: dict[str, int] | None = None,
    ) -> None:
        """Writes or deletes groups in one transaction, and applies them to the model."""
        model = self._model
        versions = {name: model.groups.get(name, (0, {}))[0] for name in groups}
        writes = [
            wire.Write(delete=group_key(name))
            if rows is None
            else wire.Write(put=group_key(name), value=wire.raw(rows))
            for name, rows in groups.items()
        ]
        revision = await self._committer.commit(
            Urgency.PLACE,
            {
                claim[0]: claim[1],
                group_key(self._group): self._version,
                **{group_key(name): version for name, version in versions.items()},
                **(conditions or {}),
            },
            writes,
        )
        with model.lock:
            for write in writes:
                model.apply(write.put or write.delete or "", write.value, revision)
