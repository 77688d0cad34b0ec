"""Keys of the records in the state service: a prefix, the kind of record, and its name."""

from __future__ import annotations

PREFIX = "bs/"

JOB_KIND = "j"
PAGE_KIND = "p"
GROUP_KIND = "m"
CLAIM_KIND = "c"
COUNTS_KIND = "g"
CONTROLLER_KIND = "n"
PROXY_KIND = "d"
RENTAL_KIND = "h"
RUN_KIND = "u"
FORMAT_KIND = "a"
LEADER_KIND = "l"
TYPES_KIND = "f"
CLASSES_KIND = "k"


def job_key(job_id: str) -> str:
    """Returns the key of a job's record."""
    return f"{PREFIX}{JOB_KIND}/{job_id}"


def page_key(shard: int, page: int) -> str:
    """Returns the key of a page of a shard's task log."""
    return f"{PREFIX}{PAGE_KIND}/{shard}/{page}"


def group_key(group: str) -> str:
    """Returns the key of the records of a machine group."""
    return f"{PREFIX}{GROUP_KIND}/{group}"


def claim_key(shard: int) -> str:
    """Returns the key of the claim to a shard."""
    return f"{PREFIX}{CLAIM_KIND}/{shard}"


def counts_key(shard: int) -> str:
    """Returns the key of a shard's counts of finished and evicted tasks."""
    return f"{PREFIX}{COUNTS_KIND}/{shard}"


def node_key(node: str) -> str:
    """Returns the key of a controller's record."""
    return f"{PREFIX}{CONTROLLER_KIND}/{node}"


def proxy_key(node: str) -> str:
    """Returns the key of a controller's proxy record."""
    return f"{PREFIX}{PROXY_KIND}/{node}"


def rental_key(name: str) -> str:
    """Returns the key of a rental."""
    return f"{PREFIX}{RENTAL_KIND}/{name}"


def run_key(plan: str, number: int) -> str:
    """Returns the key of a run of a plan."""
    return f"{PREFIX}{RUN_KIND}/{plan}/{number}"


FORMAT_KEY = f"{PREFIX}{FORMAT_KIND}"
"""Sorts before all other records, whose reading depends on it."""
LEADER_KEY = f"{PREFIX}{LEADER_KIND}"
TYPES_KEY = f"{PREFIX}{TYPES_KIND}"
CLASSES_KEY = f"{PREFIX}{CLASSES_KIND}"
TARGET_KEY = f"{PREFIX}r/target"
LEVEL_KEY = f"{PREFIX}{CLAIM_KIND}/level"
"""Deliberately stored among the claims. Programs from before levels were introduced parse the last
part of a claim key as a shard number, so they terminate when they read this key, at startup or
later. They have no other means to detect the level or to be stopped (docs/rollout.md)."""
