"""Meetings of troubles between controllers and machines: zones that lose each other, commands that
come late, machines that reach nobody, and what becomes of jobs there."""

from __future__ import annotations

from typing import Any

import pytest

from tests.world import SITE, World, play

WARM = "job-000001"
JOB = "job-000002"
LEASE_S = SITE.workers.lease_s
CANCEL_S = SITE.workers.cancel_s


def zone_of(world: World, node: str) -> str:
    return world.controllers[node].settings.zone


async def far_machine(world: World, **changes: Any) -> tuple[str, str, list[str]]:
    """A machine with a running job in a zone that is not its owner's: the owner, that zone, and
    the other controllers of the owner's zone."""
    team = next(t.name for t in world.site.teams if zone_of(world, world.owner(t.name)) == "a")
    owner = world.owner(team)
    terms = {"owner": team, "sett": "b", "guessS": 900.0} | changes
    await world.submit(WARM, 900.0, pieces=1, **terms)
    await world.until(lambda: world.on(WARM), 20.0)
    await world.go_on(3.0)
    return team, owner, [n for n in world.nodes if zone_of(world, n) == "a"]


@pytest.mark.parametrize("after_s", [-0.05, 0.0, 0.3, 1.5])
@pytest.mark.parametrize("seed", [1, 2])
def test_a_launch_that_is_held_back_when_zones_lose_each_other_is_cancelled(
    seed: int, after_s: float
) -> None:
    # A deputy kept session and token valid, and the launch was carried out when the zones met.
    async def story(world: World) -> None:
        team, _, near = await far_machine(world)
        far = [node for node in world.nodes if node not in near]
        if after_s < 0:
            world.at_once(world.submit(JOB, 900.0, owner=team, sett="b", pieces=1, guessS=900.0))
            await world.go_on(-after_s)
        mend = world.part(near, "b", *far)
        await world.go_on(max(after_s, 0.0))
        if after_s >= 0:
            await world.submit(JOB, 900.0, via=near[0], owner=team, sett="b", pieces=1)
        await world.go_on(1.0)
        await world.cancel(JOB, via=near[0])
        await world.go_on(CANCEL_S + 8.0)
        mend()
        await world.go_on(6.0)
        assert not world.on(JOB)

    play(story, seed)
