"""A team passes its limit: the new owner of its work knows nothing of a cancelled job."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins_2 import ANDINO, QUITO, TROUBLE, CannotRunError, Site, main, make_job  # noqa: E402

OLD_JOBS = 1050
"""Jobs that the site knows already: the state service returns 1,000 keys at a time."""
TEAM = "socios-ops-00"
"""The team at its limit. Its work is placed by burrow-0, and by another one while that is away."""
LIMIT = 72.0
NEXT = "burrow-0"
"""The controller that ends and is started again; its share comes back to it."""
FIRST = "job-000001"
"""The job that is cancelled, of 17 tasks of 4 CPUs; with a small job, all of the team's limit."""
BACK_S = 3.5
"""Seconds until the controller is started again: about 3 s."""
SLOW_S = 0.6
"""How long one answer of the state service takes at most: now and then a few hundred ms."""


async def fill(site: Site) -> None:
    """Submits many small jobs of another team, which wait for room."""
    jobs = [
        make_job(f"job-{500000 + number:06d}", "socios-ops-02", loaned=False, sett="manabi")
        for number in range(OLD_JOBS)
    ]
    for first in range(0, OLD_JOBS, 15):
        await asyncio.gather(*(site.users.submit(job, 30.0) for job in jobs[first : first + 15]))
    site.record.add(f"{OLD_JOBS} jobs are known")


def watch_use(site: Site) -> list[float]:
    """Returns a list whose only item is the most that the team has used so far."""
    most = [0.0]

    def on_change() -> None:
        used = site.used_cpus(TEAM)
        if used > most[0]:
            most[0] = used
            site.record.add(f"{TEAM} uses {used:.0f} of {LIMIT:.0f} CPUs")

    site.on_change = on_change
    return most


async def play(site: Site) -> bool:
    """Plays the case; returns whether the rule was broken."""
    for zone in ("pichincha", "azuay"):
        site.cloud.capacity["andino-16", zone, True] = 5
    await fill(site)
    most = watch_use(site)
    warm = make_job("job-300000", TEAM, pieces=18, guessS=3.0)
    await site.users.must_submit(warm, 3.0)
    await site.wait_for(lambda: len(site.done) == 18, 40, "the job before is done")
    await wait_for_owners(site)
    small = make_job("job-400000", TEAM, guessS=100.0)
    first = make_job(FIRST, TEAM, pieces=17, guessS=100.0)
    second = make_job("job-900000", TEAM, pieces=17, guessS=100.0)
    await site.users.must_submit(small, 150.0)
    await site.wait_for(lambda: len(site.running) == 1, 40, "the small job runs")
    if TROUBLE:
        await restart_next(site, first)
    else:
        await site.users.must_submit(first, 150.0)
    await site.wait_for(lambda: len(site.running) == 18, 40, "the first job runs")
    held = Counter(machine for machine, piece, _ in site.running if piece.startswith(FIRST))
    busy = [machine for machine, count in held.items() if count == 4]
    if TROUBLE:
        for name in busy:
            site.cloud.machines[name].hang()
    await site.users.abort(FIRST, "burrow-1")
    await asyncio.sleep(0.5)
    await site.users.must_submit(second, 150.0, "burrow-1")
    await asyncio.sleep(11.0)
    for machine in [site.cloud.machines[name] for name in busy if name in site.cloud.machines]:
        if machine.is_hanging:
            machine.resume()
    await asyncio.sleep(5.0)
    site.record.add(f"at most {most[0]:.0f} CPUs were used")
    return most[0] > LIMIT


async def wait_for_owners(site: Site) -> None:
    """Waits until each share has been with its own controller for three seconds."""
    since = site.record.now()
    while site.record.now() - since < 3.0:
        if any(site.owner(number) != f"burrow-{number}" for number in range(3)):
            since = site.record.now()
        if site.record.now() > 60:
            raise CannotRunError("the shares do not come to rest")
        await asyncio.sleep(0.05)


async def restart_next(site: Site, first: dict[str, object]) -> None:
    """Starts a controller again; while it reads the state, a job is accepted and placed."""
    reads = asyncio.Event()

    async def before(node: str, _method: str, path: str, query: dict[str, str]) -> None:
        if node == NEXT and path == "/keys" and "from" in query and not reads.is_set():
            reads.set()
            began = site.record.now()
            while site.record.now() - began < SLOW_S:
                await asyncio.sleep(0.02)
                if len(site.running) == 18:
                    break
            slow_s = site.record.now() - began
            site.record.add(f"the state service takes {slow_s:.2f} s more to read {query}")

    site.controllers[NEXT].kill()
    await asyncio.sleep(BACK_S)
    site.state.before = before
    site.controllers[NEXT].start()
    await asyncio.wait_for(reads.wait(), 20)
    await site.users.must_submit(first, 150.0, "burrow-1")


if __name__ == "__main__":
    main(FOLDER, play, Site(FOLDER, QUITO, [ANDINO]))
