"""Priority classes, as operators get and set them."""

from __future__ import annotations

import msgspec
from msgspec import Struct

from badgerseam.options.classes import ClassesOptions


class Objection(Struct, frozen=True):
    """A controller whose options keep the site's classes from being changed, and why."""

    node: str
    reason: str


class ClassesView(Struct, frozen=True):
    """The answer of `GET /classes`."""

    classes: ClassesOptions | None
    """As they are in force, in the form of the options; None before the first record."""
    by: str | None
    """The leader, or the operator's controller, that wrote them."""
    at: float | None
    """Time of day of that."""
    revision: int
    """Of the record; 0 if there is none."""
    digest: str
    """Of the options of the controller that was asked."""
    pending: bool
    """The options of that controller are not yet those that the record was made from."""
    objections: list[Objection]
    """Who disagrees with these options."""
    waiting: dict[str, int]
    """Waiting tasks by class."""
    jumps: int
    """Priority inversions in plans of the controller that was asked, since it started."""
    held: int
    """Plans of that controller in which capacity was reserved from lower classes."""


view_decoder: msgspec.json.Decoder[ClassesView] = msgspec.json.Decoder(ClassesView)
options_decoder: msgspec.json.Decoder[ClassesOptions] = msgspec.json.Decoder(ClassesOptions)
encode = msgspec.json.Encoder().encode
