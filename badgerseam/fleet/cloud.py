"""Requests to the cloud, within its rate."""

from __future__ import annotations

import asyncio

import msgspec

from badgerseam.clock import Clock
from badgerseam.errors import BadgerseamError
from badgerseam.http.budget import RateBudget
from badgerseam.http.client import HttpClient, NoResponseError
from badgerseam.wire import cloud as wire


class CloudError(BadgerseamError):
    """Not executed, or no response."""


class NoCapacityError(BadgerseamError):
    """None of this type, zone and kind is to be had now."""


class CloudClient:
    """One method a request of the protocol. Only the leader uses more than the types."""

    def __init__(self, clock: Clock, http: HttpClient, address: str, rps: float) -> None:
        self._http = http
        self._address = address
        self._clock = clock
        self.budget = RateBudget(clock, 0.85 * rps)
        self.last_error: tuple[float, str] | None = None
        """Since when the cloud has executed nothing, and what came last."""

    async def wait_for_budget(self) -> None:
        """Wait until a call may be made at once."""
        while self.budget.available() < 1.0:
            await asyncio.sleep(self.budget.wait_s() + 0.01)

    async def _call(self, method: str, path: str, body: bytes | None) -> tuple[int, bytes]:
        try:
            status, reply = await self._send(method, path, body)
        except CloudError as error:
            self._note(str(error))
            raise
        self._note(str(status) if status >= 500 and b"no capacity" not in reply else None)
        return status, reply

    def _note(self, error: str | None) -> None:
        if error is None:
            self.last_error = None
        else:
            since = self._clock.now() if self.last_error is None else self.last_error[0]
            self.last_error = since, error

    async def _send(self, method: str, path: str, body: bytes | None) -> tuple[int, bytes]:
        while not self.budget.take():
            await asyncio.sleep(self.budget.wait_s() + 0.01)
        try:
            response = await self._http.request(self._address, method, path, body, 4.0)
        except NoResponseError as error:
            raise CloudError(str(error)) from error
        if response.status == 429:
            self.budget.penalize(1.0)
            raise CloudError("429")
        return response.status, response.body

    async def types(self) -> list[wire.MachineType]:
        status, body = await self._call("GET", "/flavors", None)
        if status != 200:
            raise CloudError(f"types: {status}")
        try:
            return wire.types_decoder.decode(body).types
        except msgspec.DecodeError as error:
            raise CloudError(f"types: {error}") from error

    async def rent(self, request: wire.RentalRequest) -> list[str]:
        """The machines rented; NoCapacity, or CloudTrouble when the request is to be repeated."""
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
        """Delete machines; they and all that is on them are gone when this returns."""
        status, _ = await self._call(
            "POST", "/machines/release", wire.encode(wire.MachineNames(names))
        )
        if status != 200:
            raise CloudError(f"release: {status}")

    async def machines(self) -> list[wire.ListedMachine]:
        """The whole list, as old as it may be."""
        listed: list[wire.ListedMachine] = []
        after = ""
        while True:
            status, body = await self._call("GET", f"/machines?from={after}&limit=500", None)
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
