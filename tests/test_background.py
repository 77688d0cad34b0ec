"""Tests for background tasks."""

from __future__ import annotations

import asyncio
import gc

from badgerseam.background import BackgroundTasks


def test_a_task_is_referenced_only_until_it_is_done() -> None:
    # Only BackgroundTasks refers to the task and, through it, to the future that the task awaits.
    async def scenario() -> None:
        tasks = BackgroundTasks()
        done = asyncio.Event()

        async def work() -> None:
            await asyncio.get_running_loop().create_future()

        tasks.spawn(done.wait())
        tasks.spawn(work())
        await asyncio.sleep(0)
        gc.collect()
        assert len(tasks) == 2
        done.set()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert len(tasks) == 1
        tasks.cancel_all()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert len(tasks) == 0

    asyncio.run(scenario())
