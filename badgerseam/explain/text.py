"""Words that statements have in common."""

from __future__ import annotations


def pluralize(number: int, thing: str) -> str:
    """Such as 1 job, 3 jobs."""
    return f"{number} {thing}{'' if number == 1 else 's'}"
