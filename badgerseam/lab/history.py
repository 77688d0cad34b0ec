"""What happened in a lab: one event a line, in the order it happened."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from typing import IO, Literal

import msgspec
from msgspec import Struct

Kind = Literal[
    "submit",  # a user sends a submission; spec
    "answer",  # a user gets an answer: about, status, phase
    "abort",  # a user asks for a cancellation
    "release",  # a user asks for the end of a hold
    "machine",  # a machine is rented; its type, zone, kind
    "up",  # a machine is up, and takes tasks
    "unfit",  # it is faulty or given notice on purpose: nobody need use it any more
    "gone",  # a machine and all on it is gone
    "launch",  # a machine takes a task: its room is taken, and it may wait for its image
    "drop",  # a task that was launched is gone before it had its image
    "on",  # a task is on its machine, with its image
    "off",  # it is not any more
    "fault",  # something is broken on purpose, or mended
    "trouble",  # from here on something is broken on purpose
    "calm",  # from here on nothing is
    "note",
]


END_PHASES = ("done", "withdrawn")
"""A job is never called anything else once a user was told one of them."""
TIME_DECIMAL_PLACES = 6
"""Decimal places of times: whether a question was sent before or after an answer came is told to
the microsecond."""
CLIENT_TIMEOUTS_S = {"poll": 2.0, "submit": 5.0, "abort": 5.0}
"""How long a user waits for an answer, by what it is about."""


class Event(Struct, frozen=True, omit_defaults=True, rename="camel"):
    """Times are in seconds since the lab began."""

    t: float
    kind: Kind
    job: str = ""
    """The job, or the task for `launch`, `drop`, `on` and `off`."""
    machine: str = ""
    attempt: int = 0
    session: int = 0
    """Of the machine, for `launch`: one more with each lease of it that has run out."""
    token: int = 0
    """The highest that the machine has seen, for `launch`: of whoever sent the command."""
    about: str = ""
    """submit, malformed, poll or abort for `answer`; what is broken for `fault`."""
    status: int = 0
    """0: no response."""
    phase: str = ""
    asked: float = 0.0
    """When the request was sent that this is the answer to."""
    spec: dict[str, object] | None = None
    type: str = ""
    zone: str = ""
    spot: bool = False
    text: str = ""

    @property
    def reached_user(self) -> bool:
        """Whether this answer came while its user still waited for it.

        The load balancer notes answers that come after that as well; counted as answers, they
        would hide a service that is always too slow.
        """
        waits_s = CLIENT_TIMEOUTS_S.get(self.about, float("inf"))
        return self.status != 0 and (not self.asked or self.t - self.asked <= waits_s)


class History:
    """Keeps events in memory, writes them to a file, and shows them to listeners."""

    def __init__(self, now: Callable[[], float], path: Path | None = None) -> None:
        self._begun = now()
        self.start_wall_time = time.time()
        """Time of day when the lab began."""
        self._now = now
        self._file: IO[bytes] | None = None if path is None else path.open("ab")
        self.events: list[Event] = []

    def now(self) -> float:
        """Seconds since the lab began."""
        return self._now() - self._begun

    def add(self, kind: Kind, **fields: object) -> None:
        """Note an event that happens now."""
        event = msgspec.convert(
            {"t": round(self.now(), TIME_DECIMAL_PLACES), "kind": kind, **fields}, Event
        )
        self.events.append(event)
        if self._file is not None:
            self._file.write(msgspec.json.encode(event) + b"\n")

    def close(self) -> None:
        if self._file is not None:
            self._file.close()
            self._file = None
