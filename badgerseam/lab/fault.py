"""The faults that can be injected into a lab, as an experiment file or a command gives them."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from badgerseam.lab.controllers import BACK_S

FaultKind = Literal[
    "kill",
    "hang",
    "replace",
    "rollout",
    "cut",
    "refused",
    "lossy",
    "slow",
    "late",
    "state-down",
    "state-limits",
    "cloud-down",
    "no-capacity",
    "take",
    "notice",
    "die",
    "deaf",
    "mute",
    "copies",
    "late-writes",
    "late-commands",
    "command-copies",
    "close-looks",
    "island",
    "hang-machine",
    "slow-machine",
    "faulty-machine",
    "burst",
    "night",
    "cancel-now",
    "cancel-at-end",
    "odd-requests",
]
FAULT_KINDS: tuple[str, ...] = FaultKind.__args__  # type: ignore[attr-defined]
HARMLESS_KINDS = (
    "burst",
    "cancel-at-end",
    "odd-requests",
    "close-looks",
    "state-limits",
    "command-copies",
)
"""Kinds of faults that are not failures: they change what users do, or limits that are known
before, or repeat what was answered. Every answer is still due."""
LINK_FAULT_KINDS = ("cut", "refused", "lossy", "slow", "late")


class Fault(Struct, frozen=True, forbid_unknown_fields=True):
    """One fault to inject."""

    do: FaultKind
    target: Annotated[
        str,
        Meta(
            description="a controller, several separated by commas, `all`, `each` (one after the "
            "other), or `workers`; for `deaf` and `mute` a zone or a machine, for `night` a class "
            "of jobs"
        ),
    ] = ""
    to: Annotated[
        str,
        Meta(
            description="the other end of a link: state, cloud, or a controller; for `island` cut "
            "or refused; for `late-writes` at-once; for `copies` next-leader; for `replace` and "
            "`rollout` one of the experiment's sources"
        ),
    ] = ""
    count: Annotated[
        int,
        Meta(
            ge=1,
            description="machines, drawn at random; for `night` members, for `cancel-now` jobs",
        ),
    ] = 1
    for_s: Annotated[
        float,
        Meta(
            ge=0,
            description="seconds until the fault is reverted; 0: only on request. For "
            "`cancel-now`: seconds for which machines hang, 0: none does",
        ),
    ] = 0.0
    factor: Annotated[
        float,
        Meta(
            gt=0,
            description="factor of speed or of arrivals; the fraction of reports for `copies`, of "
            "transactions for `late-writes`, of direct commands for `late-commands`, of answered "
            "direct commands for `command-copies`, and of jobs that end for `cancel-at-end`",
        ),
    ] = 0.3
    every_s: Annotated[
        float, Meta(gt=0, description="seconds between one controller and the next of `each`")
    ] = 6.0
    within_s: Annotated[
        float, Meta(ge=0, description="seconds within which several controllers end at random")
    ] = 0.0
    back_s: Annotated[
        float, Meta(ge=0, description="seconds until an ended controller is restarted")
    ] = BACK_S


fault_decoder: msgspec.json.Decoder[Fault] = msgspec.json.Decoder(Fault)
