"""Simulated users of a lab: they submit jobs of the site's classes, poll, and cancel some."""

from __future__ import annotations

import asyncio
import json
import math
import time
from collections.abc import Callable
from random import Random

import msgspec

from badgerseam.background import BackgroundTasks
from badgerseam.http.client import HttpClient, NoResponseError
from badgerseam.lab.load_balancer import LoadBalancer, TrueBehaviour
from badgerseam.lab.site import JobClass
from badgerseam.wire import batch as batch_wire
from badgerseam.wire import users as wire

REQUEST_RETRY_S = 60.0
"""Seconds for which a user repeats a request."""
POLL_S = 2.0
"""Mean of the seconds between polls."""
SIGMA = 0.25
"""Sigma of the lognormal run times within a class."""


def pick_image(job_class: JobClass, random: Random) -> tuple[str, float]:
    """Returns a random image of a class and its size in GB, which is fixed for an image."""
    if job_class.images == 1:
        return job_class.image, job_class.image_gb
    number = random.randrange(job_class.images)
    max_size = job_class.image_gb if job_class.image_gb_most is None else job_class.image_gb_most
    size = job_class.image_gb + (max_size - job_class.image_gb) * number / (job_class.images - 1)
    return f"{job_class.image}-{number}", round(size, 3)


def make_job(
    job_class: JobClass, number: int, random: Random
) -> tuple[wire.Submission, TrueBehaviour]:
    """Returns a random job of a class, as its owner describes it, and its true behaviour."""
    low, high = job_class.tasks
    run_s = job_class.run_s * random.lognormvariate(-(SIGMA**2) / 2, SIGMA)
    guess_s = run_s * random.lognormvariate(0.0, job_class.guess_error)
    image, image_gb = pick_image(job_class, random)
    service = job_class.shape == "standing"
    spec = wire.Submission(
        id=f"job-{number:06d}",
        job_class=job_class.name,
        team=random.choice(job_class.teams),
        kind=job_class.shape,
        priority=job_class.rank,
        tasks=random.randint(low, high) * job_class.replica,
        cpus=job_class.cpus,
        gpus=job_class.gpus,
        memory_gb=job_class.memory_gb,
        image=image,
        image_gb=image_gb,
        one_zone=job_class.one_zone,
        spread=job_class.scatter,
        spot=job_class.spot,
        estimate_s=0.0 if service else round(guess_s, 2),
        checkpoint_s=job_class.checkpoint_s,
        save_s=job_class.save_s,
        types=job_class.types,
        zone=job_class.zone,
        deadline_s=None
        if job_class.due_times is None
        else round(max(5.0, guess_s * job_class.due_times), 1),
    )
    return spec, TrueBehaviour(run_s, random.random() < job_class.broken)


