"""The failures of a job since a task of it was last seen to work, and the retries after them."""

from __future__ import annotations

from dataclasses import dataclass, field

MIN_FAILED_MACHINES = 3
"""Machines on which a job has failed, nothing of it working meanwhile, before that is its own
fault: as many faulty ones in a row are rarer than a job submitted with a mistake."""
FIRST_RETRY_PAUSE_S = 0.25
MAX_RETRY_PAUSE_S = 30.0
MAX_DOUBLINGS = 8
AVOID_S = 50.0
"""How long a job that waits is kept off machines on which it has failed: about what a new machine
takes, and there may be none to be had."""


@dataclass(slots=True, eq=False)
class FailureHistory:
    """Failures of a job's tasks, with an exponential backoff of its retries."""

    errors: int = field(default=0, init=False)
    """Failures since a task of it was last seen to work."""
    failed_on: set[int] = field(default_factory=set, init=False)
    """Indices of the machines on which these were."""
    tries_failed: int = field(default=0, init=False)
    """Rounds of them: tasks that were started together fail together."""
    failed_after_s: float = field(default=0.0, init=False)
    """How long one of them ran at most."""
    retry_at: float = field(default=0.0, init=False)
    """Before this time nothing of the job is started."""
    avoided_machines: set[int] = field(default_factory=set, init=False)
    """Indices of the machines on which tasks of this job failed."""

    @property
    def is_failing(self) -> bool:
        """It has failed on several machines since anything of it worked, so that one more start
        shows as much as all of them."""
        return len(self.failed_on) >= MIN_FAILED_MACHINES

    def machines_to_avoid(self, now: float) -> set[int]:
        """Indices of the machines on which the job is not to be tried now.

        Without an end to that it waited for ever where only these had free capacity.
        """
        if self.is_failing or now > self.retry_at + AVOID_S:
            return set()
        return self.avoided_machines

    def record_failure(self, now: float, machine: int | None, after_s: float = 0.0) -> None:
        """Record that a task has failed, and put the next retry off.

        `machine`: its index, where that may show whose fault it is; `after_s`: how long the task
        ran.
        """
        self.errors += 1
        if machine is not None:
            self.failed_on.add(machine)
            self.avoided_machines.add(machine)
        self.failed_after_s = max(self.failed_after_s, after_s)
        if now >= self.retry_at:
            self.tries_failed += 1
        pause_s = FIRST_RETRY_PAUSE_S * 2 ** min(self.tries_failed, MAX_DOUBLINGS)
        self.retry_at = now + min(pause_s, MAX_RETRY_PAUSE_S)

    def record_unexplained_end(self, now: float, machine: int) -> None:
        """The records show that an attempt has ended and its owner has not placed the task anew,
        which may be for a reason that only the owner knows.

        Taken for free, the machine kept a leader from renting. (Of a job that fails everywhere a
        few show enough.)
        """
        if len(self.avoided_machines) < MIN_FAILED_MACHINES:
            self.avoided_machines.add(machine)
            self.retry_at = now

    def record_success(self) -> None:
        """A task has completed, or runs on where others had failed by then."""
        self.errors = self.tries_failed = 0
        self.failed_after_s = 0.0
        self.failed_on.clear()

    def reset_failures(self) -> None:
        """Forget all failures."""
        self.record_success()
        self.retry_at = 0.0
        self.avoided_machines.clear()
