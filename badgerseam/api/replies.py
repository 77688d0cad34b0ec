"""Refusals that the handlers of the user API have in common."""

from __future__ import annotations

import msgspec

from badgerseam.http.server import Reply, error_reply

RETRY_AFTER_S = 1
"""Seconds after which a client is asked to repeat a request that this controller could not
answer."""


def starting_reply() -> Reply:
    """The refusal of a controller that has not loaded the stored state yet."""
    return error_reply(503, "starting", RETRY_AFTER_S)


def wrong_method_reply(allowed: str) -> Reply:
    """The refusal of a method other than the one that a path allows."""
    return error_reply(405, f"{allowed} only")


def no_such_path_reply() -> Reply:
    """The refusal of a path that nothing answers."""
    return error_reply(404, "no such path")


def escaped_error_reply(status: int, text: str) -> Reply:
    """An error reply whose text may need escaping, since it repeats what a client sent."""
    return Reply(status, msgspec.json.encode({"error": text}))
