"""Stand-ins for the cases of the second review: state service, cloud, workers, users, controllers.

They follow the operators' pages (PROTOCOL, DEPLOY) and need Python's standard library only. All of
them run in the process of a case; the controllers are processes of their own, started with the
command of the deploy file. Every address is a loopback address.
"""

from __future__ import annotations

import asyncio
import bisect
import contextlib
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 114.0
"""Seconds after which a case gives up, below the limit of 120 s for a script."""

Handler = Callable[[str, str, dict[str, str], Any], Awaitable[tuple[int, Any]]]


class CannotRunError(Exception):
    """The case could not be played as it is meant to be."""


# ---- HTTP ----


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


async def serve(handler: Handler, sock: socket.socket | None = None) -> int:
    """Serves HTTP/1.1 on a loopback port and returns the port."""

    async def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while (message := await _read_message(reader)) is not None:
                start, _, body = message
                method, target, _ = start.split(" ")
                path, _, query_text = target.partition("?")
                query = dict(part.split("=", 1) for part in query_text.split("&") if part)
                status, answer = await handler(
                    method, path, query, json.loads(body) if body else None
                )
                data = json.dumps(answer).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                head += f"Content-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        writer.close()

    if sock is None:
        sock = reserve_port()
    await asyncio.start_server(on_connection, sock=sock, backlog=100)
    return int(sock.getsockname()[1])


def reserve_port() -> socket.socket:
    """Returns a socket that is bound to a free loopback port and does not listen yet."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    return sock


def free_ports(count: int) -> list[int]:
    """Returns free loopback ports."""
    socks = [reserve_port() for _ in range(count)]
    ports = [int(sock.getsockname()[1]) for sock in socks]
    for sock in socks:
        sock.close()
    return ports


async def request(
    address: str, method: str, path: str, body: Any = None, timeout_s: float = 4.0
) -> tuple[int, Any]:
    """Sends one request on a connection of its own; OSError or TimeoutError without an answer."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = b"" if body is None else json.dumps(body).encode()
            head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
            head += f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
            writer.write(head.encode() + data)
            try:
                message = await _read_message(reader)
            except asyncio.IncompleteReadError as error:
                raise ConnectionResetError(f"{address}: no answer") from error
            assert message is not None
            start, _, content = message
            return int(start.split(" ")[1]), json.loads(content) if content else None
        finally:
            writer.close()


class Bucket:
    """A rate limit that allows bursts."""

    def __init__(self, per_s: float, burst_s: float = 1.0) -> None:
        self._per_s, self._burst = per_s, max(1.0, per_s * burst_s)
        self._tokens, self._at = self._burst, time.monotonic()

    def take(self, amount: float = 1.0) -> bool:
        """Whether the limit allows this now."""
        now = time.monotonic()
        self._tokens = min(self._burst, self._tokens + (now - self._at) * self._per_s)
        self._at = now
        if self._tokens < amount:
            return False
        self._tokens -= amount
        return True


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self.started_at = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self.started_at

    def add(self, text: str) -> None:
        """Adds a line."""
        self._file.write(f"{self.now():8.3f}  {text}\n")
        self._file.flush()


# ---- the state service ----


