"""The keys of the state service that hold our records."""

from __future__ import annotations

PREFIX = "bs/"


def job_key(job_id: str) -> str:
    return f"{PREFIX}j/{job_id}"


def page_key(shard: int, page: int) -> str:
    return f"{PREFIX}p/{shard}/{page}"


def group_key(group: str) -> str:
    return f"{PREFIX}m/{group}"


def claim_key(shard: int) -> str:
    return f"{PREFIX}c/{shard}"


def counts_key(shard: int) -> str:
    return f"{PREFIX}g/{shard}"


def node_key(node: str) -> str:
    return f"{PREFIX}n/{node}"


def proxy_key(node: str) -> str:
    return f"{PREFIX}d/{node}"


def rental_key(name: str) -> str:
    return f"{PREFIX}h/{name}"


def run_key(plan: str, number: int) -> str:
    return f"{PREFIX}u/{plan}/{number}"


LEADER_KEY = f"{PREFIX}l"
TYPES_KEY = f"{PREFIX}f"
CLASSES_KEY = f"{PREFIX}k"
TARGET_KEY = f"{PREFIX}r/target"
LEVEL_KEY = f"{PREFIX}c/level"
"""Among the claims on purpose: programs from before levels take the last part of such a key for the
number of a share, and end when they meet it, at their start or while they run. They could neither
know the level nor be told to stand aside (docs/rollout.md)."""
