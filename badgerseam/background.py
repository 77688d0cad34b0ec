"""Background asyncio tasks."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class BackgroundTasks:
    """Keeps a reference to each task until it is done.

    The event loop holds only weak references: without another one, a running task that is not
    awaited could be garbage-collected.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def __len__(self) -> int:
        """Returns the number of tasks that are not done."""
        return len(self._tasks)

    def spawn(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Starts a coroutine as a task."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def cancel_all(self) -> None:
        """Cancels every task that is not done."""
        for task in list(self._tasks):
            task.cancel()
