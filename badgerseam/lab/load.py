"""Users of a lab: they submit jobs of the site's classes, poll, and cancel some."""

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

PATIENCE_S = 60.0
POLL_S = 2.0
SIGMA = 0.25
"""Of the lognormal run times within a class."""


def pick_image(job_class: JobClass, random: Random) -> tuple[str, float]:
    """One of a class's images and its size in GB; the same image always has the same size."""
    if job_class.images == 1:
        return job_class.image, job_class.image_gb
    number = random.randrange(job_class.images)
    most = job_class.image_gb if job_class.image_gb_most is None else job_class.image_gb_most
    size = job_class.image_gb + (most - job_class.image_gb) * number / (job_class.images - 1)
    return f"{job_class.image}-{number}", round(size, 3)


def make_job(
    job_class: JobClass, number: int, random: Random
) -> tuple[wire.Submission, TrueBehaviour]:
    """A job of a class, as its owner describes it, and what it really does."""
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
    """Drives users until it is stopped."""

    def __init__(
        self,
        front: LoadBalancer,
        address: str,
        classes: list[JobClass],
        random: Random,
        numbers: Callable[[], int],
        factor: float = 1.0,
    ) -> None:
        self._front = front
        self._address = address
        self._classes = classes
        self._random = random
        self._numbers = numbers
        self.factor = factor
        self._chained: str | None = None
        """The latest accepted batch job, for others to wait for."""
        self._http = HttpClient(max_idle=128)
        self._users = BackgroundTasks()
        self._sources: list[asyncio.Task[None]] = []
        self.submitted = self.accepted = self.ended = self.given_up = 0

    def start(self) -> None:
        """Begin to submit."""
        for job_class in self._classes:
            for _ in range(job_class.at_start):
                self._start_user(job_class)
            self._sources.append(asyncio.ensure_future(self._arrive(job_class)))

    def stop_arrivals(self) -> None:
        """No more jobs; those that were submitted go on."""
        for source in self._sources:
            source.cancel()
        self._sources.clear()

    def stop(self) -> None:
        """Users go away."""
        self.stop_arrivals()
        self._users.cancel_all()

    @property
    def open(self) -> int:
        """Users whose job has not ended."""
        return len(self._users)

    def submit_arrays(self, name: str, members: int) -> int:
        """So many members of a class at once, in arrays of its largest size; how many arrays.

        KeyError if there is no such class.
        """
        job_class = {entry.name: entry for entry in self._classes}[name]
        most = job_class.tasks[1]
        sizes = [most] * (members // most) + [members % most] * (members % most > 0)
        for size in sizes:
            self._start_user(msgspec.structs.replace(job_class, tasks=[size, size]))
        return len(sizes)

    async def _arrive(self, job_class: JobClass) -> None:
        while True:
            rate = job_class.per_minute * self.factor / 60
            # Looked at once a second at least, so that a changed factor is felt.
            pause = self._random.expovariate(rate) if rate > 0 else math.inf
            await asyncio.sleep(min(pause, 1.0))
            if pause <= 1.0:
                self._start_user(job_class)

    def _start_user(self, job_class: JobClass) -> None:
        self._users.spawn(self._live(job_class))

    async def _live(self, job_class: JobClass) -> None:
        batch = self._random.random() < job_class.batch
        number = await self._number() if batch else self._numbers()
        if number is None:
            self.given_up += 1
            return
        spec, truth = make_job(job_class, number, self._random)
        if batch:
            spec = msgspec.structs.replace(spec, id=f"job-{number}", terms=self._terms(spec.tasks))
        self._front.true_behaviours[spec.id] = truth
        self.submitted += 1
        if not await self._insist("/submissions", msgspec.json.encode(spec), (200, 201)):
            self.given_up += 1
            return
        self.accepted += 1
        release_at = math.inf
        if spec.terms is not None:
            self._chained = spec.id
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
                # 409: it has been cancelled meanwhile.
                body = b'{"hold":false}'
                await self._insist(f"/submissions/{spec.id}/terms", body, (200, 409))
            if waited >= cancel_at:
                cancel_at = math.inf
                await self._insist(f"/submissions/{spec.id}/abort", b"{}", (200,))
            if await self._poll(spec.id) in ("done", "withdrawn"):
                self.ended += 1
                return

    async def _number(self) -> int | None:
        """A job number, asked for as a batch client does; None if none was to be had in time."""
        until = asyncio.get_running_loop().time() + PATIENCE_S
        while asyncio.get_running_loop().time() < until:
            try:
                response = await self._http.request(self._address, "POST", "/numbers", b"{}", 5.0)
                if response.status == 200:
                    return batch_wire.numbers_response_decoder.decode(response.body).numbers[0]
            except NoResponseError:
                pass
            await asyncio.sleep(1.0)
        return None

    def _terms(self, tasks: int) -> wire.Terms:
        """Terms by chance: held for a while, begun later, throttled, or behind an earlier job."""
        random = self._random
        depends = []
        if self._chained is not None and random.random() < 0.4:
            depends = [wire.Dependency(random.choice(("after", "afterany")), self._chained)]
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

    async def _insist(self, path: str, body: bytes, good: tuple[int, ...]) -> bool:
        """Repeat a request as the protocol says; whether it was granted in time."""
        loop = asyncio.get_running_loop()
        until = loop.time() + PATIENCE_S
        while loop.time() < until:
            pause = 1.0
            try:
                response = await self._http.request(self._address, "POST", path, body, 5.0)
                if response.status in good:
                    return True
                if response.status in (400, 404, 422):
                    return False
                if response.retry_after is not None and response.retry_after.isdecimal():
                    pause = min(max(pause, float(response.retry_after)), 30.0)
            except NoResponseError:
                pause = 1.0
            await asyncio.sleep(pause * self._random.uniform(1.0, 1.2))
        return False
