"""Users who cancel jobs at the worst moments and send invalid requests.

Their requests go through the load balancer like those of all users, so that the requests and their
answers are in the history that the rule checker reads.
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

CANCEL_NOW_WITHIN_S = 0.2
"""Seconds within which several jobs are cancelled together."""
CANCEL_AT_END_WITHIN_S = 0.5
"""Seconds after the end of a job's last task within which the job is cancelled."""
INVALID_REQUEST_INTERVAL_S = 0.4
"""Mean seconds between two invalid requests."""
OVERSIZED_CPUS = 1e5
"""CPUs of a task that fits on no machine."""

InvalidRequest = Literal["again", "cancel-done", "unfit", "lacking"]
INVALID_REQUESTS: tuple[InvalidRequest, ...] = ("again", "cancel-done", "unfit", "lacking")


class AdversarialClients:
    """Sends the requests that a lab's client faults consist of."""

    def __init__(
        self,
        load_balancer: LoadBalancer,
        clock: Clock,
        random: Random,
        machines: dict[str, MachineProcess],
    ) -> None:
        self._load_balancer = load_balancer
        self._clock = clock
        self._random = random
        self._machines = machines
        self._tasks = BackgroundTasks()
        self._invalid_requests: asyncio.Task[None] | None = None
        self._invalid_job_number = 900_000
        self.cancel_at_end_fraction = 0.0
        """Fraction of jobs that are cancelled when their last task completes, from 0 to 1."""
        self.requests_sent = 0

    def stop(self) -> None:
        """Stops all requests."""
        self.send_invalid_requests(False)
        self._tasks.cancel_all()

    async def _retry_until_final(self, path: str, body: bytes, pause_s: float = 0.0) -> None:
        """Repeats a request until the status of its answer is final, as users do."""
        await asyncio.sleep(pause_s)
        until = self._clock.now() + REQUEST_RETRY_S
        self.requests_sent += 1
        while self._clock.now() < until:
            if (await self._load_balancer.ask("POST", path, body)).status in FINAL_STATUSES:
                return
            await asyncio.sleep(self._random.uniform(1.0, 1.2))

    def cancel(self, job: str, within_s: float = 0.0) -> None:
        """Cancels a job at a random moment within `within_s` seconds."""
        pause_s = self._random.uniform(0.0, within_s)
        self._tasks.spawn(self._retry_until_final(f"/submissions/{job}/abort", b"{}", pause_s))

    # ---- cancellations ----

    def longest_remaining(self, count: int) -> dict[str, list[str]]:
        """Returns the running jobs with the longest remaining run time, and their machines."""
        remaining_s: dict[str, float] = {}
        machines_of: dict[str, list[str]] = {}
        for name, machine in sorted(self._machines.items()):
            for held in machine.core.tasks.values():
                if held.phase == "running":
                    job = held.task.partition("/")[0]
                    remaining_s[job] = max(remaining_s.get(job, 0.0), held.job.run_s - held.ran_s)
                    machines_of.setdefault(job, []).append(name)
        chosen = sorted(remaining_s, key=lambda job: (-remaining_s[job], job))[:count]
        return {job: machines_of[job] for job in chosen}

    def cancel_now(self, jobs: list[str]) -> None:
        """Cancels several jobs at about the same time."""
        for job in jobs:
            self.cancel(job, CANCEL_NOW_WITHIN_S)

    def on_task_completed(self, task: str, completed: set[str]) -> None:
        """Called when a task has completed. `completed`: all completed tasks."""
        job = task.partition("/")[0]
        spec = self._load_balancer.spec(job)
        if spec is None or self._random.random() >= self.cancel_at_end_fraction:
            return
        if all(f"{job}/{number}" in completed for number in range(spec.tasks)):
            self.cancel(job, CANCEL_AT_END_WITHIN_S)

    # ---- invalid requests ----

    def send_invalid_requests(self, on: bool) -> None:
        """Starts or stops a sequence of invalid requests."""
        if self._invalid_requests is not None:
            self._invalid_requests.cancel()
            self._invalid_requests = None
        if on:
            self._invalid_requests = self._tasks.spawn(self._send_random_invalid_requests())

    async def _send_random_invalid_requests(self) -> None:
        while True:
            await asyncio.sleep(INVALID_REQUEST_INTERVAL_S * self._random.uniform(0.5, 1.5))
            self.send_invalid_request(self._random.choice(INVALID_REQUESTS))

    def send_invalid_request(self, kind: InvalidRequest) -> None:
        """Sends an invalid request derived from a submitted job; none if there is no such job."""
        if kind in ("again", "cancel-done"):
            phases = ("done",) if kind == "cancel-done" else ("pending", "running")
            jobs = sorted(
                job for job, phase in self._load_balancer.phases.items() if phase in phases
            )
            if not jobs:
                return
            spec = self._load_balancer.spec(self._random.choice(jobs))
            if spec is None:
                return
            if kind == "cancel-done":
                self.cancel(spec.id, 0.0)
            else:
                self._tasks.spawn(
                    self._retry_until_final("/submissions", msgspec.json.encode(spec))
                )
            return
        template = next(iter(self._load_balancer.specs()), None)
        if template is None:
            return
        self._invalid_job_number += 1
        self._tasks.spawn(
            self._retry_until_final("/submissions", self._invalid_submission(template, kind))
        )

    def _invalid_submission(self, template: Submission, kind: InvalidRequest) -> bytes:
        name = f"job-{self._invalid_job_number}"
        # No machine could run the job if it were accepted.
        self._load_balancer.true_behaviours[name] = TrueBehaviour(broken=True)
        spec = msgspec.structs.replace(template, id=name, terms=None)
        if kind == "unfit":
            return msgspec.json.encode(msgspec.structs.replace(spec, cpus=OVERSIZED_CPUS))
        fields = msgspec.to_builtins(spec)
        required = sorted(set(fields) - {"id", "breeds", "sett", "dueS", "terms"})
        del fields[self._random.choice(required)]
        return json.dumps(fields).encode()
