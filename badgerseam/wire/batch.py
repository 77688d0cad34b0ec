"""Messages of batch clients beyond submissions: numbers, changed terms, details, machines."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import UNSET, Meta, Struct, UnsetType, field

from badgerseam.wire.users import Dependency, Submission


class NumbersRequest(Struct, frozen=True, forbid_unknown_fields=True):
    """A request for job numbers."""

    count: Annotated[int, Meta(ge=1, le=100)] = 1


class NumbersResponse(Struct, frozen=True):
    """Newly allocated job numbers; no number is ever allocated twice."""

    numbers: list[int]


class NumberLookup(Struct, frozen=True):
    """The ids of the jobs that a job number refers to."""

    ids: list[str]


class Amendment(Struct, frozen=True, forbid_unknown_fields=True, rename="camel"):
    """Changes to a job's terms: omitted terms stay unchanged, and null removes a term."""

    hold: bool | UnsetType = UNSET
    begin_at: Annotated[float, Meta(ge=0, le=1e11)] | None | UnsetType = UNSET
    throttle: Annotated[int, Meta(ge=1, le=100_000)] | None | UnsetType = UNSET
    depends: Annotated[list[Dependency], Meta(max_length=64)] | UnsetType = UNSET
    any: bool | UnsetType = UNSET
    comment: Annotated[str, Meta(min_length=1, max_length=200)] | None | UnsetType = UNSET


class Details(Struct, frozen=True, omit_defaults=True, rename="camel"):
    """Details of a job. For an ended job only the final state is available."""

    id: str
    phase: str
    tasks: int
    done: int = 0
    running: int = 0
    waiting: int = 0
    submitted_at: float | None = None
    held_by: str | None = None
    """The unmet term that keeps its tasks from starting."""
    spec: Submission | None = None


class MachineRow(Struct, frozen=True, rename="camel"):
    """Machines of the same type, zone, kind and state."""

    type: str
    zone: str
    spot: bool
    state: str
    """`allocated`, `mixed`, `idle`, `booting` or `drained`."""
    count: int
    cpus: float
    memory_gb: float
    names: list[str] = field(default_factory=list)


numbers_request_decoder: msgspec.json.Decoder[NumbersRequest] = msgspec.json.Decoder(NumbersRequest)
amendment_decoder: msgspec.json.Decoder[Amendment] = msgspec.json.Decoder(Amendment)
numbers_response_decoder: msgspec.json.Decoder[NumbersResponse] = msgspec.json.Decoder(
    NumbersResponse
)
number_lookup_decoder: msgspec.json.Decoder[NumberLookup] = msgspec.json.Decoder(NumberLookup)
details_decoder: msgspec.json.Decoder[Details] = msgspec.json.Decoder(Details)
machines_decoder: msgspec.json.Decoder[list[MachineRow]] = msgspec.json.Decoder(list[MachineRow])
encode = msgspec.json.Encoder().encode
