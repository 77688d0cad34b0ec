"""Requests to the state service, with deadlines, backoff and the process's budget."""

from __future__ import annotations

import asyncio
import logging
from random import Random
from typing import TypeVar

import msgspec

from badgerseam.clock import Clock
from badgerseam.errors import BadgerseamError
from badgerseam.http.budget import RateBudget
from badgerseam.http.client import HttpClient, NoResponseError
from badgerseam.settings import StateParams
from badgerseam.wire import state as wire

log = logging.getLogger("badgerseam.store")

WATCH_REQUEST_FRACTION = 0.5
"""Part of a second's requests that following the changes may take."""

_T = TypeVar("_T")


class StateUnavailableError(BadgerseamError):
    """The state service did not execute the request, or did not answer."""


class RateLimitedError(StateUnavailableError):
    """The state service refused the request for its rate (status 429)."""


class OutcomeUnknownError(StateUnavailableError):
    """No response: the request may have been executed, or may be later."""


class MalformedRequestError(StateUnavailableError):
    """The state service says that the request breaks its protocol: sent again it would be refused
    again."""


class ConditionFailedError(BadgerseamError):
    """A condition failed; `failed` names the keys."""

    def __init__(self, failed: list[str]) -> None:
        super().__init__(", ".join(failed))
        self.failed = failed


class LeaseExpiredError(BadgerseamError):
    """The state service no longer knows the lease."""


class RevisionCompactedError(BadgerseamError):
    """The revision to follow from is no longer kept."""


class StateClient:
    """One method a request of the protocol."""

    def __init__(
        self,
        clock: Clock,
        http: HttpClient,
        address: str,
        params: StateParams,
        nodes: int,
        random: Random,
    ) -> None:
        self._clock = clock
        self._http = http
        self._address = address
        self._random = random
        self.params = params
        # A tenth is left over, since clocks and bursts of the siblings differ.
        self.requests = RateBudget(clock, 0.9 * params.rps / nodes)
        self.writes = RateBudget(clock, 0.95 * params.write_rps / nodes)
        self.confirmed_at = -1e9
        """Sending time of the latest request that was answered."""
        self._follow_at = -1e9
        """When the next request to follow may be sent."""
        self.responses = 0
        """How many have come, refusals of every kind among them: an outage refuses."""

    async def _call(
        self, method: str, path: str, body: bytes | None, deadline_s: float, spared: float = 0.0
    ) -> tuple[int, bytes]:
        """`spared`: the part of a second's requests that is left to others.

        Unavailable if there is none to be had within the deadline: whoever waits for the answer has
        given up by then, and requests that nobody waits for would take the place of others.
        """
        spared *= self.requests.per_s
        until = self._clock.now() + deadline_s
        while not self.requests.take(1.0, spared):
            wait_s = self.requests.wait_s(1.0, spared) + 0.002
            if self._clock.now() + wait_s > until:
                raise StateUnavailableError("requests of this controller are used up")
            await asyncio.sleep(wait_s)
        sent = self._clock.now()
        try:
            response = await self._http.request(self._address, method, path, body, deadline_s)
        except NoResponseError as error:
            raise OutcomeUnknownError(str(error)) from error
        self.responses += 1
        if response.status == 429:
            self.requests.penalize(0.1)
            raise RateLimitedError("429")
        if response.status >= 500:
            raise StateUnavailableError(str(response.status))
        self.confirmed_at = max(self.confirmed_at, sent)
        return response.status, response.body

    async def get(
        self, key: str, deadline_s: float = 2.0, spared: float = 0.0
    ) -> wire.Entry | None:
        """The entry of a key, or None if the key does not exist. `spared`: see `_call`."""
        status, body = await self._call("GET", f"/keys/{key}", None, deadline_s, spared)
        if status == 404:
            return None
        return _decode(wire.entry_decoder, status, body)

    async def page(self, prefix: str, after: str | None) -> wire.KeyPage:
        """One page of the keys below a prefix."""
        path = f"/keys?under={prefix}&limit=1000"
        if after is not None:
            path += f"&from={after}"
        status, body = await self._call("GET", path, None, 5.0)
        return _decode(wire.key_page_decoder, status, body)

    async def compare_and_swap(
        self,
        conditions: list[wire.Condition],
        then: list[wire.Write],
        deadline_s: float = 2.0,
        spared: float = 0.0,
    ) -> int:
        """Commit, and give the revision; Refused, Unavailable, Unknown or LeaseLost otherwise.

        The caller has taken the writes from the budget. `spared`: see `_call`.
        """
        body = wire.encode(wire.Transaction(conditions, then))
        status, reply = await self._call("POST", "/txn", body, deadline_s, spared)
        if status == 409:
            raise ConditionFailedError(_decode(wire.committed_decoder, 200, reply).failed)
        if status == 400 and any(write.lease is not None for write in then):
            raise LeaseExpiredError("transaction")
        if status == 400:
            raise MalformedRequestError(f"400: {reply[:200]!r}")
        return _decode(wire.committed_decoder, status, reply).revision

    async def grant(self, ttl_s: float) -> int:
        """A new lease."""
        body = b'{"ttlMs":%d}' % round(ttl_s * 1000)
        status, reply = await self._call("POST", "/leases", body, 1.5)
        return _decode(wire.lease_decoder, status, reply).lease

    async def renew(self, lease: int, deadline_s: float) -> None:
        """Renew a lease; LeaseLost if it has ended."""
        status, _ = await self._call("POST", f"/leases/{lease}/extend", b"{}", deadline_s)
        if status == 404:
            raise LeaseExpiredError(str(lease))
        if status != 200:
            raise StateUnavailableError(f"extend: {status}")

    async def revoke(self, lease: int, deadline_s: float) -> None:
        """End a lease, whoever holds it, and with it the keys on it; LeaseLost if it has ended."""
        status, _ = await self._call("DELETE", f"/leases/{lease}", None, deadline_s)
        if status == 404:
            raise LeaseExpiredError(str(lease))
        if status != 200:
            raise StateUnavailableError(f"revoke: {status}")

    async def follow(self, prefix: str, revision: int, wait_s: float) -> wire.Changes:
        """The changes after a revision; TooOld if they are not kept any more.

        At most FOLLOWING of a second's requests go into this: where changes are many, an answer
        holds those of the time between two. Each of them alone took all that polls could get.
        """
        now = self._clock.now()
        pause_s = self._follow_at - now
        self._follow_at = max(now, self._follow_at) + 1.0 / (
            WATCH_REQUEST_FRACTION * self.requests.per_s
        )
        if pause_s > 0:
            await asyncio.sleep(pause_s)
        path = f"/follow?under={prefix}&from={revision}&waitMs={round(wait_s * 1000)}"
        status, body = await self._call("GET", path, None, wait_s + 3.0)
        if status == 410:
            raise RevisionCompactedError(str(revision))
        return _decode(wire.changes_decoder, status, body)

    async def pause(self, failures: int) -> None:
        """Back off after that many failures in a row."""
        base = min(0.05 * 2 ** min(failures, 5), 1.0)
        await asyncio.sleep(base * (0.5 + self._random.random()))


def _decode(decoder: msgspec.json.Decoder[_T], status: int, body: bytes) -> _T:
    if status != 200:
        raise StateUnavailableError(f"{status}: {body[:200]!r}")
    try:
        return decoder.decode(body)
    except msgspec.DecodeError as error:
        raise StateUnavailableError(f"undecodable: {error}") from error
