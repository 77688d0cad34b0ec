"""What users send and receive."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

Amount = Annotated[float, Meta(ge=0, le=1e9)]
JobId = Annotated[str, Meta(pattern=r"\Ajob-[0-9]{1,18}\Z")]
Text = Annotated[str, Meta(min_length=1, max_length=200)]

JOB_NAMES = {
    "job_class": "jobclass",
    "team": "owner",
    "kind": "shape",
    "priority": "rank",
    "tasks": "pieces",
    "gpus": "accelerators",
    "memory_gb": "memGb",
    "image": "bundle",
    "image_gb": "imageGb",
    "types": "breeds",
    "zone": "sett",
    "one_zone": "oneZone",
    "spread": "scatter",
    "spot": "loaned",
    "estimate_s": "guessS",
    "checkpoint_s": "snapshotS",
    "save_s": "stashS",
    "deadline_s": "dueS",
}


class Submission(Struct, frozen=True, rename=JOB_NAMES):
    """A job as its user describes it."""

    id: JobId
    job_class: Text
    team: Text
    kind: Literal["sweep", "standing", "group"]
    priority: Literal["production", "high", "standard", "best_effort"]
    tasks: Annotated[int, Meta(ge=1, le=100_000)]
    cpus: Amount
    gpus: Amount
    memory_gb: Amount
    image: Text
    image_gb: Amount
    one_zone: bool
    spread: bool
    spot: bool
    estimate_s: Amount
    checkpoint_s: Amount
    save_s: Amount
    types: list[Text] | None = None
    zone: Text | None = None
    deadline_s: Amount | None = None


class JobStatus(Struct, frozen=True, omit_defaults=True, rename={"state": "phase"}):
    """A job's state as its user sees it."""

    id: str
    state: str
    done: int | None = None
    running: int | None = None


submission_decoder: msgspec.json.Decoder[Submission] = msgspec.json.Decoder(Submission)
status_encoder = msgspec.json.Encoder()
