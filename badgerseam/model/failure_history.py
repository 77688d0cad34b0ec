"""Failures of a job since one of its tasks last worked, and the backoff of its retries."""

from __future__ import annotations

from dataclasses import dataclass, field

MIN_FAILED_MACHINES = 3
"""Number of machines on which a job has to fail, without any of its tasks working in between,
before the failures are attributed to the job: this many faulty machines in a row are less likely
than a faulty job."""
FIRST_RETRY_PAUSE_S = 0.25
MAX_RETRY_PAUSE_S = 30.0
MAX_DOUBLINGS = 8
"""Bound on the exponent of the backoff."""
AVOID_S = 50.0
"""How long after its retry time a waiting job avoids machines on which it has failed. This is about
the time that a new machine takes to become available; there may not be any other machine."""


@dataclass(slots=True, eq=False)
class FailureHistory:
    """Failures of a job's tasks, and the exponential backoff of its retries."""

    errors: int = field(default=0, init=False)
    """Number of failures since a task of the job was last seen to work."""
    failed_on: set[int] = field(default_factory=set, init=False)
    """Indices of the machines on which these failures happened."""
    failed_rounds: int = field(default=0, init=False)
    """Number of rounds of failures: tasks that were started together also fail together, and count
    as one round."""
    failed_after_s: float = field(default=0.0, init=False)
    """Longest time for which one of the failed tasks ran."""
    retry_at: float = field(default=0.0, init=False)
    """No task of the job is started before this time."""
    avoided_machines: set[int] = field(default_factory=set, init=False)
    """Indices of the machines that the job avoids because its tasks failed there."""

    @property
    def is_failing(self) -> bool:
        """Whether the job has failed on several machines since any of its tasks worked. A single
        start is then as informative as starting all tasks."""
        return len(self.failed_on) >= MIN_FAILED_MACHINES

    def machines_to_avoid(self, now: float) -> set[int]:
        """Returns the indices of the machines on which the job should not be started now.

        This is limited in time: otherwise a job would wait forever if only these machines had free
        capacity.
        """
        if self.is_failing or now > self.retry_at + AVOID_S:
            return set()
        return self.avoided_machines

    def record_failure(self, now: float, machine: int | None, after_s: float = 0.0) -> None:
        """Records the failure of a task and delays the next retry.

        `machine`: index of the machine, if the failure may be evidence for attributing the fault;
        `after_s`: seconds for which the task ran.
        """
        self.errors += 1
        if machine is not None:
            self.failed_on.add(machine)
            self.avoided_machines.add(machine)
        self.failed_after_s = max(self.failed_after_s, after_s)
        if now >= self.retry_at:
            self.failed_rounds += 1
        pause_s = FIRST_RETRY_PAUSE_S * 2 ** min(self.failed_rounds, MAX_DOUBLINGS)
        self.retry_at = now + min(pause_s, MAX_RETRY_PAUSE_S)

    def record_unexplained_end(self, now: float, machine: int) -> None:
        """Records an attempt that, by the stored records, has ended without its task being placed
        again.

        The shard's owner may have a reason for this that is not in the records. If the leader
        counted the machine as free for this task, it would not rent another one. At most
        MIN_FAILED_MACHINES machines are recorded, which is enough for a job that fails everywhere.
        """
        if len(self.avoided_machines) < MIN_FAILED_MACHINES:
            self.avoided_machines.add(machine)
            self.retry_at = now

    def record_success(self) -> None:
        """Resets the failures after a task completed, or outlasted the earlier failed ones."""
        self.errors = self.failed_rounds = 0
        self.failed_after_s = 0.0
        self.failed_on.clear()

    def reset_failures(self) -> None:
        """Resets all failures, the retry time and the avoided machines."""
        self.record_success()
        self.retry_at = 0.0
        self.avoided_machines.clear()
