"""A simulated worker: fencing tokens, sessions, leases, commands, images, and simulated tasks."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from badgerseam.clock import Clock
from badgerseam.model.resources import NOTHING, Resources
from badgerseam.wire import workers as wire


@dataclass(frozen=True, slots=True)
class Description:
    """What a worker needs of a job: a task's resources, image and real run time."""

    need: Resources
    image: str = "img"
    image_gb: float = 0.0
    run_s: float = float("inf")
    """Real run time in seconds; infinite for services, which never end."""
    checkpoint_s: float = 0.0
    save_s: float = 0.0
    broken: bool = False
    """Whether its tasks fail on every machine, because of a mistake in the submission."""


Describe = Callable[[str], Description | None]
"""Returns the description of a task's job; None if the job was never submitted."""
TaskObserver = Callable[[str, str, str, int], None]
"""Called with (event, machine, task, attempt).

The events of an attempt are launch, on, and then off, or done if the task has completed. An attempt
that ends before it has its image has the events launch and drop.
"""


def ignore_event(event: str, machine: str, task: str, attempt: int) -> None:
    """The observer of workers whose events are not recorded."""


@dataclass(slots=True)
class Results:
    """Results of completed tasks and saved progress, by task, which outlast the machines."""

    done: set[str] = field(default_factory=set)
    progress_s: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class HeldAttempt:
    """An attempt of a task on the machine."""

    task: str
    attempt: int
    phase: str
    job: Description
    cause: str | None = None
    saved: bool | None = None
    ran_s: float = 0.0
    """Seconds of the task's run time that are done, including saved progress."""
    left_s: float = 0.0
    """Remaining seconds of a save."""
    on: bool = False
    """Whether the observer has got the event `on`, and neither `off` nor `done`."""

    def wire(self) -> wire.TaskStatus:
        """Returns the attempt as a heartbeat reports it."""
        return wire.TaskStatus(self.task, self.attempt, self.phase, self.cause, self.saved)


@dataclass(slots=True)
class Identity:
    """The fields of a heartbeat that describe the machine."""

    name: str
    addr: str
    type: str
    zone: str
    spot: bool


