"""A soak of whole sites under limits of the state service that fall, with random faults.

`python -m tests.support.limits_soak FIRST LAST` plays the seeds from FIRST to LAST and prints one
line for each. The default test run plays a few.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random

import msgspec

from badgerseam.lab.site import SiteSpec
from badgerseam.settings import NextStateParams, StateParams
from badgerseam.tunables import RolloutOptions, Tunables
from tests.support.simulated_site import SITE, SimulatedSite, run_on_site
from tests.support.soak import play_seeds, started_jobs

TEAMS = ("blue", "red", "teal")
TUNABLES = Tunables(rollout=RolloutOptions(steady_s=2.0))
JOBS = 40
MIN_FALL_S, MAX_FALL_S = 5.0, 40.0
"""Bounds of the time at which the limits fall."""
MAX_WAIT_S = 90.0
"""No job waits longer once all faults are over, while machines have room."""
LAST_FAULT_S = 85.0
"""Time by which all faults are over, and controllers are back."""
MAX_REJECTIONS = 30


class LimitsSoak:
    """One random run: jobs, cancellations, faults, and a fall of the limits."""

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)
        self.is_announced = self._random.random() < 0.7
        """Whether the settings announce the later limits."""
        self.later = NextStateParams(
            write_rps=self._random.choice([15.0, 56.0]),
            value_kb=self._random.choice([1.0, 2.0, 4.0]),
            txn_ops=self._random.choice([2, 4, 16]),
        )
        state = StateParams(300.0, self._random.choice([15.0, 80.0]), 16.0, 48, self.later)
        self._lowered = state.lowest
        shown = state if self.is_announced else msgspec.structs.replace(state, next=None)
        self.spec: SiteSpec = msgspec.structs.replace(SITE, state=shown)

    async def play(self, site: SimulatedSite) -> None:
        """Plays the run; AssertionError if jobs are left waiting or writes are repeated."""
        random = self._random
        at_s = {
            "fall": random.uniform(MIN_FALL_S, MAX_FALL_S),
            "outage": random.uniform(10.0, 50.0),
            "kill one": random.uniform(10.0, 60.0),
            "kill all": random.uniform(30.0, 70.0),
        }
        for name, delay_s in at_s.items():
            site.at_once(self._later(site, delay_s, name))
        await self._submit_jobs(site)
        await site.advance(max(0.0, LAST_FAULT_S - site.clock.now()))
        await site.until(lambda: set(self._uncancelled) <= started_jobs(site), MAX_WAIT_S)
        rejections = site.state_core.rejections
        assert len(rejections) <= MAX_REJECTIONS, Counter(rejections).most_common(3)
        if self.is_announced:
            assert rejections == []

    async def _submit_jobs(self, site: SimulatedSite) -> None:
        random = self._random
        self._uncancelled: list[str] = []
        for number in range(JOBS):
            job = f"job-{number:06d}"
            pieces = random.choice([1, 2, 5, 40, 150])
            reply = await site.submit(
                job,
                random.choice([2.0, 6.0, 20.0]),
                owner=random.choice(TEAMS),
                pieces=pieces,
                cpus=0.05,
                memGb=0.1,
                rank=random.choice(["standard", "high", "best_effort"]),
            )
            if reply.status not in (200, 201):
                continue
            if random.random() < 0.2:
                site.at_once(self._cancel(site, job, random.uniform(0.0, 10.0)))
            else:
                self._uncancelled.append(job)
            await site.advance(random.uniform(0.0, 2.0))

    async def _cancel(self, site: SimulatedSite, job: str, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        await site.cancel(job)

    async def _later(self, site: SimulatedSite, delay_s: float, name: str) -> None:
        await asyncio.sleep(delay_s)
        if name == "fall":
            site.state_core.set_limits(self._lowered)
        elif name == "outage":
            site.inject_fault("state-down", for_s=self._random.uniform(1.0, 12.0))
        elif name == "kill one":
            site.inject_fault("kill", target=self._random.choice(site.nodes))
        else:
            site.inject_fault("kill", target="all", within_s=1.0)


def soak(seed: int) -> SimulatedSite:
    """Plays one run and returns its site; AssertionError if a rule or a bound was broken."""
    run = LimitsSoak(seed)
    return run_on_site(run.play, seed, run.spec, TUNABLES)


if __name__ == "__main__":
    play_seeds(soak, lambda site: f"rejections={len(site.state_core.rejections)}")
