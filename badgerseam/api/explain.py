"""What users ask about waiting: why one job waits, and the list of all open jobs."""

from __future__ import annotations

import asyncio
import heapq
import math

from badgerseam.api.lists import BadQueryError, lines_reply, read_filters
from badgerseam.explain.explainer import Explainer
from badgerseam.explain.reasons import TERMS
from badgerseam.http.budget import RateBudget
from badgerseam.http.server import Reply, error_reply
from badgerseam.model.job import Job
from badgerseam.model.model import Model
from badgerseam.settings import ExplainOptions
from badgerseam.wire.explain import Code, QueueLine, Why, encode
from badgerseam.wire.users import Terms

RETRY_S = 1
LINES_A_QUESTION = 50
"""Lines with reasons that count as one question."""
PLAIN_LINES_A_QUESTION = 500
"""Lines without reasons that do: they need no survey."""
NO_TERMS = Terms()
FILTERS = ("after", "limit", "team", "class", "reasons", "waiting")


class ExplainApi:
    """Admits questions at a set rate, so that no number of them hurts what the service is for."""

    def __init__(self, model: Model, explainer: Explainer, options: ExplainOptions) -> None:
        self._model = model
        self._explainer = explainer
        self._rules = explainer.rules
        self._door = RateBudget(model.clock, options.questions_per_s, 2.0)

    def rate_limit_reply(self, questions: float = 1.0) -> Reply | None:
        """The refusal of one question too many, or None."""
        if self._door.take(questions):
            return None
        wait_s = max(1, math.ceil(self._door.wait_s(questions)))
        return error_reply(429, "too many questions", wait_s)

    async def why(self, job: Job) -> Reply:
        """Why an open job waits; the caller has confirmed that it is open."""
        answer = await self._explainer.ask(job)
        if answer is None:
            return error_reply(503, "nobody can vouch for an answer now", RETRY_S)
        return Reply(200, encode(answer))

    async def queue(self, query: str) -> Reply:
        """Open jobs in the order of their ids, a line each."""
        try:
            filters, limit = read_filters(query, FILTERS)
        except BadQueryError as bad:
            return bad.reply
        reasons = filters.get("reasons") in ("1", "true")
        each = LINES_A_QUESTION if reasons else PLAIN_LINES_A_QUESTION
        refusal = self.rate_limit_reply(limit / each)
        if refusal is not None:
            return refusal
        model = self._model
        with model.lock:
            jobs = [job for shard in model.open_jobs for job in shard.values() if _open(job)]
            jobs = [job for job in jobs if _matches(job, filters)]
            jobs = heapq.nsmallest(limit, jobs, key=lambda job: job.id)
        answers: dict[str, Why] = {}
        if reasons:
            by_shard: dict[int, list[str]] = {}
            for job in jobs:
                by_shard.setdefault(job.shard, []).append(job.id)
            found = await asyncio.gather(
                *(self._explainer.ask_all(shard, ids) for shard, ids in by_shard.items())
            )
            answers = {answer.id: answer for part in found for answer in part}
        with model.lock:
            return lines_reply(encode(self._line(job, answers.get(job.id))) for job in jobs)

    def _hold_term(self, job: Job) -> list[Code]:
        """The term that holds a job back, which needs no survey to be known."""
        if job.spec.terms is None or job.waiting() <= 0:
            return []
        held = self._rules.hold_reason(job)
        return [] if held is None else [TERMS[held]]

    def _line(self, job: Job, answer: Why | None) -> QueueLine:
        spec = job.spec
        terms = spec.terms or NO_TERMS
        running = job.running()
        reasons = [] if answer is None else [r for group in answer.groups for r in group.reasons]
        return QueueLine(
            job.id,
            "running" if running else "pending",
            spec.team,
            spec.job_class,
            spec.priority,
            spec.tasks,
            max(0, job.waiting()),
            running,
            job.finished,
            round(max(0.0, self._model.clock.wall() - job.submitted), 1),
            list(dict.fromkeys(r.code for r in reasons if r.binding)) or self._hold_term(job),
            reasons[0].text if reasons else None,
            terms.name,
            terms.user,
            spec.types,
            spec.zone,
            spec.cpus,
            spec.memory_gb,
            spec.estimate_s,
            job.submitted,
            terms.begin_at,
            terms.first,
            terms.step,
            spec.kind == "sweep" and spec.tasks > 1,
            terms.comment,
        )


def _open(job: Job) -> bool:
    return job.phase == 0


def _matches(job: Job, filters: dict[str, str]) -> bool:
    return (
        job.id > filters.get("after", "")
        and filters.get("team", job.spec.team) == job.spec.team
        and filters.get("class", job.spec.job_class) == job.spec.job_class
        and (filters.get("waiting") not in ("1", "true") or job.waiting() > 0)
    )
