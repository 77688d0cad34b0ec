"""What lists have in common: filters in a query, lines in an answer."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from urllib.parse import parse_qsl

import msgspec

from badgerseam.errors import BadgerseamError
from badgerseam.http.server import Reply

NDJSON = "application/x-ndjson"
MAX_LINES = 500


class BadQueryError(BadgerseamError):
    """A query that cannot be answered; `reply` says why."""

    def __init__(self, text: str) -> None:
        super().__init__(text)
        self.reply = Reply(400, msgspec.json.encode({"error": text}))


def read_filters(query: str, known: Sequence[str]) -> tuple[dict[str, str], int]:
    """The filters of a query, and how many lines are wanted; BadQuery names what is wrong."""
    filters = dict(parse_qsl(query, keep_blank_values=True))
    unknown = sorted(filters.keys() - set(known))
    if unknown:
        raise BadQueryError(f"unknown: {', '.join(unknown)[:100]}; known are {', '.join(known)}")
    limit = filters.get("limit", "100")
    if not limit.isdecimal() or not 1 <= int(limit) <= MAX_LINES:
        raise BadQueryError(f"limit: a number from 1 to {MAX_LINES}")
    return filters, int(limit)


def lines_reply(lines: Iterable[bytes]) -> Reply:
    """One JSON object a line."""
    return Reply(200, b"".join(line + b"\n" for line in lines), content_type=NDJSON)
