"""HTTP interfaces of the state service and the cloud, with one address for each controller."""

from __future__ import annotations

import logging
from collections.abc import Callable
from urllib.parse import parse_qsl

import msgspec

from badgerseam.clock import Clock
from badgerseam.http.network import Network
from badgerseam.http.server import Handler, HttpServer, Reply, error_reply
from badgerseam.lab.cloud import CapacityExhaustedError, CloudCore
from badgerseam.lab.errors import RateLimitedError
from badgerseam.lab.links import Links
from badgerseam.lab.state import MalformedRequestError, StateCore
from badgerseam.store.client import ConditionFailedError, LeaseExpiredError, RevisionCompactedError
from badgerseam.wire import cloud as cloud_wire
from badgerseam.wire import state as wire

log = logging.getLogger("badgerseam.lab")

WATCH = "watch"
"""The other end of a controller's link to the state service that carries only its watches."""
MAX_WAIT_S = 60.0
MAX_RELEASED = 100


class _Ttl(msgspec.Struct):
    ttl_ms: float = msgspec.field(name="ttlMs")


class _Write(msgspec.Struct):
    """Like wire.Write, but with a required raw value, because msgspec decodes no optional one."""

    set: str | None = None
    remove: str | None = None
    data: msgspec.Raw = msgspec.Raw(b"null")
    grant: int | None = None


class _Transaction(msgspec.Struct):
    when: list[wire.Condition] = []
    writes: list[_Write] = []


class _Release(msgspec.Struct):
    hosts: list[str]


_transaction_decoder: msgspec.json.Decoder[_Transaction] = msgspec.json.Decoder(_Transaction)
_rent_decoder: msgspec.json.Decoder[cloud_wire.RentalRequest] = msgspec.json.Decoder(
    cloud_wire.RentalRequest
)
_ttl_decoder: msgspec.json.Decoder[_Ttl] = msgspec.json.Decoder(_Ttl)
_release_decoder: msgspec.json.Decoder[_Release] = msgspec.json.Decoder(_Release)


def _number(query: dict[str, str], name: str, default: int) -> int:
    text = query.get(name, str(default))
    if not text.isdecimal():
        raise MalformedRequestError(f"{name}: a number is needed")
    return int(text)


def _json(status: int, value: object) -> Reply:
    return Reply(status, wire.encode(value))


class StateService:
    """The HTTP interface of the state service."""

    def __init__(self, core: StateCore, clock: Clock) -> None:
        self._core = core
        self._clock = clock

    @property
    def down(self) -> bool:
        """Whether there is an outage."""
        return self._core.down

    def set_down(self, down: bool) -> None:
        """Begins or ends an outage: every request gets status 503, open watches stay open."""
        if self.down and not down:
            # After an outage every lease gets its full time to live again.
            self._core.renew_all()
        self._core.down = down

    async def handle(self, method: str, uri: str, body: bytes) -> Reply:
        """Handles one request."""
        if self.down:
            return error_reply(503, "trouble")
        path, _, text = uri.partition("?")
        query = dict(parse_qsl(text, keep_blank_values=True))
        try:
            self._core.admit()
            if path == "/follow" and method == "GET":
                return await self._follow(query)
            return self._route(method, path, query, body)
        except RateLimitedError:
            return error_reply(429, "too many")
        except (msgspec.DecodeError, MalformedRequestError) as error:
            return _json(400, {"error": str(error)})
        except ConditionFailedError as refusal:
            return _json(409, {"failed": refusal.failed, "epoch": self._core.revision})
        except LeaseExpiredError:
            if path == "/txn":
                return error_reply(400, "no such lease")
            return error_reply(404, "no such lease")
        except RevisionCompactedError:
            return error_reply(410, "no longer kept")

    def _route(self, method: str, path: str, query: dict[str, str], body: bytes) -> Reply:
        core = self._core
        if path == "/txn" and method == "POST":
            request = _transaction_decoder.decode(body)
            then = [wire.Write(w.set, w.remove, w.data, w.grant) for w in request.writes]
            return _json(200, {"epoch": core.compare_and_swap(request.when, then)})
        if path == "/keys" and method == "GET":
            limit = _number(query, "limit", 1000)
            return _json(200, core.page(query.get("under", ""), query.get("from", ""), limit))
        if path.startswith("/keys/") and method == "GET":
            entry = core.get(path[len("/keys/") :])
            return _json(404, {"epoch": core.revision}) if entry is None else _json(200, entry)
        if path == "/leases" and method == "POST":
            return _json(200, {"grant": core.grant(_ttl_decoder.decode(body).ttl_ms / 1000)})
        parts = path.strip("/").split("/")
        if parts[0] == "leases" and len(parts) in (2, 3) and parts[1].isdecimal():
            if method == "DELETE" and len(parts) == 2:
                core.revoke(int(parts[1]))
                return Reply(200)
            if method == "POST" and parts[2:] == ["extend"]:
                core.renew(int(parts[1]))
                return Reply(200)
        return error_reply(404, "no such path")

    async def _follow(self, query: dict[str, str]) -> Reply:
        prefix, revision = query.get("under", ""), _number(query, "from", 0)
        wait_s = min(_number(query, "waitMs", 0) / 1000, MAX_WAIT_S)
        until = self._clock.now() + wait_s
        while True:
            if not self.down:
                found = self._core.changes(prefix, revision)
                if found.events or self._clock.now() >= until:
                    return _json(200, found)
            await self._core.wait_for_change(max(0.02, min(until - self._clock.now(), 0.5)))


