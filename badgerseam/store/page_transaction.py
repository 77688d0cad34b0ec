"""A transaction on the pages of a shard's task log."""

from __future__ import annotations

from dataclasses import dataclass, field

from badgerseam.model.job import Attempt, Job, NoteKey
from badgerseam.model.keys import LEVEL_KEY, claim_key, page_key
from badgerseam.model.model import Model
from badgerseam.model.state import Shard
from badgerseam.store.limits import TransactionLimits
from badgerseam.wire import state as wire

KEY_BYTES = 48
"""Upper bound on the size of a condition or of a write without its key and value."""


@dataclass(slots=True)
class PageTransaction:
    """A transaction on the pages of a shard."""

    shard: int
    conditions: dict[str, int]
    """The version that each key must have; 0 if the key must not exist."""
    pages: dict[int, dict[str, wire.JobRows]] = field(default_factory=dict)
    """The new content of pages by number: entries by job."""
    page_bytes: dict[int, int] = field(default_factory=dict)
    """Upper bounds on the sizes of these pages, by number."""
    planned: list[Attempt] = field(default_factory=list)
    """Planned attempts whose rows are written."""
    finished: list[Attempt] = field(default_factory=list)
    """Attempts whose completion is written."""
    done_chunks: list[tuple[Job, int]] = field(default_factory=list)
    """Chunks of jobs whose sets of finished tasks are written."""
    notes: list[tuple[Job, NoteKey]] = field(default_factory=list)
    """Notes of jobs that are written."""
    replicas: set[tuple[str, int]] = field(default_factory=set)
    """Replicas (job and number) whose planned members are all written."""

    def set_page(
        self, number: int, content: dict[str, wire.JobRows], size: int, version: int
    ) -> None:
        """Sets the new content of a page, its size, and the version that it replaces."""
        self.pages[number] = content
        self.page_bytes[number] = size
        self.conditions[page_key(self.shard, number)] = version

    def values(self) -> dict[str, list[wire.JobRows]]:
        """Returns the values to be written, by key."""
        return {
            page_key(self.shard, number): list(entries.values())
            for number, entries in self.pages.items()
        }

    def fits(self, limits: TransactionLimits) -> bool:
        """Whether the transaction is certainly within the limits."""
        return (
            len(self.pages) <= limits.writes
            and len(self.conditions) <= limits.conditions
            and all(size <= limits.value_bytes for size in self.page_bytes.values())
            and self._size_bound() <= limits.transaction_bytes
        )

    def _size_bound(self) -> int:
        """Returns an upper bound on the size of the encoded transaction."""
        condition_bytes = sum(len(key) + KEY_BYTES for key in self.conditions)
        write_bytes = sum(len(page_key(self.shard, number)) + KEY_BYTES for number in self.pages)
        return condition_bytes + write_bytes + sum(self.page_bytes.values())


def begin_transaction(model: Model, shard: Shard) -> PageTransaction:
    """Returns an empty transaction that fails without the shard's claim and the site's level."""
    # The format of rows depends on the site's level. If the process was suspended while the level
    # was raised, or the transaction is applied minutes late, the condition on the level fails it.
    conditions = {claim_key(shard.index): shard.term, LEVEL_KEY: model.level.version}
    return PageTransaction(shard.index, conditions)
