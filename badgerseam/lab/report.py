"""The report of an experiment: waits, lateness, evictions, costs, violations."""

from __future__ import annotations

from typing import Any

from msgspec import Struct, field

from badgerseam.lab.reconcile import AccountingComparison
from badgerseam.lab.served import Served

QUANTILES = (50.0, 90.0, 99.0, 100.0)
"""In percent: at which of them times are reported."""


class Sample(Struct, frozen=True):
    """The lab at one moment."""

    t: float
    """Seconds since the lab began."""
    machines: int
    """Rented."""
    running: int
    """Tasks that run on machines, or save a checkpoint there."""
    waiting: int
    """Tasks that wait on machines for their images."""
    healthy: int
    """Controllers that take requests."""


class ClassFigures(Struct, frozen=True):
    """The figures of one class of jobs. Times are at the `QUANTILES`."""

    jobs: int
    accepted: int
    ended: int
    tasks_started: int
    first_start_s: list[float]
    """From the first attempt to submit to the first start of each task."""
    on_time_fraction: float | None = field(name="in_time")
    """Fraction of the jobs with a deadline that were done by it; None without such jobs."""
    restarts: int = field(name="again")
    """Starts beyond a task's first one: it was evicted, lost or moved."""


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
    """Ends of controllers that nobody asked for."""
    violations: list[str] = field(name="breaches")
    served: Served
    unanswered: list[str] = field(default_factory=list, name="silent")
    """Accepted jobs about which the latest question was not answered, for too short a time to call
    them forgotten."""
    started_cancelled: int = 0
    """Starts after a confirmed cancellation."""
    accepted_invalid: int = field(default=0, name="accepted_odd")
    """Jobs accepted though they can't run or lack a field."""
    stale_answers: int = field(default=0, name="overtaken")
    """Answers older than one that came before them, to questions sent before that one came."""
    below_limit_s: dict[str, float] = field(default_factory=dict)
    """By team, the seconds for which it had work that waited, a limit not reached and room, while
    nothing was broken on purpose. `left_waiting` is broken when one job has 90 of them in a row."""
    inversions: list[str] = field(default_factory=list, name="jumps")
    """Priority inversions, if the experiment names an order of classes."""
    longest_inversion_s: float = field(default=0.0, name="longest_jump_s")
    """How long the higher-class work had waited, at most."""
    explain_statuses: dict[str, int] = field(default_factory=dict, name="questions")
    """Answers to questions why a job waits, by HTTP status; 0: no response."""
    explain_latency_s: list[float] = field(default_factory=list, name="answer_s")
    reasons: dict[str, int] = field(default_factory=dict)
    """How often each reason was the binding one in these answers."""
    accounts: AccountingComparison | None = None
    """The accounts compared with the history."""
    ownership_gaps_s: list[float] = field(default_factory=list, name="vacant_s")
    """How long a shard or the leadership had no owner, each time, once it had had one."""
    rollouts: list[str] = field(default_factory=list)
    """How each rollout ended: empty, or why it stopped."""
    level: int = 1
    """Of the stored state at the end."""
    samples: list[Any] = field(default_factory=list)
    """`Sample`s as plain data."""
