"""Requests between controllers."""

from __future__ import annotations

import asyncio
import logging

import msgspec

from badgerseam.fleet.manager import Returns
from badgerseam.http.client import Client, NoResponse
from badgerseam.http.server import Reply, error_reply
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.store.client import StateClient
from badgerseam.wire import peers as wire

log = logging.getLogger("badgerseam.cluster")

STALE_S = 3.0
"""Without an answer of the state service for so long, something is wrong."""
HEALTH_S = 0.7


class Peers:
    """Both ends of what controllers ask of each other."""

    def __init__(self, model: Model, http: Client, returns: Returns, state: StateClient) -> None:
        settings = model.settings
        self._state = state
        self._served: str | None = None
        self._served_at = -1e9
        self._model = model
        self._http = http
        self._returns = returns
        self._node = settings.node
        self._addresses = {sibling.node: sibling.peer_addr for sibling in settings.siblings}

    async def handle(self, method: str, path: str, body: bytes) -> Reply:
        """A sibling's request."""
        if path == "/health" and method == "GET":
            return Reply(200, wire.encode(wire.Health(self._state_age_s())))
        if path != "/give" or method != "POST":
            return error_reply(404, "no such path")
        try:
            give = wire.give_decoder.decode(body)
        except msgspec.DecodeError:
            return error_reply(400, "not a request to give")
        if not -1 <= give.share < len(self._model.shares):
            return error_reply(400, "no such share")
        with self._model.lock:
            found = [self._model.machine(name) for name in give.machines]
        by_share: dict[int, list[Machine]] = {}
        for machine in found:
            if machine is not None:
                by_share.setdefault(machine.share, []).append(machine)
        done: set[str] = set()
        for machines in by_share.values():
            done |= await self._returns.give(machines, give.share, give.vacate)
        return Reply(200, wire.encode(wire.Given(sorted(done))))

    def _state_age_s(self) -> float:
        return self._model.clock.now() - self._state.confirmed_at

    def alone(self) -> str | None:
        """The sibling that the state service serves while it does not serve us, if there is one."""
        recent = self._model.clock.now() - self._served_at < 3 * HEALTH_S
        return self._served if recent and self._state_age_s() > STALE_S else None

    async def keep_health(self) -> None:
        """While the state service does not answer us, ask the siblings whether it answers them."""
        while True:
            await asyncio.sleep(HEALTH_S)
            if self._state_age_s() > STALE_S / 2:
                await asyncio.gather(*(self._ask_health(*item) for item in self._addresses.items()))

    async def _ask_health(self, node: str, address: str) -> None:
        try:
            response = await self._http.request(address, "GET", "/health", None, HEALTH_S)
            health = wire.health_decoder.decode(response.body)
        except (NoResponse, msgspec.DecodeError):
            return
        if response.status == 200 and health.state_age_s < STALE_S / 2:
            self._served, self._served_at = node, self._model.clock.now()

    async def give(self, machines: list[Machine], share: int, vacate: bool = False) -> set[str]:
        """Have the owner of machines, all of one share, pass them on."""
        held = self._model.shares[machines[0].share].held
        if held is None:
            return set()
        if held.claim.node == self._node:
            return await self._returns.give(machines, share, vacate)
        address = self._addresses.get(held.claim.node)
        if address is None:
            return set()
        give = wire.Give([machine.name for machine in machines], share, vacate)
        try:
            response = await self._http.request(address, "POST", "/give", wire.encode(give), 3.0)
            if response.status != 200:
                return set()
            return set(wire.given_decoder.decode(response.body).done)
        except (NoResponse, msgspec.DecodeError) as error:
            log.debug("%s: no answer to a request to give: %s", held.claim.node, error)
            return set()
