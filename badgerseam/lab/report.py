"""The report of an experiment: waiting times, deadlines, restarts, cost and rule violations."""

from __future__ import annotations

from typing import Any

from msgspec import Struct, field

from badgerseam.lab.reconcile import AccountingComparison
from badgerseam.lab.served import Served

QUANTILES = (50.0, 90.0, 99.0, 100.0)
"""The percentiles at which times are reported."""


class Sample(Struct, frozen=True):
    """The state of the lab at one time."""

    t: float
    """Seconds since the lab started."""
    machines: int
    """The number of machines that are up."""
    running: int
    """The number of tasks running on machines or saving a checkpoint there."""
    waiting: int
    """The number of tasks on machines that wait for their images."""
    healthy: int
    """The number of controllers that accept requests."""


class ClassFigures(Struct, frozen=True):
    """The figures of one class of jobs. Times are at the `QUANTILES`."""

    jobs: int
    accepted: int
    ended: int
    tasks_started: int
    first_start_s: list[float]
    """From the first attempt to submit a job until the first start of each of its tasks."""
    on_time_fraction: float | None = field(name="in_time")
    """The fraction of the jobs with a deadline that met it; None without such jobs."""
    restarts: int = field(name="again")
    """The number of starts beyond each task's first one, after it was evicted, lost or moved."""


class Report(Struct, frozen=True):
    """The result of an experiment on simulated machines. Lists of times are at the `QUANTILES`."""

    seconds: float
    classes: dict[str, ClassFigures]
    acceptance_s: list[float] = field(name="accept_s")
    polls: int
    failed_polls: int = field(name="polls_failed")
    machines_rented: int
    cost: float = field(name="money")
    controllers_started: int
    crashes: int = field(name="ended_by_themselves")
    """The number of times that controllers exited without being told to."""
    violations: list[str] = field(name="breaches")
    served: Served
    unanswered: list[str] = field(default_factory=list, name="silent")
    """Accepted jobs whose latest poll was not answered, for too short a time to report them as
    forgotten."""
    started_cancelled: int = 0
    """Number of task starts after a confirmed cancellation."""
    accepted_invalid: int = field(default=0, name="accepted_odd")
    """Number of jobs that were accepted although they can't run or lack a field."""
    stale_answers: int = field(default=0, name="overtaken")
    """Number of responses that contradict an earlier response but were requested before that one
    arrived."""
    below_limit_s: dict[str, float] = field(default_factory=dict)
    """By team, the seconds for which a task waited although it fitted a machine and its team's
    limit, while no injected fault was active. 90 consecutive ones for one job violate the rule
    `left_waiting`."""
    inversions: list[str] = field(default_factory=list, name="jumps")
    """Priority inversions; empty if the experiment gives no order of classes."""
    longest_inversion_s: float = field(default=0.0, name="longest_jump_s")
    """The longest time in seconds that a higher-class job had waited at a priority inversion."""
    explain_statuses: dict[str, int] = field(default_factory=dict, name="questions")
    """Number of responses to requests for why a job waits, by HTTP status; 0 means no response."""
    explain_latency_s: list[float] = field(default_factory=list, name="answer_s")
    reasons: dict[str, int] = field(default_factory=dict)
    """How often each reason code was a binding one in these responses."""
    accounts: AccountingComparison | None = None
    """The comparison of the accounting with the history; None if none was made."""
    ownership_gaps_s: list[float] = field(default_factory=list, name="vacant_s")
    """The durations for which a shard or the leadership had no owner after it had had one."""
    rollouts: list[str] = field(default_factory=list)
    """The outcome of each rollout: empty if it completed, else why it stopped."""
    level: int = 1
    """The level of the stored state at the end."""
    samples: list[Any] = field(default_factory=list)
    """The samples as plain data, see `Sample`."""
