"""The API that explains why a job waits, and lists the open jobs."""

from __future__ import annotations

import asyncio
import heapq
import math

from badgerseam.api.lists import BadQueryError, lines_reply, read_filters
from badgerseam.api.replies import RETRY_AFTER_S, starting_reply
from badgerseam.explain.explainer import Explainer
from badgerseam.explain.held_back import TERM_CODES
from badgerseam.http.budget import RateBudget
from badgerseam.http.server import Reply, error_reply
from badgerseam.model.job import Job, Phase
from badgerseam.model.model import Model
from badgerseam.tunables import ExplainOptions
from badgerseam.wire.explain import Code, Explanation, QueueLine, encode
from badgerseam.wire.users import Terms

QUEUE = "/queue"
RATE_BURST_S = 2.0
"""Seconds of the rate of questions that can be used at once."""
LINES_PER_QUESTION = 50
"""Number of lines with reasons that count as one question."""
PLAIN_LINES_PER_QUESTION = 500
"""Number of lines without reasons that count as one question; they need no survey."""
NO_TERMS = Terms()
TRUE_VALUES = ("1", "true")
FILTERS = ("after", "limit", "team", "class", "reasons", "waiting")


class ExplainApi:
    """Answers questions at a limited rate, so that they do not delay leases or plans."""

    def __init__(self, model: Model, explainer: Explainer, options: ExplainOptions) -> None:
        self._model = model
        self._explainer = explainer
        self._rules = explainer.rules
        self._rate = RateBudget(model.clock, options.questions_per_s, RATE_BURST_S)

    def rate_limit_reply(self, questions: float = 1.0) -> Reply | None:
        """Returns an error reply if so many questions would exceed the rate; otherwise counts them
        and returns None."""
        if self._rate.take(questions):
            return None
        wait_s = max(1, math.ceil(self._rate.wait_s(questions)))
        return error_reply(429, "too many questions", wait_s)

    async def why(self, job: Job) -> Reply:
        """Returns why a job waits; the caller has confirmed that the job is open."""
        answer = await self._explainer.ask(job)
        if answer is None:
            return error_reply(503, "nobody can vouch for an answer now", RETRY_AFTER_S)
        return Reply(200, encode(answer))

    async def handle_queue(self, method: str, query: str) -> Reply:
        """Handles a request for `/queue`."""
        if method != "GET":
            return error_reply(405, "GET only")
        if not self._model.loaded:
            return starting_reply()
        return await self.queue(query)

    async def queue(self, query: str) -> Reply:
        """Returns the open jobs in the order of their ids, one per line."""
        try:
            filters, limit = read_filters(query, FILTERS)
        except BadQueryError as refusal:
            return refusal.reply
        with_reasons = filters.get("reasons") in TRUE_VALUES
        lines_per_question = LINES_PER_QUESTION if with_reasons else PLAIN_LINES_PER_QUESTION
        rate_refusal = self.rate_limit_reply(limit / lines_per_question)
        if rate_refusal is not None:
            return rate_refusal
        model = self._model
        with model.lock:
            jobs = [job for shard in model.open_jobs for job in shard.values() if _is_open(job)]
            jobs = [job for job in jobs if _matches(job, filters)]
            jobs = heapq.nsmallest(limit, jobs, key=lambda job: job.id)
        answers = await self._explanations(jobs) if with_reasons else {}
        with model.lock:
            return lines_reply(encode(self._line(job, answers.get(job.id))) for job in jobs)

    async def _explanations(self, jobs: list[Job]) -> dict[str, Explanation]:
        """Returns why jobs wait, by job id, without jobs for which no controller can answer in
        time."""
        by_shard: dict[int, list[str]] = {}
        for job in jobs:
            by_shard.setdefault(job.shard, []).append(job.id)
        found = await asyncio.gather(
            *(self._explainer.ask_all(shard, ids) for shard, ids in by_shard.items())
        )
        return {answer.id: answer for answers in found for answer in answers}

    def _unmet_term_codes(self, job: Job) -> list[Code]:
        """Returns the code of the term that holds a job back, if any; this needs no survey."""
        if job.spec.terms is None or job.waiting() <= 0:
            return []
        hold_reason = self._rules.hold_reason(job)
        return [] if hold_reason is None else [TERM_CODES[hold_reason]]

    def _line(self, job: Job, answer: Explanation | None) -> QueueLine:
        """Returns a job's line; callers hold the model's lock."""
        spec = job.spec
        terms = spec.terms or NO_TERMS
        running = job.running()
        reasons = (
            []
            if answer is None
            else [reason for group in answer.groups for reason in group.reasons]
        )
        binding = list(dict.fromkeys(reason.code for reason in reasons if reason.binding))
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
            binding or self._unmet_term_codes(job),
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


def _is_open(job: Job) -> bool:
    return job.phase == Phase.OPEN


def _matches(job: Job, filters: dict[str, str]) -> bool:
    return (
        job.id > filters.get("after", "")
        and filters.get("team", job.spec.team) == job.spec.team
        and filters.get("class", job.spec.job_class) == job.spec.job_class
        and (filters.get("waiting") not in TRUE_VALUES or job.waiting() > 0)
    )