class WorkerCore:
    """The worker of one machine. Its tasks make progress only in `advance`."""

    def __init__(
        self,
        identity: Identity,
        clock: Clock,
        lease_s: float,
        total: Resources,
        describe: Describe,
        results: Results,
        observer: TaskObserver = ignore_event,
        fetch_gb_per_s: float = 1.0,
        cache_gb: float = float("inf"),
    ) -> None:
        self.identity = identity
        self._clock = clock
        self._lease_s = lease_s
        self._total = total
        self._describe = describe
        self._results = results
        self._observer = observer
        self._fetch_gb_per_s = fetch_gb_per_s
        self._cache_gb = cache_gb
        self.session = 1
        self.seq = 0
        self.token = 0
        self.notice_at: float | None = None
        self.tasks: dict[str, HeldAttempt] = {}
        self.images: OrderedDict[str, float] = OrderedDict()
        self._fetched: dict[str, float] = {}
        """GB fetched so far, by image that is being fetched."""
        self.speed = 1.0
        self.faulty = False
        self.hung = False
        self._advanced_at = clock.now()
        self._lease_renewed_at = clock.now()
        self.changed = False
        """Whether something has changed that must be reported at once."""
        self._token_change_at = -lease_s
        """When a higher token last counted as a change, which it does at most once in half of a
        lease."""

    # ---- messages ----

    def report(self) -> wire.Heartbeat:
        """Returns the next heartbeat, and increments the sequence number."""
        self.seq += 1
        identity = self.identity
        notice_s = None if self.notice_at is None else max(0.0, self.notice_at - self._clock.now())
        return wire.Heartbeat(
            identity.name,
            identity.addr,
            identity.type,
            identity.zone,
            identity.spot,
            self.session,
            self.seq,
            self.token,
            notice_s,
            [held.wire() for held in self.tasks.values()],
        )

    def handle_heartbeat_response(
        self, sent_at: float, session: int, response: wire.HeartbeatResponse
    ) -> bool:
        """Processes the response to a heartbeat; returns False if it is not valid any more."""
        if session != self.session or not self._accept_token(response.fencing_token):
            return False
        self._lease_renewed_at = max(self._lease_renewed_at, sent_at)
        self._execute(response.commands)
        return True

    def execute_direct_commands(self, request: wire.DirectCommands) -> bool:
        """Executes commands sent to `/do`, which do not renew the lease.

        Returns False (status 409) if nothing was executed.
        """
        if request.incarnation != self.session or not self._accept_token(request.fencing_token):
            return False
        self._execute(request.commands)
        return True

    def _accept_token(self, token: int) -> bool:
        if token < self.token:
            return False
        if token > self.token:
            self.token = token
            now = self._clock.now()
            if now - self._token_change_at >= self._lease_s / 2:
                self._token_change_at = now
                self.changed = True
        return True

    # ---- commands ----

    def _execute(self, commands: list[wire.Command]) -> None:
        for command in commands:
            held = self.tasks.get(command.task)
            if command.op == "launch":
                self._launch(command, held)
            elif held is not None and held.attempt == command.attempt:
                if command.op == "halt":
                    self._halt(held, command.grace_s or 0.0)
                elif command.op == "reap" and held.phase == "exited":
                    del self.tasks[command.task]

    def _launch(self, command: wire.Command, held: HeldAttempt | None) -> None:
        if held is not None and held.attempt == command.attempt:
            return
        job = self._describe(command.task)
        new = HeldAttempt(command.task, command.attempt, "fetching", job or Description(NOTHING))
        if job is None:
            self._refuse(new, "no_such")
        elif held is not None:
            # Another attempt of the task exists: the next heartbeat reports that one.
            return
        elif not job.need.fits_in(self._total.minus(self.used())):
            self._refuse(new, "full")
        else:
            self.tasks[new.task] = new
            self.changed = True
            self._observer("launch", self.identity.name, new.task, new.attempt)
            if job.image in self.images or job.image_gb <= 0:
                self._start(new)
            else:
                self._fetched.setdefault(job.image, 0.0)

    def _refuse(self, held: HeldAttempt, cause: str) -> None:
        if held.task not in self.tasks:
            held.phase, held.cause = "exited", cause
            self.tasks[held.task] = held
            self.changed = True

    def _halt(self, held: HeldAttempt, grace_s: float) -> None:
        if held.phase == "exited" or (held.phase == "saving" and grace_s > 0):
            return
        saves = held.job.checkpoint_s > 0 and held.phase == "running"
        if saves and grace_s >= held.job.save_s:
            held.phase, held.left_s = "saving", held.job.save_s
            self.changed = True
        else:
            self._exit(held, "halted", saved=False if held.job.checkpoint_s > 0 else None)

    def used(self) -> Resources:
        """Returns the resources of the tasks that have not exited."""
        total = NOTHING
        for held in self.tasks.values():
            if held.phase != "exited":
                total = total.plus(held.job.need)
        return total

    # ---- tasks ----

    def _start(self, held: HeldAttempt) -> None:
        image = held.job.image
        self.images[image] = held.job.image_gb
        self.images.move_to_end(image)
        while sum(self.images.values()) > self._cache_gb and len(self.images) > 1:
            self.images.popitem(last=False)
        held.on = True
        held.phase = "running"
        held.ran_s = self._results.progress_s.get(held.task, 0.0)
        self.changed = True
        self._observer("on", self.identity.name, held.task, held.attempt)
        if held.task in self._results.done:
            self._exit(held, "done")
        elif held.job.broken or self.faulty:
            self._exit(held, "error")

    def _exit(self, held: HeldAttempt, cause: str, saved: bool | None = None) -> None:
        held.phase, held.cause, held.saved = "exited", cause, saved
        self.changed = True
        if cause == "done":
            self._results.done.add(held.task)
        if held.on:
            held.on = False
            event = "done" if cause == "done" else "off"
            self._observer(event, self.identity.name, held.task, held.attempt)
        else:
            self._observer("drop", self.identity.name, held.task, held.attempt)
        image = held.job.image
        if image in self._fetched and not any(
            h.phase == "fetching" and h.job.image == image for h in self.tasks.values()
        ):
            del self._fetched[image]

    def advance(self) -> None:
        """Advances the tasks by the time since the last call, unless the machine hangs."""
        now = self._clock.now()
        elapsed_s, self._advanced_at = now - self._advanced_at, now
        if now - self._lease_renewed_at > self._lease_s:
            # This also applies to a hung machine: it may continue its tasks only within its lease.
            self.end_session()
            return
        if self.hung:
            return
        if self._fetched:
            fetched_gb = elapsed_s * self._fetch_gb_per_s / len(self._fetched)
            for image in self._fetched:
                self._fetched[image] += fetched_gb
        for held, phase in [(held, held.phase) for held in self.tasks.values()]:
            # An attempt that was just started by the end of a shared fetch has not run yet.
            if held.phase == phase:
                self._advance_attempt(held, elapsed_s)

    def _advance_attempt(self, held: HeldAttempt, elapsed_s: float) -> None:
        job = held.job
        if held.phase == "fetching" and self._fetched.get(job.image, 0.0) >= job.image_gb:
            same_image = [h for h in self.tasks.values() if h.job.image == job.image]
            self._fetched.pop(job.image, None)
            for other in same_image:
                if other.phase == "fetching":
                    self._start(other)
        elif held.phase == "running":
            held.ran_s += elapsed_s * self.speed
            if job.checkpoint_s > 0:
                saved_s = held.ran_s // job.checkpoint_s * job.checkpoint_s
                before_s = self._results.progress_s.get(held.task, 0.0)
                self._results.progress_s[held.task] = max(saved_s, before_s)
            if held.ran_s >= job.run_s:
                self._exit(held, "done")
        elif held.phase == "saving":
            held.left_s -= elapsed_s
            if held.left_s <= 0:
                self._results.progress_s[held.task] = held.ran_s
                self._exit(held, "halted", saved=True)

    def end_session(self) -> None:
        """Kills and removes all tasks, because the lease has expired or the machine is gone."""
        for held in self.tasks.values():
            if held.on:
                held.on = False
                self._observer("off", self.identity.name, held.task, held.attempt)
            elif held.phase == "fetching":
                self._observer("drop", self.identity.name, held.task, held.attempt)
        self.tasks.clear()
        self._fetched.clear()
        self.session += 1
        self._lease_renewed_at = self._clock.now()
        self.changed = True

    def inspect(self) -> dict[str, Any]:
        """Returns the number of tasks in each phase, for the lab's status."""
        counts: dict[str, int] = {}
        for held in self.tasks.values():
            counts[held.phase] = counts.get(held.phase, 0) + 1
        return counts