class StateService:
    """The key-value store, with its leases, watches and limits."""

    def __init__(self, limits: dict[str, float]) -> None:
        self.data: dict[str, tuple[Any, int, int | None]] = {}
        self._keys: list[str] = []
        self._leases: dict[int, tuple[float, float, set[str]]] = {}
        self._log: list[tuple[int, str, dict[str, Any]]] = []
        self._last_lease = 0
        self.epoch = 0
        self._requests = Bucket(limits["rps"])
        self._writes = Bucket(limits["write_rps"])
        self._limits = limits
        self._changed = asyncio.Event()
        self.before: Callable[[str, str, str, dict[str, str]], Awaitable[None]] | None = None
        """Called with node, method, path and query before a request is executed."""
        self.refused: set[str] = set()
        """Nodes that get 503 for everything; their open watches wait as in an outage."""

    async def start(self, node: str) -> int:
        """Serves one node on a port of its own."""

        async def handler(
            method: str, path: str, query: dict[str, str], body: Any
        ) -> tuple[int, Any]:
            if self.before is not None:
                await self.before(node, method, path, query)
            await asyncio.sleep(0.003)
            return await self._handle(node, method, path, query, body)

        return await serve(handler)

    async def _handle(
        self, node: str, method: str, path: str, query: dict[str, str], body: Any
    ) -> tuple[int, Any]:
        if node in self.refused:
            return 503, {"error": "trouble"}
        if not self._requests.take():
            return 429, {"error": "too many"}
        self._expire()
        if path == "/follow":
            return await self._follow(node, query)
        if path == "/txn":
            return self._transaction(body)
        if path == "/keys":
            return 200, self._page(query)
        if path.startswith("/keys/"):
            key = path.removeprefix("/keys/")
            if key not in self.data:
                return 404, {"epoch": self.epoch}
            value, stamp, grant = self.data[key]
            return 200, {"k": key, "data": value, "stamp": stamp, "grant": grant}
        return self._lease(method, path, body)

    def _lease(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        if path == "/leases":
            self._last_lease += 1
            ttl_s = body["ttlMs"] / 1000
            self._leases[self._last_lease] = ttl_s, time.monotonic() + ttl_s, set()
            return 200, {"grant": self._last_lease}
        number = int(path.split("/")[2]) if path.startswith("/leases/") else 0
        if number not in self._leases:
            return 404, {"error": "no such lease"}
        ttl_s, _, keys = self._leases[number]
        if method == "DELETE":
            self._leases[number] = ttl_s, 0.0, keys
            self._expire()
        else:
            self._leases[number] = ttl_s, time.monotonic() + ttl_s, keys
        return 200, {}

    def _expire(self) -> None:
        now = time.monotonic()
        for number in [n for n, (_, until, _) in self._leases.items() if until < now]:
            keys = self._leases.pop(number)[2]
            if keys:
                self.epoch += 1
                for key in sorted(keys):
                    self._remove(key)
                self._notify()

    def _page(self, query: dict[str, str]) -> dict[str, Any]:
        under, after = query.get("under", ""), query.get("from", "")
        limit = min(int(query.get("limit", "1000")), 1000)
        start = bisect.bisect_right(self._keys, after) if after else 0
        start = max(start, bisect.bisect_left(self._keys, under))
        entries: list[Any] = []
        size = 0
        for key in self._keys[start:]:
            if not key.startswith(under):
                break
            value, stamp, _ = self.data[key]
            entry = {"k": key, "data": value, "stamp": stamp}
            size += len(json.dumps(entry)) + 2
            if len(entries) >= limit or (entries and size > 500_000):
                return {"entries": entries, "more": True, "epoch": self.epoch}
            entries.append(entry)
        return {"entries": entries, "more": False, "epoch": self.epoch}

    def _transaction(self, body: Any) -> tuple[int, Any]:
        when, writes = body.get("when") or [], body.get("writes") or []
        limits = self._limits
        if len(writes) > limits["txn_ops"] or len(when) > 4 * limits["txn_ops"]:
            return 400, {"error": "too many"}
        if len(json.dumps(body)) > 72_000:
            return 400, {"error": "too large"}
        if any(
            len(json.dumps(w.get("data"))) > limits["value_kb"] * 1100
            for w in writes
            if w.get("set")
        ):
            return 400, {"error": "value too large"}
        if writes and not self._writes.take(len(writes)):
            return 429, {"error": "too many"}
        if any(w.get("grant") and w["grant"] not in self._leases for w in writes):
            return 400, {"error": "no such lease"}
        failed = [c["k"] for c in when if self.data.get(c["k"], (0, 0, 0))[1] != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if writes:
            self.epoch += 1
            for write in writes:
                if write.get("set"):
                    self._put(write["set"], write.get("data"), write.get("grant"))
                else:
                    self._remove(write["remove"])
            self._notify()
        return 200, {"epoch": self.epoch}

    def _detach(self, key: str) -> None:
        if key in self.data and self.data[key][2] in self._leases:
            self._leases[self.data[key][2] or 0][2].discard(key)

    def _put(self, key: str, value: Any, grant: int | None) -> None:
        self._detach(key)
        if key not in self.data:
            bisect.insort(self._keys, key)
        self.data[key] = value, self.epoch, grant
        if grant is not None:
            self._leases[grant][2].add(key)
        self._log.append((self.epoch, key, {"set": key, "data": value, "stamp": self.epoch}))

    def _remove(self, key: str) -> None:
        if key in self.data:
            self._detach(key)
            del self.data[key]
            del self._keys[bisect.bisect_left(self._keys, key)]
            self._log.append((self.epoch, key, {"remove": key, "stamp": self.epoch}))

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _follow(self, node: str, query: dict[str, str]) -> tuple[int, Any]:
        under, since = query.get("under", ""), int(query.get("from", "0"))
        until = time.monotonic() + min(float(query.get("waitMs", "0")) / 1000, 60.0)
        while True:
            if len(self._log) > 10_000 and since < self._log[-10_000][0]:
                return 410, {"error": "too old"}
            start = bisect.bisect_right(self._log, since, key=lambda change: change[0])
            found = [entry for _, key, entry in self._log[start:] if key.startswith(under)]
            left_s = until - time.monotonic()
            if (found or left_s <= 0) and node not in self.refused:
                return 200, {"epoch": self.epoch, "log": found}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), max(0.05, min(left_s, 0.3)))
            self._expire()


