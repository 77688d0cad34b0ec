"""A job is left waiting beside room, after services have come several times as often."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins_2 import ANDINO, QUITO, TROUBLE, CannotRunError, Site, main, make_job  # noqa: E402

WAIT_S = 90.0
PORTALS = 6 if TROUBLE else 2
"""Services that arrive: two, or three times as many."""
TASKS = 2
"""Tasks of the job that waits; with 8 CPUs far within its team's guarantee."""


def has_room(site: Site) -> bool:
    """Whether a machine that the job may use has room for one of its tasks."""
    return any(
        machine.is_up and machine.free()[0] >= 4.0 and machine.free()[1] >= 14.0
        for machine in site.cloud.machines.values()
    )


async def play(site: Site) -> bool:
    """Plays the case; returns whether the rule was broken."""
    for zone in ("pichincha", "azuay"):
        site.cloud.capacity["andino-16", zone, False] = 2
    users = site.users
    portals = [
        make_job(
            f"job-{100 + number:06d}",
            "socios-ops-00",
            jobclass="member-portal",
            shape="standing",
            rank="production",
            pieces=2 if number else 3,
            memGb=15.0,
            bundle="img-portal",
            scatter=True,
            loaned=False,
            guessS=0.0,
        )
        for number in range(PORTALS)
    ]
    for portal in portals:
        await users.submit(portal, 1e9)
        await asyncio.sleep(0.3)
    pieces = sum(int(portal["pieces"]) for portal in portals)
    await site.wait_for(lambda: len(site.running) == pieces, 40, "all portals run")
    site.record.add("all services run: the burst is over, nothing is broken from here on")
    job = make_job("job-000200", "socios-ops-01", pieces=TASKS, guessS=10.0)
    await users.must_submit(job, 10.0)
    site.spawn(users.poll_for_ever(job["id"]))
    waits_from = site.record.now()
    while site.record.now() - waits_from < WAIT_S:
        await asyncio.sleep(0.2)
        if any(piece.startswith(job["id"]) for _, _, piece, _ in site.starts):
            site.record.add("the job has begun")
            return False
        if not has_room(site):
            raise CannotRunError("no machine has room")
    site.record.add(
        f"{job['id']} has waited for {WAIT_S:.0f} s beside room; its team uses "
        f"{site.used_cpus(job['owner']):.0f} of 72 CPUs, 32 are guaranteed"
    )
    return True


if __name__ == "__main__":
    main(FOLDER, play, Site(FOLDER, QUITO, [ANDINO]))
