"""The client of the state service: requests with deadlines, rate budgets and backoff."""

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
"""Fraction of the request rate that watch requests may use."""
REQUEST_RATE_FRACTION = 0.9
WRITE_RATE_FRACTION = 0.95
"""Fractions of the service's limits that all controllers together use: the rest is a margin for
differences between their clocks."""
BUDGET_MARGIN_S = 0.002
"""Seconds added to the computed wait for the budget to allow a request."""
RATE_LIMIT_PENALTY_S = 0.1
"""A response of 429 takes this many seconds' worth of requests from the budget."""
PAGE_ITEMS = 1000
PAGE_DEADLINE_S = 5.0
GRANT_DEADLINE_S = 1.5
WATCH_MARGIN_S = 3.0
"""Seconds that a watch request may take in addition to its requested wait."""
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
MAX_BACKOFF_DOUBLINGS = 5
NEVER = -1e9
"""A time before any clock reading."""

_T = TypeVar("_T")


class StateUnavailableError(BadgerseamError):
    """The state service did not execute the request, or did not respond."""


class RateLimitedError(StateUnavailableError):
    """The state service refused the request because of the rate limit (status 429)."""


class OutcomeUnknownError(StateUnavailableError):
    """There was no response: the request may have been executed, or may be executed later."""


class MalformedRequestError(StateUnavailableError):
    """The state service rejected the request as malformed, and would reject it again."""


class ConditionFailedError(BadgerseamError):
    """Conditions failed, so nothing was written; `failed` lists their keys."""

    def __init__(self, failed: list[str]) -> None:
        super().__init__(f"conditions failed: {', '.join(failed)}")
        self.failed = failed


class LeaseExpiredError(BadgerseamError):
    """The lease has expired or was revoked."""


class RevisionCompactedError(BadgerseamError):
    """The state service no longer has the changes after the requested revision."""


