"""The replica: everything below our prefix, kept current by following the state service."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

import msgspec

from badgerseam.errors import BadgerseamError
from badgerseam.model.keys import LEVEL_KEY, PREFIX
from badgerseam.model.model import Model
from badgerseam.store.client import RevisionCompactedError, StateClient, StateUnavailableError
from badgerseam.wire import state as wire

log = logging.getLogger("badgerseam.store")

WAIT_S = 1.0
"""How long a request to follow waits for a change: an answer, changes or none, tells that what is
known is no older than that."""


class UndecodableRecordError(BadgerseamError):
    """A record is not one of this program's, at a level that it fits; the message names the key."""


class StateWatcher:
    """Loads the model at the start and then applies every change in order.

    At a site whose level the program does not fit, nothing but the level's record is read: other
    records may have forms that it would misunderstand, and an older program has ended at such a
    one before. `fitting` is told when that begins and when it is over.
    """

    def __init__(
        self,
        model: Model,
        state: StateClient,
        changed: Callable[[], None],
        fitting: Callable[[bool], None] = lambda fits: None,
    ) -> None:
        self._model = model
        self._state = state
        self._changed = changed
        self._fitting = fitting
        self._inactive = False

    async def run(self) -> None:
        """Follow for ever."""
        model = self._model
        failures = 0
        loaded = False
        while True:
            try:
                if self._inactive:
                    await self._wait_until_supported()
                    loaded = False
                    continue
                if not loaded:
                    loaded = await self._load()
                    self._changed()
                    if not loaded:
                        continue
                asked = model.clock.now()
                # After a failure, that nothing has changed is to be known at once.
                wait_s = 0.0 if failures else WAIT_S
                changes = await self._state.follow(PREFIX, model.revision, wait_s)
                failures = 0
            except RevisionCompactedError:
                log.info("the changes to follow are no longer kept; reading all keys again")
                loaded = False
                continue
            except StateUnavailableError as error:
                failures += 1
                log.debug("following failed: %s", error)
                await self._state.pause(failures)
                continue
            with model.lock:
                for event in changes.events:
                    if event.put is not None:
                        model.apply(event.put, event.value, event.version)
                    elif event.delete is not None:
                        model.apply(event.delete, None, event.version)
                    if not model.is_supported:
                        # What comes behind it may have a form that we do not know.
                        self._deactivate()
                        break
                else:
                    model.advance(changes.revision)
                    model.followed_at = max(model.followed_at, asked)
            self._changed()

    def _deactivate(self) -> None:
        model = self._model
        remedy = (
            "put the one before back until the rest is carried over"
            if model.program.supports(model.level.level)
            else f"install one that reads level {model.level.level}, or have the level lowered"
        )
        log.error(
            "%s: it takes no part; %s (badgerseam rollout status)", model.unsupported_reason, remedy
        )
        self._inactive = True
        # First told, while the model still shows what is held and has to be given up.
        self._fitting(False)
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
                # Lowered to the level without a record while we did not look.
                model.apply(LEVEL_KEY, None, model.versions.get(LEVEL_KEY, 0) + 1)
        return page.revision

    async def _wait_until_supported(self) -> None:
        model = self._model
        revision = await self._read_level()
        if not model.is_supported:
            await self._state.follow(LEVEL_KEY, revision, WAIT_S)
            return
        log.info("the site is at level %d: this program takes part again", model.level.level)
        self._inactive = False
        self._fitting(True)

    async def _page(self, after: str | None) -> wire.KeyPage:
        """One page, asked for until it comes: whoever began anew at each refusal would never have
        read a hundred pages where one request in twenty is refused."""
        failures = 0
        while True:
            try:
                return await self._state.page(PREFIX, after)
            except StateUnavailableError as error:
                failures += 1
                log.debug("a page was not read: %s", error)
                await self._state.pause(failures)

    async def _load(self) -> bool:
        """Read all keys; False if the program does not fit the site's level."""
        model = self._model
        # Before all else: what lies at another level must not be looked at.
        await self._read_level()
        after: str | None = None
        revision: int | None = None
        strange: str | None = None
        seen: set[str] = set()
        with model.lock:
            if not model.is_supported:
                self._deactivate()
                return False
            model.begin_load()
        while True:
            page = await self._page(after)
            if revision is None:
                # Pages are read one after the other; following from the first one's revision
                # brings whatever changed behind it.
                revision = page.revision
            with model.lock:
                for entry in page.items:
                    seen.add(entry.key)
                    try:
                        model.apply(entry.key, entry.value, entry.version)
                    except msgspec.ValidationError as error:
                        strange = f"{entry.key}: {error}"
                        break
            if strange is not None:
                # Raised past us while we read, or else nothing that we can go on from.
                await self._read_level()
                with model.lock:
                    if model.is_supported:
                        raise UndecodableRecordError(strange)
                    self._deactivate()
                return False
            if not page.more or not page.items:
                break
            after = page.items[-1].key
            await asyncio.sleep(0)
        with model.lock:
            model.end_load(revision, seen)
            if not model.is_supported:
                self._deactivate()
                return False
        log.info("replica loaded at revision %d: %d keys", revision, len(seen))
        return True