# ---- workers ----


class Worker:
    """The worker of one machine, after the protocol's section about workers."""

    def __init__(self, site: Site, name: str, kind: dict[str, Any], zone: str, spot: bool) -> None:
        self.site, self.name, self.kind, self.zone, self.spot = site, name, kind, zone, spot
        self.sock = reserve_port()
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        self.tenure, self.tick, self.warrant = 1, 0, 0
        self.recall_at: float | None = None
        self.held: dict[tuple[str, int], dict[str, Any]] = {}
        self.images: set[str] = set()
        self.fetched: dict[str, float] = {}
        self.faulty = False
        self.is_up = self.is_gone = self.changed = False
        self._awake = asyncio.Event()
        self._awake.set()
        self._lease_from = self._token_reported_at = 0.0
        self._node = ""
        self._tasks: list[asyncio.Task[None]] = []

    async def boot(self) -> None:
        """Starts to listen, to run tasks and to report."""
        self.is_up = True
        self._lease_from = time.monotonic()
        self._node = self.site.random.choice(sorted(self.site.nodes))
        await serve(self._handle, self.sock)
        self._tasks = [
            asyncio.ensure_future(self._run_tasks()),
            asyncio.ensure_future(self._report_for_ever()),
        ]
        self.site.record.add(f"machine {self.name} is up in {self.zone}")

    def remove(self) -> None:
        """Ends the machine and everything on it."""
        self.is_gone = True
        for task in self._tasks:
            task.cancel()
        self._forget_tasks()

    def hang(self) -> None:
        """Stands still: nothing runs, nothing is answered."""
        self._awake.clear()
        self.site.record.add(f"machine {self.name} hangs")

    def resume(self) -> None:
        """Goes on after a hang."""
        self._check_lease()
        self._awake.set()
        self.site.record.add(f"machine {self.name} goes on")

    @property
    def is_hanging(self) -> bool:
        """Whether the machine stands still."""
        return not self._awake.is_set()

    def free(self) -> tuple[float, float]:
        """Returns the CPUs and the memory that no task takes."""
        used = [
            self.site.jobs[p.partition("/")[0]]
            for (p, _), t in self.held.items()
            if t["phase"] != "exited"
        ]
        return (
            self.kind["cpus"] - sum(job["cpus"] for job in used),
            self.kind["memGb"] - sum(job["memGb"] for job in used),
        )

    # ---- messages ----

    def report(self) -> dict[str, Any]:
        """Returns the next report."""
        self.tick += 1
        recall_s = None
        if self.recall_at is not None:
            recall_s = max(0.0, self.recall_at - time.monotonic())
        pieces = []
        for (piece, number), task in self.held.items():
            entry = {"piece": piece, "try": number, "phase": task["phase"]}
            if task["phase"] == "exited":
                entry["cause"] = task["cause"]
            pieces.append(entry)
        return {
            "host": self.name,
            "address": self.address,
            "breed": self.kind["sku"],
            "sett": self.zone,
            "loaned": self.spot,
            "tenure": self.tenure,
            "tick": self.tick,
            "warrant": self.warrant,
            "recallS": recall_s,
            "pieces": pieces,
        }

    async def _handle(
        self, method: str, path: str, _query: dict[str, str], body: Any
    ) -> tuple[int, Any]:
        await self._awake.wait()
        if self.is_gone:
            # A machine without power says nothing.
            await asyncio.sleep(3600)
        self._check_lease()
        if (method, path) == ("GET", "/inspect"):
            return 200, self.report()
        if (method, path) != ("POST", "/do"):
            return 404, {}
        if "warrant" not in body or "tenure" not in body:
            return 400, {}
        if body["tenure"] != self.tenure or not self._accept(body["warrant"]):
            return 409, self.report()
        self._execute(body.get("orders") or [], "do")
        return 200, self.report()

    def _accept(self, warrant: int | None) -> bool:
        if warrant is None or warrant < self.warrant:
            return False
        if warrant > self.warrant:
            self.warrant = warrant
            now = time.monotonic()
            if now - self._token_reported_at >= self.site.workers["lease_s"] / 2:
                self._token_reported_at, self.changed = now, True
        return True

    async def _report_for_ever(self) -> None:
        while True:
            await self._awake.wait()
            pause_s = await self._report()
            until = time.monotonic() + pause_s
            await asyncio.sleep(min(0.5, pause_s))
            while time.monotonic() < until:
                await asyncio.sleep(0.02)
                if self.changed and self._awake.is_set():
                    break

    async def _report(self) -> float:
        self._check_lease()
        self.changed = False
        sent_at, tenure = time.monotonic(), self.tenure
        try:
            status, answer = await request(
                self.site.nodes[self._node], "POST", "/checkin", self.report(), 4.0
            )
        except (OSError, TimeoutError):
            self._next_node()
            return 1.0
        await self._awake.wait()
        if time.monotonic() - sent_at > 4.0:
            self._next_node()
            return 1.0
        if status == 200:
            if tenure == self.tenure and self._accept(answer.get("warrant")):
                self._lease_from = max(self._lease_from, sent_at)
                self._execute(answer.get("orders") or [], "answer")
            return self.site.workers["report_s"] * self.site.random.uniform(0.75, 1.25)
        overseer = (answer or {}).get("overseer") if status == 421 else None
        if overseer in self.site.nodes and overseer != self._node:
            self._node = overseer
            return 0.1
        self._next_node()
        return 1.0

    def _next_node(self) -> None:
        names = sorted(self.site.nodes)
        self._node = names[(names.index(self._node) + 1) % len(names)]

    # ---- tasks ----

    def _execute(self, orders: list[dict[str, Any]], how: str) -> None:
        for order in orders:
            key = order["piece"], order["try"]
            self.site.record.add(f"{order['verb']} {key[0]} try {key[1]} on {self.name} ({how})")
            if order["verb"] == "launch":
                self._launch(*key)
            elif key in self.held:
                task = self.held[key]
                if order["verb"] == "halt" and task["phase"] != "exited":
                    self._exit(key, "halted")
                elif order["verb"] == "reap" and task["phase"] == "exited":
                    del self.held[key]

    def _launch(self, piece: str, number: int) -> None:
        if (piece, number) in self.held:
            return
        job = self.site.jobs.get(piece.partition("/")[0])
        task: dict[str, Any] = {"phase": "exited", "cause": "no_such"}
        self.changed = True
        if job is not None:
            cpus, memory = self.free()
            if any(p == piece and t["phase"] != "exited" for (p, _), t in self.held.items()):
                task["cause"] = "in_use"
            elif job["cpus"] > cpus + 1e-6 or job["memGb"] > memory + 1e-6:
                task["cause"] = "full"
            else:
                task = {"phase": "fetching", "left_s": self.site.run_s[job["id"]]}
                self.fetched.setdefault(job["bundle"], 0.0)
        self.held[piece, number] = task

    def _exit(self, key: tuple[str, int], cause: str) -> None:
        task = self.held[key]
        if task["phase"] == "running":
            self.site.on_task(self, key, cause)
        task["phase"], task["cause"] = "exited", cause
        if cause == "done":
            self.site.done.add(key[0])
        self.changed = True

    def _forget_tasks(self) -> None:
        for key, task in self.held.items():
            if task["phase"] == "running":
                self.site.on_task(self, key, "killed")
        self.held.clear()
        self.fetched.clear()

    def _check_lease(self) -> None:
        if time.monotonic() - self._lease_from > self.site.workers["lease_s"]:
            self.site.record.add(f"lease of {self.name} has ended, tenure {self.tenure}")
            self._forget_tasks()
            self.tenure += 1
            self._lease_from = time.monotonic()
            self.changed = True

    async def _run_tasks(self) -> None:
        step_s = 0.05
        while True:
            await asyncio.sleep(step_s)
            await self._awake.wait()
            self._check_lease()
            for image in list(self.fetched):
                self._fetch(image, step_s / len(self.fetched))
            for key, task in list(self.held.items()):
                if task["phase"] == "running":
                    task["left_s"] -= step_s
                    if task["left_s"] <= 0:
                        self._exit(key, "done")

    def _fetch(self, image: str, share_s: float) -> None:
        waiting = [
            key
            for key, task in self.held.items()
            if task["phase"] == "fetching"
            and self.site.jobs[key[0].partition("/")[0]]["bundle"] == image
        ]
        if not waiting:
            self.fetched.pop(image)
            return
        self.fetched[image] += share_s * self.kind["fetchGbPerS"]
        size_gb = self.site.jobs[waiting[0][0].partition("/")[0]]["imageGb"]
        if image not in self.images and self.fetched[image] < size_gb:
            return
        self.images.add(image)
        self.fetched.pop(image)
        for key in waiting:
            self.held[key]["phase"] = "running"
            self.changed = True
            self.site.on_task(self, key, "on")
            if key[0] in self.site.done:
                self._exit(key, "done")
            elif self.faulty:
                self._exit(key, "error")


