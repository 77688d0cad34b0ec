"""Sends and answers requests between controllers."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

import msgspec

from badgerseam.fleet.machine_transfer import MachineTransfer
from badgerseam.http.client import ConnectionRefusedByPeerError, HttpClient, NoResponseError
from badgerseam.http.server import Reply, error_reply
from badgerseam.model.keys import LEADER_KEY, claim_key
from badgerseam.model.machine import Machine
from badgerseam.model.model import Model
from badgerseam.store.client import StateClient
from badgerseam.store.write_rate import WriteRateAllocator
from badgerseam.wire import explain, rollout
from badgerseam.wire import peers as wire
from badgerseam.wire.explain import CloudView

log = logging.getLogger("badgerseam.cluster")

MAX_STATE_AGE_S = 3.0
"""Seconds without a response of the state service after which it counts as unreachable."""
HEALTH_INTERVAL_S = 1.0
"""Seconds between rounds of health checks, and the deadline of each check."""
MAX_UNANSWERED = 3
"""Requests without a response after which a peer counts as unreachable."""
MAX_UNANSWERED_ROUNDS = 4
"""Consecutive rounds of health checks, one second each, without any response, after which this
controller counts as isolated. Rounds are counted, as unanswered requests are, rather than seconds;
together they take longer than a request to the state service may wait."""
TAKEOVER_DEADLINE_S = 1.5
"""Deadline, in seconds, for a peer to take over a claim, which takes it one or two writes."""
TRANSFER_DEADLINE_S = 3.0
LEADER_DEADLINE_S = 0.5
"""Deadline, in seconds, for the leader to return its view of the cloud; short because a user waits
for the response."""

LocalAnswers = Callable[[int, list[str]], Awaitable[list[explain.Explanation] | None]]
"""Explains why jobs of a shard wait; returns None if this controller does not plan the shard."""


class Peers:
    """Client and server of the requests between controllers."""

    def __init__(
        self,
        model: Model,
        http: HttpClient,
        machine_transfer: MachineTransfer,
        state: StateClient,
        write_rate: WriteRateAllocator,
    ) -> None:
        settings = model.settings
        self._state = state
        self._write_rate = write_rate
        self._explain_shard: LocalAnswers | None = None
        self._cloud_view: Callable[[], CloudView | None] = lambda: None
        self._take_over: Callable[[str, int], Awaitable[bool]] | None = None
        self.standby: Callable[[str, bytes], Awaitable[Reply]] | None = None
        """Handles the peers' standby requests; None unless the standby is enabled."""
        self._peer_with_state: str | None = None
        self._peer_with_state_at = -1e9
        self._model = model
        self._http = http
        self._machine_transfer = machine_transfer
        self._node = settings.node
        self._unanswered = {sibling.node: 0 for sibling in settings.siblings}
        """For each peer, the requests without a response, less those answered since."""
        self._unanswered_rounds = 0
        """Consecutive rounds without a response from the state service or any peer."""
        self._addresses = {sibling.node: sibling.peer_addr for sibling in settings.siblings}

    async def handle(self, method: str, path: str, body: bytes) -> Reply:
        """Answers a peer's request."""
        if method == "GET":
            return self._answer_get(path)
        if method != "POST":
            return error_reply(404, "no such path")
        if path == "/why":
            return await self._answer_explain(body)
        if path == "/take":
            return await self._answer_takeover(body)
        if path == "/give":
            return await self._answer_transfer(body)
        if path.startswith("/standby/") and self.standby is not None:
            return await self.standby(path, body)
        return error_reply(404, "no such path")

    def _answer_get(self, path: str) -> Reply:
        if path == "/health":
            demand = min(self._write_rate.demand, 1.0 + len(self._addresses))
            return Reply(200, wire.encode(wire.Health(self._state_age_s(), round(demand, 3))))
        if path == "/cloud":
            view = self._cloud_view()
            if view is None:
                return error_reply(421, "not the leader")
            return Reply(200, explain.encode(view))
        return error_reply(404, "no such path")

    # ---- takeovers ----

    def set_takeover_handler(self, take_over: Callable[[str, int], Awaitable[bool]]) -> None:
        """Sets the handler for claims that peers hand over: `take_over` gets the key and the
        version, and returns whether the new claim is known to be durable."""
        self._take_over = take_over

    async def _answer_takeover(self, body: bytes) -> Reply:
        try:
            request = rollout.takeover_decoder.decode(body)
        except msgspec.DecodeError:
            return error_reply(400, "not a request to take")
        claim_keys = {LEADER_KEY, *(claim_key(shard.index) for shard in self._model.shards)}
        if request.key not in claim_keys or request.version < 1:
            return error_reply(400, "no such claim")
        if self._take_over is None or not await self._take_over(request.key, request.version):
            return error_reply(409, "not taken")
        return Reply(200)

    async def request_takeover(self, node: str, key: str, version: int) -> bool | None:
        """Asks a peer to take over a claim of this controller.

        Returns whether the peer says that it has done so; None if it cannot be asked, for example
        because its program version lacks such requests. Without a response the claim may have been
        taken over all the same, which the replica shows later.
        """
        address = self._addresses.get(node)
        if address is None:
            return None
        body = rollout.encode(rollout.TakeoverRequest(key, version))
        try:
            response = await self._http.request(address, "POST", "/take", body, TAKEOVER_DEADLINE_S)
        except NoResponseError as error:
            log.debug("takeover not answered controller=%s key=%s error=%s", node, key, error)
            return None
        return {200: True, 409: False}.get(response.status)

    # ---- why a job waits ----

    def set_explain_handlers(
        self, local: LocalAnswers, view: Callable[[], CloudView | None]
    ) -> None:
        """Sets the handlers for peers' requests to explain waiting jobs and to return the view of
        the cloud."""
        self._explain_shard = local
        self._cloud_view = view

    async def _answer_explain(self, body: bytes) -> Reply:
        if self._explain_shard is None:
            return error_reply(404, "explanations are switched off")
        try:
            question = explain.question_decoder.decode(body)
        except msgspec.DecodeError:
            return error_reply(400, "not a question")
        if not 0 <= question.shard < len(self._model.shards):
            return error_reply(400, "no such share")
        answers = await self._explain_shard(question.shard, question.jobs)
        if answers is None:
            return error_reply(421, "not the owner")
        return Reply(200, explain.encode(explain.Answers(answers)))

    async def ask_owner(
        self, node: str, question: explain.Question, deadline_s: float
    ) -> list[explain.Explanation] | None:
        """Returns another controller's explanations; None if it does not respond in time."""
        body = explain.encode(question)
        response = await self._request(node, "POST", "/why", body, deadline_s)
        try:
            return None if response is None else explain.answers_decoder.decode(response).answers
        except msgspec.DecodeError as error:
            # The peer may run another program version during a rolling update.
            log.debug("response not decoded controller=%s path=/why error=%s", node, error)
            return None

    async def ask_leader(self) -> CloudView | None:
        """Returns the leader's view of the cloud; None if it cannot be asked."""
        view = self._cloud_view()
        leader = self._model.leader_claim
        if view is not None or leader is None or leader.record.node == self._node:
            return view
        response = await self._request(leader.record.node, "GET", "/cloud", None, LEADER_DEADLINE_S)
        try:
            return None if response is None else explain.cloud_view_decoder.decode(response)
        except msgspec.DecodeError as error:
            log.debug(
                "response not decoded controller=%s path=/cloud error=%s", leader.record.node, error
            )
            return None

    async def _request(
        self, node: str, method: str, path: str, body: bytes | None, deadline_s: float
    ) -> bytes | None:
        address = self._addresses.get(node)
        if address is None:
            return None
        try:
            response = await self._http.request(address, method, path, body, deadline_s)
        except NoResponseError as error:
            log.debug("request not answered controller=%s path=%s error=%s", node, path, error)
            return None
        return response.body if response.status == 200 else None

    async def ask_standby(self, node: str, path: str, body: bytes, deadline_s: float) -> bytes:
        """Returns the body of a peer's response to a standby request; raises NoResponseError, or
        the subclass for the kind of failure, if there is none."""
        response = await self._http.request(self._addresses[node], "POST", path, body, deadline_s)
        if response.status != 200:
            raise NoResponseError(f"{node}{path}: {response.status}")
        return response.body

    # ---- health ----

    def _state_age_s(self) -> float:
        return self._model.clock.now() - self._state.confirmed_at

    def peer_with_state_service(self) -> str | None:
        """Returns a peer that reaches the state service while this controller does not, or None."""
        recent = self._model.clock.now() - self._peer_with_state_at < 3 * HEALTH_INTERVAL_S
        return self._peer_with_state if recent and self._state_age_s() > MAX_STATE_AGE_S else None

    def is_unreachable(self, node: str) -> bool:
        """Whether a peer has left several requests unanswered. A peer that responds again must
        respond about as many times before it counts as reachable. Requests are counted rather than
        seconds because a process that was suspended has sent none in the meantime."""
        return self._unanswered.get(node, 0) >= MAX_UNANSWERED

    @property
    def is_isolated(self) -> bool:
        """Whether neither the state service nor any peer has sent a response for a while, not even
        an error. In an outage the state service still answers 503, so the fault lies with this
        controller. This does not tell whether another controller acts for its shards."""
        return self._unanswered_rounds >= MAX_UNANSWERED_ROUNDS

    async def run_health_checks(self) -> None:
        """Checks repeatedly whether the peers respond, and whether they reach the state service,
        until cancelled."""
        while True:
            responses = self._state.responses
            checks = [self._check_health(*item) for item in self._addresses.items()]
            answers = await asyncio.gather(*checks, _false_after(HEALTH_INTERVAL_S))
            is_answered = any(answers) or self._state.responses > responses
            # A controller without peers never counts as isolated: no other one could serve its
            # users.
            self._unanswered_rounds = (
                0 if is_answered or not self._addresses else self._unanswered_rounds + 1
            )

    async def _check_health(self, node: str, address: str) -> bool:
        """Checks a peer's health; returns whether it has responded."""
        try:
            response = await self._http.request(address, "GET", "/health", None, HEALTH_INTERVAL_S)
            health = wire.health_decoder.decode(response.body)
        except ConnectionRefusedByPeerError:
            # Either its process is restarting, or a packet filter rejects connections between the
            # two controllers: workers can still reach the peer, or soon can again.
            self._unanswered[node] = max(self._unanswered[node] - 1, 0)
            return False
        except (NoResponseError, msgspec.DecodeError):
            self._unanswered[node] = min(self._unanswered[node] + 1, 2 * MAX_UNANSWERED)
            return False
        self._unanswered[node] = max(self._unanswered[node] - 1, 0)
        self._write_rate.on_peer_demand(node, health.write_demand)
        if response.status == 200 and health.state_age_s < MAX_STATE_AGE_S / 2:
            self._peer_with_state, self._peer_with_state_at = node, self._model.clock.now()
        return True

    # ---- transfers of machines ----

    async def _answer_transfer(self, body: bytes) -> Reply:
        try:
            request = wire.transfer_request_decoder.decode(body)
        except msgspec.DecodeError:
            return error_reply(400, "not a request to give")
        if not -1 <= request.shard < len(self._model.shards):
            return error_reply(400, "no such share")
        with self._model.lock:
            found = [self._model.machine(name) for name in request.machines]
        by_shard: dict[int, list[Machine]] = {}
        for machine in found:
            if machine is not None:
                by_shard.setdefault(machine.shard, []).append(machine)
        transferred: set[str] = set()
        for machines in by_shard.values():
            transferred |= await self._machine_transfer.transfer(
                machines, request.shard, request.evacuate
            )
        return Reply(200, wire.encode(wire.TransferResponse(sorted(transferred))))

    async def transfer_machines(
        self, machines: list[Machine], shard: int, evacuate: bool = False
    ) -> set[str]:
        """Has the owner of the machines, which are all of one shard, transfer them to another
        shard; returns the names of the machines that it has transferred."""
        claim = self._model.shards[machines[0].shard].claim
        if claim is None:
            return set()
        owner = claim.record.node
        if owner == self._node:
            return await self._machine_transfer.transfer(machines, shard, evacuate)
        names = [machine.name for machine in machines]
        body = wire.encode(wire.TransferRequest(names, shard, evacuate))
        response = await self._request(owner, "POST", "/give", body, TRANSFER_DEADLINE_S)
        if response is None:
            return set()
        try:
            return set(wire.transfer_response_decoder.decode(response).transferred)
        except msgspec.DecodeError as error:
            log.debug("response not decoded controller=%s path=/give error=%s", owner, error)
            return set()


async def _false_after(seconds: float) -> bool:
    await asyncio.sleep(seconds)
    return False
