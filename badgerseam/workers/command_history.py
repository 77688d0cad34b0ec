"""Remembers the latest launches and reaps, to tell why a reaped attempt is active again, and counts
the commands that were sent."""

from __future__ import annotations

import logging
from collections import OrderedDict
from dataclasses import dataclass

from badgerseam.clock import Clock
from badgerseam.log_limiter import LogLimiter
from badgerseam.model.machine import Machine
from badgerseam.wire import workers as wire

log = logging.getLogger("badgerseam.workers")

MAX_ATTEMPTS = 4096
"""Maximum number of attempts that are remembered; the earliest is forgotten first."""
LOG_INTERVAL_S = 1.0
"""Minimum seconds between two log lines on reaped attempts."""
ACTIVE_AGAIN = "reaped task active again"


@dataclass(frozen=True, slots=True)
class SentCommand:
    """A command that was sent to a worker."""

    token: int
    """The fencing token of its message."""
    sent_at: float
    direct: bool
    """Whether it was sent on `/do`; otherwise in the response to a heartbeat."""


@dataclass(slots=True)
class _AttemptCommands:
    """The latest launch and reap of an attempt; None for those not sent by this controller."""

    launch: SentCommand | None = None
    reap: SentCommand | None = None


@dataclass(slots=True)
class CommandCounts:
    """Number of commands sent since the last report."""

    direct_launches: int = 0
    response_launches: int = 0
    reaps: int = 0
    token_raises: int = 0
    """Raises of a token before a reap."""


class CommandHistory:
    """The commands of one controller. Callers must hold the model's lock."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._attempts: OrderedDict[tuple[str, str, int], _AttemptCommands] = OrderedDict()
        self._counts = CommandCounts()
        self._limiter = LogLimiter(clock, LOG_INTERVAL_S)

    def record_launch(self, machine: Machine, task: str, attempt: int, direct: bool) -> None:
        """Records that a launch is sent with the machine's present token."""
        if direct:
            self._counts.direct_launches += 1
        else:
            self._counts.response_launches += 1
        self._entry(machine, task, attempt).launch = self._command(machine, direct)

    def record_reaps(
        self, machine: Machine, reaps: list[wire.Command], direct: bool, raised: bool
    ) -> None:
        """Records that reaps are sent with the machine's present token.

        `raised`: whether the token was raised for them.
        """
        self._counts.reaps += len(reaps)
        self._counts.token_raises += raised
        command = self._command(machine, direct)
        for reap in reaps:
            self._entry(machine, reap.task, reap.attempt).reap = command

    def on_untracked_task(self, machine: Machine, status: wire.TaskStatus) -> None:
        """Logs an active task without an attempt on record, if this controller has reaped it."""
        key = (machine.name, status.task, status.attempt)
        sent = self._attempts.get(key)
        if sent is None or sent.reap is None:
            return
        del self._attempts[key]
        if not self._limiter.may_log(ACTIVE_AGAIN):
            return
        now = self._clock.now()
        log.warning(
            "%s task=%s attempt=%d machine=%s incarnation=%d state=%s worker_token=%d launch=%s"
            " reap=%s%s",
            ACTIVE_AGAIN,
            status.task,
            status.attempt,
            machine.name,
            machine.incarnation,
            status.state,
            machine.acknowledged_token,
            _text(sent.launch, now),
            _text(sent.reap, now),
            self._limiter.left_out(ACTIVE_AGAIN),
        )

    def report(self) -> str:
        """Returns the counts since the last call as `key=value` pairs, and resets them."""
        counts, self._counts = self._counts, CommandCounts()
        return (
            f"direct_launches={counts.direct_launches} response_launches={counts.response_launches}"
            f" reaps={counts.reaps} token_raises={counts.token_raises}"
        )

    def _entry(self, machine: Machine, task: str, attempt: int) -> _AttemptCommands:
        key = (machine.name, task, attempt)
        entry = self._attempts.get(key)
        if entry is None:
            entry = self._attempts[key] = _AttemptCommands()
            if len(self._attempts) > MAX_ATTEMPTS:
                self._attempts.popitem(last=False)
        return entry

    def _command(self, machine: Machine, direct: bool) -> SentCommand:
        return SentCommand(machine.fencing_token, self._clock.now(), direct)


def _text(command: SentCommand | None, now: float) -> str:
    """Returns how and when a command was sent, and with which token."""
    if command is None:
        return "unknown"
    way = "direct" if command.direct else "response"
    return f"{way},token:{command.token},age_s:{now - command.sent_at:.2f}"
