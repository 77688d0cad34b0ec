"""The history of a lab: its events in order, one per line of the file."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from typing import IO, Literal

import msgspec
from msgspec import Struct

Kind = Literal[
    "submit",  # a user submits a job; has `spec`
    "answer",  # a user gets a response; has `about`, `status` and `phase`
    "abort",  # a user requests the cancellation of a job
    "release",  # a user requests the release of a held job
    "machine",  # a machine is rented; has `type`, `zone` and `spot`
    "up",  # a machine has booted and accepts tasks
    "unfit",  # an injected fault or reclaim notice: the machine need not be used any more
    "gone",  # a machine is lost together with its tasks
    "launch",  # a machine accepts a task and allocates resources; the image may be missing
    "drop",  # a launched task is removed before its image was fetched
    "on",  # a task starts on its machine, with its image
    "off",  # a started task ends on its machine; `text` is "done" if it completed
    "fault",  # a fault is injected or reverted
    "trouble",  # start of a period with active injected faults
    "calm",  # end of that period
    "note",  # a note about the lab; the rules ignore it
]


END_PHASES = ("done", "withdrawn")
"""The terminal phases: once a user was told one of them, a job's phase never changes again."""
TIME_DECIMAL_PLACES = 6
"""Decimal places of times in seconds: the order of requests and responses is decided to the
microsecond."""
CLIENT_TIMEOUTS_S = {"poll": 2.0, "submit": 5.0, "abort": 5.0}
"""Seconds that a user waits for a response, by the kind of request."""


class Event(Struct, frozen=True, omit_defaults=True, rename="camel"):
    """An event of a history. Times are in seconds since the lab started."""

    t: float
    kind: Kind
    job: str = ""
    """The name of the job; of the task for `launch`, `drop`, `on` and `off`."""
    machine: str = ""
    attempt: int = 0
    session: int = 0
    """For `launch`: the number of the machine's session; each expired lease increments it."""
    token: int = 0
    """For `launch`: the highest fencing token that the machine has received, that of the command's
    sender."""
    about: str = ""
    """For `answer`: submit, malformed, poll or abort. For `fault`: the name of the fault."""
    status: int = 0
    """The HTTP status; 0 means no response."""
    phase: str = ""
    asked: float = 0.0
    """For `answer`: when the request was sent; 0 if that is not recorded."""
    spec: dict[str, object] | None = None
    type: str = ""
    zone: str = ""
    spot: bool = False
    text: str = ""

    @property
    def reached_user(self) -> bool:
        """Whether this response arrived before its user's timeout.

        The load balancer also records later responses; if they counted, a service that is always
        too slow would go unnoticed.
        """
        timeout_s = CLIENT_TIMEOUTS_S.get(self.about, float("inf"))
        return self.status != 0 and (not self.asked or self.t - self.asked <= timeout_s)


class History:
    """Keeps events in memory and appends them to a file."""

    def __init__(self, now: Callable[[], float], path: Path | None = None) -> None:
        self._started_at = now()
        self.start_wall_time = time.time()
        """The wall-clock time at which the lab started."""
        self._now = now
        self._file: IO[bytes] | None = None if path is None else path.open("ab")
        self.events: list[Event] = []

    def now(self) -> float:
        """Returns the seconds since the lab started."""
        return self._now() - self._started_at

    def add(self, kind: Kind, **fields: object) -> None:
        """Adds an event at the current time."""
        event = msgspec.convert(
            {"t": round(self.now(), TIME_DECIMAL_PLACES), "kind": kind, **fields}, Event
        )
        self.events.append(event)
        if self._file is not None:
            self._file.write(msgspec.json.encode(event) + b"\n")

    def close(self) -> None:
        """Closes the file to which events are written, if there is one."""
        if self._file is not None:
            self._file.close()
            self._file = None
