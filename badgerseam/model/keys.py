"""The keys of the state service that hold our records: a prefix, a kind of record, its name."""

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
LEADER_KIND = "l"
TYPES_KIND = "f"
CLASSES_KIND = "k"


def job_key(job_id: str) -> str:
    """Key of a job's record."""
    return f"{PREFIX}{JOB_KIND}/{job_id}"


def page_key(shard: int, page: int) -> str:
    """Key of a page of a shard's task log."""
    return f"{PREFIX}{PAGE_KIND}/{shard}/{page}"


def group_key(group: str) -> str:
    """Key of a machine group's records."""
    return f"{PREFIX}{GROUP_KIND}/{group}"


def claim_key(shard: int) -> str:
    """Key of the claim to a shard."""
    return f"{PREFIX}{CLAIM_KIND}/{shard}"


def counts_key(shard: int) -> str:
    """Key of a shard's counts of finished and evicted tasks."""
    return f"{PREFIX}{COUNTS_KIND}/{shard}"


def node_key(node: str) -> str:
    """Key of a controller's record."""
    return f"{PREFIX}{CONTROLLER_KIND}/{node}"


def proxy_key(node: str) -> str:
    """Key of the proxy record of a controller."""
    return f"{PREFIX}{PROXY_KIND}/{node}"


def rental_key(name: str) -> str:
    """Key of a rental."""
    return f"{PREFIX}{RENTAL_KIND}/{name}"


def run_key(plan: str, number: int) -> str:
    """Key of a run of a plan."""
    return f"{PREFIX}{RUN_KIND}/{plan}/{number}"


LEADER_KEY = f"{PREFIX}{LEADER_KIND}"
TYPES_KEY = f"{PREFIX}{TYPES_KIND}"
CLASSES_KEY = f"{PREFIX}{CLASSES_KIND}"
TARGET_KEY = f"{PREFIX}r/target"
LEVEL_KEY = f"{PREFIX}{CLAIM_KIND}/level"
"""Among the claims on purpose: programs from before levels take the last part of such a key for the
number of a shard, and end when they meet it, at their start or while they run. They could neither
know the level nor be told to stand aside (docs/rollout.md)."""
