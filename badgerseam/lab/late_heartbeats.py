"""Copies of heartbeats that any controller receives late, even if their machine is gone."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from badgerseam.background import BackgroundTasks
from badgerseam.http.client import NoResponseError
from badgerseam.http.network import SOCKETS, Network
from badgerseam.lab.delays import log_uniform
from badgerseam.lab.links import Links
from badgerseam.lab.next_leader_heartbeats import NextLeaderHeartbeats

MIN_DELAY_S = 1.0
MAX_DELAY_LEASES = 3.0
"""Maximum delay of a copy, in worker leases."""
RESPONSE_S = 4.0


class LateHeartbeats:
    """Delivers copies of some heartbeats late, also after the machine that sent them is gone."""

    def __init__(
        self,
        links: Links,
        random: Random,
        nodes: dict[str, str],
        lease_s: float,
        network: Network = SOCKETS,
        leader_claim: Callable[[], int] = lambda: 0,
    ) -> None:
        """`nodes`: addresses of controllers by name. `leader_claim`: the revision of the leader's
        claim; 0 while there is none."""
        self._links = links
        self._random = random
        self._nodes = nodes
        self._max_delay_s = MAX_DELAY_LEASES * lease_s
        self._http = network.client(max_idle=8)
        self._tasks = BackgroundTasks()
        self._next_leader = NextLeaderHeartbeats(random, sorted(nodes), leader_claim, self._deliver)
        self.fraction = 0.0
        """Fraction of the heartbeats that are copied, from 0 to 1."""
        self.for_next_leader = False
        """Whether copies are kept until a new leader takes its claim."""
        self.delivered = 0
        """Number of copies that a controller has answered."""

    @property
    def in_flight(self) -> int:
        """Number of copies that are kept or on their way."""
        return len(self._tasks) + self._next_leader.in_flight

    def stop_copying(self) -> None:
        """Copies no more heartbeats.

        Copies kept for the next leader are dropped after the maximum delay.
        """
        self.fraction = 0.0
        self.for_next_leader = False
        self._next_leader.drop_after(self._max_delay_s)

    def on_heartbeat_sent(self, body: bytes) -> None:
        """Called when a machine sends a heartbeat; copies it at random."""
        if self._random.random() >= self.fraction:
            return
        if self.for_next_leader:
            self._next_leader.keep(body)
        else:
            # Delays of a few seconds, within the lease, are as likely as those of several leases.
            delay_s = log_uniform(self._random, MIN_DELAY_S, self._max_delay_s)
            node = self._random.choice(sorted(self._nodes))
            self._tasks.spawn(self._deliver_late(node, body, delay_s))

    async def _deliver_late(self, node: str, body: bytes, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        await self._deliver(node, body)

    async def _deliver(self, node: str, body: bytes) -> None:
        await self._links.wait_while_broken("workers", node)
        try:
            # The response is ignored, because the machine that sent the heartbeat may be gone.
            await self._http.request(self._nodes[node], "POST", "/checkin", body, RESPONSE_S)
        except NoResponseError:
            return
        self.delivered += 1

    def stop(self) -> None:
        """Cancels the delivery of all copies."""
        self._next_leader.stop()
        self._tasks.cancel_all()
