"""Requests between controllers."""

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

STALE_S = 3.0
"""Without an answer of the state service for so long, something is wrong."""
HEALTH_S = 1.0
UNREACHABLE_AFTER = 3
"""Requests without an answer after which a sibling counts as out of reach."""
ISOLATED_AFTER = 4
"""Rounds of asking, a second each, in which nobody has answered anything, after which we are cut
off. Counted, like what is missed, and above what a request to the state service may wait for."""
TAKE_S = 1.5
"""What a sibling gets to take a claim over: a write or two."""
LEADER_S = 0.5
"""What the leader gets to say what it knows of the cloud: a user waits for the answer."""

LocalAnswers = Callable[[int, list[str]], Awaitable[list[explain.Why] | None]]
"""Answers about jobs of a share; None if this controller does not plan for it."""


class Peers:
    """Both ends of what controllers ask of each other."""

    def __init__(
        self,
        model: Model,
        http: HttpClient,
        returns: MachineTransfer,
        state: StateClient,
        allotment: WriteRateAllocator,
    ) -> None:
        settings = model.settings
        self._state = state
        self._allotment = allotment
        self._local: LocalAnswers | None = None
        self._view: Callable[[], CloudView | None] = lambda: None
        self._take: Callable[[str, int], Awaitable[bool]] | None = None
        self.standby: Callable[[str, bytes], Awaitable[Reply]] | None = None
        """Answers siblings that stand by for us, where that is switched on."""
        self._served: str | None = None
        self._served_at = -1e9
        self._model = model
        self._http = http
        self._returns = returns
        self._node = settings.node
        self._unanswered = {sibling.node: 0 for sibling in settings.siblings}
        """Requests without an answer, less those answered since."""
        self._rounds = 0
        """In a row, without a word of the state service or of a sibling."""
        self._addresses = {sibling.node: sibling.peer_addr for sibling in settings.siblings}

    async def handle(self, method: str, path: str, body: bytes) -> Reply:
        """A sibling's request."""
        if path == "/health" and method == "GET":
            need = min(self._allotment.demand, 1.0 + len(self._addresses))
            return Reply(200, wire.encode(wire.Health(self._state_age_s(), round(need, 3))))
        if path == "/cloud" and method == "GET":
            view = self._view()
            return (
                error_reply(421, "not the leader")
                if view is None
                else Reply(200, explain.encode(view))
            )
        if path == "/why" and method == "POST":
            return await self._why(body)
        if path == "/take" and method == "POST":
            return await self._take_over(body)
        if path.startswith("/standby/") and method == "POST" and self.standby is not None:
            return await self.standby(path, body)
        if path != "/give" or method != "POST":
            return error_reply(404, "no such path")
        try:
            give = wire.transfer_request_decoder.decode(body)
        except msgspec.DecodeError:
            return error_reply(400, "not a request to give")
        if not -1 <= give.shard < len(self._model.shards):
            return error_reply(400, "no such share")
        with self._model.lock:
            found = [self._model.machine(name) for name in give.machines]
        by_shard: dict[int, list[Machine]] = {}
        for machine in found:
            if machine is not None:
                by_shard.setdefault(machine.shard, []).append(machine)
        done: set[str] = set()
        for machines in by_shard.values():
            done |= await self._returns.transfer(machines, give.shard, give.evacuate)
        return Reply(200, wire.encode(wire.TransferResponse(sorted(done))))

    # ---- a sibling that leaves ----

    def accept_takeovers_with(self, take: Callable[[str, int], Awaitable[bool]]) -> None:
        """Take claims over that siblings want to pass on, from now on."""
        self._take = take

    async def _take_over(self, body: bytes) -> Reply:
        try:
            asked = rollout.takeover_decoder.decode(body)
        except msgspec.DecodeError:
            return error_reply(400, "not a request to take")
        known = {LEADER_KEY, *(claim_key(shard.index) for shard in self._model.shards)}
        if asked.key not in known or asked.version < 1:
            return error_reply(400, "no such claim")
        if self._take is None or not await self._take(asked.key, asked.version):
            return error_reply(409, "not taken")
        return Reply(200)

    async def request_takeover(self, node: str, key: str, version: int) -> bool | None:
        """Have a sibling take a claim of ours over; whether it says that it has, None if it cannot
        be asked (it may be a program from before such requests). No answer is no proof of the
        contrary: the replica tells."""
        address = self._addresses.get(node)
        if address is None:
            return None
        body = rollout.encode(rollout.TakeoverRequest(key, version))
        try:
            response = await self._http.request(address, "POST", "/take", body, TAKE_S)
        except NoResponseError as error:
            log.debug("%s: no answer to a request to take %s: %s", node, key, error)
            return None
        return {200: True, 409: False}.get(response.status)

    # ---- why a job waits ----

    def answer_questions_with(
        self, local: LocalAnswers, view: Callable[[], CloudView | None]
    ) -> None:
        """Answer siblings' questions from now on."""
        self._local = local
        self._view = view

    async def _why(self, body: bytes) -> Reply:
        if self._local is None:
            return error_reply(404, "explanations are switched off")
        try:
            question = explain.question_decoder.decode(body)
        except msgspec.DecodeError:
            return error_reply(400, "not a question")
        if not 0 <= question.shard < len(self._model.shards):
            return error_reply(400, "no such share")
        answers = await self._local(question.shard, question.jobs)
        if answers is None:
            return error_reply(421, "not the owner")
        return Reply(200, explain.encode(explain.Answers(answers)))

    async def ask_owner(
        self, node: str, question: explain.Question, deadline_s: float
    ) -> list[explain.Why] | None:
        """Another controller's answers; None if there are none in time."""
        body = explain.encode(question)
        reply = await self._ask(node, "POST", "/why", body, deadline_s)
        try:
            return None if reply is None else explain.answers_decoder.decode(reply).answers
        except msgspec.DecodeError as error:
            # Another version, while controllers are being replaced one by one.
            log.debug("%s: not an answer: %s", node, error)
            return None

    async def ask_leader(self) -> CloudView | None:
        """The leader's view of the cloud; None if it cannot be asked."""
        view = self._view()
        leader = self._model.leader_claim
        if view is not None or leader is None or leader.record.node == self._node:
            return view
        reply = await self._ask(leader.record.node, "GET", "/cloud", None, LEADER_S)
        try:
            return None if reply is None else explain.cloud_view_decoder.decode(reply)
        except msgspec.DecodeError as error:
            log.debug("%s: not a view of the cloud: %s", leader.record.node, error)
            return None

    async def _ask(
        self, node: str, method: str, path: str, body: bytes | None, deadline_s: float
    ) -> bytes | None:
        address = self._addresses.get(node)
        if address is None:
            return None
        try:
            response = await self._http.request(address, method, path, body, deadline_s)
        except NoResponseError as error:
            log.debug("%s: no answer to %s: %s", node, path, error)
            return None
        return response.body if response.status == 200 else None

    async def ask_standby(self, node: str, path: str, body: bytes, deadline_s: float) -> bytes:
        """The body of a sibling's answer; NoResponse, and of which kind, if there is none."""
        response = await self._http.request(self._addresses[node], "POST", path, body, deadline_s)
        if response.status != 200:
            raise NoResponseError(f"{node}{path}: {response.status}")
        return response.body

    # ---- health ----

    def _state_age_s(self) -> float:
        return self._model.clock.now() - self._state.confirmed_at

    def peer_with_state_service(self) -> str | None:
        """The sibling that the state service serves while it does not serve us, if there is one."""
        recent = self._model.clock.now() - self._served_at < 3 * HEALTH_S
        return self._served if recent and self._state_age_s() > STALE_S else None

    def is_unreachable(self, node: str) -> bool:
        """Whether a sibling has not answered us for a while; one that answers again has to do so
        as often. Counted, not timed: a process that stood still has asked nobody."""
        return self._unanswered.get(node, 0) >= UNREACHABLE_AFTER

    @property
    def is_isolated(self) -> bool:
        """Whether neither the state service nor a sibling has answered us for a while, not even to
        refuse: in an outage the state service answers 503, so that this lies with us. It does not
        tell whether anybody acts for our shares."""
        return self._rounds >= ISOLATED_AFTER

    async def keep_health(self) -> None:
        """Ask the siblings whether they are there, and whether the state service answers them."""
        while True:
            responses = self._state.responses
            asked = [self._ask_health(*item) for item in self._addresses.items()]
            answers = await asyncio.gather(*asked, _unanswered_for(HEALTH_S))
            heard = any(answers) or self._state.responses > responses
            # A controller without siblings has nobody who would serve its users instead.
            self._rounds = 0 if heard or not self._addresses else self._rounds + 1

    async def _ask_health(self, node: str, address: str) -> bool:
        """Whether it has answered."""
        try:
            response = await self._http.request(address, "GET", "/health", None, HEALTH_S)
            health = wire.health_decoder.decode(response.body)
        except ConnectionRefusedByPeerError:
            # Its process is gone for a moment, or a filter lies between the two of us: workers can
            # reach it as before, or soon again.
            self._unanswered[node] = max(self._unanswered[node] - 1, 0)
            return False
        except (NoResponseError, msgspec.DecodeError):
            self._unanswered[node] = min(self._unanswered[node] + 1, 2 * UNREACHABLE_AFTER)
            return False
        self._unanswered[node] = max(self._unanswered[node] - 1, 0)
        self._allotment.on_peer_demand(node, health.write_demand)
        if response.status == 200 and health.state_age_s < STALE_S / 2:
            self._served, self._served_at = node, self._model.clock.now()
        return True

    async def transfer_machines(
        self, machines: list[Machine], shard: int, vacate: bool = False
    ) -> set[str]:
        """Have the owner of machines, all of one share, pass them on."""
        held = self._model.shards[machines[0].shard].claim
        if held is None:
            return set()
        if held.record.node == self._node:
            return await self._returns.transfer(machines, shard, vacate)
        address = self._addresses.get(held.record.node)
        if address is None:
            return set()
        give = wire.TransferRequest([machine.name for machine in machines], shard, vacate)
        try:
            response = await self._http.request(address, "POST", "/give", wire.encode(give), 3.0)
            if response.status != 200:
                return set()
            return set(wire.transfer_response_decoder.decode(response.body).transferred)
        except (NoResponseError, msgspec.DecodeError) as error:
            log.debug("%s: no answer to a request to give: %s", held.record.node, error)
            return set()


async def _unanswered_for(seconds: float) -> bool:
    await asyncio.sleep(seconds)
    return False
