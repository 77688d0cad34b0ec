"""The users' protocol: submissions and the states of jobs.

`SUBMISSION_WIRE_NAMES` maps the fields of a submission to their names in the protocol.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

Amount = Annotated[float, Meta(ge=0, le=1e9)]
TimeOfDay = Annotated[float, Meta(ge=0, le=1e11)]
JobId = Annotated[str, Meta(pattern=r"\Ajob-[0-9]{1,18}\Z")]
Text = Annotated[str, Meta(min_length=1, max_length=200)]

SUBMISSION_WIRE_NAMES = {
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


DependencyKind = Literal["after", "afterany", "afterok", "afternotok"]


class Dependency(Struct, frozen=True):
    """A condition on another job: that it has started (`after`), ended (`afterany`), completed
    (`afterok`) or been cancelled (`afternotok`)."""

    kind: DependencyKind
    job: JobId


class Terms(Struct, frozen=True, omit_defaults=True, rename="camel"):
    """Conditions set by the user on when a job may start; stored with the job."""

    name: Text | None = None
    user: Text | None = None
    hold: bool = False
    """Whether no more of its tasks start until it is released."""
    begin_at: TimeOfDay | None = None
    """Time of day (seconds since 1970) before which none of its tasks start."""
    throttle: Annotated[int, Meta(ge=1, le=100_000)] | None = None
    """Maximum number of tasks that run at the same time."""
    depends: Annotated[list[Dependency], Meta(max_length=64)] = []
    any: bool = False
    """Whether it is enough that one of the dependencies is met."""
    singleton: bool = False
    """Whether it waits for the earlier jobs of the same team, user and name."""
    first: Annotated[int, Meta(ge=0)] = 0
    """For an array: the index that users see for its task 0."""
    step: Annotated[int, Meta(ge=1)] = 1
    """For an array: the step from one index to the next."""
    nonce: Text | None = None
    """Distinguishes a repeated submission from another job with the same id."""
    comment: Text | None = None


class Submission(Struct, frozen=True, omit_defaults=True, rename=SUBMISSION_WIRE_NAMES):
    """A job as described by its user; the resources are per task."""

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
    terms: Terms | None = None


class JobStatus(Struct, frozen=True, omit_defaults=True, rename={"state": "phase"}):
    """A job's state as its user sees it (protocol: `phase`)."""

    id: str
    state: str
    done: int | None = None
    """Number of finished tasks; None if the response does not include it."""
    running: int | None = None


submission_decoder: msgspec.json.Decoder[Submission] = msgspec.json.Decoder(Submission)
status_encoder = msgspec.json.Encoder()
