"""The client of the state service: requests with deadlines, backoff and the process's budget."""

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
REQUEST_RATE_FRACTION = 0.9
WRITE_RATE_FRACTION = 0.95
"""Part of the service's limits that all controllers use together, since their clocks differ."""
BUDGET_MARGIN_S = 0.002
"""Added to the time after which the budget should have a request again."""
RATE_LIMIT_PENALTY_S = 0.1
"""Seconds' worth of requests that a refusal for rate takes from the budget."""
PAGE_ITEMS = 1000
PAGE_DEADLINE_S = 5.0
GRANT_DEADLINE_S = 1.5
WATCH_MARGIN_S = 3.0
"""How long a watch request may take beyond the wait that it asks for."""
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
MAX_BACKOFF_DOUBLINGS = 5
NEVER = -1e9
"""A time before every other one."""

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
    """A condition failed, so that nothing was written; `failed` names the keys."""

    def __init__(self, failed: list[str]) -> None:
        super().__init__(", ".join(failed))
        self.failed = failed


class LeaseExpiredError(BadgerseamError):
    """The state service no longer knows the lease."""


class RevisionCompactedError(BadgerseamError):
    """The state service no longer has the changes after the revision to follow from."""


class StateClient:
    """One method for each request of the protocol.

    Each raises `StateUnavailableError` if the request was not executed, and its subclass
    `OutcomeUnknownError` if there was no response.
    """

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
        self.request_budget = RateBudget(clock, REQUEST_RATE_FRACTION * params.rps / nodes)
        self.write_budget = RateBudget(clock, WRITE_RATE_FRACTION * params.write_rps / nodes)
        self.confirmed_at = NEVER
        """Sending time of the latest request that was executed and answered."""
        self._next_watch_at = NEVER
        """When the next watch request may be sent."""
        self.responses = 0
        """Count of all responses, refusals of every kind included: an outage refuses."""

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None,
        deadline_s: float,
        reserve_fraction: float = 0.0,
    ) -> tuple[int, bytes]:
        """The status and body of a response other than a refusal for rate or a server error.

        `reserve_fraction`: the part of a second's requests that is left to other callers.
        """
        await self._take_request(deadline_s, reserve_fraction * self.request_budget.per_s)
        sent_at = self._clock.now()
        try:
            response = await self._http.request(self._address, method, path, body, deadline_s)
        except NoResponseError as error:
            raise OutcomeUnknownError(str(error)) from error
        self.responses += 1
        if response.status == 429:
            self.request_budget.penalize(RATE_LIMIT_PENALTY_S)
            raise RateLimitedError("429")
        if response.status >= 500:
            raise StateUnavailableError(str(response.status))
        self.confirmed_at = max(self.confirmed_at, sent_at)
        return response.status, response.body

    async def _take_request(self, deadline_s: float, reserve: float) -> None:
        """Wait until the budget has a request beyond the reserve.

        Unavailable if it has none within the deadline: whoever waits for the response has given up
        by then, and requests that nobody waits for would take the place of others.
        """
        until = self._clock.now() + deadline_s
        while not self.request_budget.take(1.0, reserve):
            wait_s = self.request_budget.wait_s(1.0, reserve) + BUDGET_MARGIN_S
            if self._clock.now() + wait_s > until:
                raise StateUnavailableError("requests of this controller are used up")
            await asyncio.sleep(wait_s)

    async def get(
        self, key: str, deadline_s: float = 2.0, reserve_fraction: float = 0.0
    ) -> wire.Entry | None:
        """The entry of a key, or None if it does not exist; `reserve_fraction`: see `_call`."""
        status, body = await self._call("GET", f"/keys/{key}", None, deadline_s, reserve_fraction)
        if status == 404:
            return None
        return _decode(wire.entry_decoder, status, body)

    async def page(self, prefix: str, after: str | None) -> wire.KeyPage:
        """One page of the keys below a prefix."""
        path = f"/keys?under={prefix}&limit={PAGE_ITEMS}"
        if after is not None:
            path += f"&from={after}"
        status, body = await self._call("GET", path, None, PAGE_DEADLINE_S)
        return _decode(wire.key_page_decoder, status, body)

    async def compare_and_swap(
        self,
        conditions: list[wire.Condition],
        then: list[wire.Write],
        deadline_s: float = 2.0,
        reserve_fraction: float = 0.0,
    ) -> int:
        """Commit the writes if all conditions hold; the revision of the commit.

        The caller has taken the writes from the budget. `reserve_fraction`: see `_call`. Raises
        `ConditionFailedError`, `LeaseExpiredError` if a write's lease has ended, and
        `MalformedRequestError`.
        """
        body = wire.encode(wire.Transaction(conditions, then))
        status, reply = await self._call("POST", "/txn", body, deadline_s, reserve_fraction)
        if status == 409:
            raise ConditionFailedError(_decode(wire.committed_decoder, 200, reply).failed)
        if status == 400 and any(write.lease is not None for write in then):
            raise LeaseExpiredError("transaction")
        if status == 400:
            raise MalformedRequestError(f"400: {reply[:200]!r}")
        return _decode(wire.committed_decoder, status, reply).revision

    async def grant(self, ttl_s: float) -> int:
        """Create a lease with this time to live; its number."""
        body = b'{"ttlMs":%d}' % round(ttl_s * 1000)
        status, reply = await self._call("POST", "/leases", body, GRANT_DEADLINE_S)
        return _decode(wire.lease_decoder, status, reply).lease

    async def renew(self, lease: int, deadline_s: float) -> None:
        """Renew a lease; `LeaseExpiredError` if it has ended."""
        status, _ = await self._call("POST", f"/leases/{lease}/extend", b"{}", deadline_s)
        if status == 404:
            raise LeaseExpiredError(str(lease))
        if status != 200:
            raise StateUnavailableError(f"extend: {status}")

    async def revoke(self, lease: int, deadline_s: float) -> None:
        """End any controller's lease, and delete the keys on it.

        Raises `LeaseExpiredError` if it has ended before.
        """
        status, _ = await self._call("DELETE", f"/leases/{lease}", None, deadline_s)
        if status == 404:
            raise LeaseExpiredError(str(lease))
        if status != 200:
            raise StateUnavailableError(f"revoke: {status}")

    async def follow(self, prefix: str, revision: int, wait_s: float) -> wire.Changes:
        """The changes after a revision, waiting for the first one for up to `wait_s`.

        Raises `RevisionCompactedError` if the state service no longer has them.

        At most `WATCH_REQUEST_FRACTION` of a second's requests go into this: where changes are
        many, a response holds those since the last one. A request for each took all that users'
        polls could get.
        """
        now = self._clock.now()
        pause_s = self._next_watch_at - now
        self._next_watch_at = max(now, self._next_watch_at) + 1.0 / (
            WATCH_REQUEST_FRACTION * self.request_budget.per_s
        )
        if pause_s > 0:
            await asyncio.sleep(pause_s)
        path = f"/follow?under={prefix}&from={revision}&waitMs={round(wait_s * 1000)}"
        status, body = await self._call("GET", path, None, wait_s + WATCH_MARGIN_S)
        if status == 410:
            raise RevisionCompactedError(str(revision))
        return _decode(wire.changes_decoder, status, body)

    async def back_off(self, failures: int) -> None:
        """Back off after that many failures in a row."""
        backoff_s = MIN_BACKOFF_S * 2 ** min(failures, MAX_BACKOFF_DOUBLINGS)
        jitter = 0.5 + self._random.random()
        await asyncio.sleep(min(backoff_s, MAX_BACKOFF_S) * jitter)


def _decode(decoder: msgspec.json.Decoder[_T], status: int, body: bytes) -> _T:
    if status != 200:
        raise StateUnavailableError(f"{status}: {body[:200]!r}")
    try:
        return decoder.decode(body)
    except msgspec.DecodeError as error:
        raise StateUnavailableError(f"undecodable: {error}") from error
