"""The state watcher: loads everything below our prefix and follows the changes of it."""

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
"""How long a watch request waits for a change: a response, with changes or none, tells that what is
known is no older than that."""


class UndecodableRecordError(BadgerseamError):
    """A record has no form that this program knows, although it supports the site's level."""

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(f"{key}: {reason}")
        self.key = key


class _Snapshot(NamedTuple):
    """All keys that were loaded, and the revision from which to follow."""

    revision: int
    keys: set[str]


class StateWatcher:
    """Loads the model at the start and then applies every change in order.

    At a site whose level the program does not support, nothing but the level's record is read:
    other records may have forms that it would misunderstand, and an older program has ended at such
    a one before.
    """

    def __init__(
        self,
        model: Model,
        state: StateClient,
        changed: Callable[[], None],
        on_level_support: Callable[[bool], None] = lambda _is_supported: None,
    ) -> None:
        """`changed`: called after the model has changed; `on_level_support`: called with False when
        the site's level ceases to be supported, and with True when it is again."""
        self._model = model
        self._state = state
        self._changed = changed
        self._on_level_support = on_level_support
        self._is_inactive = False
        """The site's level is not supported."""
        self._is_loaded = False
        self._failures = 0
        """Requests in a row that failed, since changes were last received."""

    async def run(self) -> None:
        """Follow for ever."""
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
        """Wait for a supported level, or load if that is due and receive changes once."""
        if self._is_inactive:
            await self._wait_until_supported()
            self._is_loaded = False
            return
        if not self._is_loaded:
            self._is_loaded = await self._load()
            self._changed()
            if not self._is_loaded:
                return
        await self._follow()

    async def _follow(self) -> None:
        model = self._model
        requested_at = model.clock.now()
        # After a failure, that nothing has changed is to be known at once.
        wait_s = 0.0 if self._failures else WATCH_WAIT_S
        changes = await self._state.follow(PREFIX, model.revision, wait_s)
        self._failures = 0
        self._apply(changes, requested_at)
        self._changed()

    def _apply(self, changes: wire.Changes, requested_at: float) -> None:
        model = self._model
        with model.lock:
            for event in changes.events:
                if event.put is not None:
                    model.apply(event.put, event.value, event.version)
                elif event.delete is not None:
                    model.apply(event.delete, None, event.version)
                if not model.is_supported:
                    # What comes after it may have a form that this program does not know.
                    self._deactivate()
                    return
            model.advance(changes.revision)
            model.followed_at = max(model.followed_at, requested_at)

    # ---- the site's level ----

    def _deactivate(self) -> None:
        """Stop taking part, since the site's level is not supported; with the lock held."""
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
        # Called while the model still shows what is owned and has to be given up.
        self._on_level_support(False)
        model.loaded = False

    async def _read_level(self) -> int:
        """Make the model's level what the state service has now; the revision of that."""
        model = self._model
        page = await self._state.page(LEVEL_KEY, None)
        with model.lock:
            if page.items:
                entry = page.items[0]
                model.apply(LEVEL_KEY, entry.value, entry.version)
            elif model.level.version:
                # Lowered to the level without a record while it was not followed.
                model.apply(LEVEL_KEY, None, model.versions.get(LEVEL_KEY, 0) + 1)
        return page.revision

    async def _wait_until_supported(self) -> None:
        """Read the level; if it is not supported yet, wait once for a change of it."""
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
        """Read all keys; False if the program does not support the site's level."""
        model = self._model
        # Before all else: records of a level that is not supported must not be decoded.
        await self._read_level()
        with model.lock:
            if not model.is_supported:
                self._deactivate()
                return False
            model.begin_load()
        try:
            snapshot = await self._read_all_keys()
        except UndecodableRecordError:
            # The level was raised while keys were read; if not, there is no way to go on.
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
        """Apply every key of the state service to the model."""
        page = await self._read_page(None)
        # Pages are read one after the other; following from the first one's revision brings
        # whatever changed behind it.
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
        """One page, requested until it comes: a load that began anew at each refusal would never
        have read a hundred pages where one request in twenty is refused."""
        failures = 0
        while True:
            try:
                return await self._state.page(PREFIX, after)
            except StateUnavailableError as error:
                failures += 1
                log.debug("key page read failed failures=%d error=%s", failures, error)
                await self._state.back_off(failures)
