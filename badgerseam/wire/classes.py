"""Priority classes: the messages with which operators read and set them."""

from __future__ import annotations

import msgspec
from msgspec import Struct

from badgerseam.options.classes import ClassesOptions


class Objection(Struct, frozen=True):
    """A controller whose options prevent a change of the site's classes, and why."""

    node: str
    reason: str


class ClassesView(Struct, frozen=True):
    """The response to `GET /classes`."""

    classes: ClassesOptions | None
    """The classes in force, in the format of the options; None before the first record."""
    by: str | None
    """The controller that wrote the record: the leader, or the one that an operator sent it to."""
    at: float | None
    """Time of day at which the record was written."""
    revision: int
    """Revision of the record; 0 if there is none."""
    digest: str
    """Digest of the responding controller's options."""
    pending: bool
    """Whether the record does not yet reflect the responding controller's options."""
    objections: list[Objection]
    """Controllers that disagree with these options."""
    waiting: dict[str, int]
    """Number of waiting tasks by class."""
    jumps: int
    """Priority inversions in the responding controller's plans since it started."""
    held: int
    """Number of the responding controller's plans that withheld capacity from lower classes."""


view_decoder: msgspec.json.Decoder[ClassesView] = msgspec.json.Decoder(ClassesView)
options_decoder: msgspec.json.Decoder[ClassesOptions] = msgspec.json.Decoder(ClassesOptions)
encode = msgspec.json.Encoder().encode
