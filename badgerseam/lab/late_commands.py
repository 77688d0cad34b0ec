"""Delays direct commands of controllers, which are then executed once, late."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from random import Random

from badgerseam.background import BackgroundTasks
from badgerseam.http.server import Reply

LATE_S = 2.0, 16.0
"""Range of the seconds after which a delayed command is executed, if it is still valid then."""


class LateCommands:
    """Delays a fraction of the direct commands to all machines."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._tasks = BackgroundTasks()
        self.fraction = 0.0
        """Fraction of the direct commands that are delayed, from 0 to 1."""

    @property
    def in_flight(self) -> int:
        """Number of delayed commands that have not been executed yet."""
        return len(self._tasks)

    def should_delay(self) -> bool:
        """Returns whether the next command is delayed; draws a random number."""
        return self._random.random() < self.fraction

    def delay(self, execute: Callable[[], Coroutine[object, object, Reply]]) -> asyncio.Task[None]:
        """Executes a command late. Its machine cancels the task when the machine is gone."""
        return self._tasks.spawn(self._execute_late(execute))

    async def _execute_late(self, execute: Callable[[], Coroutine[object, object, Reply]]) -> None:
        await asyncio.sleep(self._random.uniform(*LATE_S))
        await execute()