class UserLoad:
    """Starts simulated users at the rates of the job classes until it is stopped."""

    def __init__(
        self,
        load_balancer: LoadBalancer,
        address: str,
        classes: list[JobClass],
        random: Random,
        next_number: Callable[[], int],
        factor: float = 1.0,
    ) -> None:
        self._load_balancer = load_balancer
        self._address = address
        self._classes = classes
        self._random = random
        self._next_number = next_number
        self.factor = factor
        self._latest_batch_job: str | None = None
        """The latest accepted batch job, on which later ones may depend."""
        self._http = HttpClient(max_idle=128)
        self._users = BackgroundTasks()
        self._arrival_tasks: list[asyncio.Task[None]] = []
        self.submitted = self.accepted = self.ended = self.given_up = 0

    def start(self) -> None:
        """Starts the initial jobs and the arrivals."""
        for job_class in self._classes:
            for _ in range(job_class.at_start):
                self._start_user(job_class)
            self._arrival_tasks.append(asyncio.ensure_future(self._submit_arrivals(job_class)))

    def stop_arrivals(self) -> None:
        """Stops submitting jobs; the users of submitted jobs go on."""
        for task in self._arrival_tasks:
            task.cancel()
        self._arrival_tasks.clear()

    def stop(self) -> None:
        """Stops all users."""
        self.stop_arrivals()
        self._users.cancel_all()

    @property
    def open(self) -> int:
        """Number of users whose job has not ended."""
        return len(self._users)

    def submit_arrays(self, name: str, members: int) -> int:
        """Submits `members` tasks of a class at once, in arrays of its maximum size.

        Returns the number of arrays. Raises KeyError if there is no such class.
        """
        job_class = {entry.name: entry for entry in self._classes}[name]
        max_size = job_class.tasks[1]
        sizes = [max_size] * (members // max_size) + [members % max_size] * (members % max_size > 0)
        for size in sizes:
            self._start_user(msgspec.structs.replace(job_class, tasks=[size, size]))
        return len(sizes)

    async def _submit_arrivals(self, job_class: JobClass) -> None:
        while True:
            rate = job_class.per_minute * self.factor / 60
            # Sleeps for at most a second, so that a changed factor takes effect.
            pause = self._random.expovariate(rate) if rate > 0 else math.inf
            await asyncio.sleep(min(pause, 1.0))
            if pause <= 1.0:
                self._start_user(job_class)

    def _start_user(self, job_class: JobClass) -> None:
        self._users.spawn(self._run_user(job_class))

    async def _run_user(self, job_class: JobClass) -> None:
        batch = self._random.random() < job_class.batch
        number = await self._request_number() if batch else self._next_number()
        if number is None:
            self.given_up += 1
            return
        spec, behaviour = make_job(job_class, number, self._random)
        if batch:
            spec = msgspec.structs.replace(
                spec, id=f"job-{number}", terms=self._make_terms(spec.tasks)
            )
        self._load_balancer.true_behaviours[spec.id] = behaviour
        self.submitted += 1
        if not await self._request_until_granted(
            "/submissions", msgspec.json.encode(spec), (200, 201)
        ):
            self.given_up += 1
            return
        self.accepted += 1
        release_at = math.inf
        if spec.terms is not None:
            self._latest_batch_job = spec.id
            if spec.terms.hold:
                release_at = self._random.uniform(1.0, 6.0)
        cancel_at = math.inf
        if job_class.life_s is not None:
            cancel_at = job_class.life_s * self._random.uniform(0.5, 1.5)
        elif self._random.random() < job_class.cancelled:
            cancel_at = job_class.run_s * self._random.uniform(0.2, 1.5)
        waited = 0.0
        while True:
            pause = POLL_S * self._random.uniform(0.8, 1.2)
            await asyncio.sleep(min(pause, max(0.05, cancel_at - waited)))
            waited += pause
            if waited >= release_at:
                release_at = math.inf
                # 409: the job was cancelled in the meantime.
                body = b'{"hold":false}'
                await self._request_until_granted(f"/submissions/{spec.id}/terms", body, (200, 409))
            if waited >= cancel_at:
                cancel_at = math.inf
                await self._request_until_granted(f"/submissions/{spec.id}/abort", b"{}", (200,))
            if await self._poll(spec.id) in ("done", "withdrawn"):
                self.ended += 1
                return

    async def _request_number(self) -> int | None:
        """Requests a job number as batch clients do; None if none was received in time."""
        deadline = asyncio.get_running_loop().time() + REQUEST_RETRY_S
        while asyncio.get_running_loop().time() < deadline:
            try:
                response = await self._http.request(self._address, "POST", "/numbers", b"{}", 5.0)
                if response.status == 200:
                    return batch_wire.numbers_response_decoder.decode(response.body).numbers[0]
            except NoResponseError:
                pass
            await asyncio.sleep(1.0)
        return None

    def _make_terms(self, tasks: int) -> wire.Terms:
        """Returns random terms: hold, begin time, throttle and dependency on an earlier job."""
        random = self._random
        depends = []
        if self._latest_batch_job is not None and random.random() < 0.4:
            depends = [
                wire.Dependency(random.choice(("after", "afterany")), self._latest_batch_job)
            ]
        return wire.Terms(
            name="load",
            user="lab",
            hold=random.random() < 0.2,
            begin_at=time.time() + random.uniform(1, 8) if random.random() < 0.3 else None,
            throttle=random.randint(1, tasks) if random.random() < 0.5 else None,
            depends=depends,
            nonce=f"{random.random()}",
        )

    async def _poll(self, job: str) -> str:
        try:
            response = await self._http.request(
                self._address, "GET", f"/submissions/{job}", None, 2.0
            )
        except NoResponseError:
            return ""
        return str(json.loads(response.body).get("phase")) if response.status == 200 else ""

    async def _request_until_granted(
        self, path: str, body: bytes, granted_statuses: tuple[int, ...]
    ) -> bool:
        """Repeats a request as the protocol requires; returns whether it was granted in time."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + REQUEST_RETRY_S
        while loop.time() < deadline:
            pause = 1.0
            try:
                response = await self._http.request(self._address, "POST", path, body, 5.0)
                if response.status in granted_statuses:
                    return True
                if response.status in (400, 404, 422):
                    return False
                if response.retry_after is not None and response.retry_after.isdecimal():
                    pause = min(max(pause, float(response.retry_after)), 30.0)
            except NoResponseError:
                pause = 1.0
            await asyncio.sleep(pause * self._random.uniform(1.0, 1.2))
        return False
