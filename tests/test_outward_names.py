"""Names that leave the process stay: fields, keys, values, options, paths and file names.

`tests/data/outward_names.txt` lists them, one a line. Users, workers, peers, stored state, settings
and operators' tools depend on them, so a name may only be added, or removed with its protocol.
"""

from __future__ import annotations

import ast
import importlib
import inspect
import pkgutil
from collections.abc import Iterator
from pathlib import Path

import msgspec
import pytest

import badgerseam

PACKAGE = Path(badgerseam.__file__).parent
NAMES = (Path(__file__).parent / "data" / "outward_names.txt").read_text().splitlines()


def encoded_fields() -> Iterator[str]:
    """The field names of all messages, records and settings, as they are encoded."""
    for module in pkgutil.walk_packages(badgerseam.__path__, "badgerseam."):
        if module.name.endswith(".__main__"):
            continue
        for _, cls in inspect.getmembers(importlib.import_module(module.name), inspect.isclass):
            if issubclass(cls, msgspec.Struct):
                yield from cls.__struct_encode_fields__


def strings() -> Iterator[str]:
    """All string constants of the package except docstrings; `{}` stands for inserted values."""
    for path in PACKAGE.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant):
                node.value.value = None  # a docstring
            elif isinstance(node, ast.keyword) and node.arg == "rename":
                for renamed in getattr(node.value, "keys", []):
                    renamed.value = None  # a field's name in the code alone
            elif isinstance(node, ast.JoinedStr):
                yield "".join(
                    str(part.value) if isinstance(part, ast.Constant) else "{}"
                    for part in node.values
                )
            elif isinstance(node, ast.Constant) and isinstance(node.value, str):
                yield node.value


@pytest.fixture(scope="module")
def present() -> set[str]:
    return {*encoded_fields(), *strings()}


def test_every_outward_name_is_still_there(present: set[str]) -> None:
    assert sorted(set(NAMES)) == NAMES
    assert not set(NAMES) - present


def test_a_name_that_is_gone_is_found(present: set[str]) -> None:
    assert "no_such_outward_name" not in present
    assert {"tenure", "warrant"} <= set(NAMES)
