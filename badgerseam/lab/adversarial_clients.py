"""Users who call jobs off at bad moments, and who send what makes no sense.

They ask through the lab's front like all users, so that the judge sees what they ask and are told.
"""

from __future__ import annotations

import asyncio
import json
from random import Random
from typing import Literal

import msgspec

from badgerseam.background import BackgroundTasks
from badgerseam.clock import Clock
from badgerseam.lab.load import REQUEST_RETRY_S
from badgerseam.lab.load_balancer import FINAL_STATUSES, LoadBalancer, TrueBehaviour
from badgerseam.lab.machines import MachineProcess
from badgerseam.wire.users import Submission

AT_ONCE_S = 0.2
"""Within which jobs are called off together."""
AT_END_S = 0.5
"""After the end of a job's last task, within which it is called off."""
ODD_EVERY_S = 0.4
HUGE = 1e5
"""Processors of a task that fits no machine."""

InvalidRequest = Literal["again", "cancel-done", "unfit", "lacking"]
INVALID_REQUESTS: tuple[InvalidRequest, ...] = ("again", "cancel-done", "unfit", "lacking")


class AdversarialClients:
    """Asks for what deeds of a lab want asked."""

    def __init__(
        self, front: LoadBalancer, clock: Clock, random: Random, machines: dict[str, MachineProcess]
    ) -> None:
        self._front = front
        self._clock = clock
        self._random = random
        self._machines = machines
        self._tasks = BackgroundTasks()
        self._source: asyncio.Task[None] | None = None
        self._number = 900_000
        self.cancel_at_end_fraction = 0.0
        """Of the jobs that end, called off then."""
        self.requests_sent = 0

    def stop(self) -> None:
        """Nobody asks any more."""
        self.send_invalid_requests(False)
        self._tasks.cancel_all()

    async def _insist(self, path: str, body: bytes, pause_s: float = 0.0) -> None:
        """Repeat a request until it is granted or refused for good, as users do."""
        await asyncio.sleep(pause_s)
        until = self._clock.now() + REQUEST_RETRY_S
        self.requests_sent += 1
        while self._clock.now() < until:
            if (await self._front.ask("POST", path, body)).status in FINAL_STATUSES:
                return
            await asyncio.sleep(self._random.uniform(1.0, 1.2))

    def cancel(self, job: str, within_s: float = 0.0) -> None:
        """Have a job called off, at a moment within so long."""
        pause_s = self._random.uniform(0.0, within_s)
        self._tasks.spawn(self._insist(f"/submissions/{job}/abort", b"{}", pause_s))

    # ---- cancellations ----

    def longest_remaining(self, count: int) -> dict[str, list[str]]:
        """The jobs that run and have the longest to go, with the machines that they run on."""
        left: dict[str, float] = {}
        on: dict[str, list[str]] = {}
        for name, machine in sorted(self._machines.items()):
            for held in machine.core.tasks.values():
                if held.phase == "running":
                    job = held.task.partition("/")[0]
                    left[job] = max(left.get(job, 0.0), held.job.run_s - held.ran_s)
                    on.setdefault(job, []).append(name)
        chosen = sorted(left, key=lambda job: (-left[job], job))[:count]
        return {job: on[job] for job in chosen}

    def cancel_now(self, jobs: list[str]) -> None:
        """All of them at about the same time."""
        for job in jobs:
            self.cancel(job, AT_ONCE_S)

    def task_done(self, task: str, done: set[str]) -> None:
        """A task has completed; `done`: all that have."""
        job = task.partition("/")[0]
        spec = self._front.spec(job)
        if spec is None or self._random.random() >= self.cancel_at_end_fraction:
            return
        if all(f"{job}/{number}" in done for number in range(spec.tasks)):
            self.cancel(job, AT_END_S)

    # ---- what makes no sense ----

    def send_invalid_requests(self, on: bool) -> None:
        """Send odd requests one after the other, or no more of them."""
        if self._source is not None:
            self._source.cancel()
            self._source = None
        if on:
            self._source = self._tasks.spawn(self._odd())

    async def _odd(self) -> None:
        while True:
            await asyncio.sleep(ODD_EVERY_S * self._random.uniform(0.5, 1.5))
            self.send_invalid_request(self._random.choice(INVALID_REQUESTS))

    def send_invalid_request(self, kind: InvalidRequest) -> None:
        """One of a kind, if some job is there to make it of."""
        if kind in ("again", "cancel-done"):
            wanted = ("done",) if kind == "cancel-done" else ("pending", "running")
            jobs = sorted(job for job, phase in self._front.phases.items() if phase in wanted)
            if not jobs:
                return
            spec = self._front.spec(self._random.choice(jobs))
            if spec is None:
                return
            if kind == "cancel-done":
                self.cancel(spec.id, 0.0)
            else:
                self._tasks.spawn(self._insist("/submissions", msgspec.json.encode(spec)))
            return
        model = next(iter(self._front.specs()), None)
        if model is None:
            return
        self._number += 1
        self._tasks.spawn(self._insist("/submissions", self._senseless(model, kind)))

    def _senseless(self, model: Submission, kind: InvalidRequest) -> bytes:
        name = f"job-{self._number}"
        # Nobody can serve it.
        self._front.true_behaviours[name] = TrueBehaviour(broken=True)
        spec = msgspec.structs.replace(model, id=name, terms=None)
        if kind == "unfit":
            return msgspec.json.encode(msgspec.structs.replace(spec, cpus=HUGE))
        fields = msgspec.to_builtins(spec)
        needed = sorted(set(fields) - {"id", "breeds", "sett", "dueS", "terms"})
        del fields[self._random.choice(needed)]
        return json.dumps(fields).encode()