# ---- the cloud ----


class Cloud:
    """Rents machines; its list lags."""

    def __init__(self, site: Site, kinds: list[dict[str, Any]], limits: dict[str, float]) -> None:
        self.site, self.kinds = site, kinds
        self._lag_s = limits["list_lag_s"]
        self._calls = Bucket(limits["rps"], 2.0)
        self.capacity: dict[tuple[str, str, bool], int] = {}
        """Machines of each type, zone and kind that can be rented at the same time."""
        self.boot_s = 1.5
        self.machines: dict[str, Worker] = {}
        self._hires: dict[str, list[str]] = {}
        self._rented_at: dict[str, float] = {}
        self._removed: dict[str, tuple[Worker, float]] = {}
        self.on_rented: Callable[[Worker], None] = lambda _machine: None

    async def handle(
        self, method: str, path: str, query: dict[str, str], body: Any
    ) -> tuple[int, Any]:
        """Answers one request."""
        await asyncio.sleep(0.02)
        if not self._calls.take():
            return 429, {"error": "too many"}
        if path == "/flavors":
            return 200, {"breeds": self.kinds}
        if path == "/machines/release":
            for name in body["hosts"]:
                self.remove(name, "released")
            return 200, {}
        if path == "/machines" and method == "POST":
            return self._rent(body)
        return 200, self._list(query)

    def _rent(self, body: Any) -> tuple[int, Any]:
        if body["hire"] in self._hires:
            return 200, {"hosts": self._hires[body["hire"]]}
        offer = body["breed"], body["sett"], body["loaned"]
        rented = sum((m.kind["sku"], m.zone, m.spot) == offer for m in self.machines.values())
        count = min(body["howMany"], 50, self.capacity.get(offer, 0) - rented)
        if count <= 0:
            return 503, {"error": "no capacity"}
        kind = next(kind for kind in self.kinds if kind["sku"] == body["breed"])
        names = [self._create(kind, body["sett"], body["loaned"]) for _ in range(count)]
        self._hires[body["hire"]] = names
        return 200, {"hosts": names}

    def _create(self, kind: dict[str, Any], zone: str, spot: bool) -> str:
        name = f"m-{len(self._rented_at) + 1:06d}"
        machine = Worker(self.site, name, kind, zone, spot)
        self.machines[name] = machine
        self._rented_at[name] = time.monotonic()
        self.site.record.add(f"machine {name} is rented in {zone}, spot {spot}")
        self.on_rented(machine)
        self.site.spawn(self._boot(machine))
        return name

    async def _boot(self, machine: Worker) -> None:
        await asyncio.sleep(self.boot_s)
        if not machine.is_gone:
            await machine.boot()

    def remove(self, name: str, why: str) -> None:
        """Removes a machine and everything on it."""
        machine = self.machines.pop(name, None)
        if machine is not None:
            self.site.record.add(f"machine {name} is {why}")
            self._removed[name] = machine, time.monotonic()
            machine.remove()

    def _list(self, query: dict[str, str]) -> dict[str, Any]:
        seen_at = time.monotonic() - self._lag_s
        shown = {n: m for n, m in self.machines.items() if self._rented_at[n] <= seen_at}
        shown |= {
            n: m
            for n, (m, removed_at) in self._removed.items()
            if self._rented_at[n] <= seen_at < removed_at
        }
        hosts = [
            {
                "id": name,
                "address": machine.address,
                "breed": machine.kind["sku"],
                "sett": machine.zone,
                "loaned": machine.spot,
                "phase": "running" if self._rented_at[name] + self.boot_s <= seen_at else "booting",
                "ageS": round(seen_at - self._rented_at[name], 2),
            }
            for name, machine in sorted(shown.items())
            if name > query.get("from", "")
        ]
        return {"hosts": hosts[:500], "more": len(hosts) > 500}


