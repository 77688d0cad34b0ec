"""Allocates job numbers, and maps numbers to job ids.

Users of the command line type numbers; job ids have the form job-DIGITS, and clients choose them. A
number stands for the id with these digits. Numbers are allocated from blocks that one controller
has claimed by a compare-and-swap, so that no two clients ever get the same; a block whose claim got
no answer, or whose controller ended, leaves a gap.
"""

from __future__ import annotations

import asyncio

import msgspec

from badgerseam.model.keys import PREFIX
from badgerseam.model.model import Model
from badgerseam.store.client import ConditionFailedError, StateClient
from badgerseam.store.committer import GroupCommitter, Urgency
from badgerseam.wire import state as wire

NUMBERS_KEY = f"{PREFIX}b"
"""The first number that no controller has claimed."""
FIRST_NUMBER = 1_000_000
"""Numbers below it are left to clients that choose their ids themselves."""
BLOCK_SIZE = 100
"""Numbers claimed by one write; writes are the scarcest resource of the state service."""
MAX_DIGITS = 18
"""Of a number in a job id, with leading zeros."""
DEADLINE_S = 1.5
"""Of each request to the state service."""


def number_id(number: int) -> str:
    """The job id of an allocated number."""
    return f"job-{number}"


class JobNumbers:
    """Allocates numbers from the blocks of one controller."""

    def __init__(self, model: Model, state: StateClient, committer: GroupCommitter) -> None:
        self._model = model
        self._state = state
        self._committer = committer
        self._next = 0
        """The next number of the current block, which ends before `_end`."""
        self._end = 0
        self._lock = asyncio.Lock()

    async def allocate(self, count: int) -> list[int]:
        """So many numbers that no other client gets.

        Raises StateUnavailableError if no block can be claimed now.
        """
        allocated: list[int] = []
        async with self._lock:
            while len(allocated) < count:
                if self._next >= self._end:
                    await self._claim_block()
                number, self._next = self._next, self._next + 1
                # A client may have chosen an id with these digits already.
                if not self.ids_of(number):
                    allocated.append(number)
        return allocated

    async def _claim_block(self) -> None:
        while True:
            entry = await self._state.get(NUMBERS_KEY, DEADLINE_S)
            first = FIRST_NUMBER
            if entry is not None:
                first = max(first, msgspec.json.decode(entry.value, type=int))
            try:
                await self._committer.commit(
                    Urgency.USER,
                    {NUMBERS_KEY: 0 if entry is None else entry.version},
                    [wire.Write(put=NUMBERS_KEY, value=wire.raw(first + BLOCK_SIZE))],
                    DEADLINE_S,
                )
            except ConditionFailedError:
                # Another controller has claimed it, or this one has and got no answer: try again.
                continue
            self._next, self._end = first, first + BLOCK_SIZE
            return

    def ids_of(self, number: int) -> list[str]:
        """The ids of accepted jobs with this number: with leading zeros there can be several."""
        digits = str(number)
        ids = [f"job-{digits.zfill(width)}" for width in range(len(digits), MAX_DIGITS + 1)]
        with self._model.lock:
            return [
                job_id
                for job_id in ids
                if job_id in self._model.ended or job_id in self._model.job_index
            ]
