"""What a run of many members writes, with runs and without: `python -m tests.support.measure_runs
[N]`.

One controller plans, launches and finishes members as its state service lets it, 20 changes a
second and 8 KiB a value, and what lies in its transactions is counted. One in a hundred members
fails once.
"""

from __future__ import annotations

import asyncio
import sys
import time
from typing import Any

import msgspec

from badgerseam.model.job import Job, Stage
from badgerseam.model.keys import LEADER_KEY, LEVEL_KEY, group_key
from badgerseam.options import runs as options
from badgerseam.runs.counting import count
from badgerseam.runs.rules import RunStartRules
from badgerseam.runs.run_index import RunIndex
from badgerseam.runs.run_lifecycle import RunLifecycle
from badgerseam.settings import Team
from badgerseam.wire import state as wire
from tests.support.scripted_peers import ControllerFixture

MACHINES = 250
RUN_S = 20.0
FAILS = 100
STEP_S = 0.1
WRITES = 20.0


class Site(ControllerFixture):
    """One controller whose members run for a while by themselves."""

    def __init__(self, runs: bool) -> None:
        super().__init__([Team("red", 1e6, 1e6)])
        self.state.write_budget.per_s = WRITES
        self.state.write_budget.burst = WRITES
        self.bytes = self.changes = 0
        core = self.state.core
        execute = core.execute

        def counted(conditions: Any, then: Any) -> int:
            for write in then:
                self.bytes += len(bytes(write.value or b""))
                self.changes += 1
            return execute(conditions, then)

        self.set(LEVEL_KEY, wire.SiteLevel(3, "n-0", 0.0))
        self.set(LEADER_KEY, wire.ClaimRecord("n-0", 1))
        self.book: RunIndex | None = None
        if runs:
            plan = {"name": "night", "classes": ["train"], "quiet_s": 10.0, "first": "shortest"}
            self.book = RunIndex(
                self.model, msgspec.convert({"plans": [plan]}, options.RunsOptions)
            )
            self.model.job_observer = self.book
            self.planner.runs = RunStartRules(self.book)
            self.keeper = RunLifecycle(self.model, self.membership, self.committer, self.book)
        for first in range(0, MACHINES, 50):
            rows = [self.row(f"m-{first + number}") for number in range(50)]
            self.set(group_key(f"g-{first}"), rows)
        self.own()
        core.execute = counted  # type: ignore[method-assign]

    async def night(self, jobs: list[Job]) -> tuple[float, float]:
        """Seconds until all is done, and the processor time of its plans."""
        begun, plans_s = self.clock.now(), 0.0
        shard = self.model.shards[0]
        running: list[tuple[float, Any]] = []
        step = 0
        while any(job.phase == 0 for job in jobs) or self._open():
            self.clock.time += STEP_S
            self.lease()
            step += 1
            for machine in self.model.machines.values():
                machine.incarnation, machine.last_heartbeat_at = 1, self.clock.now()
            now = self.clock.now()
            mark = time.process_time()
            self.planner.run(shard)
            plans_s += time.process_time() - mark
            left = []
            for until, attempt in running:
                if until > now:
                    left.append((until, attempt))
                elif attempt.task % FAILS == 0 and attempt.number == 1:
                    attempt.error = True
                    self.model.unplace(attempt)
                else:
                    self.model.finish(attempt, now + 0.7)
            running = left
            before = {id(attempt) for _, attempt in running}
            for job in jobs:
                for attempt in job.attempts.values():
                    if attempt.stage == Stage.PLACED and not attempt.finishing:
                        attempt.stage, attempt.started_at = Stage.RUNNING, now
                        if id(attempt) not in before:
                            running.append((now + RUN_S, attempt))
            if self.book is not None and step % 5 == 0:
                keeping = asyncio.ensure_future(self.keeper.step())
                for _ in range(20):
                    await asyncio.sleep(0)
                if self.book.plans["night"].record is None or not keeping.done():
                    await asyncio.sleep(0.01)
                self.sync()
            for _ in range(6):
                self.ledger.flush()
                await asyncio.sleep(0)
        return self.clock.now() - begun, plans_s

    def _open(self) -> bool:
        return self.book is not None and (
            (record := self.book.plans["night"].record) is None or record.phase != "closed"
        )


def measure(runs: bool, members: int) -> None:
    """Play a night and print what it wrote."""
    site = Site(runs)
    jobs = [
        site.job(id=f"job-{number:06d}", pieces=members // 10, cpus=0.25, memGb=0.1, guessS=RUN_S)
        for number in range(10)
    ]
    begun = time.process_time()
    took, plans_s = asyncio.run(site.night(jobs))
    spent = time.process_time() - begun
    print(
        f"{'with' if runs else 'without'} runs: {members} members in {took:.0f} s, "
        f"{site.changes} changes ({site.changes / took:.2f} a second), "
        f"{site.bytes / 1e6:.2f} MB ({site.bytes / members:.1f} bytes a member), "
        f"{spent:.1f} s of processor time, {plans_s:.1f} s of it in plans"
    )
    if site.book is not None:
        plan = site.book.plans["night"]
        print(f"  the record: {len(wire.encode(plan.record))} bytes: {plan.record}")
        begun = time.perf_counter()
        asyncio.run(count(site.model, site.book, plan, 1))
        print(f"  counted in {1000 * (time.perf_counter() - begun):.1f} ms")


if __name__ == "__main__":
    for each in (False, True):
        measure(each, int(sys.argv[1]) if len(sys.argv) > 1 else 100_000)
