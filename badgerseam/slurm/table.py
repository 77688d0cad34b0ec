"""Tables in the formats of the options -o and -O of Slurm's commands."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Generic, TypeVar

from badgerseam.errors import BadgerseamError

R = TypeVar("R")

DEFAULT_WIDTH = 20
"""Width of a column of -O that is given without one, as in Slurm's commands."""


class TableFormatError(BadgerseamError, ValueError):
    """A format contains an unknown field; the message lists the table's fields."""


@dataclass(frozen=True, slots=True)
class Field(Generic[R]):
    """A field of a row: its letter in -o, its name in -O, its header, and its value as text."""

    letter: str
    name: str
    header: str
    value: Callable[[R], str]


@dataclass(frozen=True, slots=True)
class Column(Generic[R]):
    """A field in a format; `prefix` is the text between the previous column and this one."""

    field: Field[R]
    width: int | None
    is_right_aligned: bool
    prefix: str


class Table(Generic[R]):
    """Renders rows of one type as text, with columns that a format selects from its fields."""

    def __init__(self, fields: Sequence[Field[R]]) -> None:
        self._letters: Mapping[str, Field[R]] = {f.letter: f for f in fields if f.letter}
        self._names: Mapping[str, Field[R]] = {f.name.lower(): f for f in fields}

    def columns_by_letter(self, text: str) -> list[Column[R]]:
        """Parses a format such as "%.18i %.9P %j"; TableFormatError for an unknown letter."""
        columns: list[Column[R]] = []
        prefix_start = 0
        for match in re.finditer(r"%(\.?)(\d*)([A-Za-z])", text):
            if match[3] not in self._letters:
                known = " ".join(f"%{letter}" for letter in sorted(self._letters))
                raise TableFormatError(f"%{match[3]}: unknown field; known are {known}")
            columns.append(
                Column(
                    self._letters[match[3]],
                    int(match[2]) if match[2] else None,
                    bool(match[1]),
                    text[prefix_start : match.start()],
                )
            )
            prefix_start = match.end()
        if not columns:
            raise TableFormatError(f"{text!r} contains no field such as %i")
        return columns

    def columns_by_name(self, text: str) -> list[Column[R]]:
        """Parses a format such as "JobID:10,Name"; TableFormatError for an unknown name."""
        columns: list[Column[R]] = []
        for part in text.split(","):
            name, colon, width = part.strip().partition(":")
            is_right_aligned = width.startswith(".")
            width = width.lstrip(".")
            if name.lower() not in self._names or (colon and not width.isdecimal()):
                known = ", ".join(field.name for field in self._names.values())
                raise TableFormatError(f"{part!r}: unknown field; known are {known}")
            column_width = int(width) if colon else DEFAULT_WIDTH
            separator = " " if columns else ""
            columns.append(
                Column(self._names[name.lower()], column_width, is_right_aligned, separator)
            )
        return columns

    def render(self, columns: Sequence[Column[R]], rows: Sequence[R], has_header: bool) -> str:
        """Returns the rows as lines with columns padded or cut to their widths."""
        lines = []
        if has_header:
            lines.append("".join(c.prefix + _fit(c.field.header, c) for c in columns))
        for row in rows:
            lines.append("".join(c.prefix + _fit(c.field.value(row), c) for c in columns))
        return "\n".join(line.rstrip() for line in lines)

    def render_parsable(
        self, columns: Sequence[Column[R]], rows: Sequence[R], has_header: bool
    ) -> str:
        """Returns one line per row with fields separated by |, as --parsable2 in Slurm."""
        lines = ["|".join(c.field.header for c in columns)] if has_header else []
        lines += ["|".join(c.field.value(row) for c in columns) for row in rows]
        return "\n".join(lines)


def _fit(text: str, column: Column[R]) -> str:
    if column.width is None:
        return text
    text = text[: column.width]
    return text.rjust(column.width) if column.is_right_aligned else text.ljust(column.width)
