"""The load balancer of a lab: one address for users, whose requests and answers it records.

It chooses a healthy controller for each request (production load balancers do so for each
connection). It also keeps the submitted jobs: workers fetch the jobs' descriptions from it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec

from badgerseam.http.client import NoResponseError, NotSentError
from badgerseam.http.network import SOCKETS, Network
from badgerseam.http.server import HttpServer, Reply, error_reply
from badgerseam.lab.history import CLIENT_TIMEOUTS_S, TIME_DECIMAL_PLACES, History
from badgerseam.lab.worker import Description
from badgerseam.model.resources import Resources
from badgerseam.wire import users as wire

PROBE_S = 1.0
MAX_ATTEMPTS = 3
RESPONSE_S = 6.0
FINAL_STATUSES = (200, 201, 400, 404, 422)
"""Statuses after which a user does not repeat a request."""


@dataclass(slots=True)
class TrueBehaviour:
    """What a job really does, as opposed to what its user submitted."""

    run_s: float | None = None
    """Real run time in seconds; None: as long as the user estimated."""
    broken: bool = False


class LoadBalancer:
    """Forwards users' requests, and records the requests and their answers."""

    def __init__(self, nodes: dict[str, str], history: History, network: Network = SOCKETS) -> None:
        self._network = network
        self._nodes = nodes
        self._history = history
        self._http = network.client(connect_s=0.5, max_idle=256)
        self._failures = dict.fromkeys(nodes, 2)
        self._turn = 0
        self._specs: dict[str, wire.Submission] = {}
        self.true_behaviours: dict[str, TrueBehaviour] = {}
        self.phases: dict[str, str] = {}
        """The phase of each job in its latest answer."""
        self.on_answer: Callable[[str, int, str], None] | None = None
        """Called with job, status and phase of each answer after it was added to the history."""
        self._server: HttpServer | None = None
        self._probes: asyncio.Task[None] | None = None

    def start(self, port: int) -> None:
        """Starts to serve users at a loopback port, and to probe the controllers."""
        self._server = self._network.server(self.handle)
        self._server.listen(f"127.0.0.1:{port}")
        self._probes = asyncio.ensure_future(self._probe())

    def stop(self) -> None:
        """Stops serving and probing."""
        if self._server is not None:
            self._server.stop()
        if self._probes is not None:
            self._probes.cancel()

    @property
    def healthy(self) -> list[str]:
        """The controllers that take requests."""
        return [node for node, failures in self._failures.items() if failures < 2]

    async def _probe(self) -> None:
        async def probe(node: str, address: str) -> None:
            try:
                ok = (await self._http.request(address, "GET", "/ready", None, 1.0)).status == 200
            except NoResponseError:
                ok = False
            self._failures[node] = 0 if ok else self._failures[node] + 1

        while True:
            await asyncio.gather(*(probe(*item) for item in self._nodes.items()))
            await asyncio.sleep(PROBE_S)

    # ---- jobs ----

    def spec(self, job: str) -> wire.Submission | None:
        """Returns the first submission with a job's id; None if there is none."""
        return self._specs.get(job)

    def specs(self) -> Iterable[wire.Submission]:
        """Returns the first submission of each job."""
        return self._specs.values()

    def describe(self, task: str) -> Description | None:
        """Returns the description of a task's job for a worker; None if there is no such job."""
        spec = self._specs.get(task.partition("/")[0])
        if spec is None:
            return None
        behaviour = self.true_behaviours.get(spec.id) or TrueBehaviour()
        run_s = spec.estimate_s if behaviour.run_s is None else behaviour.run_s
        return Description(
            Resources(spec.cpus, spec.gpus, spec.memory_gb),
            spec.image,
            spec.image_gb,
            float("inf") if spec.kind == "standing" else run_s,
            spec.checkpoint_s,
            spec.save_s,
            behaviour.broken,
        )

    # ---- requests ----

    async def ask(
        self, method: str, uri: str, body: bytes = b"", names: list[str] | None = None
    ) -> Reply:
        """Sends a request as a user with a timeout; returns status 0 if there is no answer in time.

        After a timeout the request continues, and its answer is still recorded.
        """
        request = asyncio.ensure_future(self.handle(method, uri, body, names))
        try:
            async with asyncio.timeout(CLIENT_TIMEOUTS_S["poll" if method == "GET" else "submit"]):
                return await asyncio.shield(request)
        except (TimeoutError, NoResponseError):
            return Reply(0)

    async def handle(
        self, method: str, uri: str, body: bytes, names: list[str] | None = None
    ) -> Reply:
        """Forwards a user's request to the controllers named, or to the healthy ones."""
        path = uri.partition("?")[0]
        if path == "/ready":
            return Reply(200) if self.healthy else error_reply(503, "no node is ready", 1)
        about, job = self._record_request(method, path, body)
        asked = self._history.now()
        reply = await self._forward(method, uri, body, names or self.healthy or sorted(self._nodes))
        if about:
            phase = ""
            if reply.status in (200, 201):
                phase = str(msgspec.json.decode(reply.body).get("phase", ""))
                self.phases[job] = phase
            self._history.add(
                "answer",
                job=job,
                about=about,
                status=reply.status,
                phase=phase,
                asked=round(asked, TIME_DECIMAL_PLACES),
            )
            if self.on_answer is not None:
                self.on_answer(job, reply.status, phase)
        return reply

    def _record_request(self, method: str, path: str, body: bytes) -> tuple[str, str]:
        """Records a request; returns its kind and its job.

        Both are empty if the rules for users' requests do not cover the request.
        """
        if path == "/submissions" and method == "POST":
            try:
                spec = wire.submission_decoder.decode(body)
            except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
                return "malformed", _id_in_malformed(body)
            self._specs.setdefault(spec.id, spec)
            self._history.add("submit", job=spec.id, spec=msgspec.to_builtins(spec))
            return "submit", spec.id
        parts = path.strip("/").split("/")
        if parts[0] != "submissions" or len(parts) < 2:
            return "", ""
        if len(parts) == 2 and method == "GET":
            return "poll", parts[1]
        if (
            parts[2:] == ["terms"]
            and method == "POST"
            and b'"hold":false' in body.replace(b" ", b"")
        ):
            self._history.add("release", job=parts[1])
        if parts[2:] == ["abort"] and method == "POST":
            self._history.add("abort", job=parts[1])
            return "abort", parts[1]
        return "", ""

    async def _forward(self, method: str, uri: str, body: bytes, names: list[str]) -> Reply:
        for _ in range(min(MAX_ATTEMPTS, len(names))):
            node = names[self._turn % len(names)]
            self._turn += 1
            try:
                response = await self._http.request(
                    self._nodes[node], method, uri, body or None, RESPONSE_S
                )
            except NotSentError:
                continue
            except NoResponseError:
                # It is not sent to another controller, because it may have been executed.
                return error_reply(504, "no answer", 1)
            retry = response.retry_after
            after = int(retry) if retry is not None and retry.isdecimal() else None
            return Reply(response.status, response.body, after)
        return error_reply(503, "no node takes the request", 1)


def _id_in_malformed(body: bytes) -> str:
    """Returns the id in a malformed submission; empty if there is none."""
    try:
        return str(msgspec.json.decode(body, type=dict[str, object]).get("id", ""))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return ""
