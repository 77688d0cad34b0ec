"""Random faults on a small site whose teams are always at their limits.

Whatever happens to machines, links, owners and jobs, a team's tasks on machines never exceed its
limit. The lab's rule checker counts a task from the end of its image fetch until its exit, its
kill, or the end of its machine.
"""

from __future__ import annotations

from random import Random
from typing import Any

import pytest

from badgerseam.lab.errors import LabError
from badgerseam.lab.site import SiteSpec
from badgerseam.settings import StateParams, Team, WorkerParams
from badgerseam.wire.cloud import MachineType
from tests.support.simulated_site import SimulatedSite, run_on_site

SITE_AT_LIMITS = SiteSpec(
    teams=[Team("blue", 6, 18), Team("red", 6, 14), Team("teal", 0, 10)],
    types=[MachineType("c8", 8, 64, 1.0, ["a", "b"], 0, 0.3, 2.0)],
    workers=WorkerParams(1.0, 8.0, 30.0),
    state=StateParams(300.0, 100.0, 16.0, 48),
    classes=[],
)
TEAMS = ("blue", "red", "teal")
STEPS = 45
FIRST_JOB = 100


class RandomScenario:
    """A random scenario: submits jobs and injects a fault or cancellation at each step."""

    def __init__(self, site: SimulatedSite, seed: int) -> None:
        self.site = site
        self.random = Random(seed)
        self.jobs = 0
        self.accepted: list[str] = []

    async def run(self) -> None:
        """Fill the site with low-priority jobs, then submit jobs and inject faults at random."""
        for _ in range(14):
            self.submit(backlog=True)
        await self.site.advance(10.0)
        for _ in range(STEPS):
            for _ in range(self.random.choice((0, 1, 1, 2))):
                self.submit()
            self.inject_fault()
            await self.site.advance(self.random.uniform(0.1, 2.0))
        self.site.fault_injector.revert_all()
        await self.site.advance(45.0)

    def inject_fault(self) -> None:
        """Inject one random fault or cancellation, if it applies to the current state."""
        fault = self.random.choice(
            (
                self.cancel_job,
                self.cancel_job,
                self.disrupt_machine,
                self.disrupt_machine,
                self.stop_owner,
                self.disrupt_messages,
            )
        )
        try:
            fault()
        except LabError:
            return  # The fault has no target at the moment.

    def submit(self, backlog: bool = False) -> None:
        """Submit a random job.

        Either a low-priority job, which has to wait for its team's limit although there is free
        capacity, or a smaller high-priority job, which has to evict tasks in its zone.
        """
        random = self.random
        if backlog or random.random() < 0.4:
            rank, cpus, run_s = random.choice(("best_effort", "standard")), 4.0, 300.0
        else:
            rank, cpus, run_s = random.choice(("high", "production")), 2.0, random.uniform(2, 12)
        saves = random.random() < 0.7
        job = f"job-{FIRST_JOB + self.jobs:06d}"
        self.jobs += 1
        self.site.at_once(
            self._submit(
                job,
                run_s,
                owner=random.choice(TEAMS),
                rank=rank,
                shape=random.choice(("sweep", "sweep", "group")),
                pieces=random.choice((1, 1, 2)),
                cpus=cpus,
                sett=random.choice((None, "a", "b")),
                snapshotS=3.0 if saves else 0.0,
                stashS=random.choice((2.0, 8.0)) if saves else 0.0,
                guessS=20.0,
            )
        )

    async def _submit(self, job: str, run_s: float, **fields: Any) -> None:
        if (await self.site.submit(job, run_s, **fields)).status in (200, 201):
            self.accepted.append(job)

    def cancel_job(self) -> None:
        if not self.accepted:
            return
        job = self.random.choice(self.accepted)
        self.site.at_once(self.site.cancel(job, via=self.random.choice(self.site.nodes)))

    def disrupt_machine(self) -> None:
        """Hang a machine, or cut its link in one or both directions, for a random time."""
        for_s = self.random.choice((2.0, 6.0, 14.0))  # shorter and longer than a lease
        isolation = self.random.choice(("hang-machine", "deaf", "mute", "both"))
        name = self.random.choice(sorted(self.site.machines) or [""])
        for do in ("deaf", "mute") if isolation == "both" else (isolation,):
            self.site.inject_fault(
                do, target="" if isolation == "hang-machine" else name, for_s=for_s
            )

    def stop_owner(self) -> None:
        """Kill the owner of a team for a random time, or isolate it from the network."""
        node = self.site.owner(self.random.choice(TEAMS)) or self.site.nodes[0]
        if self.random.random() < 0.2:
            self.site.inject_fault("island", target=node, for_s=self.random.choice((4.0, 12.0)))
        else:
            self.site.controllers[node].kill(self.random.choice((0.1, 0.6, 6.0)))

    def disrupt_messages(self) -> None:
        """Delay or duplicate writes, commands or heartbeats, lose answers, or stop the state
        service."""
        do, to = self.random.choice(
            (
                ("late-writes", ""),
                ("late-writes", "at-once"),
                ("late-commands", ""),
                ("copies", ""),
                ("copies", "next-leader"),
                ("state-down", ""),
            )
        )
        self.site.inject_fault(do, to=to, factor=0.4, for_s=self.random.choice((1.0, 5.0)))


@pytest.mark.parametrize("seed", [0, 1, 5, 7, 12, 16, 31, 32])
def test_limits_hold_under_random_faults(seed: int) -> None:
    async def scenario(site: SimulatedSite) -> None:
        await RandomScenario(site, seed).run()

    site = run_on_site(scenario, seed, SITE_AT_LIMITS)
    assert sum(event.kind == "on" for event in site.history.events) > 20


@pytest.mark.parametrize("seed", [0, 1, 5, 7])
def test_limits_hold_under_random_faults_and_copies_of_commands(seed: int) -> None:
    async def scenario(site: SimulatedSite) -> None:
        site.inject_fault("command-copies", factor=0.7)
        await RandomScenario(site, seed).run()
        assert site.late_commands.copies_executed + site.late_commands.copies_refused > 20

    run_on_site(scenario, seed, SITE_AT_LIMITS)
