"""The harness itself: a site that works, and one that breaks a rule is seen to."""

from __future__ import annotations

from tests.world import World, play


def test_a_job_runs_from_its_submission_to_its_end_on_every_share() -> None:
    async def story(world: World) -> None:
        for number, team in enumerate(("blue", "red", "teal")):
            reply = await world.submit(f"job-00000{number}", 5.0, owner=team, pieces=3)
            assert reply.status == 201
        await world.go_on(25.0)
        for number in range(3):
            reply = await world.ask("GET", f"/submissions/job-00000{number}")
            assert world.phase(reply) == "done"

    play(story)


def test_an_ended_controller_does_nothing_more_and_its_work_goes_on() -> None:
    async def story(world: World) -> None:
        await world.submit("job-000001", 30.0, owner="blue")
        await world.until(lambda: len(world.on("job-000001")) == 4, 15.0)
        owner = world.controllers[world.owner("blue")]
        owner.kill(1e9)
        await world.go_on(0.1)
        assert not owner.host.tasks
        await world.until(lambda: world.owner("blue") not in ("", owner.node), 15.0)
        await world.go_on(40.0)
        reply = await world.ask("GET", "/submissions/job-000001")
        assert world.phase(reply) == "done"
        assert world.leases_ended() == 0

    play(story)