class StateClient:
    """Has one method for each request of the protocol.

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
        lowest = params.lowest
        self.request_budget = RateBudget(clock, REQUEST_RATE_FRACTION * lowest.rps / nodes)
        self.write_budget = RateBudget(clock, WRITE_RATE_FRACTION * lowest.write_rps / nodes)
        self.confirmed_at = NEVER
        """When the most recent request that was executed and answered was sent."""
        self._next_watch_at = NEVER
        """Time before which no watch request is sent."""
        self.responses = 0
        """Number of responses, including refusals, which also arrive during an outage."""

    async def _request(
        self,
        method: str,
        path: str,
        body: bytes | None,
        deadline_s: float,
        reserve_fraction: float = 0.0,
    ) -> tuple[int, bytes]:
        """Sends a request and returns the status and body of the response.

        Raises `StateUnavailableError` for status 429 and for 500 and above. `reserve_fraction`: the
        fraction of a second's requests that is left to other callers.
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
            raise RateLimitedError("rate limit of the state service exceeded: status 429")
        if response.status >= 500:
            raise StateUnavailableError(f"status {response.status}")
        self.confirmed_at = max(self.confirmed_at, sent_at)
        return response.status, response.body

    async def _take_request(self, deadline_s: float, reserve: float) -> None:
        """Waits until the budget allows a request without using the reserve.

        Raises `StateUnavailableError` if that would take longer than the deadline: the caller would
        have given up by then, and the request would use budget that other callers need.
        """
        until = self._clock.now() + deadline_s
        while not self.request_budget.take(1.0, reserve):
            wait_s = self.request_budget.wait_s(1.0, reserve) + BUDGET_MARGIN_S
            if self._clock.now() + wait_s > until:
                raise StateUnavailableError("request budget of this controller exhausted")
            await asyncio.sleep(wait_s)

    async def get(
        self, key: str, deadline_s: float = 2.0, reserve_fraction: float = 0.0
    ) -> wire.Entry | None:
        """Returns a key's entry, or None if the key does not exist.

        `reserve_fraction`: see `_request`.
        """
        status, body = await self._request(
            "GET", f"/keys/{key}", None, deadline_s, reserve_fraction
        )
        if status == 404:
            return None
        return _decode(wire.entry_decoder, status, body)

    async def page(self, prefix: str, after: str | None) -> wire.KeyPage:
        """Returns one page of the keys under a prefix, beginning after the key `after`."""
        path = f"/keys?under={prefix}&limit={PAGE_ITEMS}"
        if after is not None:
            path += f"&from={after}"
        status, body = await self._request("GET", path, None, PAGE_DEADLINE_S)
        return _decode(wire.key_page_decoder, status, body)

    async def compare_and_swap(
        self,
        conditions: list[wire.Condition],
        then: list[wire.Write],
        deadline_s: float = 2.0,
        reserve_fraction: float = 0.0,
    ) -> int:
        """Commits the writes if all conditions hold, and returns the revision of the commit.

        The caller must have taken the writes from the write budget. `reserve_fraction`: see
        `_request`. Raises `ConditionFailedError`, `LeaseExpiredError` if a write's lease has ended,
        and `MalformedRequestError`.
        """
        body = wire.encode(wire.Transaction(conditions, then))
        status, reply = await self._request("POST", "/txn", body, deadline_s, reserve_fraction)
        if status == 409:
            raise ConditionFailedError(_decode(wire.committed_decoder, 200, reply).failed)
        if status == 400 and any(write.lease is not None for write in then):
            raise LeaseExpiredError("transaction refused: the lease of a write has ended")
        if status == 400:
            raise MalformedRequestError(f"status 400: {reply[:200]!r}")
        return _decode(wire.committed_decoder, status, reply).revision

    async def grant(self, ttl_s: float) -> int:
        """Creates a lease with this time to live, and returns its number."""
        body = b'{"ttlMs":%d}' % round(ttl_s * 1000)
        status, reply = await self._request("POST", "/leases", body, GRANT_DEADLINE_S)
        return _decode(wire.lease_decoder, status, reply).lease

    async def renew(self, lease: int, deadline_s: float) -> None:
        """Renews a lease. Raises `LeaseExpiredError` if it has ended."""
        status, _ = await self._request("POST", f"/leases/{lease}/extend", b"{}", deadline_s)
        if status == 404:
            raise LeaseExpiredError(f"lease {lease} has ended")
        if status != 200:
            raise StateUnavailableError(f"lease {lease} not renewed: status {status}")

    async def revoke(self, lease: int, deadline_s: float) -> None:
        """Ends a lease, which may be another controller's, and deletes the keys attached to it.

        Raises `LeaseExpiredError` if it has already ended.
        """
        status, _ = await self._request("DELETE", f"/leases/{lease}", None, deadline_s)
        if status == 404:
            raise LeaseExpiredError(f"lease {lease} has ended")
        if status != 200:
            raise StateUnavailableError(f"lease {lease} not revoked: status {status}")

    async def follow(self, prefix: str, revision: int, wait_s: float) -> wire.Changes:
        """Returns the changes after a revision, waiting up to `wait_s` for the first one.

        Raises `RevisionCompactedError` if the state service no longer has them.

        Watch requests use at most `WATCH_REQUEST_FRACTION` of the request rate: if changes are
        frequent, each response contains all changes since the previous one. One request per change
        would use up the budget that users' polls need.
        """
        now = self._clock.now()
        pause_s = self._next_watch_at - now
        self._next_watch_at = max(now, self._next_watch_at) + 1.0 / (
            WATCH_REQUEST_FRACTION * self.request_budget.per_s
        )
        if pause_s > 0:
            await asyncio.sleep(pause_s)
        path = f"/follow?under={prefix}&from={revision}&waitMs={round(wait_s * 1000)}"
        status, body = await self._request("GET", path, None, wait_s + WATCH_MARGIN_S)
        if status == 410:
            raise RevisionCompactedError(f"no changes after revision {revision}: compacted")
        return _decode(wire.changes_decoder, status, body)

    async def back_off(self, failures: int) -> None:
        """Waits after this many consecutive failures, with exponential backoff and jitter."""
        backoff_s = MIN_BACKOFF_S * 2 ** min(failures, MAX_BACKOFF_DOUBLINGS)
        jitter = 0.5 + self._random.random()
        await asyncio.sleep(min(backoff_s, MAX_BACKOFF_S) * jitter)


def _decode(decoder: msgspec.json.Decoder[_T], status: int, body: bytes) -> _T:
    if status != 200:
        raise StateUnavailableError(f"unexpected status {status}: {body[:200]!r}")
    try:
        return decoder.decode(body)
    except msgspec.DecodeError as error:
        raise StateUnavailableError(f"undecodable response: {error}") from error