# ---- controllers ----


class Controller:
    """One controller: a process that is started as the deploy file says."""

    def __init__(self, site: Site, name: str, settings: str) -> None:
        self.site, self.name = site, name
        path = site.folder / f"{name}.toml"
        path.write_text(settings)
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
        self._command = [*shlex.split(deploy["run"]), str(path)]
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process."""
        log = (self.site.folder / f"{self.name}.log").open("ab")
        environment = os.environ | {"LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")}
        self.process = subprocess.Popen(
            self._command, cwd=ROOT, stderr=log, stdout=log, env=environment
        )
        log.close()
        self.site.record.add(f"controller {self.name} is started")

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)
        self.site.record.add(f"controller {self.name} gets {number.name}")

    def kill(self) -> None:
        """Ends the process, without a word."""
        if self.process is not None and self.process.poll() is None:
            self.signal(signal.SIGKILL)
            self.process.wait()

    async def restart(self, after_s: float = 3.0) -> None:
        """Ends the process and starts it again, as the platform does."""
        self.kill()
        await asyncio.sleep(after_s)
        self.start()


# ---- users ----


class Users:
    """Users behind a load balancer that knows which controllers are ready."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.ready: set[str] = set()
        self.phases: dict[str, list[tuple[float, str]]] = {}

    async def probe_for_ever(self) -> None:
        """Probes the controllers once a second; two failures in a row make one unhealthy."""
        failures = dict.fromkeys(self.site.nodes, 2)
        while True:
            await asyncio.gather(*(self._probe(node, failures) for node in self.site.nodes))
            await asyncio.sleep(1.0)

    async def _probe(self, node: str, failures: dict[str, int]) -> None:
        try:
            status, _ = await request(self.site.nodes[node], "GET", "/ready", None, 1.0)
        except (OSError, TimeoutError):
            status = 0
        failures[node] = 0 if status == 200 else failures[node] + 1
        if failures[node] == 0:
            self.ready.add(node)
        elif failures[node] >= 2:
            self.ready.discard(node)

    async def ask(
        self, method: str, path: str, body: Any = None, within_s: float = 5.0, node: str = ""
    ) -> tuple[int, Any]:
        """Sends one request to a ready controller; status 0 without an answer."""
        nodes = [node] if node else sorted(self.ready) or sorted(self.site.nodes)
        chosen = self.site.random.choice(nodes)
        try:
            answer = await request(self.site.nodes[chosen], method, path, body, within_s)
        except (OSError, TimeoutError) as error:
            answer = 0, repr(error)
        about = path if body is None else f"{path} {body['id']}"
        self.site.record.add(f"{method} {about} at {chosen}: {answer[0]} {json.dumps(answer[1])}")
        return answer

    async def submit(self, job: dict[str, Any], run_s: float, node: str = "") -> int:
        """Submits a job, and repeats that as the protocol says; returns the final status."""
        self.site.jobs[job["id"]] = job
        self.site.run_s[job["id"]] = run_s
        return await self._repeat("POST", "/submissions", job, node)

    async def must_submit(self, job: dict[str, Any], run_s: float, node: str = "") -> None:
        """Submits a job; CannotRunError if it is not accepted."""
        if await self.submit(job, run_s, node) not in (200, 201):
            raise CannotRunError(f"{job['id']} was not accepted")

    async def abort(self, job_id: str, node: str = "") -> int:
        """Cancels a job, and repeats that as the protocol says; returns the final status."""
        return await self._repeat("POST", f"/submissions/{job_id}/abort", None, node)

    async def _repeat(self, method: str, path: str, body: Any, node: str) -> int:
        until = time.monotonic() + 60
        while time.monotonic() < until:
            status, _ = await self.ask(method, path, body, 5.0, node)
            if status in (200, 201, 400, 404, 422):
                return status
            await asyncio.sleep(1.0)
        return 0

    async def poll_for_ever(self, job_id: str, every_s: float = 5.0) -> None:
        """Polls a job; what is told is in `phases`."""
        while True:
            status, answer = await self.ask("GET", f"/submissions/{job_id}", None, 2.0)
            phase = answer["phase"] if status == 200 else str(status)
            self.phases.setdefault(job_id, []).append((self.site.record.now(), phase))
            await asyncio.sleep(every_s)


