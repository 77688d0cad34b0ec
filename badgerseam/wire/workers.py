"""The workers' protocol: heartbeats, and commands in the responses or sent directly.

If the protocol uses a different name for a field, the field's docstring gives that name.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct, field

NonNegativeInt = Annotated[int, Meta(ge=0)]
"""An integer that is at least 0."""


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
    """The status of an attempt of a task, as reported by its worker (protocol: one of `pieces`)."""

    task: str
    """`piece`: the name of the task."""
    attempt: NonNegativeInt
    """`try`: the number of the attempt."""
    state: str
    """`phase`: the phase of the attempt."""
    exit_reason: str | None = None
    """`cause`: why the attempt ended; None if it has not ended."""
    checkpointed: bool | None = None
    """`saved`: whether its state was saved before it ended; None if this is not known."""


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
    """The address at which the worker accepts direct commands."""
    type: str
    """`breed`: the machine type."""
    zone: str
    """`sett`"""
    spot: bool
    """`loaned`: whether the cloud may reclaim the machine."""
    incarnation: NonNegativeInt
    """`tenure`: number of the worker's session, incremented each time its lease expires."""
    sequence: NonNegativeInt
    """`tick`: the number of the heartbeat within the incarnation."""
    fencing_token: NonNegativeInt = 0
    """`warrant`: the highest token that the worker has accepted."""
    reclaim_notice_s: float | None = None
    """`recallS`: seconds until the cloud reclaims the machine; None if it does not."""
    tasks: list[TaskStatus] = field(default_factory=list)
    """`pieces`: all attempts on the worker."""


class Command(
    Struct,
    frozen=True,
    omit_defaults=True,
    rename={"op": "verb", "task": "piece", "attempt": "try", "grace_s": "windDownS"},
):
    """A command to a worker (protocol: one of `orders`)."""

    op: str
    """`verb`: the operation to execute."""
    task: str
    """`piece`: the name of the task."""
    attempt: int
    """`try`: the number of the attempt."""
    grace_s: float | None = None
    """`windDownS`: seconds that the task has to save its state and exit."""


class HeartbeatResponse(
    Struct, frozen=True, rename={"fencing_token": "warrant", "commands": "orders"}
):
    """The response to a heartbeat by the controller that owns the machine."""

    fencing_token: int
    """`warrant`: from now on the worker refuses commands with a lower token."""
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
    """`tenure`: the worker's session that the commands are intended for."""
    commands: list[Command]
    """`orders`"""


class Redirect(Struct, frozen=True, omit_defaults=True, rename={"owner": "overseer"}):
    """The response to a heartbeat by a controller that does not own the machine."""

    owner: str | None = None
    """`overseer`: the address to send heartbeats to; None if it is not known."""


heartbeat_decoder: msgspec.json.Decoder[Heartbeat] = msgspec.json.Decoder(Heartbeat)
encode = msgspec.json.Encoder().encode
