"""Writing a controller's own record, which tells its siblings that it is there."""

from __future__ import annotations

import logging
from collections.abc import Callable

from badgerseam.model.keys import node_key
from badgerseam.model.model import Model
from badgerseam.store.client import ConditionFailedError, StateClient, StateUnavailableError
from badgerseam.store.committer import GroupCommitter, ProposalDroppedError, Urgency
from badgerseam.wire import state as wire

log = logging.getLogger("badgerseam.cluster")

MAX_ATTEMPTS = 3
"""Of writing on what is found in its place."""


async def write_controller_record(
    model: Model,
    state: StateClient,
    committer: GroupCommitter,
    compose: Callable[[], wire.ControllerRecord | None],
) -> wire.ControllerRecord | None:
    """Write what `compose` gives, asked again for each try: what is known to be written, or None.
    LeaseLost if its lease has ended."""
    key = node_key(model.settings.node)
    known = model.controllers.get(model.settings.node)
    stamp = 0 if known is None else known.version
    for _ in range(MAX_ATTEMPTS):
        record = compose()
        if record is None:
            break
        write = wire.Write(put=key, value=wire.raw(record), lease=record.lease)
        try:
            # On the stamp of the one before: carried out late, an older record took the place of a
            # newer one for good, and siblings brought no share home to a controller that was back,
            # or some to one that had gone away.
            revision = await committer.commit(Urgency.CLAIM, {key: stamp}, [write], 2.0)
            with model.lock:
                model.apply(key, write.value, revision)
            return record
        except ConditionFailedError:
            # One of an earlier process, or of ours that seemed lost. The replica may be late.
            try:
                entry = await state.get(key)
            except StateUnavailableError:
                break
            stamp = 0 if entry is None else entry.version
        except (StateUnavailableError, ProposalDroppedError):
            break
    log.debug("not announced yet")
    return None
