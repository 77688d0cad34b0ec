"""Kills and restarts within a fraction of a second, at every step of claiming: a write of the
previous process may be applied while the next one is already claiming."""

from __future__ import annotations

import asyncio
import random

import pytest

from badgerseam.model.keys import LEADER_KEY, claim_key
from tests.cluster.test_restarts import UnreliableStateLink, deliver_late_writes
from tests.support.three_controllers import (
    BOTH,
    STEP_S,
    TTL_S,
    StateLink,
    SteppedController,
    ThreeControllers,
)

BOUND_S = 2 * TTL_S + 4.0
"""Seconds after the last kill or start: time for a lease to end, for claims in turn, and for a
claim that was applied late to be replaced."""


class Election:
    """Checks at each step which controllers act; a worker obeys the highest term that it has
    seen."""

    def __init__(self, seed: int) -> None:
        UnreliableStateLink.rng = self.rng = random.Random(seed)
        UnreliableStateLink.injected = 0
        self.controllers = ThreeControllers(link_type=UnreliableStateLink)
        self.controllers.start_all(BOTH)
        self.actors: dict[tuple[int, int], tuple[SteppedController, float]] = {}
        """The controller that acts for a shard under a term, and since when."""
        self.ended_links: list[StateLink] = []

    async def step(self) -> None:
        await self.controllers.advance(STEP_S)
        for link in self.ended_links:
            if self.rng.random() < 0.1:
                deliver_late_writes(link)
        for shard in range(3):
            version = self.controllers.core.version(claim_key(shard))
            for controller in self.controllers.running_controllers.values():
                shard_state = controller.model.shards[shard]
                if shard_state.owned:
                    # Workers would obey two controllers that act under the same term, and would
                    # obey a term above the claim's even after the next owner's. One that acts
                    # again under the same term would repeat its tokens.
                    actor = controller, shard_state.owned_since
                    assert self.actors.setdefault((shard, shard_state.term), actor) == actor
                    assert shard_state.term <= self.controllers.core.revision
                    assert version == 0 or shard_state.term <= version
        leaders = [
            c for c in self.controllers.running_controllers.values() if c.membership.is_leader
        ]
        terms = [c.model.leader_claim.version for c in leaders if c.model.leader_claim is not None]
        assert len(set(terms)) == len(terms)

    async def restart(self, nodes: list[str], downtime_s: float) -> None:
        for node in nodes:
            self.ended_links.append(self.controllers.running_controllers[node].link)
            await self.controllers.end(node)
        for _ in range(round(downtime_s / STEP_S)):
            await self.step()
        for node in nodes:
            self.controllers.start(node, BOTH)

    def is_complete(self) -> bool:
        acting = [
            controller
            for shard in range(3)
            for controller in self.controllers.running_controllers.values()
            if controller.model.shards[shard].owned
            and controller.model.shards[shard].term
            == self.controllers.core.version(claim_key(shard))
        ]
        has_leader = any(
            c.membership.is_leader for c in self.controllers.running_controllers.values()
        )
        return len(acting) == 3 and has_leader and self.controllers.holder(LEADER_KEY) is not None

    async def settle(self) -> float:
        """Let time pass until all shards and the leadership are acted for; returns the seconds."""
        since = self.controllers.clock.now()
        while not self.is_complete():
            await self.step()
            assert self.controllers.clock.now() - since < BOUND_S, (
                self.controllers.holders(),
                "no actor",
            )
        return self.controllers.clock.now() - since


@pytest.mark.parametrize("seed", range(3))
def test_restarts_at_every_step_of_an_election_leave_one_actor_within_a_bound(seed: int) -> None:
    async def scenario() -> None:
        election = Election(seed)
        rng = election.rng
        await election.settle()
        for step in range(12):
            nodes = rng.sample(list(election.controllers.running_controllers), 1 + step % 3)
            await election.restart(nodes, rng.choice([STEP_S, 0.1, 0.3, 1.0]))
            # Restart again in the middle of the following election, each time one step later.
            for _ in range(step * (1 + seed) % 17):
                await election.step()
            again = rng.sample(
                list(election.controllers.running_controllers), 1 + (step + seed) % 3
            )
            await election.restart(again, rng.choice([STEP_S, 0.1, 0.3]))
            if step % 3 == 2:
                await election.settle()
        await election.settle()
        assert UnreliableStateLink.injected > 0
        await election.controllers.stop()

    asyncio.run(scenario())
