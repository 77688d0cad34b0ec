"""The store of the state service: revisions, transactions, leases, watches and limits."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field

from msgspec import Raw
from sortedcontainers import SortedDict

from badgerseam.clock import Clock
from badgerseam.errors import BadgerseamError
from badgerseam.http.budget import RateBudget
from badgerseam.lab.errors import RateLimitedError
from badgerseam.settings import StateParams
from badgerseam.store.client import ConditionFailedError, LeaseExpiredError, RevisionCompactedError
from badgerseam.wire import state as wire

MAX_KEPT_CHANGES = 10_000
"""Number of latest changes that are kept for watches."""
MAX_PAGE_ITEMS = 1000
MAX_PAGE_BYTES = 512 * 1024
MAX_TRANSACTION_BYTES = 64 * 1024
MAX_KEY_BYTES = 200


class MalformedRequestError(BadgerseamError):
    """A request violates the protocol; the message says how."""


@dataclass(slots=True)
class _Lease:
    ttl_s: float
    expires_at: float
    keys: set[str] = field(default_factory=set)


class StateCore:
    """The keys, leases and changes in memory. Only watches wait, until the next change."""

    def __init__(self, clock: Clock, params: StateParams) -> None:
        self._clock = clock
        self.params = params
        self.data: SortedDict[str, tuple[Raw, int, int | None]] = SortedDict()
        """Value, revision of the latest change, and lease of each key."""
        self.revision = 0
        self.leases: dict[int, _Lease] = {}
        self._last_lease = 0
        self._log: deque[wire.Change] = deque(maxlen=MAX_KEPT_CHANGES)
        self._compacted_revision = 0
        """The earliest revision from which a watch can start; changes before it may be gone."""
        self._requests = RateBudget(clock, params.rps)
        self._writes = RateBudget(clock, params.write_rps)
        self._changed = asyncio.Event()
        self.down = False
        """Whether there is an outage: no request is executed and no lease expires."""
        self.rejections: list[str] = []
        """The reasons of the transactions that were rejected as malformed or too large."""

    # ---- limits ----

    def admit(self) -> None:
        """Counts a request; RateLimitedError above the limit."""
        if not self._requests.take():
            raise RateLimitedError

    def set_limits(self, params: StateParams) -> None:
        """Replaces the limits. What is stored stays readable, even if it exceeds them."""
        self.params = params
        self._requests = RateBudget(self._clock, params.rps)
        self._writes = RateBudget(self._clock, params.write_rps)

    # ---- keys ----

    def get(self, key: str) -> wire.Entry | None:
        """Returns the entry of a key; None if there is none."""
        self.expire()
        found = self.data.get(key)
        return None if found is None else wire.Entry(key, found[0], found[1])

    def page(self, prefix: str, after: str, limit: int) -> wire.KeyPage:
        """Returns a page of the keys with a prefix, in order, that follow `after`."""
        self.expire()
        items: list[wire.Entry] = []
        size = 0
        start = max(prefix, after)
        for key in self.data.irange(start):
            if not key.startswith(prefix):
                break
            if key == after:
                continue
            value, version, _ = self.data[key]
            size += len(bytes(value)) + len(key) + 40
            if len(items) >= min(limit, MAX_PAGE_ITEMS) or (items and size > MAX_PAGE_BYTES):
                return wire.KeyPage(items, True, self.revision)
            items.append(wire.Entry(key, value, version))
        return wire.KeyPage(items, False, self.revision)

    def compare_and_swap(self, conditions: list[wire.Condition], then: list[wire.Write]) -> int:
        """Like `execute`, but within the limits.

        A transaction whose conditions fail counts towards the limit as well.
        """
        try:
            self._check(conditions, then)
        except MalformedRequestError as error:
            self.rejections.append(str(error))
            raise
        if then and not self._writes.take(len(then)):
            raise RateLimitedError
        return self.execute(conditions, then)

    def execute(self, conditions: list[wire.Condition], then: list[wire.Write]) -> int:
        """Executes all writes at one revision if all conditions hold; returns the revision.

        ConditionFailedError or LeaseExpiredError otherwise.
        """
        self.expire()
        for write in then:
            if write.lease is not None and write.lease not in self.leases:
                raise LeaseExpiredError(str(write.lease))
        failed = [c.key for c in conditions if self.version(c.key) != c.version]
        if failed:
            raise ConditionFailedError(failed)
        if then:
            self.revision += 1
        for write in then:
            if write.put is not None:
                self._put(write.put, write.value or Raw(b"null"), write.lease)
            elif write.delete is not None:
                self._remove(write.delete)
        if then:
            self._notify_watches()
        return self.revision

    def version(self, key: str) -> int:
        """Returns the revision of a key's latest change; 0 if the key does not exist."""
        return self.data[key][1] if key in self.data else 0

    def _check(self, conditions: list[wire.Condition], then: list[wire.Write]) -> None:
        max_ops = self.params.txn_ops
        if len(then) > max_ops or len(conditions) > 4 * max_ops:
            raise MalformedRequestError(f"over {max_ops} writes or {4 * max_ops} conditions")
        if len(wire.encode(wire.Transaction(conditions, then))) > MAX_TRANSACTION_BYTES:
            raise MalformedRequestError("over 64 KiB")
        for write in then:
            key = write.put if write.put is not None else write.delete
            if key is None or not 1 <= len(key.encode()) <= MAX_KEY_BYTES or " " in key:
                raise MalformedRequestError("a key of 1 to 200 bytes without spaces is needed")
            if write.value is not None and len(bytes(write.value)) > self.params.value_kb * 1024:
                raise MalformedRequestError(f"{key}: value over {self.params.value_kb} KiB")

    def _put(self, key: str, value: Raw, lease: int | None) -> None:
        self._detach(key)
        self.data[key] = (value, self.revision, lease)
        if lease is not None:
            self.leases[lease].keys.add(key)
        self._append_change(wire.Change(self.revision, put=key, value=value))

    def _remove(self, key: str) -> None:
        if key in self.data:
            self._detach(key)
            del self.data[key]
            self._append_change(wire.Change(self.revision, delete=key))

    def _detach(self, key: str) -> None:
        held = self.data.get(key)
        if held is not None and held[2] in self.leases:
            self.leases[held[2]].keys.discard(key)

    # ---- leases ----

    def grant(self, ttl_s: float) -> int:
        """Creates a lease and returns its id."""
        if not 0.1 <= ttl_s <= 600:
            raise MalformedRequestError("ttlMs: from 100 to 600000")
        self._last_lease += 1
        self.leases[self._last_lease] = _Lease(ttl_s, self._clock.now() + ttl_s)
        return self._last_lease

    def renew(self, lease: int) -> None:
        """Gives a lease its full time to live again; LeaseExpiredError if it has ended."""
        self.expire()
        if lease not in self.leases:
            raise LeaseExpiredError(str(lease))
        found = self.leases[lease]
        found.expires_at = self._clock.now() + found.ttl_s

    def revoke(self, lease: int) -> None:
        """Ends a lease and deletes its keys; LeaseExpiredError if it has ended."""
        self.expire()
        if lease not in self.leases:
            raise LeaseExpiredError(str(lease))
        self._end([lease])

    def expire(self) -> None:
        """Ends the leases that have expired.

        During an outage none ends, because each gets its full time to live again after it.
        """
        if self.down:
            return
        now = self._clock.now()
        expired = [lease for lease, held in self.leases.items() if held.expires_at < now]
        if expired:
            self._end(expired)

    def renew_all(self) -> None:
        """Gives every lease its full time to live again, as after an outage."""
        for lease in self.leases.values():
            lease.expires_at = self._clock.now() + lease.ttl_s

    def _end(self, leases: list[int]) -> None:
        keys = [key for lease in leases for key in self.leases.pop(lease).keys]
        if keys:
            self.revision += 1
            for key in sorted(keys):
                self._remove(key)
            self._notify_watches()

    # ---- watches ----

    def changes(self, prefix: str, revision: int) -> wire.Changes:
        """Returns the changes after a revision; RevisionCompactedError if some are not kept."""
        self.expire()
        if revision < self._compacted_revision:
            raise RevisionCompactedError(str(revision))
        found: list[wire.Change] = []
        for change in reversed(self._log):
            if change.version <= revision:
                break
            if (change.put or change.delete or "").startswith(prefix):
                found.append(change)
        found.reverse()
        return wire.Changes(self.revision, found)

    async def wait_for_change(self, wait_s: float) -> None:
        """Waits for the next change of any key, for at most `wait_s` seconds."""
        try:
            await asyncio.wait_for(self._changed.wait(), wait_s)
        except TimeoutError:
            return

    def _append_change(self, change: wire.Change) -> None:
        if len(self._log) == MAX_KEPT_CHANGES:
            self._compacted_revision = self._log[0].version
        self._log.append(change)

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
