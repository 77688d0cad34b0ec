"""A demonstration that follows a job from submission to completion through injected faults."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

from badgerseam.cli.render import why_text
from badgerseam.http.client import HttpClient, NoResponseError, Response
from badgerseam.lab.errors import LabError
from badgerseam.lab.fault import Fault
from badgerseam.lab.fault_injector import FaultInjector
from badgerseam.lab.lab import Lab
from badgerseam.wire import explain

TIMEOUT_S = 60.0
"""Seconds for each step of the demonstration."""
JOB = "job-900001"


async def demo(lab: Lab, say: Callable[[str], None]) -> None:
    """Runs the demonstration on a started lab.

    Raises LabError if a step fails or a rule is violated.
    """
    http = HttpClient()

    async def request(method: str, path: str, body: bytes | None = None) -> Response:
        """Repeats a request until it succeeds, as users do."""
        deadline = lab.clock.now() + TIMEOUT_S
        while lab.clock.now() < deadline:
            try:
                response = await http.request(
                    f"127.0.0.1:{lab.load_balancer_port}", method, path, body, 5.0
                )
                if response.status in (200, 201):
                    return response
            except NoResponseError:
                pass
            await asyncio.sleep(0.3)
        raise LabError(f"{method} {path}: no response within {TIMEOUT_S:.0f} s")

    async def status() -> dict[str, object]:
        answer: dict[str, object] = json.loads((await request("GET", f"/submissions/{JOB}")).body)
        return answer

    async def until_phase(wanted: str) -> None:
        deadline = lab.clock.now() + TIMEOUT_S
        while (answer := await status())["phase"] != wanted:
            if lab.clock.now() > deadline:
                raise LabError(f"{JOB} is not {wanted} after {TIMEOUT_S:.0f} s: {answer}")
            await asyncio.sleep(0.3)

    async def why() -> explain.Explanation:
        response = await request("GET", f"/submissions/{JOB}/why")
        return explain.why_decoder.decode(response.body)

    injector = FaultInjector(lab)
    await lab.wait_until_ready()
    say("The site is up: 3 controllers, no machine, and no capacity in the cloud.")
    injector.apply(Fault("no-capacity"))
    team = lab.site.teams[0].name
    job = {
        "id": JOB,
        "jobclass": "demo",
        "owner": team,
        "shape": "sweep",
        "rank": "standard",
        "pieces": 4,
        "cpus": 2.0,
        "accelerators": 0.0,
        "memGb": 4.0,
        "bundle": "img-demo",
        "imageGb": 0.2,
        "oneZone": False,
        "scatter": False,
        "loaned": True,
        "guessS": 4.0,
        "snapshotS": 0.0,
        "stashS": 0.0,
    }
    await request("POST", "/submissions", json.dumps(job).encode())
    say(f"{JOB} is submitted: 4 tasks of 2 CPUs for the team {team}. Why does it wait?")
    deadline = lab.clock.now() + TIMEOUT_S
    while "no_capacity" not in {r.code for g in (await why()).groups for r in g.reasons}:
        if lab.clock.now() > deadline:
            raise LabError(
                f"the explanation does not mention the lack of capacity: {why_text(await why())}"
            )
        await asyncio.sleep(0.3)
    say(why_text(await why()))
    say("The cloud has capacity again.")
    injector.revert_all()
    await until_phase("running")
    say("The job runs. All three controllers are killed at once.")
    injector.apply(Fault("kill", "all"))
    await until_phase("done")
    say(f"The job is done: {json.dumps(await status())}")
    violations = lab.violations()
    if violations:
        raise LabError("; ".join(map(str, violations)))
    say("No rule was violated.")
