"""A soak of whole sites whose answered direct commands arrive again, among other random faults.

`python -m tests.support.command_copies_soak FIRST LAST` plays the seeds from FIRST to LAST and
prints one line for each. The default test run plays a few.
"""

from __future__ import annotations

import asyncio
from random import Random

from badgerseam.lab.worker import HeldAttempt, WorkerCore
from badgerseam.options.standby import StandbyOptions
from badgerseam.tunables import Tunables
from tests.support.simulated_site import SITE, SimulatedSite, run_on_site
from tests.support.soak import play_seeds, started_jobs

TEAMS = ("blue", "red", "teal")
TUNABLES = (Tunables(), Tunables(), Tunables(standby=StandbyOptions()))
"""Options of the controllers, by seed."""
JOBS = 24
FAULTS_S = 60.0
"""Time for which jobs are submitted and faults occur."""
LONG_AFTER_S = 160.0
"""Further time, in which the latest copies arrive."""
MAX_QUEUE_S = 600.0
"""By this time after the last fault every job has started, also those behind the limit of a team.
That none waits for 90 s beside room within its team's limit is a rule of the checker."""
QUICK_RESTART_S = 0.2
SHORT_HANG_S = 0.5
FAULTS = ("kill", "kill leader", "hang", "mute", *["fail"] * 6)


class CommandCopiesSoak:
    """One random run: jobs of all priorities, failures, cancellations, hangs, restarts and copies
    of commands."""

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)
        self._uncancelled: list[str] = []

    async def play(self, site: SimulatedSite) -> None:
        """Plays the run; AssertionError if a job is left waiting."""
        random = self._random
        site.inject_fault("command-copies", factor=random.choice([0.3, 0.6, 1.0]))
        if random.random() < 0.4:
            site.inject_fault("late-commands", factor=0.2, for_s=FAULTS_S)
        if random.random() < 0.4:
            site.inject_fault("copies", factor=0.2, for_s=FAULTS_S)
        site.at_once(self._submit_jobs(site))
        ends_at = site.clock.now() + FAULTS_S
        while site.clock.now() < ends_at:
            await site.advance(random.uniform(0.2, 2.0))
            self._cause_fault(site, random.choice(FAULTS))
        await site.advance(1.0)
        await site.until(lambda: set(self._uncancelled) <= started_jobs(site), MAX_QUEUE_S)
        await site.advance(LONG_AFTER_S)

    def _cause_fault(self, site: SimulatedSite, fault: str) -> None:
        random = self._random
        cores = [machine.core for machine in site.machines.values()]
        if fault == "kill":
            site.inject_fault("kill", target=random.choice(site.nodes), back_s=QUICK_RESTART_S)
        elif fault == "kill leader" and site.leader:
            site.inject_fault("kill", target=site.leader, back_s=random.choice([0.2, 6.0]))
        elif fault == "hang" and cores:
            site.inject_fault("hang-machine", count=3, for_s=SHORT_HANG_S)
        elif fault == "mute" and cores:
            site.inject_fault("mute", count=1, for_s=random.uniform(1.0, 12.0))
        elif fault == "fail":
            running = [(core, held) for core in cores for held in _running(core)]
            for core, held in random.sample(running, min(3, len(running))):
                core._exit(held, "error")

    async def _submit_jobs(self, site: SimulatedSite) -> None:
        random = self._random
        for number in range(JOBS):
            job = f"job-{number:06d}"
            reply = await site.submit(
                job,
                random.choice([4.0, 40.0, 80.0]),
                owner=random.choice(TEAMS),
                pieces=random.choice([1, 2, 4]),
                cpus=random.choice([0.5, 1.0, 3.0, 8.0]),
                rank=random.choice(["best_effort", "standard", "high", "production"]),
            )
            if reply.status in (200, 201):
                if random.random() < 0.25:
                    site.at_once(self._cancel(site, job, random.uniform(0.0, 15.0)))
                else:
                    self._uncancelled.append(job)
            await site.advance(random.uniform(0.0, 2 * FAULTS_S / JOBS))

    async def _cancel(self, site: SimulatedSite, job: str, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        await site.cancel(job)


def _running(core: WorkerCore) -> list[HeldAttempt]:
    """Returns the running attempts of a machine that does not hang."""
    return [held for held in core.tasks.values() if held.phase == "running" and not core.hung]


def soak(seed: int) -> SimulatedSite:
    """Plays one run and returns its site; AssertionError if a rule or a bound was broken."""
    return run_on_site(CommandCopiesSoak(seed).play, seed, SITE, TUNABLES[seed % len(TUNABLES)])


def _describe(site: SimulatedSite) -> str:
    commands = site.late_commands
    return f"executed={commands.copies_executed} refused={commands.copies_refused}"


if __name__ == "__main__":
    play_seeds(soak, _describe)
