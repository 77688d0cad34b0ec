"""Measures what many members write to the state service, with the runs feature and without it:
`python -m tests.support.measure_runs [N]`.

One controller plans, launches and finishes members as fast as the limits of its state service
allow (20 changes a second, 8 KiB a value). The changes and bytes in its transactions are counted.
One in a hundred members fails once.
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
FAILURE_INTERVAL = 100
STEP_S = 0.1
WRITES_PER_S = 20.0


class MeasuredController(ControllerFixture):
    """One controller whose members run for `RUN_S` and then end by themselves."""

    def __init__(self, runs: bool) -> None:
        super().__init__([Team("red", 1e6, 1e6)])
        self.state.write_budget.per_s = WRITES_PER_S
        self.state.write_budget.burst = WRITES_PER_S
        self.bytes = self.changes = 0
        core = self.state.core
        execute = core.execute

        def counting_execute(conditions: Any, then: Any) -> int:
            for write in then:
                self.bytes += len(bytes(write.value or b""))
                self.changes += 1
            return execute(conditions, then)

        self.set(LEVEL_KEY, wire.SiteLevel(3, "n-0", 0.0))
        self.set(LEADER_KEY, wire.ClaimRecord("n-0", 1))
        self.run_index: RunIndex | None = None
        if runs:
            plan = {"name": "night", "classes": ["train"], "quiet_s": 10.0, "first": "shortest"}
            self.run_index = RunIndex(
                self.model, msgspec.convert({"plans": [plan]}, options.RunsOptions)
            )
            self.model.job_observer = self.run_index
            self.planner.runs = RunStartRules(self.run_index)
            self.lifecycle = RunLifecycle(
                self.model, self.membership, self.committer, self.run_index
            )
        for first in range(0, MACHINES, 50):
            rows = [self.row(f"m-{first + number}") for number in range(50)]
            self.set(group_key(f"g-{first}"), rows)
        self.own()
        core.execute = counting_execute  # type: ignore[method-assign]

    async def run_jobs(self, jobs: list[Job]) -> tuple[float, float]:
        """Returns the seconds until all members are done, and the processor time of planning."""
        started_at, planning_s = self.clock.now(), 0.0
        shard = self.model.shards[0]
        running: list[tuple[float, Any]] = []
        step = 0
        while any(job.phase == 0 for job in jobs) or self._is_run_open():
            self.clock.time += STEP_S
            self.lease()
            step += 1
            for machine in self.model.machines.values():
                machine.incarnation, machine.last_heartbeat_at = 1, self.clock.now()
            now = self.clock.now()
            plan_begun = time.process_time()
            self.planner.run(shard)
            planning_s += time.process_time() - plan_begun
            still_running = []
            for until, attempt in running:
                if until > now:
                    still_running.append((until, attempt))
                elif attempt.task % FAILURE_INTERVAL == 0 and attempt.number == 1:
                    attempt.error = True
                    self.model.unplace(attempt)
                else:
                    self.model.finish(attempt, now + 0.7)
            running = still_running
            before = {id(attempt) for _, attempt in running}
            for job in jobs:
                for attempt in job.attempts.values():
                    if attempt.stage == Stage.PLACED and not attempt.finishing:
                        attempt.stage, attempt.started_at = Stage.RUNNING, now
                        if id(attempt) not in before:
                            running.append((now + RUN_S, attempt))
            if self.run_index is not None and step % 5 == 0:
                step_task = asyncio.ensure_future(self.lifecycle.step())
                for _ in range(20):
                    await asyncio.sleep(0)
                if self.run_index.plans["night"].record is None or not step_task.done():
                    await asyncio.sleep(0.01)
                self.sync()
            for _ in range(6):
                self.ledger.flush()
                await asyncio.sleep(0)
        return self.clock.now() - started_at, planning_s

    def _is_run_open(self) -> bool:
        return self.run_index is not None and (
            (record := self.run_index.plans["night"].record) is None or record.phase != "closed"
        )


def measure(runs: bool, members: int) -> None:
    """Runs all members of a plan and prints what was written."""
    fixture = MeasuredController(runs)
    jobs = [
        fixture.job(
            id=f"job-{number:06d}", pieces=members // 10, cpus=0.25, memGb=0.1, guessS=RUN_S
        )
        for number in range(10)
    ]
    started_at = time.process_time()
    elapsed_s, planning_s = asyncio.run(fixture.run_jobs(jobs))
    processor_s = time.process_time() - started_at
    print(
        f"{'with' if runs else 'without'} runs: {members} members in {elapsed_s:.0f} s, "
        f"{fixture.changes} changes ({fixture.changes / elapsed_s:.2f} a second), "
        f"{fixture.bytes / 1e6:.2f} MB ({fixture.bytes / members:.1f} bytes a member), "
        f"{processor_s:.1f} s of processor time, {planning_s:.1f} s of it for planning"
    )
    if fixture.run_index is not None:
        plan = fixture.run_index.plans["night"]
        print(f"  run record: {len(wire.encode(plan.record))} bytes: {plan.record}")
        started_at = time.perf_counter()
        asyncio.run(count(fixture.model, fixture.run_index, plan, 1))
        print(f"  members counted in {1000 * (time.perf_counter() - started_at):.1f} ms")


if __name__ == "__main__":
    for with_runs in (False, True):
        measure(with_runs, int(sys.argv[1]) if len(sys.argv) > 1 else 100_000)
