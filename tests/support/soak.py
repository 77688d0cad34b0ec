"""Plays soaks of whole sites over a range of seeds."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable

from tests.support.fake_time import Policy
from tests.support.simulated_site import SimulatedSite


def started_jobs(site: SimulatedSite) -> set[str]:
    """Returns the jobs of which a task has run."""
    return {e.job.partition("/")[0] for e in site.history.events if e.kind == "on"}


def play_seeds(
    soak: Callable[[int], SimulatedSite], describe: Callable[[SimulatedSite], str]
) -> None:
    """Plays the seeds from the first to the second argument of the command line.

    Prints one line for each, with the description of its site, and ends with exit status 1 if any
    seed broke a rule or a bound.
    """
    asyncio.set_event_loop_policy(Policy())
    first, last = map(int, sys.argv[1:3])
    failed = 0
    for seed in range(first, last + 1):
        try:
            print(f"seed={seed} held {describe(soak(seed))}", flush=True)
        except AssertionError as error:
            failed += 1
            print(f"seed={seed} FAILED {str(error)[:300]!r}", flush=True)
    print(f"{last - first + 1 - failed} passed, {failed} failed")
    sys.exit(failed > 0)
