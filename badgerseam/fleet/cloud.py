"""A client of the cloud's API that respects its rate limit."""

from __future__ import annotations

import asyncio

import msgspec

from badgerseam.clock import Clock
from badgerseam.errors import BadgerseamError
from badgerseam.http.budget import RateBudget
from badgerseam.http.client import HttpClient, NoResponseError
from badgerseam.wire import cloud as wire

RATE_FRACTION = 0.85
"""Fraction of the cloud's rate limit that is used."""
BUDGET_SLACK_S = 0.01
REQUEST_TIMEOUT_S = 4.0
THROTTLED_PAUSE_S = 1.0
"""Pause in seconds after the cloud has rejected a request with status 429 (rate limit)."""
LIST_PAGE_SIZE = 500


class CloudError(BadgerseamError):
    """A request was rejected, or its outcome is unknown; it may be retried."""


class NoCapacityError(BadgerseamError):
    """The cloud cannot provide machines of the requested type, zone and kind now."""


class CloudClient:
    """A client of the cloud with one method for each request of the protocol.

    Controllers that are not the leader only request the machine types.
    """

    def __init__(self, clock: Clock, http: HttpClient, address: str, rps: float) -> None:
        self._http = http
        self._address = address
        self._clock = clock
        self.budget = RateBudget(clock, RATE_FRACTION * rps)
        self.last_error: tuple[float, str] | None = None
        """Start and latest error of the current series of failed requests; None without one."""

    async def wait_for_budget(self) -> None:
        """Waits until a request can be sent immediately."""
        while self.budget.available() < 1.0:
            await asyncio.sleep(self.budget.wait_s() + BUDGET_SLACK_S)

    async def _call(self, method: str, path: str, body: bytes | None) -> tuple[int, bytes]:
        try:
            status, reply = await self._send(method, path, body)
        except CloudError as error:
            self._record_outcome(str(error))
            raise
        self._record_outcome(str(status) if status >= 500 and b"no capacity" not in reply else None)
        return status, reply

    def _record_outcome(self, error: str | None) -> None:
        if error is None:
            self.last_error = None
        else:
            since = self._clock.now() if self.last_error is None else self.last_error[0]
            self.last_error = since, error

    async def _send(self, method: str, path: str, body: bytes | None) -> tuple[int, bytes]:
        while not self.budget.take():
            await asyncio.sleep(self.budget.wait_s() + BUDGET_SLACK_S)
        try:
            response = await self._http.request(
                self._address, method, path, body, REQUEST_TIMEOUT_S
            )
        except NoResponseError as error:
            raise CloudError(str(error)) from error
        if response.status == 429:
            self.budget.penalize(THROTTLED_PAUSE_S)
            raise CloudError("429")
        return response.status, response.body

    async def types(self) -> list[wire.MachineType]:
        """Returns the machine types with their prices."""
        status, body = await self._call("GET", "/flavors", None)
        if status != 200:
            raise CloudError(f"machine types: status {status}")
        try:
            return wire.types_decoder.decode(body).types
        except msgspec.DecodeError as error:
            raise CloudError(f"machine types: malformed response: {error}") from error

    async def rent(self, request: wire.RentalRequest) -> list[str]:
        """Rents machines; returns their names, which may be fewer than requested.

        Raises `NoCapacityError` if there are none, and `CloudError` if the request must be retried.
        """
        status, body = await self._call("POST", "/machines", wire.encode(request))
        if status == 200:
            try:
                return wire.names_decoder.decode(body).machines
            except msgspec.DecodeError as error:
                raise CloudError(f"rental: malformed response: {error}") from error
        if status == 400 or (status == 503 and b"no capacity" in body):
            raise NoCapacityError(
                f"no capacity: type {request.type} in zone {request.zone}: status {status}"
            )
        raise CloudError(f"rental: status {status}")

    async def release(self, names: list[str]) -> None:
        """Releases machines; when this returns, they are deleted and their tasks have ended."""
        status, _ = await self._call(
            "POST", "/machines/release", wire.encode(wire.MachineNames(names))
        )
        if status != 200:
            raise CloudError(f"release of machines: status {status}")

    async def machines(self) -> list[wire.ListedMachine]:
        """Returns the list of all machines, which may be out of date."""
        listed: list[wire.ListedMachine] = []
        after = ""
        while True:
            status, body = await self._call(
                "GET", f"/machines?from={after}&limit={LIST_PAGE_SIZE}", None
            )
            if status != 200:
                raise CloudError(f"machine list: status {status}")
            try:
                page = wire.page_decoder.decode(body)
            except msgspec.DecodeError as error:
                raise CloudError(f"machine list: malformed response: {error}") from error
            listed += page.machines
            if not page.more or not page.machines:
                return listed
            after = page.machines[-1].id
