"""Lists in the user API: filters in the query, one JSON object per line in the response."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from urllib.parse import parse_qsl

from badgerseam.api.replies import escaped_error_reply
from badgerseam.errors import BadgerseamError
from badgerseam.http.server import Reply

NDJSON = "application/x-ndjson"
DEFAULT_LINES = "100"
MAX_LINES = 500
"""Maximum number of lines in one response."""


class BadQueryError(BadgerseamError):
    """A query that cannot be answered; `reply` is the error response for the client."""

    def __init__(self, text: str) -> None:
        super().__init__(text)
        self.reply = escaped_error_reply(400, text)


def read_filters(query: str, known: Sequence[str]) -> tuple[dict[str, str], int]:
    """Returns the filters of a query and the maximum number of lines in the response.

    Raises BadQueryError for a filter that is not among `known`, or a limit out of range.
    """
    filters = dict(parse_qsl(query, keep_blank_values=True))
    unknown = sorted(filters.keys() - set(known))
    if unknown:
        raise BadQueryError(f"unknown: {', '.join(unknown)[:100]}; known are {', '.join(known)}")
    limit = filters.get("limit", DEFAULT_LINES)
    if not limit.isdecimal() or not 1 <= int(limit) <= MAX_LINES:
        raise BadQueryError(f"limit: a number from 1 to {MAX_LINES}")
    return filters, int(limit)


def lines_reply(lines: Iterable[bytes]) -> Reply:
    """Returns a reply with one JSON object per line."""
    return Reply(200, b"".join(line + b"\n" for line in lines), content_type=NDJSON)