class CloudService:
    """The HTTP interface of the cloud."""

    def __init__(self, core: CloudCore) -> None:
        self._core = core
        self.down = False
        self.on_rented: Callable[[list[str]], None] = lambda _names: None
        """Called with the names of machines that have just been rented."""

    def handle(self, method: str, uri: str, body: bytes) -> Reply:
        """Handles one request."""
        if self.down:
            return error_reply(503, "trouble")
        path, _, text = uri.partition("?")
        try:
            self._core.admit()
            return self._route(method, path, dict(parse_qsl(text)), body)
        except RateLimitedError:
            return error_reply(429, "too many")
        except CapacityExhaustedError:
            return error_reply(503, "no capacity")
        except (msgspec.DecodeError, MalformedRequestError, ValueError) as error:
            return _json(400, {"error": str(error)})

    def _route(self, method: str, path: str, query: dict[str, str], body: bytes) -> Reply:
        core = self._core
        if path == "/flavors" and method == "GET":
            return Reply(200, cloud_wire.encode(cloud_wire.Types(core.types)))
        if path == "/machines" and method == "GET":
            page = core.page(query.get("from", ""), _number(query, "limit", 500))
            return Reply(200, cloud_wire.encode(page))
        if path == "/machines" and method == "POST":
            names = core.rent(_rent_decoder.decode(body))
            self.on_rented(names)
            return Reply(200, cloud_wire.encode(cloud_wire.MachineNames(names)))
        if path == "/machines/release" and method == "POST":
            names = _release_decoder.decode(body).hosts
            if len(names) > MAX_RELEASED:
                raise MalformedRequestError(f"over {MAX_RELEASED} names")
            core.release(names)
            return Reply(200)
        return error_reply(404, "no such path")


def serve_for(
    links: Links,
    node: str,
    target: str,
    handle: Handler,
    port: int,
    network: Network,
) -> HttpServer:
    """Serves on a port that only one controller uses, so that its link alone can be broken."""

    async def handler(method: str, uri: str, body: bytes) -> Reply:
        if uri.startswith("/follow"):
            await links.wait_while_broken(node, WATCH)
        reply = await links.request(
            node, target, lambda: handle(method, uri, body), late=uri == "/txn"
        )
        if uri.startswith("/follow"):
            # A `refused` link does not close open watches: they wait, as in an outage.
            await links.wait_while_broken(node, target, "refused")
            await links.wait_while_broken(node, WATCH)
        return reply

    server = network.server(handler)
    server.listen(f"127.0.0.1:{port}")
    return server
