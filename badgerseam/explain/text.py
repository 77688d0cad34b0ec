"""Formats numbers and resources for the texts of explanations."""

from __future__ import annotations

from badgerseam.model.resources import Resources

MAX_NAMED = 5
"""Maximum number of machines, jobs or tasks that one reason names."""


def pluralize(number: int, noun: str) -> str:
    """Returns a number with its noun, such as '1 job' or '3 jobs'."""
    return f"{number} {noun}{'' if number == 1 else 's'}"


def amount(resources: Resources) -> str:
    """Returns resources as text, such as '4 CPUs, 14 GB'."""
    parts = [f"{resources.cpus:g} CPUs"]
    if resources.gpus:
        parts.append(f"{resources.gpus:g} GPUs")
    if resources.memory_gb not in (0.0, float("inf")):
        parts.append(f"{resources.memory_gb:g} GB")
    return ", ".join(parts)
