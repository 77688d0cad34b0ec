"""Reports of workers and commands to them."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct, field

Whole = Annotated[int, Meta(ge=0)]


class TaskReport(
    Struct,
    frozen=True,
    rename={"task": "piece", "attempt": "try", "state": "phase", "why": "cause"},
):
    task: str
    attempt: Whole
    state: str
    why: str | None = None
    saved: bool | None = None


class Report(
    Struct,
    frozen=True,
    rename={
        "machine": "host",
        "addr": "address",
        "type": "breed",
        "zone": "sett",
        "spot": "loaned",
        "session": "tenure",
        "seq": "tick",
        "token": "warrant",
        "notice_s": "recallS",
        "tasks": "pieces",
    },
):
    machine: str
    addr: str
    type: str
    zone: str
    spot: bool
    session: Whole
    seq: Whole
    token: Whole = 0
    notice_s: float | None = None
    tasks: list[TaskReport] = field(default_factory=list)


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


class Orders(Struct, frozen=True, rename={"token": "warrant", "commands": "orders"}):
    token: int
    commands: list[Command]


class DirectOrders(
    Struct,
    frozen=True,
    rename={"token": "warrant", "session": "tenure", "commands": "orders"},
):
    token: int
    session: int
    commands: list[Command]


class Redirect(Struct, frozen=True, omit_defaults=True, rename={"report_to": "overseer"}):
    report_to: str | None = None


report_decoder: msgspec.json.Decoder[Report] = msgspec.json.Decoder(Report)
encode = msgspec.json.Encoder().encode
