"""Copies of reports that come late, to any controller, whatever became of their machine."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from badgerseam.background import BackgroundTasks
from badgerseam.http.client import NoResponseError
from badgerseam.http.network import SOCKETS, Network
from badgerseam.lab.links import Links
from badgerseam.lab.next_leader_heartbeats import NextLeaderHeartbeats

SOONEST_S = 1.0
LEASES = 3.0
"""The latest copies come after so many leases."""
RESPONSE_S = 4.0


class LateHeartbeats:
    """Keeps copies of some reports under way. They outlive the machine that sent the report."""

    def __init__(
        self,
        links: Links,
        random: Random,
        nodes: dict[str, str],
        lease_s: float,
        network: Network = SOCKETS,
        leader_claim: Callable[[], int] = lambda: 0,
    ) -> None:
        """`nodes`: addresses of controllers by name. `leader_claim`: the stamp of the leader's
        claim, 0 while there is none."""
        self._links = links
        self._random = random
        self._nodes = nodes
        self._latest_s = LEASES * lease_s
        self._http = network.client(max_idle=8)
        self._tasks = BackgroundTasks()
        self._next_leader = NextLeaderHeartbeats(random, sorted(nodes), leader_claim, self._bring)
        self.fraction = 0.0
        """Of the reports that are copied, from 0 to 1."""
        self.for_next_leader = False
        """Copies are kept until the leadership is claimed anew."""
        self.delivered = 0

    @property
    def in_flight(self) -> int:
        """How many have not come yet."""
        return len(self._tasks) + self._next_leader.in_flight

    def end(self) -> None:
        """Copy nothing any more; what is kept for a next leader waits as long as any copy."""
        self.fraction = 0.0
        self.for_next_leader = False
        self._next_leader.end(self._latest_s)

    def report(self, body: bytes) -> None:
        """A machine sends a report."""
        if self._random.random() >= self.fraction:
            return
        if self.for_next_leader:
            self._next_leader.keep(body)
        else:
            # As many within some seconds as between one lease and several.
            delay_s = SOONEST_S * (self._latest_s / SOONEST_S) ** self._random.random()
            node = self._random.choice(sorted(self._nodes))
            self._tasks.spawn(self._deliver(node, body, delay_s))

    async def _deliver(self, node: str, body: bytes, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        await self._bring(node, body)

    async def _bring(self, node: str, body: bytes) -> None:
        await self._links.wait_while_broken("workers", node)
        try:
            # Whatever the answer is, nobody is there to hear it.
            await self._http.request(self._nodes[node], "POST", "/checkin", body, RESPONSE_S)
        except NoResponseError:
            return
        self.delivered += 1

    def stop(self) -> None:
        """Nothing comes any more."""
        self._next_leader.stop()
        self._tasks.cancel_all()
