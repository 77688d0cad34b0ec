"""What can be broken in a lab, as an experiment's file or a command gives it."""

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
HARMLESS_KINDS = ("burst", "cancel-at-end", "odd-requests", "close-looks")
"""What users do, however much it is."""
LINK_FAULT_KINDS = ("cut", "refused", "lossy", "slow", "late")


class Fault(Struct, frozen=True, forbid_unknown_fields=True):
    """One deed."""

    do: FaultKind
    target: Annotated[
        str,
        Meta(
            description="a controller, several with commas between, `all`, `each` (one after the "
            "other), or `workers`; of `deaf` and `mute` a zone or a machine, of `night` a class "
            "of jobs"
        ),
    ] = ""
    to: Annotated[
        str,
        Meta(
            description="the other end of a link: state, cloud, or a controller; of `island` cut "
            "or refused; of `late-writes` at-once; of `copies` next-leader"
        ),
    ] = ""
    count: Annotated[
        int,
        Meta(
            ge=1,
            description="machines, chosen by chance; of `night` members, of `cancel-now` jobs",
        ),
    ] = 1
    for_s: Annotated[
        float,
        Meta(
            ge=0,
            description="mended after so long; 0: when it is mended by hand. Of `cancel-now`: how "
            "long machines hang, 0: none does",
        ),
    ] = 0.0
    factor: Annotated[
        float,
        Meta(
            gt=0,
            description="of speed, or of arrivals; the part of reports, transactions, direct "
            "commands, or jobs that end, of `copies`, `late-writes`, `late-commands`, "
            "`cancel-at-end`",
        ),
    ] = 0.3
    every_s: Annotated[float, Meta(gt=0, description="between one and the next of `each`")] = 6.0
    within_s: Annotated[
        float, Meta(ge=0, description="several controllers end by chance within so long")
    ] = 0.0
    back_s: Annotated[
        float, Meta(ge=0, description="after which an ended controller is started again")
    ] = BACK_S


fault_decoder: msgspec.json.Decoder[Fault] = msgspec.json.Decoder(Fault)
