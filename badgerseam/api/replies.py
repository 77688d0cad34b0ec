"""Error replies shared by the handlers of the user API."""

from __future__ import annotations

import msgspec

from badgerseam.http.server import Reply, error_reply

RETRY_AFTER_S = 1
"""Seconds after which a client is asked to retry a request that this controller could not
answer."""


def starting_reply() -> Reply:
    """Returns the error of a controller that has not loaded the stored state yet."""
    return error_reply(503, "starting", RETRY_AFTER_S)


def wrong_method_reply(allowed: str) -> Reply:
    """Returns the error for a method other than the one that a path allows."""
    return error_reply(405, f"{allowed} only")


def no_such_path_reply() -> Reply:
    """Returns the error for a path that no handler answers."""
    return error_reply(404, "no such path")


def escaped_error_reply(status: int, text: str) -> Reply:
    """Returns an error reply whose text may need escaping, since it quotes the client's request."""
    return Reply(status, msgspec.json.encode({"error": text}))
