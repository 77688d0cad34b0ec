"""What users ask of jobs that have ended."""

from __future__ import annotations

from badgerseam.accounting.book import Book
from badgerseam.api.lists import BadQuery, lines_reply, read_filters
from badgerseam.http.server import Reply
from badgerseam.model.model import Model
from badgerseam.wire.accounting import Line, encode

ACCOUNTING = "/accounting"
MOST_LOOKED = 2000
"""Jobs looked at for one answer; the last line then says where to go on."""
FILTERS = ("job", "team", "class", "user", "name", "state", "since", "until", "limit", "after")


class AccountingApi:
    """Lists and totals, from any controller."""

    def __init__(self, model: Model, book: Book) -> None:
        self._model = model
        self._book = book

    def totals(self) -> Reply:
        """By day and team."""
        with self._model.lock:
            return Reply(200, encode(self._book.totals()))

    def jobs(self, query: str) -> Reply:
        """Ended jobs, the latest first, a line each; a last line {"after": ID} if there may be
        more."""
        try:
            filters, limit = read_filters(query, FILTERS)
            since, until = _times(filters)
        except BadQuery as bad:
            return bad.reply
        found: list[bytes] = []
        more: str | None = None
        with self._model.lock:
            if "job" in filters:
                only = self._book.get(filters["job"])
                lines = iter([] if only is None else [only])
            else:
                lines = self._book.lines(filters.get("after"))
            for looked, entry in enumerate(lines, 1):
                if since <= entry.ended_at <= until and _matches(entry, filters):
                    found.append(encode(entry))
                if len(found) >= limit or looked >= MOST_LOOKED:
                    more = entry.id
                    break
        if more is not None:
            found.append(encode({"after": more}))
        return lines_reply(found)


def _times(filters: dict[str, str]) -> tuple[float, float]:
    try:
        return float(filters.get("since", "0")), float(filters.get("until", "inf"))
    except ValueError as error:
        raise BadQuery("since, until: seconds since 1970") from error


def _matches(entry: Line, filters: dict[str, str]) -> bool:
    return (
        filters.get("team", entry.team) == entry.team
        and filters.get("class", entry.job_class) == entry.job_class
        and filters.get("state", entry.state) == entry.state
        and ("user" not in filters or filters["user"] == entry.user)
        and ("name" not in filters or filters["name"] == entry.name)
    )
