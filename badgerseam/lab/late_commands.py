"""Direct commands of controllers that are held up on their way, and carried out once, late."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from random import Random

from badgerseam.background import BackgroundTasks
from badgerseam.http.server import Reply

LATE_S = 2.0, 16.0
"""After which a command that is held up is carried out, if it is still valid then."""


class LateCommands:
    """Holds up a part of the direct commands to all machines."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._tasks = BackgroundTasks()
        self.fraction = 0.0
        """Of the direct commands that are held up, from 0 to 1."""

    @property
    def in_flight(self) -> int:
        """How many have not been carried out yet."""
        return len(self._tasks)

    def chosen(self) -> bool:
        """Whether the next command is held up."""
        return self._random.random() < self.fraction

    def hold_up(
        self, execute: Callable[[], Coroutine[object, object, Reply]]
    ) -> asyncio.Task[None]:
        """Carry a command out late. Cancelled, it never arrives: its machine is gone."""
        return self._tasks.spawn(self._later(execute))

    async def _later(self, execute: Callable[[], Coroutine[object, object, Reply]]) -> None:
        await asyncio.sleep(self._random.uniform(*LATE_S))
        await execute()
