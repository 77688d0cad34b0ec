"""Reports of workers and commands to them."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct, field

Whole = Annotated[int, Meta(ge=0)]


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
    task: str
    attempt: Whole
    state: str
    exit_reason: str | None = None
    checkpointed: bool | None = None


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
    machine: str
    address: str
    type: str
    zone: str
    spot: bool
    incarnation: Whole
    sequence: Whole
    fencing_token: Whole = 0
    reclaim_notice_s: float | None = None
    tasks: list[TaskStatus] = field(default_factory=list)


class Command(
    Struct,
    frozen=True,
    omit_defaults=True,
    rename={"op": "verb", "task": "piece", "attempt": "try", "grace_s": "windDownS"},
):
    op: str
    task: str
    attempt: int
    grace_s: float | None = None


class HeartbeatResponse(
    Struct, frozen=True, rename={"fencing_token": "warrant", "commands": "orders"}
):
    fencing_token: int
    commands: list[Command]


class DirectCommands(
    Struct,
    frozen=True,
    rename={"fencing_token": "warrant", "incarnation": "tenure", "commands": "orders"},
):
    fencing_token: int
    incarnation: int
    commands: list[Command]


class Redirect(Struct, frozen=True, omit_defaults=True, rename={"owner": "overseer"}):
    owner: str | None = None


heartbeat_decoder: msgspec.json.Decoder[Heartbeat] = msgspec.json.Decoder(Heartbeat)
encode = msgspec.json.Encoder().encode
