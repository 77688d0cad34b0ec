"""Tables in the formats that -o and -O of Slurm's commands name."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Generic, TypeVar

from badgerseam.errors import BadgerseamError

R = TypeVar("R")


class TableFormatError(BadgerseamError, ValueError):
    """The format names a field that is not there."""


@dataclass(frozen=True, slots=True)
class Field(Generic[R]):
    """A column: its letter for -o, its name for -O, its head and its value."""

    letter: str
    name: str
    header: str
    value: Callable[[R], str]


@dataclass(frozen=True, slots=True)
class Column(Generic[R]):
    field: Field[R]
    width: int | None
    right: bool
    prefix: str


class Table(Generic[R]):
    """Rows of one kind, by fields."""

    def __init__(self, fields: Sequence[Field[R]]) -> None:
        self._letters: Mapping[str, Field[R]] = {f.letter: f for f in fields if f.letter}
        self._names: Mapping[str, Field[R]] = {f.name.lower(): f for f in fields}

    def columns_by_letter(self, text: str) -> list[Column[R]]:
        """Columns of a format such as "%.18i %.9P %j"."""
        columns: list[Column[R]] = []
        end = 0
        for found in re.finditer(r"%(\.?)(\d*)([A-Za-z])", text):
            if found[3] not in self._letters:
                known = " ".join(f"%{letter}" for letter in sorted(self._letters))
                raise TableFormatError(f"%{found[3]}: no such field; there are {known}")
            columns.append(
                Column(
                    self._letters[found[3]],
                    int(found[2]) if found[2] else None,
                    bool(found[1]),
                    text[end : found.start()],
                )
            )
            end = found.end()
        if not columns:
            raise TableFormatError(f"{text!r} names no field such as %i")
        return columns

    def columns_by_name(self, text: str) -> list[Column[R]]:
        """Columns of a format such as "JobID:10,Name,State"."""
        columns: list[Column[R]] = []
        for part in text.split(","):
            name, colon, width = part.strip().partition(":")
            right = width.startswith(".")
            width = width.lstrip(".")
            if name.lower() not in self._names or (colon and not width.isdecimal()):
                known = ", ".join(field.name for field in self._names.values())
                raise TableFormatError(f"{part!r}: no such field; there are {known}")
            size = int(width) if colon else 20
            columns.append(Column(self._names[name.lower()], size, right, " " * bool(columns)))
        return columns

    def render(self, columns: Sequence[Column[R]], rows: Sequence[R], head: bool) -> str:
        """The table as it is printed."""
        lines = []
        if head:
            lines.append("".join(c.prefix + _fit(c.field.header, c) for c in columns))
        for row in rows:
            lines.append("".join(c.prefix + _fit(c.field.value(row), c) for c in columns))
        return "\n".join(line.rstrip() for line in lines)

    def render_parsable(self, columns: Sequence[Column[R]], rows: Sequence[R], head: bool) -> str:
        """Fields joined by |, as --parsable2 of Slurm's commands."""
        lines = ["|".join(c.field.header for c in columns)] if head else []
        lines += ["|".join(c.field.value(row) for c in columns) for row in rows]
        return "\n".join(lines)


def _fit(text: str, column: Column[R]) -> str:
    if column.width is None:
        return text
    text = text[: column.width]
    return text.rjust(column.width) if column.right else text.ljust(column.width)
