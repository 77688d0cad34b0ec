"""Random stories on a small site whose teams are at their limits all the time.

Whatever happens to machines, links, owners and jobs, what the machines of a team hold never passes
its limit: the judge counts from having the image until exit, kill, or the machine's end.
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

LIMITED = SiteSpec(
    teams=[Team("blue", 6, 18), Team("red", 6, 14), Team("teal", 0, 10)],
    types=[MachineType("c8", 8, 64, 1.0, ["a", "b"], 0, 0.3, 2.0)],
    workers=WorkerParams(1.0, 8.0, 30.0),
    state=StateParams(300.0, 100.0, 16.0, 48),
    classes=[],
)
TEAMS = ("blue", "red", "teal")
STEPS = 45
FIRST_JOB = 100


class RandomHistory:
    """One random history: jobs keep coming, and something happens at each step."""

    def __init__(self, world: SimulatedSite, seed: int) -> None:
        self.world = world
        self.random = Random(seed)
        self.jobs = 0
        self.accepted: list[str] = []

    async def play(self) -> None:
        """Fill the site with low-priority work, and go on at random."""
        for _ in range(14):
            self.submit(backlog=True)
        await self.world.advance(10.0)
        for _ in range(STEPS):
            for _ in range(self.random.choice((0, 1, 1, 2))):
                self.submit()
            self.happen()
            await self.world.advance(self.random.uniform(0.1, 2.0))
        self.world.breaker.mend_all()
        await self.world.advance(45.0)

    def happen(self) -> None:
        """One trouble, or none."""
        trouble = self.random.choice(
            (self.cancel, self.cancel, self.machine, self.machine, self.owner, self.messages)
        )
        try:
            trouble()
        except LabError:
            return  # Nothing there that it could happen to.

    def submit(self, backlog: bool = False) -> None:
        """Low-priority work that its team's limit keeps waiting while there is room for it, or
        urgent work, smaller, that has to evict where it is bound to."""
        random = self.random
        if backlog or random.random() < 0.4:
            rank, cpus, run_s = random.choice(("best_effort", "standard")), 4.0, 300.0
        else:
            rank, cpus, run_s = random.choice(("high", "production")), 2.0, random.uniform(2, 12)
        saves = random.random() < 0.7
        job = f"job-{FIRST_JOB + self.jobs:06d}"
        self.jobs += 1
        self.world.at_once(
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
        if (await self.world.submit(job, run_s, **fields)).status in (200, 201):
            self.accepted.append(job)

    def cancel(self) -> None:
        if not self.accepted:
            return
        job = self.random.choice(self.accepted)
        self.world.at_once(self.world.cancel(job, via=self.random.choice(self.world.nodes)))

    def machine(self) -> None:
        """A machine hangs, or is out of reach in one way or both, for less or more than a lease."""
        for_s = self.random.choice((2.0, 6.0, 14.0))
        how = self.random.choice(("hang-machine", "deaf", "mute", "both"))
        name = self.random.choice(sorted(self.world.machines) or [""])
        for do in ("deaf", "mute") if how == "both" else (how,):
            self.world.break_(do, target="" if how == "hang-machine" else name, for_s=for_s)

    def owner(self) -> None:
        """Whoever acts for a team ends, and is back soon or late; or is an island for a while."""
        node = self.world.owner(self.random.choice(TEAMS)) or self.world.nodes[0]
        if self.random.random() < 0.2:
            self.world.break_("island", target=node, for_s=self.random.choice((4.0, 12.0)))
        else:
            self.world.controllers[node].kill(self.random.choice((0.1, 0.6, 6.0)))

    def messages(self) -> None:
        """Writes, commands or heartbeats come late, their answers are lost, or the state service is
        out."""
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
        self.world.break_(do, to=to, factor=0.4, for_s=self.random.choice((1.0, 5.0)))


@pytest.mark.parametrize("seed", [0, 1, 5, 7, 12, 16, 31, 32])
def test_no_limit_is_exceeded_in_a_random_history(seed: int) -> None:
    async def history(world: SimulatedSite) -> None:
        await RandomHistory(world, seed).play()

    world = run_on_site(history, seed, LIMITED)
    assert sum(event.kind == "on" for event in world.history.events) > 20
