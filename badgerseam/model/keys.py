"""The keys of the state service that hold our records."""

from __future__ import annotations

PREFIX = "bs/"


def job_key(job_id: str) -> str:
    return f"{PREFIX}j/{job_id}"


def page_key(share: int, page: int) -> str:
    return f"{PREFIX}p/{share}/{page}"


def group_key(group: str) -> str:
    return f"{PREFIX}m/{group}"


def claim_key(share: int) -> str:
    return f"{PREFIX}c/{share}"


def counts_key(share: int) -> str:
    return f"{PREFIX}g/{share}"


def node_key(node: str) -> str:
    return f"{PREFIX}n/{node}"


def deputy_key(node: str) -> str:
    return f"{PREFIX}d/{node}"


def hire_key(name: str) -> str:
    return f"{PREFIX}h/{name}"


LEADER_KEY = f"{PREFIX}l"
TYPES_KEY = f"{PREFIX}f"
