"""Numbers and resources in the words of explanations."""

from __future__ import annotations

from badgerseam.model.resources import Resources

MAX_NAMED = 5
"""Machines, jobs or tasks that one reason names."""


def pluralize(number: int, thing: str) -> str:
    """A number of things, such as '1 job', '3 jobs'."""
    return f"{number} {thing}{'' if number == 1 else 's'}"


def amount(resources: Resources) -> str:
    """Resources in words, such as '4 CPUs, 14 GB'."""
    parts = [f"{resources.cpus:g} CPUs"]
    if resources.gpus:
        parts.append(f"{resources.gpus:g} GPUs")
    if resources.memory_gb not in (0.0, float("inf")):
        parts.append(f"{resources.memory_gb:g} GB")
    return ", ".join(parts)
