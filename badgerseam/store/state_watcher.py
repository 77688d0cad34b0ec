"""The state watcher: loads all keys under the program's prefix and follows their changes."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from badgerseam.errors import BadgerseamError
from badgerseam.model.keys import LEVEL_KEY, PREFIX
from badgerseam.model.model import Model
from badgerseam.store.client import RevisionCompactedError, StateClient, StateUnavailableError
from badgerseam.wire import state as wire

log = logging.getLogger("badgerseam.store")

WATCH_WAIT_S = 1.0
"""How long a watch request waits for a change. A response, even without changes, shows that the
model is at most this much out of date."""


class UndecodableRecordError(BadgerseamError):
    """A record cannot be decoded, although the program supports the site's level."""

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(f"{key}: {reason}")
        self.key = key


class _Snapshot(NamedTuple):
    """The keys that were loaded, and the revision from which to follow changes."""

    revision: int
    keys: set[str]


class StateWatcher:
    """Loads the model at the start and then applies every change in order.

    If the program does not support the site's level, only the level's record is read: other records
    may have formats that the program misinterprets, and such a record can crash it.
    """

    def __init__(
        self,
        model: Model,
        state: StateClient,
        on_change: Callable[[], None],
        on_level_support: Callable[[bool], None] = lambda _is_supported: None,
    ) -> None:
        """`on_change`: called after the model has changed; `on_level_support`: called with False
        when the site's level is no longer supported, and with True when it is supported again."""
        self._model = model
        self._state = state
        self._on_change = on_change
        self._on_level_support = on_level_support
        self._is_inactive = False
        """Whether the watcher has stopped because the site's level is not supported."""
        self._is_loaded = False
        self._failures = 0
        """Consecutive failed requests since changes were last received."""

    async def run(self) -> None:
        """Loads the model and follows the changes until cancelled."""
        while True:
            try:
                await self._step()
            except RevisionCompactedError:
                log.info("watch lost, revision compacted revision=%d", self._model.revision)
                self._is_loaded = False
            except StateUnavailableError as error:
                self._failures += 1
                log.debug("watch failed failures=%d error=%s", self._failures, error)
                await self._state.back_off(self._failures)

    async def _step(self) -> None:
        """Waits for a supported level, or loads the model if needed and receives changes once."""
        if self._is_inactive:
            await self._wait_until_supported()
            self._is_loaded = False
            return
        if not self._is_loaded:
            self._is_loaded = await self._load()
            self._on_change()
            if not self._is_loaded:
                return
        await self._follow()

    async def _follow(self) -> None:
        model = self._model
        requested_at = model.clock.now()
        # After a failure the response is requested at once, as it shows that the model is current.
        wait_s = 0.0 if self._failures else WATCH_WAIT_S
        changes = await self._state.follow(PREFIX, model.revision, wait_s)
        self._failures = 0
        self._apply(changes, requested_at)
        self._on_change()

    def _apply(self, changes: wire.Changes, requested_at: float) -> None:
        model = self._model
        with model.lock:
            for event in changes.events:
                if event.put is not None:
                    model.apply(event.put, event.value, event.version)
                elif event.delete is not None:
                    model.apply(event.delete, None, event.version)
                if not model.is_supported:
                    # The changes after it may have formats that the program does not know.
                    self._deactivate()
                    return
            model.advance(changes.revision)
            model.followed_at = max(model.followed_at, requested_at)

    # ---- the site's level ----

    def _deactivate(self) -> None:
        """Stops participating because the site's level is not supported; with the lock held."""
        model = self._model
        level = model.level.level
        remedy = (
            "put the previous program back until the migration is complete"
            if model.program.supports(level)
            else f"install a program that reads level {level}, or have the level lowered"
        )
        log.error(
            "participation stopped level=%d reason=%r remedy=%r see=%r",
            level,
            model.unsupported_reason,
            remedy,
            "badgerseam rollout status",
        )
        self._is_inactive = True
        # Called before the model is unloaded: it still shows the shards that must be given up.
        self._on_level_support(False)
        model.loaded = False

    async def _read_level(self) -> int:
        """Reads the site's level into the model; returns the revision at which it was read."""
        model = self._model
        page = await self._state.page(LEVEL_KEY, None)
        with model.lock:
            if page.items:
                entry = page.items[0]
                model.apply(LEVEL_KEY, entry.value, entry.version)
            elif model.level.version:
                # The level was lowered to the first one, which has no record, while changes were
                # not followed.
                model.apply(LEVEL_KEY, None, model.versions.get(LEVEL_KEY, 0) + 1)
        return page.revision

    async def _wait_until_supported(self) -> None:
        """Reads the level; if it is not supported, waits once for it to change."""
        model = self._model
        revision = await self._read_level()
        if not model.is_supported:
            await self._state.follow(LEVEL_KEY, revision, WATCH_WAIT_S)
            return
        log.info("participation resumed level=%d", model.level.level)
        self._is_inactive = False
        self._on_level_support(True)

    # ---- loading ----

    async def _load(self) -> bool:
        """Reads all keys; False if the program does not support the site's level."""
        model = self._model
        # The level is read first: records of an unsupported level must not be decoded.
        await self._read_level()
        with model.lock:
            if not model.is_supported:
                self._deactivate()
                return False
            model.begin_load()
        try:
            snapshot = await self._read_all_keys()
        except UndecodableRecordError:
            # Unless the level was raised during the load, the record is invalid and loading cannot
            # succeed.
            await self._read_level()
            with model.lock:
                if model.is_supported:
                    raise
                self._deactivate()
            return False
        with model.lock:
            model.end_load(snapshot.revision, snapshot.keys)
            if not model.is_supported:
                self._deactivate()
                return False
        log.info("state loaded revision=%d keys=%d", snapshot.revision, len(snapshot.keys))
        return True

    async def _read_all_keys(self) -> _Snapshot:
        """Reads every key under the prefix and applies it to the model."""
        page = await self._read_page(None)
        # Keys may change between the reads of two pages; following from the first page's revision
        # delivers those changes.
        revision = page.revision
        keys: set[str] = set()
        while True:
            self._apply_page(page)
            keys.update(entry.key for entry in page.items)
            if not page.more or not page.items:
                return _Snapshot(revision, keys)
            await asyncio.sleep(0)
            page = await self._read_page(page.items[-1].key)

    def _apply_page(self, page: wire.KeyPage) -> None:
        with self._model.lock:
            for entry in page.items:
                try:
                    self._model.apply(entry.key, entry.value, entry.version)
                except msgspec.ValidationError as error:
                    raise UndecodableRecordError(entry.key, str(error)) from error

    async def _read_page(self, after: str | None) -> wire.KeyPage:
        """Reads one page, and retries until it succeeds.

        If the whole load were restarted at each refusal, a load of a hundred pages would never
        complete where one request in twenty is refused.
        """
        failures = 0
        while True:
            try:
                return await self._state.page(PREFIX, after)
            except StateUnavailableError as error:
                failures += 1
                log.debug("key page read failed failures=%d error=%s", failures, error)
                await self._state.back_off(failures)
