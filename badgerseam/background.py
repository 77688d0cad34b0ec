"""Tasks that run beside the code that starts them."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class BackgroundTasks:
    """Keeps a reference to each task until it is done.

    The event loop itself has only a weak one, so that a task that nobody awaits could be collected
    as garbage while it runs.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def __len__(self) -> int:
        """The number of tasks that are not done."""
        return len(self._tasks)

    def spawn(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Start a coroutine as a task."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def cancel_all(self) -> None:
        """Cancel every task that is not done."""
        for task in list(self._tasks):
            task.cancel()
