"""Removing a claim of ours."""

from __future__ import annotations

import logging
from collections.abc import Callable

from badgerseam.store.client import ConditionFailedError, StateClient, StateUnavailableError
from badgerseam.store.committer import GroupCommitter, Urgency
from badgerseam.wire import state as wire

log = logging.getLogger("badgerseam.cluster")

REMOVAL_DEADLINE_S = 5.0


async def remove_claim(
    state: StateClient,
    committer: GroupCommitter,
    key: str,
    version: int,
    insist: Callable[[], bool],
) -> None:
    """Remove a claim, by its stamp. Tried again while `insist`: where we take none ourselves, one
    left standing on our lease would keep all others from it."""
    removal = [wire.Write(delete=key)]
    while True:
        try:
            await committer.commit(Urgency.CLAIM, {key: version}, removal, REMOVAL_DEADLINE_S)
            return
        except ConditionFailedError:
            return
        except StateUnavailableError:
            log.debug("%s: not removed", key)
        if not insist():
            return
        await state.pause(1)
