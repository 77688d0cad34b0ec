"""A job from its submission to its end, with what could go wrong on the way."""

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

PATIENCE_S = 60.0
JOB = "job-900001"


async def demo(lab: Lab, say: Callable[[str], None]) -> None:
    """Play it on a lab that has been started; LabError if anything is not as it should be."""
    http = HttpClient()

    async def ask(method: str, path: str, body: bytes | None = None) -> Response:
        """Repeated until it is answered, as users do."""
        until = lab.clock.now() + PATIENCE_S
        while lab.clock.now() < until:
            try:
                response = await http.request(
                    f"127.0.0.1:{lab.load_balancer_port}", method, path, body, 5.0
                )
                if response.status in (200, 201):
                    return response
            except NoResponseError:
                pass
            await asyncio.sleep(0.3)
        raise LabError(f"{method} {path}: no answer within {PATIENCE_S:.0f} s")

    async def phase() -> dict[str, object]:
        found: dict[str, object] = json.loads((await ask("GET", f"/submissions/{JOB}")).body)
        return found

    async def until_phase(wanted: str) -> None:
        until = lab.clock.now() + PATIENCE_S
        while (answer := await phase())["phase"] != wanted:
            if lab.clock.now() > until:
                raise LabError(f"{JOB} is not {wanted} after {PATIENCE_S:.0f} s: {answer}")
            await asyncio.sleep(0.3)

    async def why() -> explain.Explanation:
        response = await ask("GET", f"/submissions/{JOB}/why")
        return explain.why_decoder.decode(response.body)

    breaker = FaultInjector(lab)
    await lab.wait_until_ready()
    say("The site is up: 3 controllers, no machine yet, and the cloud has none to rent.")
    breaker.apply(Fault("no-capacity"))
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
    await ask("POST", "/submissions", json.dumps(job).encode())
    say(f"{JOB} is submitted: 4 tasks of 2 CPUs for the team {team}. Why does it wait?")
    until = lab.clock.now() + PATIENCE_S
    while "no_capacity" not in {r.code for g in (await why()).groups for r in g.reasons}:
        if lab.clock.now() > until:
            raise LabError(f"the lack of capacity is not named: {why_text(await why())}")
        await asyncio.sleep(0.3)
    say(why_text(await why()))
    say("The cloud has machines again.")
    breaker.revert_all()
    await until_phase("running")
    say("It runs. Now all three controllers are ended at once.")
    breaker.apply(Fault("kill", "all"))
    await until_phase("done")
    say(f"It is done: {json.dumps(await phase())}")
    breaches = lab.violations()
    if breaches:
        raise LabError("; ".join(map(str, breaches)))
    say("No rule was broken.")
