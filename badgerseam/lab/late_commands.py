"""Executes direct commands of controllers late: delayed ones once, and copies of answered ones."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from random import Random

from badgerseam.background import BackgroundTasks
from badgerseam.http.server import Reply
from badgerseam.lab.delays import log_uniform

LATE_S = 2.0, 16.0
"""Range of the seconds after which a delayed command is executed, if it is still valid then."""
COPY_S = 0.2, 150.0
"""Range of the seconds after which a copy of an answered command arrives, log-uniform."""
MAX_COPIES = 3
"""Maximum number of copies of one command."""

Execute = Callable[[], Coroutine[object, object, Reply]]
"""Executes a command on its machine, if it is still valid."""


class LateCommands:
    """Delays a fraction of the direct commands to all machines, and copies a fraction of those that
    were executed and answered."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._delayed = BackgroundTasks()
        self._copies = BackgroundTasks()
        self.fraction = 0.0
        """Fraction of the direct commands that are delayed, from 0 to 1."""
        self.copied_fraction = 0.0
        """Fraction of the answered direct commands, and of their copies, that are copied, from 0 to
        1."""
        self.copies_executed = 0
        """Number of copies that were executed, as their token and session were still valid."""
        self.copies_refused = 0
        """Number of copies that were refused."""

    @property
    def in_flight(self) -> int:
        """Number of delayed commands that have not been executed yet."""
        return len(self._delayed)

    @property
    def copies_in_flight(self) -> int:
        """Number of copies that have not arrived yet."""
        return len(self._copies)

    def should_delay(self) -> bool:
        """Returns whether the next command is delayed; draws a random number."""
        return self._random.random() < self.fraction

    def should_copy(self) -> bool:
        """Returns whether an answered command is copied; draws a random number if any is."""
        return self.copied_fraction > 0 and self._random.random() < self.copied_fraction

    def delay(self, execute: Execute) -> asyncio.Task[None]:
        """Executes a command late. Its machine cancels the task when the machine is gone."""
        return self._delayed.spawn(self._execute_late(execute))

    def copy(self, execute: Execute) -> asyncio.Task[None]:
        """Delivers an answered command again, up to `MAX_COPIES` times. Its machine cancels the
        task when the machine is gone."""
        return self._copies.spawn(self._deliver_copies(execute))

    async def _execute_late(self, execute: Execute) -> None:
        await asyncio.sleep(self._random.uniform(*LATE_S))
        await execute()

    async def _deliver_copies(self, execute: Execute) -> None:
        for _ in range(MAX_COPIES):
            await asyncio.sleep(log_uniform(self._random, *COPY_S))
            reply = await execute()
            if reply.status == 200:
                self.copies_executed += 1
            else:
                self.copies_refused += 1
            if not self.should_copy():
                return
