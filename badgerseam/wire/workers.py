"""The workers' protocol: heartbeats, and commands in the answers or sent directly.

Where the protocol's name of a field differs, the field's docstring gives it.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct, field

Whole = Annotated[int, Meta(ge=0)]
"""A number from 0 up."""


class TaskStatus(
    Struct,
    frozen=True,
    rename={
        "task": "piece",
        "attempt": "try",
        "state": "phase",
        "exit_reason": "cause",
        "checkpointed": "saved",
    },
):
    """The status of one attempt of a task, as its worker has it (protocol: one of `pieces`)."""

    task: str
    """`piece`: the name of the task."""
    attempt: Whole
    """`try`: the number of the attempt."""
    state: str
    """`phase`: how far the attempt has come."""
    exit_reason: str | None = None
    """`cause`: why it ended; None while it has not."""
    checkpointed: bool | None = None
    """`saved`: whether its state was saved before it ended; None if that is not known."""


class Heartbeat(
    Struct,
    frozen=True,
    rename={
        "machine": "host",
        "address": "address",
        "type": "breed",
        "zone": "sett",
        "spot": "loaned",
        "incarnation": "tenure",
        "sequence": "tick",
        "fencing_token": "warrant",
        "reclaim_notice_s": "recallS",
        "tasks": "pieces",
    },
):
    """The periodic message of a worker (protocol: checkin)."""

    machine: str
    """`host`: the name of the machine."""
    address: str
    """Where the worker takes direct commands."""
    type: str
    """`breed`: the machine type."""
    zone: str
    """`sett`"""
    spot: bool
    """`loaned`: whether the cloud may take the machine back."""
    incarnation: Whole
    """`tenure`: counts the worker's sessions, one more with each lease that expired."""
    sequence: Whole
    """`tick`: the number of the heartbeat within the incarnation."""
    fencing_token: Whole = 0
    """`warrant`: the highest token that the worker has accepted."""
    reclaim_notice_s: float | None = None
    """`recallS`: in how many seconds the cloud takes the machine back; None if it does not."""
    tasks: list[TaskStatus] = field(default_factory=list)
    """`pieces`: all attempts that the worker knows."""


class Command(
    Struct,
    frozen=True,
    omit_defaults=True,
    rename={"op": "verb", "task": "piece", "attempt": "try", "grace_s": "windDownS"},
):
    """A command to a worker (protocol: one of `orders`)."""

    op: str
    """`verb`: what is to be done."""
    task: str
    """`piece`: the name of the task."""
    attempt: int
    """`try`: the number of the attempt."""
    grace_s: float | None = None
    """`windDownS`: seconds that a task gets to save its state and exit."""


class HeartbeatResponse(
    Struct, frozen=True, rename={"fencing_token": "warrant", "commands": "orders"}
):
    """The answer to a heartbeat from the controller that owns the machine."""

    fencing_token: int
    """`warrant`: commands with a lower token are refused from now on."""
    commands: list[Command]
    """`orders`"""


class DirectCommands(
    Struct,
    frozen=True,
    rename={"fencing_token": "warrant", "incarnation": "tenure", "commands": "orders"},
):
    """Commands sent to a worker without waiting for its next heartbeat."""

    fencing_token: int
    """`warrant`: the worker refuses the commands if it has accepted a higher token."""
    incarnation: int
    """`tenure`: the session of the worker that the commands are for."""
    commands: list[Command]
    """`orders`"""


class Redirect(Struct, frozen=True, omit_defaults=True, rename={"owner": "overseer"}):
    """The answer to a heartbeat from a controller that does not own the machine."""

    owner: str | None = None
    """`overseer`: the address to report to; None if it is not known."""


heartbeat_decoder: msgspec.json.Decoder[Heartbeat] = msgspec.json.Decoder(Heartbeat)
encode = msgspec.json.Encoder().encode
