"""The replica: everything below our prefix, kept current by following the state service."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from badgerseam.model.keys import PREFIX
from badgerseam.model.model import Model
from badgerseam.store.client import StateClient, TooOld, Unavailable

log = logging.getLogger("badgerseam.store")

WAIT_S = 2.0
"""How long a request to follow waits for a change: an answer, changes or none, tells that what is
known is no older than that."""


class Replica:
    """Loads the model at the start and then applies every change in order."""

    def __init__(self, model: Model, state: StateClient, changed: Callable[[], None]) -> None:
        self._model = model
        self._state = state
        self._changed = changed

    async def run(self) -> None:
        """Follow for ever."""
        model = self._model
        failures = 0
        loaded = False
        while True:
            try:
                if not loaded:
                    await self._load()
                    loaded = True
                    self._changed()
                asked = model.clock.now()
                changes = await self._state.follow(PREFIX, self._model.revision, WAIT_S)
                failures = 0
            except TooOld:
                log.info("the changes to follow are no longer kept; reading all keys again")
                loaded = False
                continue
            except Unavailable as error:
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
                model.revision = max(model.revision, changes.revision)
                model.followed_at = max(model.followed_at, asked)
            self._changed()

    async def _load(self) -> None:
        model = self._model
        after: str | None = None
        revision: int | None = None
        seen: set[str] = set()
        with model.lock:
            model.begin_load()
        while True:
            page = await self._state.page(PREFIX, after)
            if revision is None:
                # Pages are read one after the other; following from the first one's revision
                # brings whatever changed behind it.
                revision = page.revision
            with model.lock:
                for entry in page.items:
                    seen.add(entry.key)
                    model.apply(entry.key, entry.value, entry.version)
            if not page.more or not page.items:
                break
            after = page.items[-1].key
            await asyncio.sleep(0)
        with model.lock:
            model.end_load(revision, seen)
        log.info("replica loaded at revision %d: %d keys", revision, len(seen))
