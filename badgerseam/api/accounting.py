"""What users ask of jobs that have ended."""

from __future__ import annotations

from urllib.parse import parse_qsl

from badgerseam.accounting.attempts import AttemptLog
from badgerseam.accounting.job_history import JobHistory
from badgerseam.api.lists import BadQueryError, lines_reply, read_filters
from badgerseam.http.budget import RateBudget
from badgerseam.http.server import Reply, error_reply
from badgerseam.model.model import Model
from badgerseam.wire.accounting import AccountingLine, AttemptsEnd, attempt_line, encode

ACCOUNTING = "/accounting"
ATTEMPTS_PER_S = 2.0
"""Each reads pages of the log from the state service, whose requests others need as well."""
MAX_JOBS_SCANNED = 2000
"""Jobs looked at for one answer; the last line then says where to go on."""
FILTERS = ("job", "team", "class", "user", "name", "state", "since", "until", "limit", "after")


class AccountingApi:
    """Lists and totals, from any controller."""

    def __init__(self, model: Model, book: JobHistory, attempts: AttemptLog | None = None) -> None:
        self._model = model
        self._book = book
        self._attempts = attempts
        self._door = RateBudget(model.clock, ATTEMPTS_PER_S, 3.0)

    async def attempts(self, query: str) -> Reply:
        """The attempts of one job, a line each, and a last line that counts them."""
        job_id = dict(parse_qsl(query)).get("job", "")
        if self._attempts is None:
            return error_reply(404, "no log of attempts is kept (accounting.attempts)")
        if not self._door.take():
            return error_reply(429, "too many questions", 1)
        with self._model.lock:
            ended = self._book.get(job_id)
            job = self._model.job(job_id)
            if ended is not None:
                team, since, until = ended.team, ended.submitted_at, ended.ended_at
                count = ended.attempts
            elif job is not None:
                team, since, until = job.spec.team, job.submitted, self._model.clock.wall()
                count = 0 if job.meter is None else job.meter.unmeasured_before + job.meter.placed
            else:
                return error_reply(404, "no such job in the accounts")
            index = self._model.team_index.get(team)
            shard = None if index is None else self._model.teams[index].shard
        if shard is None:
            return error_reply(404, "its team is not among the settings any more")
        bound = self._model.settings.params.time_bound_ms / 1000
        found, whole = await self._attempts.read(shard, job_id, since - bound, until + bound)
        lines = [encode(attempt_line(record)) for record in found]
        return lines_reply([*lines, encode(AttemptsEnd(len(found), count, whole))])

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
        except BadQueryError as bad:
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
                if len(found) >= limit or looked >= MAX_JOBS_SCANNED:
                    more = entry.id
                    break
        if more is not None:
            found.append(encode({"after": more}))
        return lines_reply(found)


def _times(filters: dict[str, str]) -> tuple[float, float]:
    try:
        return float(filters.get("since", "0")), float(filters.get("until", "inf"))
    except ValueError as error:
        raise BadQueryError("since, until: seconds since 1970") from error


def _matches(entry: AccountingLine, filters: dict[str, str]) -> bool:
    return (
        filters.get("team", entry.team) == entry.team
        and filters.get("class", entry.job_class) == entry.job_class
        and filters.get("state", entry.state) == entry.state
        and ("user" not in filters or filters["user"] == entry.user)
        and ("name" not in filters or filters["name"] == entry.name)
    )
