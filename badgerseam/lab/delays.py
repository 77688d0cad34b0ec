"""Random delays of messages."""

from __future__ import annotations

from random import Random


def log_uniform(random: Random, least: float, most: float) -> float:
    """Returns a number between two positive bounds whose logarithm is uniform: short delays are as
    likely as those of a multiple."""
    factor: float = (most / least) ** random.random()
    return least * factor
