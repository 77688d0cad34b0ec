"""Requests to the cloud, within its rate."""

from __future__ import annotations

import asyncio

import msgspec

from badgerseam.clock import Clock
from badgerseam.errors import BadgerseamError
from badgerseam.http.budget import RateBudget
from badgerseam.http.client import HttpClient, NoResponseError
from badgerseam.wire import cloud as wire

RATE_FRACTION = 0.85
"""Part of the cloud's rate limit that is used."""
BUDGET_SLACK_S = 0.01
REQUEST_TIMEOUT_S = 4.0
THROTTLED_PAUSE_S = 1.0
"""After the cloud has refused a request by its rate limit."""
LIST_PAGE_SIZE = 500


class CloudError(BadgerseamError):
    """A request was not executed, or was not answered; it may be repeated."""


class NoCapacityError(BadgerseamError):
    """The cloud has no machine of the requested type, zone and kind now."""


class CloudClient:
    """Client of the cloud: one method for each request of the protocol.

    Only the leader uses more than the machine types.
    """

    def __init__(self, clock: Clock, http: HttpClient, address: str, rps: float) -> None:
        self._http = http
        self._address = address
        self._clock = clock
        self.budget = RateBudget(clock, RATE_FRACTION * rps)
        self.last_error: tuple[float, str] | None = None
        """Since when no request has been executed, and the latest error; None if all is well."""

    async def wait_for_budget(self) -> None:
        """Wait until a request may be sent at once."""
        while self.budget.available() < 1.0:
            await asyncio.sleep(self.budget.wait_s() + BUDGET_SLACK_S)

    async def _call(self, method: str, path: str, body: bytes | None) -> tuple[int, bytes]:
        try:
            status, reply = await self._send(method, path, body)
        except CloudError as error:
            self._note_outcome(str(error))
            raise
        self._note_outcome(str(status) if status >= 500 and b"no capacity" not in reply else None)
        return status, reply

    def _note_outcome(self, error: str | None) -> None:
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
        """The machine types with their prices."""
        status, body = await self._call("GET", "/flavors", None)
        if status != 200:
            raise CloudError(f"types: {status}")
        try:
            return wire.types_decoder.decode(body).types
        except msgspec.DecodeError as error:
            raise CloudError(f"types: {error}") from error

    async def rent(self, request: wire.RentalRequest) -> list[str]:
        """Rent machines; the names of those rented, which may be fewer than requested.

        `NoCapacityError` if there are none, `CloudError` if the request has to be repeated.
        """
        status, body = await self._call("POST", "/machines", wire.encode(request))
        if status == 200:
            try:
                return wire.names_decoder.decode(body).machines
            except msgspec.DecodeError as error:
                raise CloudError(f"rent: {error}") from error
        if status == 400 or (status == 503 and b"no capacity" in body):
            raise NoCapacityError(f"{request.type} in {request.zone}: {status}")
        raise CloudError(f"rent: {status}")

    async def release(self, names: list[str]) -> None:
        """Delete machines; they and all tasks on them are gone when this returns."""
        status, _ = await self._call(
            "POST", "/machines/release", wire.encode(wire.MachineNames(names))
        )
        if status != 200:
            raise CloudError(f"release: {status}")

    async def machines(self) -> list[wire.ListedMachine]:
        """The list of all machines, which may lag behind."""
        listed: list[wire.ListedMachine] = []
        after = ""
        while True:
            status, body = await self._call(
                "GET", f"/machines?from={after}&limit={LIST_PAGE_SIZE}", None
            )
            if status != 200:
                raise CloudError(f"list: {status}")
            try:
                page = wire.page_decoder.decode(body)
            except msgspec.DecodeError as error:
                raise CloudError(f"list: {error}") from error
            listed += page.machines
            if not page.more or not page.machines:
                return listed
            after = page.machines[-1].id
