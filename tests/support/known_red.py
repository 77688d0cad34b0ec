"""Reads KNOWN-RED.txt: the tests that are known to fail for a fault that is not fixed yet."""

from __future__ import annotations

import re
from collections.abc import Iterable
from pathlib import Path

KNOWN_RED_FILE = Path(__file__).parents[2] / "KNOWN-RED.txt"
_ENTRY = re.compile(r"^\d+\. (tests/\S+::\S+)", re.MULTILINE)


def read_known_red(text: str) -> list[str]:
    """Returns the node ids of the entries. An id without parameters stands for all of them."""
    return _ENTRY.findall(text)


def find_entry(node_id: str, entries: Iterable[str]) -> str | None:
    """Returns the entry that lists a test, or None."""
    names = (node_id, node_id.partition("[")[0])
    return next((entry for entry in entries if entry in names), None)
