"""Allocates job numbers, and maps numbers to job ids.

Users of the command line enter numbers, while clients choose job ids of the form job-DIGITS; a
number identifies the job with these digits in its id. Numbers are allocated from blocks, each
claimed by one controller with a compare-and-swap, so that no two clients ever get the same number.
A block whose claim got no response, or whose controller ended, leaves a gap.
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
"""The key that holds the first number that no controller has claimed."""
FIRST_NUMBER = 1_000_000
"""The first number to allocate. Lower numbers are reserved for clients that choose their own
ids."""
BLOCK_SIZE = 100
"""How many numbers one write claims. A write claims many, since the state service's write rate is
its scarcest resource."""
MAX_DIGITS = 18
"""The maximum number of digits in a job id, including leading zeros."""
DEADLINE_S = 1.5
"""The deadline of each request to the state service."""


def number_id(number: int) -> str:
    """Returns the job id of an allocated number."""
    return f"job-{number}"


class JobNumbers:
    """Allocates numbers from the blocks that this controller claims."""

    def __init__(self, model: Model, state: StateClient, committer: GroupCommitter) -> None:
        self._model = model
        self._state = state
        self._committer = committer
        self._next = 0
        """The next number of the current block; the block ends before `_end`."""
        self._end = 0
        self._lock = asyncio.Lock()

    async def allocate(self, count: int) -> list[int]:
        """Returns `count` numbers that no other client gets.

        Raises StateUnavailableError if no block can be claimed now.
        """
        allocated: list[int] = []
        async with self._lock:
            while len(allocated) < count:
                if self._next >= self._end:
                    await self._claim_block()
                number, self._next = self._next, self._next + 1
                # A client may already have chosen an id with these digits.
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
                # Another controller has claimed the block, or this controller's own claim was
                # applied although its response was lost: try again.
                continue
            self._next, self._end = first, first + BLOCK_SIZE
            return

    def ids_of(self, number: int) -> list[str]:
        """Returns the ids of accepted jobs with this number. Several ids are possible, as they may
        have leading zeros."""
        digits = str(number)
        ids = [f"job-{digits.zfill(width)}" for width in range(len(digits), MAX_DIGITS + 1)]
        with self._model.lock:
            return [
                job_id
                for job_id in ids
                if job_id in self._model.ended or job_id in self._model.job_index
            ]