# ---- a site ----


class Site:
    """A small deployment: three controllers, with everything around them."""

    def __init__(
        self,
        folder: Path,
        params: dict[str, Any],
        kinds: list[dict[str, Any]],
    ) -> None:
        """`folder`: where `record.txt` is written; `params`: teams, workers, state and cloud."""
        self.random = random.Random(7)
        self.record = Record(folder / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="badgerseam-case-"))
        self.params = params
        self.workers: dict[str, float] = params["workers"]
        self.state = StateService(params["state"])
        self.cloud = Cloud(self, kinds, params["cloud"])
        self.users = Users(self)
        self.nodes: dict[str, str] = {}
        self.controllers: dict[str, Controller] = {}
        self.jobs: dict[str, dict[str, Any]] = {}
        self.run_s: dict[str, float] = {}
        self.done: set[str] = set()
        self.running: dict[tuple[str, str, int], float] = {}
        """Tasks on machines: machine, task and attempt, with the time of the start."""
        self.starts: list[tuple[float, str, str, int]] = []
        """All starts: time, machine, task and attempt."""
        self.on_change: Callable[[], None] = lambda: None
        self._background: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        """Runs a coroutine in the background."""
        task: asyncio.Task[Any] = asyncio.ensure_future(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return task

    def on_task(self, machine: Worker, key: tuple[str, int], what: str) -> None:
        """Notes that a task has begun on a machine, or is no longer there."""
        self.record.add(f"task {key[0]} try {key[1]} on {machine.name}: {what}")
        if what == "on":
            self.running[machine.name, *key] = self.record.now()
            self.starts.append((self.record.now(), machine.name, *key))
        else:
            self.running.pop((machine.name, *key), None)
        self.on_change()

    def used_cpus(self, team: str) -> float:
        """Returns the CPUs that the tasks of a team use, wherever they are on a machine."""
        jobs = [self.jobs[piece.partition("/")[0]] for _, piece, _ in self.running]
        return sum(float(job["cpus"]) for job in jobs if job["owner"] == team)

    async def start(self) -> None:
        """Starts everything and waits until all controllers are ready."""
        names = ["burrow-0", "burrow-1", "burrow-2"]
        ports = free_ports(2 * len(names))
        api = dict(zip(names, ports[: len(names)], strict=True))
        peer = dict(zip(names, ports[len(names) :], strict=True))
        self.nodes = {name: f"127.0.0.1:{api[name]}" for name in names}
        cloud_port = await serve(self.cloud.handle)
        zones = self.params["node_zones"]
        for name in names:
            state_port = await self.state.start(name)
            text = self._settings(name, api, peer, zones, state_port, cloud_port)
            self.controllers[name] = Controller(self, name, text)
            self.controllers[name].start()
        self.spawn(self.users.probe_for_ever())
        await self.wait_for(lambda: len(self.users.ready) == len(names), 20, "controllers ready")

    def _settings(
        self,
        name: str,
        api: dict[str, int],
        peer: dict[str, int],
        zones: dict[str, str],
        state_port: int,
        cloud_port: int,
    ) -> str:
        params = self.params
        lines = [
            f'node = "{name}"',
            f'zone = "{zones[name]}"',
            f'api_addr = "127.0.0.1:{api[name]}"',
            f'cluster_listen = "127.0.0.1:{peer[name]}"',
        ]
        for other in sorted(peer.keys() - {name}):
            lines += [
                "[[siblings]]",
                f'node = "{other}"',
                f'zone = "{zones[other]}"',
                f'peer_addr = "127.0.0.1:{peer[other]}"',
            ]
        lines += [
            "[outside]",
            f'cloud = "127.0.0.1:{cloud_port}"',
            f'state = "127.0.0.1:{state_port}"',
            "[params]",
            "initial_size = 3",
            f"zones = {json.dumps(params['zones'])}",
            "time_bound_ms = 250.0",
        ]
        for team in params["teams"]:
            lines += ["[[params.teams]]", *_fields(team)]
        for objective in params.get("objectives", []):
            lines += ["[[params.objectives]]", *_fields(objective)]
        for section in ("workers", "state", "cloud"):
            lines += [f"[params.{section}]", *_fields(params[section])]
        lines += ["[params.machine_limits]", "cores = 0.54", "mem_mb = 186.0", "sockets = 900"]
        return "\n".join(lines) + "\n"

    async def wait_for(self, condition: Callable[[], bool], within_s: float, what: str) -> None:
        """Waits for a condition; CannotRunError if it does not come true in time."""
        until = time.monotonic() + within_s
        while not condition():
            if time.monotonic() > until:
                raise CannotRunError(f"not in time: {what}")
            await asyncio.sleep(0.01)

    def owner(self, shard: int) -> str:
        """Returns the controller whose claim on a shard the state service holds, or nothing.

        Cases only time their steps by this; no verdict rests on it.
        """
        found = self.state.data.get(f"bs/c/{shard}")
        return next((n for n in self.nodes if found and n in json.dumps(found[0])), "")

    def stop(self) -> None:
        """Ends every process that was started."""
        for controller in self.controllers.values():
            with contextlib.suppress(ProcessLookupError):
                controller.kill()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def _fields(values: dict[str, Any]) -> list[str]:
    return [f"{name} = {json.dumps(value)}" for name, value in values.items()]


def make_job(job_id: str, owner: str, **fields: Any) -> dict[str, Any]:
    """Returns a submission with all fields of the protocol."""
    job = {
        "id": job_id,
        "jobclass": "renewal-reckon",
        "owner": owner,
        "shape": "sweep",
        "rank": "standard",
        "pieces": 1,
        "cpus": 4.0,
        "accelerators": 0.0,
        "memGb": 14.0,
        "bundle": "img-1",
        "imageGb": 0.4,
        "breeds": None,
        "sett": None,
        "oneZone": False,
        "scatter": False,
        "loaned": True,
        "guessS": 30.0,
        "snapshotS": 0.0,
        "stashS": 0.0,
        "dueS": None,
    }
    return job | fields


QUITO: dict[str, Any] = {
    "zones": ["azuay", "guayas", "manabi", "pichincha"],
    "node_zones": {"burrow-0": "pichincha", "burrow-1": "azuay", "burrow-2": "pichincha"},
    "teams": [
        {"name": f"socios-ops-0{n}", "cpus": 32.0, "cpus_max": 72.0, "gpus": 0.0, "gpus_max": 0.0}
        for n in range(3)
    ],
    "objectives": [{"kind": "guarantee", "within_s": 10.0, "share": 0.8}],
    "workers": {"report_s": 2.0, "lease_s": 14.0, "cancel_s": 44.0},
    "state": {"rps": 200.0, "write_rps": 80.0, "value_kb": 16.0, "txn_ops": 48},
    "cloud": {"rps": 2.0, "list_lag_s": 4.0},
}
"""Settings of the deployment in Quito, with three of its teams."""

ANDINO: dict[str, Any] = {
    "sku": "andino-16",
    "cpus": 16.0,
    "accelerators": 0.0,
    "memGb": 64.0,
    "localGb": 80.0,
    "fetchGbPerS": 0.8,
    "price": 0.92,
    "spotPrice": 0.4,
    "bootS": 15.0,
    "setts": ["azuay", "guayas", "manabi", "pichincha"],
}
"""The machine type of the deployment in Quito."""


def play(folder: Path, case: Callable[[Site], Awaitable[bool]], site: Site) -> int:
    """Plays a case; returns the script's exit code: 1 broken, 0 held, 2 could not run."""

    async def run() -> bool:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        async with asyncio.timeout(LIMIT_S):
            await site.start()
            return await case(site)

    try:
        is_broken = asyncio.run(run())
    except (CannotRunError, TimeoutError, asyncio.CancelledError) as error:
        site.record.add(f"could not run: {error!r}")
        print(f"{folder.name}: could not run: {error!r}")
        return 2
    finally:
        site.stop()
    text = "the rule was broken" if is_broken else "the rule held"
    site.record.add(text)
    print(f"{folder.name}: {text}")
    return 1 if is_broken else 0


def main(folder: Path, case: Callable[[Site], Awaitable[bool]], site: Site) -> None:
    """Plays a case and ends the process with its exit code."""
    sys.exit(play(folder, case, site))
