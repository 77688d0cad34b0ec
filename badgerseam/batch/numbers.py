"""Job numbers: claimed in blocks, and found again from any id.

People type numbers; the service knows ids of the form job-DIGITS that their users choose. A number
stands for the id with these digits. Numbers that are handed out come from blocks that one
controller has claimed by a conditional transaction, so that no two clients ever get the same; a
block that was claimed without an answer, or whose controller ended, leaves a gap.
"""

from __future__ import annotations

import asyncio

import msgspec

from badgerseam.model.keys import PREFIX
from badgerseam.model.model import Model
from badgerseam.store.client import ConditionFailedError, StateClient
from badgerseam.store.committer import GroupCommitter, Urgency
from badgerseam.wire import state as wire

KEY = f"{PREFIX}b"
FIRST = 1_000_000
"""Below it users of the service's own protocol choose their ids as they like."""
BLOCK = 100
"""Numbers for one write; changes a second are the scarcest thing there is."""
MAX_NUMBERS_AT_ONCE = 100
MAX_DIGITS = 18
DEADLINE_S = 1.5


def number_id(number: int) -> str:
    """The id of a number that was handed out."""
    return f"job-{number}"


class JobNumbers:
    """Hands out numbers on one controller."""

    def __init__(self, model: Model, state: StateClient, committer: GroupCommitter) -> None:
        self._model = model
        self._state = state
        self._committer = committer
        self._next = 0
        self._end = 0
        self._lock = asyncio.Lock()

    async def take(self, count: int) -> list[int]:
        """So many numbers that nobody else gets; Unavailable if no block can be claimed now."""
        taken: list[int] = []
        async with self._lock:
            while len(taken) < count:
                if self._next >= self._end:
                    await self._claim()
                number, self._next = self._next, self._next + 1
                # Its digits may be somebody's own id already.
                if not self.ids_of(number):
                    taken.append(number)
        return taken

    async def _claim(self) -> None:
        while True:
            entry = await self._state.get(KEY, DEADLINE_S)
            first = FIRST
            if entry is not None:
                first = max(first, msgspec.json.decode(entry.value, type=int))
            try:
                await self._committer.commit(
                    Urgency.USER,
                    {KEY: 0 if entry is None else entry.version},
                    [wire.Write(put=KEY, value=wire.raw(first + BLOCK))],
                    DEADLINE_S,
                )
            except ConditionFailedError:
                # Another has claimed it, or we have and were not told: the next one then.
                continue
            self._next, self._end = first, first + BLOCK
            return

    def ids_of(self, number: int) -> list[str]:
        """The ids of accepted jobs with this number: with leading zeros there can be several."""
        digits = str(number)
        ids = [f"job-{digits.zfill(width)}" for width in range(len(digits), MAX_DIGITS + 1)]
        with self._model.lock:
            return [
                name for name in ids if name in self._model.ended or name in self._model.job_index
            ]
