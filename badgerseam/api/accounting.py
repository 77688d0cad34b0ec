"""The accounting API: ended jobs, their attempts, and totals by day and team."""

from __future__ import annotations

from urllib.parse import parse_qsl

from badgerseam.accounting.attempts import AttemptLog
from badgerseam.accounting.job_history import JobHistory
from badgerseam.api.lists import BadQueryError, lines_reply, read_filters
from badgerseam.api.replies import no_such_path_reply, starting_reply
from badgerseam.http.budget import RateBudget
from badgerseam.http.server import Reply, error_reply
from badgerseam.model.model import Model
from badgerseam.wire.accounting import AccountingLine, AttemptsEnd, attempt_line, encode

ACCOUNTING = "/accounting"
ATTEMPTS_PER_S = 2.0
"""Requests for attempts per second: each reads pages of the log from the state service, whose
request rate is shared with other uses."""
ATTEMPTS_BURST_S = 3.0
"""Seconds of that rate that can be used at once."""
MAX_JOBS_SCANNED = 2000
"""Jobs examined for one response; the last line then says where to continue."""
FILTERS = ("job", "team", "class", "user", "name", "state", "since", "until", "limit", "after")


class AccountingApi:
    """Answers requests at or below `/accounting`, on any controller."""

    def __init__(
        self, model: Model, history: JobHistory, attempt_log: AttemptLog | None = None
    ) -> None:
        self._model = model
        self._history = history
        self._attempt_log = attempt_log
        self._rate = RateBudget(model.clock, ATTEMPTS_PER_S, ATTEMPTS_BURST_S)

    async def handle(self, method: str, path: str, query: str) -> Reply:
        """Handles a request at or below `/accounting`; `path` excludes the query."""
        if method != "GET":
            return error_reply(405, "GET only")
        if not self._model.loaded:
            return starting_reply()
        if path == ACCOUNTING:
            return self.jobs(query)
        if path == f"{ACCOUNTING}/attempts":
            return await self.attempts(query)
        if path == f"{ACCOUNTING}/totals":
            return self.totals()
        return no_such_path_reply()

    async def attempts(self, query: str) -> Reply:
        """Returns the attempts of one job, one per line, and their count in the last line."""
        job_id = dict(parse_qsl(query)).get("job", "")
        if self._attempt_log is None:
            return error_reply(404, "no log of attempts is kept (accounting.attempts)")
        if not self._rate.take():
            return error_reply(429, "too many questions", 1)
        with self._model.lock:
            ended = self._history.get(job_id)
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
        clock_error_s = self._model.settings.params.time_bound_ms / 1000
        records, is_complete = await self._attempt_log.read(
            shard, job_id, since - clock_error_s, until + clock_error_s
        )
        lines = [encode(attempt_line(record)) for record in records]
        return lines_reply([*lines, encode(AttemptsEnd(len(records), count, is_complete))])

    def totals(self) -> Reply:
        """Returns totals by day and team."""
        with self._model.lock:
            return Reply(200, encode(self._history.totals()))

    def jobs(self, query: str) -> Reply:
        """Returns ended jobs, the latest first, one per line; the last line is {"after": ID} if
        there may be more.
        """
        try:
            filters, limit = read_filters(query, FILTERS)
            since, until = _end_time_range(filters)
        except BadQueryError as refusal:
            return refusal.reply
        lines: list[bytes] = []
        last_id: str | None = None
        with self._model.lock:
            if "job" in filters:
                job = self._history.get(filters["job"])
                entries = iter([] if job is None else [job])
            else:
                entries = self._history.lines(filters.get("after"))
            for scanned, entry in enumerate(entries, 1):
                if since <= entry.ended_at <= until and _matches(entry, filters):
                    lines.append(encode(entry))
                if len(lines) >= limit or scanned >= MAX_JOBS_SCANNED:
                    last_id = entry.id
                    break
        if last_id is not None:
            lines.append(encode({"after": last_id}))
        return lines_reply(lines)


def _end_time_range(filters: dict[str, str]) -> tuple[float, float]:
    """Returns the earliest and latest end time to list, in seconds since 1970."""
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
